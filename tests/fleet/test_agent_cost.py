"""What an agent does again and again must not grow with the fleet."""

import asyncio

import pytest
from declared_fleet import running_fleet
from platform_standins import LLM, target_row

pytestmark = pytest.mark.looptime


async def test_an_agent_works_out_its_neighbours_only_when_the_fleet_changes():
    # Ten times a second each agent worked out whom it exchanges weights with, among all others: 1.5
    # ms with 150 of them, half of the processor time of an agent that had nothing to do.
    async with running_fleet(engines=2) as fleet:
        agent = await fleet.add_agent("engine0")
        await asyncio.sleep(2.0)
        told = []
        set_members = agent.spreader.set_members
        agent.spreader.set_members = lambda members: (
            told.append(len(members)),
            set_members(members),
        )
        await asyncio.sleep(3.0)
        assert told == []
        fleet.store.put("servers", "i-more", target_row(LLM, "10.2.0.9:8080"))
        await asyncio.sleep(3.0)
        assert told == [3]


async def test_an_agent_is_told_what_is_new_and_not_each_row_that_its_targets_write():
    # Targets write their rows each second, and each change had all agents told the whole list: with
    # 80 of them that was a third of what idle entries send.
    async with running_fleet(engines=4) as fleet:
        agent = await fleet.add_agent("engine0")
        await asyncio.sleep(2.0)
        told = []
        apply_update = agent.assignment.apply_update
        agent.assignment.apply_update = lambda update: (told.append(update), apply_update(update))
        for number in range(30):
            target = fleet.targets[f"engine{1 + number % 3}"]
            row = target_row(LLM, target.address, ColdRemainingMs=number)
            fleet.store.put("servers", target.target_id, row)
            await asyncio.sleep(0.2)
        assert 3 <= len(told) <= 6  # each 1.5 s in 6 s, one entry speaks
        fleet.store.put("servers", "i-more", target_row(LLM, "10.2.0.9:8080"))
        await asyncio.sleep(0.8)
        assert "10.2.0.9" in agent.assignment.hosts
