"""All clients of the platform's services that one process uses."""

from dataclasses import dataclass

from lacewinggw.clients.membership import MembershipClient
from lacewinggw.clients.objects import ObjectClient
from lacewinggw.clients.table import TableClient
from lacewinggw.clients.weights import WeightsClient
from lacewinggw.generated.settings.ttypes import PlatformSettings
from lacewinggw.wire.network import Network


@dataclass(frozen=True)
class PlatformClients:
    """One client for each service, connected on demand.

    `origin` and `weight_store` are the two sources of weights.
    """

    table: TableClient
    objects: ObjectClient
    membership: MembershipClient
    origin: WeightsClient
    weight_store: WeightsClient

    @classmethod
    def from_settings(cls, network: Network, settings: PlatformSettings) -> "PlatformClients":
        """Return clients for the service addresses in the settings."""
        return cls(
            TableClient.from_settings(network, settings),
            ObjectClient.from_settings(network, settings),
            MembershipClient.from_settings(network, settings),
            WeightsClient.for_origin(network, settings),
            WeightsClient.for_weight_store(network, settings),
        )

    async def close(self) -> None:
        """Close the connections of all clients."""
        await self.table.close()
        await self.objects.close()
        await self.membership.close()
        await self.origin.close()
        await self.weight_store.close()
