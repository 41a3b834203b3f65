"""The periodic work of an agent must not grow with the size of the fleet."""

import asyncio

import pytest
from declared_fleet import running_fleet
from platform_standins import LLM, target_row

pytestmark = pytest.mark.looptime


async def test_an_agent_computes_its_neighbours_only_when_the_fleet_changes():
    # Each agent used to compute the hosts it exchanges weights with ten times a second. With 150
    # agents that took 1.5 ms, half of the CPU time of an idle agent.
    async with running_fleet(engines=2) as fleet:
        agent = await fleet.add_agent("engine0")
        await asyncio.sleep(2.0)
        updates = []
        set_members = agent.spreader.set_members
        agent.spreader.set_members = lambda members: (
            updates.append(len(members)),
            set_members(members),
        )
        await asyncio.sleep(3.0)
        assert updates == []
        fleet.store.put("servers", "i-more", target_row(LLM, "10.2.0.9:8080"))
        await asyncio.sleep(3.0)
        assert updates == [3]


async def test_an_agent_is_sent_changes_and_not_each_row_that_targets_write():
    # Targets write their rows every second. Each write used to send the whole list to all agents,
    # which with 80 targets was a third of the traffic of idle entries.
    async with running_fleet(engines=4) as fleet:
        agent = await fleet.add_agent("engine0")
        await asyncio.sleep(2.0)
        updates = []
        apply_update = agent.assignment.apply_update
        agent.assignment.apply_update = lambda update: (
            updates.append(update),
            apply_update(update),
        )
        for number in range(30):
            target = fleet.targets[f"engine{1 + number % 3}"]
            row = target_row(LLM, target.address, ColdRemainingMs=number)
            fleet.store.put("servers", target.target_id, row)
            await asyncio.sleep(0.2)
        assert 3 <= len(updates) <= 6  # one entry sends an update every 1.5 s, for 6 s
        fleet.store.put("servers", "i-more", target_row(LLM, "10.2.0.9:8080"))
        await asyncio.sleep(0.8)
        assert "10.2.0.9" in agent.assignment.hosts
