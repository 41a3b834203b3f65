"""Wake tasks that wait for a change."""

import asyncio


class Signal:
    """Wakes all tasks that wait for it, each time that it is sent.

    while not is_done():
        if not await signal.wait_until(deadline):
            raise TimeoutError
    """

    def __init__(self) -> None:
        self._sent = asyncio.Event()

    def send(self) -> None:
        """Wake the tasks that wait now."""
        sent, self._sent = self._sent, asyncio.Event()
        sent.set()

    async def wait_until(self, deadline: float) -> bool:
        """Wait for the signal; return false at the deadline, by the loop's clock."""
        try:
            async with asyncio.timeout_at(deadline):
                await self._sent.wait()
        except TimeoutError:
            return False
        return True
