"""Client of the platform's object store."""

from lacewinggw.clients.calls import MS_PER_S, ServiceCalls, decode_json
from lacewinggw.generated.settings.ttypes import PlatformSettings
from lacewinggw.wire.http import HttpClient
from lacewinggw.wire.network import Network

SERVICE = "object store"


class ObjectClient:
    """Reads and writes objects, each stored as a whole under a key.

    All calls raise `PlatformUnavailable` and `PlatformThrottled`. Writes also raise
    `WriteUnknown`; repeating the same write is then safe, as it replaces the whole object.
    """

    def __init__(self, network: Network, address: str, timeout_s: float) -> None:
        self._http = HttpClient(network)
        self._calls = ServiceCalls(self._http, address, SERVICE, timeout_s)

    @classmethod
    def from_settings(cls, network: Network, settings: PlatformSettings) -> "ObjectClient":
        """Return a client for the object store address in the settings."""
        return cls(network, settings.objects, settings.timeout_ms / MS_PER_S)

    async def start(self) -> None:
        """Do nothing: connections are opened on demand."""

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def get(self, key: str) -> bytes | None:
        """Return the object stored under a key, or None if there is none."""
        response = await self._calls.read(f"/objects/{key}")
        match response.status:
            case 200:
                return response.content
            case 404:
                return None
        raise self._calls.unexpected_status(response)

    async def put(self, key: str, data: bytes) -> None:
        """Store an object, replacing any object with the same key."""
        await self._write("PUT", key, data)

    async def delete(self, key: str) -> None:
        """Delete an object; deleting a missing object succeeds."""
        await self._write("DELETE", key)

    async def list(self, prefix: str = "") -> list[str]:
        """Return the keys that begin with `prefix`, in order."""
        response = await self._calls.read("/objects", {"prefix": prefix})
        if response.status != 200:
            raise self._calls.unexpected_status(response)
        return decode_json(response, SERVICE, lambda value: [str(key) for key in value["keys"]])

    async def _write(self, method: str, key: str, data: bytes | None = None) -> None:
        response = await self._calls.write(method, f"/objects/{key}", data)
        if response.status != 200:
            raise self._calls.unexpected_status(response)
