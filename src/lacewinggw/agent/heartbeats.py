"""Heartbeats from an agent to the entries that watch it: on change, and at an interval."""

import asyncio
import itertools
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from lacewinggw.background import Background
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.generated.messages.ttypes import Watch
from lacewinggw.wire.peers import PeerLink

Compose = Callable[[int], messages.Heartbeat]

CHANGE_SPACING_S = 0.05
MS_PER_S = 1000.0


@dataclass
class _Watcher:
    """Interval and next due time of the heartbeats on one link."""

    interval_s: float
    due_at: float


class HeartbeatSender:
    """Sends heartbeats over each link on which an entry asked to watch this agent.

    A change is sent to all watchers at once; changes in quick succession share one heartbeat.
    Without changes, each watcher receives heartbeats at the interval that it asked for.
    """

    def __init__(self, compose: Compose, interval_s: float) -> None:
        self._compose = compose
        self._interval_s = interval_s
        self._watchers: dict[PeerLink, _Watcher] = {}
        self._changed = asyncio.Event()
        self._numbers = itertools.count(1)
        self._loop = Background("heartbeats", self._run)

    async def start(self) -> None:
        """Start sending."""
        self._loop.start()

    async def close(self) -> None:
        """Stop sending."""
        await self._loop.close()

    def handle_watch(self, link: PeerLink, watch: Watch) -> None:
        """Start or stop heartbeats over `link` as its entry asks; send the first at once."""
        if watch.stop:
            self._watchers.pop(link, None)
            return
        interval_s = max(self._interval_s, (watch.interval_ms or 0) / MS_PER_S)
        self._watchers[link] = _Watcher(interval_s, self._now() + interval_s)
        link.notify(self._compose(next(self._numbers)))

    def note_change(self) -> None:
        """Schedule a heartbeat because its content has changed."""
        self._changed.set()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _run(self) -> None:
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(self._interval_s):
                    await self._changed.wait()
            changed = self._changed.is_set()
            self._changed.clear()
            self._send(changed)
            await asyncio.sleep(CHANGE_SPACING_S)

    def _send(self, changed: bool) -> None:
        now = self._now()
        self._watchers = {
            link: watcher for link, watcher in self._watchers.items() if not link.closed.is_set()
        }
        due = [each for each in self._watchers.items() if changed or each[1].due_at <= now]
        if not due:
            return
        heartbeat = self._compose(next(self._numbers))
        for link, watcher in due:
            watcher.due_at = now + watcher.interval_s - CHANGE_SPACING_S
            link.notify(heartbeat)
