"""HTTP/1.1 client over any `Network`, based on h11, and what it shares with the server.

Every read has a size and a time limit.
"""

import asyncio
import json
from collections.abc import AsyncGenerator, AsyncIterable, Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import h11

from lacewinggw.log import get_logger
from lacewinggw.wire.httpreader import HttpReader
from lacewinggw.wire.network import Network, Stream
from lacewinggw.wire.readturns import ReadTurns

READ_BYTES = 1 << 16
MAX_BODY_BYTES = 64 << 20
LARGE_BODY_BYTES = 1 << 16  # written apart from its head, which would copy it
MAX_IDLE_CONNECTIONS = 32
CONNECT_SHARE = 0.5
# Time added to the timeout for a response that keeps arriving: 20 s transfer 0.5 MB at 200 kbit/s.
# A store's response that takes longer is outdated when it is complete.
MAX_RESPONSE_S = 20.0
# A timer that fires this late shows that the event loop was busy, and nothing about the peer.
LATE_TIMER_S = 0.02
LAST_READ_S = 0.05  # then, for bytes that arrived meanwhile and are not read yet
# From the first byte of a response's head to its end; a sound peer may pause in it.
MAX_HEAD_S = 5.0
BAD_GATEWAY = 502
LAST_STATUS = 599  # of the classes that HTTP defines (RFC 9110, section 15)
BODYLESS_STATUSES = frozenset({204, 304})  # their answers end with the head (RFC 9110, section 6.4)
HTTP_VERSIONS = frozenset({b"1.0", b"1.1"})
JSON_TYPE = "application/json"

log = get_logger(__name__)

Headers = dict[str, str]
HeaderList = Sequence[tuple[str, str]]  # keeps order and case, and allows repeated names


@dataclass(frozen=True)
class HttpLimits:
    """Limits for one side of a connection: sizes of body and head, and timeouts.

    A server waits `idle_s` for a request to begin, `read_s` for its head to end, and `read_s` for
    each read of its body.
    """

    body_bytes: int = MAX_BODY_BYTES
    head_bytes: int = 32 << 10
    idle_s: float = 120.0
    read_s: float = 30.0


PAGE_LIMITS = HttpLimits(body_bytes=64 << 10)  # of servers whose requests have small bodies


@dataclass(frozen=True)
class Request:
    """A received request; header names are in lower case and the path is percent-decoded."""

    method: str
    path: str
    query: dict[str, str] = field(default_factory=dict)
    headers: Headers = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True)
class Response:
    """A response to send, or one received completely."""

    status: int
    headers: Headers = field(default_factory=dict)
    body: bytes | AsyncIterable[bytes] = b""

    @property
    def content(self) -> bytes:
        """The body as bytes; it must not be a stream."""
        assert isinstance(self.body, bytes), "the body of this response is a stream"
        return self.body

    def json(self) -> Any:
        """Return the body decoded as JSON."""
        return json.loads(self.content)


Handler = Callable[[Request], Awaitable[Response]]


class HttpError(Exception):
    """The peer violated the protocol or a limit; `status` is the matching HTTP status."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def json_response(status: int, value: Any, headers: Headers | None = None) -> Response:
    """Return a response whose body is `value` as JSON."""
    body = json.dumps(value, separators=(",", ":")).encode()
    return Response(status, {"content-type": JSON_TYPE, **(headers or {})}, body)


def decode_headers(raw: Any) -> Headers:
    """Return headers as h11 has them as text; of a name that is repeated, the last."""
    return {name.decode("ascii"): value.decode("latin-1") for name, value in raw}


def encode_headers(headers: Headers | HeaderList) -> list[tuple[bytes, bytes]]:
    """Return headers as h11 takes them."""
    pairs = headers.items() if isinstance(headers, dict) else headers
    # Values were decoded as latin-1, which restores bytes beyond ASCII unchanged.
    return [(name.encode("ascii"), value.encode("latin-1")) for name, value in pairs]


class HeadTimer:
    """Limits the time of a head: until its first byte, and from there to its end."""

    def __init__(self, stream: Stream, first_byte_s: float, head_s: float) -> None:
        self._stream = stream
        self._until = _now() + first_byte_s
        self._head_s = head_s
        self._has_begun = False

    async def read(self) -> bytes:
        """Read more of the head; raise `TimeoutError` once it takes too long."""
        if self._has_begun and _now() > self._until:
            raise TimeoutError
        data = await read_within(self._stream, self._until - _now())
        if not self._has_begun:
            self._has_begun = True
            self._until = _now() + self._head_s
        return data


async def read_within(stream: Stream, timeout_s: float) -> bytes:
    """Read from a stream; raise `TimeoutError` if nothing arrives in time.

    If the event loop is busy until after the timeout, the timer cancels the read although bytes
    have arrived, so it is repeated once.
    """
    until = _now() + timeout_s
    try:
        async with asyncio.timeout_at(until):
            return await stream.read(READ_BYTES)
    except TimeoutError:
        if _now() - until < LATE_TIMER_S:
            raise
    async with asyncio.timeout(LAST_READ_S):
        return await stream.read(READ_BYTES)


def _now() -> float:
    return asyncio.get_running_loop().time()


class StreamedResponse:
    """A response whose body is still arriving; `aclose` abandons it."""

    def __init__(
        self,
        status: int,
        headers: Headers,
        connection: "_Connection",
        read_timeout_s: float,
        release: Callable[["_Connection"], None],
        has_body: bool = True,
    ) -> None:
        self.status = status
        self.headers = headers
        self._has_body = has_body
        self._connection = connection
        self._read_timeout_s = read_timeout_s
        self._release = release
        self._ended = False

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body has neither a length nor chunks, so that only its connection ends it."""
        return self._has_body and not self.headers.keys() & {"content-length", "transfer-encoding"}

    async def pieces(self, limit_bytes: int = MAX_BODY_BYTES) -> AsyncGenerator[bytes, None]:
        """Yield the body as it arrives.

        Data received in one read is yielded as one piece, unless it takes long to parse. Raises
        `OSError` when the body is truncated, and `HttpError` when it exceeds `limit_bytes` (413) or
        violates the protocol (502); the connection is closed then.
        """
        size = 0
        event = await self._next_event()
        while isinstance(event, h11.Data):
            parts = [event.data]
            event = self._next_buffered()
            while isinstance(event, h11.Data):
                parts.append(event.data)
                event = self._next_buffered()
            piece = b"".join(parts)
            size += len(piece)
            if size > limit_bytes:
                await self.aclose()
                raise HttpError(413, f"the body exceeds {limit_bytes} bytes")
            yield piece
            if event is h11.NEED_DATA:
                event = await self._next_event()
        if not isinstance(event, h11.EndOfMessage):
            raise ConnectionResetError("the connection closed before the end of the body")
        self._ended = True
        self._release(self._connection)

    async def wait_for_turn(self) -> None:
        """Let other connections of the client be read first; for content that is slow to parse."""
        await self._connection.turns.wait()

    def _next_buffered(self) -> Any:
        try:
            return self._connection.reader.next_buffered()
        except h11.RemoteProtocolError as error:
            raise _violation_in_body(error) from error

    async def _next_event(self) -> Any:
        stream, timeout_s = self._connection.stream, self._read_timeout_s
        try:
            return await self._connection.reader.next_event(lambda: read_within(stream, timeout_s))
        except h11.RemoteProtocolError as error:
            raise _violation_in_body(error) from error

    async def read(self, limit_bytes: int) -> bytes:
        """Return the complete body; raise `HttpError` 413 when it exceeds `limit_bytes`."""
        return b"".join([piece async for piece in self.pieces(limit_bytes)])

    async def aclose(self) -> None:
        """Reset the connection unless the body was read completely."""
        if not self._ended:
            self._ended = True
            self._connection.stream.abort()


def _violation_in_body(error: h11.RemoteProtocolError) -> HttpError:
    return HttpError(BAD_GATEWAY, f"the body violated HTTP: {error}")


@dataclass(frozen=True)
class _Connection:
    """A connection of a client: its stream, its state, and the reader of its responses."""

    stream: Stream
    http: h11.Connection
    reader: HttpReader
    turns: ReadTurns

    @property
    def can_be_reused(self) -> bool:
        """Whether both sides have completed their messages, and nothing else was received."""
        is_done = self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
        return is_done and not self.reader.has_unread


class NotConnectedError(ConnectionRefusedError):
    """The connection could not be established, so the request was not sent."""

    @property
    def is_timeout(self) -> bool:
        """Whether connecting timed out, as opposed to being refused."""
        return isinstance(self.__cause__, TimeoutError)


class HttpClient:
    """Makes requests, and keeps up to `idle_connections` per address for reuse.

    Raises `NotConnectedError` when nothing was sent, other kinds of `OSError` (reset, truncated),
    `TimeoutError`, and `HttpError` when the peer violates the protocol. Connecting may take
    `CONNECT_SHARE` of a request's timeout, so that an unreachable host is distinguished from a slow
    response. The client never sends a request twice: callers decide on retries.
    """

    def __init__(
        self,
        network: Network,
        limits: HttpLimits | None = None,
        idle_connections: int = MAX_IDLE_CONNECTIONS,
    ) -> None:
        self._network = network
        self._limits = limits or HttpLimits()
        self._idle_connections = idle_connections
        self._idle: dict[str, list[_Connection]] = {}
        self._turns = ReadTurns()
        self._closed = False

    async def close(self) -> None:
        """Close the idle connections."""
        self._closed = True
        for idle in self._idle.values():
            for connection in idle:
                connection.stream.close()
        self._idle.clear()

    async def refuses_connections(self, address: str, timeout_s: float) -> bool:
        """Return whether an address refuses connections, which shows that no process listens there.

        A timeout returns False: the host may only be cut off from the network.
        """
        try:
            stream = await self._connect(address, timeout_s)
        except NotConnectedError as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        stream.close()
        return False

    async def request(
        self,
        address: str,
        method: str,
        path: str,
        headers: Headers | None = None,
        body: bytes = b"",
        timeout_s: float = 5.0,
        max_pause_s: float | None = None,
        connect_s: float | None = None,
        body_limit_bytes: int | None = None,
        on_connected: Callable[[float], None] | None = None,
    ) -> Response:
        """Make a request and return its complete response within `timeout_s` seconds.

        Connecting takes at most `connect_s`, by default `CONNECT_SHARE` of `timeout_s`. The body of
        the response may have `body_limit_bytes`, by default those of the client's limits.
        `on_connected` is called as in `stream`.

        With `max_pause_s` the response must begin within `timeout_s`, may continue while no pause
        between its pieces exceeds `max_pause_s`, and must end within `timeout_s + MAX_RESPONSE_S`.
        This is for large responses over slow links: with `timeout_s` as the limit for the whole
        response, each attempt would be cut off and restarted from the beginning.
        """
        limit_s = timeout_s if max_pause_s is None else timeout_s + MAX_RESPONSE_S
        read_s = timeout_s if max_pause_s is None else max_pause_s
        async with asyncio.timeout(limit_s):
            reply = await self.stream(
                address,
                method,
                path,
                headers,
                body,
                read_s,
                connect_s=connect_s or timeout_s * CONNECT_SHARE,
                head_s=timeout_s,
                on_connected=on_connected,
            )
            try:
                content = await reply.read(body_limit_bytes or self._limits.body_bytes)
            except BaseException:
                await reply.aclose()
                raise
        return Response(reply.status, reply.headers, content)

    async def stream(
        self,
        address: str,
        method: str,
        path: str,
        headers: Headers | HeaderList | None = None,
        body: bytes = b"",
        timeout_s: float = 5.0,
        connect_s: float | None = None,
        head_s: float | None = None,
        on_connected: Callable[[float], None] | None = None,
    ) -> StreamedResponse:
        """Make a request and return once the head has arrived; each read waits up to `timeout_s`.

        Connecting takes at most `connect_s`, by default `CONNECT_SHARE` of `timeout_s`; the wait
        for the head is limited by `head_s`, by default `timeout_s`. A response that arrives before
        the request's body is sent completely is read as well. `on_connected` is called with the
        connect time in seconds; nothing is sent if it raises. From its first byte the head may take
        `MAX_HEAD_S`.
        """
        began = asyncio.get_running_loop().time()
        connection = await self._acquire_connection(address, connect_s or timeout_s * CONNECT_SHARE)
        stream = connection.stream
        try:
            if on_connected is not None:
                on_connected(asyncio.get_running_loop().time() - began)
            self._send_request(connection, address, method, path, headers, body)
            wait_s = timeout_s if head_s is None else head_s
            timer = HeadTimer(stream, wait_s, min(wait_s, MAX_HEAD_S))
            event = await connection.reader.next_event(timer.read)
            while isinstance(event, h11.InformationalResponse):
                event = await connection.reader.next_event(timer.read)
            if not isinstance(event, h11.Response):
                raise ConnectionResetError(f"{address} closed the connection without a response")
            if event.http_version not in HTTP_VERSIONS:
                raise h11.RemoteProtocolError("unknown version of the protocol")
            if event.status_code > LAST_STATUS:  # h11 refuses those below 100
                raise h11.RemoteProtocolError(f"the status {event.status_code} is not defined")
        except h11.RemoteProtocolError as error:
            stream.close()
            raise HttpError(BAD_GATEWAY, f"{address} violated HTTP: {error}") from error
        except BaseException:
            # Reset, so that queued bytes of the abandoned request are not delivered later.
            stream.abort()
            raise
        received = decode_headers(event.headers)

        def release(connection: _Connection) -> None:
            self._return_connection(address, connection)

        has_body = method != "HEAD" and event.status_code not in BODYLESS_STATUSES
        return StreamedResponse(
            event.status_code, received, connection, timeout_s, release, has_body
        )

    def _send_request(
        self,
        connection: _Connection,
        address: str,
        method: str,
        path: str,
        headers: Headers | HeaderList | None,
        body: bytes,
    ) -> None:
        fields = encode_headers(headers or {})
        if all(name.lower() != b"host" for name, _ in fields):
            fields.insert(0, (b"host", address.encode("ascii")))
        if body or method in ("POST", "PUT"):
            fields.append((b"content-length", b"%d" % len(body)))
        head = h11.Request(method=method, target=path, headers=fields)
        http = connection.http
        data = http.send(head) or b""
        if len(body) > LARGE_BODY_BYTES:
            connection.stream.write(data)
            data = b""
        if body:
            data += http.send(h11.Data(data=body)) or b""
        data += http.send(h11.EndOfMessage()) or b""
        connection.stream.write(data)

    async def _connect(self, address: str, timeout_s: float) -> Stream:
        try:
            return await self._connect_in_time(address, timeout_s)
        except (OSError, TimeoutError) as error:
            reason = str(error) or f"{address} does not respond"
            raise NotConnectedError(reason) from error

    async def _connect_in_time(self, address: str, timeout_s: float) -> Stream:
        """Connect; try once more if the event loop was busy until after the timeout."""
        until = _now() + timeout_s
        try:
            async with asyncio.timeout_at(until):
                return await self._network.connect(address)
        except TimeoutError:
            if _now() - until < LATE_TIMER_S:
                raise
        async with asyncio.timeout(timeout_s):
            return await self._network.connect(address)

    async def _acquire_connection(self, address: str, connect_s: float) -> _Connection:
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if not connection.stream.ended:
                return connection
            connection.stream.close()
        stream = await self._connect(address, connect_s)
        http = h11.Connection(h11.CLIENT, max_incomplete_event_size=self._limits.head_bytes)
        return _Connection(stream, http, HttpReader(http, self._turns), self._turns)

    def _return_connection(self, address: str, connection: _Connection) -> None:
        idle = self._idle.setdefault(address, [])
        is_full = len(idle) >= self._idle_connections
        if not connection.can_be_reused or self._closed or is_full:
            connection.stream.close()
            return
        connection.reader.start_next_cycle()
        idle.append(connection)
