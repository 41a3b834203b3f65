"""Sound targets and agents that are silent for a second and go on: passed over, used again."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest
from declared_fleet import DeclaredFleet, Reply, running_fleet
from platform_standins import LLM, manifest

from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.loader.process import LoaderProcess
from lacewinggw.wire.peers import Exchange

pytestmark = pytest.mark.looptime

ENTRIES = 2
ENGINES = 3
SLOTS = 4  # of each stand-in of an engine
PER_S = 60.0  # half of what the engines carry
EVENT_S = 0.02
PAUSE_AT_S = 1.5


@dataclass
class Played:
    """The replies with the times of their requests, and the most streams that an engine had."""

    began: float
    replies: list[tuple[float, Reply]] = field(default_factory=list)
    most_running: Counter[str] = field(default_factory=Counter)


async def start_agents(fleet: DeclaredFleet) -> None:
    for name, target in fleet.targets.items():
        await fleet.add_agent(name)
        target.behaviour.pause_s = EVENT_S
    await asyncio.sleep(1.5)


async def play(fleet: DeclaredFleet, seconds: float, pause_s: float, paused: int) -> Played:
    """Send requests at an even pace; after `PAUSE_AT_S` the first targets pause."""
    began = asyncio.get_running_loop().time()
    played = Played(began)

    async def ask(number: int) -> None:
        headers = {"X_Model": "market", "X_Attempt_Id": f"attempt-{number}"}
        reply = await fleet.ask("/report/1", entry=number % ENTRIES, **headers)
        played.replies.append((number / PER_S, reply))

    async def watch() -> None:
        while True:
            for name, target in fleet.targets.items():
                played.most_running[name] = max(played.most_running[name], target.running)
            await asyncio.sleep(0.002)

    async def pause() -> None:
        await asyncio.sleep(PAUSE_AT_S)
        for target in list(fleet.targets.values())[:paused]:
            target.pause(pause_s)

    watching, pausing = asyncio.ensure_future(watch()), asyncio.ensure_future(pause())
    asks = []
    for number in range(int(seconds * PER_S)):
        await asyncio.sleep(max(0.0, began + number / PER_S - asyncio.get_running_loop().time()))
        asks.append(asyncio.ensure_future(ask(number)))
    await asyncio.gather(pausing, *asks)
    watching.cancel()
    return played


# Guards against entries that send requests around the agents while all targets are silent, and
# overfill them: engines with four slots had 10 requests once they went on.
async def test_a_pause_of_all_targets_does_not_overfill_them():
    async with running_fleet(desks=0, engines=ENGINES, entries=ENTRIES) as fleet:
        await start_agents(fleet)
        played = await play(fleet, seconds=4.0, pause_s=0.9, paused=ENGINES)
        assert max(played.most_running.values()) <= SLOTS
        assert all(reply.whole and reply.status in (200, 503) for _, reply in played.replies)


# Guards against a target that counts as slow after a pause: it got a third less than its share for
# two seconds.
async def test_a_target_gets_its_share_again_right_after_a_pause():
    async with running_fleet(desks=0, engines=ENGINES, entries=ENTRIES) as fleet:
        await start_agents(fleet)
        played = await play(fleet, seconds=4.5, pause_s=0.9, paused=1)
        since = played.began + PAUSE_AT_S + 0.9 + 0.1
        seen = [
            sum(since <= at < since + 2.0 for at in target.seen_at)
            for target in fleet.targets.values()
        ]
        assert seen[0] >= 0.8 * sum(seen) / ENGINES
        assert all(reply.whole and reply.status == 200 for _, reply in played.replies)


# Guards against an agent that takes its silent engine for lost, and declines all requests.
async def test_an_agent_does_not_take_an_engine_that_pauses_for_lost():
    async with running_fleet(desks=0, engines=1, entries=ENTRIES) as fleet:
        agent = await fleet.add_agent("engine0")
        await asyncio.sleep(1.5)
        fleet.targets["engine0"].pause(1.6)
        await asyncio.sleep(1.3)
        assert agent._readiness().ready
        replies = await asyncio.gather(
            *(fleet.ask("/report/1", entry=each, X_Model="market") for each in range(ENTRIES))
        )
        assert [reply.status for reply in replies] == [200] * ENTRIES


# Guards against a pause that is taken for a new start, after which an engine is cold for seconds.
async def test_an_engine_that_reports_no_birth_is_not_cold_after_a_pause():
    async with running_fleet(desks=0, engines=0, entries=ENTRIES) as fleet:
        target = await fleet.add_target("engine0", LLM, "10.2.0.1", born=0)
        target.born_ms = 0
        agent = await fleet.add_agent("engine0")
        routes = manifest(3)
        routes["Services"][0].update(ColdStartS=3.0, ColdPerS=4.0)
        fleet.store.put("op", "config", routes)
        await asyncio.sleep(4.5)  # its first report shows a new start
        assert agent.assignment.cold_service is not None and agent._cold.remaining_s == 0.0
        target.pause(1.6)
        await asyncio.sleep(1.8)
        assert agent._cold.remaining_s == 0.0


# Guards against requests that wait for an engine of which the agent could know that it has ended.
async def test_an_agent_takes_an_engine_that_refuses_connections_for_lost_at_once():
    async with running_fleet(desks=0, engines=1) as fleet:
        agent = await fleet.add_agent("engine0")
        await asyncio.sleep(1.5)
        assert agent._report is not None
        await fleet.targets["engine0"].close()
        await asyncio.sleep(0.4)
        assert agent._report is None


async def test_an_agent_takes_an_engine_that_stays_silent_for_lost():
    async with running_fleet(desks=0, engines=1) as fleet:
        agent = await fleet.add_agent("engine0")
        await asyncio.sleep(1.5)
        fleet.targets["engine0"].pause(60.0)
        await asyncio.sleep(2.2)
        assert agent._report is not None
        await asyncio.sleep(1.4)
        assert agent._report is None


def silence_agent(agent: LoaderProcess, is_silent: Callable[[], bool]) -> None:
    """Let an agent answer no request for a slot, and send no updates, while `is_silent`."""
    serve, notify = agent._slots.serve, agent._notify_entries

    async def serve_later(exchange: Exchange, request: messages.AskSlot) -> None:
        while is_silent():  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        await serve(exchange, request)

    def notify_unless_silent() -> None:
        if not is_silent():
            notify()

    agent._slots.serve = serve_later
    agent._notify_entries = notify_unless_silent


# Guards against requests that wait at silent agents and are refused while slots of sound engines
# are free: 19 of 240 were.
async def test_requests_start_without_the_agents_while_all_agents_are_silent():
    async with running_fleet(desks=0, engines=ENGINES, entries=ENTRIES) as fleet:
        await start_agents(fleet)
        silent_from = asyncio.get_running_loop().time() + 0.5
        for agent in fleet.agents.values():
            silence_agent(
                agent, lambda: 0.0 <= asyncio.get_running_loop().time() - silent_from < 1.2
            )
        played = await play(fleet, seconds=4.0, pause_s=0.0, paused=0)
        assert Counter(reply.status for _, reply in played.replies) == {200: 240}


# Guards against requests that wait at the entries while all engines refuse requests, as stalled
# ones do, and are sent around the agents afterwards: engines with four slots had 7.
async def test_engines_that_refused_requests_for_a_moment_are_not_overfilled_afterwards():
    async with running_fleet(desks=0, engines=ENGINES, entries=ENTRIES) as fleet:
        await start_agents(fleet)
        playing = asyncio.ensure_future(play(fleet, seconds=4.0, pause_s=0.0, paused=0))
        for refused in (0, 1_000_000, 0):
            for target in fleet.targets.values():
                target.behaviour.shed = refused
            await asyncio.sleep(1.0)
        played = await playing
        assert max(played.most_running.values()) <= SLOTS
        # A target that refused requests is tried again within 0.8 s.
        beside = [reply.status for at, reply in played.replies if not 0.9 <= at < 2.9]
        assert set(beside) == {200}
