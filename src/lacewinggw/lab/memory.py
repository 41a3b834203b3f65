"""An in-memory network, for whole fleets in one process under virtual time.

Streams are pairs of byte queues with a latency. Faults are made by host: an address belongs to the
host that its IP part names. `cut` parts two hosts, `lose` takes one away as on power loss, `hold`
keeps all that it sends and receives back for a while, as if its processes were paused. Between
groups of hosts the network is as narrow as `part_regions` says, and as wide as may be without it.
"""

import asyncio
import itertools
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from lacewinggw.ids import split_address
from lacewinggw.lab.border import SLICE_BYTES, Border
from lacewinggw.wire.network import Accept, Listener, Stream, parse_destination

WINDOW_BYTES = 1 << 20
FIRST_PORT = 20000
HOLD_STEP_S = 0.01

Cut = frozenset[str]


class _Pipe:
    """One direction of a stream: bytes in flight, and the reader that they arrive at.

    Arrivals are timers, and timers due at the same moment fire in no set order, so each takes
    whatever was sent first; `None` stands for the end of the stream. What arrives while an end is
    in `held` waits for `catch_up`.
    """

    def __init__(
        self, latency_s: float, ends: Cut, held: set[str], border: Border | None = None
    ) -> None:
        self.reader = asyncio.StreamReader(limit=WINDOW_BYTES)
        self.late = 0
        self._latency_s = latency_s
        self._ends = ends
        self._held = held
        self._border = border
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
        step = len(data) if self._border is None else SLICE_BYTES
        for start in range(0, len(data), max(step, 1)):
            piece = data[start : start + step]
            self._queue.append(piece)
            self._transmit(len(piece))

    def end(self) -> None:
        if self._ended:
            return
        self._ended = True
        self._queue.append(None)
        self._transmit(0)

    def break_off(self) -> None:
        self._ended = True
        self.late = 0
        self._room.set()
        self.drop_unsent()
        if self.reader.exception() is None and not self.reader.at_eof():
            self.reader.set_exception(ConnectionResetError("the connection was cut"))

    async def wait_for_room(self) -> None:
        await self._room.wait()
        if self._ended:
            raise ConnectionResetError("the stream is closed")

    def catch_up(self) -> None:
        """Let everything arrive that was held back."""
        late, self.late = self.late, 0
        for _ in range(late):
            self._arrive()

    def drop_unsent(self) -> None:
        """Forget what still waits before a narrow link: its receiver has closed the stream."""
        if self._border is None:
            return
        dropped = [self._queue.pop() for _ in range(self._border.drop(self))]
        if None in dropped:
            self._queue.append(None)
            self._arrive_later()

    def _transmit(self, size: int) -> None:
        if self._border is None:
            self._arrive_later()
        else:
            self._border.send(self, size, self._arrive_later)

    def _arrive_later(self) -> None:
        asyncio.get_running_loop().call_later(self._latency_s, self._arrive)

    def _arrive(self) -> None:
        if not self._held.isdisjoint(self._ends):
            self.late += 1
            return
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

    @property
    def unsent_bytes(self) -> int:
        """How many bytes wait to be sent: none, as what is written is on its way."""
        return 0

    @property
    def has_late_bytes(self) -> bool:
        """Whether something for this end is held back."""
        return self._incoming.late > 0

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

    def end_sending(self) -> None:
        """End the direction to the other side."""
        self._outgoing.end()

    def close(self) -> None:
        """End both directions."""
        if self.closed:
            return
        self.closed = True
        self._outgoing.end()
        self._incoming.drop_unsent()
        self._incoming.end()

    def abort(self) -> None:
        """Reset the stream: what is in flight is lost."""
        if not self.closed:
            self.break_off()

    def break_off(self) -> None:
        """Lose the connection: both readers raise `ConnectionResetError`."""
        self.closed = True
        self._outgoing.break_off()
        self._incoming.break_off()

    def catch_up(self) -> None:
        """Let everything arrive at this end that was held back."""
        self._incoming.catch_up()

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


@dataclass
class _Fabric:
    """What all views of one network share."""

    accepts: dict[str, Accept] = field(default_factory=dict)
    streams: dict[MemoryStream, None] = field(default_factory=dict)  # the oldest first
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    cuts: set[Cut] = field(default_factory=set)
    lost: set[str] = field(default_factory=set)
    held: set[str] = field(default_factory=set)
    regions: dict[str, str] = field(default_factory=dict)
    borders: dict[tuple[str, str], Border] = field(default_factory=dict)
    border_bytes_per_s: float = 0.0
    ports: "itertools.count[int]" = field(default_factory=lambda: itertools.count(FIRST_PORT))


class MemoryNetwork:
    """Listeners and streams of one in-memory fleet, seen from the host `ip`.

    `view(ip)` returns the same network as another host sees it, so that faults of hosts apply to
    the connections that each makes.

        network = MemoryNetwork()
        alpha = network.view("10.0.0.1")
        listener = await alpha.listen("10.0.0.1:0", accept)
        stream = await network.view("10.0.0.2").connect(listener.address)
    """

    def __init__(self, latency_s: float = 0.0005, ip: str = "10.255.0.1") -> None:
        self.latency_s = latency_s
        self._ip = ip
        self._fabric = _Fabric()

    def view(self, ip: str) -> "MemoryNetwork":
        """Return this network as the host `ip` sees it."""
        other = MemoryNetwork(self.latency_s, ip)
        other._fabric = self._fabric
        return other

    async def listen(self, address: str, accept: Accept) -> Listener:
        """Accept connections at `address`; each runs `accept` in a task of its own."""
        ip, port = split_address(address)
        bound = f"{ip}:{port or next(self._fabric.ports)}"
        if bound in self._fabric.accepts:
            raise OSError(f"{bound} is already in use")
        self._fabric.lost.discard(ip)
        self._fabric.accepts[bound] = accept
        return MemoryListener(bound, lambda: self._unbind(bound, accept))

    async def connect(self, address: str) -> Stream:
        """Connect; raise `OSError` when nobody listens there or the two hosts are cut apart."""
        fabric = self._fabric
        remote, _ = parse_destination(address)
        ends = frozenset((self._ip, remote))
        await asyncio.sleep(self.latency_s)
        while not fabric.held.isdisjoint(ends):  # noqa: ASYNC110
            await asyncio.sleep(HOLD_STEP_S)
        accept = fabric.accepts.get(address)
        if accept is None or ends in fabric.cuts or not fabric.lost.isdisjoint(ends):
            raise ConnectionRefusedError(f"nobody answers at {address}")
        there = _Pipe(self.latency_s, ends, fabric.held, self._border(self._ip, remote))
        back = _Pipe(self.latency_s, ends, fabric.held, self._border(remote, self._ip))
        near, far = MemoryStream(back, there, ends), MemoryStream(there, back, ends)
        self._keep_open(near, far)
        task = asyncio.get_running_loop().create_task(self._run(accept, far))
        fabric.tasks.add(task)
        task.add_done_callback(fabric.tasks.discard)
        return near

    def cut(self, one: str, other: str) -> None:
        """Part two hosts: their streams are lost and new ones refused until `heal`."""
        ends = frozenset((one, other))
        self._fabric.cuts.add(ends)
        for stream in [each for each in self._fabric.streams if each.ends == ends]:
            stream.break_off()

    def heal(self, one: str, other: str) -> None:
        """Let two hosts connect again."""
        self._fabric.cuts.discard(frozenset((one, other)))

    def part_regions(self, regions: Mapping[str, str], bytes_per_s: float) -> None:
        """Have hosts of two regions share a link each way; `regions` gives each host's region.

        It holds for connections that are opened from now on. A host without a region is next to
        all.
        """
        self._fabric.regions.update(regions)
        self._fabric.border_bytes_per_s = bytes_per_s

    def crossed_bytes(self, sender: str, receiver: str) -> int:
        """Return how many bytes have crossed from one region to another."""
        border = self._fabric.borders.get((sender, receiver))
        return border.sent_bytes if border is not None else 0

    def _border(self, sender: str, receiver: str) -> Border | None:
        fabric = self._fabric
        ends = (fabric.regions.get(sender, ""), fabric.regions.get(receiver, ""))
        if "" in ends or ends[0] == ends[1]:
            return None
        if ends not in fabric.borders:
            fabric.borders[ends] = Border(fabric.border_bytes_per_s)
        return fabric.borders[ends]

    def lose(self, ip: str) -> None:
        """Lose a host at once, as on power loss, until something listens there again.

        Its listeners vanish, its streams break, and what still runs there reaches nobody.
        """
        self._fabric.lost.add(ip)
        self._fabric.held.discard(ip)
        for address in [each for each in self._fabric.accepts if split_address(each)[0] == ip]:
            del self._fabric.accepts[address]
        for stream in [each for each in self._fabric.streams if ip in each.ends]:
            stream.break_off()

    def hold(self, ip: str) -> None:
        """Keep back all that a host sends and receives, until `let_go`."""
        self._fabric.held.add(ip)

    def let_go(self, ip: str) -> None:
        """Let everything through, late, that was held back."""
        self._fabric.held.discard(ip)
        for stream in [each for each in self._fabric.streams if ip in each.ends]:
            stream.catch_up()

    def _keep_open(self, *fresh: MemoryStream) -> None:
        streams = self._fabric.streams
        for stream in [each for each in streams if each.closed and not each.has_late_bytes]:
            del streams[stream]
        streams.update(dict.fromkeys(fresh))

    def _unbind(self, address: str, accept: Accept) -> None:
        if self._fabric.accepts.get(address) is accept:
            del self._fabric.accepts[address]

    async def _run(self, accept: Accept, stream: MemoryStream) -> None:
        try:
            await accept(stream)
        finally:
            stream.close()
