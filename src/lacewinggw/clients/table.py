"""Client of the platform's transactional table service: rows with compare-and-set."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from lacewinggw.clients.calls import MS_PER_S, ServiceCalls, decode_json
from lacewinggw.generated.settings.ttypes import PlatformSettings
from lacewinggw.wire.http import HttpClient, Response
from lacewinggw.wire.network import Network

ABSENT = 0
SERVICE = "table service"
WRITE_RESULT_STATUSES = (200, 409)


@dataclass(frozen=True)
class Row:
    """One row; compare-and-set compares its `version`."""

    key: str
    version: int
    value: str


@dataclass(frozen=True)
class Put:
    """One write. If `if_version` is set, the row must have it; `ABSENT` requires no row."""

    key: str
    value: str
    if_version: int | None = None


@dataclass(frozen=True)
class Accepted:
    """The write took effect; `version` is the row's new version."""

    version: int


@dataclass(frozen=True)
class Conflict:
    """The comparison failed and nothing was written; `row` is the current row, if any."""

    row: Row | None


PutResult = Accepted | Conflict


class TableClient:
    """Reads and writes rows of the table service.

    Reads raise `PlatformUnavailable` or `PlatformThrottled`. Writes raise these if they had no
    effect, and `WriteUnknown` if they may have taken effect: read the row back in that case.

        match await table.put("log/7", entry, if_version=ABSENT):
            case Accepted(version): ...
            case Conflict(row): ...
    """

    def __init__(self, network: Network, address: str, timeout_s: float) -> None:
        self._http = HttpClient(network)
        self._calls = ServiceCalls(self._http, address, SERVICE, timeout_s)

    @classmethod
    def from_settings(cls, network: Network, settings: PlatformSettings) -> "TableClient":
        """Return a client for the table service address in the settings."""
        return cls(network, settings.table, settings.timeout_ms / MS_PER_S)

    async def start(self) -> None:
        """Do nothing: connections are opened on demand."""

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def get(self, key: str) -> Row | None:
        """Return the row of a key, or None if there is none."""
        response = await self._calls.read(f"/rows/{key}")
        match response.status:
            case 200:
                return decode_json(response, SERVICE, _decode_row)
            case 404:
                return None
        raise self._calls.unexpected_status(response)

    async def scan(self, prefix: str, after: str = "", limit: int = 100) -> list[Row]:
        """Return up to `limit` rows with the key prefix whose keys sort after `after`, in order."""
        query = {"prefix": prefix, "after": after, "limit": str(limit)}
        response = await self._calls.read("/rows", query)
        if response.status != 200:
            raise self._calls.unexpected_status(response)
        return decode_json(response, SERVICE, _decode_rows)

    async def put(self, key: str, value: str, if_version: int | None = None) -> PutResult:
        """Write a row; if `if_version` is given, only when the row has that version."""
        body = {"value": value, "if_version": if_version}
        response = await self._calls.write("PUT", f"/rows/{key}", body)
        return self._decode_write(response)

    async def delete(self, key: str, if_version: int | None = None) -> PutResult:
        """Delete a row, only at `if_version` if given; deleting a missing row succeeds."""
        query = None if if_version is None else {"if_version": str(if_version)}
        response = await self._calls.write("DELETE", f"/rows/{key}", query=query)
        return self._decode_write(response)

    async def put_many(self, puts: Sequence[Put]) -> list[PutResult]:
        """Write several rows in one call; return one result for each, in the same order.

        A `WriteUnknown` applies to every one of them.
        """
        body = [{"key": put.key, "value": put.value, "if_version": put.if_version} for put in puts]
        response = await self._calls.write("POST", "/batch", body)
        if response.status != 200:
            raise self._calls.unexpected_status(response)
        return decode_json(
            response, SERVICE, lambda value: list(map(_decode_result, value["results"]))
        )

    def _decode_write(self, response: Response) -> PutResult:
        if response.status not in WRITE_RESULT_STATUSES:
            raise self._calls.unexpected_status(response)
        return decode_json(response, SERVICE, _decode_result)


def _decode_row(value: dict[str, Any]) -> Row:
    return Row(str(value["key"]), int(value["version"]), str(value["value"]))


def _decode_rows(value: dict[str, Any]) -> list[Row]:
    return [_decode_row(row) for row in value["rows"]]


def _decode_result(value: dict[str, Any]) -> PutResult:
    row = value["row"]
    if value["status"] == 200:
        return Accepted(int(row["version"]) if row else ABSENT)
    return Conflict(_decode_row(row) if row else None)
