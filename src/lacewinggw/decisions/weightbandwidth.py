"""Limit the bandwidth that weight transfers use on a link shared with live requests.

The limit is the lower of a fixed share of the link and the bandwidth that live traffic leaves. It
is multiplied by a factor that decreases fast and increases slowly with the latency of live
requests, relative to their latency without weight transfers. A floor keeps all transfers running.
"""

from collections import deque
from dataclasses import dataclass

WINDOW_S = 0.5
# Transfers count as active for this long after the last call of `allowed_bytes_per_s`.
WEIGHTS_ACTIVE_S = 1.0
# Latencies during transfers are discarded after this long without live requests.
LATENCY_EXPIRY_S = 5.0
# The share of the link used while a target runs requests, from the traffic of a dozen on 3.8 Mbit/s
# (fleet.md): 0.6 percent per request for its events, headers and connections; 6 percent for
# acknowledgements and announcements of chunks; and 3 percent to keep the queue short.
LIVE_BASE_SHARE = 0.09
LIVE_SHARE_PER_REQUEST = 0.006
IDLE_SAMPLES = 256
ACTIVE_SAMPLES = 24
MIN_SAMPLES = 8
QUANTILE = 0.9


@dataclass(frozen=True)
class WeightBandwidthRules:
    """Parameters: rates in bytes per second, shares of the link, times in seconds.

    Live traffic is reserved `headroom` times its own rate. Latency is too high above `tolerance`
    times the latency without weight transfers plus `slack_s`.
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
    """Return the share of a host's link needed by the answers to `running` requests."""
    return LIVE_BASE_SHARE + LIVE_SHARE_PER_REQUEST * running if running else 0.0


class WeightBandwidthLimiter:
    """The bandwidth limit for weight transfers; times are seconds of the caller's clock."""

    def __init__(self, rules: WeightBandwidthRules, now: float) -> None:
        self.rules = rules
        self.latency_factor = 1.0
        self._idle: deque[float] = deque(maxlen=IDLE_SAMPLES)
        self._active: deque[float] = deque(maxlen=ACTIVE_SAMPLES)
        self._live_bytes = 0
        self._live_rate = 0.0
        self._window_at = now
        self._active_at = now - WEIGHTS_ACTIVE_S
        self._request_at = now

    def record_latency(self, seconds: float, now: float) -> None:
        """Record how long, in seconds, a live request waited for its first piece."""
        self._request_at = now
        if now - self._active_at < WEIGHTS_ACTIVE_S:
            self._active.append(seconds)
        else:
            self._idle.append(seconds)

    def record_live_bytes(self, count: int) -> None:
        """Count bytes of live requests on the link."""
        self._live_bytes += count

    def allowed_bytes_per_s(self, now: float) -> float:
        """Return the current limit in bytes per second; calling it marks transfers as active."""
        self._active_at = now
        if now - self._window_at >= WINDOW_S:
            self._close_window(now)
        rules = self.rules
        available = rules.link_bytes_per_s - rules.headroom * self._live_rate
        limits = (rules.share * rules.link_bytes_per_s, available)
        return max(rules.floor * rules.link_bytes_per_s, self.latency_factor * min(limits))

    def _close_window(self, now: float) -> None:
        self._live_rate = self._live_bytes / (now - self._window_at)
        self._live_bytes = 0
        self._window_at = now
        if now - self._request_at > LATENCY_EXPIRY_S:
            self._active.clear()
        if self._is_too_slow():
            self.latency_factor = max(
                self.rules.floor, self.latency_factor * self.rules.decrease_factor
            )
            self._active.clear()
        elif not 0 < len(self._active) < MIN_SAMPLES:
            self.latency_factor = min(1.0, self.latency_factor + self.rules.increase_step)

    def _is_too_slow(self) -> bool:
        if len(self._active) < MIN_SAMPLES or len(self._idle) < MIN_SAMPLES:
            return False
        baseline = _quantile(self._idle)
        return _quantile(self._active) > self.rules.tolerance * baseline + self.rules.slack_s


def _quantile(samples: deque[float]) -> float:
    return sorted(samples)[int(QUANTILE * (len(samples) - 1))]
