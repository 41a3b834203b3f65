"""Links on which agents send their heartbeats, reopened when they break."""

import asyncio
import random
from collections.abc import Callable, Set
from contextlib import suppress
from dataclasses import dataclass

from lacewinggw.errors import LacewingError
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.ids import Address, HostId
from lacewinggw.wire.peers import PeerNode

INITIAL_RETRY_S = 0.1
MAX_RETRY_S = 2.0

OnLost = Callable[[HostId], None]


@dataclass(frozen=True)
class WatchedAgent:
    """An agent to watch; `interval_ms` is between heartbeats, 0 for the agent's own interval."""

    host: HostId
    address: Address
    interval_ms: int = 0


class AgentWatches:
    """One watch for each target: a link to its agent, on which heartbeats were requested."""

    def __init__(
        self, node: PeerNode, own_host: HostId, on_lost: OnLost, rng: random.Random
    ) -> None:
        self._node = node
        self._own_host = own_host
        self._on_lost = on_lost
        self._rng = rng
        self._tasks: dict[WatchedAgent, asyncio.Task[None]] = {}
        self._running = False

    def start(self) -> None:
        """Allow links to be opened."""
        self._running = True

    async def close(self) -> None:
        """End all watches."""
        self._running = False
        tasks = list(self._tasks.values())
        self.set_targets(frozenset())
        if tasks:
            await asyncio.wait(tasks)

    def set_targets(self, wanted: Set[WatchedAgent]) -> None:
        """Set the agents to watch; end the watches of all others."""
        for key in [key for key in self._tasks if key not in wanted]:
            self._tasks.pop(key).cancel()
            if all(each.host != key.host for each in wanted):
                self._node.notify_if_open(key.address, messages.Watch(self._own_host, stop=True))
        if not self._running:
            return
        for key in wanted - self._tasks.keys():
            self._tasks[key] = asyncio.get_running_loop().create_task(self._watch(key))

    async def _watch(self, watched: WatchedAgent) -> None:
        retry_s = INITIAL_RETRY_S
        while True:
            with suppress(LacewingError, OSError):
                link = await self._node.link(watched.address)
                link.notify(messages.Watch(self._own_host, watched.interval_ms))
                retry_s = INITIAL_RETRY_S
                await link.closed.wait()
            self._on_lost(watched.host)
            await asyncio.sleep(retry_s * self._rng.uniform(0.5, 1.5))
            retry_s = min(MAX_RETRY_S, retry_s * 2)
