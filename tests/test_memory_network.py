"""The in-memory network."""

import asyncio

import pytest

from lacewinggw.lab.memory import MemoryNetwork
from lacewinggw.wire.network import Stream

pytestmark = pytest.mark.looptime


async def test_bytes_sent_at_one_moment_arrive_in_order() -> None:
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
