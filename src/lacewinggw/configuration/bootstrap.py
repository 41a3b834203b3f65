"""Fetch the first configuration from other processes.

Several peers are asked, so that a peer that is behind does not determine the result.
"""

import asyncio
from collections.abc import Sequence

from lacewinggw.configuration.replica import PEER_TIMEOUT_S
from lacewinggw.errors import LacewingError
from lacewinggw.generated.messages.ttypes import FetchSnapshot, Snapshot
from lacewinggw.ids import Address
from lacewinggw.log import get_logger
from lacewinggw.wire.peers import PeerNode

CONCURRENT_REQUESTS = 4
MIN_ANSWERS = 2

log = get_logger(__name__)


class PeerBootstrap:
    """Request snapshots from peers, a few at a time, until enough have answered.

    `MIN_ANSWERS` answers are enough. Fewer, but at least one, are enough once every listed peer
    was asked.
    """

    def __init__(self, node: PeerNode) -> None:
        self._node = node
        self._asked: set[Address] = set()
        self._answers: dict[Address, Snapshot] = {}

    async def fetch_snapshot(self, addresses: Sequence[Address]) -> Snapshot | None:
        """Ask the next few of `addresses`; return the newest snapshot once enough have answered."""
        unasked = [address for address in addresses if address not in self._asked]
        if not unasked:
            self._asked.clear()
            unasked = list(addresses)
        await asyncio.gather(*(self._ask_one(address) for address in unasked[:CONCURRENT_REQUESTS]))
        all_asked = self._asked.issuperset(addresses)
        if not self._answers:
            return None
        if len(self._answers) < MIN_ANSWERS and not all_asked:
            return None
        return max(self._answers.values(), key=lambda snapshot: snapshot.revision)

    async def _ask_one(self, address: Address) -> None:
        self._asked.add(address)
        try:
            reply = await self._node.call(address, FetchSnapshot(0), PEER_TIMEOUT_S)
        except LacewingError as error:
            log.info("configuration_peer_lost", address=address, error=error)
            return
        if isinstance(reply, Snapshot):
            self._answers[address] = reply
