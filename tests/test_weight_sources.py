"""Sources of weights and their client, under virtual time."""

import asyncio
import hashlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from lacewinggw.clients.weights import ORIGIN, WeightsClient
from lacewinggw.errors import PlatformThrottled, PlatformUnavailable, TimedOut, UnknownDigest
from lacewinggw.generated.messages.ttypes import Manifest
from lacewinggw.ids import Digest, ReleaseName
from lacewinggw.lab.memory import MemoryNetwork
from lacewinggw.lab.releases import SyntheticRelease
from lacewinggw.lab.weights import WeightsStandIn

pytestmark = pytest.mark.looptime

CHUNK = 1 << 16
RELEASE = SyntheticRelease("market-7", size_bytes=8 * CHUNK + 100, chunk_bytes=CHUNK, seed=1)


class Source:
    """A source with one release, and a client of it."""

    def __init__(self, bytes_per_s: float, requests_per_s: int = 0) -> None:
        self.network = MemoryNetwork()
        self.standin = WeightsStandIn(
            self.network, bytes_per_s=bytes_per_s, requests_per_s=requests_per_s
        )

    async def start(self) -> None:
        await self.standin.start()
        self.manifest = self.standin.add_release(RELEASE)
        self.client = WeightsClient(self.network, self.standin.address, ORIGIN, 2.0, stall_s=1.0)

    async def fetch_all(self, client: WeightsClient) -> list[bytes]:
        return [await client.chunk(each.hex()) for each in self.manifest.chunk_hashes]


@asynccontextmanager
async def source(bytes_per_s: float = 0.0, requests_per_s: int = 0) -> AsyncIterator[Source]:
    started = Source(bytes_per_s, requests_per_s)
    await started.start()
    try:
        yield started
    finally:
        await started.client.close()
        await started.standin.close()


def first_hash(manifest: Manifest) -> str:
    return manifest.chunk_hashes[0].hex()


async def test_a_release_arrives_complete_and_is_counted() -> None:
    async with source() as origin:
        manifest = await origin.client.manifest(ReleaseName("market-7"))
        assert await origin.client.manifest_by_digest(Digest(manifest.digest)) == manifest
        chunks = await origin.fetch_all(origin.client)
        assert [hashlib.sha256(chunk).digest() for chunk in chunks] == manifest.chunk_hashes
        assert origin.standin.copies("market-7") == 1.0
        assert origin.standin.stats()["sent_bytes"] == RELEASE.size_bytes


async def test_an_unknown_release_or_chunk_is_reported_as_unknown() -> None:
    async with source() as origin:
        with pytest.raises(UnknownDigest):
            await origin.client.manifest(ReleaseName("market-8"))
        with pytest.raises(UnknownDigest):
            await origin.client.chunk("00" * 32)


async def test_releases_share_the_requested_fraction_of_chunks() -> None:
    async with source() as origin:
        other = SyntheticRelease("market-8", 8 * CHUNK, CHUNK, 2, "market-7", shared=0.25)
        manifest = origin.standin.add_release(other)
        assert len(set(manifest.chunk_hashes) & set(origin.manifest.chunk_hashes)) == 2


async def test_link_is_shared_evenly_at_its_rate(looptime: float) -> None:
    async with source(bytes_per_s=4 * CHUNK) as origin:
        clients = [
            WeightsClient(origin.network, origin.standin.address, ORIGIN, 2.0) for _ in range(4)
        ]
        finished = []

        async def fetch(client: WeightsClient) -> None:
            await client.chunk(first_hash(origin.manifest))
            finished.append(float(looptime))
            await client.close()

        await asyncio.gather(*map(fetch, clients))
        assert max(finished) == pytest.approx(1.0, rel=0.1)
        assert min(finished) > 0.9


async def test_stalled_and_slow_sources_time_out(looptime: float) -> None:
    async with source() as origin:
        origin.standin.faults.stall = True
        with pytest.raises(TimedOut):
            await origin.client.chunk(first_hash(origin.manifest))
        assert looptime < 1.5
        origin.standin.faults.stall = False
        origin.standin.link.bytes_per_s = 2000
        with pytest.raises(TimedOut):
            await origin.client.chunk(first_hash(origin.manifest))


async def test_corruption_shows_in_the_hash_only() -> None:
    async with source() as origin:
        origin.standin.faults.corrupt_share = 1.0
        data = await origin.client.chunk(first_hash(origin.manifest))
        assert len(data) == CHUNK
        assert hashlib.sha256(data).digest() != origin.manifest.chunk_hashes[0]
        assert origin.standin.corrupted == 1


async def test_store_refuses_above_its_request_rate() -> None:
    async with source(requests_per_s=4) as store:
        with pytest.raises(PlatformThrottled):
            await store.fetch_all(store.client)
        await asyncio.sleep(1.0)
        await store.client.chunk(first_hash(store.manifest))


async def test_a_source_lost_during_a_transfer_is_unavailable() -> None:
    async with source(bytes_per_s=CHUNK) as origin:
        fetching = asyncio.create_task(origin.client.chunk(first_hash(origin.manifest)))
        await asyncio.sleep(0.3)
        await origin.standin.close()
        with pytest.raises(PlatformUnavailable):
            await fetching
