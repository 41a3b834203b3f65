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
    """A listener whose answers take `answer_s`, and that counts accepted requests in `taken`.

    With `stream_s`, answers begin at once and end after that time.
    """

    def __init__(self):
        self.network = MemoryNetwork()
        self.taken = 0
        self.answer_s = 0.0
        self.stream_s = 0.0  # of an answer that begins at once
        self.listener = CallerListener(self.network, ADDRESS, self._serve, CallerLimits)

    async def _serve(self, call, caller):
        self.taken += 1
        if self.stream_s:
            await caller.begin(200, [], b"first")
            await asyncio.sleep(self.stream_s)
            return await caller.end()
        await asyncio.sleep(self.answer_s)
        return await caller.answer(200, [("content-length", "2")], b"ok")

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


# Guards against closing a connection without having announced it: its caller sends the next request
# on it, which is lost.
async def test_an_answer_that_begins_while_the_entry_leaves_announces_the_close():
    entry = Entry()
    await entry.listener.start()
    stream = await entry.connect()
    entry.answer_s = 1.0
    stream.write(REQUEST)
    await asyncio.sleep(0.1)
    entry.listener.disable_keep_alive()
    assert b"connection: close" in (await stream.read(1 << 16)).lower()
    await entry.listener.close()


# Guards against the loss of a request that follows a stream: the stream began before the entry was
# told to leave, so its head could not announce the close.
async def test_a_request_after_a_stream_is_refused_once_closing_began():
    entry = Entry()
    entry.stream_s = 4.0
    await entry.listener.start()
    stream = await entry.connect()
    stream.write(REQUEST)
    await asyncio.sleep(0.1)
    entry.listener.disable_keep_alive()
    closing = asyncio.ensure_future(entry.listener.close(GRACE_S))
    while not (await stream.read(1 << 16)).endswith(b"0\r\n\r\n"):
        pass
    stream.write(REQUEST)
    answer = await stream.read(1 << 16)
    assert answer.startswith(b"HTTP/1.1 503") and b"connection: close" in answer.lower()
    assert b"not-run" in answer and entry.taken == 1
    await closing


# Guards against the loss of requests that were sent ahead of the answers before them.
@pytest.mark.parametrize(
    ("answer_s", "statuses"), [(0.2, ["200"] * 3), (1.0, ["200", "503", "503"])]
)
async def test_requests_sent_ahead_are_answered_while_the_entry_leaves(answer_s, statuses):
    entry = Entry()
    entry.answer_s = answer_s
    await entry.listener.start()
    stream = await entry.connect()
    stream.write(REQUEST * 3)
    await asyncio.sleep(0.1)
    closing = asyncio.ensure_future(entry.listener.close(GRACE_S))
    answers = b""
    while data := await stream.read(1 << 16):
        answers += data
    assert [part[:3].decode() for part in answers.split(b"HTTP/1.1 ")[1:]] == statuses
    assert answers.lower().count(b"connection: close") == 1
    await closing
