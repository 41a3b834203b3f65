"""Targets that say in their answers that they leave get no new work, whoever else knows of it."""

import asyncio

import pytest
from declared_fleet import running_fleet
from leaving import add_entries, let_anybody_in, require_left_alone
from limiting import play

from lacewinggw.lab.standin import Outage

pytestmark = pytest.mark.looptime


# With the store away a plain target that had said so was sent requests until the store was back.
@pytest.mark.parametrize("outage", [Outage.HANG, Outage.REFUSE], ids=["silent", "refuses"])
async def test_a_target_that_says_it_leaves_is_left_while_the_store_is_away(outage):
    async with running_fleet(desks=3, engines=0, entries=0) as fleet:
        await add_entries(fleet, 8)
        let_anybody_in(fleet)
        await asyncio.sleep(2.0)
        fleet.store.faults.outage = outage
        fleet.targets["desk0"].behaviour.leaving = True
        played = await play(fleet, seconds=8.0, per_s=40.0, path="/tally/1")
        require_left_alone(fleet.targets["desk0"], played)
        assert played.shares() == {200: 1.0}
