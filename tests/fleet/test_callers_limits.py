"""Limits of callers that change while their connections are open."""

import asyncio
from dataclasses import replace

import pytest

from lacewinggw.decisions.routes import CallerLimits
from lacewinggw.frontend.callers import CallerListener
from lacewinggw.lab.memory import MemoryNetwork

pytestmark = pytest.mark.looptime

ADDRESS = "10.1.0.1:8005"
OLD = CallerLimits(head_bytes=1000, body_bytes=1000, head_s=2.0, idle_s=4.0)


class Connected:
    """An open connection to a listener whose limits change, after its first request."""

    def __init__(self):
        self.network = MemoryNetwork()
        self.limits = OLD
        self.limits_after_answer = None
        self.listener = CallerListener(self.network, ADDRESS, self._serve, lambda: self.limits)

    async def _serve(self, call, caller):
        self.limits = self.limits_after_answer or self.limits
        await caller.answer(200, [], b"ok")

    async def open(self):
        await self.listener.start()
        self.stream = await self.network.view("10.200.0.1").connect(ADDRESS)
        assert await self.ask() == 200

    async def ask(self, body: bytes = b"", note: bytes = b"") -> int:
        """Send a request, its head in two parts, and return the status of the answer."""
        head = b"POST /tally/1 HTTP/1.1\r\nHost: notes.example\r\nX-Note: " + note
        self.stream.write(head)
        await asyncio.sleep(0.01)
        self.stream.write(b"\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        return int((await self.stream.read(1 << 16))[9:12] or b"0")


# Guards against refusing, on an open connection, requests that the newest limits allow.
@pytest.mark.parametrize("changed", [{"body_bytes": 9000}, {"head_bytes": 9000}])
@pytest.mark.parametrize("beside_answer", [False, True])
async def test_an_open_connection_takes_requests_within_the_new_limits(changed, beside_answer):
    connected = Connected()
    connected.limits_after_answer = replace(OLD, **changed) if beside_answer else None
    await connected.open()
    connected.limits_after_answer = None
    connected.limits = replace(OLD, **changed)
    size = {"body": bytes(5000)} if "body_bytes" in changed else {"note": b"n" * 5000}
    assert await connected.ask(**size) == 200
    connected.limits = OLD
    assert await connected.ask(**size) in (413, 431)
    await connected.listener.close()


# Guards against closing a connection that its caller may still use: callers go by the newest idle
# limit that they know, which may be longer or not known to them yet.
@pytest.mark.parametrize("new_idle_s", [1.0, 10.0])
async def test_an_idle_connection_stays_open_for_the_longer_of_the_old_and_new_limit(new_idle_s):
    connected = Connected()
    await connected.open()
    await asyncio.sleep(0.5)
    connected.limits = replace(OLD, idle_s=new_idle_s)
    await asyncio.sleep(0.8 * max(OLD.idle_s, new_idle_s) - 0.5)
    assert await connected.ask() == 200
    await connected.listener.close()


async def test_a_shorter_idle_limit_applies_from_the_next_request_on():
    connected = Connected()
    await connected.open()
    connected.limits = replace(OLD, idle_s=1.0)
    assert await connected.ask() == 200
    await asyncio.sleep(1.5)
    assert connected.stream.ended
    await connected.listener.close()
