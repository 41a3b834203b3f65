"""Errors of targets whose status promises callers that the request was not run, though it was.

Guards against passing them on: callers repeated requests that may run once only, and these ran
twice. Only a target that refuses a request states that it did not run it.
"""

import asyncio
import json
import random
from collections import defaultdict
from contextlib import suppress
from dataclasses import dataclass, field, replace

import pytest
from declared_fleet import DeclaredFleet, Reply, running_fleet
from platform_standins import DESK, LLM, manifest
from raw_targets import RawRequest, RawTarget
from structlog.testing import capture_logs

from lacewinggw.errors import (
    NOT_RUN_STATUSES,
    DeadlineTooNear,
    LacewingError,
    PlatformUnavailable,
    TargetFailed,
)
from lacewinggw.frontend.relay import _provable
from lacewinggw.frontend.requeststate import RequestProgress
from lacewinggw.settings import default_settings
from lacewinggw.wire.network import Stream

pytestmark = pytest.mark.looptime

ONCE, REPEATABLE, RESUMABLE, STREAM = "/sheet/1", "/tally/1", "/report/1", "/note/1"
SEAL = "X-Response-Seal: seal\r\n"
NOT_RUN = "X-Not-Executed: 1\r\n"
SCHEDULES = 40
GRACE_MS = 2000


def error_head(status: int, request: RawRequest, extra: str, size: int = 6) -> bytes:
    """Return the head of a target's answer."""
    return (
        f"HTTP/1.1 {status} Answer\r\nX-Attempt-Id: {request.attempt_id}\r\n{extra}"
        f"X-Weight-Versions: 1\r\nContent-Length: {size}\r\n\r\n"
    ).encode()


def failing(status: int, extra: str = SEAL) -> RawTarget:
    """Return a target that answers each request with an error after 0.1 s."""

    async def answer(stream: Stream, request: RawRequest) -> None:
        await asyncio.sleep(0.1)
        stream.write(error_head(status, request, extra) + b"failed")
        await stream.drain()

    return RawTarget("i-failing", answer)


def set_routes(fleet: DeclaredFleet, timeout_ms: int = 1200) -> None:
    """Add a route of streams that cannot be resumed."""
    routes = [{**route, "TimeoutMs": timeout_ms} for route in manifest(3)["Routes"]]
    stream = {**routes[0], "Name": "note", "Prefix": "/note/", "ResumeStreams": False}
    fleet.store.put("op", "config", manifest(3, Routes=[*routes, stream]))


async def ask_failing(fleet: DeclaredFleet, path: str, target: RawTarget) -> Reply:
    """Return the reply to a request while `target` is the only one."""
    set_routes(fleet)
    service = LLM if path in (STREAM, RESUMABLE) else DESK
    await target.start(fleet, service, "10.4.0.1")
    await asyncio.sleep(2.0)
    return await fleet.ask(path, X_Model="market", X_Attempt_Id="r1")


@pytest.mark.parametrize("retry_after", ["", "Retry-After: 0.2\r\n"])
@pytest.mark.parametrize("status", [408, 421, 429, 503])
@pytest.mark.parametrize("path", [ONCE, STREAM])
async def test_an_error_that_proves_nothing_is_no_promise(path, status, retry_after):
    async with running_fleet(desks=0, engines=0) as fleet:
        target = failing(status, SEAL + retry_after)
        with capture_logs() as logs:
            reply = await ask_failing(fleet, path, target)
        assert (reply.status, reply.whole) == (502, True)
        assert json.loads(reply.body)["outcome"] == "unknown"
        assert not {"x-response-seal", "retry-after"} & reply.headers.keys()
        assert len(target.requests) == 1
        (line,) = [each for each in logs if each["event"] == "request_failed"]
        assert f"the target answered {status}" in line["error"].reason
        counted = f'lacewinggw_unproved_refusals_total{{status="{status}"}} 1'
        assert counted in fleet.entries[0].metrics.render()


@pytest.mark.parametrize("status", [400, 404, 409, 500, 502, 504])
@pytest.mark.parametrize("path", [ONCE, STREAM])
async def test_an_error_that_promises_nothing_is_passed_on(path, status):
    async with running_fleet(desks=0, engines=0) as fleet:
        reply = await ask_failing(fleet, path, failing(status))
        assert (reply.status, reply.body) == (status, b"failed")
        assert reply.headers["x-response-seal"] == "seal"


@pytest.mark.parametrize("path", [REPEATABLE, RESUMABLE])
async def test_an_error_is_passed_on_where_the_request_may_be_repeated(path):
    async with running_fleet(desks=0, engines=0) as fleet:
        reply = await ask_failing(fleet, path, failing(503, SEAL + "Retry-After: 0.2\r\n"))
        assert (reply.status, reply.body) == (503, b"failed")
        assert reply.headers["x-response-seal"] == "seal"
        assert reply.headers["retry-after"] == "0.2"


@pytest.mark.parametrize(
    ("status", "extra"),
    [
        (421, NOT_RUN),
        (429, NOT_RUN),
        (503, NOT_RUN),
        (421, ""),
        (421, "X-Instance-Id: i-failing\r\n"),
        (421, "X-Instance-Id: i-other\r\n"),
        (421, SEAL + "X-Instance-Id: i-other\r\n"),
    ],
)
@pytest.mark.parametrize("path", [ONCE, STREAM])
async def test_a_proved_refusal_is_a_promise(path, status, extra):
    async with running_fleet(desks=0, engines=0) as fleet:
        reply = await ask_failing(fleet, path, failing(status, extra))
        assert reply.status == 503 and json.loads(reply.body)["outcome"] == "not-run"
        assert float(reply.headers["retry-after"]) > 0


async def test_a_request_that_is_not_sent_by_its_deadline_is_a_promise():
    async with running_fleet(desks=0, engines=0) as fleet:
        target = failing(500)
        await ask_failing(fleet, ONCE, target)
        fleet.network.hold("10.4.0.1")  # connections to it hang until they time out
        reply = await fleet.ask(ONCE, left_ms=100)
        assert reply.status == 503 and json.loads(reply.body)["outcome"] == "not-run"
        assert len(target.requests) == 1


async def test_an_error_that_proves_nothing_asks_the_entry_to_back_off():
    async with running_fleet(desks=0, engines=0) as fleet:
        target = failing(503, SEAL + "Retry-After: 5\r\n")
        assert (await ask_failing(fleet, ONCE, target)).status == 502
        refused = await fleet.ask(ONCE)
        assert refused.status == 503 and len(target.requests) == 1


@pytest.mark.parametrize(
    "error", [DeadlineTooNear("late"), PlatformUnavailable("down"), LacewingError("broke")]
)
def test_a_refusal_of_the_entry_is_no_promise_after_an_attempt(error):
    progress = RequestProgress(None, offers=1, runs=1)
    shown = _provable(progress, error)
    assert shown.http_status not in NOT_RUN_STATUSES
    assert isinstance(shown, TargetFailed) == (error.http_status in NOT_RUN_STATUSES)
    assert _provable(replace(progress, unsent=1), error) is error
    assert _provable(None, error) is error


# ---- logs -------------------------------------------------------------------------------------


async def refused_line(fleet: DeclaredFleet, left_ms: int = 6000) -> dict:
    """Return the log line of a request that is refused as not run."""
    with capture_logs() as logs:
        reply = await fleet.ask(ONCE, left_ms=left_ms, X_Attempt_Id="r2")
    assert reply.status == 503
    (line,) = [each for each in logs if each["event"] == "request_refused"]
    assert (line["request_id"], line["status"]) == ("r2", 503)
    return line


async def test_a_refusal_is_logged_with_what_proves_that_the_request_did_not_run():
    async with running_fleet(desks=0, engines=0) as fleet:
        assert (await refused_line(fleet))["proof"] == "not-offered"
        await ask_failing(fleet, ONCE, failing(503, NOT_RUN))
        line = await refused_line(fleet)
        assert line["proof"] == "refused"
        assert [str(each).partition("/")[0] for each in line["refused_by"]] == ["i-failing"]


async def test_a_refusal_of_a_request_that_was_not_sent_is_logged_as_such():
    async with running_fleet(desks=0, engines=0) as fleet:
        await ask_failing(fleet, ONCE, failing(500))
        fleet.network.hold("10.4.0.1")  # connections to it hang until they time out
        line = await refused_line(fleet, left_ms=100)
        assert (line["proof"], line["refused_by"]) == ("not-sent", [])


# ---- random schedules ----------------------------------------------------------------------


@dataclass
class Target:
    """Draws what becomes of each request, and records what it ran and what it did not refuse."""

    rng: random.Random
    runs: dict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    open: set[str] = field(default_factory=set)
    given: dict[str, set[int]] = field(default_factory=lambda: defaultdict(set))

    async def answer(self, stream: Stream, request: RawRequest) -> None:
        """Answer, refuse, fail or break off."""
        rng, attempt = self.rng, request.attempt_id
        await asyncio.sleep(rng.choice([0.0, 0.01, 0.1]))
        kind = rng.choice(["whole", "refusal", "error", "error", "break", "silence", "cut"])
        self.open.add(attempt)
        if kind != "refusal":
            self.runs[attempt].append(kind)
        await asyncio.sleep(rng.choice([0.0, 0.05, 0.5, 0.9]))
        match kind:
            case "refusal":
                status = rng.choice([421, 429, 503])
                stream.write(error_head(status, request, NOT_RUN) + b"failed")
                self.open.discard(attempt)
            case "error":
                status = rng.choice([408, 421, 429, 500, 503, 503, 504])
                self.given[attempt].add(status)
                extra = SEAL + rng.choice(["", "Retry-After: 0.1\r\n"])
                stream.write(error_head(status, request, extra) + b"failed")
            case "break":
                raise ConnectionResetError
            case "cut":
                stream.write(error_head(rng.choice([200, 503]), request, SEAL, 100) + b"failed")
            case "silence":
                await asyncio.sleep(30.0)
            case "whole":
                body = b"id: 1\ndata: piece\n\n"
                stream.write(error_head(200, request, SEAL, len(body)) + body)
        await stream.drain()


def check_promise(target: Target, attempt: str, path: str, reply: Reply) -> None:
    """Check that a caller is told "not run" exactly if this is proved."""
    runs = target.runs[attempt]
    is_promise = reply.status in NOT_RUN_STATUSES
    if path in (ONCE, STREAM):
        assert not (is_promise and runs), f"{reply.status}, and it ran: {runs}"
        assert is_promise or runs or attempt in target.open, f"{reply.status}, and it did not run"
    if "x-response-seal" in reply.headers and reply.status >= 400:
        assert reply.status in target.given[attempt]
    else:
        assert not (is_promise and runs), f"{reply.status} of the entry, and it ran: {runs}"


async def play(seed: int) -> int:
    """Play requests of all kinds at targets that fail; return how many got an answer."""
    rng = random.Random(seed)
    target = Target(rng)
    async with running_fleet(desks=0, engines=0, entries=2) as fleet:
        set_routes(fleet, timeout_ms=rng.choice([1200, 3000]))
        targets = [RawTarget(f"i-{number}", target.answer) for number in range(4)]
        for number, each in enumerate(targets):
            await each.start(fleet, [DESK, LLM][number % 2], f"10.4.0.{number + 1}")
        await asyncio.sleep(2.0)

        async def ask(number: int) -> None:
            attempt, path = f"r{number}", rng.choice([ONCE, STREAM, ONCE, REPEATABLE, RESUMABLE])
            await asyncio.sleep(rng.uniform(0.0, 3.0))
            left_ms = rng.choice([300, 1000, 3000, 6000])
            asked = fleet.ask(
                path, entry=number % 2, left_ms=left_ms, X_Model="market", X_Attempt_Id=attempt
            )
            with suppress(ConnectionRefusedError):  # the entry has closed
                replies.append((attempt, path, await asked))

        replies: list[tuple[str, str, Reply]] = []
        asking = [asyncio.ensure_future(ask(number)) for number in range(12)]
        if rng.random() < 0.5:
            await asyncio.sleep(rng.uniform(0.0, 3.0))
            await targets[0].close()  # it refuses connections from now on
        if rng.random() < 0.5:
            await asyncio.sleep(rng.uniform(0.0, 1.0))
            settings = default_settings()
            settings.fleet.grace_ms = GRACE_MS
            fleet.entries[0].apply(settings)
            await fleet.entries[0].drain()
        await asyncio.wait(asking)
        await asyncio.sleep(1.0)
    answered = [each for each in replies if each[2].whole and each[2].status]
    for attempt, path, reply in answered:
        check_promise(target, attempt, path, reply)
    return len(answered)


async def test_promises_are_true_and_none_is_missing_in_random_schedules():
    answered = 0
    for seed in range(SCHEDULES):
        try:
            answered += await play(seed)
        except AssertionError as error:
            raise AssertionError(f"seed {seed}") from error
    assert answered > 8 * SCHEDULES
