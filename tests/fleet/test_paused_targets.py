"""Targets that are sound fall silent for a second or two and go on: no answer ends for it."""

import asyncio
from collections import Counter

import pytest
from declared_fleet import DeclaredFleet, Reply, running_fleet
from platform_standins import LLM, manifest, target_row

pytestmark = pytest.mark.looptime

EVENTS = 40
EVENT_S = 0.05  # so that streams run for 2 s
STREAM = b"".join(
    f"id: {number}\ndata: piece {number}\n\n".encode() for number in range(1, EVENTS + 1)
)
OTHER_ATTEMPTS = [
    {**route, "Attempts": 1, "TimeoutMs": 3000} for route in manifest(3)["Routes"]
]  # a change of the routes while requests run


def set_up(fleet: DeclaredFleet) -> None:
    for target in fleet.targets.values():
        target.behaviour.events, target.behaviour.pause_s = EVENTS, EVENT_S


async def stream_during_pause(
    fleet: DeclaredFleet, count: int, paused: int, pause_s: float, begun_s: float
) -> list[Reply]:
    """Send `count` requests; after `begun_s` pause the first `paused` engines."""
    asks = [
        asyncio.ensure_future(fleet.ask("/report/1", X_Model="market", entry=number % 2))
        for number in range(count)
    ]
    await asyncio.sleep(begun_s)
    for number in range(paused):
        fleet.targets[f"engine{number}"].pause(pause_s)
    return await asyncio.gather(*asks)


def assert_answered(replies: list[Reply]) -> None:
    """Check that each caller got its complete answer, or was refused before its request began."""
    ends = Counter((reply.status, reply.whole) for reply in replies)
    assert set(ends) <= {(200, True), (503, True)}, ends
    assert all(reply.body == STREAM for reply in replies if reply.status == 200)
    assert ends[200, True] >= min(len(replies), 12)


@pytest.mark.parametrize("begun_s", [0.0, 0.5])
@pytest.mark.parametrize("pause_s", [0.8, 1.5, 2.5])
@pytest.mark.parametrize("paused", [1, 4])
@pytest.mark.parametrize("count", [2, 12, 60])
async def test_no_answer_is_closed_while_targets_pause(count, paused, pause_s, begun_s):
    async with running_fleet(engines=4, entries=2) as fleet:
        set_up(fleet)
        assert_answered(await stream_during_pause(fleet, count, paused, pause_s, begun_s))


@pytest.mark.parametrize("pause_s", [1.5, 2.5])
async def test_no_answer_is_closed_while_targets_pause_and_routes_change(pause_s):
    async with running_fleet(engines=4, entries=2) as fleet:
        set_up(fleet)
        changing = asyncio.get_running_loop().call_later(
            0.6, fleet.store.put, "op", "config", manifest(3, Routes=OTHER_ATTEMPTS)
        )
        assert_answered(await stream_during_pause(fleet, 12, 4, pause_s, 0.5))
        changing.cancel()


async def test_an_answer_goes_on_at_its_paused_target_if_no_other_has_its_version():
    async with running_fleet(engines=2) as fleet:
        set_up(fleet)
        asked = asyncio.ensure_future(fleet.ask("/report/1", X_Model="market"))
        await asyncio.sleep(0.5)
        (begun,) = [name for name, target in fleet.targets.items() if target.running]
        for name, target in fleet.targets.items():
            if target.target_id.startswith("i-engine") and name != begun:
                rows = [{"Name": "market", "Version": 2, "Adapters": []}]
                row = target_row(LLM, target.address, Models=rows)
                fleet.store.put("servers", target.target_id, row)
                target.weights = {"market": 2}
        fleet.targets[begun].pause(2.0)
        assert_answered([await asked])


async def test_an_answer_goes_on_at_its_paused_target_if_no_retry_is_left():
    async with running_fleet(engines=4, entries=2) as fleet:
        set_up(fleet)
        fleet.store.put("op", "config", manifest(3))
        for entry in fleet.entries:
            entry._settings.fleet.retry_percent = 0
            entry._settings.fleet.extra_retries = 0
        assert_answered(await stream_during_pause(fleet, 16, 4, 2.0, 0.5))


@pytest.mark.parametrize("pause_s", [1.0, 2.0])
async def test_a_resumed_answer_is_not_closed_while_its_second_target_pauses(pause_s):
    async with running_fleet(engines=2) as fleet:
        set_up(fleet)
        asked = asyncio.ensure_future(fleet.ask("/report/1", X_Model="market"))
        await asyncio.sleep(0.5)
        (begun,) = [target for target in fleet.targets.values() if target.running]
        others = [target for target in fleet.targets.values() if target is not begun]
        begun.pause(1.5)
        await asyncio.sleep(1.25)
        for target in others:
            target.pause(pause_s)
        begun.pause(pause_s)
        assert_answered([await asked])


async def test_an_idempotent_request_gets_its_answer_from_targets_that_pause():
    async with running_fleet(desks=2) as fleet:
        for name in ("desk0", "desk1"):
            fleet.targets[name].pause(0.9)
        replies = await asyncio.gather(*(fleet.ask("/tally/1", "GET") for _ in range(4)))
        assert [reply.status for reply in replies] == [200] * 4


async def test_a_target_that_stays_silent_is_replaced_before_its_caller_leaves():
    async with running_fleet(engines=3) as fleet:
        set_up(fleet)
        asked = asyncio.ensure_future(fleet.ask("/report/1", X_Model="market"))
        await asyncio.sleep(0.5)
        (begun,) = [target for target in fleet.targets.values() if target.running]
        begun.pause(60.0)
        began = asyncio.get_running_loop().time()
        assert_answered([await asked])
        assert asyncio.get_running_loop().time() - began < 2.0 + EVENTS * EVENT_S


async def test_a_target_that_pauses_until_its_weights_are_too_old_is_not_counted_as_failing():
    async with running_fleet(engines=1) as fleet:
        set_up(fleet)
        fleet.store.put("op", "version/market", {"Model": "market", "Version": 2})
        await asyncio.sleep(6.0)  # 8 s after the version is named nothing may start on version 1
        fleet.targets["engine0"].pause(3.0)
        reply = await fleet.ask("/report/1", X_Model="market")
        assert reply.status in (502, 504) and reply.whole
        (load,) = [each for each in fleet.entries[0].pool.loads.values() if each.begun]
        assert load.health.consecutive_failures == 0


async def test_a_stream_that_breaks_while_its_backup_finds_no_target_is_resumed():
    async with running_fleet(engines=2) as fleet:
        set_up(fleet)
        asked = asyncio.ensure_future(fleet.ask("/report/1", X_Model="market"))
        await asyncio.sleep(0.5)
        (begun,) = [target for target in fleet.targets.values() if target.running]
        (other,) = [
            target
            for name, target in fleet.targets.items()
            if name.startswith("engine") and target is not begun
        ]
        begun.pause(60.0)
        loads = fleet.entries[0].pool.loads.values()
        (load,) = [each for each in loads if each.entry.address == other.address]
        load.full_until = asyncio.get_running_loop().time() + 3.0
        await asyncio.sleep(1.3)  # the backup attempt waits for the other target by now
        await begun.close()
        assert_answered([await asked])


# Guards against free targets that go on after a pause and are passed over for another second.
@pytest.mark.parametrize("begun_s", [0.0, 0.5])
@pytest.mark.parametrize("pause_s", [1.3, 1.5, 1.8])
async def test_targets_take_requests_again_once_they_go_on(pause_s, begun_s):
    async with running_fleet(engines=8, entries=2) as fleet:
        set_up(fleet)
        loop, waits = asyncio.get_running_loop(), []

        async def ask(number: int) -> Reply:
            began = loop.time()
            reply = await fleet.ask("/report/2", X_Model="market", entry=number % 2)
            waits.append(loop.time() - began - EVENTS * EVENT_S)
            return reply

        begun = asyncio.ensure_future(stream_during_pause(fleet, 16, 8, pause_s, begun_s))
        await asyncio.sleep(begun_s + pause_s + 0.1)
        asks = []
        for number in range(30):
            asks.append(asyncio.ensure_future(ask(number)))
            await asyncio.sleep(0.04)
        replies = await asyncio.gather(*asks)
        assert Counter(reply.status for reply in replies) == {200: 30}
        assert max(waits) < 0.1
        assert_answered(await begun)


async def test_an_answer_that_keeps_arriving_gets_no_backup_attempt():
    async with running_fleet(desks=2) as fleet:
        routes = [{**route, "TimeoutMs": 6000} for route in manifest(3)["Routes"]]
        fleet.store.put("op", "config", manifest(3, Routes=routes))
        await asyncio.sleep(0.5)
        for name in ("desk0", "desk1"):
            behaviour = fleet.targets[name].behaviour
            behaviour.body_pieces, behaviour.pause_s = 20, 0.15
        reply = await fleet.ask("/tally/1", "GET")
        assert reply.status == 200 and reply.body.endswith(b"." * 19)
        assert sum(len(target.seen) for target in fleet.targets.values()) == 1


async def test_an_attempt_whose_call_is_cancelled_ends_its_request_at_once():
    async with running_fleet(engines=1) as fleet:

        async def send(*_: object) -> None:
            raise asyncio.CancelledError

        fleet.entries[0].relay._deps.offers.send = send
        reply = await fleet.ask("/report/1", X_Model="market", leave_after_s=1.0)
        assert reply.status == 500 and reply.whole
