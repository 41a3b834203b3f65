"""Callers and peers that send without end over loopback sockets, as fast as they can.

Guards against servers that parse what they receive without a pause, so that their other work waits.
"""

import asyncio
from contextlib import suppress

import pytest
from endless_peers import measured_loop, send_endlessly

from lacewinggw.decisions.routes import CallerLimits
from lacewinggw.frontend.callers import CallerListener
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.generated.messages.ttypes import FrameKind
from lacewinggw.wire.frames import encode_frame
from lacewinggw.wire.http import PAGE_LIMITS, Response
from lacewinggw.wire.httpserver import HttpServer
from lacewinggw.wire.network import TcpNetwork
from lacewinggw.wire.peers import Identity, PeerNode

LONGEST_TURN_S = 0.05
PLAY_S = 2.0
CONNECTIONS = 8
POST = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"

ENDLESS_REQUESTS = {
    "requests": (b"", GET),
    "malformed requests": (b"", b"\0\r\n\r\n"),
    "headers": (b"GET / HTTP/1.1\r\nHost: a\r\n", b"a:\r\n"),
    "a path": (b"GET /", b"x"),
    "chunks of one byte": (POST, b"1\r\nx\r\n"),
    "chunks with extensions": (POST, b"1;" + b"e" * 1000 + b"\r\nx\r\n"),
    "trailers": (POST + b"0\r\n", b"a:\r\n"),
    "trailers of 15,000 lines": (POST + b"0\r\n" + b"a:\r\n" * 15_000 + b"\r\n", GET),
    "a head of 15,000 lines": (GET[:-2] + b"a:\r\n" * 15_000 + b"\r\n", GET),
    "heads of 15,000 lines": (b"", GET[:-2] + b"a:\r\n" * 15_000 + b"\r\n"),
    "a body": (POST, b"400\r\n" + b"x" * 1024 + b"\r\n"),
}


async def flood(address: str, kind: str) -> float:
    """Send one kind of endless bytes on several connections; return the longest turn in seconds."""
    with measured_loop() as gauge:
        senders = [
            asyncio.ensure_future(send_endlessly(address, *ENDLESS_REQUESTS[kind], PLAY_S))
            for _ in range(CONNECTIONS)
        ]
        await asyncio.wait(senders)
    return gauge.longest_turn_s


@pytest.mark.parametrize("kind", ENDLESS_REQUESTS)
async def test_callers_that_send_without_end_do_not_delay_others(kind):
    async def serve(call, caller):
        await caller.answer(200, [], b"ok")

    limits = CallerLimits(body_bytes=1 << 20)
    listener = CallerListener(TcpNetwork(), "127.0.0.1:0", serve, lambda: limits)
    await listener.start()
    assert await flood(listener.address, kind) < LONGEST_TURN_S
    await listener.close()


@pytest.mark.parametrize("kind", ENDLESS_REQUESTS)
async def test_clients_of_a_page_that_send_without_end_do_not_delay_others(kind):
    async def handle(request):
        return Response(200, {}, b"ok")

    server = HttpServer(TcpNetwork(), "127.0.0.1:0", handle, PAGE_LIMITS)
    await server.start()
    assert await flood(server.address, kind) < LONGEST_TURN_S
    await server.close()


async def test_a_peer_that_sends_frames_without_end_does_not_delay_others():
    handled = 0

    async def handle(exchange):
        nonlocal handled
        handled += 1

    nodes = [
        PeerNode(TcpNetwork(), Identity(name, messages.Role.ENTRY, "hall", name), "fleet", handle)
        for name in ("first", "second")
    ]
    for node in nodes:
        await node.start("127.0.0.1:0")
    link = await nodes[0].link(nodes[1].address)
    await asyncio.sleep(0.1)
    (received,) = nodes[1].links
    frame = encode_frame(0, FrameKind.NOTIFY, 0, messages.Done())
    with measured_loop() as gauge:
        for _ in range(20):
            received._stream._reader.feed_data(frame * 4000)
            await asyncio.sleep(0.05)
    assert handled > 4000
    assert gauge.longest_turn_s < LONGEST_TURN_S
    link.close()
    for node in nodes:
        with suppress(OSError):
            await node.close()
