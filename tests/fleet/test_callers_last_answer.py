"""Callers receive the last answer on a connection although they are still sending."""

import asyncio
import socket
from contextlib import suppress

from lacewinggw.decisions.routes import CallerLimits
from lacewinggw.frontend.callers import CallerListener
from lacewinggw.wire.network import TcpNetwork, split_address

BODY_BYTES = 8 << 20
ANSWER_BYTES = 1 << 20


# Guards against a lost refusal: closing with unread bytes resets the connection, and the caller's
# host discards what it has not read yet.
async def test_a_caller_that_sends_a_body_over_the_limit_receives_the_refusal():
    limits = CallerLimits(body_bytes=1 << 10)
    listener = CallerListener(TcpNetwork(), "127.0.0.1:0", None, lambda: limits)
    await listener.start()
    loop = asyncio.get_running_loop()
    with socket.create_connection(split_address(listener.address)) as caller:
        caller.setblocking(False)
        head = f"POST /tally/1 HTTP/1.1\r\nHost: x\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        with suppress(ConnectionError):
            await loop.sock_sendall(caller, head.encode() + bytes(BODY_BYTES))
        answer = await loop.sock_recv(caller, 1 << 16)
    assert answer.startswith(b"HTTP/1.1 413")
    await listener.close()


# Guards against a truncated answer: bytes that arrive after the connection was closed reset it, and
# the host of the entry discards what it has not sent yet.
async def test_a_request_sent_ahead_does_not_cut_the_last_answer_of_a_connection():
    async def answer(call, caller):
        await caller.answer(200, [], bytes(ANSWER_BYTES))

    listener = CallerListener(TcpNetwork(), "127.0.0.1:0", answer, CallerLimits)
    await listener.start()
    listener.disable_keep_alive()
    request = b"GET /tally/1 HTTP/1.1\r\nHost: x\r\n\r\n"
    with socket.create_connection(split_address(listener.address)) as caller:
        caller.setblocking(False)
        caller.send(request)
        await asyncio.sleep(0.1)
        with suppress(ConnectionError):
            caller.send(request)
        await asyncio.sleep(0.1)
        head, _, body = (await receive_all(caller)).partition(b"\r\n\r\n")
    assert b"connection: close" in head.lower() and len(body) == ANSWER_BYTES
    await listener.close()


async def receive_all(caller: socket.socket) -> bytes:
    data = bytearray()
    with suppress(ConnectionError):
        while part := await asyncio.get_running_loop().sock_recv(caller, 1 << 20):
            data += part
    return bytes(data)
