"""All stand-ins of the platform in one process."""

from lacewinggw.generated.messages.ttypes import Manifest
from lacewinggw.generated.settings.ttypes import PlatformSettings
from lacewinggw.lab.membership import MembershipStandIn
from lacewinggw.lab.objects import ObjectStandIn
from lacewinggw.lab.releases import SyntheticRelease
from lacewinggw.lab.standin import StandIn
from lacewinggw.lab.table import TableStandIn
from lacewinggw.lab.weights import WeightsStandIn
from lacewinggw.wire.network import Network

STORE_REQUESTS_PER_S = 50


class PlatformStandIns:
    """The table, the object store, the origin, the weight store and the list of hosts.

    platform = PlatformStandIns(network, origin_bytes_per_s=50e6)
    await platform.start()
    settings = platform.addresses
    await platform.close()
    """

    def __init__(
        self,
        network: Network,
        ip: str = "127.0.0.1",
        seed: int = 0,
        origin_bytes_per_s: float = 0.0,
        store_bytes_per_s: float = 0.0,
        store_requests_per_s: int = STORE_REQUESTS_PER_S,
    ) -> None:
        address = f"{ip}:0"
        self.table = TableStandIn(network, address, seed)
        self.objects = ObjectStandIn(network, address, seed + 1)
        self.origin = WeightsStandIn(network, address, seed + 2, origin_bytes_per_s)
        self.weight_store = WeightsStandIn(
            network, address, seed + 3, store_bytes_per_s, store_requests_per_s
        )
        self.membership = MembershipStandIn(network, address, seed + 4)

    @property
    def parts(self) -> dict[str, StandIn]:
        """Each stand-in by its name in the settings."""
        return {
            "table": self.table,
            "objects": self.objects,
            "origin": self.origin,
            "weight_store": self.weight_store,
            "membership": self.membership,
        }

    @property
    def addresses(self) -> PlatformSettings:
        """The `[platform]` settings of processes that use these stand-ins."""
        return PlatformSettings(
            table=self.table.address,
            objects=self.objects.address,
            origin=self.origin.address,
            weight_store=self.weight_store.address,
            membership=self.membership.address,
        )

    async def start(self) -> None:
        """Start each of them."""
        for part in self.parts.values():
            await part.start()

    async def close(self) -> None:
        """Stop each of them."""
        for part in self.parts.values():
            await part.close()

    def add_release(self, release: SyntheticRelease) -> Manifest:
        """Make a release at the origin and at the weight store."""
        self.weight_store.add_release(release)
        return self.origin.add_release(release)
