"""Admission of requests to a target: its slots, those reserved for urgent requests, and the wait.

A target runs up to `capacity` requests concurrently. A share of these slots is reserved for urgent
requests, but only one more than urgent requests have recently used at once: a service without
urgent requests loses no capacity.
"""

import math
from dataclasses import dataclass, field

from lacewinggw.generated.messages.ttypes import Priority

SMOOTHING = 0.1
MIN_TIME_RECOVERY = 0.05  # how fast the shortest request time rises towards the smoothed one
URGENT_WINDOW_S = 30.0  # slots stay reserved for this long after the last urgent request
INITIAL_REQUEST_S = 0.05  # assumed time of a request until one has run


@dataclass
class Slots:
    """The running requests of one target. Times in seconds.

    slots = Slots(capacity=8, urgent_share=0.2)
    if slots.has_free_slot(Priority.NORMAL, now):
        slots.begin(Priority.NORMAL, now)
    """

    capacity: int
    urgent_share: float
    running: int = 0
    running_urgent: int = 0
    request_s: float = field(default=INITIAL_REQUEST_S)
    _urgent_peak: int = 0
    _urgent_seen_at: float = -math.inf
    min_request_s: float = 0.0  # the shortest recent time of a request
    has_samples: bool = False

    def reserved(self, now: float) -> int:
        """Return how many free slots are reserved for urgent requests now."""
        if now - self._urgent_seen_at > URGENT_WINDOW_S:
            return 0
        most = min(self.capacity - 1, math.ceil(self.capacity * self.urgent_share))
        return max(0, min(most, self._urgent_peak + 1) - self.running_urgent)

    def has_free_slot(self, priority: Priority, now: float) -> bool:
        """Return whether a request of the priority may start now."""
        free = self.capacity - self.running
        if priority is Priority.URGENT:
            return free > 0
        return free > self.reserved(now)

    def begin(self, priority: Priority, now: float) -> None:
        """Note that a request starts."""
        self.running += 1
        if priority is Priority.URGENT:
            self.running_urgent += 1
            self.note_urgent(now)

    def note_urgent(self, now: float) -> None:
        """Note that an urgent request has arrived."""
        if now - self._urgent_seen_at > URGENT_WINDOW_S:
            self._urgent_peak = 0
        self._urgent_peak = max(self._urgent_peak, self.running_urgent)
        self._urgent_seen_at = now

    def end(self, priority: Priority, ran_s: float | None) -> None:
        """Note that a request ended after `ran_s` seconds; None if that time is not meaningful."""
        self.running -= 1
        if priority is Priority.URGENT:
            self.running_urgent -= 1
        if ran_s is None:
            return
        if not self.has_samples:
            self.has_samples = True
            self.request_s = ran_s
            self.min_request_s = ran_s
        self.request_s += SMOOTHING * (ran_s - self.request_s)
        self.min_request_s = min(
            ran_s, self.min_request_s + MIN_TIME_RECOVERY * (self.request_s - self.min_request_s)
        )

    def expected_wait(self, ahead: int) -> float:
        """Return the expected wait of a request with `ahead` requests before it, in seconds."""
        if self.running < self.capacity:
            return 0.0
        return (ahead + 1) * self.request_s / self.capacity
