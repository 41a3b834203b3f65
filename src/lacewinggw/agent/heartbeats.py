"""Heartbeats from an agent to the entries that watch it: on change, and when idle."""

import asyncio
import itertools
from collections.abc import Callable
from contextlib import suppress

from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.wire.peers import PeerLink

Compose = Callable[[int], messages.Heartbeat]

CHANGE_SPACING_S = 0.05


class HeartbeatSender:
    """Send heartbeats over each link on which an entry asked to watch this agent.

    A change is told at once, though changes that come together leave in one heartbeat.
    """

    def __init__(self, compose: Compose, interval_s: float) -> None:
        self._compose = compose
        self._interval_s = interval_s
        self._links: set[PeerLink] = set()
        self._changed = asyncio.Event()
        self._numbers = itertools.count(1)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to send."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Stop sending."""
        if self._task is None:
            return
        self._task.cancel()
        with suppress(asyncio.CancelledError):
            await self._task

    def add(self, link: PeerLink) -> None:
        """Send heartbeats over `link` from now on, one at once."""
        self._links.add(link)
        link.notify(self._compose(next(self._numbers)))

    def note_change(self) -> None:
        """Send a heartbeat soon: what it tells has changed."""
        self._changed.set()

    async def _run(self) -> None:
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(self._interval_s):
                    await self._changed.wait()
            self._changed.clear()
            self._send()
            await asyncio.sleep(CHANGE_SPACING_S)

    def _send(self) -> None:
        self._links = {link for link in self._links if not link.closed.is_set()}
        if not self._links:
            return
        heartbeat = self._compose(next(self._numbers))
        for link in self._links:
            link.notify(heartbeat)
