"""Requests that are not answered when the grace period of a leaving entry ends."""

import asyncio
import dataclasses

import pytest
from declared_fleet import DeclaredFleet, Reply, running_fleet
from platform_standins import manifest
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
