"""Faults while a release is distributed, single and in pairs, in memory under virtual time.

Under any fault, every live host ends with every chunk and the hashes of the manifest. The origin
sends four copies at most, and the time without the outage is at most twice the time without faults.
"""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from spread_running import assert_whole, running

from lacewinggw.generated.messages.ttypes import Manifest, Prefer
from lacewinggw.ids import Digest
from lacewinggw.lab.spreadfleet import FleetSpec, SpreadFleet, ip_of
from lacewinggw.lab.standin import Outage

pytestmark = pytest.mark.looptime

SPEC = FleetSpec(hosts=12, places=3, chunks=32, link_bytes_per_s=16384)
FAULT_FREE_RATIO = 1.5
ORIGIN_LIMIT = 4.0
FAULT_S = 4.0

Fault = Callable[[SpreadFleet], Awaitable[float]]


async def replace_hosts(fleet: SpreadFleet) -> float:
    for name in fleet.pick(0.1):
        await fleet.replace_host(name)
    fleet.tell_members()
    return 0.0


async def replace_hosts_with_list_lag(fleet: SpreadFleet) -> float:
    """Replace hosts while the list shows the old ones, at their old addresses, for `FAULT_S`."""
    for name in fleet.pick(0.1):
        await fleet.replace_host(name)
    asyncio.get_running_loop().call_later(FAULT_S, fleet.tell_members)
    return FAULT_S


async def stall_links(fleet: SpreadFleet) -> float:
    stalled = [ip_of(fleet.hosts[name]) for name in fleet.pick(0.1)]
    for ip in stalled:
        fleet.network.hold(ip)
    for ip in stalled:
        asyncio.get_running_loop().call_later(FAULT_S, fleet.network.let_go, ip)
    return FAULT_S


async def corrupt_a_source(fleet: SpreadFleet) -> float:
    fleet.hosts[fleet.pick(0.05)[0]].corrupt()
    return 0.0


async def corrupt_at_origin(fleet: SpreadFleet) -> float:
    fleet.platform.origin.faults.corrupt_share = 0.3
    return 0.0


async def refuse_at_origin(fleet: SpreadFleet) -> float:
    outage_s = SPEC.bound_s / 3
    fleet.platform.origin.faults.outage = Outage.REFUSE
    fleet.platform.weight_store.faults.outage = Outage.REFUSE

    def end() -> None:
        fleet.platform.origin.faults.outage = Outage.NONE
        fleet.platform.weight_store.faults.outage = Outage.NONE

    asyncio.get_running_loop().call_later(outage_s, end)
    return outage_s


async def stall_the_origin(fleet: SpreadFleet) -> float:
    fleet.platform.origin.faults.stall = True
    return 0.0


FAULTS: dict[str, tuple[float, Fault]] = {
    "kill": (0.33, replace_hosts),
    "kill-lag": (0.33, replace_hosts_with_list_lag),
    "stall": (0.2, stall_links),
    "corrupt": (0.0, corrupt_a_source),
    "corrupt-origin": (0.0, corrupt_at_origin),
    "origin-down": (0.1, refuse_at_origin),
    "origin-stalled": (0.1, stall_the_origin),
}
PAIRS = [("kill", "corrupt"), ("stall", "origin-down"), ("kill-lag", "stall")]
CASES = [(name,) for name in FAULTS] + PAIRS


@pytest.mark.parametrize("names", CASES, ids="+".join)
async def test_release_reaches_all_under_faults(names: tuple[str, ...], looptime: float) -> None:
    async with running(SPEC) as fleet:
        manifest = fleet.publish("market-7")
        start_s = float(looptime)
        fleet.tell_due(manifest)
        outages = await asyncio.gather(*(inject_fault(fleet, *FAULTS[name]) for name in names))
        await fleet.wait_complete(manifest)
        duration_s = float(looptime) - start_s
        await assert_whole(fleet, manifest)
        assert fleet.platform.origin.copies("market-7") <= ORIGIN_LIMIT
        assert duration_s <= 2 * FAULT_FREE_RATIO * SPEC.bound_s + sum(outages)


async def inject_fault(fleet: SpreadFleet, share: float, fault: Fault) -> float:
    await asyncio.sleep(share * SPEC.bound_s)
    return await fault(fleet)


async def test_a_corrupt_source_is_avoided_and_its_chunks_are_not_passed_on() -> None:
    async with running(SPEC) as fleet:
        corrupt_host = fleet.hosts[fleet.pick(0.05)[0]]
        corrupt_host.corrupt()
        manifest = fleet.publish("market-7")
        fleet.tell_due(manifest)
        await fleet.wait_complete(manifest)
        reports = [host.spreader.reports()[0] for host in fleet.hosts.values()]
        bad_sources = {name for report in reports for name in report.bad_sources}
        assert bad_sources == {corrupt_host.member.host}
        limit = corrupt_host.settings.spread.corrupt_limit + corrupt_host.settings.spread.in_flight
        assert all(report.corrupt_chunks <= limit for report in reports)


@pytest.mark.parametrize("prefer", [Prefer.TIME, Prefer.ORIGIN_BYTES])
async def test_a_release_replaced_during_distribution_stops_and_the_next_completes(
    prefer: Prefer,
) -> None:
    spec = FleetSpec(hosts=12, places=3, prefer=prefer)
    async with running(spec) as fleet:
        old = fleet.publish("market-6")
        fleet.tell_due(old)
        await asyncio.sleep(spec.bound_s / 3)
        new = fleet.publish("market-7", shares_with="market-6", shared=0.5)
        fleet.tell_due(new)
        sent = fleet.platform.origin.copies("market-6")
        await fleet.wait_complete(new)
        await assert_whole(fleet, new)
        assert_nothing_left(fleet, old)
        assert fleet.platform.origin.copies("market-6") <= sent + 0.75


def assert_nothing_left(fleet: SpreadFleet, manifest: Manifest) -> None:
    for host in fleet.hosts.values():
        assert not host.spreader.held(Digest(manifest.digest))
        assert [report.release for report in host.spreader.reports()] == ["market-7"]


def lose_all_sources(fleet: SpreadFleet) -> None:
    fleet.platform.origin.faults.outage = Outage.REFUSE
    fleet.platform.weight_store.faults.outage = Outage.REFUSE


@pytest.mark.parametrize("outage_after_s", [0.0, 1.0])
async def test_a_release_without_a_source_is_reported_with_its_remedy(
    outage_after_s: float,
) -> None:
    async with running(FleetSpec(hosts=4)) as fleet:
        manifest = fleet.publish("market-7")
        fleet.tell_due(manifest)
        await asyncio.sleep(outage_after_s)
        lose_all_sources(fleet)
        await asyncio.sleep(30.0)
        for host in fleet.hosts.values():
            assert "remedy" in host.spreader.reports()[0].held_up_by
