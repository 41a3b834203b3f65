"""Leases on the slots of one target, granted by the agent on the same host.

The load it handles: many entries receive more requests than the targets can start. Entries that
choose by reported load all see the same free slot and all take it: targets fill with requests that
wait there until they are late, and refuse the rest. The agent alone knows how many requests have
been sent. It grants as many leases as there are slots and keeps further requests in one queue for
all entries, the most urgent first, and newer ones before older ones.

A request is dropped from the queue once the requests ahead of it would not all start before its
wait ends, at the rate of recent starts. In an overload slots go to newer requests, so it would
start only by chance while its caller is kept waiting. No request is dropped from a short queue, so
the rule follows a fluctuating load at once.

Ranks share the slots by the rules in `rankshares.py`, and the accounts of a rank by `fairness.py`.

A lease ends when its entry releases it or when the connection to the entry breaks. The target's own
reports correct the count: requests without a lease occupy slots, and leases of entries that stopped
sending do not keep theirs.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from lacewinggw.decisions.coldstart import MAX_LIMITED_WAIT_S, ColdLimiter
from lacewinggw.decisions.rankshares import LOWER_SHARE
from lacewinggw.decisions.targetload import LATE_SLOT_SHARE
from lacewinggw.decisions.targetspeed import BatchSpeed
from lacewinggw.decisions.waitqueue import NO_ACCOUNT, Waiter, WaitQueue
from lacewinggw.ids import Account, LeaseId, SuspectGroup

# Time until a request with a lease shows in a report of the target: the lease travels to the entry,
# the entry connects to the target, and the next report is due.
REPORT_DELAY_S = 0.4
# Longest time between two reports of a target that answers. One that took longer was silent, and
# its next report lacks what it was sent meanwhile and has not read yet.
MAX_REPORT_GAP_S = 0.5
# Prefill time that may be pending at a target, about two prompts of typical length. Each prompt
# delays the first events of all requests that started with it, so a free slot waits beyond this.
MAX_PREFILL_BACKLOG_S = 0.15
START_GAP_WEIGHT = 0.1  # weight of one sample in the smoothed time between starts
# More urgent requests that may arrive before a slot becomes free, as a multiple of those expected
# at their recent rate. Arrivals are irregular, and one that finds no slot may be late.
RESERVE_MARGIN = 2.0
# Agents at which a waiting request waits at once, as entries search. So of the requests ahead only
# one in so many starts here.
AGENTS_ASKED = 6
RETRY_RANK = 0  # of requests that targets have already worked on


@dataclass(frozen=True)
class SlotRequest:
    """A request for a slot of a target; times in seconds.

    `rank` 0 goes first. A request that `is_late` can no longer meet its objective. It has waited
    `waited_s` already, may wait `wait_s` in the queue, and its prefill takes the target
    `prefill_s`. `suspect` is set for a request that may crash targets. It takes an estimated
    `service_s` of the target's time, prompt and output together.
    """

    rank: int
    is_late: bool
    wait_s: float
    prefill_s: float = 0.0
    suspect: SuspectGroup | None = None
    waited_s: float = 0.0
    account: Account = NO_ACCOUNT
    service_s: float = 0.0


@dataclass
class _Lease:
    """A requested lease; `granted_at` is None while it waits."""

    request: SlotRequest
    waiter: Waiter | None = None
    granted_at: float | None = None


@dataclass
class SlotAllocator:
    """Grants the slots of a target and queues requests for them; times in seconds.

    allocator = SlotAllocator(slots=8)
    allocator.open()
    allocator.enqueue(lease, request, now)
    for lease in allocator.grant(now): ...  # notify its entry
    for lease in [*allocator.drop_excess(now), *allocator.drop_overtaken(now)]: ...
    allocator.release(lease)
    allocator.note_report(running=5, now=now)
    """

    slots: int = 0
    is_open: bool = False
    is_paused: bool = False  # the target is silent: nothing starts, and requests keep waiting
    limiter: ColdLimiter = field(default_factory=ColdLimiter)  # limits grants to a cold target
    speed: BatchSpeed = field(default_factory=BatchSpeed)
    _leases: dict[LeaseId, _Lease] = field(default_factory=dict)
    _queue: WaitQueue = field(default_factory=lambda: WaitQueue(RETRY_RANK))
    _waiting: dict[int, LeaseId] = field(default_factory=dict)
    _granted: int = 0
    _correction: int = 0
    _reported_at: float = math.inf  # until the first report
    _prefill_done_at: float = 0.0
    _waited_since: float = 0.0  # the last start, or when the first request queued after it
    _start_gap_s: float = 0.0  # smoothed, between two starts while requests wait; 0 until known

    @property
    def taken(self) -> int:
        """How many slots are taken, by the leases corrected by the last report."""
        return max(0, self._granted + self._correction)

    @property
    def waiting(self) -> int:
        """How many requests wait for a slot."""
        return len(self._queue)

    def open(self) -> None:
        """Start to grant slots."""
        self.is_open, self.is_paused = True, False

    def pause(self) -> None:
        """Grant nothing until `open`; requests may queue meanwhile."""
        self.is_paused = True

    def close(self) -> list[LeaseId]:
        """Stop granting slots, as the target begins nothing; return the dropped waiting leases."""
        self.is_open = False
        waited = list(self._waiting.values())
        for lease in waited:
            self._remove(lease)
        return waited

    def enqueue(self, lease: LeaseId, request: SlotRequest, now: float) -> None:
        """Add a request for a slot to the queue."""
        if not self.waiting:
            self._waited_since = now
        until = now + request.wait_s
        self._queue.note_request(request.rank, request.account, now)
        waiter = self._queue.add(
            request.rank,
            request.is_late,
            until,
            now - request.waited_s,
            request.account,
            request.service_s,
        )
        self._leases[lease] = _Lease(request, waiter)
        self._waiting[id(waiter)] = lease

    def release(self, lease: LeaseId) -> None:
        """End a lease, or remove a request for one from the queue."""
        self._remove(lease)

    def grant(self, now: float) -> list[LeaseId]:
        """Grant free slots to waiting requests; return the granted leases."""
        return list(self._grant(now)) if self.is_open and not self.is_paused else []

    def drop_overtaken(self, now: float) -> list[LeaseId]:
        """Drop the requests that would not get a slot in time; return their leases.

        The first in the queue is never dropped. The others stay if those ahead of them would start
        before their wait ends, at the rate of recent starts. While less urgent requests start here,
        urgent ones that can be on time stay longer: those ahead wait at other agents too.
        """
        dropped: list[LeaseId] = []
        for ahead, waiter in enumerate(self._queue.in_order()):
            starts_in_s = (ahead + 1) * self._start_gap_s
            if self._may_displace(waiter, now):
                starts_in_s /= AGENTS_ASKED
            if ahead and starts_in_s > waiter.until - now:
                dropped.append(self._waiting[id(waiter)])
        for lease in dropped:
            self._remove(lease)
        return dropped

    def drop_limited(self, now: float) -> list[LeaseId]:
        """Drop the requests that a cold target would start too late; return their leases."""
        dropped: list[LeaseId] = []
        if self.limiter.opens_at(now, self.waiting) <= now:
            return dropped
        for position, waiter in enumerate(self._queue.in_order(), start=1):
            opens_at = self.limiter.opens_at(now, position)
            if opens_at > now and opens_at > min(waiter.until, now + MAX_LIMITED_WAIT_S):
                dropped.append(self._waiting[id(waiter)])
        for lease in dropped:
            self._remove(lease)
        return dropped

    def drop_excess(self, now: float) -> list[LeaseId]:
        """Drop the requests of accounts that are ahead of their share; return their leases.

        They stay while no other account waits, and where less urgent requests can be displaced.
        """
        excess = self._queue.excess()
        if not excess:
            return []
        dropped = [
            self._waiting[id(waiter)]
            for waiter in self._queue.in_order()
            if waiter.share in excess and not self._may_displace(waiter, now)
        ]
        for lease in dropped:
            self._remove(lease)
        return dropped

    def next_check_at(self, now: float) -> float | None:
        """Return when prefill backlog and limiter allow one more start; None if none waits."""
        if not self.waiting:
            return None
        prefill_at = self._prefill_done_at - MAX_PREFILL_BACKLOG_S
        return max(now, prefill_at, self.limiter.opens_at(now))

    def note_report(self, running: int, now: float) -> None:
        """Correct the count by the target's own report of its running and queued requests."""
        was_silent = now - self._reported_at > MAX_REPORT_GAP_S
        if was_silent:
            self._waited_since = now  # the silence says nothing of how often requests start
        reads_until = self._reported_at if was_silent else now
        self._reported_at = now
        shown = sum(
            lease.granted_at is not None and lease.granted_at <= reads_until - REPORT_DELAY_S
            for lease in self._leases.values()
        )
        if running > self._granted:
            self._correction = running - self._granted
        else:
            self._correction = min(0, running - shown)

    def _grant(self, now: float) -> Iterator[LeaseId]:
        while (key := self._next_to_start(now)) is not None:
            lease = self._leases[key]
            request = lease.request
            self._start_gap_s += START_GAP_WEIGHT * (now - self._waited_since - self._start_gap_s)
            self._waited_since = now
            self._leave_queue(lease)
            self._queue.note_served(request.rank, request.account, request.service_s, now)
            lease.granted_at = now
            self.limiter.note_start(now)
            self._granted += 1
            # Prompts take a slow target longer too, and delay the streams that run there.
            prefill_s = request.prefill_s * self.speed.factor(now)
            self._prefill_done_at = max(now, self._prefill_done_at) + prefill_s
            self.speed.note_prompt(request.prefill_s, now)
            yield key

    def _next_to_start(self, now: float) -> LeaseId | None:
        """Return the next request that may start now; the order may change with each start."""
        for waiter in list(self._queue.in_order()):
            key = self._waiting[id(waiter)]
            request = self._leases[key].request
            if waiter.until < now:
                self._remove(key)
            elif self._has_other_suspect(request):
                continue
            elif self.limiter.opens_at(now) > now:
                return None
            elif not self._has_free_slot(request, now):
                if not request.is_late:
                    return None
            elif not self._is_reserved(waiter, now):
                return key
        return None

    def _may_displace(self, waiter: Waiter, now: float) -> bool:
        return not waiter.is_late and self._queue.ranks.displaces(waiter.priority, now)

    def _has_free_slot(self, request: SlotRequest, now: float) -> bool:
        if self._prefill_done_at - now >= MAX_PREFILL_BACKLOG_S:
            return False
        return self.taken < self.slots * (LATE_SLOT_SHARE if request.is_late else 1.0)

    def _is_reserved(self, waiter: Waiter, now: float) -> bool:
        """Return whether the free slots are kept for more urgent requests that are expected.

        They are not if the request could hardly wait until further slots become free.
        """
        rate = self._queue.ranks.urgent_rate(waiter.priority, now)
        expected = round(RESERVE_MARGIN * rate * self._start_gap_s)
        if not expected or self.taken + expected < self.slots:
            return False
        if waiter.until - now < (expected + 1) * self._start_gap_s:
            return False
        lower = sum(
            lease.granted_at is not None and lease.request.rank >= waiter.priority
            for lease in self._leases.values()
        )
        return lower >= LOWER_SHARE * self.slots

    def _has_other_suspect(self, request: SlotRequest) -> bool:
        """Return whether another suspect holds a slot: a crash would not identify the culprit."""
        if request.suspect is None:
            return False
        return any(
            lease.granted_at is not None and lease.request.suspect not in (None, request.suspect)
            for lease in self._leases.values()
        )

    def _remove(self, key: LeaseId) -> None:
        lease = self._leases.pop(key, None)
        if lease is None:
            return
        self._leave_queue(lease)
        if lease.granted_at is None:
            return
        self._granted -= 1
        if self._correction < 0:
            # One of the leases that were missing from the target's report has ended.
            self._correction += 1

    def _leave_queue(self, lease: _Lease) -> None:
        if lease.waiter is not None:
            self._waiting.pop(id(lease.waiter), None)
            self._queue.remove(lease.waiter)
            lease.waiter = None
