"""Requests that an entry has read: each gets a complete answer, a refusal or an error."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from contextlib import suppress

import h11
import pytest
import structlog
from declared_fleet import running_fleet
from platform_standins import KEY

from lacewinggw.decisions.routes import CallerLimits
from lacewinggw.frontend.callers import (
    PIPELINED_BYTES,
    CallerConnection,
    CallerDisconnected,
    CallerListener,
)
from lacewinggw.lab.memory import MemoryNetwork

pytestmark = pytest.mark.looptime

ADDRESS = "10.1.0.1:8005"


class ListeningEntry:
    """A listener that answers each request with `answer` and keeps the requests it has read."""

    def __init__(self, answer: Callable[[CallerConnection], Awaitable[None]]) -> None:
        self.network = MemoryNetwork()
        self.limits = CallerLimits()
        self.calls = []
        self._answer = answer
        self.listener = CallerListener(self.network, ADDRESS, self._serve, lambda: self.limits)

    async def _serve(self, call, caller):
        self.calls.append(call)
        await self._answer(caller)

    async def connect(self):
        return await self.network.view("10.200.0.1").connect(ADDRESS)


async def open_connection(fleet):
    return await fleet.network.view("10.200.0.1").connect("10.1.0.1:8005")


def request(path: str, method: str = "GET", **headers: str) -> bytes:
    """Return a request without a body; each has an attempt id and a key."""
    fields = {
        "Host": "notes.example",
        "X-Attempt-Id": f"attempt-{method}-{path}",
        "X-Deadline-Remaining": "6000",
        "X-Key": KEY,
        **headers,
    }
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode("latin-1")


# Guards against closing the connection without an answer: an answer to HEAD has no body, and
# sending the problem document of a refusal failed.
@pytest.mark.parametrize("path", ["/tally/1", "/nowhere/1", "/report/1"])
async def test_a_head_request_that_is_refused_gets_its_status(path):
    async with running_fleet(desks=0, engines=0) as fleet:
        stream = await open_connection(fleet)
        stream.write(request(path, "HEAD"))
        head, _, body = (await stream.read(1 << 16)).partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 404" if path == "/nowhere/1" else b"HTTP/1.1 503")
        assert body == b""
        stream.write(request("/nowhere/2"))
        assert (await stream.read(1 << 16)).startswith(b"HTTP/1.1 404")  # it stays open


# Guards against answers that HTTP gives no body and that were sent with a body or a length.
@pytest.mark.parametrize("status", [204, 304])
async def test_an_answer_that_has_no_body_is_sent_without_one(status):
    entry = ListeningEntry(lambda caller: caller.answer(status, [("etag", "7")], b"none"))
    await entry.listener.start()
    stream = await entry.connect()
    stream.write(request("/tally/1"))
    head, _, body = (await stream.read(1 << 16)).partition(b"\r\n\r\n")
    assert head.startswith(f"HTTP/1.1 {status}".encode()) and body == b""
    assert b"content-length" not in head.lower()
    await entry.listener.close()


# Guards against a 500 in place of a target's answer: a header value may contain bytes beyond ASCII.
async def test_an_answer_with_a_header_beyond_ascii_is_forwarded_unchanged():
    entry = ListeningEntry(lambda caller: caller.answer(200, [("x-note", "caf\xe9")], b"ok"))
    await entry.listener.start()
    stream = await entry.connect()
    stream.write(request("/tally/1"))
    answer = await stream.read(1 << 16)
    assert b"x-note: caf\xe9\r\n" in answer and answer.endswith(b"ok")
    await entry.listener.close()


class BrokenPlacer:
    """Raises an error in place of choosing a target."""

    def __init__(self, error: BaseException) -> None:
        self._error = error

    async def claim(self, progress):
        raise self._error


# Guards against closing the connection without an answer when something other than the caller's
# connection fails: an operating system error, or a cancelled future, while the request is placed.
@pytest.mark.parametrize("error", [OSError("no such device"), asyncio.CancelledError()])
async def test_an_internal_error_is_answered(error, monkeypatch):
    async with running_fleet() as fleet:
        relay = fleet.entries[0].relay
        broken = dataclasses.replace(relay._deps, placer=BrokenPlacer(error))
        monkeypatch.setattr(relay, "_deps", broken)
        reply = await fleet.ask("/tally/1", "GET")
        assert reply.status == 500 and reply.whole


# Guards against a request that ends without a line in the log: the caller's connection breaks while
# the answer is written to it.
async def test_a_connection_that_breaks_while_the_answer_is_written_is_logged(monkeypatch):
    async with running_fleet() as fleet:

        async def break_off(caller, *args):
            raise CallerDisconnected

        monkeypatch.setattr(CallerConnection, "answer", break_off)
        with structlog.testing.capture_logs() as lines:
            await fleet.ask("/tally/1", "GET", X_Attempt_Id="r1")
        ended = [line for line in lines if line.get("request_id") == "r1"]
        assert [line["event"] for line in ended] == ["request_abandoned"]


# Guards against a request that ends without an answer or a line because serving it raised an error
# that the relay does not handle.
@pytest.mark.parametrize("error", [OSError(), RuntimeError(), h11.LocalProtocolError("invalid")])
async def test_an_error_outside_the_relay_is_answered_and_logged(error):
    async def fail(caller):
        raise error

    entry = ListeningEntry(fail)
    await entry.listener.start()
    stream = await entry.connect()
    with structlog.testing.capture_logs() as lines:
        stream.write(request("/tally/1"))
        answer = await stream.read(1 << 16)
    assert answer.startswith(b"HTTP/1.1 500") and b"connection: close" in answer.lower()
    assert [line["event"] for line in lines] == ["call_broke"]
    await entry.listener.close()


# Guards against requests that are lost without a line: one crosses the close of an idle connection,
# the other was sent after an answer that announced the close.
@pytest.mark.parametrize("is_leaving", [False, True])
async def test_a_request_that_crosses_the_close_has_a_line(is_leaving):
    entry = ListeningEntry(lambda caller: caller.answer(200, [], b"ok"))
    await entry.listener.start()
    stream = await entry.connect()
    if is_leaving:
        entry.listener.disable_keep_alive()
        stream.write(request("/tally/1"))
    while await stream.read(1 << 16):
        pass
    with structlog.testing.capture_logs() as lines:
        stream.write(request("/tally/2"))
        await asyncio.sleep(0.1)
        stream.close()
        await asyncio.sleep(0.1)
    assert [line["event"] for line in lines] == ["call_discarded"]
    assert lines[0]["bytes"] == len(request("/tally/2"))
    await entry.listener.close()


# Guards against a caller that sends ever more requests ahead and fills the memory of the entry.
async def test_few_requests_sent_ahead_are_buffered():
    buffered = []

    async def answer(caller):
        with suppress(TimeoutError):
            async with asyncio.timeout(0.1):
                await caller.wait_for_disconnect()
        buffered.append(len(caller._reader.unread))
        await caller.answer(200, [], b"ok")

    entry = ListeningEntry(answer)
    await entry.listener.start()
    stream = await entry.connect()
    stream.write(request("/tally/1") * 9000)
    await asyncio.sleep(2.0)
    assert len(buffered) > 10 and max(buffered) <= 2 * PIPELINED_BYTES
    await entry.listener.close()


# Guards against an answer that ends early and looks complete: in HTTP/1.0 the end of the connection
# is the end of the answer.
@pytest.mark.parametrize("version", ["1.0", "1.1"])
async def test_an_answer_that_ends_early_does_not_look_complete(version):
    async def begin_and_fail(caller):
        await caller.begin(200, [], b"first")
        await asyncio.sleep(0.1)
        raise RuntimeError

    entry = ListeningEntry(begin_and_fail)
    await entry.listener.start()
    stream = await entry.connect()
    stream.write(request("/report/1").replace(b"HTTP/1.1", f"HTTP/{version}".encode()))
    answer = b""
    with suppress(ConnectionResetError):
        while data := await stream.read(1 << 16):
            answer += data
        assert version == "1.1" and not answer.endswith(b"0\r\n\r\n")
    assert b"first" in answer
    await entry.listener.close()
