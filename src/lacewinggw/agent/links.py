"""This host's link: how much of it the spread of weights may take, and when."""

import asyncio
from collections.abc import Callable

from lacewinggw.decisions.weightbandwidth import WeightBandwidthLimiter, WeightBandwidthRules

CATCH_UP_S = 0.02  # timers fire some ms late, slice after slice; that much is made up for
BURST_S = 0.25  # chunks of several neighbours that come in together are not told one by one

Rate = Callable[[], float]


def _now() -> float:
    return asyncio.get_running_loop().time()


class Pacer:
    """One direction of the link, as a token bucket that holds no burst but `catch_up_s` of it.

    Bytes sent wait until the end of their time on the link; bytes received have had theirs, and
    wait only while earlier ones are still coming in. `rate` gives bytes per second and may change.
    """

    def __init__(self, rate: Rate, catch_up_s: float = 0.0) -> None:
        self._rate = rate
        self._catch_up_s = catch_up_s
        self._free_at = 0.0

    async def send(self, size: int) -> None:
        """Wait until `size` bytes have had their time on the link."""
        self._free_at = max(_now() - self._catch_up_s, self._free_at) + size / self._rate()
        await _sleep_until(self._free_at)

    async def receive(self, size: int) -> None:
        """Wait until `size` bytes that just came in fit what the link carries."""
        self._free_at = max(_now() - self._catch_up_s, self._free_at + size / self._rate())
        await _sleep_until(self._free_at)


async def _sleep_until(moment: float) -> None:
    delay = moment - _now()
    if delay > 0:
        await asyncio.sleep(delay)


class LiveTrafficMeter:
    """What live requests tell of this host's link, so that weights can make room for them."""

    def __init__(self, link_bytes_per_s: float, share: float) -> None:
        self._rules = WeightBandwidthRules(link_bytes_per_s, share)
        self._policy: WeightBandwidthLimiter | None = None

    def note_latency(self, seconds: float) -> None:
        """Note how long a live request waited for its first piece, in seconds."""
        self._active_policy.record_latency(seconds, _now())

    def note_bytes(self, count: int) -> None:
        """Note bytes of live requests that passed the link."""
        self._active_policy.record_live_bytes(count)

    def weights_rate(self) -> float:
        """Return what weights may take now, in bytes per second and direction."""
        return self._active_policy.allowed_bytes_per_s(_now())

    @property
    def yield_factor(self) -> float:
        """How far weights yield to the latency of live requests: 1 not at all."""
        return self._policy.latency_factor if self._policy else 1.0

    @property
    def _active_policy(self) -> WeightBandwidthLimiter:
        if self._policy is None:
            self._policy = WeightBandwidthLimiter(self._rules, _now())
        return self._policy
