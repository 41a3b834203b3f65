"""What calls to the platform cost: bytes both ways, and processor time.

Client and stand-in share a process here, so the time is that of both and bounds the client's.
"""

from collections.abc import Awaitable, Callable
from time import process_time

from lacewinggw.clients.membership import MembershipClient
from lacewinggw.clients.table import TableClient
from lacewinggw.configuration.logstore import ROW_PREFIX, row_key
from lacewinggw.lab.measuring import MICROSECONDS, Point, Slope, Slopes
from lacewinggw.lab.memory import MemoryNetwork
from lacewinggw.lab.standins import PlatformStandIns
from lacewinggw.wire.network import Accept, Listener, Network, Stream

PLATFORM_IP = "10.9.0.1"
TIMEOUT_S = 5.0
CALLS = (10, 40, 160)

Call = Callable[[], Awaitable[object]]


class CountingStream:
    """A stream that counts what goes through it for the network that made it."""

    def __init__(self, stream: Stream, network: "CountingNetwork") -> None:
        self._stream = stream
        self._network = network

    @property
    def ended(self) -> bool:
        """Whether either side has already closed it."""
        return self._stream.ended

    @property
    def unsent_bytes(self) -> int:
        """How many queued bytes the system has not taken yet."""
        return self._stream.unsent_bytes

    async def read(self, limit: int) -> bytes:
        """Return up to `limit` bytes, counted."""
        return self._count(await self._stream.read(limit))

    async def readexactly(self, count: int) -> bytes:
        """Return `count` bytes, counted."""
        return self._count(await self._stream.readexactly(count))

    def write(self, data: bytes) -> None:
        """Queue bytes, counted."""
        self._stream.write(self._count(data))

    async def drain(self) -> None:
        """Wait until the queue is short again."""
        await self._stream.drain()

    def end_sending(self) -> None:
        """End the direction to the other side."""
        self._stream.end_sending()

    def close(self) -> None:
        """Close the stream."""
        self._stream.close()

    def abort(self) -> None:
        """Reset the stream."""
        self._stream.abort()

    async def wait_closed(self) -> None:
        """Wait until the stream is closed."""
        await self._stream.wait_closed()

    def _count(self, data: bytes) -> bytes:
        self._network.moved_bytes += len(data)
        return data


class CountingNetwork:
    """A network that counts the bytes of the connections made on it, both ways."""

    def __init__(self, inner: Network) -> None:
        self._inner = inner
        self.moved_bytes = 0

    async def listen(self, address: str, accept: Accept) -> Listener:
        """Listen; what is accepted is not counted."""
        return await self._inner.listen(address, accept)

    async def connect(self, address: str) -> Stream:
        """Connect, and count from here on."""
        return CountingStream(await self._inner.connect(address), self)


async def measure_platform(seed: int) -> Slopes:
    """Return what a poll of an unchanged list and a read of an unchanged log cost."""
    fabric = MemoryNetwork(latency_s=0.0)
    network = CountingNetwork(fabric.view("10.1.0.1"))
    stand_ins = PlatformStandIns(fabric.view(PLATFORM_IP), PLATFORM_IP, seed)
    await stand_ins.start()
    addresses = stand_ins.addresses
    members = MembershipClient(network, addresses.membership, TIMEOUT_S)
    table = TableClient.from_settings(network, addresses)
    try:
        return {
            **await _measure("poll", "poll of an unchanged list", network, members.poll),
            **await _measure(
                "tail_read",
                "read of the log's tail with nothing new",
                network,
                lambda: table.scan(ROW_PREFIX, row_key(1), 500),
            ),
        }
    finally:
        await members.close()
        await table.close()
        await stand_ins.close()


async def _measure(name: str, per: str, network: CountingNetwork, call: Call) -> Slopes:
    await call()  # the first one connects, and reads the list
    moved: list[Point] = []
    taken: list[Point] = []
    for calls in CALLS:
        before, began = network.moved_bytes, process_time()
        for _ in range(calls):
            await call()
        taken.append(Point(calls, round((process_time() - began) * MICROSECONDS, 1)))
        moved.append(Point(calls, network.moved_bytes - before))
    return {
        f"{name}_bytes": Slope.fit("bytes", per, moved),
        f"{name}_us": Slope.fit("us", per, taken),
    }
