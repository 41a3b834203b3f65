"""The upstreams: the few processes from which this one receives configuration updates.

This process subscribes to each upstream over a persistent link and polls them in turn for missed
updates. An upstream that does not answer is replaced by the next candidate for `AVOIDANCE_S`.
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

    `candidates` returns addresses in order of preference; its result may change over time.
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
        self._poll_count = 0
        self._confirmed_at = float("-inf")

    @property
    def confirmed_at(self) -> float:
        """When the last poll that an upstream answered was sent, in the loop's time in seconds.

        This process then had all that the upstream had. Minus infinity before the first such poll.
        """
        return self._confirmed_at

    async def maintain(self) -> bool:
        """Renew the subscriptions and poll one upstream for missed updates.

        Returns whether it answered.
        """
        self._drop_closed()
        for address in self._select_upstreams():
            if address not in self._links:
                await self._subscribe(address)
        return await self._poll_next()

    def _select_upstreams(self) -> list[Address]:
        now = asyncio.get_running_loop().time()
        usable = [each for each in self._candidates() if self._avoided.get(each, 0.0) <= now]
        selected = usable[: self._count]
        for address in [each for each in self._links if each not in selected]:
            del self._links[address]
        return selected

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

    async def _poll_next(self) -> bool:
        if not self._links:
            return False
        self._poll_count += 1
        polled_at = asyncio.get_running_loop().time()
        addresses = list(self._links)
        address = addresses[self._poll_count % len(addresses)]
        try:
            await self._replica.catch_up(self._links[address])
        except LacewingError as error:
            log.info("configuration_upstream_lost", address=address, error=error)
            self._avoid(address)
            return False
        self._confirmed_at = polled_at
        return True
