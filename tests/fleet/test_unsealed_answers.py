"""Successes of targets without the response seal, which is missing or misspelt.

Guards against passing them on: streams reached callers as complete successes without a seal, and
limits and other statements in their heads were applied.
"""

import asyncio
import itertools
from dataclasses import dataclass

import pytest
from declared_fleet import DeclaredFleet, Reply, running_fleet
from platform_standins import DESK, LLM, manifest
from raw_targets import RawRequest, RawTarget

from lacewinggw.wire.network import Stream

pytestmark = pytest.mark.looptime

EVENTS = [f"id: {number}\ndata: piece {number}\n\n".encode() for number in range(1, 6)]
SPOILER = "i-spoiler"
SEAL = "x-response-seal"
ANSWER_S = 0.2  # so that a sound target is listed by the time of a spoilt answer


@dataclass(frozen=True)
class Route:
    """A route of the fleet and the service that it leads to."""

    path: str
    service: str
    may_repeat: bool = True

    @property
    def body(self) -> bytes:
        """The body of a spoiler's answer."""
        return b"".join(EVENTS) if self.service == LLM else b"spoilt"


STREAM = Route("/report/1", LLM)
REPEATABLE = Route("/tally/1", DESK)
ONCE = Route("/sheet/1", DESK, may_repeat=False)

SEALS = {
    "missing": "",
    "misspelt": "X-Response-Seam: seal\r\n",
    "empty": "X-Response-Seal: \r\n",
    "blank": "X-Response-Seal:  \t\r\n",
}
FRAMINGS = {
    "length": ("Content-Length: {size}\r\n", "{body}"),
    "chunks": ("Transfer-Encoding: chunked\r\n", "{size:x}\r\n{body}\r\n0\r\n\r\n"),
    "neither": ("Connection: close\r\n", "{body}"),
}


def spoiler(
    body: bytes, seal: str = "", framing: str = "length", status: str = "200 OK", extra: str = ""
) -> RawTarget:
    """Return a target that answers each request with a success without a valid seal."""
    head, framed = FRAMINGS[framing]

    async def answer(stream: Stream, request: RawRequest) -> None:
        text = body.decode()
        await asyncio.sleep(ANSWER_S)
        stream.write(
            f"HTTP/1.1 {status}\r\nX-Attempt-Id: {request.attempt_id}\r\n"
            f"X-Weight-Versions: 1\r\n{seal}{extra}{head.format(size=len(body))}\r\n"
            f"{framed.format(size=len(body), body=text)}".encode()
        )
        await stream.drain()

    return RawTarget(SPOILER, answer)


async def ask_spoiler(fleet: DeclaredFleet, route: Route, target: RawTarget) -> Reply:
    """Return the reply to a request whose first target is the spoiler, beside a sound one."""
    await target.start(fleet, route.service, "10.4.0.1")
    await asyncio.sleep(2.0)
    asked = asyncio.ensure_future(fleet.ask(route.path, X_Model="market", left_ms=3000))
    while not target.requests:  # noqa: ASYNC110
        await asyncio.sleep(0.001)
    await fleet.add_target("sound", route.service, "10.4.0.2")
    return await asked


def assert_sealed(reply: Reply) -> None:
    """Check that a success has a seal; an answer that has begun as one has it as well."""
    assert reply.status >= 400 or reply.headers.get(SEAL, "").strip(), reply


@pytest.mark.parametrize(
    ("seal", "framing", "route"),
    list(itertools.product(SEALS, FRAMINGS, [STREAM, REPEATABLE, ONCE])),
)
async def test_a_success_without_a_seal_reaches_no_caller(seal, framing, route):
    async with running_fleet(desks=0, engines=0) as fleet:
        target = spoiler(route.body, SEALS[seal], framing)
        reply = await ask_spoiler(fleet, route, target)
        assert_sealed(reply)
        assert (reply.status, reply.whole) == (200 if route.may_repeat else 502, True)
        assert len(target.requests) == 1


@pytest.mark.parametrize("status", ["201 Created", "202 Accepted", "204 No Content", "302 Found"])
@pytest.mark.parametrize("route", [STREAM, REPEATABLE, ONCE])
async def test_another_success_without_a_seal_reaches_no_caller(route, status):
    async with running_fleet(desks=0, engines=0) as fleet:
        body = b"" if status.startswith("204") else route.body
        reply = await ask_spoiler(fleet, route, spoiler(body, status=status))
        assert reply.status == (200 if route.may_repeat else 502)
        assert_sealed(reply)


async def test_a_stream_is_not_resumed_from_an_answer_without_a_seal():
    async with running_fleet(desks=0, engines=1) as fleet:
        fleet.targets["engine0"].behaviour.cut_after = 2
        fleet.targets["engine0"].behaviour.pause_s = 0.1
        target = spoiler(b"".join(EVENTS[2:]).replace(b"piece", b"spoilt"))
        asked = asyncio.ensure_future(fleet.ask(STREAM.path, X_Model="market"))
        await asyncio.sleep(0.1)
        await target.start(fleet, LLM, "10.4.0.1")
        reply = await asked
        assert_sealed(reply)
        assert target.requests
        assert b"spoilt" not in reply.body
        assert not reply.whole or reply.body == b"".join(EVENTS)


async def test_a_backup_attempt_without_a_seal_delivers_nothing():
    async with running_fleet(desks=1, engines=0) as fleet:
        routes = [{**route, "TimeoutMs": 6000} for route in manifest(3)["Routes"]]
        fleet.store.put("op", "config", manifest(3, Routes=routes))
        await asyncio.sleep(0.5)
        fleet.targets["desk0"].behaviour.pause_s = 2.0
        target = spoiler(REPEATABLE.body)
        asked = asyncio.ensure_future(fleet.ask(REPEATABLE.path, X_Model="market"))
        await asyncio.sleep(0.1)
        await target.start(fleet, DESK, "10.4.0.1")
        reply = await asked
        assert target.requests
        assert (reply.status, reply.body) == (200, b"answer of i-desk0")


async def test_an_error_that_is_kept_goes_out_with_its_own_seal():
    async with running_fleet(desks=1, engines=0) as fleet:
        fleet.targets["desk0"].behaviour.errors = 100
        target = spoiler(REPEATABLE.body)
        await target.start(fleet, DESK, "10.4.0.1")
        await asyncio.sleep(2.0)
        replies = [await fleet.ask(REPEATABLE.path) for _ in range(8)]
        assert target.requests
        for reply in replies:
            assert (reply.status, reply.headers.get(SEAL)) in [
                (500, "seal-of-i-desk0"),
                (502, None),
            ]


STATEMENTS = "Server-Limit: 0.5\r\nServer-Leaving: 1\r\nX-Cold-Remaining: 60000\r\n"


async def test_nothing_in_a_head_without_a_seal_is_applied():
    async with running_fleet(desks=0, engines=0) as fleet:
        target = spoiler(ONCE.body, extra=STATEMENTS)
        reply = await ask_spoiler(fleet, ONCE, target)
        assert reply.status == 502
        pool = fleet.entries[0].pool
        (load,) = [each for each in pool.loads.values() if each.entry.name == SPOILER]
        assert load.rate.per_s is None
        assert pool.may_send(load, asyncio.get_running_loop().time())


async def test_a_success_without_a_seal_proves_no_refusal():
    async with running_fleet(desks=0, engines=0) as fleet:
        target = spoiler(ONCE.body, extra="X-Not-Executed: 1\r\n")
        reply = await ask_spoiler(fleet, ONCE, target)
        assert reply.status == 502


async def test_a_target_that_sends_no_seals_is_counted_as_failing():
    async with running_fleet(desks=2, engines=0) as fleet:
        target = spoiler(REPEATABLE.body)
        await target.start(fleet, DESK, "10.4.0.1")
        await asyncio.sleep(2.0)
        replies = [await fleet.ask(REPEATABLE.path) for _ in range(40)]
        assert [reply.status for reply in replies] == [200] * 40
        assert 1 <= len(target.requests) < 10
        rendered = fleet.entries[0].metrics.render()
        counted = f'lacewinggw_invalid_answers_total{{fault="unsealed"}} {len(target.requests)}'
        assert counted in rendered


# Guards against a number in a head that raised an error nothing handled: its caller got a 500.
@pytest.mark.parametrize("header", ["X-Weight-Versions", "Retry-After", "X-Cold-Remaining"])
async def test_a_number_of_thousands_of_digits_in_a_head_is_ignored(header):
    async with running_fleet(desks=0, engines=0) as fleet:
        extra = f"{header}: {'9' * 5000}\r\n"
        target = spoiler(ONCE.body, "X-Response-Seal: seal\r\n", extra=extra)
        reply = await ask_spoiler(fleet, ONCE, target)
        assert (reply.status, reply.body) == (200, ONCE.body)
