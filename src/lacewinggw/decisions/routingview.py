"""The cached routes, required versions and targets of one process, and how current they are.

Versions only increase: an update that is older than the cached state is ignored, regardless of its
sender. Ages are measured by a clock that continues while a host is suspended, so a process that was
suspended finds its cached state out of date before it admits a request. They count from the time at
which the call was sent whose answer confirmed the state; for a denial, from the time at which that
answer was composed.
"""

import math
from collections.abc import Iterable, Mapping, Sequence, Set
from dataclasses import dataclass, replace

from lacewinggw.decisions.evacuation import Evacuations
from lacewinggw.decisions.routechanges import RoutesChange, RoutesHistory
from lacewinggw.decisions.routes import RouteTable
from lacewinggw.decisions.targetlist import DueVersion, TargetEntry, TargetPhase
from lacewinggw.ids import ModelName, TargetId, TargetName

# Stale reads of the store are seconds old, updates of a suspended entry little more.
DEPARTED_RETENTION_S = 60.0
# Entries that have a newer version of the routes announce it every second at most. If all of them
# end, and the store has lost the version, the cached one is used again after this time.
ANNOUNCED_RETENTION_S = 5.0


@dataclass(frozen=True)
class RoutingViewRules:
    """Time limits in seconds.

    `revocation_s`: until a revoked key is no longer accepted. `apply_s`: until a change is in
    force. `lapse_s`: how long after an outage of the store a target that left the list during it is
    still used. `post_outage_s`: how long after an outage the list may lack live targets.
    `version_s`: until a named version is in use everywhere. `begin_s`: until a request that is sent
    to a target starts there, more than the target's own short queue takes. `slack_s`: how long
    before this process received a version it may have been named.
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
    """A version that must be in use within `version_s`, and when this process received it.

    A process that has just started does not know when a version was named, and assumes an earlier
    time to be safe. Such an estimate (`is_guess`) is not for peers, which received the version when
    it was named.
    """

    version: int
    received_at: float
    is_guess: bool = False


@dataclass(frozen=True)
class _RoutesConfirmation:
    """A version of the routes, and the times at which it was known to be the newest.

    `confirmed_at` holds under any fault of the store, `observed_at` while its feed misses no
    change.
    """

    version: int = 0
    confirmed_at: float = -math.inf
    observed_at: float = -math.inf


class RoutingView:
    """The routes, required versions and targets as cached by one process.

    `started_at` is when the process started, by the same clock as all other times.

    view = RoutingView(rules, started_at=now)
    view.update_routes(table)
    view.confirm_routes(now)
    if view.can_accept_keys(now): ...
    """

    def __init__(self, rules: RoutingViewRules, started_at: float = math.inf) -> None:
        self.rules = rules
        self._started_at = started_at
        self.routes: RouteTable | None = None
        self.evacuations = Evacuations()
        self._required: dict[ModelName, list[RequiredVersion]] = {}
        self._targets: dict[TargetId, TargetEntry] = {}
        self._lapsing: dict[TargetId, float] = {}
        self._leaving: set[TargetId] = set()
        # When each remembered incarnation that is not listed was first found so.
        self._unlisted_since: dict[TargetId, float] = {}
        # The newest incarnation that was listed, by name.
        self._incarnations: dict[TargetName, TargetEntry] = {}
        self._routes_confirmed_at = float("-inf")
        self._routes_observed_at = float("-inf")
        self._newer_routes = _RoutesConfirmation()  # of newer routes that peers have
        self._announced_at = float("-inf")  # when an entry last announced newer routes
        self._newer_change: RoutesChange | None = None  # from the cached routes to newer ones
        self._history = RoutesHistory()
        self._outage_ended_at = float("-inf")

    @property
    def targets(self) -> Mapping[TargetId, TargetEntry]:
        """All targets in use, including those that are leaving."""
        return self._targets

    @property
    def leaving(self) -> Set[TargetId]:
        """The targets that take no new work."""
        return self._leaving

    def routes_age_s(self, now: float) -> float:
        """Return the seconds since the routes were confirmed to be the newest."""
        return now - self._routes_confirmed_at

    def routes_observed_age_s(self, now: float) -> float:
        """Return the seconds since the routes were observed to be the newest.

        The observation is valid while the store works correctly. Its age is less than
        `routes_age_s` by the time that the call waited at the store.
        """
        return now - self._routes_observed_at

    def can_accept_keys(self, now: float) -> bool:
        """Return whether keys in the route table may still be accepted.

        Those that a newer version is known to change are the exception; see `can_accept_key`.
        """
        newer = self._newer_change
        is_unchanged = newer is not None and not newer.difference.is_total
        return self._can_accept(is_unchanged, now)

    def can_accept_key(self, key: str, now: float) -> bool:
        """Return whether a key in the route table may still be accepted.

        A proof that a newer version was the newest holds for the keys that this version keeps.
        """
        newer = self._newer_change
        is_unchanged = newer is not None and not newer.difference.affects_key(key)
        return self._can_accept(is_unchanged, now)

    def _can_accept(self, is_unchanged: bool, now: float) -> bool:
        confirmed_at = self._routes_confirmed_at
        if is_unchanged and self._newer_change is not None:
            confirmed_at = max(confirmed_at, self._newer_change.confirmed_at)
        return self.routes is not None and now - confirmed_at < self.rules.revocation_s

    def can_handle(self, domain: str, path: str, key: str, now: float) -> bool:
        """Return whether a request may be handled by the cached routes.

        Once a newer version is known to exist, they may handle what it does not change, and
        everything as long as that version need not be in force yet.
        """
        if not self._is_behind or now - self._announced_at >= ANNOUNCED_RETENTION_S:
            return True
        if self.routes_observed_age_s(now) < self.rules.apply_s:
            return True
        newer = self._newer_change
        if newer is None or newer.difference.affects(domain, path, key):
            return False
        is_newest = newer.difference.version >= self._newer_routes.version
        return is_newest or now - newer.observed_at < self.rules.apply_s

    @property
    def lacks_difference(self) -> bool:
        """Whether a newer version exists and what it changes is not known."""
        newer = self._newer_change
        known_version = newer.difference.version if newer is not None else 0
        return self._is_behind and known_version < self._newer_routes.version

    def can_deny_unknown(self, now: float) -> bool:
        """Return whether a request for what the table lacks may be denied.

        A change has to be in force within `apply_s`, so a table that was the newest within that
        time is complete. After it, and while a newer version is known to exist, a route that was
        added meanwhile would be answered with 404.
        """
        if self.routes is None or self._is_behind:
            return False
        return self.routes_observed_age_s(now) < self.rules.apply_s

    @property
    def newest_version(self) -> int:
        """The newest version of the routes that is known to exist, cached or not; 0 if none."""
        cached_version = self.routes.version if self.routes is not None else 0
        return max(cached_version, self._newer_routes.version)

    @property
    def _is_behind(self) -> bool:
        return self.routes is not None and self._newer_routes.version > self.routes.version

    # ---- configuration --------------------------------------------------------------------

    def update_routes(self, table: RouteTable) -> bool:
        """Store a version of the routes unless it is older; return whether it is new."""
        if self.routes is not None and table.version <= self.routes.version:
            return False
        if self.routes is not None:
            self._history.note(self.routes, table, self._routes_observed_at)
        self.routes = table
        self._newer_change = None
        if table.version == self._newer_routes.version:
            self.confirm_routes(self._newer_routes.confirmed_at, self._newer_routes.observed_at)
        return True

    def confirm_routes(self, confirmed_at: float, observed_at: float | None = None) -> None:
        """Record when the cached routes were confirmed, and when observed, to be the newest."""
        observed_at = confirmed_at if observed_at is None else observed_at
        self._routes_confirmed_at = max(self._routes_confirmed_at, confirmed_at)
        self._routes_observed_at = max(self._routes_observed_at, observed_at)

    def confirm_version(
        self, version: int, confirmed_at: float = -math.inf, observed_at: float | None = None
    ) -> None:
        """Record when a version of the routes was the newest, or only that it exists.

        The confirmation applies to that version alone. For a version newer than the cached routes
        it takes effect when that version arrives.
        """
        observed_at = confirmed_at if observed_at is None else observed_at
        cached_version = self.routes.version if self.routes is not None else 0
        if version == cached_version:
            self.confirm_routes(confirmed_at, observed_at)
        if version <= cached_version or version < self._newer_routes.version:
            return
        if version == self._newer_routes.version:
            confirmed_at = max(confirmed_at, self._newer_routes.confirmed_at)
            observed_at = max(observed_at, self._newer_routes.observed_at)
        self._newer_routes = _RoutesConfirmation(version, confirmed_at, observed_at)

    def note_announced(self, version: int, now: float) -> None:
        """Record that another entry has a version of the routes."""
        if version >= self._newer_routes.version:
            self._announced_at = now

    def note_difference(self, change: RoutesChange) -> bool:
        """Record what a newer version changes; return whether that was not known.

        A change of other routes than the cached ones is ignored. The times of a change confirm its
        two versions.
        """
        known, version = self._newer_change, change.difference.version
        if self.routes is None or change.difference.base_version != self.routes.version:
            return False
        self.confirm_routes(-math.inf, change.base_observed_at)
        self.confirm_version(version, change.confirmed_at, change.observed_at)
        if known is not None and known.difference.version == version:
            self._newer_change = known.merge_times(change)
            return False
        if known is not None and known.difference.version > version:
            return False
        self._newer_change = change
        return True

    @property
    def replaced_versions(self) -> Sequence[int]:
        """The versions of the routes that this process had before, as far as it remembers them."""
        return self._history.bases

    def changes_since(self, version: int) -> RoutesChange | None:
        """Return the change from a version to the newest one for which it is known, if any."""
        newer = self._newer_change
        if self.routes is not None and version == self.routes.version:
            return newer
        change = self._history.since(version)
        if change is None:
            return None
        if newer is not None:
            return change.then(newer)
        return replace(
            change, confirmed_at=self._routes_confirmed_at, observed_at=self._routes_observed_at
        )

    def require_version(self, due: DueVersion, now: float, old: bool = False) -> bool:
        """Store a required version unless it is older; return whether it is new.

        An `old` one was named at an unknown time before this process read it. Only `post_outage_s`
        of the time allowed for it is assumed to remain: from the start of this process if it has
        read nothing before, as after a restart of all processes the first read may take seconds.
        """
        named = self._required.setdefault(due.model, [])
        if named and due.version <= named[-1].version:
            return False
        received_at = now
        if old:
            assumed_age_s = max(0.0, self.rules.version_s - self.rules.post_outage_s)
            is_first_read = self._routes_confirmed_at == -math.inf
            since = min(now, self._started_at) if is_first_read else now
            received_at = since - assumed_age_s
        named.append(RequiredVersion(due.version, received_at, is_guess=old))
        return True

    def required_versions(self, model: ModelName) -> Sequence[RequiredVersion]:
        """Return the named versions of a model, the oldest first."""
        return self._required.get(model, ())

    @property
    def all_required_versions(self) -> Sequence[tuple[ModelName, RequiredVersion]]:
        """All named versions, each with its model."""
        return [(model, due) for model, named in self._required.items() for due in named]

    def min_version(self, model: ModelName, now: float, begin_s: float = 0.0) -> int:
        """Return the oldest version on which a request may still start; 0 for any.

        The request is expected to start within `begin_s`.
        """
        rules = self.rules
        bound_s = rules.version_s - max(rules.begin_s, begin_s + rules.slack_s)
        overdue = [
            each.version
            for each in self.required_versions(model)
            if now - each.received_at >= bound_s
        ]
        return max(overdue, default=0)

    def start_deadline(self, target: TargetId, model: ModelName, held: int | None = None) -> float:
        """Return the time until which a request may start on the weights of a target.

        `held` is the version that the target stated itself; otherwise the last known one counts.
        """
        entry = self._targets.get(target)
        if held is None:
            held = entry.weights.get(model, 0) if entry else 0
        newer = [each.received_at for each in self.required_versions(model) if each.version > held]
        return min(newer, default=math.inf) + self.rules.version_s - self.rules.slack_s

    # ---- targets --------------------------------------------------------------------------

    def record_outage_end(self, now: float) -> None:
        """Record that the store answers again; see `remove_delisted` for the effect."""
        self._outage_ended_at = now

    def update_target(self, entry: TargetEntry) -> None:
        """Store a listed target; an incarnation that is leaving never becomes usable again.

        A later incarnation of the same name replaces the earlier one. Entries of the earlier one
        that arrive afterwards, from a stale read, are ignored.
        """
        newest = self._incarnations.get(entry.name)
        if newest is not None and entry.born_ms < newest.born_ms:
            return
        if newest is not None and newest.target != entry.target:
            self._remove_target(newest.target)
        self._incarnations[entry.name] = entry
        self._lapsing.pop(entry.target, None)
        if entry.phase is TargetPhase.LEAVING:
            self._leaving.add(entry.target)
        elif entry.target in self._leaving:
            return
        cached = self._targets.get(entry.target)
        if cached is not None:
            entry = replace(entry, weights=_newest(cached.weights, entry.weights))
        self._targets[entry.target] = entry

    def replace_targets(
        self, entries: Iterable[TargetEntry], now: float, is_restored: bool = False
    ) -> None:
        """Replace the whole list of targets; those that are not on it have been delisted.

        A list that `is_restored` from an older copy includes targets that have been delisted since.
        They are ignored until they write their entries again, which shows that they are alive.
        """
        listed = {
            entry.name: entry
            for entry in entries
            if not (is_restored and self._was_delisted(entry))
        }
        cached_names = {entry.name for entry in self._targets.values()}
        for name in cached_names - listed.keys():
            self.remove_delisted(name, now)
        for entry in listed.values():
            self.update_target(entry)

    def remove_delisted(self, name: TargetName, now: float) -> None:
        """Remove a target that has left the list.

        After an outage of the store a live target is soon listed again, so it stays in use until
        `lapse_s` after the outage, unless it was leaving.
        """
        target = self._listed_incarnation(name)
        if target is None:
            return
        may_return = now - self._outage_ended_at < self.rules.post_outage_s
        if may_return and target not in self._leaving:
            until = self._outage_ended_at + self.rules.lapse_s
            self._lapsing.setdefault(target, max(until, now))
            return
        del self._targets[target]

    def remove_unreadable(self, name: TargetName) -> None:
        """Remove a target whose entry cannot be read, as its state is unknown.

        It may be leaving, or its name may belong to another target. A readable entry restores it.
        """
        target = self._listed_incarnation(name)
        if target is not None:
            self._remove_target(target)

    def record_incarnation(self, name: TargetName, born_ms: int) -> None:
        """Record the start time of a target's incarnation, which ends the earlier ones.

        Its host reports the time before the list has it. The list follows within a heartbeat of the
        target; until then the new incarnation is not used, as its weights are unknown. The report
        is ignored if the listed entry has no start time.
        """
        newest = self._incarnations.get(name)
        if newest is not None and 0 < newest.born_ms < born_ms:
            self.mark_leaving(newest.target)

    def update_weights(self, target: TargetId, weights: Mapping[ModelName, int]) -> bool:
        """Merge reported weights of a target; return whether they are new.

        Versions only increase within one incarnation, so an update may arrive before or after the
        list.
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
        """Record that a target is leaving, as reported by a source other than the list."""
        self._leaving.add(target)

    def expire(self, now: float) -> None:
        """Remove targets that were not listed again after an outage, and old incarnations.

        End evacuations that a restored store lacks.
        """
        self.evacuations.expire(now)
        for target in [each for each, until in self._lapsing.items() if until <= now]:
            self._remove_target(target)
        self._remove_old_incarnations(now)

    def _was_delisted(self, entry: TargetEntry) -> bool:
        """Return whether an incarnation was on the list and is no longer in use."""
        newest = self._incarnations.get(entry.name)
        if newest is None or entry.target in self._targets:
            return False
        return entry.born_ms <= newest.born_ms

    def _listed_incarnation(self, name: TargetName) -> TargetId | None:
        newest = self._incarnations.get(name)
        if newest is None or newest.target not in self._targets:
            return None
        return newest.target

    def _remove_target(self, target: TargetId) -> None:
        self._lapsing.pop(target, None)
        self._targets.pop(target, None)

    def _remove_old_incarnations(self, now: float) -> None:
        starts = {entry.target: entry.name for entry in self._incarnations.values()}
        for target in (self._leaving | starts.keys()) - self._targets.keys():
            since = self._unlisted_since.setdefault(target, now)
            if now - since >= DEPARTED_RETENTION_S:
                self._leaving.discard(target)
                if target in starts:
                    del self._incarnations[starts[target]]
                del self._unlisted_since[target]
        for target in self._unlisted_since.keys() & self._targets.keys():
            del self._unlisted_since[target]


def _newest(
    one: Mapping[ModelName, int], other: Mapping[ModelName, int]
) -> Mapping[ModelName, int]:
    return {model: max(one.get(model, 0), other.get(model, 0)) for model in {**one, **other}}
