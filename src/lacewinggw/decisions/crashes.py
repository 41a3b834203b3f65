"""Which requests were running on targets that ended, and which of them it is that ends targets.

The load it answers: one request ends every target that begins it, and its caller asks again, under
a new id and at any entry. All that runs beside it is broken off, goes on elsewhere, and is broken
off again with the next target, until hardly any is left.

Entries tell each other which requests were running on targets that ended. Each works out by itself
which request was on more of them than any other that shares one with it: others are beside it now
and then, and are cleared as soon as they are served. Crashes that such a request explains count
against nobody else.
"""

import math
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum

from lacewinggw.ids import RequestDigest, TargetId

# Two crashes may be chance: whoever runs beside the culprit once goes on elsewhere at the same
# moment as it does, and few targets are free.
QUARANTINE_CRASHES = 3
# From here on it is never put beside another suspect, so that the next crash tells them apart.
SUSPECT_CRASHES = 2
# Requests that have been on the very same targets so often are all kept away: by then it costs more
# to find out which of them it is.
TIED_CRASHES = 5
# Until all entries have told of a crash: a way of 0.1 s, twice, and the time in which each lets
# crashes gather. A verdict on part of the evidence may fall on a request that was just beside.
SETTLE_S = 0.5
# A request that ends targets does so until its operators have changed them: some hours at most.
QUARANTINE_S = 3600.0
RETENTION_S = 3600.0  # how long a crash is remembered
MAX_REQUESTS = 4096  # remembered; 250 targets may end at once, with 16 requests each


class CrashStatus(Enum):
    """What is thought of a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"  # it runs apart from other suspects
    QUARANTINED = "quarantined"  # it ends targets, and reaches none


@dataclass(frozen=True)
class Crash:
    """A request sent to a target at `began_at` was running there as it ended, at `at`."""

    request: RequestDigest
    target: TargetId
    began_at: float
    at: float


@dataclass(frozen=True)
class _Learned:
    """A crash, and when it was learned of here."""

    crash: Crash
    learned_at: float


@dataclass
class CrashTracker:
    """What is known of crashes; times in seconds by one clock.

    if ledger.note_crash(Crash(request, target, sent_at, now), now): ...  # new: tell the others
    for request in ledger.judge(now): ...  # from now on these are kept away
    if ledger.standing(request, now) is Standing.QUARANTINED: ...
    if ledger.note_served(request, now): ...  # it was suspected: tell the others
    """

    _judge_at: float = math.inf  # when `judge` may have something new to say
    _crashes: dict[RequestDigest, dict[TargetId, _Learned]] = field(default_factory=dict)
    _served: dict[RequestDigest, float] = field(default_factory=dict)
    _quarantined: dict[RequestDigest, float] = field(default_factory=dict)
    _explained: set[TargetId] = field(default_factory=set)

    @property
    def is_empty(self) -> bool:
        """Whether no request is suspected of anything."""
        return not (self._crashes or self._quarantined)

    @property
    def next_check_at(self) -> float:
        """When `judge` or `expired` may have something new to say; infinite while nothing is."""
        return min(self._judge_at, min(self._quarantined.values(), default=math.inf))

    @property
    def quarantined(self) -> Sequence[RequestDigest]:
        """The requests that are kept away from targets."""
        return list(self._quarantined)

    def crashes(self) -> Iterator[Crash]:
        """Yield every crash that is remembered."""
        for targets in self._crashes.values():
            for learned in targets.values():
                yield learned.crash

    def served(self) -> Iterator[tuple[RequestDigest, float]]:
        """Yield the requests that were suspected and then served, and when."""
        yield from self._served.items()

    def crash_count(self, request: RequestDigest) -> int:
        """Return on how many targets a request was as they ended, those of others included."""
        return len(self._crashes.get(request, ()))

    def sequential_targets(self, request: RequestDigest) -> list[TargetId]:
        """Return the targets that ended under a request one after the other.

        Those that ended under one that is kept away count only for that one.
        """
        known = self._crashes.get(request, {})
        counted = known if request in self._quarantined else self._unexplained(request)
        return [crash.target for crash in _in_turn(known[each].crash for each in counted)]

    def note_crash(self, crash: Crash, now: float) -> bool:
        """Take a crash; return whether it was not known, and counts."""
        if self._served.get(crash.request, -math.inf) >= crash.at or now - crash.at > RETENTION_S:
            return False
        known = self._crashes.setdefault(crash.request, {})
        if crash.target in known:
            return False
        known[crash.target] = _Learned(crash, now)
        if crash.request in self._quarantined:
            self._explained.add(crash.target)
        self._judge_at = min(self._judge_at, now + SETTLE_S)
        self._forget(now)
        return True

    def note_served(self, request: RequestDigest, at: float) -> bool:
        """Take that a target served a request; return whether it was suspected until then.

        What ends each target that begins it is never served, so this clears it of what was before.
        """
        known = self._crashes.get(request)
        if known is None or request in self._quarantined:
            return False
        left = {target: learned for target, learned in known.items() if learned.crash.at > at}
        if len(left) == len(known):
            return False
        self._served[request] = max(at, self._served.get(request, at))
        if left:
            self._crashes[request] = left
        else:
            del self._crashes[request]
        return True

    def quarantine(self, request: RequestDigest, now: float) -> bool:
        """Keep a request away from targets; return whether it was not until then."""
        if request in self._quarantined:
            return False
        self._quarantined[request] = now + QUARANTINE_S
        self._explained.update(self._crashes.get(request, ()))
        return True

    def lift_quarantine(self, request: RequestDigest) -> bool:
        """Let a request reach targets again; return whether it was kept away."""
        self._crashes.pop(request, None)
        return self._quarantined.pop(request, None) is not None

    def expired_quarantines(self, now: float) -> list[RequestDigest]:
        """Return the requests that have been kept away for long enough."""
        return [request for request, until in self._quarantined.items() if until <= now]

    def quarantine_left(self, request: RequestDigest, now: float) -> float:
        """Return how long a request is still kept away, in seconds."""
        return max(0.0, self._quarantined.get(request, now) - now)

    def status(self, request: RequestDigest, now: float) -> CrashStatus:
        """Return what is thought of a request."""
        if self.quarantine_left(request, now) > 0:
            return CrashStatus.QUARANTINED
        if len(self._unexplained(request)) >= SUSPECT_CRASHES:
            return CrashStatus.SUSPECT
        return CrashStatus.CLEAR

    def quarantine_culprits(self, now: float) -> list[RequestDigest]:
        """Return the requests that are found to end targets, and keep them away from now on."""
        found: list[RequestDigest] = []
        if now < self._judge_at:
            return found
        while culprits := self._find_culprits(now):
            for request in culprits:
                self.quarantine(request, now)
            found += culprits
        unsettled = [
            learned.learned_at + SETTLE_S
            for targets in self._crashes.values()
            for learned in targets.values()
            if learned.learned_at + SETTLE_S > now
        ]
        self._judge_at = min(unsettled, default=math.inf)
        return found

    def _find_culprits(self, now: float) -> list[RequestDigest]:
        """Return the request that explains most crashes, if no other one explains them as well."""
        open_ = {
            request: targets
            for request in self._crashes
            if request not in self._quarantined and (targets := self._unexplained(request))
        }
        due = [request for request in open_ if self._has_settled(request, now)]
        if not due:
            return []
        first = max(due, key=lambda request: len(open_[request]))
        targets = open_[first]
        rivals = [
            request
            for request, others in open_.items()
            if request != first and len(others) >= len(targets) and others & targets
        ]
        if not rivals:
            return [first]
        return [first, *rivals] if len(targets) >= TIED_CRASHES else []

    def _has_settled(self, request: RequestDigest, now: float) -> bool:
        """Return whether enough targets ended under a request, and all entries had time to tell."""
        known = self._crashes[request]
        learned = [known[target] for target in self._unexplained(request)]
        settled = [each.crash for each in learned if each.learned_at + SETTLE_S <= now]
        return len(_in_turn(settled)) >= QUARANTINE_CRASHES

    def _unexplained(self, request: RequestDigest) -> set[TargetId]:
        """Return the targets that ended under a request and not under one that is kept away."""
        return self._crashes.get(request, {}).keys() - self._explained

    def _forget(self, now: float) -> None:
        """Forget requests that were seen long ago, and the oldest when there are too many."""
        while len(self._crashes) > MAX_REQUESTS:
            del self._crashes[next(iter(self._crashes))]
        while self._crashes:
            oldest = next(iter(self._crashes))
            last = max(each.learned_at for each in self._crashes[oldest].values())
            if now - last <= RETENTION_S:
                break
            del self._crashes[oldest]
        remembered = {target for known in self._crashes.values() for target in known}
        self._explained &= remembered
        while len(self._served) > MAX_REQUESTS:
            del self._served[next(iter(self._served))]


def _in_turn(crashes: Iterable[Crash]) -> list[Crash]:
    """Return the crashes of targets to which a request was sent after the one before had ended.

    Targets that end at one moment, as their host or their zone fails, count once: a lookup that is
    asked for often may be running on all of them.
    """
    found: list[Crash] = []
    for crash in sorted(crashes, key=lambda each: each.at):
        if not found or crash.began_at >= found[-1].at:
            found.append(crash)
    return found
