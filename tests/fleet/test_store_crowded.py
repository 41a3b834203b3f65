"""A store whose listen backlog is full because a whole fleet starts at the same time.

Guards against a slow start after a power loss: 32 entries and 63 agents returned within 0.3 s, each
with several calls to the store. Ten entries had the routes after 0.03 to 0.13 s, and the other 22
only after 1.03 to 1.45 s, because the kernel resends a dropped SYN packet after a second. Meanwhile
they rejected callers, and the agents that get targets and versions from them loaded nothing: 0.06
of the value of the first two seconds was served, and 0.33 of that of the next two.
"""

import asyncio

import pytest
from declared_fleet import running_fleet
from platform_standins import STORE

from lacewinggw.lab.memory import MemoryNetwork

pytestmark = pytest.mark.looptime

QUEUED = 6  # connections in the store's listen backlog
TAKEN_EACH_S = 0.002
RESENT_S = 1.0  # after which a kernel resends a dropped SYN packet
SERVES_WITHIN_S = 0.5
ENTRIES = 12


class CrowdedStore:
    """Drops SYN packets while the store's listen backlog is full."""

    def __init__(self, connect):
        self._connect = connect
        self._free_at = 0.0

    async def connect(self, network, address):
        if address == STORE:
            await self._queue()
        return await self._connect(network, address)

    async def _queue(self):
        loop = asyncio.get_running_loop()
        while self._free_at - loop.time() >= QUEUED * TAKEN_EACH_S:  # noqa: ASYNC110
            await asyncio.sleep(RESENT_S)
        self._free_at = max(self._free_at, loop.time()) + TAKEN_EACH_S


async def test_entries_become_ready_soon_although_the_store_drops_their_first_packets(monkeypatch):
    async with running_fleet(entries=0) as fleet:
        crowded = CrowdedStore(MemoryNetwork.connect)
        monkeypatch.setattr(MemoryNetwork, "connect", lambda *args: crowded.connect(*args))
        await asyncio.gather(*(fleet.add_entry(number + 1) for number in range(ENTRIES)))
        await asyncio.sleep(SERVES_WITHIN_S)
        assert sum(entry.is_ready for entry in fleet.entries) == ENTRIES
