"""What entries and agents believe through the troubles of the store, singly and in pairs."""

import asyncio

import pytest
from declared_fleet import running_fleet
from platform_standins import BORN_MS, LLM, MODEL, manifest, target_row

from lacewinggw.decisions.targetlist import make_target_id
from lacewinggw.lab.standin import Outage

pytestmark = pytest.mark.looptime


async def test_a_key_is_refused_once_it_may_have_been_taken_away():
    async with running_fleet() as fleet:
        fleet.store.faults.outage = Outage.REFUSE
        await asyncio.sleep(2.0)
        assert (await fleet.ask("/sheet/1")).status == 200
        await asyncio.sleep(4.0)
        assert (await fleet.ask("/sheet/1")).status == 503


async def test_a_key_taken_away_is_denied():
    async with running_fleet() as fleet:
        fleet.store.put("op", "config", manifest(4, Tenants=[{"Name": "growers", "ApiKeys": []}]))
        await asyncio.sleep(0.6)
        assert (await fleet.ask("/sheet/1")).status == 401


async def test_a_store_that_falls_silent_is_left_for_a_new_connection():
    async with running_fleet() as fleet:
        fleet.network.cut("10.1.0.1", "10.9.0.1")
        await asyncio.sleep(3.0)
        fleet.network.heal("10.1.0.1", "10.9.0.1")
        fleet.store.put("op", "config", manifest(4, Tenants=[{"Name": "growers", "ApiKeys": []}]))
        await asyncio.sleep(2.0)
        assert (await fleet.ask("/sheet/1")).status == 401
        assert fleet.entries[0].knowledge.routes.version == 4


async def test_cut_and_revoked_at_once():
    async with running_fleet() as fleet:
        fleet.network.cut("10.1.0.1", "10.9.0.1")
        fleet.store.put("op", "config", manifest(4, Tenants=[{"Name": "growers", "ApiKeys": []}]))
        await asyncio.sleep(5.2)
        assert (await fleet.ask("/sheet/1")).status == 503


async def test_forgotten_history_and_a_leaving_target_at_once():
    async with running_fleet() as fleet:
        fleet.store.deaf = True
        row = target_row("desk", "10.3.0.1:8080", State="draining")
        fleet.store.put("servers", "i-desk0", row)
        fleet.store.forget_history()
        await asyncio.sleep(1.0)
        fleet.store.deaf = False
        await asyncio.sleep(4.0)
        assert make_target_id("i-desk0", BORN_MS) in fleet.entries[0].knowledge.leaving
        for _ in range(6):
            assert (await fleet.ask("/tally/1", "GET")).status == 200
        assert not fleet.targets["desk0"].seen


async def test_targets_that_lapsed_in_an_outage_serve_on_until_they_are_back():
    async with running_fleet() as fleet:
        fleet.store.faults.outage = Outage.REFUSE
        await asyncio.sleep(4.5)
        for name in ("desk0", "desk1"):
            fleet.store.put("servers", f"i-{name}", None)
        fleet.store.faults.outage = Outage.NONE
        await asyncio.sleep(1.4)
        assert len(fleet.entries[0].pool.loads) == 4
        fleet.store.put("servers", "i-desk0", target_row("desk", "10.3.0.1:8080"))
        await asyncio.sleep(2.5)
        assert {make_target_id("i-desk0", BORN_MS)} == {
            name for name in fleet.entries[0].pool.loads if "desk" in name
        }


async def test_a_fresh_entry_knows_what_the_store_says_now():
    async with running_fleet() as fleet:
        fleet.store.put("op", "config", manifest(9))
        fleet.store.put("servers", "i-desk0", None)
        fleet.store.forget_history()
        entry = await fleet.add_entry(2)
        await asyncio.sleep(0.5)
        assert entry.knowledge.routes.version == 9
        assert make_target_id("i-desk0", BORN_MS) not in entry.knowledge.targets


async def test_a_list_that_changes_often_costs_few_calls_where_others_read_it():
    async with running_fleet(entries=4) as fleet:
        await asyncio.sleep(2.0)
        before = fleet.store.calls.count("/rows-feed")
        for number in range(24):
            weights = [{"Name": MODEL, "Version": number}]
            fleet.store.put(
                "servers", "i-engine0", target_row(LLM, "10.2.0.1:8080", Models=weights)
            )
            await asyncio.sleep(0.25)
        # In six seconds: one entry reads each change that does not come within 0.4 s of the last.
        assert fleet.store.calls.count("/rows-feed") - before < 55


async def test_a_target_that_leaves_is_left_by_all_within_a_second():
    async with running_fleet(entries=4) as fleet:
        await asyncio.sleep(2.0)
        weights = [{"Name": MODEL, "Version": 1}]
        fleet.store.put("servers", "i-engine1", target_row(LLM, "10.2.0.2:8080", Models=weights))
        await asyncio.sleep(0.1)  # all have just taken in a change, and let others gather
        fleet.store.put("servers", "i-engine0", target_row(LLM, "10.2.0.1:8080", State="draining"))
        await asyncio.sleep(0.6)
        assert all(
            make_target_id("i-engine0", BORN_MS) in entry.knowledge.leaving
            for entry in fleet.entries
        )


async def test_frozen_and_revoked_at_once():
    """A request that waited out a freeze is not admitted by a key that is gone by then."""
    async with running_fleet() as fleet:
        fleet.network.hold("10.1.0.1")
        asked = asyncio.ensure_future(fleet.ask("/sheet/1"))
        await asyncio.sleep(1.0)
        fleet.store.put("op", "config", manifest(4, Tenants=[{"Name": "growers", "ApiKeys": []}]))
        await asyncio.sleep(5.5)
        fleet.network.let_go("10.1.0.1")
        assert (await asked).status in (401, 503)
        assert not fleet.targets["desk0"].seen and not fleet.targets["desk1"].seen


async def test_restarted_and_changed_at_once():
    """An entry that starts while the store is away never goes back behind what others know."""
    async with running_fleet(entries=2) as fleet:
        routes = manifest(5)["Routes"]
        fleet.store.put("op", "config", manifest(5, Routes=routes[:1]))
        await asyncio.sleep(0.3)
        await fleet.entries[1].close()
        fleet.store.faults.outage = Outage.REFUSE
        await fleet.add_entry(3)
        reply = await fleet.ask("/sheet/1", entry=2)
        assert reply.status == 503
        fleet.store.faults.outage = Outage.NONE
        await asyncio.sleep(1.5)
        assert (await fleet.ask("/sheet/1", entry=2)).status == 404
        assert fleet.entries[2].knowledge.routes.version == 5


async def test_turned_away_and_leaving_at_once():
    """An entry that the store turns away hears from another one that a target leaves."""
    async with running_fleet(entries=3) as fleet:
        await asyncio.sleep(1.0)
        fleet.network.cut("10.1.0.1", "10.9.0.1")
        row = target_row("desk", "10.3.0.1:8080", State="draining")
        fleet.store.put("servers", "i-desk0", row)
        await asyncio.sleep(1.0)
        assert make_target_id("i-desk0", BORN_MS) in fleet.entries[0].knowledge.leaving
        for _ in range(6):
            assert (await fleet.ask("/tally/1", "GET")).status == 200
        assert not fleet.targets["desk0"].seen


async def test_a_write_whose_answer_is_lost_lists_an_entry_all_the_same():
    async with running_fleet() as fleet:
        fleet.store.faults.lose_next = 2
        await fleet.add_entry(2)
        await asyncio.sleep(3.0)
        assert set(fleet.store.rows("lacewinggw-members")) == {"entry-1", "entry-2"}
        assert fleet.entries[1].is_ready


async def test_a_slow_store_delays_changes_and_nothing_else():
    async with running_fleet() as fleet:
        fleet.store.faults.delay_s = 0.25  # 60 times as long as usual
        fleet.store.put("op", "config", manifest(4, Tenants=[{"Name": "growers", "ApiKeys": []}]))
        asked = [(await fleet.ask("/tally/1", "GET")).status for _ in range(3)]
        assert set(asked) <= {200, 401}
        await asyncio.sleep(2.0)
        assert (await fleet.ask("/tally/1", "GET")).status == 401


async def test_a_store_that_hangs_is_noticed_within_the_bound_on_keys():
    async with running_fleet() as fleet:
        fleet.store.faults.outage = Outage.HANG
        await asyncio.sleep(5.2)
        assert (await fleet.ask("/sheet/1")).status == 503
        fleet.store.faults.outage = Outage.NONE
        await asyncio.sleep(5.0)
        assert (await fleet.ask("/sheet/1")).status == 200


@pytest.mark.parametrize("begun_s", [0.1, 0.4, 0.7, 1.0])
async def test_a_key_that_is_taken_away_while_the_feed_is_deaf_is_refused_in_time(begun_s):
    """The feed overlooks a change for a second, then the store is out of reach.

    A wait that ended in that second without news told that nothing had changed, and a key was
    honoured for five seconds from its end, not from its beginning.
    """
    async with running_fleet() as fleet:
        await asyncio.sleep(begun_s)
        fleet.store.deaf = True
        fleet.store.put("op", "config", manifest(4, Tenants=[{"Name": "growers", "ApiKeys": []}]))
        revoked_at = asyncio.get_running_loop().time()
        await asyncio.sleep(1.0)
        fleet.store.faults.outage = Outage.CUT
        fleet.network.cut("10.1.0.1", "10.9.0.1")
        await asyncio.sleep(revoked_at + 5.05 - asyncio.get_running_loop().time())
        assert (await fleet.ask("/sheet/1")).status in (401, 503)
