"""Requests that arrive while the event loop of an entry is busy, on sockets of the host."""

import asyncio
import socket
import time
from contextlib import asynccontextmanager

import pytest

from lacewinggw.decisions.routes import CallerLimits
from lacewinggw.frontend.callers import CallerListener
from lacewinggw.wire.network import TcpNetwork, split_address

REQUEST = b"POST /tally/1 HTTP/1.1\r\nHost: notes.example\r\nContent-Length: 4\r\n\r\nbody"
LIMIT_S = 0.2
ACCEPT_S = 0.04  # until a connection is accepted, or what was sent is read
GRACE_S = 2.0
BUSY_S = 0.4  # longer than any limit, so that its timer is due when the loop goes on


async def answer(call, caller):
    await caller.answer(200, [], call.body)


@asynccontextmanager
async def listening(limits: CallerLimits):
    """Yield a listener and a socket that is connected to it."""
    listener = CallerListener(TcpNetwork(), "127.0.0.1:0", answer, lambda: limits)
    await listener.start()
    with socket.create_connection(split_address(listener.address)) as caller:
        caller.setblocking(False)
        await asyncio.sleep(ACCEPT_S)
        yield listener, caller
    await listener.close()


async def receive(caller: socket.socket) -> bytes:
    async with asyncio.timeout(5.0):
        return await asyncio.get_running_loop().sock_recv(caller, 1 << 16)


def keep_loop_busy() -> None:
    time.sleep(BUSY_S)


# Guards against closing a connection whose next request has arrived: the timer of a limit and the
# bytes are handled in the same turn of the event loop after it was busy.
@pytest.mark.parametrize(
    ("sent_before", "limits"),
    [
        (0, CallerLimits(head_s=5.0, idle_s=LIMIT_S)),
        (10, CallerLimits(head_s=LIMIT_S, idle_s=5.0)),
        (len(REQUEST) - 2, CallerLimits(head_s=LIMIT_S / 2, idle_s=LIMIT_S / 2)),
    ],
    ids=["idle", "head", "body"],
)
async def test_a_request_that_arrives_while_the_loop_is_busy_is_answered(sent_before, limits):
    async with listening(limits) as (_, caller):
        if sent_before:
            caller.send(REQUEST[:sent_before])
            await asyncio.sleep(ACCEPT_S)
        caller.send(REQUEST[sent_before:])
        keep_loop_busy()
        assert b"200" in await receive(caller)


# Guards against requests that are cut when an entry stops accepting them: the bytes have arrived,
# but a busy event loop has not read them yet.
@pytest.mark.parametrize("sent_before", [0, 10, len(REQUEST) - 2], ids=["idle", "head", "body"])
async def test_a_request_that_has_arrived_when_closing_begins_is_answered(sent_before):
    async with listening(CallerLimits()) as (listener, caller):
        if sent_before:
            caller.send(REQUEST[:sent_before])
            await asyncio.sleep(ACCEPT_S)
        caller.send(REQUEST[sent_before:])
        closing = asyncio.ensure_future(listener.close(GRACE_S))
        answer = await receive(caller)
        assert b"200" in answer and b"connection: close" in answer.lower()
        caller.close()
        await closing


async def test_a_request_on_a_new_connection_is_answered_when_closing_begins():
    async with listening(CallerLimits()) as (listener, _):
        with socket.create_connection(split_address(listener.address)) as caller:
            caller.setblocking(False)
            caller.send(REQUEST)
            closing = asyncio.ensure_future(listener.close(GRACE_S))
            assert b"200" in await receive(caller)
        await closing
