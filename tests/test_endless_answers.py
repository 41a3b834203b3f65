"""Peers that send bytes without end over loopback sockets, as fast as they can.

Guards against an event loop that parses them without a pause: it stood for up to a second at a
time, until the request's deadline, and other requests and heartbeats of the process with it.
"""

import asyncio
import time

import pytest
from endless_peers import CHUNKED, ENDLESS_ANSWERS, UNFRAMED, measured_loop, socket_peer

from lacewinggw.errors import AnswerIncomplete
from lacewinggw.frontend.calls import AnswerFacts
from lacewinggw.frontend.offers import Answer, read_events, read_whole
from lacewinggw.wire.http import HttpClient, HttpError
from lacewinggw.wire.network import TcpNetwork

LONGEST_TURN_S = 0.05
TIMEOUT_S = 10.0
MAX_PROCESSOR_S = 2.0  # for one answer; without a limit it grows with the time allowed
MAX_TAKEN_BYTES = 40 << 20  # sent by the peer, with what the kernel buffers
CONNECTIONS = 16
FACTS = AnswerFacts("call", not_run=False, sealed=True)


async def read_answer(client: HttpClient, address: str, as_events: bool) -> str:
    """Return how an answer ends that an entry would pass on."""
    try:
        response = await client.stream(address, "GET", "/", timeout_s=TIMEOUT_S)
    except HttpError as error:
        return str(error)
    answer = Answer(response.status, response.headers, FACTS, response)
    try:
        if as_events:
            async for _ in read_events(answer):
                await asyncio.sleep(0)
        else:
            await read_whole(answer, lambda: None)
    except AnswerIncomplete as error:
        return error.reason
    return "complete"


@pytest.mark.parametrize("as_events", [True, False], ids=["stream", "whole"])
@pytest.mark.parametrize("kind", ENDLESS_ANSWERS)
async def test_endless_bytes_end_an_answer_without_delaying_others(kind, as_events):
    async with socket_peer(*ENDLESS_ANSWERS[kind]) as peer:
        client = HttpClient(TcpNetwork(), idle_connections=0)
        with measured_loop() as gauge:
            async with asyncio.timeout(TIMEOUT_S):
                ending = await read_answer(client, peer.address, as_events)
        await client.close()
        assert ending != "complete"
        assert "bytes" in ending  # that the answer took
        assert gauge.longest_turn_s < LONGEST_TURN_S
        assert gauge.total_s < MAX_PROCESSOR_S
        assert peer.sent_bytes < MAX_TAKEN_BYTES


@pytest.mark.parametrize("kind", ENDLESS_ANSWERS)
async def test_many_endless_answers_of_a_peer_do_not_delay_others_together(kind):
    async with socket_peer(*ENDLESS_ANSWERS[kind]) as peer:
        client = HttpClient(TcpNetwork(), idle_connections=0)
        answers = [
            asyncio.ensure_future(read_answer(client, peer.address, as_events=number % 2 == 0))
            for number in range(CONNECTIONS)
        ]
        with measured_loop() as gauge:
            await asyncio.wait(answers, timeout=2.0)
        for answer in answers:
            answer.cancel()
        await asyncio.wait(answers)
        await client.close()
        assert gauge.longest_turn_s < LONGEST_TURN_S


async def test_an_answer_that_is_sound_is_read_beside_endless_ones():
    async with (
        socket_peer(*ENDLESS_ANSWERS["chunks of one byte"]) as faulty,
        socket_peer(CHUNKED + b"5\r\nsound\r\n0\r\n\r\n", b" ") as sound,
    ):
        client = HttpClient(TcpNetwork(), idle_connections=0)
        endless = [
            asyncio.ensure_future(read_answer(client, faulty.address, as_events=True))
            for _ in range(CONNECTIONS)
        ]
        await asyncio.sleep(0.1)
        times = []  # of the loop's processor, while a sound answer is read
        for _ in range(10):
            began = time.thread_time()
            response = await client.stream(sound.address, "GET", "/", timeout_s=TIMEOUT_S)
            assert await response.read(100) == b"sound"
            times.append(time.thread_time() - began)
        for each in endless:
            each.cancel()
        await asyncio.wait(endless)
        await client.close()
        assert sorted(times)[len(times) // 2] < 0.2


async def test_bytes_after_a_complete_answer_belong_to_no_request():
    """A connection is not reused: the bytes would be taken for the answer to the next request."""
    extra = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"
    async with socket_peer(CHUNKED + b"5\r\nsound\r\n0\r\n\r\n" + extra, b" ") as peer:
        client = HttpClient(TcpNetwork())
        for _ in range(3):
            response = await client.request(peer.address, "GET", "/", timeout_s=TIMEOUT_S)
            assert response.content == b"sound"
        await client.close()
        assert peer.connections == 3


# ---- sound answers, which no limit may touch ----------------------------------------------


async def serve_once(write):
    """Return a server whose connections `write` answers, and its address."""

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await write(writer)
        writer.close()

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    ip, port = server.sockets[0].getsockname()
    return server, f"{ip}:{port}"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


EVENTS = [f"id: {number}\ndata: piece {number}\n\n".encode() for number in range(1, 5001)]


@pytest.mark.parametrize("head", [CHUNKED, UNFRAMED])
async def test_thousands_of_events_at_once_are_passed_on(head):
    async def write(writer: asyncio.StreamWriter) -> None:
        is_chunked = head is CHUNKED
        body = b"".join(chunk(event) if is_chunked else event for event in EVENTS)
        writer.write(head + body + (b"0\r\n\r\n" if is_chunked else b""))
        await writer.drain()

    server, address = await serve_once(write)
    client = HttpClient(TcpNetwork(), idle_connections=0)
    response = await client.stream(address, "GET", "/", timeout_s=TIMEOUT_S)
    answer = Answer(200, {}, FACTS, response)
    received = [event.number async for batch in read_events(answer) for event in batch]
    assert received == list(range(1, len(EVENTS) + 1))
    server.close()


@pytest.mark.parametrize(
    ("body_bytes", "chunk_bytes"), [(1 << 19, 50), (8 << 20, 1000), (8 << 20, 1 << 20)]
)
async def test_a_large_answer_is_read_whole(body_bytes, chunk_bytes):
    body = bytes(range(256)) * (body_bytes // 256)

    async def write(writer: asyncio.StreamWriter) -> None:
        writer.write(CHUNKED)
        for begin in range(0, len(body), chunk_bytes):
            writer.write(chunk(body[begin : begin + chunk_bytes]))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    server, address = await serve_once(write)
    client = HttpClient(TcpNetwork(), idle_connections=0)
    response = await client.stream(address, "GET", "/", timeout_s=TIMEOUT_S)
    answer = Answer(200, {}, FACTS, response)
    with measured_loop() as gauge:
        assert await read_whole(answer, lambda: None) == body
    assert gauge.longest_turn_s < LONGEST_TURN_S
    server.close()
