"""Guards against requests that begin on superseded weights after the head of their answer.

The head counted as the start of a run, so nothing ended a request whose first event came later.
"""

import asyncio
from collections import Counter

import pytest
from declared_fleet import DeclaredFleet, Reply, running_fleet
from platform_standins import MODEL
from test_weights_burst import name_version, start_agents

from lacewinggw.decisions.routingview import RoutingView, RoutingViewRules
from lacewinggw.decisions.targetlist import TargetEntry
from lacewinggw.fleet.feed import DueVersion
from lacewinggw.lab.standin import Outage

pytestmark = pytest.mark.looptime

VERSION_S = 8.0  # until a named version must be in use
CLIENTS = 24


async def play(
    fleet: DeclaredFleet, first_s: float, pause_at_s: float, pause_s: float
) -> list[Reply]:
    """Name a version that no engine gets in time, and pause all engines near its bound."""
    engines = await start_agents(fleet)
    for engine in engines:
        engine.behaviour.first_s, engine.behaviour.pause_s = first_s, 0.05
    fleet.origin.faults.outage = Outage.REFUSE
    replies: list[Reply] = []
    is_over = False

    async def client(number: int) -> None:
        while not is_over:
            reply = await fleet.ask("/report/1", entry=number % 2, X_Model=MODEL)
            replies.append(reply)
            await asyncio.sleep(0.05 if reply.status == 200 else 0.3)

    name_version(fleet, 2)
    named_at = asyncio.get_running_loop().time()
    clients = [asyncio.ensure_future(client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(pause_at_s)
    for engine in engines:
        engine.pause(pause_s)
    await asyncio.sleep(VERSION_S + 1.5 - pause_at_s)
    fleet.origin.faults.outage = None
    await asyncio.sleep(8.0)
    is_over = True
    await asyncio.gather(*clients)
    late = [
        round(at - named_at, 2)
        for engine in engines
        for at, version in engine.begun
        if version < 2 and at > named_at + VERSION_S
    ]
    assert not late
    assert any(version == 2 for engine in engines for _, version in engine.begun)
    return replies


@pytest.mark.parametrize(
    ("first_s", "pause_at_s", "pause_s"),
    [
        (0.15, 7.0, 1.2),
        (0.15, 6.6, 1.5),
        (0.15, 7.4, 0.8),
        (1.1, 7.0, 0.01),
        (2.5, 6.0, 0.01),
    ],
)
async def test_no_run_begins_on_superseded_weights(first_s, pause_at_s, pause_s):
    async with running_fleet(engines=4, entries=2) as fleet:
        replies = await play(fleet, first_s, pause_at_s, pause_s)
        assert any(reply.status == 200 and reply.whole for reply in replies)


# Guards against a backup attempt that begins late, as it gets its target while the entry waits.
async def test_no_backup_attempt_begins_on_superseded_weights():
    async with running_fleet(engines=4, entries=1) as fleet:
        engines = await start_agents(fleet)
        for engine in engines:
            engine.behaviour.silent_after, engine.behaviour.events = 3, 100
        fleet.origin.faults.outage = Outage.REFUSE
        name_version(fleet, 2)
        named_at = asyncio.get_running_loop().time()
        await asyncio.sleep(5.6)
        asks = [asyncio.ensure_future(fleet.ask("/report/1", X_Model=MODEL)) for _ in range(2)]
        await asyncio.sleep(0.6)
        begun = sum(len(engine.begun) for engine in engines)
        for engine in engines:
            engine.behaviour.first_s, engine.behaviour.silent_after = 1.5, None
        await asyncio.sleep(4.0)
        assert begun == 2
        assert sum(len(engine.seen) for engine in engines) > 2, "there is a backup attempt"
        assert [at for engine in engines for at, _ in engine.begun if at > named_at + 8.0] == []
        await asyncio.gather(*asks)


async def assert_all_complete(fleet: DeclaredFleet, count: int) -> None:
    """Send `count` requests at once, and check that each gets its complete answer."""
    asks = [fleet.ask("/report/1", entry=number % 2, X_Model=MODEL) for number in range(count)]
    replies = await asyncio.gather(*asks)
    assert Counter((reply.status, reply.whole) for reply in replies) == {(200, True): count}


# Guards against runs that are ended although they began in time, or on the new weights.
async def test_runs_that_began_in_time_end_complete():
    async with running_fleet(engines=4, entries=2) as fleet:
        engines = await start_agents(fleet)
        for engine in engines:
            engine.behaviour.pause_s, engine.behaviour.events = 0.3, 12
        fleet.origin.faults.outage = Outage.REFUSE
        name_version(fleet, 2)
        await asyncio.sleep(6.0)
        await assert_all_complete(fleet, 8)


# Guards against a deadline that ends requests where all targets serve the new version.
async def test_a_slow_start_on_the_new_weights_is_not_ended():
    async with running_fleet(engines=4, entries=2) as fleet:
        engines = await start_agents(fleet)
        name_version(fleet, 2)
        await asyncio.sleep(7.3)
        assert [engine.weights[MODEL] for engine in engines] == [2] * 4
        for engine in engines:
            engine.behaviour.first_s = 1.5
        await assert_all_complete(fleet, 4)


def test_the_version_that_a_target_states_itself_decides_when_a_run_must_start():
    """The list may still have the weights that it held before."""
    view = RoutingView(RoutingViewRules())
    view.update_target(TargetEntry("a", "notes", "10.0.0.1:1", "hall", weights={MODEL: 2}))
    view.require_version(DueVersion(MODEL, 2), 100.0)
    assert view.start_deadline("a", MODEL) > 1000.0
    assert view.start_deadline("a", MODEL, held=1) == 107.5


def test_a_request_that_takes_longer_to_start_is_not_sent_as_late():
    view = RoutingView(RoutingViewRules())
    view.require_version(DueVersion(MODEL, 2), 100.0)
    assert [view.min_version(MODEL, 106.0, begin_s) for begin_s in (0.5, 2.0)] == [0, 2]
