"""Serve the HTTP connections of callers: read requests within limits, send answers or streams.

While a request is in progress its connection is read, so that a disconnect of the caller frees the
target at once. Further requests that arrive meanwhile are buffered until the answer is sent.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import replace
from typing import Any, TypeVar

import h11

from lacewinggw.decisions.clientload import SMALL_BODY_BYTES, ClientState, next_room
from lacewinggw.decisions.routes import CallerLimits
from lacewinggw.errors import Draining, LacewingError, MalformedHttp
from lacewinggw.frontend.calls import Call, header_values
from lacewinggw.log import get_logger
from lacewinggw.wire.clients import (
    WRITE_BYTES,
    ClientAdmission,
    ClientConnection,
    Clients,
    Eviction,
    overloaded,
)
from lacewinggw.wire.http import BODYLESS_STATUSES, READ_BYTES, HeaderList, HttpError
from lacewinggw.wire.httpreader import HttpReader
from lacewinggw.wire.network import Listener, Network, Stream, discard_rest
from lacewinggw.wire.problems import problem_body, problem_headers
from lacewinggw.wire.readturns import ReadTurns

BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
CONTENT_TOO_LARGE = 413
FIRST_CHUNKED_VERSION = b"1.1"  # before it, answers without a length end with the connection
UNCHUNKED_REQUEST = b"GET / HTTP/1.0\r\n\r\n"  # whose answer h11 sends without chunks
PIPELINED_BYTES = 1 << 14  # buffered of further requests while one is in progress
STOP_S = 0.3  # after the grace period, to send refusals
LAST_READ_S = 0.05  # after a limit has passed, for bytes that the busy event loop has not read yet
# From the start of closing. Requests whose last byte is sent later must not be cut by the end of
# the grace period.
SERVE_WHILE_CLOSING_S = 0.5
CLOSING_RETRY_AFTER_MS = 200  # the remaining entries are available at once
CLOSING_IDLE_S = 0.2  # while the entry closes, for a request that follows an answer
TIMER_RESOLUTION_S = 0.001  # of the event loop
CLOSE_READ_S = 1.0  # time for the caller to receive the last answer before the connection is closed

log = get_logger(__name__)

T = TypeVar("T")

# Returns why a request is refused, by its head; None if it may be served.
FindRefusal = Callable[[Call], LacewingError | None]


class CallerDisconnected(Exception):
    """The caller closed its connection, or the connection broke."""


class ReadTimer:
    """Limits the time of a read; the limit may change meanwhile.

    `until` returns when the read ends, by the loop's clock. If the event loop is busy, a timer and
    the bytes that have arrived meanwhile are handled in the same turn, and the timer cancels the
    read before it returns them. So after the limit, the read gets a moment in which the loop is not
    late.

        timer = ReadTimer(lambda: began + limit_s)
        data = await timer.run(read)  # raises `TimeoutError`
    """

    def __init__(self, until: Callable[[], float]) -> None:
        self._until = until
        self._timeout: asyncio.Timeout | None = None

    def update(self) -> None:
        """Apply a changed limit to the read in progress."""
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(self._until())

    async def run(self, read: Callable[[], Awaitable[T]]) -> T:
        """Return the result of `read`, which continues where a cancelled call stopped."""
        while True:
            until = self._until()
            try:
                async with asyncio.timeout_at(until) as self._timeout:
                    return await read()
            except TimeoutError:
                # A timer may be early by the resolution of the clock.
                if self._until() <= max(until, _now()):
                    return await _finish_late(read)
            finally:
                self._timeout = None


async def _finish_late(read: Callable[[], Awaitable[T]]) -> T:
    """Return the result of `read`; raise `TimeoutError` once the loop is on time without one."""
    while True:
        until = _now() + LAST_READ_S
        try:
            async with asyncio.timeout_at(until):
                return await read()
        except TimeoutError:
            if _now() - until < LAST_READ_S:
                raise


async def _finish_within(limit_s: float, read: Callable[[], Awaitable[T]]) -> T:
    until = _now() + limit_s
    return await ReadTimer(lambda: until).run(read)


class CallerConnection:
    """One connection of a caller, with its successive requests and answers.

    `limits` returns the current limits. Each request is read within the limits at its first byte.
    The connection may stay idle for the limit at the last answer, or the current one if that is
    longer: callers go by the newest limit that they know. `client` accounts for what it takes, and
    `find_refusal` returns why a request is refused whose large body is still to come.
    """

    def __init__(
        self,
        stream: Stream,
        limits: Callable[[], CallerLimits],
        turns: ReadTurns,
        client: ClientConnection,
        find_refusal: FindRefusal,
    ) -> None:
        self._stream = stream
        self._client = client
        self._find_refusal = find_refusal
        self._body = bytearray()  # of the request that is read
        self._room = 0  # for it, in bytes
        self._is_evicted = False
        self._read_limits = limits
        self._limits = limits()
        self._turns = turns
        self._http = _http_server(self._limits)
        self._reader = HttpReader(self._http, turns)
        self._is_head_only = False  # the method of the request is HEAD
        self._request_head: HeaderList = ()  # of the request that is read or served
        self._close_after = False  # once all requests that have been received are answered
        self._must_close = False  # after the next answer in any case
        self._is_stopping = False  # the entry closes: wait briefly for another request
        self._is_stopped = False  # the grace period is over
        self._idle_since = _now()
        self._idle_s = self._limits.idle_s  # allowed by the limits at that time
        self._idle_timer = ReadTimer(self._idle_until)
        self._has_answered = False

    @property
    def can_be_reused(self) -> bool:
        """Whether another request may follow on this connection."""
        return self._http.our_state is h11.DONE and self._http.their_state is h11.DONE

    @property
    def has_started_answer(self) -> bool:
        """Whether part of an answer has been sent."""
        return self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    @property
    def is_stopped(self) -> bool:
        """Whether the entry stops, so that the request in progress needs an answer at once."""
        return self._is_stopped

    @property
    def is_evicted(self) -> bool:
        """Whether the connection is closed for others, for want of memory or connections."""
        return self._is_evicted

    @property
    def is_reading_body(self) -> bool:
        """Whether part of the body of a request is still to come."""
        return self._http.their_state is h11.SEND_BODY

    @property
    def head(self) -> HeaderList:
        """The headers of the current request; empty if its head has not been read."""
        return self._request_head

    @property
    def has_pending_request(self) -> bool:
        """Whether a request, or part of one, was received that has no complete answer."""
        is_answering = self._http.our_state in (h11.SEND_RESPONSE, h11.SEND_BODY)
        return is_answering or self._reader.has_unread

    def close(self) -> None:
        """Close the connection; reset it if its end would mark an incomplete answer as complete."""
        self._body = bytearray()
        is_incomplete = self._http.our_state in (h11.SEND_BODY, h11.ERROR)
        if is_incomplete and (self._http.their_http_version or b"") < FIRST_CHUNKED_VERSION:
            self._stream.abort()
        self._stream.close()

    def evict(self) -> None:
        """Close the connection for others."""
        self._is_evicted = True
        self._body = bytearray()
        if self._client.use.state is ClientState.KEPT:
            self._stream.close()
        else:
            self._stream.abort()

    def discard_body(self) -> None:
        """Discard what has been received of a body, for a refusal."""
        self._is_evicted = True
        self._body = bytearray()

    def stop_waiting(self) -> None:
        """Wait only briefly for the next request; continue with one that is arriving."""
        self._is_stopping = True
        self._idle_timer.update()

    def stop(self) -> None:
        """Have the request in progress answered at once, and close the connection after it."""
        self._is_stopped = self._must_close = True

    async def finish(self) -> int:
        """End the answers, and discard what the caller still sends until it closes too.

        Return the number of bytes discarded.
        """
        unread = len(self._reader.unread)
        return unread + await discard_rest(self._stream, READ_BYTES, CLOSE_READ_S)

    def close_after_answer(self) -> None:
        """Send `connection: close` with the next answer and close the connection after it.

        Requests that have been received already are answered first. An answer that has begun cannot
        announce the close any more; the one after it does.
        """
        self._close_after = True

    # ---- requests -------------------------------------------------------------------------

    async def next_call(self) -> Call | None:
        """Return the next request, or None when the caller has closed its side.

        Raise `HttpError` with the status for a request that is refused or arrives too slowly, and
        `TimeoutError` if no request arrives within the idle limit.
        """
        if self._http.our_state is h11.DONE:
            self._has_answered = True
            self._reader.start_next_cycle()
        self._is_head_only, self._request_head = False, ()
        self._client.release()
        self._client.add(len(self._reader.unread))
        try:
            event = await self._await_head()
            if not isinstance(event, h11.Request):
                return None
            self._is_head_only = event.method == b"HEAD"
            arrived_at = _now()
            headers = self._request_head = _decode_headers(event)
            _check_framing(headers)
            await self._client.reserve_head(len(headers))
            method = event.method.decode("ascii")
            domain = next(iter(header_values(headers, "host")), "")
            target = event.target.decode("latin-1")
            call = Call(method, target, domain, headers, b"", arrived_at, client=self._client)
            body = await self._read_body(call)
        except h11.RemoteProtocolError as error:
            raise HttpError(error.error_status_hint, f"invalid HTTP: {error}") from error
        except ConnectionResetError as error:
            raise HttpError(BAD_REQUEST, f"invalid HTTP: {error}") from error
        self._client.enter(ClientState.SERVED)
        return replace(call, body=body, received_at=_now())

    async def _await_head(self) -> Any:
        """Wait for the first byte within the idle limit, then for the head within its own limit."""
        if not self._reader.has_unread:
            self._idle_since, self._idle_s = _now(), self._read_limits().idle_s
            if self._has_answered:
                self._client.enter(ClientState.KEPT)
            self._reader.receive(await self._idle_timer.run(self._read))
        self._client.enter(ClientState.ARRIVING)
        self._apply_limits()
        event = self._reader.next_buffered()
        if event is not h11.NEED_DATA:
            return event
        try:
            return await _finish_within(self._limits.head_s, self._read_head)
        except TimeoutError as error:
            raise HttpError(REQUEST_TIMEOUT, "the head arrives too slowly") from error

    def _idle_until(self) -> float:
        if self._is_stopping:
            return self._idle_since + CLOSING_IDLE_S
        return self._idle_since + max(self._idle_s, self._read_limits().idle_s)

    def _apply_limits(self) -> None:
        """Apply the current limits to the request that begins to arrive."""
        before, self._limits = self._limits, self._read_limits()
        if self._limits.head_bytes == before.head_bytes:
            return
        before_reader = self._reader
        self._http = _http_server(self._limits)
        self._reader = HttpReader(self._http, self._turns)
        if before_reader.has_unread:
            self._reader.receive(before_reader.unread)
        if before_reader.has_ended:
            self._reader.receive(b"")

    async def _read_head(self) -> Any:
        return await self._reader.next_event(self._read)

    async def _read_body(self, call: Call) -> bytes:
        """Return the body of a request; refuse it as early as its size allows to."""
        self._body, self._room = bytearray(), 0
        length = _stated_length(call.headers)
        if length is not None:
            await self._make_room(call, length)
        if self._http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._stream.write(self._http.send(interim) or b"")
        until = _now() + self._limits.head_s + self._limits.idle_s
        timer = ReadTimer(lambda: until)
        try:
            while not await timer.run(self._append_body):
                # How much follows in chunks is unknown.
                await self._make_room(call, next_room(len(self._body), self._limits.body_bytes))
        except TimeoutError as error:
            raise HttpError(REQUEST_TIMEOUT, "the body arrives too slowly") from error
        body, self._body = bytes(self._body), bytearray()
        return body

    async def _make_room(self, call: Call, size: int) -> None:
        """Take memory for a body, or raise why it is refused."""
        limit = self._limits.body_bytes
        if size > limit:
            raise HttpError(CONTENT_TOO_LARGE, f"the body is over {limit} bytes")
        if size > SMALL_BODY_BYTES:
            refusal = self._find_refusal(call)
            if refusal is not None:
                raise refusal
        await self._client.reserve_body(size - self._room)
        self._room = size

    async def _append_body(self) -> bool:
        """Append the rest of the body, or as much as there is room for; return whether it ended.

        Continue where a cancelled call stopped.
        """
        limit = self._limits.body_bytes
        while len(self._body) <= self._room:
            event = await self._reader.next_event(self._read)
            match event:
                case h11.EndOfMessage():
                    return True
                case h11.Data():
                    self._body.extend(event.data)
                    if len(self._body) > limit:
                        self._body = bytearray()
                        raise HttpError(CONTENT_TOO_LARGE, f"the body is over {limit} bytes")
                case _:
                    raise CallerDisconnected
        return False

    async def _read(self) -> bytes:
        limit = READ_BYTES if self.is_reading_body else PIPELINED_BYTES
        try:
            data = await self._stream.read(limit)
        except OSError as error:
            raise CallerDisconnected from error
        self._client.note_bytes(len(data))
        if not self.is_reading_body:
            self._client.add(len(data))
        return data

    async def wait_for_disconnect(self) -> None:
        """Return once the caller has disconnected; buffer what else it sends."""
        while len(self._reader.unread) < PIPELINED_BYTES:
            try:
                data = await self._stream.read(PIPELINED_BYTES)
            except OSError:
                return
            if not data:
                return
            self._client.add(len(data))
            self._reader.receive(data)
        await asyncio.Event().wait()

    # ---- answers --------------------------------------------------------------------------

    async def answer(
        self, status: int, headers: HeaderList, body: bytes, ends_with_connection: bool = False
    ) -> None:
        """Send a complete answer, without its body where HTTP allows none."""
        fields = list(headers)
        has_body = status not in BODYLESS_STATUSES
        if ends_with_connection:
            self._end_with_connection()
        elif has_body:
            fields.append(("content-length", str(len(body))))
        data = self._head(status, fields)
        if body and has_body and not self._is_head_only:
            content = self._http.send(h11.Data(data=body)) or b""
            if len(content) <= WRITE_BYTES:
                data += content
            else:
                await self._write(data)
                data = content
        end = self._http.send(h11.EndOfMessage()) or b""
        await self._write(data + end)

    async def begin(
        self,
        status: int,
        headers: HeaderList,
        first: bytes = b"",
        ends_with_connection: bool = False,
    ) -> None:
        """Send the head of a streamed answer, and its first bytes with it."""
        if ends_with_connection:
            self._end_with_connection()
        data = self._head(status, [*headers, ("transfer-encoding", "chunked")])
        if first:
            data += self._http.send(h11.Data(data=first)) or b""
        await self._write(data)

    async def send(self, data: bytes) -> None:
        """Send more of a streamed answer."""
        await self._write(self._http.send(h11.Data(data=data)) or b"")

    async def end(self) -> None:
        """Send the end of a streamed answer, which marks it as complete."""
        await self._write(self._http.send(h11.EndOfMessage()) or b"")

    async def refuse(self, error: LacewingError, status: int = 0, keep: bool = True) -> None:
        """Send an error as a problem document; close the connection after it if `keep` is false.

        Do nothing if part of an answer has been sent.
        """
        if self.has_started_answer:
            return
        self._must_close |= not keep
        headers = problem_headers(error)
        if error.retry_after_ms:
            headers["retry-after"] = f"{error.retry_after_ms / 1000:.3f}"
        body = problem_body(error, status=status)
        await self.answer(status or error.http_status, list(headers.items()), body)

    def _end_with_connection(self) -> None:
        """Send the next answer with neither a length nor chunks, and close the connection after it.

        The end of its target's answer was not stated, so that of the caller's answer is not either.
        """
        self._must_close = True
        self._http = _http_server(self._limits)
        self._http.receive_data(UNCHUNKED_REQUEST)
        while self._http.their_state is not h11.MUST_CLOSE:
            self._http.next_event()

    def _head(self, status: int, headers: HeaderList) -> bytes:
        # Values were decoded as latin-1, which restores bytes beyond ASCII unchanged.
        fields = [(name.encode("ascii"), value.encode("latin-1")) for name, value in headers]
        if self._must_close or (self._close_after and not self._reader.has_unread):
            fields.append((b"connection", b"close"))
        return self._http.send(h11.Response(status_code=status, headers=fields)) or b""

    async def _write(self, data: bytes) -> None:
        """Send bytes, as fast as the caller reads them."""
        try:
            await self._client.send(self._stream, data)
        except OSError as error:
            raise CallerDisconnected from error


def _stated_length(headers: HeaderList) -> int | None:
    """Return the length of a body as its head states it; None if it comes in chunks."""
    if header_values(headers, "transfer-encoding"):
        return None
    lengths = header_values(headers, "content-length")
    return int(lengths[0]) if lengths else 0


def _http_server(limits: CallerLimits) -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=limits.head_bytes)


def _stopping() -> Draining:
    return Draining("the entry stops", retry_after_ms=CLOSING_RETRY_AFTER_MS)


def _decode_headers(event: h11.Request) -> HeaderList:
    return [
        (name.decode("ascii"), value.decode("latin-1")) for name, value in event.headers.raw_items()
    ]


def _check_framing(headers: HeaderList) -> None:
    """Refuse a body with two lengths, or a length and chunks, which proxies read differently."""
    lengths = header_values(headers, "content-length")
    if len(lengths) > 1 or (lengths and header_values(headers, "transfer-encoding")):
        raise HttpError(BAD_REQUEST, "the body has more than one length")


Serve = Callable[[Call, CallerConnection], Awaitable[None]]


def _refuse_nothing(call: Call) -> LacewingError | None:
    return None


class CallerListener:
    """Accepts connections of callers and passes each request to `serve`.

    `limits` returns the current limits, and `read_id` the id of a request from its headers, for the
    log. `find_refusal` is asked before a large body is read. `admission` limits the connections.
    `close(grace_s)` lets requests in progress finish.
    """

    def __init__(
        self,
        network: Network,
        address: str,
        serve: Serve,
        limits: Callable[[], CallerLimits],
        read_id: Callable[[HeaderList], str] = lambda headers: "",
        find_refusal: FindRefusal = _refuse_nothing,
        admission: ClientAdmission | None = None,
    ) -> None:
        self._network = network
        self._address = address
        self._serve = serve
        self._limits = limits
        self._read_id = read_id
        self._find_refusal = find_refusal
        self._admission = admission or Clients.unlimited().caller_admission("callers")
        self._turns = ReadTurns()
        self._listener: Listener | None = None
        self._open: dict[asyncio.Task[None], CallerConnection] = {}
        self._busy: set[asyncio.Task[None]] = set()
        self._is_leaving = False
        self._closing_at = math.inf
        self._closed_by = math.inf  # the end of the grace period

    @property
    def address(self) -> str:
        """The bound address; available once started."""
        assert self._listener is not None, "call start() first"
        return self._listener.address

    @property
    def in_progress(self) -> int:
        """How many requests are being served."""
        return len(self._busy)

    async def start(self) -> None:
        """Bind the address and accept connections."""
        self._listener = await self._network.listen(self._address, self._accept)

    def disable_keep_alive(self) -> None:
        """Close each connection after its next answer, also after one that has not begun yet."""
        self._is_leaving = True
        for caller in self._open.values():
            caller.close_after_answer()

    async def close(self, grace_s: float = 0.0, since: float | None = None) -> None:
        """Stop accepting, let requests in progress finish within the grace, then end the others.

        The grace counts from `since`, by the loop's clock, or from now. Requests that arrive later
        on connections whose close was not announced are refused. One of which only the rest arrives
        later is served if its deadline is within the grace. Those without an answer at the end of
        the grace are refused too, or get an error if they may have run; this takes `STOP_S` at
        most.
        """
        self.disable_keep_alive()
        began_at = _now() if since is None else since
        until = began_at + grace_s
        self._closing_at = min(self._closing_at, began_at)
        self._closed_by = min(self._closed_by, until)
        if self._listener is not None:
            await self._listener.close()
        for caller in self._open.values():
            caller.stop_waiting()
        if grace_s > 0:
            # Connections that were accepted in this turn of the event loop are not open yet.
            await asyncio.sleep(min(max(0.0, until - _now()), LAST_READ_S))
        while self._open and until - _now() > TIMER_RESOLUTION_S:
            await asyncio.wait(set(self._open), timeout=until - _now())
        for task, caller in self._open.items():
            caller.stop()
            task.cancel()
        if self._open:
            await asyncio.wait(set(self._open), timeout=STOP_S)
        for task in self._open:
            task.cancel()
        if self._open:
            await asyncio.wait(set(self._open))

    async def _accept(self, stream: Stream) -> None:
        task = asyncio.current_task()
        assert task is not None
        client = self._admission.admit(lambda reason: self._evict(caller, task, reason))
        if client is None:
            stream.abort()
            return
        caller = CallerConnection(stream, self._limits, self._turns, client, self._find_refusal)
        self._open[task] = caller
        if self._is_leaving:
            caller.close_after_answer()
        if self._closing_at < math.inf:
            caller.stop_waiting()
        try:
            await self._serve_all(caller, task)
        except CallerDisconnected:
            return
        except (OSError, TimeoutError, h11.LocalProtocolError) as error:
            if caller.has_pending_request:
                is_read = task in self._busy
                log.warning("call_unanswered", reason=repr(error), is_read=is_read)
        except asyncio.CancelledError:
            if caller.is_stopped:
                await self._end_stopped(caller, is_read=task in self._busy)
            elif caller.is_evicted:
                await self._end_evicted(caller)
            else:
                raise
        finally:
            self._open.pop(task, None)
            self._busy.discard(task)
            caller.close()
            self._admission.leave(client, stream)

    def _evict(
        self, caller: CallerConnection, task: "asyncio.Task[None]", reason: Eviction
    ) -> None:
        """Close a connection for others; refuse a body whose memory they need."""
        is_reading_body = caller.is_reading_body and task not in self._busy
        if reason is Eviction.MEMORY and is_reading_body:
            caller.discard_body()
            task.cancel()
        else:
            caller.evict()

    async def _serve_one(self, call: Call, caller: CallerConnection) -> None:
        """Serve a request; answer and log an error that `serve` did not handle."""
        try:
            await self._serve(call, caller)
        except CallerDisconnected:
            raise
        except Exception as error:
            cut = caller.has_started_answer
            log.exception("call_broke", domain=call.domain, path=call.path, cut=cut)
            if cut:
                raise CallerDisconnected from error
            await caller.refuse(LacewingError("internal error"), keep=False)

    async def _finish(self, caller: CallerConnection) -> None:
        """Close a connection, and log requests that were sent before the caller noticed it."""
        discarded = await caller.finish()
        if discarded:
            log.info("call_discarded", bytes=discarded)

    async def _end_evicted(self, caller: CallerConnection) -> None:
        """Refuse a request whose body was discarded for others."""
        with suppress(CallerDisconnected):
            await self._refuse_unread(caller, overloaded())

    async def _refuse_unread(self, caller: CallerConnection, error: LacewingError) -> None:
        """Refuse a request that is not read completely, and close its connection."""
        log.info(
            "call_refused",
            request_id=self._read_id(caller.head),
            error=error,
            status=error.http_status,
        )
        await caller.refuse(error, keep=False)
        await caller.finish()

    async def _end_stopped(self, caller: CallerConnection, is_read: bool) -> None:
        """End a connection after the grace period."""
        with suppress(CallerDisconnected):
            if caller.has_pending_request and not is_read:
                request_id = self._read_id(caller.head)
                log.info(
                    "call_refused",
                    request_id=request_id,
                    reason="stopped",
                    status=Draining.http_status,
                )
                await caller.refuse(_stopping())
            if caller.has_started_answer:
                await caller.finish()

    async def _serve_all(self, caller: CallerConnection, task: "asyncio.Task[None]") -> None:
        try:
            while await self._serve_next(caller, task):
                pass
        except TimeoutError:
            await self._finish(caller)
        except LacewingError as error:
            await self._refuse_unread(caller, error)
        except HttpError as error:
            if caller.is_evicted:
                return
            request_id, reason = self._read_id(caller.head), str(error)
            log.info("call_malformed", request_id=request_id, status=error.status, reason=reason)
            await caller.refuse(MalformedHttp(str(error)), error.status, keep=False)
            await caller.finish()

    async def _serve_next(self, caller: CallerConnection, task: "asyncio.Task[None]") -> bool:
        """Serve the next request; return whether another may follow.

        The request is not kept while the connection waits for another one.
        """
        call = await caller.next_call()
        if call is None:
            return False
        self._busy.add(task)
        serve_until = self._closing_at + SERVE_WHILE_CLOSING_S
        if call.arrived_at > serve_until:
            log.info(
                "call_refused",
                request_id=self._read_id(call.headers),
                reason="closing",
                status=Draining.http_status,
                domain=call.domain,
                path=call.path,
            )
            await caller.refuse(_stopping())
        else:
            is_late = call.received_at > serve_until
            limited = replace(call, must_end_by=self._closed_by) if is_late else call
            await self._serve_one(limited, caller)
        self._busy.discard(task)
        if caller.can_be_reused:
            return True
        await self._finish(caller)
        return False


def _now() -> float:
    return asyncio.get_running_loop().time()
