"""An in-memory network, for whole fleets in one process under virtual time.

Streams are pairs of byte queues with a latency. Cuts are made by host: an address belongs to the
host that its IP part names, and `cut` ends streams between two hosts and refuses new ones.
"""

import asyncio
import itertools
from collections import deque
from collections.abc import Callable

from lacewinggw.wire.network import Accept, Listener, Stream, split_address

WINDOW_BYTES = 1 << 20
FIRST_PORT = 20000

Cut = frozenset[str]


class _Pipe:
    """One direction of a stream: bytes in flight, and the reader that they arrive at.

    Arrivals are timers, and timers due at the same moment fire in no set order, so each takes
    whatever was sent first; `None` stands for the end of the stream.
    """

    def __init__(self, latency_s: float) -> None:
        self.reader = asyncio.StreamReader(limit=WINDOW_BYTES)
        self._latency_s = latency_s
        self._in_flight = 0
        self._queue: deque[bytes | None] = deque()
        self._room = asyncio.Event()
        self._room.set()
        self._ended = False

    @property
    def ended(self) -> bool:
        return self._ended

    def send(self, data: bytes) -> None:
        if self._ended:
            raise ConnectionResetError("the stream is closed")
        self._in_flight += len(data)
        if self._in_flight > WINDOW_BYTES:
            self._room.clear()
        self._queue.append(data)
        asyncio.get_running_loop().call_later(self._latency_s, self._arrive)

    def end(self) -> None:
        if self._ended:
            return
        self._ended = True
        self._queue.append(None)
        asyncio.get_running_loop().call_later(self._latency_s, self._arrive)

    def break_off(self) -> None:
        self._ended = True
        self._room.set()
        if self.reader.exception() is None and not self.reader.at_eof():
            self.reader.set_exception(ConnectionResetError("the connection was cut"))

    async def wait_for_room(self) -> None:
        await self._room.wait()
        if self._ended:
            raise ConnectionResetError("the stream is closed")

    def _arrive(self) -> None:
        data = self._queue.popleft()
        if data is None:
            self._finish()
            return
        self._in_flight -= len(data)
        if self._in_flight <= WINDOW_BYTES:
            self._room.set()
        if self.reader.exception() is None and not self.reader._eof:  # type: ignore[attr-defined]
            self.reader.feed_data(data)

    def _finish(self) -> None:
        self._room.set()
        if self.reader.exception() is None:
            self.reader.feed_eof()


class MemoryStream:
    """One end of an in-memory stream."""

    def __init__(self, incoming: _Pipe, outgoing: _Pipe, ends: Cut) -> None:
        self._incoming = incoming
        self._outgoing = outgoing
        self.ends = ends
        self.closed = False

    @property
    def ended(self) -> bool:
        """Whether either side has already closed it."""
        return self.closed or self._incoming.ended

    async def read(self, limit: int) -> bytes:
        """Return up to `limit` bytes, or `b""` at the end of the stream."""
        return await self._incoming.reader.read(limit)

    async def readexactly(self, count: int) -> bytes:
        """Return `count` bytes; raise `asyncio.IncompleteReadError` when the stream ends first."""
        return await self._incoming.reader.readexactly(count)

    def write(self, data: bytes) -> None:
        """Queue bytes to be sent."""
        self._outgoing.send(bytes(data))

    async def drain(self) -> None:
        """Wait until the queue of bytes to be sent is short again."""
        await self._outgoing.wait_for_room()

    def close(self) -> None:
        """End both directions."""
        if self.closed:
            return
        self.closed = True
        self._outgoing.end()
        self._incoming.end()

    def break_off(self) -> None:
        """Lose the connection: both readers raise `ConnectionResetError`."""
        self.closed = True
        self._outgoing.break_off()
        self._incoming.break_off()

    async def wait_closed(self) -> None:
        """Return at once: nothing lingers."""


class MemoryListener:
    """A bound address of a `MemoryNetwork`."""

    def __init__(self, address: str, unbind: Callable[[], None]) -> None:
        self._address = address
        self._unbind = unbind

    @property
    def address(self) -> str:
        """The bound address."""
        return self._address

    async def close(self) -> None:
        """Stop accepting; streams already accepted go on."""
        self._unbind()


class MemoryNetwork:
    """Listeners and streams of one in-memory fleet, seen from the host `ip`.

    `view(ip)` returns the same network as another host sees it, so that cuts between hosts
    apply to the connections that each makes.

        network = MemoryNetwork()
        alpha = network.view("10.0.0.1")
        listener = await alpha.listen("10.0.0.1:0", accept)
        stream = await network.view("10.0.0.2").connect(listener.address)
    """

    def __init__(self, latency_s: float = 0.0005, ip: str = "10.255.0.1") -> None:
        self.latency_s = latency_s
        self._ip = ip
        self._accepts: dict[str, Accept] = {}
        self._streams: set[MemoryStream] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._cuts: set[Cut] = set()
        self._ports = itertools.count(FIRST_PORT)

    def view(self, ip: str) -> "MemoryNetwork":
        """Return this network as the host `ip` sees it."""
        other = MemoryNetwork(self.latency_s, ip)
        other._accepts = self._accepts
        other._streams = self._streams
        other._tasks = self._tasks
        other._cuts = self._cuts
        other._ports = self._ports
        return other

    async def listen(self, address: str, accept: Accept) -> Listener:
        """Accept connections at `address`; each runs `accept` in a task of its own."""
        ip, port = split_address(address)
        bound = f"{ip}:{port or next(self._ports)}"
        if bound in self._accepts:
            raise OSError(f"{bound} is already in use")
        self._accepts[bound] = accept
        return MemoryListener(bound, lambda: self._unbind(bound, accept))

    async def connect(self, address: str) -> Stream:
        """Connect; raise `OSError` when nobody listens there or the two hosts are cut apart."""
        await asyncio.sleep(self.latency_s)
        ends = frozenset((self._ip, split_address(address)[0]))
        accept = self._accepts.get(address)
        if accept is None or ends in self._cuts:
            raise ConnectionRefusedError(f"nobody answers at {address}")
        there, back = _Pipe(self.latency_s), _Pipe(self.latency_s)
        near, far = MemoryStream(back, there, ends), MemoryStream(there, back, ends)
        self._streams = self._keep_open(near, far)
        task = asyncio.get_running_loop().create_task(self._run(accept, far))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return near

    def cut(self, one: str, other: str) -> None:
        """Part two hosts: their streams are lost and new ones refused until `heal`."""
        ends = frozenset((one, other))
        self._cuts.add(ends)
        for stream in [stream for stream in self._streams if stream.ends == ends]:
            stream.break_off()

    def heal(self, one: str, other: str) -> None:
        """Let two hosts connect again."""
        self._cuts.discard(frozenset((one, other)))

    def lose(self, ip: str) -> None:
        """Lose a host at once: its listeners vanish and its streams break, as on power loss."""
        for address in [each for each in self._accepts if split_address(each)[0] == ip]:
            del self._accepts[address]
        for stream in [stream for stream in self._streams if ip in stream.ends]:
            stream.break_off()

    def _keep_open(self, *fresh: MemoryStream) -> set[MemoryStream]:
        for stream in [stream for stream in self._streams if stream.closed]:
            self._streams.discard(stream)
        self._streams.update(fresh)
        return self._streams

    def _unbind(self, address: str, accept: Accept) -> None:
        if self._accepts.get(address) is accept:
            del self._accepts[address]

    async def _run(self, accept: Accept, stream: MemoryStream) -> None:
        try:
            await accept(stream)
        finally:
            stream.close()
