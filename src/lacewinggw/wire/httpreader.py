"""Read HTTP messages of a peer that may be faulty, at a bounded cost.

A message may be cheap to send and expensive to parse: interim responses without end, chunks of one
byte, thousands of header lines. An `HttpReader` limits what one message may cost in all. Several
readers share a `ReadTurns`, so that together they do not occupy the event loop, however fast their
peers send.
"""

import asyncio
import re
from collections.abc import Awaitable, Callable
from typing import Any

import h11

from lacewinggw.wire.readturns import ReadTurns

SLICE_BYTES = 1024  # parsed at a time, of heads and of chunked bodies
TURN_PARTS = 64  # parts that one reader may parse before the other readers get their turn
HEAD_PARTS = 8  # of a turn that a head counts as, beside its lines
LINES_PER_PART = 8
MAX_HEAD_LINES = 1000
MAX_INTERIM_RESPONSES = 8
# What a body may cost: a part is a chunk, or what one read returned.
MAX_PARTS = 16_000
PARTS_PER_S = 1000.0  # that it may have more for each second that it takes
CONTENT_BYTES_PER_PART = 512  # of content, for which it may have another part
MAX_FRAMING_BYTES = 32 << 10  # chunk sizes, extensions and trailers
FRAMING_BYTES_PER_PART = 64
MAX_UNPARSED_BYTES = 2048  # of one chunk's size line, or of the trailers

HEAD_TOO_LARGE = 431
BAD_REQUEST = 400
BLANK_LINE = re.compile(rb"\n\r?\n")
BLANK_LINE_TAIL_BYTES = 2  # of received data, in which a blank line may have begun

ReadData = Callable[[], Awaitable[bytes]]  # returns b"" at the end of the stream


class HttpReader:
    """Parses what a peer sends on one connection.

        reader = HttpReader(connection, turns)
        event = await reader.next_event(read)  # reads as needed
        event = reader.next_buffered()  # only from what has been read

    Both raise `h11.RemoteProtocolError` for bytes that are not HTTP or exceed a limit, with the
    number of bytes that the message had taken by then.
    """

    def __init__(self, connection: h11.Connection, turns: ReadTurns) -> None:
        self._connection = connection
        self._turns = turns
        self._pending = b""  # received and not passed to the connection
        self._passed = 0  # bytes of `_pending` that were passed to it
        self._has_ended = False
        self._turn_parts = 0  # parsed in this turn
        self._begin_message()

    def _begin_message(self) -> None:
        self._needs_data = False  # all that was passed to the connection is parsed
        self._in_head = True
        self._is_chunked = False
        self._length: int | None = None  # of the body, if its head states it
        self._interim_responses = 0
        self._head = _HeadLimit()
        self._body_began_at = 0.0
        self._parts = 0
        self._content_bytes = 0
        self._message_bytes = 0  # passed to the connection since the message began
        self._body_bytes = 0  # the same since its body began
        self._unparsed_bytes = 0  # the same since the last event

    @property
    def unread(self) -> bytes:
        """What has been received and not parsed."""
        received, _ = self._connection.trailing_data
        return received + self._pending[self._passed :]

    @property
    def has_unread(self) -> bool:
        """Whether anything has been received that is not parsed."""
        return self._passed < len(self._pending) or bool(self._connection.trailing_data[0])

    @property
    def has_ended(self) -> bool:
        """Whether the end of the stream has been received."""
        return self._has_ended

    def start_next_cycle(self) -> None:
        """Prepare for the next message, once both sides have completed theirs."""
        self._connection.start_next_cycle()
        self._begin_message()

    def receive(self, data: bytes) -> None:
        """Add received data; `b""` is the end of the stream."""
        if not data:
            self._has_ended = True
        self._pending = self._pending[self._passed :] + data
        self._passed = 0

    async def next_event(self, read: ReadData) -> Any:
        """Return the next event, reading as needed; a cancelled call loses nothing.

        Raise `ConnectionResetError` if the stream ends inside a message.
        """
        while True:
            if self._turn_parts >= TURN_PARTS:
                await self._turns.wait()
                self._turn_parts = 0
            event = self.next_buffered()
            if event is not h11.NEED_DATA:
                return event
            if self._turn_parts < TURN_PARTS:
                self.receive(await read())

    def next_buffered(self) -> Any:
        """Return the next event from received data; `NEED_DATA` if there is none in this turn."""
        while self._turn_parts < TURN_PARTS:
            event = self._parse()
            if event is not h11.NEED_DATA:
                self._count(event)
                return event
            if self._passed < len(self._pending):
                self._pass_slice()
            elif self._has_ended and not self._connection.trailing_data[1]:
                self._connection.receive_data(b"")
                self._needs_data = False
            else:
                break
        return h11.NEED_DATA

    def _parse(self) -> Any:
        if self._needs_data:
            return h11.NEED_DATA
        try:
            event = self._connection.next_event()
        except h11.RemoteProtocolError as error:
            if self._connection.trailing_data[1]:
                raise ConnectionResetError("the connection closed inside a message") from error
            raise self._error(str(error), error.error_status_hint) from error
        self._needs_data = event is h11.NEED_DATA
        return event

    def _pass_slice(self) -> None:
        """Pass the next received bytes to the connection, unless the message exceeds a limit."""
        data = self._pending[self._passed : self._passed + self._slice_bytes()]
        self._passed += len(data)
        self._message_bytes += len(data)
        self._unparsed_bytes += len(data)
        if self._in_head:
            self._check_head(data)
        else:
            self._body_bytes += len(data)
            if self._is_chunked:
                self._check_unparsed()
        self._connection.receive_data(data)
        self._needs_data = False

    def _check_head(self, data: bytes) -> None:
        self._turn_parts += self._head.add(data) // LINES_PER_PART
        if self._head.lines > MAX_HEAD_LINES:
            raise self._error(f"a head of over {MAX_HEAD_LINES} lines", HEAD_TOO_LARGE)

    def _check_unparsed(self) -> None:
        if self._unparsed_bytes > MAX_UNPARSED_BYTES + SLICE_BYTES:
            raise self._error("a chunk size or trailers that do not end")
        if self._unparsed_bytes > SLICE_BYTES:
            self._turn_parts = TURN_PARTS  # trailers take as long to parse as a head

    def _slice_bytes(self) -> int:
        """Return how many bytes to pass at once; bytes after the body belong to the next head."""
        if self._in_head or self._is_chunked:
            return SLICE_BYTES
        if self._length is None:
            return len(self._pending)
        return max(SLICE_BYTES, self._length - self._body_bytes)

    def _count(self, event: Any) -> None:
        """Add the cost of an event; raise an error if the message has cost too much."""
        self._unparsed_bytes = 0
        match event:
            case h11.Data(data=data):
                self._turn_parts += 1
                self._parts += 1
                self._content_bytes += len(data)
                self._check_body()
            case h11.InformationalResponse():
                self._turn_parts += HEAD_PARTS
                self._head = _HeadLimit()
                self._interim_responses += 1
                if self._interim_responses > MAX_INTERIM_RESPONSES:
                    raise self._error(f"over {MAX_INTERIM_RESPONSES} interim responses")
            case h11.Request() | h11.Response():
                self._turn_parts += HEAD_PARTS
                self._begin_body(event)

    def _begin_body(self, event: "h11.Request | h11.Response") -> None:
        self._in_head = False
        headers = dict(event.headers)
        self._is_chunked = b"transfer-encoding" in headers
        self._length = int(headers[b"content-length"]) if b"content-length" in headers else None
        self._body_began_at = asyncio.get_running_loop().time()
        self._body_bytes = len(self._connection.trailing_data[0])

    def _check_body(self) -> None:
        if self._parts > MAX_PARTS:
            limit: float = MAX_PARTS + self._content_bytes // CONTENT_BYTES_PER_PART
            took_s = asyncio.get_running_loop().time() - self._body_began_at
            if self._parts > limit + PARTS_PER_S * took_s:
                raise self._error(f"a body of {self._parts} parts within {took_s:.1f} s")
        framing = self._body_bytes - self._content_bytes
        if framing > MAX_FRAMING_BYTES + FRAMING_BYTES_PER_PART * self._parts:
            raise self._error(f"{framing} bytes of chunk sizes and extensions")

    def _error(self, reason: str, status: int = BAD_REQUEST) -> h11.RemoteProtocolError:
        taken = f"{reason}, after {self._message_bytes} bytes"
        return h11.RemoteProtocolError(taken, error_status_hint=status)


class _HeadLimit:
    """Counts the lines of a head before it is parsed."""

    def __init__(self) -> None:
        self.lines = 0
        self._tail = b""
        self._is_complete = False

    def add(self, data: bytes) -> int:
        """Add received data; return how many lines of the head it ends."""
        if self._is_complete:
            return 0
        received = self._tail + data
        end = BLANK_LINE.search(received)
        self._is_complete = end is not None
        head = received[: end.end()] if end is not None else received
        added = head.count(b"\n") - self._tail.count(b"\n")
        self.lines += added
        self._tail = received[-BLANK_LINE_TAIL_BYTES:]
        return added
