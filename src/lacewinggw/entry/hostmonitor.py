"""Watching over tries at agents that fall silent: an idempotent request need not wait for them."""

import asyncio
from collections import defaultdict
from collections.abc import Callable

from lacewinggw.background import Background
from lacewinggw.entry.attempts import Attempt

CHECK_INTERVAL_S = 0.5

UnresponsiveHosts = Callable[[], set[str]]


class HostMonitor:
    """Tries in progress by host, given up when their host has not been heard of for too long.

    Only tries of idempotent requests belong here: any other may still be running, and waits.
    """

    def __init__(self, unresponsive_hosts: UnresponsiveHosts) -> None:
        self._unresponsive_hosts = unresponsive_hosts
        self._attempts: defaultdict[str, set[Attempt]] = defaultdict(set)
        self._loop = Background("silence", self._run)

    async def start(self) -> None:
        """Begin to look."""
        self._loop.start()

    async def close(self) -> None:
        """Stop looking."""
        await self._loop.close()

    def add(self, host: str, attempt: Attempt) -> None:
        """Watch over a try."""
        self._attempts[host].add(attempt)

    def discard(self, host: str, attempt: Attempt) -> None:
        """Watch no longer: the try is over."""
        attempts = self._attempts[host]
        attempts.discard(attempt)
        if not attempts:
            del self._attempts[host]

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if not self._attempts:
                continue
            for host in self._unresponsive_hosts() & self._attempts.keys():
                for attempt in list(self._attempts[host]):
                    attempt.fail_connection(f"{host} has fallen silent")
