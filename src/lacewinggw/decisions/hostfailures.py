"""Detect dead hosts from the list of hosts, which lags, and the heartbeats that this process gets.

A host is dead when it has been both missing from the list and silent for long enough; a host that
is only late on the list is not. Hosts that fail together are reported together, so that their
replacement is one log entry. All times are of one process's own clock, in seconds.
"""

from collections.abc import Collection, Container, Mapping
from dataclasses import dataclass

MIN_MISSING_S = 2.0
GROUPING_WINDOW_S = 2.0
UNRESPONSIVE_FACTOR = 6  # times `dead_after_s`: the silence after which a listed host is dead


@dataclass(frozen=True)
class HeartbeatTimes:
    """The time of the last heartbeat by host; only hosts that send theirs to this process."""

    by_host: Mapping[str, float]


class HostFailureDetector:
    """Track the list of hosts, and find the placed hosts that have to be replaced."""

    def __init__(self, dead_after_s: float) -> None:
        self._dead_after_s = dead_after_s
        self._listed: frozenset[str] = frozenset()
        self._missing_since: dict[str, float] = {}

    @property
    def missing(self) -> frozenset[str]:
        """The placed hosts that are missing from the list."""
        return frozenset(self._missing_since)

    def update_listed(self, listed: Collection[str], placed: Collection[str], now: float) -> None:
        """Replace the list of hosts; an empty list is ignored."""
        if not listed:
            return
        self._listed = frozenset(listed)
        missing = {host for host in placed if host not in self._listed}
        self._missing_since = {host: self._missing_since.get(host, now) for host in missing}

    def find_dead(self, heartbeats: HeartbeatTimes, placed: Container[str], now: float) -> set[str]:
        """Return the hosts to replace now; none while this process receives no heartbeats at all.

        The cost depends on the hosts that are missing or have sent heartbeats, not on all `placed`.
        """
        candidates = [
            host for host in {*self._missing_since, *heartbeats.by_host} if host in placed
        ]
        due = {host for host in candidates if self._is_due(host, heartbeats, now)}
        if not due or self._is_cut_off(heartbeats, placed, now):
            return set()
        early = self._dead_after_s - GROUPING_WINDOW_S
        grouped = {h for h in self._missing_since if self._silence(h, heartbeats, now) >= early}
        return due | grouped

    def _silence(self, host: str, heartbeats: HeartbeatTimes, now: float) -> float:
        """Return the seconds since the last heartbeat, or else since the host left the list."""
        last = heartbeats.by_host.get(host)
        if last is not None:
            return now - last
        since = self._missing_since.get(host)
        return now - since if since is not None else 0.0

    def _is_due(self, host: str, heartbeats: HeartbeatTimes, now: float) -> bool:
        silence = self._silence(host, heartbeats, now)
        since = self._missing_since.get(host)
        if since is not None:
            return silence >= self._dead_after_s and now - since >= MIN_MISSING_S
        return host in heartbeats.by_host and silence >= self._dead_after_s * UNRESPONSIVE_FACTOR

    def _is_cut_off(self, heartbeats: HeartbeatTimes, placed: Container[str], now: float) -> bool:
        """Return whether all known hosts are silent, which suggests a fault of this process."""
        last_heartbeats = [last for host, last in heartbeats.by_host.items() if host in placed]
        return len(last_heartbeats) > 1 and all(
            now - last >= self._dead_after_s for last in last_heartbeats
        )
