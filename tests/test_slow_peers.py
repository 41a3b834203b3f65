"""Peers that send byte by byte, and sound answers that are slow, which no limit may end."""

import asyncio

import pytest
from endless_peers import CHUNKED, OK_HEAD, UNFRAMED

from lacewinggw.frontend.calls import AnswerFacts
from lacewinggw.frontend.offers import Answer, read_events, read_whole
from lacewinggw.lab.memory import MemoryNetwork
from lacewinggw.wire.http import MAX_HEAD_S, HttpClient, HttpLimits, Response
from lacewinggw.wire.httpserver import HttpServer

pytestmark = pytest.mark.looptime

ADDRESS = "10.0.0.1:8000"
FACTS = AnswerFacts("call", not_run=False, sealed=True)
TIMEOUT_S = 60.0


def now() -> float:
    return asyncio.get_running_loop().time()


async def answer_of(write) -> Answer:
    """Return the answer of a server that `write` sends."""
    network = MemoryNetwork()

    async def accept(stream) -> None:
        await stream.read(1 << 16)
        await write(stream)
        stream.close()

    await network.listen(ADDRESS, accept)
    client = HttpClient(network, idle_connections=0)
    response = await client.stream(ADDRESS, "GET", "/", timeout_s=TIMEOUT_S)
    return Answer(response.status, response.headers, FACTS, response)


# Guards against a limit for each read only: a head lasted as long as its bytes trickled.
async def test_a_head_that_trickles_ends_with_a_timeout():
    async def write(stream) -> None:
        for byte in OK_HEAD + b"a: " + b"b" * 10_000:
            stream.write(bytes([byte]))
            await asyncio.sleep(0.05)

    began = now()
    with pytest.raises(TimeoutError):
        await answer_of(write)
    assert now() - began < MAX_HEAD_S + 1.0


async def test_a_head_may_come_late_and_with_pauses():
    async def write(stream) -> None:
        await asyncio.sleep(30.0)
        stream.write(OK_HEAD)
        await asyncio.sleep(2.5)
        stream.write(b"Content-Length: 5\r\n\r\nsound")

    assert await read_whole(await answer_of(write), lambda: None) == b"sound"


async def test_a_request_head_that_trickles_ends_its_connection():
    network = MemoryNetwork()

    async def handle(request) -> Response:
        return Response(200)

    server = HttpServer(network, ADDRESS, handle, HttpLimits(read_s=5.0))
    await server.start()
    stream = await network.connect(ADDRESS)
    began = now()
    while not stream.ended and now() - began < 60.0:
        stream.write(b"x")
        await asyncio.sleep(0.05)
    assert now() - began < 6.0
    await server.close()


async def test_half_a_megabyte_over_a_slow_link_is_read_whole():
    body = bytes(range(256)) * 2048

    async def write(stream) -> None:
        stream.write(OK_HEAD + b"Content-Length: %d\r\n\r\n" % len(body))
        for begin in range(0, len(body), 500):
            stream.write(body[begin : begin + 500])
            await asyncio.sleep(0.02)  # 200 kbit/s

    assert await read_whole(await answer_of(write), lambda: None) == body


@pytest.mark.parametrize("head", [CHUNKED, UNFRAMED])
async def test_a_stream_of_minutes_is_passed_on(head):
    def framed(data: bytes) -> bytes:
        return b"%x\r\n%s\r\n" % (len(data), data) if head is CHUNKED else data

    async def write(stream) -> None:
        stream.write(head)
        for number in range(1, 6001):
            stream.write(framed(b"id: %d\ndata: x\n\n" % number) + framed(b": alive\n\n") * 5)
            await asyncio.sleep(0.1)
        stream.write(b"0\r\n\r\n" if head is CHUNKED else b"")

    answer = await answer_of(write)
    numbers = [event.number async for batch in read_events(answer) for event in batch]
    assert [each for each in numbers if each is not None] == list(range(1, 6001))
    assert len(numbers) == 36_000
