"""Polls the membership list and keeps the last one read during an outage of the service."""

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
    """Polls the membership list and calls the registered callbacks when it changes.

    `ready` is set once a list has been read. Failed polls are logged once per outage and never
    empty the list: an outage of the membership service says nothing about the hosts. Until the
    first list is read, polls are at most about `FIRST_POLL_S` seconds apart.
    """

    def __init__(self, client: MembershipClient, poll_s: float, rng: random.Random) -> None:
        self.ready = asyncio.Event()
        self._client = client
        self._poll_s = poll_s
        self._rng = rng
        self._members: MemberList = ()
        self._callbacks: list[MembersCallback] = []
        self._poll_loop = Background("membership", self._run)
        self._failing = False

    @classmethod
    def from_config(
        cls, settings: Settings, client: MembershipClient, poll_ms: int
    ) -> "MemberWatch":
        """Return a watch that polls every `poll_ms` milliseconds.

        The interval is a setting of the process's role: there are many more agents than entries,
        and every poll is a read from the platform.
        """
        return cls(client, poll_ms / MS_PER_S, random.Random(settings.process.host))

    @property
    def members(self) -> MemberList:
        """The last list read, empty until the first."""
        return self._members

    def on_change(self, callback: MembersCallback) -> None:
        """Register a callback to be called with each new list."""
        self._callbacks.append(callback)

    async def start(self) -> None:
        """Start polling."""
        self._poll_loop.start()

    async def close(self) -> None:
        """Stop polling."""
        await self._poll_loop.close()

    async def _run(self) -> None:
        while True:
            await self._poll()
            await asyncio.sleep(self._pause_s())

    def _pause_s(self) -> float:
        """Return the seconds to the next poll, randomized to spread hosts that started together."""
        pause_s = self._poll_s if self.ready.is_set() else min(self._poll_s, FIRST_POLL_S)
        return pause_s * self._rng.uniform(1.0 - POLL_JITTER, 1.0 + POLL_JITTER)

    async def _poll(self) -> None:
        try:
            polled = await self._client.poll()
        except LacewingError as error:
            if not self._failing:
                log.warning("membership_unavailable", code=error.code, reason=error.reason)
            self._failing = True
            return
        self._failing = False
        if isinstance(polled, Unchanged):
            return
        self._publish(polled)

    def _publish(self, polled: Sequence[Member]) -> None:
        self._members = tuple(polled)
        self.ready.set()
        for callback in self._callbacks:
            callback(self._members)
