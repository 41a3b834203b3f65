"""The retry budget: retries are a share of requests, so that failures cannot multiply the load."""

from collections import deque
from dataclasses import dataclass, field

WINDOW_S = 10
MIN_RETRIES = 3  # retries allowed in a window however few the requests


@dataclass
class _Second:
    """The requests of one second."""

    number: int
    requests: int = 0


@dataclass
class RetryBudget:
    """Counts the requests and retries of the last seconds: ten, unless told otherwise.

    In that time retries stay within `share` of the requests and `extra` more, or within three where
    that is more. A retry is not counted as a request. Requests are counted by whole seconds, each
    retry by its own time, so that no span as long as the window has more of them than are allowed.

        budget = RetryBudget(share=0.1)
        budget.note_call(now)
        if budget.take(now): ...  # retry, with a `note_call` of its own
    """

    share: float
    extra: float = 0.0
    window_s: float = WINDOW_S
    _seconds: deque[_Second] = field(default_factory=deque)
    _retries: deque[float] = field(default_factory=deque)
    _retries_to_come: int = 0

    def note_call(self, now: float) -> None:
        """Count a call to a target: a request, unless it is a retry that was allowed."""
        if self._retries_to_come:
            self._retries_to_come -= 1
            return
        self._second(now).requests += 1

    def take(self, now: float) -> bool:
        """Return whether a retry is allowed, and count it."""
        self._second(now)
        while self._retries and self._retries[0] <= now - self.window_s:
            self._retries.popleft()
        requests = sum(each.requests for each in self._seconds)
        if len(self._retries) + 1 > max(MIN_RETRIES, requests * self.share + self.extra):
            return False
        self._retries.append(now)
        self._retries_to_come += 1
        return True

    def _second(self, now: float) -> _Second:
        number = int(now)
        while self._seconds and self._seconds[0].number <= number - self.window_s:
            self._seconds.popleft()
        if not self._seconds or self._seconds[-1].number != number:
            self._seconds.append(_Second(number))
        return self._seconds[-1]
