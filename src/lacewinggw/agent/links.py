"""Pacing of weight transfers on this host's link, and their bandwidth limit."""

import asyncio
from collections.abc import Callable

from lacewinggw.decisions.weightbandwidth import WeightBandwidthLimiter, WeightBandwidthRules

CATCH_UP_S = 0.02  # timers fire some ms late for each slice; up to this much is made up for
BURST_S = 0.25  # chunks that arrive together from several neighbours are recorded as one burst

Rate = Callable[[], float]


def _now() -> float:
    return asyncio.get_running_loop().time()


class Pacer:
    """Paces one direction of the link, as a token bucket whose burst is `catch_up_s` seconds.

    `send` waits until the end of the bytes' transmission time. `receive` gets bytes that have been
    transmitted already, and waits only while earlier ones are still arriving. `rate` returns bytes
    per second and may change.
    """

    def __init__(self, rate: Rate, catch_up_s: float = 0.0) -> None:
        self._rate = rate
        self._catch_up_s = catch_up_s
        self._free_at = 0.0

    async def send(self, size: int) -> None:
        """Wait until the transmission time of `size` bytes has passed."""
        self._free_at = max(_now() - self._catch_up_s, self._free_at) + size / self._rate()
        await _sleep_until(self._free_at)

    async def receive(self, size: int) -> None:
        """Wait until `size` bytes that just arrived fit the rate of the link."""
        self._free_at = max(_now() - self._catch_up_s, self._free_at + size / self._rate())
        await _sleep_until(self._free_at)


async def _sleep_until(time_s: float) -> None:
    delay = time_s - _now()
    if delay > 0:
        await asyncio.sleep(delay)


class LiveTrafficMeter:
    """Measures live requests on this host's link, and limits the bandwidth of weights to match."""

    def __init__(self, link_bytes_per_s: float, share: float) -> None:
        self._rules = WeightBandwidthRules(link_bytes_per_s, share)
        self._policy: WeightBandwidthLimiter | None = None

    def note_latency(self, seconds: float) -> None:
        """Record the seconds that a live request waited for its first piece."""
        self._active_policy.record_latency(seconds, _now())

    def note_bytes(self, count: int) -> None:
        """Record bytes of live requests transferred over the link."""
        self._active_policy.record_live_bytes(count)

    def weights_rate(self) -> float:
        """Return the bandwidth limit for weights, in bytes per second and direction."""
        return self._active_policy.allowed_bytes_per_s(_now())

    @property
    def yield_factor(self) -> float:
        """The factor by which weights yield to the latency of live requests; 1 is not at all."""
        return self._policy.latency_factor if self._policy else 1.0

    @property
    def _active_policy(self) -> WeightBandwidthLimiter:
        if self._policy is None:
            self._policy = WeightBandwidthLimiter(self._rules, _now())
        return self._policy
