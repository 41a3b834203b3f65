"""Agents and entries that all start at once, as after a power failure.

Each agent used to read the routes (52 KB) and the list of targets from the store at its start. 34
agents outside the store's region saturated the links between regions, 14 Mbit/s each, for a second.
Entries there learned of new routes after 0.06 s, but received their 6 KB only after 1.1 to 1.7 s,
and rejected callers until then.
"""

import asyncio

import pytest
from declared_fleet import running_fleet, store_reads

pytestmark = pytest.mark.looptime


async def start_agents(fleet):
    for name in ("engine0", "engine1"):
        await fleet.add_agent(name)


async def test_agents_wait_for_an_entry_before_they_read_the_store():
    async with running_fleet(engines=2, entries=2) as fleet:
        await start_agents(fleet)
        await asyncio.sleep(3.0)
        for agent in fleet.agents.values():
            assert agent.assignment.model is not None
            assert store_reads("configuration", agent) == store_reads("targets", agent) == 0


async def test_agents_without_updates_of_entries_read_the_store_within_a_second():
    async with running_fleet(engines=2, entries=0) as fleet:
        await start_agents(fleet)
        await asyncio.sleep(1.2)
        for agent in fleet.agents.values():
            assert agent.assignment.model is not None
