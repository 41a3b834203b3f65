"""Share the event loop between connections whose peers send faster than they can be read."""

import asyncio


class ReadTurns:
    """Lets readers with more to parse than fits in a turn of the event loop parse one by one."""

    def __init__(self) -> None:
        self._lock = asyncio.Lock()

    async def wait(self) -> None:
        """Let the event loop run, and the other readers that wait here before this one."""
        async with self._lock:
            await asyncio.sleep(0)
