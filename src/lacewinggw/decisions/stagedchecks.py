"""Age of the checks of staged pieces: which to read back before a target may load them.

The failure it guards against: staged pieces may turn bad where they lie, and a target loads what
is staged when it accepts an order, unchecked. While the target pauses between reads, or the host
stands still, the first checks are outdated by the time of the order, and requests run on bad
weights.

A check is as old as the sending of its read. An order may be given only while every check will
still be valid when a paused target accepts it. A pass reads only the pieces whose checks would be
outdated by then. Pieces are read one after the other unless the pass would take too long for that;
then ever more of them are read at once, up to all. After a read without a response fewer are read
at once, as the target may serve one read after the other.
"""

import math

# A target must not load a piece that may have turned bad longer ago than this.
CHECK_VALIDITY_S = 3.0
# A target that pauses may accept an order this long after it was sent.
ORDER_DELAY_S = 1.0
MAX_CHECK_AGE_S = CHECK_VALIDITY_S - ORDER_DELAY_S  # when an order is sent
PASS_S = 0.5 * MAX_CHECK_AGE_S  # time for a pass; it repeats all checks that are older than this
MIN_MEASURED_S = 0.1  # of a pass, before its pace is judged


class StagedChecks:
    """When each staged piece of one release was last read back intact; times in seconds.

    checks = StagedChecks(count=64)
    due = checks.begin_pass(now)
    for batch in ...: ...  # of up to `concurrent_reads` pieces
        checks.note_intact(index, sent_at)
        checks.note_batch(done, len(due), now)
    if checks.may_order(now): ...  # give the order
    """

    def __init__(self, count: int) -> None:
        self._checked_at = [-math.inf] * count
        self._pass_began_at = 0.0
        self._concurrent_reads = 1

    @property
    def concurrent_reads(self) -> int:
        """How many pieces to read at once."""
        return self._concurrent_reads

    def begin_pass(self, now: float) -> list[int]:
        """Return the pieces to read back in this pass, those with the oldest checks first."""
        self._pass_began_at = now
        indexes = range(len(self._checked_at))
        due = [index for index in indexes if now - self._checked_at[index] > PASS_S]
        return sorted(due, key=self._checked_at.__getitem__)

    def note_batch(self, done: int, total: int, now: float) -> None:
        """Read more pieces at once from now on if the pass takes too long at its present pace."""
        elapsed_s = now - self._pass_began_at
        if elapsed_s > MIN_MEASURED_S and elapsed_s * total > PASS_S * done:
            self._concurrent_reads = min(2 * self._concurrent_reads, len(self._checked_at))

    def age_s(self, now: float) -> float:
        """Return the age of the oldest check; infinite if a piece is unchecked."""
        return now - min(self._checked_at, default=now)

    def note_intact(self, index: int, sent_at: float) -> None:
        """Record that a read sent at `sent_at` returned the expected bytes of a piece."""
        self._checked_at[index] = max(self._checked_at[index], sent_at)

    def note_changed(self, index: int) -> None:
        """Record that a piece was bad, missing or staged anew, and is to be read back."""
        self._checked_at[index] = -math.inf

    def note_no_response(self) -> None:
        """Read fewer pieces at once from now on."""
        self._concurrent_reads = max(1, self._concurrent_reads // 2)

    def invalidate(self) -> None:
        """Forget all checks: the target may have restarted with other staged pieces."""
        self._checked_at = [-math.inf] * len(self._checked_at)

    def may_order(self, now: float) -> bool:
        """Return whether an order sent now is accepted while every check is valid."""
        return self.age_s(now) <= MAX_CHECK_AGE_S

    def are_valid(self, now: float) -> bool:
        """Return whether an order that has been accepted by now loads only intact pieces."""
        return self.age_s(now) < CHECK_VALIDITY_S
