"""Fails attempts at unresponsive hosts, so that idempotent requests can be retried elsewhere."""

import asyncio
from collections import defaultdict
from collections.abc import Callable

from lacewinggw.background import Background
from lacewinggw.entry.attempts import Attempt

CHECK_INTERVAL_S = 0.5
RECEIVING_S = 2.0  # an attempt that received pieces in this time runs, whatever its host reports

UnresponsiveHosts = Callable[[], set[str]]


class HostMonitor:
    """Tracks attempts in progress by host, and fails those whose host is unresponsive.

    Add only attempts of idempotent requests: any other may still be running, and has to wait.
    """

    def __init__(self, unresponsive_hosts: UnresponsiveHosts) -> None:
        self._unresponsive_hosts = unresponsive_hosts
        self._attempts: defaultdict[str, set[Attempt]] = defaultdict(set)
        self._loop = Background("silence", self._run)

    async def start(self) -> None:
        """Start checking."""
        self._loop.start()

    async def close(self) -> None:
        """Stop checking."""
        await self._loop.close()

    def add(self, host: str, attempt: Attempt) -> None:
        """Monitor an attempt."""
        self._attempts[host].add(attempt)

    def discard(self, host: str, attempt: Attempt) -> None:
        """Stop monitoring an attempt that has ended."""
        attempts = self._attempts[host]
        attempts.discard(attempt)
        if not attempts:
            del self._attempts[host]

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if not self._attempts:
                continue
            now = asyncio.get_running_loop().time()
            for host in self._unresponsive_hosts() & self._attempts.keys():
                for attempt in list(self._attempts[host]):
                    if now - attempt.received_at > RECEIVING_S:
                        attempt.fail_connection(f"{host} has fallen silent")
