"""Write this process's row to the store, retrying until the store accepts it."""

import asyncio
import random

from lacewinggw.background import Background
from lacewinggw.clients.membership import Member
from lacewinggw.errors import PlatformError
from lacewinggw.fleet.ownrows import OwnRows, member_row
from lacewinggw.log import get_logger

INITIAL_RETRY_S = 0.3
MAX_RETRY_S = 3.0  # not urgent: callers use the other entries meanwhile

log = get_logger(__name__)


class Announcer:
    """Writes the row of one member, and writes it again if the store has lost it."""

    def __init__(self, rows: OwnRows, member: Member, rng: random.Random) -> None:
        self._rows = rows
        self._member = member
        self._rng = rng
        self._is_due = asyncio.Event()
        self._loop = Background("announce", self._run)

    async def start(self) -> None:
        """Start announcing."""
        self._is_due.set()
        self._loop.start()

    async def close(self) -> None:
        """Stop announcing."""
        await self._loop.close()

    def announce_again(self) -> None:
        """Announce the member again, because the store has lost its row."""
        self._is_due.set()

    async def _run(self) -> None:
        while True:
            await self._is_due.wait()
            self._is_due.clear()
            await self._announce()

    async def _announce(self) -> None:
        retry_s = INITIAL_RETRY_S
        while True:
            try:
                await self._rows.put(member_row(self._member))
            except PlatformError as error:
                log.info("announce_failed", error=error)
                await asyncio.sleep(retry_s * self._rng.uniform(0.5, 1.5))
                retry_s = min(MAX_RETRY_S, 2 * retry_s)
            else:
                log.info("announced", address=self._member.address)
                return
