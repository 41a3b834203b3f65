"""The bounded batch of a stand-in engine, and the requests that wait for a place in it."""

import asyncio
import heapq
import itertools
from collections.abc import Callable


class BatchSlots:
    """Places in the batch, given by priority (lowest first), then in order of arrival.

    `changed` is called with the numbers running and queued whenever they change.
    """

    def __init__(self, limit: int, changed: Callable[[int, int], None]) -> None:
        self.limit = limit
        self.running = 0
        self._changed = changed
        self._arrivals = itertools.count()
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []

    @property
    def queued(self) -> int:
        """How many requests wait."""
        return sum(not future.done() for _, _, future in self._waiting)

    async def acquire(self, priority: int) -> None:
        """Wait for a place; one that is cancelled meanwhile gives it back."""
        if self.running < self.limit and not self._waiting:
            self._take()
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (priority, next(self._arrivals), future))
        self._changed(self.running, self.queued)
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Give a place back, and pass it to whoever is next."""
        self.running -= 1
        while self._waiting and self.running < self.limit:
            _, _, future = heapq.heappop(self._waiting)
            if not future.done():
                future.set_result(None)
                self._take()
                return
        self._changed(self.running, self.queued)

    def _take(self) -> None:
        self.running += 1
        self._changed(self.running, self.queued)
