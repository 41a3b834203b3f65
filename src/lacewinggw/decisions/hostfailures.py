"""Which placed hosts count as dead, from a list that lags and heartbeats that reach only some.

A host is dead when it is both missing from the list and silent for long enough; one that is only
slow to be listed is not. Hosts lost together are reported together, so that their replacement is
one entry. All times are of one process's own clock, in seconds.
"""

from collections.abc import Collection, Container, Mapping
from dataclasses import dataclass

MIN_MISSING_S = 2.0
GROUPING_WINDOW_S = 2.0
UNRESPONSIVE_FACTOR = 6


@dataclass(frozen=True)
class HeartbeatTimes:
    """When each host was last heard from; hosts that nobody here listens to are absent."""

    by_host: Mapping[str, float]


class HostFailureDetector:
    """Follow the list, and tell which placed hosts are to be replaced."""

    def __init__(self, dead_after_s: float) -> None:
        self._dead_after_s = dead_after_s
        self._listed: frozenset[str] = frozenset()
        self._missing_since: dict[str, float] = {}

    @property
    def missing(self) -> frozenset[str]:
        """Placed hosts that the list lacks."""
        return frozenset(self._missing_since)

    def update_listed(self, listed: Collection[str], placed: Collection[str], now: float) -> None:
        """Take the list as it is now; an empty one is not believed."""
        if not listed:
            return
        self._listed = frozenset(listed)
        gone = {host for host in placed if host not in self._listed}
        self._missing_since = {host: self._missing_since.get(host, now) for host in gone}

    def find_dead(self, heartbeats: HeartbeatTimes, placed: Container[str], now: float) -> set[str]:
        """Return the hosts to be replaced now; none while this process itself hears nobody.

        Only hosts that are missing or were heard from are looked at, not the whole fleet.
        """
        looked_at = [host for host in {*self._missing_since, *heartbeats.by_host} if host in placed]
        due = {host for host in looked_at if self._is_due(host, heartbeats, now)}
        if not due or self._is_cut_off(heartbeats, placed, now):
            return set()
        early = self._dead_after_s - GROUPING_WINDOW_S
        beside = {h for h in self._missing_since if self._silence(h, heartbeats, now) >= early}
        return due | beside

    def _silence(self, host: str, heard: HeartbeatTimes, now: float) -> float:
        """Return for how long a host has not been heard of, by heartbeat or by the list."""
        last = heard.by_host.get(host)
        if last is not None:
            return now - last
        since = self._missing_since.get(host)
        return now - since if since is not None else 0.0

    def _is_due(self, host: str, heard: HeartbeatTimes, now: float) -> bool:
        silence = self._silence(host, heard, now)
        since = self._missing_since.get(host)
        if since is not None:
            return silence >= self._dead_after_s and now - since >= MIN_MISSING_S
        return host in heard.by_host and silence >= self._dead_after_s * UNRESPONSIVE_FACTOR

    def _is_cut_off(self, heard: HeartbeatTimes, placed: Container[str], now: float) -> bool:
        """Return whether everyone heard before is silent: then this process may be the cause."""
        known = [last for host, last in heard.by_host.items() if host in placed]
        return len(known) > 1 and all(now - last >= self._dead_after_s for last in known)
