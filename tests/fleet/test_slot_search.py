"""The search for a slot: which agents a request asks, and when it gives up."""

import asyncio

import pytest

from lacewinggw.decisions.slots import SlotRequest
from lacewinggw.decisions.targetlist import TargetEntry
from lacewinggw.decisions.targetload import TargetLoad
from lacewinggw.frontend.slots import (
    ANSWER_TIMEOUT_S,
    MAX_CONCURRENT_ASKS,
    SlotAnswer,
    SlotSearch,
)

pytestmark = pytest.mark.looptime

ANSWER_S = 0.002
ENGINES = 12


class Agent:
    """Answers each request with QUEUED, then with `later` after `after_s`."""

    def __init__(self, name, later, after_s):
        self.load = TargetLoad(TargetEntry(name, "writer", "10.2.0.1:8080", "hall", slots=4))
        self.wishes = []
        self._later = later
        self._after_s = after_s

    def ask(self, wish):
        self.wishes.append(wish)
        self._answers = iter([(ANSWER_S, SlotAnswer.QUEUED), (self._after_s, self._later)])
        return self

    async def answer(self):
        pause_s, answer = next(self._answers, (99.0, SlotAnswer.LOST))
        await asyncio.sleep(pause_s)
        return answer

    def end(self):
        pass


async def search(agents, wait_s=0.25, waited_s=0.0):
    """Return the slot that was found, and how long the search took."""
    now = asyncio.get_running_loop().time()
    by_load = {id(agent.load): agent for agent in agents}

    def pick(asked):
        left = [each.load for each in agents if each.load.entry.target not in asked]
        return left[0] if left else None

    found = await SlotSearch(
        lambda load, wish: by_load[id(load)].ask(wish),
        pick,
        SlotRequest(1, False, wait_s),
        now - waited_s,
    ).find(now + wait_s)
    return found, asyncio.get_running_loop().time() - now


# Guards against holding a caller for 270 ms and then refusing it, while newer requests overtake it
# at all agents.
async def test_a_request_overtaken_at_all_agents_is_not_held_longer():
    agents = [Agent(f"i-{each}", SlotAnswer.OVERTAKEN, 0.01) for each in range(ENGINES)]
    found, took_s = await search(agents)
    assert found is None and took_s <= 0.03


async def test_a_request_overtaken_at_one_agent_still_waits_at_the_others():
    agents = [Agent("i-0", SlotAnswer.OVERTAKEN, 0.005)]
    agents += [Agent(f"i-{each}", SlotAnswer.GRANTED, 0.1) for each in range(1, ENGINES)]
    found, _ = await search(agents)
    assert found is not None and found.load is agents[1].load


async def test_a_request_waits_at_several_agents_and_sends_each_its_waiting_time():
    agents = [Agent(f"i-{each}", SlotAnswer.GRANTED, 0.1) for each in range(ENGINES)]
    await search(agents, waited_s=0.04)
    wishes = [wish for agent in agents for wish in agent.wishes]
    assert len(wishes) == MAX_CONCURRENT_ASKS
    assert all(wish.waited_s >= 0.04 for wish in wishes)
    assert wishes[-1].waited_s > wishes[0].waited_s


class SilentAgent(Agent):
    """Answers nothing."""

    async def answer(self):
        await asyncio.sleep(99.0)
        return SlotAnswer.LOST


# Guards against holding a caller for its whole wait at agents that do not answer.
async def test_a_search_ends_once_all_agents_had_their_time_and_none_has_answered():
    agents = [SilentAgent(f"i-{each}", SlotAnswer.LOST, 99.0) for each in range(3)]
    found, took_s = await search(agents, wait_s=1.0)
    assert found is None and took_s == pytest.approx(3 * ANSWER_TIMEOUT_S, abs=0.01)


async def test_a_search_goes_on_while_one_agent_has_answered():
    agents = [SilentAgent("i-0", SlotAnswer.LOST, 99.0), Agent("i-1", SlotAnswer.GRANTED, 0.5)]
    found, _ = await search(agents, wait_s=1.0)
    assert found is not None and found.load is agents[1].load
