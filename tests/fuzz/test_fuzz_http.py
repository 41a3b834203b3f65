"""Malformed input on the HTTP listeners for callers and operators."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st
from virtual import run_virtual

from lacewinggw.lab.memory import MemoryNetwork
from lacewinggw.wire.http import HttpClient, HttpLimits, Request, Response, json_response
from lacewinggw.wire.httpserver import HttpServer

ADDRESS = "10.0.0.1:8000"
LIMITS = HttpLimits(body_bytes=1000, head_bytes=2000, idle_s=20.0, read_s=5.0)
GOOD = b"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody"


async def echo(request: Request) -> Response:
    if request.path == "/fail":
        raise RuntimeError("a secret of the handler")
    return json_response(200, {"path": request.path, "size": len(request.body)})


async def send(data: bytes) -> bytes:
    """Send bytes, check that another client is still served, and return all bytes received."""
    network = MemoryNetwork()
    server = HttpServer(network, ADDRESS, echo, LIMITS)
    await server.start()
    stream = await network.connect(ADDRESS)
    stream.write(data)
    received = b""
    while piece := await asyncio.wait_for(stream.read(1 << 16), 100.0):
        received += piece
    client = HttpClient(network)
    assert (await client.request(ADDRESS, "GET", "/friend")).status == 200
    await client.close()
    await server.close()
    return received


@st.composite
def damaged_requests(draw: st.DrawFn) -> bytes:
    data = bytearray(GOOD)
    for _ in range(draw(st.integers(1, 4))):
        data[draw(st.integers(0, len(data) - 1))] = draw(st.integers(0, 255))
    return bytes(data[: draw(st.integers(1, len(data)))])


@given(st.one_of(st.binary(min_size=1, max_size=300), damaged_requests()))
def test_any_input_gets_a_response_or_a_closed_connection(data: bytes) -> None:
    received = run_virtual(send(data))
    assert b"Traceback" not in received
    assert not received or received.startswith(b"HTTP/1.1 ")


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5000\r\n\r\n" + b"x" * 5000, 413),
        (
            b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
            + b"3e8\r\n%s\r\n" % (b"x" * 1000) * 3,
            413,
        ),
        (b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 5000, 431),
        (b"GET /" + b"y" * 5000, 431),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n", 400),
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 400),
    ],
    ids=[
        *["long body", "long chunked body", "long header", "long target", "no host"],
        *["negative length", "conflicting lengths", "TLS handshake"],
    ],
)
def test_violation_of_a_limit_or_of_the_protocol_is_rejected(data: bytes, status: int) -> None:
    received = run_virtual(send(data))
    assert received.startswith(b"HTTP/1.1 %d " % status)


def test_slow_sender_is_disconnected() -> None:
    assert run_virtual(send(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nx")) == b""


def test_handler_exception_is_not_shown_to_the_client() -> None:
    received = run_virtual(send(b"GET /fail HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"))
    assert received.startswith(b"HTTP/1.1 500 ")
    assert b"secret" not in received
    assert b"Traceback" not in received
