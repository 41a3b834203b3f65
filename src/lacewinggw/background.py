"""A loop that runs beside the rest of a process until it is closed."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

from lacewinggw.log import get_logger

RESTART_S = 1.0

log = get_logger(__name__)


class Background:
    """Run a coroutine function in a task of its own.

    An error that the loop did not foresee is logged with its trace and the loop begun anew after a
    second, so that a fault in one part never stops it for good without a word.

        self._loop = Background("heartbeats", self._run)
        self._loop.start()
        ...
        await self._loop.close()
    """

    def __init__(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        self._name = name
        self._run = run
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to run."""
        self._task = asyncio.get_running_loop().create_task(self._keep_running())

    async def close(self) -> None:
        """Stop, and wait until the loop has ended; closing twice does nothing."""
        task, self._task = self._task, None
        if task is None:
            return
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task

    async def _keep_running(self) -> None:
        while True:
            try:
                await self._run()
                return
            except Exception:
                log.exception("background_loop_failed", loop=self._name)
            await asyncio.sleep(RESTART_S)
