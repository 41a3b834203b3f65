"""What a process believes of its fleet, how old that is, and what it still covers.

Versions only rise: an update that is older than what is known changes nothing, whoever sends it.
Ages count on a clock that goes on while a host is suspended, so a process that was frozen finds its
knowledge old before it admits anything. They count from the sending of the call whose answer proved
the updates, and for a denial from when that answer was composed.
"""

import math
from collections.abc import Iterable, Mapping, Sequence, Set
from dataclasses import dataclass, replace

from lacewinggw.decisions.routes import RouteTable
from lacewinggw.decisions.targetlist import DueVersion, TargetEntry, TargetPhase
from lacewinggw.ids import ModelName, TargetId, TargetName

DEPARTED_RETENTION_S = (
    60.0  # a store that serves stale reads is seconds behind, a frozen entry little more
)


@dataclass(frozen=True)
class RoutingViewRules:
    """Bounds in seconds.

    `revocation_s`: a key that was taken away counts no longer. `apply_s`: a change is in force.
    `lapse_s`: a target that vanished from the list during an outage of the store is believed for
    so long after the store's return. `settled_s`: for so long after an outage the list may still
    lack targets that live. `version_s`: a named version is in use everywhere. `begin_s`: a request
    that is sent to a target begins there; more than its own short queue takes. `slack_s`: by so
    much a version may have been named before this process learned of it.
    """

    revocation_s: float = 5.0
    apply_s: float = 2.0
    lapse_s: float = 1.9
    post_outage_s: float = 3.0
    version_s: float = 8.0
    begin_s: float = 0.9
    slack_s: float = 0.5


@dataclass(frozen=True)
class RequiredVersion:
    """A version that is due, and when this process learned of it.

    A process that has just started finds a version named at some time before, and counts it as
    named the earlier for that. Such a guess is its own caution and nothing to tell to others, who
    were there and know better.
    """

    version: int
    received_at: float
    is_guess: bool = False


@dataclass(frozen=True)
class _RoutesConfirmation:
    """A version of the routes, and moments at which it was the newest.

    `proved_at` holds under any trouble of the store, `seen_at` while its feed overlooks nothing.
    """

    version: int = 0
    confirmed_at: float = -math.inf
    observed_at: float = -math.inf


class RoutingView:
    """The routes, the versions due and the targets, as one process knows them.

    knowledge.take_routes(table, proved_at=now)
    if knowledge.covers_keys(now): ...
    """

    def __init__(self, rules: RoutingViewRules) -> None:
        self.rules = rules
        self.routes: RouteTable | None = None
        self._due: dict[ModelName, list[RequiredVersion]] = {}
        self._targets: dict[TargetId, TargetEntry] = {}
        self._lapsing: dict[TargetId, float] = {}
        self._left: set[TargetId] = set()
        self._unlisted_since: dict[TargetId, float] = {}  # of starts kept in mind only
        self._starts: dict[TargetName, TargetEntry] = {}  # the newest start that was listed
        self._routes_proved_at = float("-inf")
        self._routes_seen_at = float("-inf")
        self._ahead = _RoutesConfirmation()  # of routes that others have
        self._outage_ended_at = float("-inf")

    @property
    def targets(self) -> Mapping[TargetId, TargetEntry]:
        """Every target believed to be there, those that are leaving included."""
        return self._targets

    @property
    def leaving(self) -> Set[TargetId]:
        """The targets that take no new work."""
        return self._left

    def routes_age_s(self, now: float) -> float:
        """Return how many seconds ago the routes were known to be the newest."""
        return now - self._routes_proved_at

    def routes_observed_age_s(self, now: float) -> float:
        """Return how many seconds ago the routes were seen to be the newest, by a store in order.

        It is younger by the time that the store was waited for.
        """
        return now - self._routes_seen_at

    def can_accept_keys(self, now: float) -> bool:
        """Return whether a key that is on the table may be honoured still."""
        return self.routes is not None and self.routes_age_s(now) < self.rules.revocation_s

    def can_deny_unknown(self, now: float) -> bool:
        """Return whether what the table lacks may be denied: something new would be known.

        A change is in force everywhere within the bound on changes, so what was the newest at a
        moment within that bound is what counts. Beyond it, and while something newer is known to be
        there, a route that was added would be answered with 404.
        """
        if self.routes is None or self._is_behind:
            return False
        return self.routes_observed_age_s(now) < self.rules.apply_s

    @property
    def _is_behind(self) -> bool:
        return self.routes is not None and self._ahead.version > self.routes.version

    # ---- configuration --------------------------------------------------------------------

    def update_routes(self, table: RouteTable) -> bool:
        """Take a version of the routes unless it is older; return whether it is new."""
        if self.routes is not None and table.version <= self.routes.version:
            return False
        self.routes = table
        if table.version == self._ahead.version:
            self.confirm_routes(self._ahead.confirmed_at, self._ahead.observed_at)
        return True

    def confirm_routes(self, confirmed_at: float, observed_at: float | None = None) -> None:
        """Note that the routes known were the newest at a moment, and seen to be so at another."""
        observed_at = confirmed_at if observed_at is None else observed_at
        self._routes_proved_at = max(self._routes_proved_at, confirmed_at)
        self._routes_seen_at = max(self._routes_seen_at, observed_at)

    def confirm_version(
        self, version: int, confirmed_at: float = -math.inf, observed_at: float | None = None
    ) -> None:
        """Note that a version of the routes was the newest at a moment, or only that it exists.

        It proves nothing of other versions; that of a newer one counts once that one is here.
        """
        observed_at = confirmed_at if observed_at is None else observed_at
        known = self.routes.version if self.routes is not None else 0
        if version == known:
            self.confirm_routes(confirmed_at, observed_at)
        if version <= known or version < self._ahead.version:
            return
        if version == self._ahead.version:
            confirmed_at = max(confirmed_at, self._ahead.confirmed_at)
            observed_at = max(observed_at, self._ahead.observed_at)
        self._ahead = _RoutesConfirmation(version, confirmed_at, observed_at)

    def require_version(self, due: DueVersion, now: float, old: bool = False) -> bool:
        """Take a version that is due unless it is older; return whether it is new.

        An `old` one was named some time before this process looked: the time allowed for it is over
        as soon as the process counts as settled.
        """
        named = self._due.setdefault(due.model, [])
        if named and due.version <= named[-1].version:
            return False
        used_s = max(0.0, self.rules.version_s - self.rules.post_outage_s) if old else 0.0
        named.append(RequiredVersion(due.version, now - used_s, is_guess=old))
        return True

    def required_versions(self, model: ModelName) -> Sequence[RequiredVersion]:
        """Return the versions of a model that were named, the oldest first."""
        return self._due.get(model, ())

    @property
    def all_required_versions(self) -> Sequence[tuple[ModelName, RequiredVersion]]:
        """Every version that was named, with its model."""
        return [(model, due) for model, named in self._due.items() for due in named]

    def min_version(self, model: ModelName, now: float) -> int:
        """Return the oldest version on which a request may still begin; 0 for any."""
        bound_s = self.rules.version_s - self.rules.begin_s
        late = [
            each.version
            for each in self.required_versions(model)
            if now - each.received_at >= bound_s
        ]
        return max(late, default=0)

    def start_deadline(self, target: TargetId, model: ModelName) -> float:
        """Return until when a request may begin on the weights that a target is known to hold."""
        entry = self._targets.get(target)
        held = entry.weights.get(model, 0) if entry else 0
        newer = [each.received_at for each in self.required_versions(model) if each.version > held]
        return min(newer, default=math.inf) + self.rules.version_s - self.rules.slack_s

    # ---- targets --------------------------------------------------------------------------

    def record_outage_end(self, now: float) -> None:
        """Note that the store answers again: what lapsed meanwhile is soon back or gone."""
        self._outage_ended_at = now

    def update_target(self, entry: TargetEntry) -> None:
        """Take what the list says of a target; a start that leaves never comes back.

        A start that was born later under the same name ends the one before, and what is heard of
        that one afterwards, from a read that is behind, counts for nothing.
        """
        newest = self._starts.get(entry.name)
        if newest is not None and entry.born_ms < newest.born_ms:
            return
        if newest is not None and newest.target != entry.target:
            self._forget_start(newest.target)
        self._starts[entry.name] = entry
        self._lapsing.pop(entry.target, None)
        if entry.phase is TargetPhase.LEAVING:
            self._left.add(entry.target)
        elif entry.target in self._left:
            return
        known = self._targets.get(entry.target)
        if known is not None:
            entry = replace(entry, weights=_newest(known.weights, entry.weights))
        self._targets[entry.target] = entry

    def replace_targets(
        self, entries: Iterable[TargetEntry], now: float, is_restored: bool = False
    ) -> None:
        """Take the whole list of targets; what is not on it has vanished.

        A list that `is_restored` from an older copy names targets that have vanished since. They
        come back only as they write again themselves, for then they live.
        """
        listed = {
            entry.name: entry
            for entry in entries
            if not (is_restored and self._has_vanished(entry))
        }
        known = {entry.name for entry in self._targets.values()}
        for name in known - listed.keys():
            self.remove_delisted(name, now)
        for entry in listed.values():
            self.update_target(entry)

    def remove_delisted(self, name: TargetName, now: float) -> None:
        """Note that a target has vanished from the list.

        After an outage of the store a live one is back soon, so it is believed a little longer,
        unless it was leaving.
        """
        target = self._listed_start(name)
        if target is None:
            return
        lapsed = now - self._outage_ended_at < self.rules.post_outage_s
        if lapsed and target not in self._left:
            until = self._outage_ended_at + self.rules.lapse_s
            self._lapsing.setdefault(target, max(until, now))
            return
        del self._targets[target]

    def remove_unreadable(self, name: TargetName) -> None:
        """Let go of a target whose entry cannot be read: nobody can tell whether it may be used.

        It may be leaving, or its name may stand for something else by now. A readable entry brings
        it back.
        """
        target = self._listed_start(name)
        if target is not None:
            self._forget_start(target)

    def record_incarnation(self, name: TargetName, born_ms: int) -> None:
        """Note when a target was born, as told by its host: an earlier start of it is over.

        The list follows within a heartbeat of the target; until then the new start is not used, as
        its weights are not known. It says nothing where the list does not tell births.
        """
        newest = self._starts.get(name)
        if newest is not None and 0 < newest.born_ms < born_ms:
            self.mark_leaving(newest.target)

    def update_weights(self, target: TargetId, weights: Mapping[ModelName, int]) -> bool:
        """Take what a target was heard to hold; return whether that is new.

        Within one start of a target versions only rise, so an update that overtakes the list, or
        comes behind it, does no harm.
        """
        entry = self._targets.get(target)
        if entry is None:
            return False
        merged = _newest(entry.weights, weights)
        if merged == entry.weights:
            return False
        self._targets[target] = replace(entry, weights=merged)
        return True

    def mark_leaving(self, target: TargetId) -> None:
        """Note that a target leaves, as somebody other than the list said."""
        self._left.add(target)

    def expire(self, now: float) -> None:
        """Let go of targets that did not come back after an outage, and forget those long gone."""
        for target in [each for each, until in self._lapsing.items() if until <= now]:
            self._forget_start(target)
        self._forget_left(now)

    def _has_vanished(self, entry: TargetEntry) -> bool:
        """Return whether a start was on the list before, and is not now."""
        newest = self._starts.get(entry.name)
        if newest is None or entry.target in self._targets:
            return False
        return entry.born_ms <= newest.born_ms

    def _listed_start(self, name: TargetName) -> TargetId | None:
        newest = self._starts.get(name)
        if newest is None or newest.target not in self._targets:
            return None
        return newest.target

    def _forget_start(self, target: TargetId) -> None:
        self._lapsing.pop(target, None)
        self._targets.pop(target, None)

    def _forget_left(self, now: float) -> None:
        starts = {entry.target: entry.name for entry in self._starts.values()}
        for target in (self._left | starts.keys()) - self._targets.keys():
            since = self._unlisted_since.setdefault(target, now)
            if now - since >= DEPARTED_RETENTION_S:
                self._left.discard(target)
                if target in starts:
                    del self._starts[starts[target]]
                del self._unlisted_since[target]
        for target in self._unlisted_since.keys() & self._targets.keys():
            del self._unlisted_since[target]


def _newest(
    one: Mapping[ModelName, int], other: Mapping[ModelName, int]
) -> Mapping[ModelName, int]:
    return {model: max(one.get(model, 0), other.get(model, 0)) for model in {**one, **other}}
