"""Guards against a prompt part that crashes every target: one crashed 48 targets in a minute.

Requests were identified as a whole, and no two with the part were alike, so nothing connected one
with the crashes under another.
"""

import asyncio

import pytest
from crashing import (
    ALLOWED_LATER,
    CRASHING_PART,
    OTHER_CRASHING_PART,
    add_engines,
    count_quarantined_parts,
    crash_times,
    late_arrivals,
    late_part_arrivals,
    play,
    restart_entries,
    served_share,
)
from declared_fleet import running_fleet

from lacewinggw.lab.standin import Outage

pytestmark = pytest.mark.looptime

MAX_CRASHES = 5  # from then on the time to notice counts
MIN_SERVED_SHARE = 0.5  # of other requests with the same account and first part


@pytest.mark.parametrize(
    ("entries", "crashing_per_s", "part_at"), [(6, 0.8, 0), (6, 3.0, 1), (6, 8.0, 2), (24, 3.0, 1)]
)
async def test_requests_with_a_crashing_part_are_quarantined(entries, crashing_per_s, part_at):
    async with running_fleet(desks=0, engines=0, entries=entries) as fleet:
        await add_engines(fleet, 9)
        played = await play(fleet, 20.0, crashing_per_s, 12.0, part_at=part_at)
        assert len(late_part_arrivals(fleet)) <= ALLOWED_LATER, crash_times(fleet)
        assert served_share(fleet, played) >= MIN_SERVED_SHARE


async def test_suspected_requests_are_sent_to_one_target_at_a_time():
    """Guards against seven crashes within the second before the first ones are evaluated."""
    async with running_fleet(desks=0, engines=0, entries=6) as fleet:
        await add_engines(fleet, 9)
        played = await play(fleet, 12.0, 10.0, 12.0, seed=2, part_at=1)
        assert len(crash_times(fleet)) <= MAX_CRASHES
        assert served_share(fleet, played) >= MIN_SERVED_SHARE


async def test_a_part_is_found_among_targets_that_crash_for_other_reasons():
    async with running_fleet(desks=0, engines=0, entries=6) as fleet:
        await add_engines(fleet, 9)
        playing = asyncio.ensure_future(play(fleet, 20.0, 2.0, 12.0, part_at=1))
        for target in list(fleet.targets.values()) * 2:
            await asyncio.sleep(0.9)
            target.crash()
        played = await playing
        assert [count_quarantined_parts(entry) for entry in fleet.entries] == [1] * 6
        assert served_share(fleet, played) >= MIN_SERVED_SHARE


async def test_no_part_is_quarantined_when_all_targets_crash_for_other_reasons():
    async with running_fleet(desks=0, engines=0, entries=6) as fleet:
        await add_engines(fleet, 9)
        playing = asyncio.ensure_future(play(fleet, 16.0, 0.0, 12.0, part_at=1))
        await asyncio.sleep(2.0)
        for _ in range(4):
            for target in fleet.targets.values():
                await asyncio.sleep(0.05)
                target.crash()
            await asyncio.sleep(3.0)
        await playing
        assert [count_quarantined_parts(entry) for entry in fleet.entries] == [0] * 6


@pytest.mark.parametrize("restarted", [1, 6])
async def test_restarted_entries_have_the_quarantine_of_a_part_at_once(restarted):
    async with running_fleet(desks=0, engines=0, entries=6) as fleet:
        await add_engines(fleet, 9)
        await play(fleet, 6.0, 3.0, 12.0, part_at=1)
        await restart_entries(fleet, restarted)
        before = len(crash_times(fleet))
        await play(fleet, 4.0, 3.0, 12.0, part_at=1)
        assert len(crash_times(fleet)) == before


async def test_parts_of_two_routes_are_both_quarantined():
    async with running_fleet(desks=0, engines=0, entries=6) as fleet:
        await add_engines(fleet, 9)
        await asyncio.gather(
            play(fleet, 14.0, 2.0, 6.0, seed=1, part_at=1),
            play(fleet, 14.0, 2.0, 6.0, seed=2, part_at=2, part=OTHER_CRASHING_PART),
        )
        assert [count_quarantined_parts(entry) for entry in fleet.entries] == [2] * 6


async def test_a_part_and_a_whole_request_are_both_quarantined():
    async with running_fleet(desks=0, engines=0, entries=6) as fleet:
        await add_engines(fleet, 9)
        await asyncio.gather(
            play(fleet, 14.0, 2.0, 6.0, seed=1, part_at=1), play(fleet, 14.0, 2.0, 6.0, seed=2)
        )
        assert [count_quarantined_parts(entry) for entry in fleet.entries] == [1] * 6
        assert late_arrivals(fleet) == []


async def test_a_part_is_quarantined_without_the_store():
    async with running_fleet(desks=0, engines=0, entries=6) as fleet:
        await add_engines(fleet, 9)
        fleet.store.faults.outage = Outage.REFUSE
        await play(fleet, 5.0, 3.0, 12.0, part_at=1)
        assert [count_quarantined_parts(entry) for entry in fleet.entries] == [1] * 6


async def test_operators_lift_the_quarantine_of_a_part_by_deleting_its_rows():
    async with running_fleet(desks=0, engines=0, entries=2) as fleet:
        await add_engines(fleet, 6)
        await play(fleet, 6.0, 3.0, 12.0, part_at=1)
        for target in fleet.targets.values():
            target.behaviour.crashes_on_parts = frozenset()
        rows = [key for key in fleet.store.rows("lacewinggw-members") if "crashing/" in key]
        assert f"crashing/part:market:{CRASHING_PART}" in rows
        for key in rows:
            fleet.store.put("lacewinggw-members", key, None)
        await asyncio.sleep(2.0)
        played = await play(fleet, 3.0, 3.0, 3.0, part_at=1)
        assert played.crashing and all(reply.status == 200 for reply in played.crashing)
