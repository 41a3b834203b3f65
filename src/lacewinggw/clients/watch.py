"""The list of hosts, polled; during an outage of the list the last one known stays in force."""

import asyncio
import random
from collections.abc import Callable, Sequence

from lacewinggw.background import Background
from lacewinggw.clients.membership import Member, MembershipClient, Unchanged
from lacewinggw.errors import LacewingError
from lacewinggw.generated.settings.ttypes import Settings
from lacewinggw.log import get_logger

MS_PER_S = 1000.0
FIRST_POLL_S = 1.0
POLL_JITTER = 0.2

MemberList = tuple[Member, ...]
MembersCallback = Callable[[MemberList], None]

log = get_logger(__name__)


class MemberWatch:
    """Poll the membership list and tell whoever asked when it changes.

    `ready` is set once a list was read. Poll errors are logged once per outage and never empty the
    list: a membership service that is down says nothing about the hosts. Until there is a list it
    is asked for at least each `FIRST_POLL_S` seconds.
    """

    def __init__(self, client: MembershipClient, poll_s: float, rng: random.Random) -> None:
        self.ready = asyncio.Event()
        self._client = client
        self._poll_s = poll_s
        self._rng = rng
        self._members: MemberList = ()
        self._callbacks: list[MembersCallback] = []
        self._loop = Background("membership", self._run)
        self._failing = False

    @classmethod
    def from_config(
        cls, settings: Settings, client: MembershipClient, poll_ms: int
    ) -> "MemberWatch":
        """Build the watch of a process that polls as often as its role's setting says.

        There are many agents to an entry, and all their polls are reads of the platform.
        """
        return cls(client, poll_ms / MS_PER_S, random.Random(settings.process.host))

    @property
    def members(self) -> MemberList:
        """The last list read."""
        return self._members

    def on_change(self, callback: MembersCallback) -> None:
        """Call `callback` with each new list."""
        self._callbacks.append(callback)

    async def start(self) -> None:
        """Begin to poll."""
        self._loop.start()

    async def close(self) -> None:
        """Stop polling."""
        await self._loop.close()

    async def _run(self) -> None:
        while True:
            await self._poll()
            await asyncio.sleep(self._pause_s())

    def _pause_s(self) -> float:
        """Return the time to the next poll, so that hosts started together do not poll together."""
        pause_s = self._poll_s if self.ready.is_set() else min(self._poll_s, FIRST_POLL_S)
        return pause_s * self._rng.uniform(1.0 - POLL_JITTER, 1.0 + POLL_JITTER)

    async def _poll(self) -> None:
        try:
            listed = await self._client.poll()
        except LacewingError as error:
            if not self._failing:
                log.warning("membership_unavailable", code=error.code, reason=error.reason)
            self._failing = True
            return
        self._failing = False
        if isinstance(listed, Unchanged):
            return
        self._publish(listed)

    def _publish(self, listed: Sequence[Member]) -> None:
        self._members = tuple(listed)
        self.ready.set()
        for callback in self._callbacks:
            callback(self._members)
