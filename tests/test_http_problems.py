"""Requests that the HTTP server rejects itself: the problem has a code, a remedy and an outcome."""

import json

import pytest

from lacewinggw.errors import BodyTooLarge, LacewingError, MalformedHttp
from lacewinggw.lab.memory import MemoryNetwork
from lacewinggw.wire.http import HttpClient, HttpLimits, Request, Response
from lacewinggw.wire.httpserver import HttpServer
from lacewinggw.wire.network import Stream

pytestmark = pytest.mark.looptime

LIMITS = HttpLimits(body_bytes=100, head_bytes=1000)


class RecordingServer:
    """A server on an in-memory network that records the requests its handler received."""

    def __init__(self) -> None:
        self.network = MemoryNetwork()
        self.handled: list[Request] = []
        self._server = HttpServer(self.network, "10.0.0.1:0", self._handle, LIMITS)

    async def start(self) -> str:
        """Start the server and return its address."""
        await self._server.start()
        return self._server.address

    async def _handle(self, request: Request) -> Response:
        self.handled.append(request)
        raise ZeroDivisionError("an unexpected error in the handler")


async def read_response(stream: Stream) -> tuple[int, dict[str, object]]:
    """Read until the connection closes; return the response's status and problem document."""
    received = b""
    while data := await stream.read(1 << 16):
        received += data
    head, _, body = received.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(body)


@pytest.mark.parametrize(
    ("sent", "status", "error"),
    [
        (
            b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 101\r\n\r\n" + 101 * b"x",
            413,
            BodyTooLarge,
        ),
        (b"NONSENSE\r\n\r\n", 400, MalformedHttp),
        (b"GET / HTTP/1.1\r\n\r\n", 400, MalformedHttp),
        (b"GET / HTTP/1.1\r\nhost: " + 2000 * b"x", 431, MalformedHttp),
    ],
    ids=["body too large", "not HTTP", "no host", "head too large"],
)
async def test_rejected_request_does_not_reach_the_handler(
    sent: bytes,
    status: int,
    error: type[LacewingError],
) -> None:
    server = RecordingServer()
    stream = await server.network.connect(await server.start())
    stream.write(sent)
    received_status, problem = await read_response(stream)
    assert received_status == status
    assert problem["code"] == error.code
    assert problem["status"] == status
    assert problem["outcome"] == "not-run"
    assert problem["remedy"] == error.default_remedy
    assert server.handled == []


async def test_handler_exception_is_not_shown_to_the_client() -> None:
    server = RecordingServer()
    client = HttpClient(server.network)
    response = await client.request(await server.start(), "GET", "/")
    assert response.status == 500
    assert response.headers["error-code"] == LacewingError.code
    assert b"ZeroDivision" not in response.content
    assert len(server.handled) == 1
