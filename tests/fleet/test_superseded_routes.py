"""Guards against requests that are handled by routes known to be superseded.

An entry handled requests by each route that it had cached. While a newer version was on its way,
they ran on a service from which their route had been moved, or on a route that was removed.
"""

import asyncio
from dataclasses import replace

import pytest
from declared_fleet import DeclaredFleet
from platform_standins import KEY, manifest
from test_narrow_border import (
    IN_FORCE_S,
    SHORTEST_IN_FORCE_S,
    STORE_IP,
    large_routes,
    regional_fleet,
)

from lacewinggw.decisions.routingview import ANNOUNCED_RETENTION_S

pytestmark = pytest.mark.looptime

CHECKED_S = 6.0  # from the bound on
INTERVAL_S = 0.25
LEAST_SERVED_SHARE = 0.9  # of requests on routes that did not change
FAR = (2, 3, 4, 5)  # numbers of the entries beyond the border
NEW_SERVICE = "bureau"
MOVED, REMOVED, SAME = "/tally/", "/sheet/", "/kept/"


def make_routes(version: int, anonymous: bool, is_changed: bool) -> dict:
    """Return routes of which one has moved, one is removed and one stays, with 700 added."""
    routes = large_routes(version, extra=700) if is_changed else manifest(version)
    for route in routes["Routes"]:
        route["AllowAnonymous"] = anonymous
    tally = next(each for each in routes["Routes"] if each["Prefix"] == MOVED)
    routes["Routes"].append({**tally, "Name": "kept", "Prefix": SAME})
    routes["Services"].append({"Name": NEW_SERVICE, "HealthPath": "/h", "ConnectionLimit": 50})
    if is_changed:
        tally["Service"] = NEW_SERVICE
        routes["Routes"] = [each for each in routes["Routes"] if each["Prefix"] != REMOVED]
    return routes


def answered_by(reply) -> str:
    return reply.body.decode().removeprefix("answer of i-") if reply.status == 200 else ""


async def ask_far(fleet: DeclaredFleet, path: str, key: str, until: float) -> list[list]:
    """Ask each far entry at an interval until a time; return the replies by entry."""

    async def ask_one(entry: int) -> list:
        replies = []
        while asyncio.get_running_loop().time() < until:
            replies.append(await fleet.ask(f"{path}1", entry=entry, X_Key=key))
            await asyncio.sleep(INTERVAL_S)
        return replies

    return await asyncio.gather(*(ask_one(entry) for entry in FAR))


@pytest.mark.parametrize("is_cut_off", [True, False])
@pytest.mark.parametrize("anonymous", [True, False])
@pytest.mark.parametrize("apply_s", [SHORTEST_IN_FORCE_S, IN_FORCE_S])
async def test_requests_are_not_handled_by_routes_known_to_be_superseded(
    apply_s, anonymous, is_cut_off
):
    for border_bytes_per_s in (12_000, 20_000):
        await change_routes(border_bytes_per_s, apply_s, anonymous, is_cut_off)


async def change_routes(
    border_bytes_per_s: float, apply_s: float, anonymous: bool, is_cut_off: bool
) -> None:
    """Change routes across a border, and check what the entries beyond it handle from then on."""
    async with regional_fleet({"hall": 2, "room": 4}, border_bytes_per_s) as fleet:
        for number in range(2):
            await fleet.add_target(f"bureau{number}", NEW_SERVICE, f"10.3.1.{number + 1}")
        for entry in fleet.entries:
            entry.knowledge.rules = replace(entry.knowledge.rules, apply_s=apply_s)
        fleet.store.put("op", "config", make_routes(4, anonymous, is_changed=False))
        await asyncio.sleep(8.0)
        if is_cut_off:
            for number in FAR:
                fleet.network.cut(f"10.1.0.{number + 1}", STORE_IP)
            await asyncio.sleep(1.0)
        key = "" if anonymous else KEY
        fleet.store.put("op", "config", make_routes(5, anonymous, is_changed=True))
        began = asyncio.get_running_loop().time()
        until = began + apply_s + CHECKED_S
        same = asyncio.ensure_future(ask_far(fleet, SAME, key, until))
        await asyncio.sleep(apply_s)
        moved, removed = await asyncio.gather(
            ask_far(fleet, MOVED, key, until), ask_far(fleet, REMOVED, key, until)
        )
        late = [
            reply for replies in moved for reply in replies if answered_by(reply).startswith("desk")
        ]
        late += [reply for replies in removed for reply in replies if reply.status == 200]
        assert len(late) == 0
        for replies in await same:
            served = sum(reply.status == 200 for reply in replies)
            assert served >= LEAST_SERVED_SHARE * len(replies), [each.status for each in replies]


async def test_routes_are_used_while_nobody_knows_of_newer_ones():
    async with regional_fleet({"hall": 2, "room": 4}, 1_000_000) as fleet:
        for number in FAR:
            for ip in (STORE_IP, "10.1.0.1", "10.1.0.2"):
                fleet.network.cut(f"10.1.0.{number + 1}", ip)
        fleet.store.put("op", "config", make_routes(4, anonymous=False, is_changed=True))
        replies = await ask_far(fleet, MOVED, KEY, asyncio.get_running_loop().time() + 2.0)
        assert all(reply.status == 200 for each in replies for reply in each)


async def test_routes_are_used_again_when_all_that_had_newer_ones_are_gone():
    """Guards against an entry that waits for a version that the store and all entries have lost."""
    async with regional_fleet({"hall": 2, "room": 4}, 1_000_000) as fleet:
        fleet.store.put("op", "config", make_routes(4, anonymous=True, is_changed=False))
        await asyncio.sleep(3.0)
        for number in FAR:
            fleet.network.cut(f"10.1.0.{number + 1}", STORE_IP)
            fleet.entries[number].knowledge.update_routes = lambda table: False
        await asyncio.sleep(1.0)
        fleet.store.put("op", "config", make_routes(5, anonymous=True, is_changed=True))
        await asyncio.sleep(IN_FORCE_S)
        end = asyncio.get_running_loop().time() + 0.5
        replies = await ask_far(fleet, MOVED, "", end)
        assert all(reply.status == 503 for each in replies for reply in each)
        for number in FAR:
            for ip in ("10.1.0.1", "10.1.0.2"):
                fleet.network.cut(f"10.1.0.{number + 1}", ip)
        await asyncio.sleep(ANNOUNCED_RETENTION_S + 1.0)
        replies = await ask_far(fleet, MOVED, "", asyncio.get_running_loop().time() + 0.5)
        assert all(answered_by(reply).startswith("desk") for each in replies for reply in each)
