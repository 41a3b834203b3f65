"""Targets that turn requests away and ask for rest are left alone for so long."""

import asyncio

import pytest
from declared_fleet import running_fleet
from leaving import add_entries, require_rest
from limiting import play

pytestmark = pytest.mark.looptime

REST_S = 3.0


# Overloaded engines that asked for three seconds of rest were asked again after a twentieth of one.
async def test_a_target_that_asks_for_rest_gets_it_from_the_entry_that_it_told():
    async with running_fleet(desks=0, engines=6, entries=0) as fleet:
        await add_entries(fleet, 3)
        for name in list(fleet.targets):
            await fleet.add_agent(name)
        await asyncio.sleep(2.0)
        resting = [fleet.targets[f"engine{number}"] for number in range(2)]
        for target in resting:
            target.behaviour.rest_s, target.behaviour.shed_share = "3", 0.95
        await play(fleet, seconds=8.0, per_s=60.0)
        for target in resting:
            require_rest(target, REST_S)
