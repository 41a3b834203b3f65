"""Share the state of a failing store among all followers of a process.

If a store rejects a process for a minute and each topic retries by itself, each process makes six
rejected calls per second. A single call gives the same information.
"""

import asyncio
from contextlib import suppress

STUCK_AFTER_S = 1.5  # the prober retries every 0.75 s, and a call takes up to 0.8 s to fail


class StoreAccess:
    """Lets one follower probe the store on behalf of all while the store does not answer.

    await access.wait_to_retry(follower, pause_s)  # after a failure; returns when to retry
    access.note_answer()                           # all other followers retry at once
    access.release(follower)                       # it does not need the store at present
    """

    def __init__(self) -> None:
        self._prober: object | None = None
        self._probe_at = 0.0
        self._answered = asyncio.Event()

    def note_answer(self) -> None:
        """Record that the store answers, and let all followers retry."""
        self._prober = None
        answered, self._answered = self._answered, asyncio.Event()
        answered.set()

    def release(self, follower: object) -> None:
        """Let another follower probe if `follower` is the prober."""
        if self._prober is follower:
            self.note_answer()

    async def wait_to_retry(self, follower: object, pause_s: float) -> None:
        """Wait for the pause as the prober, or until the prober gets an answer."""
        loop = asyncio.get_running_loop()
        answered = self._answered
        while self._prober not in (None, follower) and not answered.is_set():
            left_s = self._probe_at + STUCK_AFTER_S - loop.time()
            if left_s <= 0:
                break  # the prober is stuck: a waiting follower replaces it
            with suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await answered.wait()
        if answered.is_set():
            return
        self._prober = follower
        self._probe_at = loop.time() + pause_s
        await asyncio.sleep(pause_s)
