"""HTTP/1.1 server over any `Network`, based on h11.

A handler turns a `Request` into a `Response`, whose body is bytes or an asynchronous iterator of
pieces, which are sent chunked as they are produced. When such an iterator fails, the connection is
closed before the final chunk, so that the client can distinguish a truncated body from a complete
one. Every read has a size and a time limit, and clients are limited in what they hold together.
"""

import asyncio
from collections.abc import AsyncIterable, Callable
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

import h11

from lacewinggw.decisions.clientload import ClientState, next_room
from lacewinggw.errors import BodyTooLarge, LacewingError, MalformedHttp, Overloaded
from lacewinggw.log import get_logger
from lacewinggw.wire.clients import (
    ClientAdmission,
    ClientConnection,
    Clients,
    Eviction,
    overloaded,
)
from lacewinggw.wire.http import (
    READ_BYTES,
    Handler,
    HeadTimer,
    HttpLimits,
    Request,
    Response,
    decode_headers,
    encode_headers,
    read_within,
)
from lacewinggw.wire.httpreader import HttpReader
from lacewinggw.wire.network import Listener, Network, Stream, discard_rest
from lacewinggw.wire.problems import problem_body, problem_headers
from lacewinggw.wire.readturns import ReadTurns

REFUSED_READ_S = 1.0  # for a client to read why its request is refused

log = get_logger(__name__)


class HttpServer:
    """Serves one handler at one address; `admission` limits what its clients hold.

    `close(grace_s)` stops accepting, waits up to `grace_s` seconds for requests in progress, then
    closes the remaining connections.
    """

    def __init__(
        self,
        network: Network,
        address: str,
        handler: Handler,
        limits: HttpLimits | None = None,
        admission: ClientAdmission | None = None,
    ) -> None:
        self._network = network
        self._requested_address = address
        self._handler = handler
        self._limits = limits or HttpLimits()
        self._admission = admission or Clients.unlimited().page_admission("pages")
        self._turns = ReadTurns()
        self._listener: Listener | None = None
        self._open: dict[asyncio.Task[Any], _ServerConnection] = {}
        self._closing = False

    @property
    def address(self) -> str:
        """The bound address; `start` must have completed."""
        assert self._listener is not None, "call start() first"
        return self._listener.address

    async def start(self) -> None:
        """Bind the address and start to accept connections."""
        self._listener = await self._network.listen(self._requested_address, self._accept)

    async def close(self, grace_s: float = 0.0) -> None:
        """Stop accepting, wait up to `grace_s` for requests in progress, then close the rest."""
        self._closing = True
        if self._listener is not None:
            await self._listener.close()
        busy = {task for task, connection in self._open.items() if connection.is_busy}
        for task in self._open.keys() - busy:
            task.cancel()
        if busy and grace_s > 0:
            await asyncio.wait(busy, timeout=grace_s)
        remaining = list(self._open)
        for task in remaining:
            task.cancel()
        if remaining:
            await asyncio.wait(remaining)

    async def _accept(self, stream: Stream) -> None:
        task = asyncio.current_task()
        assert task is not None
        client = self._admission.admit(lambda reason: connection.evict(task, reason))
        if client is None:
            stream.abort()
            return
        connection = _ServerConnection(
            stream, client, self._limits, self._turns, self._handler, lambda: self._closing
        )
        self._open[task] = connection
        try:
            while not self._closing and await connection.serve_next():
                pass
        except (OSError, TimeoutError, asyncio.IncompleteReadError, h11.LocalProtocolError):
            return
        except asyncio.CancelledError:
            if connection.is_evicted:
                await connection.refuse_evicted()
            elif not self._closing:
                raise
        finally:
            self._open.pop(task, None)
            stream.close()
            self._admission.leave(client, stream)


class _ServerConnection:
    """One connection of a client, with its successive requests and responses."""

    def __init__(
        self,
        stream: Stream,
        client: ClientConnection,
        limits: HttpLimits,
        turns: ReadTurns,
        handler: Handler,
        is_closing: Callable[[], bool],
    ) -> None:
        self.is_busy = False  # a request is being read or answered
        self.is_evicted = False
        self._stream = stream
        self._client = client
        self._limits = limits
        self._handler = handler
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.head_bytes)
        self._reader = HttpReader(self._http, turns)
        self._is_closing = is_closing
        self._is_reading_body = False
        self._body: list[bytes] = []

    def evict(self, task: "asyncio.Task[Any]", reason: Eviction) -> None:
        """Close the connection for others; refuse a body whose memory they need."""
        self.is_evicted = True
        self._body.clear()
        if self._is_reading_body and reason is Eviction.MEMORY:
            task.cancel()
        else:
            self._stream.abort()

    async def refuse_evicted(self) -> None:
        """Refuse the request whose body was discarded."""
        error = overloaded()
        await self._refuse(error, error.http_status)

    async def serve_next(self) -> bool:
        """Serve the next request; return whether another may follow.

        The request is not kept while the connection waits for another one.
        """
        try:
            request = await self._read_request()
        except h11.RemoteProtocolError as error:
            refusal = MalformedHttp(f"malformed HTTP: {error}")
            await self._refuse(refusal, error.error_status_hint)
            return False
        except (BodyTooLarge, Overloaded) as error:
            await self._refuse(error, error.http_status)
            return False
        if request is None:
            return False
        response = await self._answer(request)
        await self._send(request, response)
        self._client.release()
        self.is_busy = False
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            return False
        self._reader.start_next_cycle()
        self._client.enter(ClientState.KEPT)
        return True

    async def _read_request(self) -> Request | None:
        """Return the next request; None if the client has closed the connection."""
        timer = HeadTimer(self._stream, self._limits.idle_s, self._limits.read_s)
        event = await self._reader.next_event(lambda: self._read_head(timer))
        if not isinstance(event, h11.Request):
            return None
        self.is_busy = True
        headers = decode_headers(event.headers)
        await self._client.reserve_head(len(headers))
        self._is_reading_body = True
        try:
            body = await self._read_body(headers)
        finally:
            self._is_reading_body = False
            self._body = []
        self._client.enter(ClientState.SERVED)
        parts = urlsplit(event.target.decode("latin-1"))
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        return Request(event.method.decode("ascii"), unquote(parts.path), query, headers, body)

    async def _read_head(self, timer: HeadTimer) -> bytes:
        data = await timer.read()
        if self._client.use.state is ClientState.KEPT:
            self._client.enter(ClientState.ARRIVING)
        self._client.note_bytes(len(data))
        self._client.add(len(data))
        return data

    async def _read_body(self, headers: dict[str, str]) -> bytes:
        """Return a complete body; raise `BodyTooLarge` once it exceeds the limit."""
        room, limit = 0, self._limits.body_bytes
        if "content-length" in headers:
            room = int(headers["content-length"])
            self._require_size(room)
            await self._client.reserve_body(room)
        if self._http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._stream.write(self._http.send(interim) or b"")
        size = 0
        while True:
            event = await self._reader.next_event(self._read_more)
            if isinstance(event, h11.EndOfMessage):
                return b"".join(self._body)
            if not isinstance(event, h11.Data):
                raise ConnectionResetError("the connection closed before the end of the body")
            size += len(event.data)
            self._require_size(size)
            if size > room:
                previous, room = room, next_room(size, limit)
                await self._client.reserve_body(room - previous)
            self._body.append(bytes(event.data))

    async def _read_more(self) -> bytes:
        data = await read_within(self._stream, self._limits.read_s)
        self._client.note_bytes(len(data))
        return data

    def _require_size(self, size: int) -> None:
        limit = self._limits.body_bytes
        if size > limit:
            self._body.clear()
            raise BodyTooLarge(f"the body exceeds {limit} bytes")

    async def _answer(self, request: Request) -> Response:
        """Return the handler's response, or status 500 when it raises an unexpected exception.

        An `OSError` is passed on: a handler raises it to drop the connection without a response.
        """
        try:
            return await self._handler(request)
        except OSError:
            raise
        except Exception:
            log.exception("http_handler_failed", method=request.method, path=request.path)
            error = LacewingError("the request handler failed")
            return Response(error.http_status, problem_headers(error), problem_body(error))

    async def _refuse(self, error: LacewingError, status: int) -> None:
        """Send an error, and close the connection once the client had time to read it."""
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = {**problem_headers(error), "connection": "close"}
        if error.retry_after_ms:
            headers["retry-after"] = f"{error.retry_after_ms / 1000:.3f}"
        problem = Response(status, headers, problem_body(error, status=status))
        await self._send(Request("GET", "/"), problem)
        await discard_rest(self._stream, READ_BYTES, REFUSED_READ_S)

    async def _send(self, request: Request, response: Response) -> None:
        headers = dict(response.headers)
        if self._is_closing():
            headers["connection"] = "close"
        if not isinstance(response.body, bytes):
            await self._send_stream(response.status, headers, response.body)
            return
        headers["content-length"] = str(len(response.body))
        data = self._head(response.status, headers)
        if response.body and request.method != "HEAD":
            data += self._http.send(h11.Data(data=response.body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self._client.add(len(data))
        await self._client.send(self._stream, data)

    async def _send_stream(
        self, status: int, headers: dict[str, str], body: AsyncIterable[bytes]
    ) -> None:
        headers["transfer-encoding"] = "chunked"
        try:
            await self._client.send(self._stream, self._head(status, headers))
            async for piece in body:
                data = self._http.send(h11.Data(data=piece)) or b""
                await self._client.send(self._stream, data)
        finally:
            await _end_body(body)
        await self._client.send(self._stream, self._http.send(h11.EndOfMessage()) or b"")

    def _head(self, status: int, headers: dict[str, str]) -> bytes:
        head = h11.Response(status_code=status, headers=encode_headers(headers))
        return self._http.send(head) or b""


async def _end_body(body: AsyncIterable[bytes]) -> None:
    """Close a body iterator now; an exception may keep it alive until garbage collection."""
    close = getattr(body, "aclose", None)
    if close is not None:
        await close()
