"""Answers with neither a length nor chunks, which end with their connection.

Guards against taking the end of such an answer for complete when its target crashed: its last
events were missing, and what it had run was cleared of crashing targets.
"""

import asyncio
from dataclasses import dataclass

import pytest
from declared_fleet import DeclaredFleet, running_fleet
from platform_standins import DESK, LLM, target_row

from lacewinggw.wire.network import Listener, Stream

pytestmark = pytest.mark.looptime

EVENTS = [f"id: {number}\ndata: piece {number}\n\n".encode() for number in range(1, 6)]
PAUSE_S = 0.01


@dataclass
class UnframedTarget:
    """A target that sends `pieces` and closes the connection; it ends then if `crashes`."""

    name: str
    pieces: list[bytes]
    crashes: bool
    requests: int = 0
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
        self.requests += 1
        head = received.decode().lower()
        attempt = head.partition("x-attempt-id: ")[2].partition("\r\n")[0]
        stream.write(
            "HTTP/1.1 200 OK\r\nX-Response-Seal: seal\r\nX-Weight-Versions: 1\r\n"
            f"X-Attempt-Id: {attempt}\r\nConnection: close\r\n\r\n".encode()
        )
        for piece in self.pieces:
            await asyncio.sleep(PAUSE_S)
            stream.write(piece)
        if self.crashes:
            assert self._listener is not None
            await self._listener.close()
        stream.close()


async def ask(path: str, service: str, pieces: list[bytes], crashes: bool):
    """Return the reply of a fleet whose first target for the request is an unframed one."""
    async with running_fleet(desks=0, engines=0) as fleet:
        target = UnframedTarget("i-unframed", pieces, crashes)
        await target.start(fleet, service, "10.4.0.1")
        await asyncio.sleep(2.0)
        asked = asyncio.ensure_future(fleet.ask(path, X_Model="market", left_ms=3000))
        while not target.requests:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
        await fleet.add_target("framed", service, "10.4.0.2")
        return await asked


async def test_a_stream_that_ends_with_its_target_is_resumed_elsewhere():
    reply = await ask("/report/1", LLM, EVENTS[:3], crashes=True)
    assert not reply.whole or reply.body == b"".join(EVENTS)


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
