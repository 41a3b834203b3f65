"""A running fleet whose store holds entries of other writers, and targets that start again."""

import asyncio
import json

import pytest
from declared_fleet import running_fleet
from platform_standins import BORN_MS, DESK, LLM, Row, manifest, target_row

from lacewinggw.decisions.targetlist import make_target_id

pytestmark = pytest.mark.looptime

BAD = (b"{", b"[1]", b"\xff\xfe", b'{"Address": 7}')


def spoil(store, table, key, data):
    """Have another writer put bytes in an entry."""
    store.put(table, key, {})
    store._rows[table, key] = Row(table, key, data, store._version)


def unreadable(entry):
    rows = entry.metrics.render().splitlines()
    found = [row for row in rows if row.startswith("lacewinggw_store_entries_unreadable")]
    return sum(float(row.rpartition(" ")[2]) for row in found)


async def served(fleet, path="/tally/1", **headers):
    return (await fleet.ask(path, "GET" if "tally" in path else "POST", **headers)).status == 200


@pytest.mark.parametrize("data", BAD)
async def test_an_entry_goes_on_following_beside_an_entry_that_cannot_be_read(data):
    async with running_fleet(desks=1) as fleet:
        spoil(fleet.store, "servers", "i-strange", data)
        spoil(fleet.store, "lacewinggw-members", "strange", data)
        await asyncio.sleep(3.0)
        fleet.store.put("servers", "i-desk0", None)
        await fleet.add_target("desk9", DESK, "10.3.0.9")
        await asyncio.sleep(3.0)
        assert await served(fleet)
        assert unreadable(fleet.entries[0]) == 2


@pytest.mark.parametrize("data", BAD)
async def test_an_entry_that_starts_beside_such_an_entry_serves(data):
    async with running_fleet(desks=1) as fleet:
        spoil(fleet.store, "servers", "i-strange", data)
        spoil(fleet.store, "lacewinggw-members", "strange", data)
        spoil(fleet.store, "op", "version/market", data)
        await fleet.add_entry(2)
        await asyncio.sleep(3.0)
        assert (await fleet.ask("/tally/1", "GET", entry=1)).status == 200


@pytest.mark.parametrize("data", BAD)
async def test_routes_that_cannot_be_read_leave_the_last_good_ones_in_force(data):
    async with running_fleet(desks=1) as fleet:
        spoil(fleet.store, "op", "config", data)
        await asyncio.sleep(3.0)
        assert await served(fleet)
        routes = manifest(9)
        routes["Routes"] = [each for each in routes["Routes"] if each["Name"] != "tally"]
        fleet.store.put("op", "config", routes)
        await asyncio.sleep(1.0)
        assert not await served(fleet)


async def test_a_target_whose_entry_is_spoilt_gets_nothing_until_it_is_written_again():
    async with running_fleet(desks=2) as fleet:
        spoil(fleet.store, "servers", "i-desk0", b"{}")
        await asyncio.sleep(3.0)
        assert all([await served(fleet) for _ in range(6)])
        assert not fleet.targets["desk0"].seen
        fleet.store.put("servers", "i-desk0", target_row(DESK, "10.3.0.1:8080"))
        await asyncio.sleep(3.0)
        assert all([await served(fleet) for _ in range(12)])
        assert fleet.targets["desk0"].seen


async def test_an_engine_that_starts_again_empty_is_offered_nothing_until_it_has_loaded():
    async with running_fleet(engines=2) as fleet:
        for name in ("engine0", "engine1"):
            await fleet.add_agent(name)
        await asyncio.sleep(2.0)
        engine = fleet.targets["engine0"]
        engine.restart()
        row = target_row(LLM, engine.address, born=engine.born_ms, Models=[])
        fleet.store.put("servers", engine.target_id, row)
        await asyncio.sleep(0.15)  # its agent asks it ten times a second
        offered = len(engine.seen)
        while not engine.weights:
            assert await served(fleet, "/report/1", X_Model="market")
            assert len(engine.seen) == offered
        assert engine.weights == {"market": 1}  # its agent has brought them again
        await asyncio.sleep(1.0)
        for _ in range(8):
            assert await served(fleet, "/report/1", X_Model="market")
        assert len(engine.seen) > offered


async def test_the_agent_tells_of_a_new_start_before_the_list_does():
    async with running_fleet(engines=2) as fleet:
        for name in ("engine0", "engine1"):
            await fleet.add_agent(name)
        await asyncio.sleep(2.0)
        engine = fleet.targets["engine0"]
        engine.restart()
        await asyncio.sleep(1.0)  # its own entry of the list is still that of before
        offered = len(engine.seen)
        for _ in range(8):
            assert await served(fleet, "/report/1", X_Model="market")
        assert len(engine.seen) == offered


async def test_a_target_that_drained_left_and_came_back_is_used():
    async with running_fleet(desks=1) as fleet:
        desk = fleet.targets["desk0"]
        leaving = target_row(DESK, desk.address, State="draining")
        fleet.store.put("servers", desk.target_id, leaving)
        await asyncio.sleep(3.0)
        assert not await served(fleet)
        fleet.store.put("servers", desk.target_id, None)
        await asyncio.sleep(3.0)
        desk.restart()
        row = target_row(DESK, desk.address, born=desk.born_ms)
        fleet.store.put("servers", desk.target_id, row)
        await asyncio.sleep(3.0)
        assert await served(fleet)


def test_the_spoilt_entries_are_spoilt():
    for data in BAD[:1] + BAD[2:3]:
        with pytest.raises(ValueError):
            json.loads(data)


@pytest.mark.parametrize(("in_row", "in_report"), [(True, False), (False, True), (False, False)])
async def test_news_of_an_engine_counts_wherever_its_birth_is_told(in_row, in_report):
    async with running_fleet(engines=0) as fleet:
        born_ms = BORN_MS if in_row else 0
        engine = await fleet.add_target("engine0", LLM, "10.2.0.1", born=born_ms)
        engine.born_ms = BORN_MS if in_report else 0
        await fleet.add_agent("engine0")
        await asyncio.sleep(3.0)
        now = asyncio.get_running_loop().time()
        entry = fleet.entries[0]
        assert entry.pool.loads[make_target_id(engine.target_id, born_ms)].has_fresh_report(now)
        assert await served(fleet, "/report/1", X_Model="market")
