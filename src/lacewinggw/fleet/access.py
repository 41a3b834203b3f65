"""Whether the store answers this process, for all that follow it.

The load it answers: a store that turns some processes away for a minute. Each topic asked again for
itself, six refused calls a second from each process, for what one call tells.
"""

import asyncio
from contextlib import suppress

STUCK_AFTER_S = (
    1.5  # one that asks for all does so each 0.75 s, and a call takes up to 0.8 s to fail
)


class StoreAccess:
    """Lets one ask for all while the store does not answer.

    await access.wait_to_ask(me, pause_s)  # after a failure; returns when it is to ask again
    access.note_answer()                   # all others ask at once
    access.release(me)                     # it has nothing to ask for the present
    """

    def __init__(self) -> None:
        self._prober: object | None = None
        self._probe_at = 0.0
        self._answered = asyncio.Event()

    def note_answer(self) -> None:
        """Note that the store answers."""
        self._prober = None
        answered, self._answered = self._answered, asyncio.Event()
        answered.set()

    def release(self, follower: object) -> None:
        """Let another one ask for all."""
        if self._prober is follower:
            self.note_answer()

    async def wait_to_retry(self, follower: object, pause_s: float) -> None:
        """Wait for a pause, or for the answer to another one that asks for all."""
        loop = asyncio.get_running_loop()
        answered = self._answered
        while self._prober not in (None, follower) and not answered.is_set():
            left_s = self._probe_at + STUCK_AFTER_S - loop.time()
            if left_s <= 0:
                break  # it is stuck: one that waits takes its place
            with suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await answered.wait()
        if answered.is_set():
            return
        self._prober = follower
        self._probe_at = loop.time() + pause_s
        await asyncio.sleep(pause_s)
