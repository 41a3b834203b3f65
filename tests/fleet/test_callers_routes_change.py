"""Requests that run or wait for a target while the routes change: none is stranded or cut."""

import asyncio
from collections.abc import Callable
from contextlib import asynccontextmanager

import pytest
from crashing import add_engines
from declared_fleet import DeclaredFleet, Reply, running_fleet
from platform_standins import DESK, LLM, manifest

from lacewinggw.settings import default_settings

pytestmark = pytest.mark.looptime

EVENT_S = 0.15
STREAM_S = 5 * EVENT_S
CHANGE_AT_S = 0.3
SLOTS = 4
REQUESTS = 9  # the first run at once, the others wait for one or two streams


def report_route(routes: dict) -> dict:
    return next(route for route in routes["Routes"] if route["Name"] == "report")


def patient(version: int) -> dict:
    """Return routes with an objective that lets all the requests wait."""
    routes = manifest(version)
    report_route(routes)["TargetLatencyMs"] = 3000
    return routes


def drop_route(routes: dict) -> None:
    routes["Routes"] = [route for route in routes["Routes"] if route["Name"] != "report"]


def drop_service(routes: dict) -> None:
    drop_route(routes)
    routes["Services"] = [each for each in routes["Services"] if each["Name"] != LLM]


def keep_one_route(routes: dict) -> None:
    routes["Routes"] = [report_route(routes)]


def replace_account(routes: dict) -> None:
    routes["Tenants"] = [{"Name": "others", "ApiKeys": ["another"], "Priority": 1}]


def shrink_limits(routes: dict) -> None:
    limits = {"MaxHeaderBytes": 1000, "MaxBodyBytes": 0}
    routes["Limits"] = {**limits, "HeaderTimeoutMs": 100, "IdleTimeoutMs": 300}


def set_route(**changes: object) -> Callable[[dict], None]:
    return lambda routes: report_route(routes).update(changes)


CHANGES = {
    "route gone": drop_route,
    "service gone": drop_service,
    "one route left": keep_one_route,
    "account gone": replace_account,
    "smaller limits": shrink_limits,
    "another service": set_route(Service=DESK),
    "one attempt": set_route(Attempts=1),
    "shorter timeout": set_route(TimeoutMs=700),
}


async def play(
    fleet: DeclaredFleet, change: Callable[[dict], None], regions: list[str] | None = None
) -> list[tuple[Reply, float]]:
    """Send requests, change the routes, and return each reply with the time that it took.

    With `regions` the settings are reloaded as well, with these regions of places.
    """
    fleet.store.put("op", "config", patient(3))
    await asyncio.sleep(1.0)
    began = now()
    results: list[tuple[Reply, float]] = []

    async def ask(number: int) -> None:
        reply = await fleet.ask("/report/1", X_Model="market", body=b"%d" % number)
        results.append((reply, now() - began))

    asks = [asyncio.ensure_future(ask(number)) for number in range(REQUESTS)]
    await asyncio.sleep(CHANGE_AT_S)
    routes = patient(4)
    change(routes)
    fleet.store.put("op", "config", routes)
    if regions is not None:
        settings = default_settings()
        settings.fleet.regions = regions
        fleet.entries[0].apply(settings)
    await asyncio.gather(*asks)
    return results


@asynccontextmanager
async def one_engine(has_agent: bool):
    """Run a fleet with one engine, whose requests wait at its agent or in the entry."""
    async with running_fleet(desks=1, engines=0 if has_agent else 1) as fleet:
        if has_agent:
            await add_engines(fleet, 1, pause_s=EVENT_S, places=("hall",))
        behaviour = fleet.targets["engine0"].behaviour
        behaviour.pause_s, behaviour.room, behaviour.events = EVENT_S, SLOTS, 5
        yield fleet


# Guards against requests that wait on for something that a change of the routes has taken away.
@pytest.mark.parametrize("has_agent", [False, True], ids=["queue", "agent"])
@pytest.mark.parametrize("change", CHANGES.values(), ids=CHANGES.keys())
async def test_requests_are_served_as_before_the_change(change, has_agent):
    async with one_engine(has_agent) as fleet:
        results = await play(fleet, change)
    assert all(reply.status == 200 and reply.whole for reply, _ in results)
    last = max(took_s for _, took_s in results)
    assert last == pytest.approx(3 * STREAM_S, abs=0.1)


@pytest.mark.parametrize("has_agent", [False, True], ids=["queue", "agent"])
@pytest.mark.parametrize("regions", [[], ["hall:south"], ["hall:north", "room:south"]])
async def test_requests_are_served_as_before_settings_are_reloaded(regions, has_agent):
    async with one_engine(has_agent) as fleet:
        results = await play(fleet, set_route(TimeoutMs=5000), regions)
    assert all(reply.status == 200 and reply.whole for reply, _ in results)


@pytest.mark.parametrize("has_agent", [False, True], ids=["queue", "agent"])
async def test_requests_whose_home_region_changes_are_refused_at_once(has_agent):
    async with one_engine(has_agent) as fleet:
        results = await play(fleet, set_route(HomeRegions=["south"]))
    refused = [took_s for reply, took_s in results if reply.status == 503 and reply.whole]
    assert len(refused) == REQUESTS - SLOTS and max(refused) < CHANGE_AT_S + 0.1
    assert sum(reply.status == 200 and reply.whole for reply, _ in results) == SLOTS


def now() -> float:
    return asyncio.get_running_loop().time()
