"""A target that answers with as many bytes as its path says."""

import asyncio
import re
from contextlib import suppress

from lacewinggw.wire.network import Listener, Stream, TcpNetwork

READ_BYTES = 1 << 16
ANSWER_SIZE = re.compile(rb"^\w+ /\w+/(\d+)")
LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
ATTEMPT = re.compile(rb"x-attempt-id: *(\S+)", re.IGNORECASE)
EVENT = b"id: %d\ndata: %s\n\n"
EVENT_BYTES = 1000
MIN_EVENTS = 3


class SizedTarget:
    """A target that reads a whole request and answers `/route/SIZE` with a body of that size.

    With `streams` it answers with events. While `is_deaf` it reads no bodies and answers nothing.
    """

    def __init__(self, name: str, address: str, streams: bool = False) -> None:
        self.name = name
        self.address = address
        self.is_deaf = False
        self.served = 0
        self._streams = streams
        self._listener: Listener | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen."""
        self._listener = await TcpNetwork().listen(self.address, self._accept)

    async def close(self) -> None:
        """Stop listening, and close all connections."""
        assert self._listener is not None, "call start() first"
        await self._listener.close()
        for task in self._tasks:
            task.cancel()

    async def _accept(self, stream: Stream) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            with suppress(OSError, asyncio.IncompleteReadError):
                await self._serve(stream)
        finally:
            self._tasks.discard(task)

    async def _serve(self, stream: Stream) -> None:
        received = b""
        while b"\r\n\r\n" not in received:
            data = await stream.read(READ_BYTES)
            if not data:
                return
            received += data
        head, _, body = received.partition(b"\r\n\r\n")
        while self.is_deaf:  # noqa: ASYNC110 - a test changes it
            await asyncio.sleep(0.1)
        length = LENGTH.search(head)
        if length is not None:
            await _discard(stream, int(length[1]) - len(body))
        self.served += 1
        attempt = ATTEMPT.search(head)
        size = ANSWER_SIZE.match(head)
        content = self._content(int(size[1]) if size else 0)
        stream.write(
            b"HTTP/1.1 200 OK\r\nX-Response-Seal: seal\r\nX-Weight-Versions: 1\r\n"
            b"X-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: %d\r\n\r\n"
            % (attempt[1] if attempt else b"", self.name.encode(), len(content))
        )
        for begin in range(0, len(content), READ_BYTES):
            stream.write(content[begin : begin + READ_BYTES])
            await stream.drain()

    def _content(self, size: int) -> bytes:
        if self._streams:
            count = max(MIN_EVENTS, size // EVENT_BYTES)
            return b"".join(EVENT % (number, b"x" * EVENT_BYTES) for number in range(1, count + 1))
        return b"x" * size


async def _discard(stream: Stream, count: int) -> None:
    while count > 0:
        data = await stream.read(min(count, READ_BYTES))
        if not data:
            raise ConnectionResetError
        count -= len(data)
