"""Targets that set a limit of requests a second get no more than that from all entries."""

import asyncio

import pytest
from crashing import restart_entries
from declared_fleet import DeclaredFleet, running_fleet
from limiting import (
    NOTICE_S,
    add_limited_engines,
    assert_limit_kept,
    count_limited,
    name_limit,
    now,
    play,
    rate_since,
)

from lacewinggw.lab.standin import Outage

pytestmark = pytest.mark.looptime

OBJECTIVE_S = 0.4  # of the declared routes


# Guards against limits without effect: two of fifteen targets set 1 and 1.9 requests a second and
# got as many requests as before.
async def test_a_targets_limit_applies_to_all_entries_together():
    async with running_fleet(desks=0, engines=0, entries=0) as fleet:
        for number in range(8):
            await fleet.add_entry(number + 1, ("hall", "room", "shed")[number % 3])
        await add_limited_engines(fleet, 9, [1.0, 1.9])
        named_at = now()
        played = await play(fleet, seconds=14.0, per_s=50.0)
        assert_limit_kept(fleet.targets["engine0"], 1.0, named_at, played)
        assert_limit_kept(fleet.targets["engine1"], 1.9, named_at, played)


@pytest.mark.parametrize(("path", "kind"), [("/tally/1", "desk"), ("/report/1", "engine")])
async def test_it_applies_without_agents_and_when_all_targets_have_one(path, kind):
    """The rate that targets accept is used, and no refused request waited past the objective."""
    async with running_fleet(desks=2, engines=2, entries=4) as fleet:
        targets = [fleet.targets[f"{kind}{number}"] for number in range(2)]
        for target in targets:
            name_limit(target, 3.0)
        named_at = now()
        played = await play(fleet, seconds=12.0, per_s=40.0, path=path)
        for target in targets:
            assert_limit_kept(target, 3.0, named_at, played)
            assert rate_since(target, named_at + NOTICE_S) >= 0.7 * 3.0
        refused = [reply for reply in played.replies if reply.status != 200]
        assert all(reply.status == 503 and "retry-after" in reply.headers for reply in refused)
        assert max(played.refused_after_s) <= OBJECTIVE_S


async def test_a_limit_that_ends_is_dropped_by_all_entries():
    async with running_fleet(desks=1, engines=0, entries=0) as fleet:
        for number in range(6):
            await fleet.add_entry(number + 1, ("hall", "room", "shed")[number % 3])
        await asyncio.sleep(1.0)
        desk = fleet.targets["desk0"]
        name_limit(desk, 2.0)
        await play(fleet, seconds=6.0, per_s=20.0, path="/tally/1")
        assert [count_limited(entry) for entry in fleet.entries] == [1] * 6
        name_limit(desk, None)
        played = await play(fleet, seconds=6.0, per_s=20.0, path="/tally/1")
        assert [count_limited(entry) for entry in fleet.entries] == [0] * 6
        assert played.shares()[200] >= 0.7


@pytest.mark.parametrize("failure", ["restart", "entries disconnected", "store down"])
async def test_it_applies_during_failures(failure):
    async with running_fleet(desks=2, engines=0, entries=5) as fleet:
        desk = fleet.targets["desk0"]
        name_limit(desk, 1.0)
        named_at = now()
        played = await play(fleet, seconds=5.0, per_s=30.0, path="/tally/1")
        match failure:
            case "restart":
                await restart_entries(fleet, 2)
                played.announced_at = {
                    key: at for key, at in played.announced_at.items() if key[0] > "1"
                }
            case "entries disconnected":
                for number in (2, 3, 4, 5):
                    fleet.network.cut("10.1.0.1", f"10.1.0.{number}")
            case "store down":
                fleet.store.faults.outage = Outage.REFUSE
                asyncio.get_running_loop().call_later(3.0, end_outage, fleet)
        await play(fleet, seconds=8.0, per_s=30.0, path="/tally/1", seed=2, played=played)
        assert_limit_kept(desk, 1.0, named_at, played)
        assert played.shares()[200] >= 0.9


def end_outage(fleet: DeclaredFleet) -> None:
    fleet.store.faults.outage = Outage.NONE


async def test_a_restarted_entry_applies_the_limit_at_once():
    async with running_fleet(desks=2, engines=0, entries=4) as fleet:
        name_limit(fleet.targets["desk0"], 1.0)
        await play(fleet, seconds=3.0, per_s=30.0, path="/tally/1")
        await restart_entries(fleet, 1)
        assert count_limited(fleet.entries[0]) == 1
