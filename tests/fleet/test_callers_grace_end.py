"""Requests that are not answered when the grace period of a leaving entry ends."""

import asyncio
import dataclasses
import random
import time

import pytest
from declared_fleet import DeclaredFleet, Reply, running_fleet
from platform_standins import KEY, manifest
from structlog.testing import capture_logs

from lacewinggw.settings import default_settings

pytestmark = pytest.mark.looptime

GRACE_MS = 4000


class FullPlacer:
    """Lets each request wait for a target."""

    async def claim(self, progress):
        await asyncio.sleep(3600)


async def drain(fleet: DeclaredFleet) -> None:
    """Drain the entry with a short grace period, as after a SIGTERM."""
    settings = default_settings()
    settings.fleet.grace_ms = GRACE_MS
    entry = fleet.entries[0]
    entry.apply(settings)
    await entry.drain()


async def ask_beside_drain(fleet: DeclaredFleet, path: str) -> tuple[Reply, list[dict]]:
    """Send a request shortly before the drain; return the reply and the lines about it."""
    with capture_logs() as logs:
        model = {"X_Model": "market"} if path.startswith("/report") else {}
        reply = asyncio.ensure_future(fleet.ask(path, X_Attempt_Id="r1", **model))
        await asyncio.sleep(0.5)
        await drain(fleet)
        return await reply, [line for line in logs if line.get("request_id") == "r1"]


# Guards against requests that end without an answer because the entry stops.
async def test_a_request_that_still_waits_for_a_target_is_refused(monkeypatch):
    async with running_fleet() as fleet:
        relay = fleet.entries[0].relay
        full = dataclasses.replace(relay._deps, placer=FullPlacer())
        monkeypatch.setattr(relay, "_deps", full)
        reply, lines = await ask_beside_drain(fleet, "/report/1")
        assert reply.status == 503 and reply.whole and b"not-run" in reply.body
        assert reply.headers["connection"] == "close" and float(reply.headers["retry-after"]) < 1
        assert [line["event"] for line in lines] == ["request_refused"]


async def test_a_request_that_a_target_has_not_answered_gets_an_error():
    async with running_fleet(desks=1) as fleet:
        routes = [{**route, "TimeoutMs": 6000} for route in manifest(3)["Routes"]]
        fleet.store.put("op", "config", manifest(3, Routes=routes))
        await asyncio.sleep(0.5)
        fleet.targets["desk0"].behaviour.silent = 1
        reply, lines = await ask_beside_drain(fleet, "/sheet/1")
        assert reply.status == 502 and reply.whole and b"unknown" in reply.body
        assert lines[-1]["event"] == "request_failed" and not lines[-1]["cut"]


async def test_a_stream_that_has_begun_is_cut_and_logged():
    async with running_fleet(engines=1) as fleet:
        fleet.targets["engine0"].behaviour.events = 100
        fleet.targets["engine0"].behaviour.pause_s = 0.1
        reply, lines = await ask_beside_drain(fleet, "/report/1")
        assert reply.status == 200 and not reply.whole
        assert lines[-1]["event"] == "request_failed" and lines[-1]["cut"]


async def test_a_request_that_has_arrived_in_part_is_refused():
    async with running_fleet(desks=1) as fleet:
        draining = asyncio.ensure_future(drain(fleet))
        await asyncio.sleep(1.0)
        sent = b"POST /sheet/1 HTTP/1.1\r\nHost: notes.example\r\nContent-Length: 9\r\n\r\nbody"
        reply = await fleet.send(sent)
        assert reply.status == 503 and reply.whole and b"not-run" in reply.body
        await draining


async def test_a_request_in_progress_gets_an_error_when_the_drain_is_cut_short():
    async with running_fleet(desks=1) as fleet:
        fleet.targets["desk0"].behaviour.silent = 1
        reply = asyncio.ensure_future(fleet.ask("/sheet/1"))
        await asyncio.sleep(0.2)
        await fleet.entries.pop().close()
        assert (await reply).status == 502 and (await reply).whole


# Guards against a drain that takes longer than a short grace period, so that the process is killed
# with its requests, and against one that cuts requests long before the period ends.
@pytest.mark.parametrize("grace_s", [1.0, 2.0, 4.0, 8.0])
async def test_requests_have_most_of_the_grace_period(grace_s):
    async with running_fleet(desks=1) as fleet:
        routes = [{**route, "TimeoutMs": 20000} for route in manifest(3)["Routes"]]
        fleet.store.put("op", "config", manifest(3, Routes=routes))
        await asyncio.sleep(0.5)
        fleet.targets["desk0"].behaviour.pause_s = 5 / 6 * grace_s
        settings = default_settings()
        settings.fleet.grace_ms = round(1000 * grace_s)
        fleet.entries[0].apply(settings)
        reply = asyncio.ensure_future(fleet.ask("/sheet/1", left_ms=20000))
        await asyncio.sleep(0.01)
        async with asyncio.timeout(grace_s):
            await fleet.entries[0].drain()
        assert (await reply).status == 200


# ---- requests whose body ends late -----------------------------------------------------------

DRAIN_S = 8.0  # as on the platform
SENT_LIMIT_S = 3.0  # requests that are sent later must be able to end in the grace period
PATHS = {"sheet": "/sheet/1", "tally": "/tally/1", "stream": "/reports/1", "resumable": "/report/1"}


async def send_in_parts(
    fleet: DeclaredFleet, path: str, head_at: float, body_at: float, limit_ms: int
) -> Reply:
    """Send the head of a request at one time and its body at another, by the loop's clock."""
    now = asyncio.get_running_loop().time
    stream = await fleet.network.view("10.200.0.1").connect("10.1.0.1:8005")
    head = (
        f"POST {path} HTTP/1.1\r\nHost: notes.example\r\nX-Attempt-Id: late\r\nX-Key: {KEY}\r\n"
        f"X-Model: market\r\nX-Deadline-Remaining: {limit_ms}\r\nContent-Length: 4\r\n\r\n"
    )
    await asyncio.sleep(head_at - now())
    stream.write(head.encode() + b"bo")
    await asyncio.sleep(body_at - now())
    stream.write(b"dy")
    return await fleet.receive(stream)


async def ask_late(path: str, head_s: float, body_s: float, limit_ms: int, answer_s: float):
    """Return the reply to a request sent in parts beside a drain, and how many runs it had.

    Times are from the start of the drain.
    """
    async with running_fleet(desks=1, engines=1) as fleet:
        routes = [{**route, "TimeoutMs": 20000} for route in manifest(3)["Routes"]]
        stream = {**routes[0], "Name": "note", "Prefix": "/reports/", "ResumeStreams": False}
        limits = {**manifest(3)["Limits"], "HeaderTimeoutMs": 5000}
        fleet.store.put("op", "config", manifest(3, Routes=[*routes, stream], Limits=limits))
        await asyncio.sleep(1.0)
        for target in fleet.targets.values():
            target.behaviour.pause_s = answer_s if target.target_id == "i-desk0" else answer_s / 5
        settings = default_settings()
        settings.fleet.grace_ms = round(1000 * DRAIN_S)
        fleet.entries[0].apply(settings)
        began = asyncio.get_running_loop().time()
        asked = asyncio.ensure_future(
            send_in_parts(fleet, path, began + head_s, began + body_s, limit_ms)
        )
        await asyncio.sleep(0)
        await fleet.entries[0].drain()
        took_s = asyncio.get_running_loop().time() - began
        assert took_s <= DRAIN_S
        return await asked, sum(len(target.seen) for target in fleet.targets.values())


# Guards against requests that are passed on although they cannot end before the entry stops: they
# were cut, and those that may run once got no answer after they had run.
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("body_s", [3.1, 5.0, 6.4])
@pytest.mark.parametrize("head_s", [2.0, 2.4])
async def test_a_request_that_ends_late_and_may_be_cut_is_refused(path, head_s, body_s):
    reply, runs = await ask_late(PATHS[path], head_s, body_s, limit_ms=6100, answer_s=4.0)
    assert (reply.status, reply.whole, runs) == (503, True, 0)
    assert b"not-run" in reply.body and float(reply.headers["retry-after"]) < 1
    assert reply.headers["connection"] == "close"


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize(
    ("head_s", "body_s", "limit_ms"),
    [(2.4, 2.9, 6100), (0.5, 2.9, 6100), (2.0, 3.1, 4000), (2.4, 5.0, 4000), (2.4, 3.5, 1500)],
)
async def test_a_request_that_ends_late_is_served_if_it_can_end(path, head_s, body_s, limit_ms):
    reply, runs = await ask_late(PATHS[path], head_s, body_s, limit_ms, answer_s=0.2)
    assert (reply.status, reply.whole, runs) == (200, True, 1)


async def test_no_request_that_is_sent_late_is_cut_at_random_times():
    rng = random.Random(7)
    for _ in range(60):
        path = PATHS[rng.choice(list(PATHS))]
        head_s = rng.uniform(0.0, 2.45)
        body_s = head_s + rng.uniform(0.0, 4.5)
        limit_ms, answer_s = rng.randrange(500, 7000), rng.uniform(0.0, 6.0)
        case = (path, head_s, body_s, limit_ms, answer_s)
        reply, runs = await ask_late(*case)
        is_whole = reply.whole and reply.status in (200, 503, 504)
        may_be_cut = body_s <= SENT_LIMIT_S or body_s - head_s > limit_ms / 1000
        # A stream that reaches its time limit has been cut at it.
        is_at_limit = head_s + limit_ms / 1000 < DRAIN_S - 0.7
        assert is_whole or may_be_cut or is_at_limit, case
        assert reply.status != 503 or not runs, case


# Guards against a grace period that begins anew once the event loop is free again: the process was
# killed with its requests.
@pytest.mark.looptime(False)  # the event loop has to be blocked
async def test_a_drain_ends_in_time_although_the_event_loop_was_busy():
    async with running_fleet(desks=1, engines=0) as fleet:
        routes = [{**route, "TimeoutMs": 6000} for route in manifest(3)["Routes"]]
        fleet.store.put("op", "config", manifest(3, Routes=routes))
        await asyncio.sleep(0.5)
        settings = default_settings()
        settings.fleet.grace_ms = 2000
        fleet.entries[0].apply(settings)
        fleet.targets["desk0"].behaviour.silent = 1
        asked = asyncio.ensure_future(fleet.ask("/sheet/1"))
        await asyncio.sleep(0.1)
        asyncio.get_running_loop().call_later(0.3, time.sleep, 1.2)
        began = asyncio.get_running_loop().time()
        await fleet.entries[0].drain()
        assert asyncio.get_running_loop().time() - began < 2.0
        assert (await asked).whole
