"""Client of the platform's object store: whole values under keys."""

from lacewinggw.clients.calls import MS_PER_S, ServiceCalls, decode_json
from lacewinggw.generated.settings.ttypes import PlatformSettings
from lacewinggw.wire.http import HttpClient
from lacewinggw.wire.network import Network

SERVICE = "object store"


class ObjectClient:
    """Objects of the object store.

    Raises `PlatformUnavailable` and `PlatformThrottled`; writes also `WriteUnknown`, after which
    the same write may be repeated: an object is replaced whole.
    """

    def __init__(self, network: Network, address: str, timeout_s: float) -> None:
        self._http = HttpClient(network)
        self._calls = ServiceCalls(self._http, address, SERVICE, timeout_s)

    @classmethod
    def from_settings(cls, network: Network, settings: PlatformSettings) -> "ObjectClient":
        """Return the client of the object store that the settings name."""
        return cls(network, settings.objects, settings.timeout_ms / MS_PER_S)

    async def start(self) -> None:
        """Do nothing: connections are made as they are needed."""

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()

    async def get(self, key: str) -> bytes | None:
        """Return an object, or None when there is none."""
        response = await self._calls.read(f"/objects/{key}")
        match response.status:
            case 200:
                return response.content
            case 404:
                return None
        raise self._calls.unexpected_status(response)

    async def put(self, key: str, data: bytes) -> None:
        """Store an object, replacing one of the same key."""
        await self._change("PUT", key, data)

    async def delete(self, key: str) -> None:
        """Remove an object; one that is not there counts as removed."""
        await self._change("DELETE", key)

    async def list(self, prefix: str = "") -> list[str]:
        """Return the keys that have the prefix, in order."""
        response = await self._calls.read("/objects", {"prefix": prefix})
        if response.status != 200:
            raise self._calls.unexpected_status(response)
        return decode_json(response, SERVICE, lambda value: [str(key) for key in value["keys"]])

    async def _change(self, method: str, key: str, data: bytes | None = None) -> None:
        response = await self._calls.write(method, f"/objects/{key}", data)
        if response.status != 200:
            raise self._calls.unexpected_status(response)
