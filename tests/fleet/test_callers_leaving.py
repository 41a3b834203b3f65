"""Connections of callers while an entry is leaving: every accepted request is answered."""

import asyncio
from contextlib import suppress

import pytest

from lacewinggw.decisions.routes import CallerLimits
from lacewinggw.frontend.callers import CallerListener
from lacewinggw.lab.memory import MemoryNetwork

pytestmark = pytest.mark.looptime

ADDRESS = "10.1.0.1:8005"
REQUEST = b"GET /tally/1 HTTP/1.1\r\nHost: notes.example\r\n\r\n"
GRACE_S = 4.8


class Entry:
    """A listener whose answers take `answer_s`, and that counts accepted requests in `taken`."""

    def __init__(self):
        self.network = MemoryNetwork()
        self.taken = 0
        self.answer_s = 0.0
        self.listener = CallerListener(self.network, ADDRESS, self._serve, CallerLimits)

    async def _serve(self, call, caller):
        self.taken += 1
        await asyncio.sleep(self.answer_s)
        await caller.answer(200, [("content-length", "2")], b"ok")

    async def connect(self):
        return await self.network.view("10.200.0.1").connect(ADDRESS)


async def test_a_busy_connection_serves_no_further_request_once_closing_began():
    entry = Entry()
    await entry.listener.start()
    stream = await entry.connect()
    entry.answer_s = 3.0
    stream.write(REQUEST)
    await asyncio.sleep(0.1)
    entry.listener.disable_keep_alive()
    await asyncio.sleep(0.5)
    closing = asyncio.ensure_future(entry.listener.close(GRACE_S))
    await asyncio.sleep(2.0)
    assert b"200" in await stream.read(1 << 16)  # the request in progress gets its complete answer
    entry.answer_s = 60.0
    with suppress(ConnectionResetError):
        stream.write(REQUEST)
    await closing
    assert entry.taken == 1  # the next one is not accepted, so it cannot be cut off


async def test_a_kept_connection_serves_requests_until_closing_begins():
    entry = Entry()
    await entry.listener.start()
    stream = await entry.connect()
    for _ in range(2):
        stream.write(REQUEST)
        assert b"200" in await stream.read(1 << 16)
    entry.listener.disable_keep_alive()
    stream.write(REQUEST)
    answer = await stream.read(1 << 16)
    assert b"200" in answer and b"connection: close" in answer.lower()
    assert entry.taken == 3
    await entry.listener.close()
