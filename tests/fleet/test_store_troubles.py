"""The view of entries and agents during failures of the store, single and combined."""

import asyncio

import pytest
from declared_fleet import running_fleet
from platform_standins import BORN_MS, LLM, MODEL, manifest, target_row

from lacewinggw.decisions.targetlist import make_target_id
from lacewinggw.lab.standin import Outage

pytestmark = pytest.mark.looptime


async def test_a_key_is_refused_once_it_may_have_been_revoked():
    async with running_fleet() as fleet:
        fleet.store.faults.outage = Outage.REFUSE
        await asyncio.sleep(2.0)
        assert (await fleet.ask("/sheet/1")).status == 200
        await asyncio.sleep(4.0)
        assert (await fleet.ask("/sheet/1")).status == 503


async def test_a_revoked_key_is_denied():
    async with running_fleet() as fleet:
        fleet.store.put("op", "config", manifest(4, Tenants=[{"Name": "growers", "ApiKeys": []}]))
        await asyncio.sleep(0.6)
        assert (await fleet.ask("/sheet/1")).status == 401


async def test_a_silent_connection_to_the_store_is_replaced():
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


async def test_targets_whose_rows_lapsed_in_an_outage_are_used_until_they_return():
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


async def test_a_new_entry_reads_the_current_state_of_the_store():
    async with running_fleet() as fleet:
        fleet.store.put("op", "config", manifest(9))
        fleet.store.put("servers", "i-desk0", None)
        fleet.store.forget_history()
        entry = await fleet.add_entry(2)
        await asyncio.sleep(0.5)
        assert entry.knowledge.routes.version == 9
        assert make_target_id("i-desk0", BORN_MS) not in entry.knowledge.targets


async def test_a_list_that_changes_often_costs_few_calls():
    async with running_fleet(entries=4) as fleet:
        await asyncio.sleep(2.0)
        before = fleet.store.calls.count("/rows-feed")
        for number in range(24):
            weights = [{"Name": MODEL, "Version": number}]
            fleet.store.put(
                "servers", "i-engine0", target_row(LLM, "10.2.0.1:8080", Models=weights)
            )
            await asyncio.sleep(0.25)
        # In six seconds, one entry reads each change that is at least 0.4 s after the last one.
        assert fleet.store.calls.count("/rows-feed") - before < 55


async def test_all_entries_stop_using_a_leaving_target_within_a_second():
    async with running_fleet(entries=4) as fleet:
        await asyncio.sleep(2.0)
        weights = [{"Name": MODEL, "Version": 1}]
        fleet.store.put("servers", "i-engine1", target_row(LLM, "10.2.0.2:8080", Models=weights))
        await asyncio.sleep(0.1)  # all have just applied a change and let further ones accumulate
        fleet.store.put("servers", "i-engine0", target_row(LLM, "10.2.0.1:8080", State="draining"))
        await asyncio.sleep(0.6)
        assert all(
            make_target_id("i-engine0", BORN_MS) in entry.knowledge.leaving
            for entry in fleet.entries
        )


async def test_frozen_and_revoked_at_once():
    """A request that waited during a freeze is not admitted with a key revoked meanwhile."""
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
    """An entry that starts during an outage never uses older routes than the other entries have."""
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


async def test_rejected_by_the_store_and_leaving_at_once():
    """An entry cut off from the store is notified by another one that a target is leaving."""
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


async def test_an_entry_is_listed_although_the_answer_to_its_write_is_lost():
    async with running_fleet() as fleet:
        fleet.store.faults.lose_next = 2
        await fleet.add_entry(2)
        await asyncio.sleep(3.0)
        assert set(fleet.store.rows("lacewinggw-members")) == {"entry-1", "entry-2"}
        assert fleet.entries[1].is_ready


async def test_a_slow_store_only_delays_changes():
    async with running_fleet() as fleet:
        fleet.store.faults.delay_s = 0.25  # 60 times the usual delay
        fleet.store.put("op", "config", manifest(4, Tenants=[{"Name": "growers", "ApiKeys": []}]))
        asked = [(await fleet.ask("/tally/1", "GET")).status for _ in range(3)]
        assert set(asked) <= {200, 401}
        await asyncio.sleep(2.0)
        assert (await fleet.ask("/tally/1", "GET")).status == 401


async def test_a_hanging_store_is_noticed_within_the_key_revocation_limit():
    async with running_fleet() as fleet:
        fleet.store.faults.outage = Outage.HANG
        await asyncio.sleep(5.2)
        assert (await fleet.ask("/sheet/1")).status == 503
        fleet.store.faults.outage = Outage.NONE
        await asyncio.sleep(5.0)
        assert (await fleet.ask("/sheet/1")).status == 200


@pytest.mark.parametrize("begun_s", [0.1, 0.4, 0.7, 1.0])
async def test_a_key_revoked_while_the_feed_misses_changes_is_refused_in_time(begun_s):
    """The feed misses a change for a second, then the store becomes unreachable.

    Guards against counting a wait that ended without changes as current at its end: a revoked key
    was then accepted for five seconds from the end of the wait instead of its beginning.
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
