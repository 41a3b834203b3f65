"""Queueing delay of a link, estimated from messages that carry their sending time.

The clocks of two hosts are not compared. The least difference between sending and arrival seen so
far stands for an empty link; what a message takes beyond it is queueing delay.
"""

import math
from dataclasses import dataclass

CLOCK_DRIFT = 2e-4  # of elapsed time: the clocks of two hosts drift apart by at most half of it
DECAY_S = 1.0  # a measurement this old counts for 1/e: the queue of a link changes


@dataclass
class LinkDelay:
    """The queueing delay of one link.

    delay = LinkDelay()
    delay.note_message(sent_s=100.0, now=7.0)
    delay.note_message(sent_s=100.2, now=7.6)
    delay.estimate(7.6)  # 0.4
    """

    _min_latency_s: float = math.inf
    _delay_s: float = 0.0
    _noted_at: float = -math.inf

    def note_message(self, sent_s: float, now: float) -> None:
        """Note a message that was sent at `sent_s` by its sender's clock, in seconds."""
        latency_s = now - sent_s
        if math.isfinite(self._min_latency_s):
            self._min_latency_s += CLOCK_DRIFT * (now - self._noted_at)
        self._min_latency_s = min(self._min_latency_s, latency_s)
        self.note_wait(latency_s - self._min_latency_s, now)

    def note_wait(self, waited_s: float, now: float) -> None:
        """Note a queueing delay that was measured by the clock of this host alone."""
        self._delay_s = max(waited_s, (self.estimate(now) + waited_s) / 2)
        self._noted_at = now

    def estimate(self, now: float) -> float:
        """Return the estimated queueing delay, in seconds."""
        return self._delay_s * math.exp(-max(0.0, now - self._noted_at) / DECAY_S)
