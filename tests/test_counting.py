"""Metrics: each refusal is counted once by its reason, and each retried chunk once."""

import pytest
from request_fleet import RequestFleet, request_fleet
from virtual import run_virtual

from lacewinggw.errors import Refusal
from lacewinggw.lab.spreadfleet import FleetSpec, SpreadFleet
from lacewinggw.metrics import Metrics, RetryReason


def refusals(metrics: Metrics) -> dict[Refusal, int]:
    """Return the count of each refusal reason that is not zero."""
    counted = {refusal: metrics.counter("refusals", reason=refusal).value for refusal in Refusal}
    return {refusal: count for refusal, count in counted.items() if count}


def test_entry_counts_each_refusal_once() -> None:
    async def body() -> dict[Refusal, int]:
        async with request_fleet() as fleet:
            return await cause_refusals(fleet)

    assert run_virtual(body()) == {Refusal.UNKNOWN_SERVICE: 2, Refusal.NO_TARGET: 1}


async def cause_refusals(fleet: RequestFleet) -> dict[Refusal, int]:
    entry = fleet.entries[0]
    for _ in range(2):
        assert (await entry.ask(service="nobody")).status == 404
    for agent in fleet.agents:
        agent.hidden = True
    assert (await entry.ask()).status == 503
    assert (await entry.ask(authorization="Bearer wrong")).status == 401
    return refusals(entry.metrics)


@pytest.mark.looptime
async def test_agent_counts_corrupt_chunks_and_bytes_by_source() -> None:
    fleet = SpreadFleet(FleetSpec(hosts=4))
    fleet.platform.origin.faults.corrupt_share = 0.2
    await fleet.start()
    manifest = fleet.publish("market-7")
    fleet.tell_due(manifest)
    await fleet.wait_complete(manifest)
    await fleet.close()
    hosts = fleet.hosts.values()
    retried = sum(
        host.metrics.counter("retries", reason=RetryReason.CHUNK_CORRUPT).value for host in hosts
    )
    received = sum(
        host.metrics.counter("weights_bytes", source=source).value
        for host in hosts
        for source in ("origin", "store", "neighbour", "other-place")
    )
    assert retried == fleet.platform.origin.corrupted > 0
    assert received >= sum(manifest.chunk_sizes) * len(hosts)
