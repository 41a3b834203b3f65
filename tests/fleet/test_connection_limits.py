"""The connections of all entries to a target stay within the limit that its service declares."""

import pytest
from declared_fleet import running_fleet
from leaving import add_entries, let_anybody_in
from limiting import play
from platform_standins import DESK, manifest, target_row

pytestmark = pytest.mark.looptime


# Guards against entries that each use the limit as their own: a target that allows 30 connections
# got up to eight from each of 24 entries.
async def test_all_entries_together_respect_the_connection_limit_of_a_service():
    async with running_fleet(desks=1, engines=0, entries=0) as fleet:
        await add_entries(fleet, 24)
        services = [{**each, "ConnectionLimit": 30} for each in manifest(3)["Services"]]
        fleet.store.put("op", "config", manifest(3, Services=services))
        desk = fleet.targets["desk0"]
        fleet.store.put("servers", "i-desk0", target_row(DESK, desk.address, Slots=8))
        await play(fleet, seconds=2.0, per_s=5.0, path="/tally/1")
        desk.behaviour.pause_s = 0.3
        played = await play(fleet, seconds=4.0, per_s=200.0, path="/tally/1")
        assert desk.most_at_once <= 30
        assert played.shares()[200] >= 0.2


async def test_a_service_with_enough_connections_is_used_up_to_its_slots():
    async with running_fleet(desks=1, engines=0, entries=0) as fleet:
        await add_entries(fleet, 3)
        let_anybody_in(fleet)
        desk = fleet.targets["desk0"]
        desk.behaviour.pause_s = 0.3
        await play(fleet, seconds=3.0, per_s=100.0, path="/tally/1")
        assert desk.most_at_once >= 8
