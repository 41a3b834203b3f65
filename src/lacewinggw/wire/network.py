"""Byte streams between processes, over TCP or in memory.

All communication goes through a `Network`, so that the same code runs on sockets in a process and
on in-memory streams under virtual time in a test.
"""

import asyncio
import errno
import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Protocol

from lacewinggw.errors import ListenFailed
from lacewinggw.ids import parse_ip_address, split_address

READ_BUFFER_BYTES = 1 << 18
CONNECT_TIMEOUT_S = 3.0
ACCEPT_TURNS = 2  # of the event loop: to notice that connections wait, and to accept them
ZERO_LINGER = struct.pack(
    "ii", 1, 0
)  # linger on, 0 s: close resets the connection, drops unsent data


class Stream(Protocol):
    """An ordered, bidirectional byte stream."""

    @property
    def ended(self) -> bool:
        """Whether either side has already closed it."""

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


class TcpStream:
    """A `Stream` over one TCP connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @property
    def ended(self) -> bool:
        """Whether either side has already closed it."""
        return self._reader.at_eof() or self._writer.is_closing()

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
    """A `Listener` over one listening socket."""

    def __init__(self, server: asyncio.Server) -> None:
        self._server = server

    @property
    def address(self) -> str:
        """The bound address."""
        ip, port = self._server.sockets[0].getsockname()[:2]
        return f"{ip}:{port}"

    async def close(self) -> None:
        """Stop accepting; streams already accepted stay open.

        Accept the connections that peers have opened already: closing would reset them.
        """
        for _ in range(ACCEPT_TURNS):
            await asyncio.sleep(0)
        self._server.close()


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

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            stream = TcpStream(reader, writer)
            try:
                await accept(stream)
            finally:
                stream.close()

        try:
            server = await asyncio.start_server(
                serve, ip, port, limit=READ_BUFFER_BYTES, backlog=1024
            )
        except OSError as error:
            reason = error.strerror or str(error)
            raise ListenFailed(f"cannot listen on {address}: {reason}") from error
        return TcpListener(server)

    async def connect(self, address: str) -> Stream:
        """Connect; raise `OSError` when the connection is refused or times out."""
        ip, port = parse_destination(address)
        # `asyncio.wait_for` ignores a cancellation that comes as the connection is established.
        async with asyncio.timeout(self._connect_timeout_s):
            reader, writer = await asyncio.open_connection(ip, port, limit=READ_BUFFER_BYTES)
        return TcpStream(reader, writer)
