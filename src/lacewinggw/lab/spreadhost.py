"""One host that spreads weights and does nothing else: the agent's own parts, without a target."""

import random
from collections.abc import Mapping, Sequence

from lacewinggw.agent.topologies import DueRelease
from lacewinggw.agent.weights import Spreader
from lacewinggw.clients.membership import Member, MemberRole
from lacewinggw.clients.weights import WeightsClient
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.generated.settings.ttypes import PlatformSettings, Settings
from lacewinggw.ids import Address, Digest, HostId, Place, new_incarnation
from lacewinggw.lab.variant import corrupt_uploads
from lacewinggw.metrics import Metrics
from lacewinggw.settings import default_settings
from lacewinggw.wire.network import Network
from lacewinggw.wire.peers import Exchange, Identity, PeerNode

FLEET_KEY = "lab"


def host_settings(
    host: str, place: str, platform: PlatformSettings, link_bytes_per_s: int
) -> Settings:
    """Return settings of a host whose whole link is for weights."""
    settings = default_settings()
    settings.process.host = host
    settings.process.place = place
    settings.process.fleet_key = FLEET_KEY
    settings.platform = platform
    settings.agent.link_bytes_per_s = link_bytes_per_s
    settings.agent.weights_share_percent = 100
    return settings


class SpreadHost:
    """A peer node and a spreader, told by the lab what is due and who is there."""

    def __init__(self, settings: Settings, network: Network, rng: random.Random) -> None:
        process, platform = settings.process, settings.platform
        self.settings = settings
        self.metrics = Metrics()
        identity = Identity(process.host, messages.Role.AGENT, process.place, new_incarnation(rng))
        self.node = PeerNode(network, identity, process.fleet_key, self._handle)
        origin = WeightsClient.for_origin(network, platform)
        store = WeightsClient.for_weight_store(network, platform)
        self._sources = (origin, store)
        self.spreader = Spreader.from_config(settings, self.node, origin, store, self.metrics, rng)

    @property
    def member(self) -> Member:
        """This host as the membership list has it."""
        process = self.settings.process
        return Member(
            HostId(process.host),
            Place(process.place),
            MemberRole.AGENT,
            Address(self.node.address),
        )

    async def start(self, address: str) -> None:
        """Listen at `address` and begin."""
        await self.node.start(address)
        await self.spreader.start()

    def corrupt(self) -> None:
        """Send every chunk with a byte inverted from now on."""
        corrupt_uploads(self.spreader.uploader)

    async def close(self) -> None:
        """Stop."""
        await self.spreader.close()
        await self.node.close()
        for source in self._sources:
            await source.close()

    def set_members(self, members: Sequence[Member]) -> None:
        """Take the list of live hosts."""
        self.spreader.set_members(members)

    def set_due(self, due: Mapping[Digest, DueRelease]) -> None:
        """Take the releases due here."""
        self.spreader.set_due(due)

    async def _handle(self, exchange: Exchange) -> None:
        await self.spreader.handle(exchange)
