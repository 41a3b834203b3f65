"""Requests that end without a complete answer leave a log line that tells why."""

import asyncio

import pytest
from declared_fleet import running_fleet
from platform_standins import KEY
from structlog.testing import capture_logs

pytestmark = pytest.mark.looptime


def lines(logs, event):
    return [line for line in logs if line["event"] == event]


async def test_silence_of_a_target_has_another_line_than_a_broken_stream():
    async with running_fleet(engines=1) as fleet:
        with capture_logs() as logs:
            fleet.targets["engine0"].behaviour.cut_after = 2
            await fleet.ask("/report/1", X_Model="market")
            fleet.targets["engine0"].behaviour.silent_after = 2
            await fleet.ask("/report/1", X_Model="market")
        (ended,) = lines(logs, "offer_ended")
        (silent,) = lines(logs, "offer_silent")
        assert ended["outcome"] == "failed" and ended["reason"]
        assert silent["request_id"] != ended["request_id"] and silent["last_event"] == 2


@pytest.mark.parametrize("events", [0, 2])
async def test_a_request_whose_caller_leaves_has_a_line(events):
    async with running_fleet() as fleet:
        for name in ("engine0", "engine1"):
            fleet.targets[name].behaviour.silent_after = events
        with capture_logs() as logs:
            await fleet.ask("/report/1", X_Model="market", leave_after_s=0.3)
            await asyncio.sleep(0.1)
        (line,) = lines(logs, "request_abandoned")
        assert line["cut"] is (events > 0) and line["held_ms"] == pytest.approx(300, abs=20)


@pytest.mark.parametrize(
    "sent",
    [
        b"POST /sheet/1 HTTP/1.1\r\nHost: notes",
        b"POST /sheet/1 HTTP/1.1\r\nHost: notes.example\r\nContent-Length: 9\r\n\r\nbody",
    ],
    ids=["head", "body"],
)
async def test_a_connection_with_part_of_a_request_is_refused_and_has_a_line(sent):
    async with running_fleet() as fleet:
        with capture_logs() as logs:
            reply = await fleet.send(sent, leave_after_s=20.0)
        assert reply.status == 408 and reply.whole and reply.headers["connection"] == "close"
        (line,) = lines(logs, "call_malformed")
        assert line["status"] == 408 and "too slowly" in line["reason"]


async def test_an_idle_connection_that_ends_has_no_line():
    async with running_fleet() as fleet:
        with capture_logs() as logs:
            await fleet.send(b"", leave_after_s=8.0)
        assert not lines(logs, "call_unanswered")


# A caller that closes its connection and one that only ends its own direction look the same until
# something is sent to it, and targets must not work on for callers that have left.
async def test_a_caller_that_ends_its_direction_has_left():
    async with running_fleet(desks=1) as fleet:
        desk = fleet.targets["desk0"]
        desk.behaviour.pause_s = 1.0
        stream = await fleet.network.view("10.200.0.1").connect("10.1.0.1:8005")
        head = f"Host: notes.example\r\nX-Attempt-Id: r1\r\nX-Key: {KEY}\r\n"
        with capture_logs() as logs:
            stream.write(f"GET /tally/1 HTTP/1.1\r\n{head}\r\n".encode())
            await asyncio.sleep(0.1)
            stream.end_sending()
            assert await stream.read(1 << 16) == b""
        assert len(desk.seen) == 1 and len(lines(logs, "request_abandoned")) == 1
