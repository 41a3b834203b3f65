"""Peers that stop in the head of a message, or right after it, over loopback sockets.

Guards against a reader that takes part of a message for the whole of it.
"""

import asyncio
import socket
from contextlib import asynccontextmanager, suppress

import pytest
from test_endless_services import READERS

from lacewinggw.decisions.routes import CallerLimits
from lacewinggw.errors import LacewingError, TargetUnreachable
from lacewinggw.frontend.callers import CallerListener
from lacewinggw.wire.http import HttpClient
from lacewinggw.wire.network import ZERO_LINGER, TcpNetwork

HEADS = {
    "neither": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
}
# What these return is verified by its hash.
PIECES = ("a staged piece", "a piece")
AN_ORDER = "an order"  # has no use for a body: the head states the outcome
REQUEST = b"POST /sheet/1 HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: r1\r\nContent-Length: 5\r\n\r\nwhole"


@asynccontextmanager
async def stopping_peer(sent: bytes, resets: bool):
    """Run a server that sends `sent` to each request and closes or resets the connection."""

    async def serve(reader, writer):
        with suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(sent)
            await writer.drain()
            if resets:
                await asyncio.sleep(0.01)  # until the peer has read it
                linger = (socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
                writer.get_extra_info("socket").setsockopt(*linger)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    ip, port = server.sockets[0].getsockname()
    try:
        yield f"{ip}:{port}"
    finally:
        server.close()


async def read(reader: str, sent: bytes, resets: bool = False):
    """Return what a reader makes of an answer that stops."""
    async with stopping_peer(sent, resets) as address:
        client = HttpClient(TcpNetwork(), idle_connections=0)
        try:
            async with asyncio.timeout(8.0):
                return await READERS[reader](client, address)
        finally:
            await client.close()


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("framing", HEADS)
@pytest.mark.parametrize("reader", READERS)
async def test_part_of_a_head_is_no_answer_of_a_service(reader, framing, resets):
    head = HEADS[framing]
    for cut in range(0, len(head), 7):
        with pytest.raises((LacewingError, TargetUnreachable)):
            await read(reader, head[:cut], resets)


@pytest.mark.parametrize("framing", HEADS)
@pytest.mark.parametrize("reader", [each for each in READERS if each != AN_ORDER])
async def test_a_head_without_its_body_is_no_answer_of_a_service(reader, framing):
    if framing == "neither" and reader in PIECES:
        assert await read(reader, HEADS[framing]) == b""
        return
    with pytest.raises((LacewingError, TargetUnreachable)):
        await read(reader, HEADS[framing])


@pytest.mark.parametrize("resets", [False, True])
async def test_part_of_a_request_is_not_served(resets):
    served = []

    async def serve(call, caller):
        served.append(call)
        await caller.answer(200, [], b"ok")

    listener = CallerListener(TcpNetwork(), "127.0.0.1:0", serve, CallerLimits)
    await listener.start()
    ip, _, port = listener.address.rpartition(":")
    for cut in range(1, len(REQUEST)):
        with socket.create_connection((ip, int(port))) as caller:
            caller.sendall(REQUEST[:cut])
            if resets:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
        await asyncio.sleep(0)
    await asyncio.sleep(0.2)
    await listener.close()
    assert not served
