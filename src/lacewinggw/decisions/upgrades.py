"""Which versions of its weights a target is to be brought to, in which order, and when.

Versions can be named faster than they spread. Each has its own bound, after which nothing may begin
on an older one, so a version that is on its way is not given up for the next one unless the next
one is here before the bound of the first: what is half fetched serves nobody, and the source of the
next one may fail.

A version takes most of its time to arrive, on all targets at about the same moment, and a target
that lets its requests end before it loads is out for two seconds. So half of a service takes the
version the moment it is there, and what it breaks off goes on at the other half; that half is
emptied, as new requests go to the first, and takes the version before the bound.

Where the bound leaves time beyond the copy, targets take their turns over all of it. A fleet at
0.87 of what it can do is at 1.7 times of it while half of it is out, and at 1.2 while a quarter is.
"""

import math
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from lacewinggw.decisions.peerselection import rendezvous_rank
from lacewinggw.decisions.routingview import RequiredVersion
from lacewinggw.ids import HostId

FIRST_VERSION = 1  # of a model's weights, where no other has been named
EARLY_SHARE = 0.5  # of a service: what these break off must fit on the others
# Of the time between the copy and the bound, for the early half: these are out for 0.4 s each and
# the others for 1.4 s, so that about as many are out at any time.
EARLY_WINDOW_SHARE = 0.22
# Less than that between the copy and the last turns: the early half takes the version at once.
MIN_STAGGER_WINDOW_S = 1.5
DRAIN_S = 1.0  # most running requests end within it, those of the usual length all
DEADLINE_MARGIN_S = 0.6  # before the bound: an order then still keeps anything from beginning late
DOWNLOAD_MARGIN_S = 1.0  # beyond the time that the rest of a version takes, to count on it in time
NEARLY_COMPLETE_SHARE = 0.9  # of a version: the rest of it leaves room on the link for the next one
# That a version has to serve before the next one is due: taking it costs 0.4 s, and what begins on
# it does so up to 0.9 s before that.
MIN_SERVING_S = 1.8
MIN_REMAINING_S = 2.0  # an older version that is at hand is loaded if it may serve for so long


@dataclass(frozen=True)
class UpgradeRules:
    """`allowed_s` after it was named a version is in use; a copy takes `copy_s` to fetch."""

    allowed_s: float
    copy_s: float


@dataclass(frozen=True)
class VersionProgress:
    """The share of each version that is at hand here, from 0 to 1."""

    shares: Mapping[int, float]

    def share(self, version: int) -> float:
        """Return the share of a version that is at hand."""
        return self.shares.get(version, 0.0)

    def is_complete(self, version: int) -> bool:
        """Return whether a version is at hand whole."""
        return self.share(version) >= 1.0


@dataclass(frozen=True)
class UpgradeStep:
    """What to do now: versions to fetch, the first one first, and the one to load, if any.

    With `may_cut` other targets still have the old version, so that requests which are broken off
    can go on there; without, the target is emptied first and what is left ends by itself. The order
    is given by `order_by`, emptied or not.
    """

    fetch: tuple[int, ...] = ()
    load: int | None = None
    may_interrupt: bool = False
    load_deadline: float = math.inf


class UpgradePlanner:
    """The steps of one target among those of its service.

    plan = UpgradePlan(rules, host, hosts)
    plan.decide(current, due, progress, now)
    """

    def __init__(self, rules: UpgradeRules, host: HostId, hosts: Collection[HostId]) -> None:
        self._rules = rules
        rank = rendezvous_rank("upgrades", host, hosts)
        early = int(EARLY_SHARE * len(hosts))
        self._is_early = rank < early
        # From 0 to 1 among the targets of the same half; the last one of the late half has 1.
        self._turn = rank / early if self._is_early else (rank - early + 1) / (len(hosts) - early)

    def decide(
        self,
        current: int | None,
        due: Sequence[RequiredVersion],
        progress: VersionProgress,
        now: float,
    ) -> UpgradeStep:
        """Return what to do for a target that has `current`, None for no version at all."""
        if not due:
            return self._for_first(current, progress)
        if current is None:
            return self._for_empty(due, progress, now)
        pending = [each for each in due if each.version > current]
        if not pending:
            return UpgradeStep()
        wanted = self._wanted(pending, progress, now)
        first = wanted[0]
        fetch = _open(wanted, progress)
        if not progress.is_complete(first.version):
            return UpgradeStep(fetch)
        if now < self._turn_at(pending[0]):
            return UpgradeStep(fetch)
        order_by = self._bound(pending[0]) - DEADLINE_MARGIN_S
        return UpgradeStep(fetch, first.version, self._is_early, order_by)

    def _for_first(self, current: int | None, progress: VersionProgress) -> UpgradeStep:
        if current is not None:
            return UpgradeStep()
        load = FIRST_VERSION if progress.is_complete(FIRST_VERSION) else None
        return UpgradeStep((FIRST_VERSION,), load)

    def _for_empty(
        self, due: Sequence[RequiredVersion], progress: VersionProgress, now: float
    ) -> UpgradeStep:
        """Bring the newest version, and meanwhile serve an older one that is at hand."""
        newest = due[-1]
        if progress.is_complete(newest.version):
            return UpgradeStep((newest.version,), newest.version)
        if now + MIN_REMAINING_S < self._bound(newest):
            older = [version for version in progress.shares if version < newest.version]
            at_hand = [version for version in older if progress.is_complete(version)]
            if at_hand:
                return UpgradeStep((newest.version,), max(at_hand))
        return UpgradeStep((newest.version,))

    def _wanted(
        self, pending: Sequence[RequiredVersion], progress: VersionProgress, now: float
    ) -> Sequence[RequiredVersion]:
        """Return the versions to bring, those left out that are not worth their time."""
        oldest, newest = pending[0], pending[-1]
        if oldest is newest or progress.is_complete(newest.version):
            return [newest]
        if self._ready_at(newest, progress, now) + DOWNLOAD_MARGIN_S <= self._bound(oldest):
            return [newest]
        pairs = zip(pending, pending[1:], strict=False)
        worth_it = [each for each, next_ in pairs if self._serves_long(each, next_, progress, now)]
        return [*worth_it, newest]

    def _serves_long(
        self, due: RequiredVersion, next_: RequiredVersion, progress: VersionProgress, now: float
    ) -> bool:
        """Return whether a version would serve for a while before the next one must be in use.

        After an outage of the source the missing pieces of a version that is all but over would
        come before those of the next one, and keep a service out for as long as they take.
        """
        return self._ready_at(due, progress, now) + MIN_SERVING_S <= self._bound(next_)

    def _ready_at(self, due: RequiredVersion, progress: VersionProgress, now: float) -> float:
        return now + (1.0 - progress.share(due.version)) * self._rules.copy_s

    def _turn_at(self, first: RequiredVersion) -> float:
        """Return when this target may take a version that is there, or begin to empty for it."""
        last = self._bound(first) - DEADLINE_MARGIN_S - DRAIN_S
        begin = min(last, first.received_at + self._rules.copy_s)
        early_s = (
            EARLY_WINDOW_SHARE * (last - begin) if last - begin >= MIN_STAGGER_WINDOW_S else 0.0
        )
        if not self._is_early:
            return begin + early_s + self._turn * (last - begin - early_s)
        return begin + self._turn * early_s if early_s else -math.inf

    def _bound(self, due: RequiredVersion) -> float:
        return due.received_at + self._rules.allowed_s


def _open(wanted: Sequence[RequiredVersion], progress: VersionProgress) -> tuple[int, ...]:
    """Return the versions to fetch now: the next one only when those before are nearly there."""
    opened: list[int] = []
    for each in wanted:
        opened.append(each.version)
        if progress.share(each.version) < NEARLY_COMPLETE_SHARE:
            break
    return tuple(opened)
