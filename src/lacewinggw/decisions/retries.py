"""The retry budget: retries are a share of requests, so that failures cannot multiply the load."""

from dataclasses import dataclass, field

FLOOR_PER_S = 0.2  # so that an entry with few requests may still retry
BURST = 10.0  # retries that may be saved up


@dataclass
class RetryBudget:
    """A balance that each call raises by `share`; a retry is a call too, and pays that back.

    Over any time, retries stay within `share` of the requests, plus `floor_per_s` for each second
    and the burst that was saved up before.

        budget = RetryBudget(share=0.1)
        budget.note_call()
        if budget.take(now): ...  # retry
    """

    share: float
    floor_per_s: float = FLOOR_PER_S
    burst: float = BURST
    balance: float = field(default=BURST)
    _refilled_at: float | None = None

    def note_call(self) -> None:
        """Count a call to a target."""
        self.balance = min(self.burst, self.balance + self.share)

    def take(self, now: float) -> bool:
        """Return whether a retry is allowed, and pay for it."""
        if self._refilled_at is not None:
            refill = (now - self._refilled_at) * self.floor_per_s
            self.balance = min(self.burst, self.balance + refill)
        self._refilled_at = now
        if self.balance < 1.0 + self.share:
            return False
        self.balance -= 1.0 + self.share
        return True
