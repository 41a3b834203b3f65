"""The in-memory network: ordering, and sharing of limited bandwidth between regions."""

import asyncio

import pytest

from lacewinggw.lab.memory import MemoryNetwork
from lacewinggw.wire.http import HttpClient, NotConnectedError
from lacewinggw.wire.network import Stream, TcpNetwork

pytestmark = pytest.mark.looptime


async def test_bytes_sent_at_the_same_time_arrive_in_order() -> None:
    network = MemoryNetwork()
    done = asyncio.Event()

    async def accept(stream: Stream) -> None:
        for number in range(200):
            stream.write(bytes([number]))
        stream.close()
        done.set()

    listener = await network.listen("10.0.0.1:0", accept)
    stream = await network.connect(listener.address)
    await done.wait()
    assert await stream.readexactly(200) == bytes(range(200))
    assert await stream.read(1) == b""


async def test_connections_share_limited_bandwidth_evenly() -> None:
    """A small transfer is not delayed by two large ones that start at the same time."""
    network = MemoryNetwork()
    network.part_regions({"10.0.0.1": "north", "10.0.0.2": "south"}, bytes_per_s=100_000)
    sizes = {1: 200_000, 2: 200_000, 3: 10_000}

    async def accept(stream: Stream) -> None:
        number = (await stream.readexactly(1))[0]
        stream.write(bytes(sizes[number]))
        await stream.drain()
        await asyncio.sleep(60)

    listener = await network.view("10.0.0.1").listen("10.0.0.1:80", accept)
    clock = asyncio.get_running_loop().time
    ended: dict[int, float] = {}

    async def fetch(number: int) -> None:
        stream = await network.view("10.0.0.2").connect(listener.address)
        stream.write(bytes([number]))
        await stream.readexactly(sizes[number])
        ended[number] = clock()

    await asyncio.gather(*(fetch(number) for number in sizes))
    assert ended[3] < 0.7
    assert all(3.9 < ended[number] < 4.5 for number in (1, 2))


async def test_abandoned_transfer_frees_its_bandwidth() -> None:
    network = MemoryNetwork()
    network.part_regions({"10.0.0.1": "north", "10.0.0.2": "south"}, bytes_per_s=100_000)

    async def accept(stream: Stream) -> None:
        stream.write(bytes(500_000))
        await asyncio.sleep(60)

    listener = await network.view("10.0.0.1").listen("10.0.0.1:80", accept)
    abandoned = await network.view("10.0.0.2").connect(listener.address)
    await abandoned.readexactly(10_000)
    abandoned.close()
    began = asyncio.get_running_loop().time()
    other = await network.view("10.0.0.2").connect(listener.address)
    await other.readexactly(100_000)
    assert asyncio.get_running_loop().time() - began < 1.2


# Guards against errors that no reader takes for a failed connection, and against an in-memory
# network that connects where the real one does not.
@pytest.mark.parametrize(
    "address",
    [
        *["10.3.0.77:99999", "10.3.0.77:65536", "10.3.0.77:0", "10.3.0.77", ":80", "a\0b:80"],
        *["10.3.0.777:80", f"{'x' * 64}.example:80", "host.example:80", "10.3.0.77:1e3"],
    ],
)
@pytest.mark.parametrize("network", [TcpNetwork(), MemoryNetwork()], ids=["tcp", "memory"])
async def test_an_address_that_does_not_exist_is_a_failed_connection(network, address):
    with pytest.raises(OSError, match="cannot connect"):
        await network.connect(address)
    client = HttpClient(network)
    with pytest.raises(NotConnectedError):
        await client.request(address, "GET", "/")
    assert not await client.refuses_connections(address, 1.0)
