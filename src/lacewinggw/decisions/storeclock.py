"""When an answer of the store was composed, by our own clock and without comparing the two.

The store tells its steady clock with each answer. An answer was composed after its call was sent,
so the difference between our clock and the store's is at least the sending less what was told, for
every call. The largest of these differences places any answer as early as it can be, and not
earlier: an answer that was waited for is known to be as new as its end, not as its beginning.

    clock = StoreClock()
    clock.place(sent_at=100.0, received_at=100.01, told_s=5.0)  # 100.0
    clock.place(sent_at=101.0, received_at=102.21, told_s=7.2)  # 102.2, not 101.0

A store whose feed overlooks changes for a moment, before it drops its history, says until the end
of a wait that nothing has changed. So what must hold under any trouble counts from the sending.
"""

from collections import deque
from dataclasses import dataclass

DIFFERENCE_RETENTION_S = 60.0  # clocks that drift by 100 parts in a million are 6 ms apart after it


@dataclass(frozen=True)
class AnswerTimes:
    """When an answer proves what it tells: under any trouble, and while the store is well."""

    sent_at: float
    composed_at: float


class StoreClock:
    """Places answers of one store; `told_s` is the store's clock, or None if it did not say."""

    def __init__(self) -> None:
        self._differences: deque[tuple[float, float]] = deque()  # descending, with their moments

    def reset(self) -> None:
        """Forget all answers: another store speaks, with a clock of its own."""
        self._differences.clear()

    def answer_times(
        self, sent_at: float, received_at: float, store_clock_s: float | None
    ) -> AnswerTimes:
        """Return the proof that an answer is."""
        return AnswerTimes(sent_at, self.estimate_composed_at(sent_at, received_at, store_clock_s))

    def estimate_composed_at(
        self, sent_at: float, received_at: float, store_clock_s: float | None
    ) -> float:
        """Return the earliest moment at which an answer may have been composed."""
        if store_clock_s is None:
            return sent_at
        self._note(received_at, sent_at - store_clock_s)
        _, difference = self._differences[0]
        return min(max(sent_at, store_clock_s + difference), received_at)

    def _note(self, moment: float, difference: float) -> None:
        kept = self._differences
        while kept and kept[-1][1] <= difference:
            kept.pop()
        kept.append((moment, difference))
        while kept[0][0] < moment - DIFFERENCE_RETENTION_S:
            kept.popleft()
