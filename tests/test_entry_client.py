"""The operators' client with entries that do not reply, or that close the connection."""

import asyncio
import itertools

import pytest

from lacewinggw.errors import AcceptanceUnknown, BadToken, TimedOut, Unreachable
from lacewinggw.ids import Address
from lacewinggw.lab.memory import MemoryNetwork
from lacewinggw.operators.client import EntryClient
from lacewinggw.wire.http import Request, Response, json_response
from lacewinggw.wire.httpserver import HttpServer
from lacewinggw.wire.network import Stream

pytestmark = pytest.mark.looptime

TIMEOUT_S = 5.0
UNUSED_ADDRESS = Address("10.0.0.9:1")


class Entries:
    """Stand-ins for entries on one in-memory network, and a client to call them."""

    def __init__(self) -> None:
        self.network = MemoryNetwork()
        self.requests: list[Request] = []
        self._hosts = itertools.count(1)

    async def add_answering(self) -> Address:
        """Add an entry that answers every request."""
        return await self._add(self._answer)

    async def add_silent(self) -> Address:
        """Add an entry that accepts requests and never answers."""
        return await self._add(self._never_answer)

    async def add_breaking(self) -> Address:
        """Add an entry that closes the connection after the first bytes."""
        listener = await self.network.listen(self._next_address(), self._break_off)
        return Address(listener.address)

    def client(self, *entries: Address, token: str = "token") -> EntryClient:
        """Return a client that tries the entries in order."""
        return EntryClient(self.network, entries, token, TIMEOUT_S)

    async def _add(self, handler: object) -> Address:
        server = HttpServer(self.network, self._next_address(), handler)  # type: ignore[arg-type]
        await server.start()
        return Address(server.address)

    def _next_address(self) -> str:
        return f"10.0.0.{next(self._hosts)}:0"

    async def _answer(self, request: Request) -> Response:
        self.requests.append(request)
        if "authorization" not in request.headers:
            return json_response(401, {"code": BadToken.code, "detail": "no token"})
        return json_response(200, {"rows": []})

    async def _never_answer(self, request: Request) -> Response:
        self.requests.append(request)
        await asyncio.sleep(10 * TIMEOUT_S)
        return await self._answer(request)

    async def _break_off(self, stream: Stream) -> None:
        await stream.read(1)
        stream.close()


async def test_query_fails_over_to_the_next_entry() -> None:
    entries = Entries()
    silent, breaking = await entries.add_silent(), await entries.add_breaking()
    client = entries.client(UNUSED_ADDRESS, silent, breaking, await entries.add_answering())
    assert await client.query("show services") == {"rows": []}


async def test_unanswered_query_times_out() -> None:
    entries = Entries()
    client = entries.client(await entries.add_silent())
    with pytest.raises(TimedOut, match="within 5 s"):
        await client.query("show services")


@pytest.mark.parametrize("kind", ["silent", "breaking"])
async def test_unanswered_command_may_have_been_accepted(kind: str) -> None:
    entries = Entries()
    unreliable = await getattr(entries, f"add_{kind}")()
    client = entries.client(unreliable, UNUSED_ADDRESS)
    with pytest.raises(AcceptanceUnknown, match="command c-1 may have been accepted") as raised:
        await client.command("drain host h-1", "c-1", 4)
    assert "show command c-1" in raised.value.remedy


async def test_command_that_reached_no_entry_is_not_accepted() -> None:
    client = Entries().client(UNUSED_ADDRESS)
    with pytest.raises(Unreachable):
        await client.command("drain host h-1", "c-1", 4)


async def test_client_without_a_token_sends_no_authorization() -> None:
    entries = Entries()
    client = entries.client(await entries.add_answering(), token="")
    with pytest.raises(BadToken):
        await client.query("show services")
    assert "authorization" not in entries.requests[0].headers
