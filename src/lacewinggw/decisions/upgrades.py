"""Plan the upgrades of one target's weights: which versions to fetch and load, and when.

Versions can be named faster than they spread. Each has its own deadline, after which no request may
start on an older one. A download in progress is therefore not abandoned for the next version,
unless the next one arrives before the deadline of the first and hardly later than the first: a
partial copy is of no use, and the source of the next version may fail. Completion is estimated from
the link and from the source, which still has to send what no host holds. A version is stuck while
its source is unavailable and hosts lack a part of it: it delays no version that can be completed.

A version takes most of its allowed time to arrive, at all targets at about the same time. A target
that drains before it loads is out of service for two seconds. So half of the targets of a service
load the version on arrival, and the requests that they interrupt continue at the other half. That
half drains, as new requests go to the first, and loads the version before the deadline.

If the deadline leaves time after the download, the targets are staggered over all of it. A fleet at
0.87 of its capacity is at 1.7 times the remaining capacity while half of the targets are out of
service, and at 1.2 times while a quarter are.
"""

import math
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field

from lacewinggw.decisions.peerselection import rendezvous_rank
from lacewinggw.decisions.routingview import RequiredVersion
from lacewinggw.ids import HostId

FIRST_VERSION = 1  # of a model's weights, if no other has been named
# Of the targets of a service; the others must have capacity for the requests that these interrupt.
EARLY_SHARE = 0.5
# Of the time between download and deadline, the share for the early half. Its targets are out of
# service for 0.4 s each and the others for 1.4 s, so about as many are out at any time.
EARLY_WINDOW_SHARE = 0.22
# If less time remains between the download and the last upgrades, the early half loads at once.
MIN_STAGGER_WINDOW_S = 1.5
DRAIN_S = 1.0  # most running requests end within it, and all of typical length
# An order given this long before the deadline still prevents any late start.
DEADLINE_MARGIN_S = 0.6
# Added to the estimated rest of a download before relying on its completion.
DOWNLOAD_MARGIN_S = 1.0
NEARLY_COMPLETE_SHARE = 0.9  # of a version; the link then has capacity for the next one
# The time that a version must serve before the deadline of the next one to be worth loading: the
# load costs 0.4 s, and requests start on it until up to 0.9 s before that deadline.
MIN_SERVING_S = 1.8
# A version of which hosts hold this share more than of the next one is not replaced by it: most
# hosts do not ask the source, and cannot know whether it is available for the next one.
SPREAD_SHARE = 0.25
# Added to the time that the source takes to send one copy. A version that no outage delays is held
# by the hosts together by then, as its manifest and its last chunks come one after the other.
SOURCE_MARGIN_S = 1.5
MIN_REMAINING_S = 2.0  # an older complete version is loaded if it may serve for this long


@dataclass(frozen=True)
class UpgradeRules:
    """A version must be in use `allowed_s` after it was named; its download takes `copy_s`.

    The source takes `source_copy_s` to send one copy, 0 if that is unknown.
    """

    allowed_s: float
    copy_s: float
    source_copy_s: float = 0.0


@dataclass(frozen=True)
class VersionProgress:
    """The downloaded share of each version, from 0 to 1.

    `reachable` are the shares that this host and its neighbours hold together; a version that is
    not in it counts as completely held. `has_source` is whether the source of versions is
    available as far as this host knows. `sent_in_time` are the versions that the source sends
    without a delay; for the others that is unknown.
    """

    shares: Mapping[int, float]
    reachable: Mapping[int, float] = field(default_factory=dict)
    has_source: bool = True
    sent_in_time: Collection[int] = ()

    def unheld(self, version: int) -> float:
        """Return the share of a version that only its source can send."""
        return 1.0 - max(self.share(version), self.reachable.get(version, 1.0))

    def is_stuck(self, version: int) -> bool:
        """Return whether a version cannot be completed until its source returns."""
        return not self.has_source and self.unheld(version) > 0.0

    def share(self, version: int) -> float:
        """Return the downloaded share of a version."""
        return self.shares.get(version, 0.0)

    def is_complete(self, version: int) -> bool:
        """Return whether a version is completely downloaded."""
        return self.share(version) >= 1.0


@dataclass(frozen=True)
class UpgradeStep:
    """The versions to fetch, in this order, and the version to load now, if any.

    Of the versions in `imports` this host brings in what other hosts wait for.

    With `may_interrupt`, other targets still have the old version, so interrupted requests can
    continue there. Without it, the target drains first, and its remaining requests run to their
    end. The load is ordered by `load_deadline` at the latest, drained or not.
    """

    fetch: tuple[int, ...] = ()
    load: int | None = None
    may_interrupt: bool = False
    load_deadline: float = math.inf
    imports: tuple[int, ...] = ()


class SourceDelays:
    """Which versions the source of weights sends without a delay, as an outage causes.

    Every host can tell from what it and its neighbours hold together. Most hosts do not ask the
    source, and would not notice that it fails.

        delays = SourceDelays()
        delays.note(due, reachable, source_copy_s, now)
        progress = VersionProgress(shares, reachable, sent_in_time=delays.sent_in_time)
    """

    def __init__(self) -> None:
        self._due: frozenset[int] = frozenset()
        self._sent: set[int] = set()
        self._delayed: set[int] = set()

    @property
    def sent_in_time(self) -> frozenset[int]:
        """The named versions that have not been delayed, those that are being sent included."""
        return self._due - self._delayed

    def note(
        self,
        due: Sequence[RequiredVersion],
        reachable: Mapping[int, float],
        source_copy_s: float,
        now: float,
    ) -> None:
        """Note what share of the named versions the hosts hold together."""
        self._due = frozenset(each.version for each in due)
        self._sent &= self._due
        self._delayed &= self._due
        for each in due:
            if each.version in self._sent or each.version in self._delayed:
                continue
            if now > each.received_at + source_copy_s + SOURCE_MARGIN_S:
                self._delayed.add(each.version)
            elif reachable.get(each.version, 0.0) >= 1.0:
                self._sent.add(each.version)


class UpgradePlanner:
    """The upgrade schedule of one target among those of its service.

    planner = UpgradePlanner(rules, host, hosts)
    planner.decide(current, due, progress, now)
    """

    def __init__(self, rules: UpgradeRules, host: HostId, hosts: Collection[HostId]) -> None:
        self._rules = rules
        rank = rendezvous_rank("upgrades", host, hosts)
        early = int(EARLY_SHARE * len(hosts))
        self._is_early = rank < early
        # The position, from 0 to 1, in the half of this target; the last of the late half has 1.
        self._position = (
            rank / early if self._is_early else (rank - early + 1) / (len(hosts) - early)
        )

    def decide(
        self,
        current: int | None,
        due: Sequence[RequiredVersion],
        progress: VersionProgress,
        now: float,
    ) -> UpgradeStep:
        """Return the next step of a target that has version `current`, None for no version."""
        if not due:
            return self._for_first(current, progress)
        if current is None:
            return self._for_empty(due, progress, now)
        pending = [each for each in due if each.version > current]
        if not pending:
            return UpgradeStep()
        chosen = self._choose_versions(pending, progress, now)
        first = chosen[0]
        fetch = _choose_fetches(chosen, progress)
        imports = self._choose_imports(pending, fetch, progress, now)
        if not progress.is_complete(first.version):
            return UpgradeStep(fetch, imports=imports)
        if now < self._start_at(pending[0]):
            return UpgradeStep(fetch, imports=imports)
        load_by = self._deadline(pending[0]) - DEADLINE_MARGIN_S
        return UpgradeStep(fetch, first.version, self._is_early, load_by, imports)

    def _for_first(self, current: int | None, progress: VersionProgress) -> UpgradeStep:
        if current is not None:
            return UpgradeStep()
        load = FIRST_VERSION if progress.is_complete(FIRST_VERSION) else None
        return UpgradeStep((FIRST_VERSION,), load)

    def _for_empty(
        self, due: Sequence[RequiredVersion], progress: VersionProgress, now: float
    ) -> UpgradeStep:
        """Fetch what serves first, and load an older complete version for the meantime."""
        newest = due[-1]
        chosen = self._choose_versions(due, progress, now)
        needed = [
            each for each in chosen if each is newest or not progress.is_complete(each.version)
        ]
        fetch = _choose_fetches(needed, progress)
        if progress.is_complete(newest.version):
            return UpgradeStep((newest.version,), newest.version)
        if now + MIN_REMAINING_S < self._deadline(newest):
            older = [version for version in progress.shares if version < newest.version]
            complete = [version for version in older if progress.is_complete(version)]
            if complete:
                return UpgradeStep(fetch, max(complete))
        return UpgradeStep(fetch)

    def _choose_versions(
        self, pending: Sequence[RequiredVersion], progress: VersionProgress, now: float
    ) -> Sequence[RequiredVersion]:
        """Return the versions to fetch; versions that would serve too briefly are skipped."""
        oldest, newest = pending[0], pending[-1]
        if oldest is newest or progress.is_complete(newest.version):
            return [newest]
        if self._replaces(newest, oldest, progress, now):
            return [newest]
        pairs = zip(pending, pending[1:], strict=False)
        worthwhile = [
            each
            for each, next_ in pairs
            if self._serves_long(each, next_, progress, now)
            and (progress.is_stuck(newest.version) or not progress.is_stuck(each.version))
        ]
        return [*worthwhile, newest]

    def _replaces(
        self,
        newest: RequiredVersion,
        oldest: RequiredVersion,
        progress: VersionProgress,
        now: float,
    ) -> bool:
        """Return whether the newest version makes the download of the oldest one unnecessary."""
        if progress.is_stuck(newest.version):
            return False
        needs_source = progress.unheld(newest.version) - progress.unheld(oldest.version)
        if needs_source >= SPREAD_SHARE:
            return False
        ready_at = self._ready_at(newest, progress, now)
        if ready_at + DOWNLOAD_MARGIN_S > self._deadline(oldest):
            return False
        if progress.is_stuck(oldest.version):
            return True
        return ready_at - self._ready_at(oldest, progress, now) < MIN_SERVING_S

    def _serves_long(
        self, due: RequiredVersion, next_: RequiredVersion, progress: VersionProgress, now: float
    ) -> bool:
        """Return whether a version would serve long enough before the next one must be in use.

        Otherwise, after an outage of the source, the missing pieces of a version that is about to
        expire would precede those of the next one and keep the service down for that long.
        """
        return self._ready_at(due, progress, now) + MIN_SERVING_S <= self._deadline(next_)

    def _ready_at(self, due: RequiredVersion, progress: VersionProgress, now: float) -> float:
        """Return when a version is complete here, if its source is available from now on."""
        link_s = (1.0 - progress.share(due.version)) * self._rules.copy_s
        return now + max(link_s, progress.unheld(due.version) * self._rules.source_copy_s)

    def _choose_imports(
        self,
        pending: Sequence[RequiredVersion],
        fetch: Sequence[int],
        progress: VersionProgress,
        now: float,
    ) -> tuple[int, ...]:
        """Return the versions to import for others, beyond those that this host fetches.

        After an outage the source is used for the next version as soon as hosts hold nearly all of
        the one before, long before each host has it. The exception is one that would be late: its
        last chunks would share the links with the imports. Without an outage nothing is imported
        ahead: the source sends a copy sooner than a host's link takes it, so the next version
        arrives no sooner, and the one before arrives later.
        """
        imports: list[int] = []
        for each in pending:
            if each.version < min(fetch, default=0):
                continue  # skipped: it would share the source with a version that replaces it
            if each.version not in fetch:
                imports.append(each.version)
            if each.version in progress.sent_in_time:
                break
            if progress.unheld(each.version) > 1.0 - NEARLY_COMPLETE_SHARE:
                break
            if self._ready_at(each, progress, now) + DOWNLOAD_MARGIN_S > self._deadline(each):
                break
        return tuple(imports)

    def _start_at(self, first: RequiredVersion) -> float:
        """Return the time from which this target may load a complete version or drain for it."""
        last = self._deadline(first) - DEADLINE_MARGIN_S - DRAIN_S
        start = min(last, first.received_at + self._rules.copy_s)
        early_s = (
            EARLY_WINDOW_SHARE * (last - start) if last - start >= MIN_STAGGER_WINDOW_S else 0.0
        )
        if not self._is_early:
            return start + early_s + self._position * (last - start - early_s)
        return start + self._position * early_s if early_s else -math.inf

    def _deadline(self, due: RequiredVersion) -> float:
        return due.received_at + self._rules.allowed_s


def _choose_fetches(
    chosen: Sequence[RequiredVersion], progress: VersionProgress
) -> tuple[int, ...]:
    """Return the versions to fetch now; each one waits until those before are nearly complete."""
    to_fetch: list[int] = []
    for each in chosen:
        to_fetch.append(each.version)
        if progress.share(each.version) < NEARLY_COMPLETE_SHARE:
            break
    return tuple(to_fetch)
