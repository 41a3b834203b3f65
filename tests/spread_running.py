"""Helpers shared by the tests of weight distribution."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from lacewinggw.agent.chunks import hash_chunk
from lacewinggw.generated.messages.ttypes import Manifest
from lacewinggw.ids import Digest
from lacewinggw.lab.spreadfleet import FleetSpec, SpreadFleet


@asynccontextmanager
async def running(spec: FleetSpec) -> AsyncIterator[SpreadFleet]:
    fleet = SpreadFleet(spec)
    await fleet.start()
    try:
        yield fleet
    finally:
        await fleet.close()


async def assert_whole(fleet: SpreadFleet, manifest: Manifest) -> None:
    for host in fleet.hosts.values():
        for index, chunk_hash in enumerate(manifest.chunk_hashes):
            data = host.spreader.chunk(Digest(manifest.digest), index)
            assert await hash_chunk(data) == chunk_hash
