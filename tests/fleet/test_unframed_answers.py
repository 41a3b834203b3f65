"""Answers with neither a length nor chunks, which end with their connection.

Guards against taking the end of such an answer for complete when its target crashed: its last
events were missing, and what it had run was cleared of crashing targets. Guards as well against an
empty or short success, framed as whole, of a target that stops after the head of its answer.
"""

import asyncio
from dataclasses import dataclass

import pytest
from declared_fleet import DeclaredFleet, Reply, running_fleet
from platform_standins import DESK, LLM, target_row

from lacewinggw.wire.network import Listener, Stream

pytestmark = pytest.mark.looptime

EVENTS = [f"id: {number}\ndata: piece {number}\n\n".encode() for number in range(1, 6)]
PAUSE_S = 0.01
ANSWER_S = 0.2  # so that a sound target is listed by the time of a faulty answer


@dataclass
class UnframedTarget:
    """A target that sends `pieces` and closes the connection; it ends then if `crashes`."""

    name: str
    pieces: list[bytes]
    crashes: bool = False
    listens_on_s: float = 0.0  # after its connections have ended, if it crashes
    silent_s: float = 0.0  # before the end of its answer
    successor: str = ""  # the name of another target that has its address by then
    status: str = "200 OK"
    framing: str = "Connection: close\r\n"
    head_share: float = 1.0  # of the head; nothing follows a part of it
    resets: bool = False
    requests: int = 0
    liveness_checks: int = 0
    _listener: Listener | None = None

    async def start(self, fleet: DeclaredFleet, service: str, ip: str) -> None:
        address = f"{ip}:8080"
        self._listener = await fleet.network.view(ip).listen(address, self._accept)
        fleet.store.put("servers", self.name, target_row(service, address))

    async def _accept(self, stream: Stream) -> None:
        received = b""
        while b"\r\n\r\n" not in received:
            data = await stream.read(1 << 16)
            if not data:
                return  # a probe
            received += data
        if received.startswith(b"GET /health"):
            self.liveness_checks += 1
            name = self.successor or self.name
            stream.write(f"HTTP/1.1 200 OK\r\nX-Instance-Id: {name}\r\n\r\n".encode())
            stream.close()
            return
        self.requests += 1
        head = received.decode().lower()
        attempt = head.partition("x-attempt-id: ")[2].partition("\r\n")[0]
        answer = (
            f"HTTP/1.1 {self.status}\r\nX-Response-Seal: seal\r\nX-Weight-Versions: 1\r\n"
            f"X-Attempt-Id: {attempt}\r\n{self.framing}\r\n".encode()
        )
        await asyncio.sleep(ANSWER_S)
        stream.write(answer[: int(self.head_share * len(answer))])
        for piece in self.pieces if self.head_share == 1.0 else []:
            await asyncio.sleep(PAUSE_S)
            stream.write(piece)
        await asyncio.sleep(self.silent_s)
        if self.resets:
            stream.abort()
        if self.crashes and self.listens_on_s:
            stream.close()
            await asyncio.sleep(self.listens_on_s)
        if self.crashes:
            assert self._listener is not None
            await self._listener.close()
        stream.close()


async def ask(path: str, service: str, pieces: list[bytes], crashes: bool) -> Reply:
    """Return the reply of a fleet whose first target for the request is an unframed one."""
    return await ask_first(path, service, UnframedTarget("i-unframed", pieces, crashes))


async def ask_first(path: str, service: str, target: UnframedTarget, method: str = "POST") -> Reply:
    """Return the reply of a fleet whose first target for the request is `target`."""
    async with running_fleet(desks=0, engines=0) as fleet:
        await target.start(fleet, service, "10.4.0.1")
        await asyncio.sleep(2.0)
        asked = asyncio.ensure_future(fleet.ask(path, method, X_Model="market", left_ms=3000))
        while not target.requests:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
        await fleet.add_target("framed", service, "10.4.0.2")
        return await asked


async def test_a_stream_that_ends_with_its_target_is_resumed_elsewhere():
    reply = await ask("/report/1", LLM, EVENTS[:3], crashes=True)
    assert not reply.whole or reply.body == b"".join(EVENTS)


# The kernel ends the connections of a killed process some moments before its listening socket.
async def test_a_stream_that_ends_shortly_before_its_target_is_resumed_elsewhere():
    target = UnframedTarget("i-unframed", EVENTS[:3], crashes=True, listens_on_s=0.01)
    reply = await ask_first("/report/1", LLM, target)
    assert not reply.whole or reply.body == b"".join(EVENTS)


# An entry that stood still, or whose target did, may find a later start at the address.
@pytest.mark.parametrize(("successor", "sent"), [("i-successor", EVENTS[:3]), ("", EVENTS)])
async def test_a_stream_that_ends_after_a_silence_is_not_taken_for_whole(successor, sent):
    target = UnframedTarget("i-unframed", sent, silent_s=0.8, successor=successor)
    reply = await ask_first("/report/1", LLM, target)
    assert not reply.whole or reply.body == b"".join(EVENTS)
    assert reply.whole or successor
    assert target.liveness_checks == 1


async def test_a_stream_that_ends_inside_an_event_is_not_complete():
    reply = await ask("/report/1", LLM, [*EVENTS[:3], EVENTS[3][:6]], crashes=False)
    assert not reply.whole or reply.body == b"".join(EVENTS)


async def test_a_stream_of_a_target_that_runs_on_is_complete():
    reply = await ask("/report/1", LLM, EVENTS, crashes=False)
    assert reply.whole and reply.body == b"".join(EVENTS)


async def test_an_answer_that_ends_with_its_target_is_repeated():
    reply = await ask("/tally/1", DESK, [b"half of"], crashes=True)
    assert b"half of" not in reply.body


async def test_an_answer_that_ends_with_its_target_and_may_not_run_twice_fails():
    reply = await ask("/sheet/1", DESK, [b"half of"], crashes=True)
    assert reply.status == 502


async def test_an_answer_of_a_target_that_runs_on_is_complete():
    reply = await ask("/sheet/1", DESK, [b"all"], crashes=False)
    assert (reply.status, reply.body, reply.whole) == (200, b"all", True)


ROUTES = [("/report/1", LLM), ("/tally/1", DESK), ("/sheet/1", DESK)]
FRAMINGS = ["Connection: close\r\n", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"]


def assert_sound(path: str, reply: Reply) -> None:
    """Check that a reply is the answer of the sound target, or an error if it may not repeat."""
    if path == "/sheet/1":
        assert (reply.status, reply.whole) == (502, True)
    else:
        assert (reply.status, reply.whole) == (200, True)
        assert reply.body == (b"".join(EVENTS) if path == "/report/1" else b"answer of i-framed")


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("head_share", [0.01, 0.1, 0.3, 0.5, 0.7, 0.9, 0.97, 0.995])
@pytest.mark.parametrize(("path", "service"), ROUTES)
async def test_a_head_that_is_cut_is_no_answer(path, service, head_share, framing, resets):
    target = UnframedTarget("i-cut", [], framing=framing, head_share=head_share, resets=resets)
    assert_sound(path, await ask_first(path, service, target))


@pytest.mark.parametrize(("path", "service"), ROUTES)
async def test_a_head_without_a_length_and_nothing_after_it_is_no_whole_answer(path, service):
    assert_sound(path, await ask(path, service, [], crashes=False))


@pytest.mark.parametrize("pieces", [[], EVENTS[:2], [EVENTS[1]]])
async def test_a_stream_does_not_end_with_an_attempt_that_adds_nothing(pieces):
    async with running_fleet(desks=0, engines=1) as fleet:
        fleet.targets["engine0"].behaviour.cut_after = 2
        fleet.targets["engine0"].behaviour.pause_s = 0.1
        second = UnframedTarget("i-unframed", pieces)
        asked = asyncio.ensure_future(fleet.ask("/report/1", X_Model="market"))
        await asyncio.sleep(0.1)
        await second.start(fleet, LLM, "10.4.0.1")
        reply = await asked
        assert second.requests
        assert not reply.whole or reply.body == b"".join(EVENTS)


@pytest.mark.parametrize(("path", "service"), ROUTES)
async def test_an_answer_without_a_length_ends_as_its_target_ended_it(path, service):
    pieces = EVENTS if service == LLM else [b"all"]
    reply = await ask(path, service, pieces, crashes=False)
    assert (reply.status, reply.whole, reply.body) == (200, True, b"".join(pieces))
    assert not {"content-length", "transfer-encoding"} & reply.headers.keys()
    assert reply.headers["connection"] == "close"


@pytest.mark.parametrize("framing", ["", "Content-Length: 0\r\n"])
@pytest.mark.parametrize("path", ["/tally/1", "/sheet/1"])
async def test_an_answer_that_has_no_body_is_whole(path, framing):
    is_framed = bool(framing)
    status = "200 OK" if is_framed else "204 No Content"
    target = UnframedTarget("i-empty", [], status=status, framing=framing)
    reply = await ask_first(path, DESK, target)
    assert (reply.status, reply.whole, reply.body) == (int(status[:3]), True, b"")
    assert reply.headers["x-response-seal"] == "seal"


async def test_an_answer_to_head_has_no_body_to_miss():
    reply = await ask_first("/sheet/1", DESK, UnframedTarget("i-empty", []), method="HEAD")
    assert reply.status == 200 and reply.headers["x-response-seal"] == "seal"
