"""Requests that wait at an entry for a target: in which order, how long, and how many.

The load it answers: more requests than the targets can start. A queue without a bound makes every
answer late; one that is bounded by time serves as many on time as the targets can carry and tells
the others at once when to come back. The order is by priority, then those that can still be on
time, the newest of them first, then those that are late, the oldest first.

The newest first, because whoever waits in the order of arrival starts when its time has nearly run
out: an overload that lasts a second makes everybody late, and stays.
"""

import heapq
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field

START_GAP_WEIGHT = 0.1  # weight of a new sample in the smoothed time between starts
LATE_SHARE_WEIGHT = 0.1  # weight of one late request in the share of them that started
MIN_LATE_SHARE = 0.1  # so that there is always a sample
MAX_START_GAP_S = 0.5  # a pause in demand says nothing of how fast targets take work


@dataclass(order=True)
class Waiter:
    """A request that waits; `until` is when it is refused, in seconds of the loop's clock."""

    rank: tuple[int, int, float, int]
    until: float = field(compare=False)
    is_removed: bool = field(default=False, compare=False)

    @property
    def is_late(self) -> bool:
        """Whether it cannot be on time any more."""
        return self.rank[1] > 0


class WaitQueue:
    """The waiting requests of one service.

    line = WaitingLine()
    if line.expected_wait(priority, is_late=False) <= patience_s:
        waiter = line.join(priority, is_late=False, until=now + patience_s)
    """

    def __init__(self) -> None:
        self._heap: list[Waiter] = []
        self._numbers = itertools.count()
        self._waiting = 0
        self._start_gap_s = 0.0
        self._started_at: float | None = None
        self._late_share = 1.0

    def __len__(self) -> int:
        return self._waiting

    @property
    def late_share(self) -> float:
        """The share of late requests that started lately, from `LATE_LEAST` to 1.

        In a burst they start after it; in an overload that goes on they only wait in vain.
        """
        return max(MIN_LATE_SHARE, self._late_share)

    def note_late_outcome(self, started: bool) -> None:
        """Note whether a late request that waited has started."""
        self._late_share += LATE_SHARE_WEIGHT * (float(started) - self._late_share)

    def expected_wait(self, priority: int, is_late: bool) -> float:
        """Return how long one more request would wait, in seconds."""
        rank = (priority, int(is_late))
        ahead = sum(1 for each in self._heap if not each.is_removed and each.rank[:2] < rank)
        if is_late:
            ahead += sum(1 for each in self._heap if not each.is_removed and each.rank[:2] == rank)
        return ahead * self._start_gap_s

    def add(
        self, priority: int, is_late: bool, until: float, arrived_at: float | None = None
    ) -> Waiter:
        """Add a request; one that `is_late` goes behind those that can be on time.

        It takes its place by when it arrived where that is given, then by when it joined.
        """
        order = (arrived_at or 0.0, next(self._numbers))
        age, number = order if is_late else (-order[0], -order[1])
        waiter = Waiter((priority, int(is_late), age, number), until)
        heapq.heappush(self._heap, waiter)
        self._waiting += 1
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Take a request out: it starts, is refused, or its caller has left."""
        if waiter.is_removed:
            return
        waiter.is_removed = True
        self._waiting -= 1
        while self._heap and self._heap[0].is_removed:
            heapq.heappop(self._heap)

    def in_order(self) -> Iterator[Waiter]:
        """Yield those that wait, the next one first."""
        for waiter in sorted(self._heap):
            if not waiter.is_removed:
                yield waiter

    def note_start(self, now: float) -> None:
        """Note that a request started at a target, from the line or at once."""
        last, self._started_at = self._started_at, now
        if last is None or not self._waiting:
            return
        gap_s = min(MAX_START_GAP_S, now - last)
        self._start_gap_s += START_GAP_WEIGHT * (gap_s - self._start_gap_s)
