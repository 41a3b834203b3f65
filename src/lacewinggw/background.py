"""A background loop that runs until it is closed."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

from lacewinggw.log import get_logger

RESTART_S = 1.0

log = get_logger(__name__)


class Background:
    """Run a coroutine function in its own task.

    An unhandled exception is logged with its traceback and the loop is restarted after
    `RESTART_S`, so that an error never stops it permanently and silently.

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
        """Start the task."""
        self._task = asyncio.get_running_loop().create_task(self._keep_running())

    async def close(self) -> None:
        """Cancel the task and wait until it has ended; do nothing when already closed."""
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
