"""Distribution of releases in complete fleets, in memory and under virtual time."""

import pytest
from spread_running import assert_whole, running

from lacewinggw.generated.messages.ttypes import Prefer
from lacewinggw.lab.spreadfleet import FleetSpec

pytestmark = pytest.mark.looptime


@pytest.mark.parametrize("prefer", [Prefer.TIME, Prefer.ORIGIN_BYTES])
async def test_every_host_gets_the_release_for_about_one_copy(prefer: Prefer) -> None:
    spec = FleetSpec(hosts=12, places=3, prefer=prefer)
    async with running(spec) as fleet:
        manifest = fleet.publish("market-7")
        fleet.tell_due(manifest)
        await fleet.wait_complete(manifest)
        await assert_whole(fleet, manifest)
        allowed = spec.places if prefer is Prefer.TIME else 1
        assert fleet.platform.origin.copies("market-7") <= allowed + 0.1


async def test_shared_chunks_are_fetched_once() -> None:
    async with running(FleetSpec(hosts=6)) as fleet:
        first = fleet.publish("market-6")
        fleet.tell_due(first)
        await fleet.wait_complete(first)
        second = fleet.publish("market-7", shares_with="market-6", shared=0.75)
        fleet.tell_due(second)
        await fleet.wait_complete(second)
        await assert_whole(fleet, second)
        for host in fleet.hosts.values():
            report = host.spreader.reports()[0]
            assert report.downloaded_bytes == sum(second.chunk_sizes) // 4
