"""Limits of client accounts, split over the entries that an account uses.

Each entry measures its own demand for an account and receives that of the account's other entries a
few times a second. From the same numbers all compute the same split: each entry gets its demand as
far as that is max-min fair, and the rest is shared evenly, so that the shares always add up to the
limit. An entry that stops reporting loses its share to the others.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from lacewinggw.ids import Account, HostId

RATE_DECAY_S = 1.0
MAX_MEAN_GAPS = 8.0  # a gap longer than this many mean gaps shows that the rate has fallen
BURST_S = 1.0  # an idle account accumulates this many seconds of its rate
MIN_BURST = 2.0
MIN_SHARE = 0.02  # of an even share: every entry keeps at least this
MAX_RETRY_AFTER_S = 10.0


@dataclass(frozen=True)
class AccountDeclaration:
    """A declared account: its token, requests a second, concurrent requests, and weight."""

    account: Account
    token: str
    rate_per_s: float
    concurrency: int
    weight: float = 1.0

    @classmethod
    def parse(cls, text: str) -> "AccountDeclaration":
        """Parse "account:token:requests-per-second:concurrency[:weight]"; raise `ValueError`.

        AccountDeclaration.parse("buyers:secret:50:20") is limited to 50 requests a second and 20
        concurrent ones, with a weight of 1.
        """
        parts = text.split(":")
        if len(parts) not in (4, 5):
            raise ValueError("not account:token:requests-per-second:concurrency[:weight]")
        rate, concurrency = float(parts[2]), int(parts[3])
        weight = float(parts[4]) if len(parts) == 5 else 1.0
        positive = rate > 0 and concurrency > 0 and weight > 0
        if not parts[0] or not parts[1]:
            raise ValueError("an account needs a name and a token")
        if not positive or not math.isfinite(rate) or not math.isfinite(weight):
            raise ValueError("rate, concurrency and weight must be above 0")
        return cls(Account(parts[0]), parts[1], rate, concurrency, weight)


@dataclass
class SmoothedRate:
    """A smoothed rate of events, per second.

    The rate falls at once when events stop: after a gap that is very unlikely at the smoothed rate,
    the rate is one event per such gap.
    """

    memory_s: float = RATE_DECAY_S
    _rate: float = 0.0
    _at: float | None = None

    def note(self, now: float, count: float = 1.0) -> None:
        """Count events at `now`."""
        gap = now - self._at if self._at is not None else 0.0
        self._rate = self._rate * math.exp(-gap / self.memory_s) + count / self.memory_s
        self._at = now

    def idle_s(self, now: float) -> float:
        """Return the time since the last event in seconds, infinite without any."""
        return math.inf if self._at is None else now - self._at

    def rate(self, now: float) -> float:
        """Return the rate at `now`."""
        if self._at is None:
            return 0.0
        gap = now - self._at
        smoothed = self._rate * math.exp(-gap / self.memory_s)
        return smoothed if smoothed * gap <= MAX_MEAN_GAPS else 1.0 / gap


def split_limit(total: float, demands: Mapping[HostId, float]) -> dict[HostId, float]:
    """Return a max-min fair split of `total` over entries by demand; it adds up to `total`.

    split_limit(10, {"a": 2, "b": 20}) is {"a": 2, "b": 8}
    """
    if not demands:
        return {}
    min_share = MIN_SHARE * total / len(demands)
    shares: dict[HostId, float] = {}
    remaining = total
    by_demand = sorted(demands, key=lambda host: (demands[host], host))
    for index, host in enumerate(by_demand):
        fair = remaining / (len(by_demand) - index)
        shares[host] = min(max(demands[host], min_share), fair)
        remaining -= shares[host]
    extra = remaining / len(shares)
    return {host: share + extra for host, share in shares.items()}


@dataclass
class TokenBucket:
    """A token bucket whose rate may change.

    `promised` tokens are expected by refused requests that were sent a time to retry.
    """

    rate: float
    tokens: float = 0.0
    at: float = 0.0
    promised: float = 0.0

    @property
    def burst(self) -> float:
        """The most tokens that accumulate."""
        return max(MIN_BURST, self.rate * BURST_S)

    def refill(self, now: float) -> None:
        """Add the tokens of the time since the last call."""
        gained = max(0.0, now - self.at) * self.rate
        self.tokens = min(self.burst, self.tokens + gained)
        self.promised = max(0.0, self.promised - gained)
        self.at = now

    def set_rate(self, rate: float, now: float) -> None:
        """Set the rate from `now` on."""
        self.refill(now)
        self.rate = rate
        self.tokens = min(self.tokens, self.burst)

    def take(self, now: float, reserve: float) -> bool:
        """Take a token if `reserve` tokens remain after it; return whether it was taken.

        The reserve keeps tokens for urgent requests.
        """
        self.refill(now)
        if self.tokens - 1.0 < reserve:
            return False
        self.tokens -= 1.0
        return True

    def retry_after_s(self) -> float:
        """Return when a refused request may be retried, in seconds; later for each refusal."""
        self.promised += 1.0
        missing = self.promised - max(0.0, self.tokens - 1.0)
        return min(MAX_RETRY_AFTER_S, max(missing, 1.0) / max(self.rate, 1.0 / MAX_RETRY_AFTER_S))


@dataclass(frozen=True)
class DemandReport:
    """One entry's report of its demand for an account, and when it was received."""

    offered_per_s: float
    running: int
    received_at: float


@dataclass
class AccountShare:
    """One account at one entry: its share of the limit, and its use."""

    declared: AccountDeclaration
    bucket: TokenBucket
    concurrency: float
    running: int = 0
    wanted_running: SmoothedRate = field(default_factory=SmoothedRate)
    offered: SmoothedRate = field(default_factory=SmoothedRate)
    admitted: SmoothedRate = field(default_factory=SmoothedRate)
    reports: dict[HostId, DemandReport] = field(default_factory=dict)

    @classmethod
    def from_declaration(
        cls, declared: AccountDeclaration, entries: int, now: float
    ) -> "AccountShare":
        """Start with an even share over `entries`."""
        rate = declared.rate_per_s / max(1, entries)
        bucket = TokenBucket(rate, tokens=max(MIN_BURST, rate * BURST_S), at=now)
        return cls(declared, bucket, declared.concurrency / max(1, entries))

    def rebalance(
        self, own_host: HostId, entries: frozenset[HostId], now: float, stale_s: float
    ) -> None:
        """Recompute the share from the demand of the account's entries.

        Entries other than those of the account count only while they report demand.
        """
        for host in [
            host for host, report in self.reports.items() if now - report.received_at > stale_s
        ]:
            del self.reports[host]
        rates = dict.fromkeys(entries | {own_host}, 0.0)
        running = dict.fromkeys(entries | {own_host}, 0.0)
        for host, report in self.reports.items():
            if host in rates or report.offered_per_s > 0.0:
                rates[host] = report.offered_per_s
                running[host] = float(report.running)
        rates[own_host] = self.offered.rate(now)
        running[own_host] = float(self.running_demand(now))
        self.bucket.set_rate(split_limit(self.declared.rate_per_s, rates)[own_host], now)
        self.concurrency = split_limit(self.declared.concurrency, running)[own_host]

    def running_demand(self, now: float) -> int:
        """Return how many requests the account would run here concurrently without its limit."""
        return self.running + math.ceil(self.wanted_running.rate(now))

    def has_slot(self, urgent: bool, urgent_share: float) -> bool:
        """Return whether one more request of the account may run here."""
        limit = max(1.0, math.floor(self.concurrency + 0.5))
        if not urgent:
            limit = max(1.0, limit - math.floor(limit * urgent_share))
        return self.running + 1 <= limit
