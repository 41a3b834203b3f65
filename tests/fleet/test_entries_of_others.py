"""A fleet whose store has invalid rows of other writers, and targets that restart."""

import asyncio
import json

import pytest
from declared_fleet import running_fleet
from platform_standins import BORN_MS, DESK, LLM, Row, manifest, target_row

from lacewinggw.decisions.targetlist import make_target_id

pytestmark = pytest.mark.looptime

BAD = (b"{", b"[1]", b"\xff\xfe", b'{"Address": 7}')


def corrupt_row(store, table, key, data):
    """Replace the value of a row by bytes, as a faulty writer would."""
    store.put(table, key, {})
    store._rows[table, key] = Row(table, key, data, store._version)


def unreadable(entry):
    rows = entry.metrics.render().splitlines()
    found = [row for row in rows if row.startswith("lacewinggw_store_entries_unreadable")]
    return sum(float(row.rpartition(" ")[2]) for row in found)


async def served(fleet, path="/tally/1", **headers):
    return (await fleet.ask(path, "GET" if "tally" in path else "POST", **headers)).status == 200


@pytest.mark.parametrize("data", BAD)
async def test_a_process_keeps_following_the_store_despite_an_unreadable_row(data):
    async with running_fleet(desks=1) as fleet:
        corrupt_row(fleet.store, "servers", "i-strange", data)
        corrupt_row(fleet.store, "lacewinggw-members", "strange", data)
        await asyncio.sleep(3.0)
        fleet.store.put("servers", "i-desk0", None)
        await fleet.add_target("desk9", DESK, "10.3.0.9")
        await asyncio.sleep(3.0)
        assert await served(fleet)
        assert unreadable(fleet.entries[0]) == 2


@pytest.mark.parametrize("data", BAD)
async def test_a_process_that_starts_with_unreadable_rows_serves(data):
    async with running_fleet(desks=1) as fleet:
        corrupt_row(fleet.store, "servers", "i-strange", data)
        corrupt_row(fleet.store, "lacewinggw-members", "strange", data)
        corrupt_row(fleet.store, "op", "version/market", data)
        await fleet.add_entry(2)
        await asyncio.sleep(3.0)
        assert (await fleet.ask("/tally/1", "GET", entry=1)).status == 200


@pytest.mark.parametrize("data", BAD)
async def test_unreadable_routes_leave_the_last_valid_ones_in_force(data):
    async with running_fleet(desks=1) as fleet:
        corrupt_row(fleet.store, "op", "config", data)
        await asyncio.sleep(3.0)
        assert await served(fleet)
        routes = manifest(9)
        routes["Routes"] = [each for each in routes["Routes"] if each["Name"] != "tally"]
        fleet.store.put("op", "config", routes)
        await asyncio.sleep(1.0)
        assert not await served(fleet)


async def test_a_target_with_a_corrupt_row_gets_no_requests_until_it_is_rewritten():
    async with running_fleet(desks=2) as fleet:
        corrupt_row(fleet.store, "servers", "i-desk0", b"{}")
        await asyncio.sleep(3.0)
        assert all([await served(fleet) for _ in range(6)])
        assert not fleet.targets["desk0"].seen
        fleet.store.put("servers", "i-desk0", target_row(DESK, "10.3.0.1:8080"))
        await asyncio.sleep(3.0)
        assert all([await served(fleet) for _ in range(12)])
        assert fleet.targets["desk0"].seen


async def test_an_engine_restarted_without_weights_gets_no_requests_until_it_has_loaded():
    async with running_fleet(engines=2) as fleet:
        for name in ("engine0", "engine1"):
            await fleet.add_agent(name)
        await asyncio.sleep(2.0)
        engine = fleet.targets["engine0"]
        engine.restart()
        row = target_row(LLM, engine.address, born=engine.born_ms, Models=[])
        fleet.store.put("servers", engine.target_id, row)
        await asyncio.sleep(0.15)  # its agent polls it ten times a second
        offered = len(engine.seen)
        while not engine.weights:
            assert await served(fleet, "/report/1", X_Model="market")
            assert len(engine.seen) == offered
        assert engine.weights == {"market": 1}  # its agent has loaded them again
        await asyncio.sleep(1.0)
        for _ in range(8):
            assert await served(fleet, "/report/1", X_Model="market")
        assert len(engine.seen) > offered


async def test_the_agent_reports_a_restart_before_the_list_does():
    async with running_fleet(engines=2) as fleet:
        for name in ("engine0", "engine1"):
            await fleet.add_agent(name)
        await asyncio.sleep(2.0)
        engine = fleet.targets["engine0"]
        engine.restart()
        await asyncio.sleep(1.0)  # its row in the list is still that of the previous incarnation
        offered = len(engine.seen)
        for _ in range(8):
            assert await served(fleet, "/report/1", X_Model="market")
        assert len(engine.seen) == offered


async def test_a_target_that_drained_left_and_returned_is_used():
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


def test_the_corrupt_rows_are_corrupt():
    for data in BAD[:1] + BAD[2:3]:
        with pytest.raises(ValueError):
            json.loads(data)


@pytest.mark.parametrize(("in_row", "in_report"), [(True, False), (False, True), (False, False)])
async def test_engine_reports_count_whichever_source_has_the_start_time(in_row, in_report):
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
