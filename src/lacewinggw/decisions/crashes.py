"""Detection of requests that crash targets, from the requests that ran on each crashed target.

The failure it guards against: one request crashes every target that begins it, and its caller
retries it under a new id at any entry. The requests that run on the same target are broken off,
move to another target and are broken off again when that one crashes, until hardly any target is
left.

Entries send each other the requests that were running on crashed targets. From the same reports
each entry computes which request was on more crashed targets than any request that shares a target
with it. Other requests share a target with it only now and then, and are cleared as soon as they
are served. Crashes that a quarantined request explains do not count against other requests.
"""

import math
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum

from lacewinggw.ids import RequestDigest, TargetId

# Crashes after which a request is quarantined. Two may be chance: a request that ran next to the
# culprit is retried at the same time as the culprit, and few targets are free.
QUARANTINE_CRASHES = 3
# From this count on a request never shares a target with another suspect, so that the next crash
# identifies the culprit.
SUSPECT_CRASHES = 2
# Requests that have been on exactly the same crashed targets this often are all quarantined:
# by then further crashes cost more than quarantining an innocent request.
TIED_CRASHES = 5
# Time until the reports of all entries on a crash have arrived: two hops of 0.1 s, and the time in
# which each entry collects crashes into one report. A decision on part of the reports may
# quarantine a request that merely shared the targets.
SETTLE_S = 0.5
# A request crashes targets until their operators have changed them, which takes some hours at most.
QUARANTINE_S = 3600.0
RETENTION_S = 3600.0  # how long a crash is kept
MAX_REQUESTS = 4096  # kept at once: 250 targets may crash together, with 16 requests each


class CrashStatus(Enum):
    """Whether a request is suspected of crashing targets."""

    CLEAR = "clear"
    SUSPECT = "suspect"  # never shares a target with another suspect
    QUARANTINED = "quarantined"  # crashes targets, and is sent to none


@dataclass(frozen=True)
class Crash:
    """A request, sent to a target at `began_at`, that was running there when it crashed at `at`."""

    request: RequestDigest
    target: TargetId
    began_at: float
    at: float


@dataclass(frozen=True)
class _ReceivedCrash:
    """A crash, and when this entry received it."""

    crash: Crash
    received_at: float


@dataclass
class CrashTracker:
    """Records crashes and decides which requests to quarantine; times in seconds by one clock.

    if tracker.note_crash(Crash(request, target, sent_at, now), now): ...  # new: send it to peers
    for request in tracker.quarantine_culprits(now): ...  # newly quarantined
    if tracker.status(request, now) is CrashStatus.QUARANTINED: ...
    if tracker.note_served(request, now): ...  # cleared of crashes: send it to peers
    """

    _check_at: float = math.inf  # when `quarantine_culprits` may find something new
    _crashes: dict[RequestDigest, dict[TargetId, _ReceivedCrash]] = field(default_factory=dict)
    _served: dict[RequestDigest, float] = field(default_factory=dict)
    _quarantined: dict[RequestDigest, float] = field(default_factory=dict)
    _explained: set[TargetId] = field(default_factory=set)

    @property
    def is_empty(self) -> bool:
        """Whether no crash is recorded and no request is quarantined."""
        return not (self._crashes or self._quarantined)

    @property
    def next_check_at(self) -> float:
        """When to call `quarantine_culprits` and `expired_quarantines` next; infinite for never."""
        return min(self._check_at, min(self._quarantined.values(), default=math.inf))

    @property
    def quarantined(self) -> Sequence[RequestDigest]:
        """The quarantined requests, those whose quarantine has expired included."""
        return list(self._quarantined)

    def crashes(self) -> Iterator[Crash]:
        """Yield every recorded crash."""
        for targets in self._crashes.values():
            for received in targets.values():
                yield received.crash

    def served(self) -> Iterator[tuple[RequestDigest, float]]:
        """Yield each request that was cleared by being served, and when it was served."""
        yield from self._served.items()

    def crash_count(self, request: RequestDigest) -> int:
        """Return on how many targets a request ran when they crashed, whichever request did it."""
        return len(self._crashes.get(request, ()))

    def sequential_targets(self, request: RequestDigest) -> list[TargetId]:
        """Return the targets that crashed under a request one after the other.

        A target that crashed under a quarantined request counts only for that request.
        """
        known = self._crashes.get(request, {})
        counted = known if request in self._quarantined else self._unexplained(request)
        return [crash.target for crash in _sequential(known[each].crash for each in counted)]

    def note_crash(self, crash: Crash, now: float) -> bool:
        """Record a crash; return whether it is new and counts."""
        if self._served.get(crash.request, -math.inf) >= crash.at or now - crash.at > RETENTION_S:
            return False
        known = self._crashes.setdefault(crash.request, {})
        if crash.target in known:
            return False
        known[crash.target] = _ReceivedCrash(crash, now)
        if crash.request in self._quarantined:
            self._explained.add(crash.target)
        self._check_at = min(self._check_at, now + SETTLE_S)
        self._prune(now)
        return True

    def note_served(self, request: RequestDigest, at: float) -> bool:
        """Record that a target served a request; return whether this clears it of any crash.

        A request that crashes every target is never served, so its earlier crashes are dropped.
        """
        known = self._crashes.get(request)
        if known is None or request in self._quarantined:
            return False
        left = {target: received for target, received in known.items() if received.crash.at > at}
        if len(left) == len(known):
            return False
        self._served[request] = max(at, self._served.get(request, at))
        if left:
            self._crashes[request] = left
        else:
            del self._crashes[request]
        return True

    def quarantine(self, request: RequestDigest, now: float) -> bool:
        """Quarantine a request; return False if it already is."""
        if request in self._quarantined:
            return False
        self._quarantined[request] = now + QUARANTINE_S
        self._explained.update(self._crashes.get(request, ()))
        return True

    def lift_quarantine(self, request: RequestDigest) -> bool:
        """End the quarantine of a request and drop its crashes; return whether it had one."""
        self._crashes.pop(request, None)
        return self._quarantined.pop(request, None) is not None

    def expired_quarantines(self, now: float) -> list[RequestDigest]:
        """Return the requests whose quarantine has expired."""
        return [request for request, until in self._quarantined.items() if until <= now]

    def quarantine_left(self, request: RequestDigest, now: float) -> float:
        """Return the remaining time of a request's quarantine, in seconds; 0 without one."""
        return max(0.0, self._quarantined.get(request, now) - now)

    def status(self, request: RequestDigest, now: float) -> CrashStatus:
        """Return whether a request is clear, suspected or quarantined."""
        if self.quarantine_left(request, now) > 0:
            return CrashStatus.QUARANTINED
        if len(self._unexplained(request)) >= SUSPECT_CRASHES:
            return CrashStatus.SUSPECT
        return CrashStatus.CLEAR

    def quarantine_culprits(self, now: float) -> list[RequestDigest]:
        """Detect requests that crash targets, quarantine them, and return them."""
        found: list[RequestDigest] = []
        if now < self._check_at:
            return found
        while culprits := self._find_culprits(now):
            for request in culprits:
                self.quarantine(request, now)
            found += culprits
        unsettled = [
            received.received_at + SETTLE_S
            for targets in self._crashes.values()
            for received in targets.values()
            if received.received_at + SETTLE_S > now
        ]
        self._check_at = min(unsettled, default=math.inf)
        return found

    def _find_culprits(self, now: float) -> list[RequestDigest]:
        """Return the request that explains the most crashes, if no other explains them as well.

        Return all tied requests from `TIED_CRASHES` on, and an empty list for an undecided tie.
        """
        candidates = {
            request: targets
            for request in self._crashes
            if request not in self._quarantined and (targets := self._unexplained(request))
        }
        due = [request for request in candidates if self._has_settled(request, now)]
        if not due:
            return []
        first = max(due, key=lambda request: len(candidates[request]))
        targets = candidates[first]
        rivals = [
            request
            for request, others in candidates.items()
            if request != first and len(others) >= len(targets) and others & targets
        ]
        if not rivals:
            return [first]
        return [first, *rivals] if len(targets) >= TIED_CRASHES else []

    def _has_settled(self, request: RequestDigest, now: float) -> bool:
        """Return whether enough targets crashed under a request, with all reports on them in."""
        known = self._crashes[request]
        received = [known[target] for target in self._unexplained(request)]
        settled = [each.crash for each in received if each.received_at + SETTLE_S <= now]
        return len(_sequential(settled)) >= QUARANTINE_CRASHES

    def _unexplained(self, request: RequestDigest) -> set[TargetId]:
        """Return the targets that crashed under a request and not under a quarantined one."""
        return self._crashes.get(request, {}).keys() - self._explained

    def _prune(self, now: float) -> None:
        """Drop requests past their retention time, and the oldest ones beyond `MAX_REQUESTS`."""
        while len(self._crashes) > MAX_REQUESTS:
            del self._crashes[next(iter(self._crashes))]
        while self._crashes:
            oldest = next(iter(self._crashes))
            last = max(each.received_at for each in self._crashes[oldest].values())
            if now - last <= RETENTION_S:
                break
            del self._crashes[oldest]
        remembered = {target for known in self._crashes.values() for target in known}
        self._explained &= remembered
        while len(self._served) > MAX_REQUESTS:
            del self._served[next(iter(self._served))]


def _sequential(crashes: Iterable[Crash]) -> list[Crash]:
    """Return the crashes of targets to which a request was sent after the previous one crashed.

    Targets that crash together because their host or place fails count once: a frequently repeated
    lookup may be running on all of them.
    """
    found: list[Crash] = []
    for crash in sorted(crashes, key=lambda each: each.at):
        if not found or crash.began_at >= found[-1].at:
            found.append(crash)
    return found
