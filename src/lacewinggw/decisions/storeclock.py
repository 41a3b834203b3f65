"""Estimate when an answer of the store was composed, by the local clock, without synchronisation.

The store sends the reading of its monotonic clock with each answer. An answer is composed after its
call was sent, so the offset between the local clock and the store's is, for every call, at least
the time of sending less that reading. The largest of these lower bounds gives the earliest possible
time of composition. An answer to a call that waited at the store is thus known to be as recent as
the end of the wait, not its start.

    clock = StoreClock()
    clock.estimate_composed_at(sent_at=100.0, received_at=100.01, store_clock_s=5.0)  # 100.0
    clock.estimate_composed_at(sent_at=101.0, received_at=102.21, store_clock_s=7.2)  # 102.2

A store whose feed misses changes for a short time, before it drops its history, reports until the
end of a wait that nothing has changed. So whatever must hold under any fault of the store counts
from the time of sending.
"""

from collections import deque
from dataclasses import dataclass

OFFSET_RETENTION_S = 60.0  # clocks with a relative drift of 100 ppm diverge by 6 ms in this time


@dataclass(frozen=True)
class AnswerTimes:
    """The times at which an answer's content was current.

    `sent_at` holds under any fault of the store, `composed_at` while it works correctly.
    """

    sent_at: float
    composed_at: float


class StoreClock:
    """The clock offset of one store; a `store_clock_s` of None means that it sent no reading."""

    def __init__(self) -> None:
        # Pairs of (received at, offset), by descending offset.
        self._offsets: deque[tuple[float, float]] = deque()

    def reset(self) -> None:
        """Discard all offsets, because another store with another clock answers."""
        self._offsets.clear()

    def answer_times(
        self, sent_at: float, received_at: float, store_clock_s: float | None
    ) -> AnswerTimes:
        """Return the times of sending and of composition of an answer."""
        return AnswerTimes(sent_at, self.estimate_composed_at(sent_at, received_at, store_clock_s))

    def estimate_composed_at(
        self, sent_at: float, received_at: float, store_clock_s: float | None
    ) -> float:
        """Return the earliest time at which an answer may have been composed."""
        if store_clock_s is None:
            return sent_at
        self._add(received_at, sent_at - store_clock_s)
        _, offset = self._offsets[0]
        return min(max(sent_at, store_clock_s + offset), received_at)

    def _add(self, received_at: float, offset: float) -> None:
        kept = self._offsets
        while kept and kept[-1][1] <= offset:
            kept.pop()
        kept.append((received_at, offset))
        while kept[0][0] < received_at - OFFSET_RETENTION_S:
            kept.popleft()
