"""The few processes that this one hears configuration news from.

Each is subscribed to over a kept link and asked in turn for what was missed. One that does not
answer is left for the next candidate for a while.
"""

import asyncio
from collections.abc import Callable, Sequence

from lacewinggw.configuration.replica import PEER_TIMEOUT_S, Replica
from lacewinggw.errors import LacewingError
from lacewinggw.generated.messages.ttypes import LogRows, Subscribe
from lacewinggw.ids import Address
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics
from lacewinggw.wire.peers import PeerLink, PeerNode

AVOIDANCE_S = 10.0

log = get_logger(__name__)

Candidates = Callable[[], Sequence[Address]]


class Upstreams:
    """Subscriptions to the first `count` candidates that answer.

    `candidates` returns addresses, the preferred first, and may change over time.
    """

    def __init__(
        self,
        node: PeerNode,
        replica: Replica,
        candidates: Candidates,
        count: int,
        metrics: Metrics,
    ) -> None:
        self._node = node
        self._replica = replica
        self._candidates = candidates
        self._count = count
        self._metrics = metrics
        self._links: dict[Address, PeerLink] = {}
        self._avoided: dict[Address, float] = {}
        self._turn = 0
        self._confirmed_at = float("-inf")

    @property
    def confirmed_at(self) -> float:
        """When one last answered and this process had all that it has, in the loop's time."""
        return self._confirmed_at

    async def maintain(self) -> bool:
        """Keep the subscriptions up and ask one for what was missed; return whether it answered."""
        self._drop_closed()
        for address in self._wanted():
            if address not in self._links:
                await self._subscribe(address)
        return await self._ask_one()

    def _wanted(self) -> list[Address]:
        now = asyncio.get_running_loop().time()
        usable = [each for each in self._candidates() if self._avoided.get(each, 0.0) <= now]
        wanted = usable[: self._count]
        for address in [each for each in self._links if each not in wanted]:
            del self._links[address]
        return wanted

    def _drop_closed(self) -> None:
        for address, link in list(self._links.items()):
            if link.closed.is_set():
                self._avoid(address)

    def _avoid(self, address: Address) -> None:
        self._links.pop(address, None)
        now = asyncio.get_running_loop().time()
        self._avoided = {each: until for each, until in self._avoided.items() if until > now}
        self._avoided[address] = now + AVOIDANCE_S
        self._metrics.count("configuration_upstreams_left")

    async def _subscribe(self, address: Address) -> None:
        try:
            link = await self._node.link(address)
            reply = await link.call(Subscribe(self._replica.revision), PEER_TIMEOUT_S)
            if isinstance(reply, LogRows) and self._replica.ready:
                self._replica.offer(reply.entries)
                if reply.head > self._replica.revision:
                    await self._replica.catch_up(link)
        except LacewingError as error:
            log.info("configuration_upstream_lost", address=address, error=error)
            self._avoid(address)
            return
        self._links[address] = link

    async def _ask_one(self) -> bool:
        if not self._links:
            return False
        self._turn += 1
        asked_at = asyncio.get_running_loop().time()
        addresses = list(self._links)
        address = addresses[self._turn % len(addresses)]
        try:
            await self._replica.catch_up(self._links[address])
        except LacewingError as error:
            log.info("configuration_upstream_lost", address=address, error=error)
            self._avoid(address)
            return False
        self._confirmed_at = asked_at
        return True
