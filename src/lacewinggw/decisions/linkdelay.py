"""How long a queue stands before a link, by messages that carry when they were sent.

The clocks of two hosts are not compared: the least difference between sending and arrival that was
seen stands for a link without a queue, and what a message takes beyond it is the queue.
"""

import math
from dataclasses import dataclass

CLOCK_DRIFT = 2e-4  # of the time that passes: clocks of two hosts drift apart by half of it at most
DECAY_S = 1.0  # what a message showed that long ago counts for 1/e: the queue of a link moves


@dataclass
class LinkDelay:
    """The queue before one link.

    delay = LinkDelay()
    delay.note(sent_s=100.0, now=7.0)
    delay.note(sent_s=100.2, now=7.6)
    delay.now(7.6)  # 0.4
    """

    _least_s: float = math.inf
    _queue_s: float = 0.0
    _noted_at: float = -math.inf

    def note(self, sent_s: float, now: float) -> None:
        """Note a message that was sent at `sent_s` by its sender's clock, in seconds."""
        took_s = now - sent_s
        if math.isfinite(self._least_s):
            self._least_s += CLOCK_DRIFT * (now - self._noted_at)
        self._least_s = min(self._least_s, took_s)
        self.note_wait(took_s - self._least_s, now)

    def note_wait(self, waited_s: float, now: float) -> None:
        """Note how long something waited by the measure of this host alone."""
        self._queue_s = max(waited_s, (self.now(now) + waited_s) / 2)
        self._noted_at = now

    def now(self, now: float) -> float:
        """Return how long the queue is believed to be, in seconds."""
        return self._queue_s * math.exp(-max(0.0, now - self._noted_at) / DECAY_S)
