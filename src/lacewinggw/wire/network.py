"""Byte streams between processes, over TCP or in memory.

All communication goes through a `Network`, so that the same code runs on sockets in a process and
on in-memory streams under virtual time in a test.
"""

import asyncio
import errno
import math
import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Protocol

from lacewinggw.errors import ListenFailed
from lacewinggw.ids import parse_ip_address, split_address
from lacewinggw.log import get_logger

READ_BUFFER_BYTES = 1 << 16
# Of accepted connections, of which a process may have thousands.
ACCEPTED_BUFFER_BYTES = 1 << 14
CONNECT_TIMEOUT_S = 3.0
BACKLOG = 1024  # connections that wait to be accepted
# Connections that one listener has accepted and not served yet: a flood of them neither occupies
# the event loop nor takes the descriptors of other connections.
MAX_OPENING = 8
ACCEPT_TURNS = 2  # of the event loop: to notice that connections wait, and to accept them
ACCEPT_PAUSE_S = 0.1  # when there is no descriptor or memory for a connection
PAUSE_LOG_INTERVAL_S = 5.0
ZERO_LINGER = struct.pack(
    "ii", 1, 0
)  # linger on, 0 s: close resets the connection, drops unsent data

log = get_logger(__name__)


class Stream(Protocol):
    """An ordered, bidirectional byte stream."""

    @property
    def ended(self) -> bool:
        """Whether either side has already closed it."""

    @property
    def unsent_bytes(self) -> int:
        """How many queued bytes the system has not taken yet."""

    async def read(self, limit: int) -> bytes:
        """Return up to `limit` bytes, or `b""` at the end of the stream."""

    async def readexactly(self, count: int) -> bytes:
        """Return `count` bytes; raise `asyncio.IncompleteReadError` when the stream ends first."""

    def write(self, data: bytes) -> None:
        """Queue bytes to be sent."""

    async def drain(self) -> None:
        """Wait until the send buffer is below its limit."""

    def end_sending(self) -> None:
        """Send the queued bytes, then the end of the stream; it can still be read."""

    def close(self) -> None:
        """Close the stream without waiting; queued bytes may still be sent."""

    def abort(self) -> None:
        """Reset the stream; bytes that the peer has not received are discarded."""

    async def wait_closed(self) -> None:
        """Wait until the stream is closed."""


Accept = Callable[[Stream], Awaitable[None]]


class Listener(Protocol):
    """A bound address at which connections are accepted."""

    @property
    def address(self) -> str:
        """The bound address, with the port that the system chose if port 0 was requested."""

    async def close(self) -> None:
        """Stop accepting; streams already accepted stay open."""


class Network(Protocol):
    """Creates listeners and connections."""

    async def listen(self, address: str, accept: Accept) -> Listener:
        """Accept connections at `address`; each runs `accept` in its own task.

        Raises `ListenFailed` when the address is in use or does not belong to this host.
        """

    async def connect(self, address: str) -> Stream:
        """Connect; raise `OSError` when the connection is refused or times out.

        This includes an address that does not exist, such as one with a port over 65535.
        """


def parse_destination(address: str) -> tuple[str, int]:
    """Return the IP address and the port to connect to; raise `OSError` if it has none."""
    try:
        return parse_ip_address(address)
    except ValueError as error:
        raise OSError(errno.EINVAL, f"cannot connect: {error}") from error


async def discard_rest(stream: Stream, read_bytes: int, limit_s: float) -> int:
    """End the sending side, and discard what the peer still sends until it closes too.

    Closing while bytes arrive resets the connection, and both hosts discard what they have not sent
    or read yet, so what was sent last would be lost. Return the number of bytes discarded.
    """
    discarded = 0
    stream.end_sending()
    with suppress(TimeoutError, OSError):
        async with asyncio.timeout(limit_s):
            while data := await stream.read(read_bytes):
                discarded += len(data)
    return discarded


class TcpStream:
    """A `Stream` over one TCP connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @property
    def ended(self) -> bool:
        """Whether either side has already closed it."""
        return self._reader.at_eof() or self._writer.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """How many queued bytes the system has not taken yet."""
        return self._writer.transport.get_write_buffer_size()

    async def read(self, limit: int) -> bytes:
        """Return up to `limit` bytes, or `b""` at the end of the stream."""
        return await self._reader.read(limit)

    async def readexactly(self, count: int) -> bytes:
        """Return `count` bytes; raise `asyncio.IncompleteReadError` when the stream ends first."""
        return await self._reader.readexactly(count)

    def write(self, data: bytes) -> None:
        """Queue bytes to be sent."""
        self._writer.write(data)

    async def drain(self) -> None:
        """Wait until the send buffer is below its limit."""
        await self._writer.drain()

    def end_sending(self) -> None:
        """Send the queued bytes, then the end of the stream; it can still be read."""
        with suppress(OSError):
            self._writer.write_eof()

    def close(self) -> None:
        """Close the stream without waiting; queued bytes may still be sent."""
        self._writer.close()

    def abort(self) -> None:
        """Reset the stream; bytes that the peer has not received are discarded.

        Without a linger time of zero the kernel continues to send its buffered data.
        """
        with suppress(OSError):
            sock = self._writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
        self._writer.transport.abort()

    async def wait_closed(self) -> None:
        """Wait until the stream is closed, whether cleanly or by an error."""
        try:
            await self._writer.wait_closed()
        except OSError:
            return


class TcpListener:
    """A `Listener` over one listening socket.

    It accepts a few connections in each turn of the event loop. While the process has no descriptor
    for another one, it pauses, and connections wait in the queue of the system.
    """

    def __init__(self, listening: socket.socket, accept: Accept) -> None:
        self._socket = listening
        self._accept = accept
        self._loop = asyncio.get_running_loop()
        self._pause: asyncio.TimerHandle | None = None
        self._paused = 0  # times since the last line of the log
        self._log_at = -math.inf
        self._opening: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """The bound address."""
        ip, port = self._socket.getsockname()[:2]
        return f"{ip}:{port}"

    def start(self) -> None:
        """Accept connections from now on."""
        self._pause = None
        self._loop.add_reader(self._socket.fileno(), self._accept_some, MAX_OPENING)

    async def close(self) -> None:
        """Stop accepting; streams already accepted stay open.

        Accept the connections that peers have opened already: closing would reset them.
        """
        if self._socket.fileno() < 0:
            return
        for _ in range(ACCEPT_TURNS):
            await asyncio.sleep(0)
        self._loop.remove_reader(self._socket.fileno())
        self._accept_some(BACKLOG)
        if self._pause is not None:
            self._pause.cancel()
        self._socket.close()
        if self._opening:
            await asyncio.wait(set(self._opening))

    def _accept_some(self, max_opening: int) -> None:
        while len(self._opening) < max_opening:
            try:
                connection, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                self._pause_accepting(error)
                return
            connection.setblocking(False)
            task = self._loop.create_task(self._open(connection))
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)

    def _pause_accepting(self, error: OSError) -> None:
        """Accept nothing for a moment, as the same error would follow at once."""
        self._loop.remove_reader(self._socket.fileno())
        if self._pause is None:
            self._pause = self._loop.call_later(ACCEPT_PAUSE_S, self.start)
        self._paused += 1
        if self._loop.time() >= self._log_at:
            reason = error.strerror or str(error)
            log.warning("accept_paused", address=self.address, reason=reason, count=self._paused)
            self._paused, self._log_at = 0, self._loop.time() + PAUSE_LOG_INTERVAL_S

    async def _open(self, connection: socket.socket) -> None:
        """Run `accept` for a connection in a task of its own."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            stream = TcpStream(reader, writer)
            try:
                await self._accept(stream)
            finally:
                stream.close()

        reader = asyncio.StreamReader(ACCEPTED_BUFFER_BYTES)
        try:
            transport, _ = await self._loop.connect_accepted_socket(
                lambda: asyncio.StreamReaderProtocol(reader, serve), connection
            )
        except OSError:
            connection.close()  # the peer has closed it already
            return
        _limit_reads(transport, ACCEPTED_BUFFER_BYTES)


def _limit_reads(transport: asyncio.BaseTransport, size: int) -> None:
    """Read at most `size` bytes at once, as a paused reader keeps all of what was read last."""
    if hasattr(transport, "max_size"):
        transport.max_size = size


class TcpNetwork:
    """TCP network of the operating system.

    Addresses are "ip:port" with a numeric IP address; port 0 lets the system choose one.
    """

    def __init__(self, connect_timeout_s: float = CONNECT_TIMEOUT_S) -> None:
        self._connect_timeout_s = connect_timeout_s

    async def listen(self, address: str, accept: Accept) -> Listener:
        """Accept connections at `address`; each runs `accept` in its own task.

        Raises `ListenFailed` when the address is in use or does not belong to this host.
        """
        ip, port = split_address(address)
        try:
            family = socket.AF_INET6 if ":" in ip else socket.AF_INET
            listening = socket.create_server((ip, port), family=family, backlog=BACKLOG)
        except (OSError, OverflowError) as error:
            reason = getattr(error, "strerror", None) or str(error)
            raise ListenFailed(f"cannot listen on {address}: {reason}") from error
        listening.setblocking(False)
        listener = TcpListener(listening, accept)
        listener.start()
        return listener

    async def connect(self, address: str) -> Stream:
        """Connect; raise `OSError` when the connection is refused or times out."""
        ip, port = parse_destination(address)
        # `asyncio.wait_for` ignores a cancellation that comes as the connection is established.
        async with asyncio.timeout(self._connect_timeout_s):
            reader, writer = await asyncio.open_connection(ip, port, limit=READ_BUFFER_BYTES)
        _limit_reads(writer.transport, READ_BUFFER_BYTES)
        return TcpStream(reader, writer)
