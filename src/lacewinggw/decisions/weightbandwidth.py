"""How much of a host's link weights may take while live requests use it too.

Three bounds, the least of which holds: a fixed share of the link; what live bytes leave of it; and
a factor that falls fast and rises slowly with the latency of live requests, measured against their
latency while no weights moved. A floor keeps every spread going.
"""

from collections import deque
from dataclasses import dataclass

WINDOW_S = 0.5
WEIGHTS_ACTIVE_S = 1.0  # weights count as moving for so long after they last asked for the rate
LATENCY_EXPIRY_S = 5.0  # without a live request for so long, earlier latencies count no more
# Of the link while a target runs requests, by what a dozen takes of 3.8 Mbit/s (fleet.md): their
# events, heads and connections 0.6 percent each; acknowledgements and news of chunks 6 percent;
# and 3 percent so that the queue stays short.
LIVE_BASE_SHARE = 0.09
LIVE_SHARE_PER_REQUEST = 0.006
IDLE_SAMPLES = 256
ACTIVE_SAMPLES = 24
MIN_SAMPLES = 8
QUANTILE = 0.9


@dataclass(frozen=True)
class WeightBandwidthRules:
    """Constants: rates in bytes per second, shares of the link, times in seconds.

    Live bytes are left `headroom` times their own rate. Latency is too high above `tolerance` times
    that without weights, and `slack_s` more.
    """

    link_bytes_per_s: float
    share: float
    floor: float = 0.1
    headroom: float = 1.1
    tolerance: float = 1.3
    slack_s: float = 0.002
    decrease_factor: float = 0.7
    increase_step: float = 0.05


def live_traffic_share(running: int) -> float:
    """Return the share of a host's link that the answers of its target need."""
    return LIVE_BASE_SHARE + LIVE_SHARE_PER_REQUEST * running if running else 0.0


class WeightBandwidthLimiter:
    """What weights may take now, from what live requests tell; times are the caller's clock."""

    def __init__(self, rules: WeightBandwidthRules, now: float) -> None:
        self.rules = rules
        self.latency_factor = 1.0
        self._idle: deque[float] = deque(maxlen=IDLE_SAMPLES)
        self._moving: deque[float] = deque(maxlen=ACTIVE_SAMPLES)
        self._live_bytes = 0
        self._live_rate = 0.0
        self._window_at = now
        self._moved_at = now - WEIGHTS_ACTIVE_S
        self._heard_at = now

    def record_latency(self, seconds: float, now: float) -> None:
        """Note how long a live request waited for its first piece."""
        self._heard_at = now
        if now - self._moved_at < WEIGHTS_ACTIVE_S:
            self._moving.append(seconds)
        else:
            self._idle.append(seconds)

    def record_live_bytes(self, count: int) -> None:
        """Note bytes of live requests on the link."""
        self._live_bytes += count

    def allowed_bytes_per_s(self, now: float) -> float:
        """Return what weights may take now, in bytes per second; weights that ask are moving."""
        self._moved_at = now
        if now - self._window_at >= WINDOW_S:
            self._close_window(now)
        rules = self.rules
        left = rules.link_bytes_per_s - rules.headroom * self._live_rate
        bounds = (rules.share * rules.link_bytes_per_s, left)
        return max(rules.floor * rules.link_bytes_per_s, self.latency_factor * min(bounds))

    def _close_window(self, now: float) -> None:
        self._live_rate = self._live_bytes / (now - self._window_at)
        self._live_bytes = 0
        self._window_at = now
        if now - self._heard_at > LATENCY_EXPIRY_S:
            self._moving.clear()
        if self._is_too_slow():
            self.latency_factor = max(
                self.rules.floor, self.latency_factor * self.rules.decrease_factor
            )
            self._moving.clear()
        elif not 0 < len(self._moving) < MIN_SAMPLES:
            self.latency_factor = min(1.0, self.latency_factor + self.rules.increase_step)

    def _is_too_slow(self) -> bool:
        if len(self._moving) < MIN_SAMPLES or len(self._idle) < MIN_SAMPLES:
            return False
        usual = _quantile(self._idle)
        return _quantile(self._moving) > self.rules.tolerance * usual + self.rules.slack_s


def _quantile(samples: deque[float]) -> float:
    return sorted(samples)[int(QUANTILE * (len(samples) - 1))]
