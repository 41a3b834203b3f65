"""Leases on the slots of one target, given out by the agent beside it.

The load it answers: more requests than the targets can start, before many entries. An entry that
judges by updates of others' work sees the same free slot as all others do, and all take it: targets
fill with requests that wait there until they are late, and refuse the rest. The agent is the one
place that knows how many have been sent: it gives out as many leases as there are slots, and keeps
those that ask for more in one line for all entries, the most urgent first, the newest of them
before older ones.

A request leaves the line once those before it would not all start in its time, by the pace of the
last starts. In an overload slots go to newer ones, so it would start only by chance while its
caller is held. Where few wait nobody has to leave, so the rule follows a load that swings at once.

A lease ends when its entry says so, or when the link to it breaks. What the target itself reports
corrects the count: requests that nobody has a lease for take room, and leases of entries that fell
silent do not keep it.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from lacewinggw.decisions.targetload import LATE_SLOT_SHARE
from lacewinggw.decisions.waitqueue import Waiter, WaitQueue
from lacewinggw.ids import LeaseId, RequestDigest

# Until a request that has a lease shows in a target's report: the lease's way to the entry, a
# connection, and the pause between two reports.
REPORT_DELAY_S = 0.4
# Of prompts that a target has yet to read. Each delays the first events of all that came with it,
# so a slot that falls free while there are more waits: two prompts of usual length.
MAX_PREFILL_BACKLOG_S = 0.15
START_GAP_WEIGHT = 0.1  # weight of one start in the usual time between two


@dataclass(frozen=True)
class SlotRequest:
    """What a request needs of a target's slots.

    `rank` 0 goes first; one that `is_late` cannot be on time any more. It has waited `waited_s`
    already and may wait `wait_s` in line, and reading its prompt takes the target `reading_s`; all
    in seconds. A `suspect` may end the target that begins it.
    """

    rank: int
    is_late: bool
    wait_s: float
    prefill_s: float = 0.0
    suspect: RequestDigest | None = None
    waited_s: float = 0.0


@dataclass
class _Lease:
    """A lease that was asked for; given at `given_at`, if it was."""

    wish: SlotRequest
    waiter: Waiter | None = None
    given_at: float | None = None


@dataclass
class SlotAllocator:
    """Who has the slots of a target, and who waits for one; times in seconds.

    ledger = SlotLedger(slots=8)
    ledger.open()
    ledger.ask(lease, wish, now)
    for lease in ledger.give(now): ...  # notify them
    for lease in ledger.drop_overtaken(now): ...
    ledger.end(lease)
    ledger.note_report(running=5, now=now)
    """

    slots: int = 0
    is_open: bool = False
    _leases: dict[LeaseId, _Lease] = field(default_factory=dict)
    _line: WaitQueue = field(default_factory=WaitQueue)
    _waiting: dict[int, LeaseId] = field(default_factory=dict)
    _given: int = 0
    _correction: int = 0
    _read_by: float = 0.0
    _waited_since: float = 0.0  # the last start, or when somebody began to wait after it
    _start_gap_s: float = 0.0  # between two starts while requests wait; 0 until known

    @property
    def taken(self) -> int:
        """How many slots are taken, as far as leases and the last report tell."""
        return max(0, self._given + self._correction)

    @property
    def waiting(self) -> int:
        """How many wait for a slot."""
        return len(self._line)

    def open(self) -> None:
        """Give slots from now on."""
        self.is_open = True

    def close(self) -> list[LeaseId]:
        """Give no slots, as the target begins nothing; return who waited in vain."""
        self.is_open = False
        waited = list(self._waiting.values())
        for lease in waited:
            self._forget(lease)
        return waited

    def enqueue(self, lease: LeaseId, wish: SlotRequest, now: float) -> None:
        """Take a request for a slot into the line."""
        if not self.waiting:
            self._waited_since = now
        until = now + wish.wait_s
        waiter = self._line.add(wish.rank, wish.is_late, until, now - wish.waited_s)
        self._leases[lease] = _Lease(wish, waiter)
        self._waiting[id(waiter)] = lease

    def release(self, lease: LeaseId) -> None:
        """Note that a slot is not needed any more, or not waited for."""
        self._forget(lease)

    def grant(self, now: float) -> list[LeaseId]:
        """Return those that have a slot from now on."""
        return list(self._give(now)) if self.is_open else []

    def drop_overtaken(self, now: float) -> list[LeaseId]:
        """Return those that have no prospect of a slot behind others, and take them out of line.

        The first one in line always has one. The others do if those before them start in time, by
        the pace of the last starts.
        """
        dropped: list[LeaseId] = []
        for ahead, waiter in enumerate(self._line.in_order()):
            if ahead and (ahead + 1) * self._start_gap_s > waiter.until - now:
                dropped.append(self._waiting[id(waiter)])
        for lease in dropped:
            self._forget(lease)
        return dropped

    def next_check_at(self, now: float) -> float | None:
        """Return when prompts are read by which one more may start, None when nobody waits."""
        if not self.waiting:
            return None
        return max(now, self._read_by - MAX_PREFILL_BACKLOG_S)

    def note_report(self, running: int, now: float) -> None:
        """Take how many requests the target has by its own report, running and queued."""
        shown = sum(
            lease.given_at is not None and lease.given_at <= now - REPORT_DELAY_S
            for lease in self._leases.values()
        )
        if running > self._given:
            self._correction = running - self._given
        else:
            self._correction = min(0, running - shown)

    def _give(self, now: float) -> Iterator[LeaseId]:
        for waiter in list(self._line.in_order()):
            key = self._waiting[id(waiter)]
            lease = self._leases[key]
            if waiter.until < now:
                self._forget(key)
                continue
            if self._has_other_suspect(lease.wish):
                continue
            if not self._has_room(lease.wish, now):
                if lease.wish.is_late:
                    continue
                return
            self._start_gap_s += START_GAP_WEIGHT * (now - self._waited_since - self._start_gap_s)
            self._waited_since = now
            self._leave_line(lease)
            lease.given_at = now
            self._given += 1
            self._read_by = max(now, self._read_by) + lease.wish.prefill_s
            yield key

    def _has_room(self, wish: SlotRequest, now: float) -> bool:
        if self._read_by - now >= MAX_PREFILL_BACKLOG_S:
            return False
        return self.taken < self.slots * (LATE_SLOT_SHARE if wish.is_late else 1.0)

    def _has_other_suspect(self, wish: SlotRequest) -> bool:
        """Return whether a request and one that runs are suspects: an end would tell of neither."""
        if wish.suspect is None:
            return False
        return any(
            lease.given_at is not None and lease.wish.suspect not in (None, wish.suspect)
            for lease in self._leases.values()
        )

    def _forget(self, key: LeaseId) -> None:
        lease = self._leases.pop(key, None)
        if lease is None:
            return
        self._leave_line(lease)
        if lease.given_at is None:
            return
        self._given -= 1
        if self._correction < 0:
            # One of those that the target did not show is gone from the leases too.
            self._correction += 1

    def _leave_line(self, lease: _Lease) -> None:
        if lease.waiter is not None:
            self._waiting.pop(id(lease.waiter), None)
            self._line.remove(lease.waiter)
            lease.waiter = None
