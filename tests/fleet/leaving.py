"""Checks of the requests that entries still send to targets that leave or ask for a back-off."""

from declared_fleet import DeclaredFleet
from limiting import Played
from platform_standins import TargetStandIn, manifest

DRAIN_S = 2.0  # allowed after an entry has passed on that a target leaves
BACKOFF_SLACK_S = 0.5  # for requests in flight when a target asks for a back-off
BACKOFF_EXTRA = 2
PLACES = ("hall", "room", "shed")


async def add_entries(fleet: DeclaredFleet, count: int) -> None:
    """Add entries in three places."""
    for number in range(count):
        await fleet.add_entry(number + 1, PLACES[number % len(PLACES)])


def let_anybody_in(fleet: DeclaredFleet, version: int = 3) -> None:
    """Make all routes accept requests without a key: keys soon expire without the store."""
    routes = [{**route, "AllowAnonymous": True} for route in manifest(version)["Routes"]]
    fleet.store.put("op", "config", manifest(version, Routes=routes))


def assert_no_requests_after_leaving(
    target: TargetStandIn, played: Played, target_id: str = ""
) -> None:
    """Assert that no entry sent a target requests `DRAIN_S` after passing on that it leaves."""
    target_id = target_id or target.target_id
    late = [
        (at, via)
        for at, request in zip(target.seen_at, target.seen, strict=True)
        if (via := request.headers.get("x-via", "")) is not None
        and request.headers.get("x-expected-instance") == target_id
        and at > played.left_at.get((via, target_id), at) + DRAIN_S
    ]
    assert not late, f"{len(late)} requests reached {target_id}, the first at {late[0]}"


def assert_backoff_kept(target: TargetStandIn, retry_after_s: float) -> None:
    """Assert that each entry asked for a back-off sent at most `BACKOFF_EXTRA` requests in it."""
    arrived = [
        (at, request.headers.get("x-via", ""))
        for at, request in zip(target.seen_at, target.seen, strict=True)
    ]
    for rejected_at, via in target.turned_away:
        since, until = rejected_at + BACKOFF_SLACK_S, rejected_at + retry_after_s
        count = sum(via == sender and since < at < until for at, sender in arrived)
        assert (
            count <= BACKOFF_EXTRA
        ), f"{count} requests by entry {via} in {retry_after_s} s of back-off"
