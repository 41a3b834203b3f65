"""Targets that report in their answers that they leave get no new requests from any entry."""

import asyncio

import pytest
from crashing import restart_entries
from declared_fleet import running_fleet
from leaving import add_entries, assert_no_requests_after_leaving, let_anybody_in
from limiting import now, play, rate_since
from platform_standins import DESK, LLM, target_row

from lacewinggw.lab.standin import Outage

pytestmark = pytest.mark.looptime


# Guards against leaving that depends on the store: without it, a plain target that reported leaving
# was sent requests until the store was back.
@pytest.mark.parametrize("outage", [Outage.HANG, Outage.REFUSE], ids=["silent", "refuses"])
async def test_a_leaving_target_gets_no_requests_while_the_store_is_down(outage):
    async with running_fleet(desks=3, engines=0, entries=0) as fleet:
        await add_entries(fleet, 8)
        let_anybody_in(fleet)
        await asyncio.sleep(2.0)
        fleet.store.faults.outage = outage
        fleet.targets["desk0"].behaviour.leaving = True
        played = await play(fleet, seconds=8.0, per_s=40.0, path="/tally/1", key="")
        assert_no_requests_after_leaving(fleet.targets["desk0"], played)
        assert played.shares() == {200: 1.0}


async def test_leaving_is_sent_to_other_entries_and_to_restarted_ones():
    async with running_fleet(desks=2, engines=0, entries=0) as fleet:
        await add_entries(fleet, 6)
        let_anybody_in(fleet)
        await asyncio.sleep(2.0)
        fleet.store.faults.outage = Outage.HANG
        desk = fleet.targets["desk0"]
        desk.behaviour.leaving = True
        while "server-leaving" not in (await fleet.ask("/tally/1", X_Key="")).headers:
            pass
        await asyncio.sleep(1.0)
        announced_at = now()
        played = await play(fleet, seconds=2.0, per_s=40.0, path="/tally/1", key="")
        assert rate_since(desk, announced_at) == 0.0
        # The store still lists the target as ready.
        fleet.store.faults.outage = Outage.NONE
        await restart_entries(fleet, 2)
        await asyncio.sleep(1.0)
        restarted_at = now()
        played = await play(fleet, seconds=2.0, per_s=40.0, path="/tally/1", key="")
        assert rate_since(desk, restarted_at) == 0.0
        assert 200 in played.shares()


@pytest.mark.parametrize("entries", [1, 24])
@pytest.mark.parametrize(("path", "kind"), [("/tally/1", "desk"), ("/report/1", "engine")])
async def test_requests_are_refused_at_once_when_all_targets_leave(entries, path, kind):
    async with running_fleet(desks=1, engines=1, entries=0) as fleet:
        await add_entries(fleet, entries)
        await asyncio.sleep(1.0)
        target = fleet.targets[f"{kind}0"]
        target.behaviour.leaving = True
        played = await play(fleet, seconds=5.0, per_s=20.0, path=path)
        assert_no_requests_after_leaving(target, played)
        refused = [reply for reply in played.replies if reply.status != 200]
        assert refused and all(float(reply.headers["retry-after"]) > 0 for reply in refused)
        assert max(played.refused_after_s) <= 0.05


@pytest.mark.parametrize("keeps_address", [True, False])
async def test_a_restarted_target_of_the_same_name_is_used(keeps_address):
    """Leaving applies to one start, also if its answer arrives after the new start is listed."""
    async with running_fleet(desks=1, engines=0) as fleet:
        desk = fleet.targets["desk0"]
        desk.behaviour.leaving, desk.behaviour.pause_s = True, 0.8
        late = asyncio.ensure_future(fleet.ask("/tally/1"))
        await asyncio.sleep(0.2)
        if not keeps_address:
            await fleet.add_target("desk9", DESK, "10.3.0.9", State="draining")
            desk = fleet.targets["desk9"]
            desk.target_id = "i-desk0"
        desk.born_ms += 60_000
        listed = target_row(DESK, desk.address, born=desk.born_ms)
        fleet.store.put("servers", "i-desk0", listed)
        await asyncio.sleep(0.4)
        assert (await late).headers["server-leaving"] == "1"
        desk.behaviour.leaving = False
        reply = await fleet.ask("/tally/1")
        assert reply.status == 200 and "server-leaving" not in reply.headers


async def test_a_queued_request_is_removed_when_its_targets_leave():
    async with running_fleet(desks=0, engines=2) as fleet:
        engines = [fleet.targets["engine0"], fleet.targets["engine1"]]
        for name in fleet.targets:
            await fleet.add_agent(name)
        await asyncio.sleep(2.0)
        for engine in engines:
            engine.behaviour.pause_s, engine.behaviour.events = 0.2, 20
        running = [asyncio.ensure_future(fleet.ask("/report/1", X_Model="market")) for _ in "x" * 8]
        await asyncio.sleep(0.1)
        # Each agent has granted all its slots; this request waits for any of them.
        waiting = asyncio.ensure_future(fleet.ask("/report/1", X_Model="market"))
        await asyncio.sleep(0.05)
        asked_at = now()
        for name in ("i-engine0", "i-engine1"):
            listed = target_row(LLM, fleet.targets[name[2:]].address, State="draining")
            fleet.store.put("servers", name, listed)
        reply = await waiting
        assert reply.status == 503 and now() - asked_at < 0.1
        assert all(reply.whole for reply in await asyncio.gather(*running))


# Guards against grants after leaving: an agent received the engine's report five times a second and
# continued to grant its slots.
async def test_an_agent_reports_a_leaving_engine_before_any_request_is_sent_there():
    async with running_fleet(desks=0, engines=3, entries=0) as fleet:
        await add_entries(fleet, 6)
        for name in list(fleet.targets):
            await fleet.add_agent(name)
        let_anybody_in(fleet)
        await asyncio.sleep(2.0)
        fleet.store.faults.outage = Outage.HANG
        engine = fleet.targets["engine0"]
        engine.behaviour.leaving = True
        await asyncio.sleep(0.7)
        played = await play(fleet, seconds=4.0, per_s=30.0, key="")
        assert engine.seen == []
        assert played.shares() == {200: 1.0}
        assert engine.orders == []
