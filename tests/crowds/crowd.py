"""Clients that stay inside no limits, and an ordinary one beside them."""

import asyncio
import socket
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass

from declared_fleet import Reply, receive_reply

from lacewinggw.wire.network import ZERO_LINGER, TcpNetwork

WRITE_BYTES = 1 << 18
RECEIVE_BUFFER_BYTES = 1 << 15  # of a member that reads nothing
SETTLE_S = 2.0  # for what the members have sent to take effect
ORDINARY_TRIES = 20
ORDINARY_S = 5.0  # for one try; only a process that hangs takes longer
MIN_PAUSE_S = 0.2
SLOW_PARTS = 20


@dataclass(frozen=True)
class Member:
    """What one client sends: `first`, then `repeated` as often as `repeats` says.

    It keeps its connection open until the server closes it, and reads nothing unless `reads`. With
    `returns` it connects again whenever the server has closed the connection.
    """

    first: bytes
    repeated: bytes = b""
    repeats: int = 0
    reads: bool = True
    returns: bool = False


class Crowd:
    """Clients that all do the same at one address.

    async with crowd_of(200, member, address) as crowd: ...
    """

    def __init__(self, members: Sequence[Member], address: str) -> None:
        self.connected = 0
        self._members = members
        self._address = address
        self._tasks: list[asyncio.Task[None]] = []
        self._sockets: list[socket.socket] = []

    async def start(self) -> None:
        """Connect all members, and let them send what the server takes."""
        self._tasks = [asyncio.ensure_future(self._play(member)) for member in self._members]
        await asyncio.sleep(SETTLE_S)

    async def send_again(self, data: bytes) -> None:
        """Have all members send more on the connections that they have."""
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            for connection in self._sockets:
                await loop.sock_sendall(connection, data)
        await asyncio.sleep(SETTLE_S)

    async def close(self) -> None:
        """Reset all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.wait(self._tasks)

    async def _play(self, member: Member) -> None:
        while True:
            with suppress(OSError):
                await self._connect_once(member)
            if not member.returns:
                return
            await asyncio.sleep(0)

    async def _connect_once(self, member: Member) -> None:
        loop = asyncio.get_running_loop()
        ip, _, port = self._address.rpartition(":")
        with socket.socket() as connection:
            connection.setblocking(False)
            if not member.reads:
                size = RECEIVE_BUFFER_BYTES
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
            await loop.sock_connect(connection, (ip, int(port)))
            self.connected += 1
            self._sockets.append(connection)
            sending = asyncio.ensure_future(self._send(connection, member))
            try:
                if member.reads:
                    while await loop.sock_recv(connection, WRITE_BYTES):
                        pass
                else:
                    await sending
                    await asyncio.Event().wait()
            finally:
                self._sockets.remove(connection)
                sending.cancel()
                await asyncio.wait([sending])

    async def _send(self, connection: socket.socket, member: Member) -> None:
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            await loop.sock_sendall(connection, member.first)
            for _ in range(member.repeats):
                await loop.sock_sendall(connection, member.repeated)


@asynccontextmanager
async def crowd_of(size: int, member: Member, address: str) -> AsyncIterator[Crowd]:
    """Run a crowd within the block."""
    crowd = Crowd([member] * size, address)
    await crowd.start()
    try:
        yield crowd
    finally:
        await crowd.close()


async def ask_until_answered(
    address: str, request: bytes, is_answer: Callable[[Reply], bool]
) -> list[Reply]:
    """Ask as an ordinary client does, returning when told to; return the replies of all tries."""
    replies = []
    for _ in range(ORDINARY_TRIES):
        reply = await _ask(address, request)
        replies.append(reply)
        if is_answer(reply):
            break
        await asyncio.sleep(max(MIN_PAUSE_S, float(reply.headers.get("retry-after", 0))))
    return replies


async def ask_slowly(address: str, request: bytes, seconds: float) -> Reply:
    """Return the reply to a request that is sent in equal parts over a time."""
    stream = await TcpNetwork().connect(address)
    size = -(-len(request) // SLOW_PARTS)
    for begin in range(0, len(request), size):
        stream.write(request[begin : begin + size])
        await asyncio.sleep(seconds / SLOW_PARTS)
    return await receive_reply(stream, ORDINARY_S)


async def _ask(address: str, request: bytes) -> Reply:
    try:
        async with asyncio.timeout(ORDINARY_S):
            stream = await TcpNetwork().connect(address)
    except (OSError, TimeoutError):
        return Reply(0)
    stream.write(request)
    return await receive_reply(stream, ORDINARY_S)
