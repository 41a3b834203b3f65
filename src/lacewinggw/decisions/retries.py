"""The retry budget: retries are limited to a share of requests, so failures cannot amplify load."""

from collections import deque
from dataclasses import dataclass, field

WINDOW_S = 10
MIN_RETRIES = 3  # retries that a process may make in a window, however few its requests


@dataclass
class _Second:
    """The number of requests in one second."""

    number: int
    requests: int = 0


@dataclass
class RetryBudget:
    """Limits the retries within a sliding window, ten seconds by default.

    In a window there are at most `share` of the requests plus `extra` retries, or `minimum` if that
    is more. A retry is not counted as a request. Requests are counted by whole seconds and each
    retry by its own time, so that no span as long as the window exceeds the limit.

        budget = RetryBudget(share=0.1)
        budget.note_call(now)
        if budget.take(now): ...  # retry, with a `note_call` of its own

    A retry that may wait before it is sent is reserved first. It counts until it is sent, and for a
    window from then on, so that retries granted over a long time may arrive together.

        budget.note_request(now)
        if budget.reserve(now):
            await wait_for_target()
            budget.note_retry(now)
    """

    share: float
    extra: float = 0.0
    window_s: float = WINDOW_S
    minimum: int = MIN_RETRIES
    _seconds: deque[_Second] = field(default_factory=deque)
    _retries: deque[float] = field(default_factory=deque)
    _granted: int = 0
    _reserved: int = 0

    def note_call(self, now: float) -> None:
        """Count a call to a target; a retry that was allowed does not count as a request."""
        if self._granted:
            self._granted -= 1
            return
        self.note_request(now)

    def note_request(self, now: float) -> None:
        """Count a request, by its first call to a target."""
        self._second(now).requests += 1

    def allows(self, now: float) -> bool:
        """Return whether a retry is allowed."""
        return self.spent(now) + 1 <= self.limit(now)

    def reserve(self, now: float) -> bool:
        """Return whether a retry is allowed, and reserve it; `note_retry` follows in any case."""
        if not self.allows(now):
            return False
        self._reserved += 1
        return True

    def note_retry(self, now: float) -> None:
        """Count a reserved retry, which is sent now."""
        self._reserved -= 1
        self._retries.append(now)

    def spent(self, now: float) -> int:
        """Return the retries of the window that ends now, and those reserved."""
        while self._retries and self._retries[0] <= now - self.window_s:
            self._retries.popleft()
        return len(self._retries) + self._reserved

    def limit(self, now: float) -> float:
        """Return how many retries the window that ends now may have."""
        self._second(now)
        requests = sum(each.requests for each in self._seconds)
        return max(self.minimum, requests * self.share + self.extra)

    def take(self, now: float) -> bool:
        """Return whether a retry is allowed, and count it."""
        if not self.allows(now):
            return False
        self._retries.append(now)
        self._granted += 1
        return True

    def _second(self, now: float) -> _Second:
        number = int(now)
        while self._seconds and self._seconds[0].number <= number - self.window_s:
            self._seconds.popleft()
        if not self._seconds or self._seconds[-1].number != number:
            self._seconds.append(_Second(number))
        return self._seconds[-1]
