"""Client of the platform's transactional table service: rows under compare-and-set."""

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
    """One row; its version is what a compare-and-set names."""

    key: str
    version: int
    value: str


@dataclass(frozen=True)
class Put:
    """One write: if `if_version` is given the row must have it, `ABSENT` meaning no row."""

    key: str
    value: str
    if_version: int | None = None


@dataclass(frozen=True)
class Accepted:
    """The write took effect; the row now has this version."""

    version: int


@dataclass(frozen=True)
class Conflict:
    """The comparison failed and nothing was written; `row` is what stands there now."""

    row: Row | None


PutResult = Accepted | Conflict


class TableClient:
    """Rows of the table service.

    Reads raise `PlatformUnavailable` or `PlatformThrottled`. Writes raise the same when they
    certainly had no effect, and `WriteUnknown` when they may have had: read the row back then.

        match await table.put("log/7", entry, if_version=ABSENT):
            case Accepted(version): ...
            case Conflict(row): ...
    """

    def __init__(self, network: Network, address: str, timeout_s: float) -> None:
        self._http = HttpClient(network)
        self._calls = ServiceCalls(self._http, address, SERVICE, timeout_s)

    @classmethod
    def from_settings(cls, network: Network, settings: PlatformSettings) -> "TableClient":
        """Return the client of the table service that the settings name."""
        return cls(network, settings.table, settings.timeout_ms / MS_PER_S)

    async def start(self) -> None:
        """Do nothing: connections are made as they are needed."""

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()

    async def get(self, key: str) -> Row | None:
        """Return a row, or None when there is none."""
        response = await self._calls.read(f"/rows/{key}")
        match response.status:
            case 200:
                return decode_json(response, SERVICE, _decode_row)
            case 404:
                return None
        raise self._calls.unexpected_status(response)

    async def scan(self, prefix: str, after: str = "", limit: int = 100) -> list[Row]:
        """Return up to `limit` rows whose keys have the prefix and sort after `after`, in order."""
        query = {"prefix": prefix, "after": after, "limit": str(limit)}
        response = await self._calls.read("/rows", query)
        if response.status != 200:
            raise self._calls.unexpected_status(response)
        return decode_json(response, SERVICE, _decode_rows)

    async def put(self, key: str, value: str, if_version: int | None = None) -> PutResult:
        """Write a row, under a comparison when `if_version` is given."""
        asked = {"value": value, "if_version": if_version}
        response = await self._calls.write("PUT", f"/rows/{key}", asked)
        return self._decode_write(response)

    async def delete(self, key: str, if_version: int | None = None) -> PutResult:
        """Remove a row; one that is not there counts as removed."""
        query = None if if_version is None else {"if_version": str(if_version)}
        response = await self._calls.write("DELETE", f"/rows/{key}", query=query)
        return self._decode_write(response)

    async def put_many(self, puts: Sequence[Put]) -> list[PutResult]:
        """Write several rows in one call, each with a result of its own, in the same order.

        `WriteUnknown` then holds for each of them.
        """
        asked = [{"key": put.key, "value": put.value, "if_version": put.if_version} for put in puts]
        response = await self._calls.write("POST", "/batch", asked)
        if response.status != 200:
            raise self._calls.unexpected_status(response)
        return decode_json(response, SERVICE, lambda value: list(map(_result, value["results"])))

    def _decode_write(self, response: Response) -> PutResult:
        if response.status not in WRITE_RESULT_STATUSES:
            raise self._calls.unexpected_status(response)
        return decode_json(response, SERVICE, _result)


def _decode_row(value: dict[str, Any]) -> Row:
    return Row(str(value["key"]), int(value["version"]), str(value["value"]))


def _decode_rows(value: dict[str, Any]) -> list[Row]:
    return [_decode_row(each) for each in value["rows"]]


def _result(value: dict[str, Any]) -> PutResult:
    row = value["row"]
    if value["status"] == 200:
        return Accepted(int(row["version"]) if row else ABSENT)
    return Conflict(_decode_row(row) if row else None)
