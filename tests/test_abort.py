"""Closing and resetting TCP streams: `close` delivers queued bytes, `abort` discards them."""

import asyncio

import pytest

from lacewinggw.wire.network import TcpNetwork


async def send_then_end(end):
    """Send 64 MiB to a peer that has paused reading, call `end`, then resume reading.

    Return the number of bytes received, the number sent, and the peer's error or None.
    """
    network, accepted = TcpNetwork(), asyncio.get_running_loop().create_future()
    done = asyncio.Event()

    async def accept(stream):
        accepted.set_result(stream)
        await done.wait()

    listener = await network.listen("127.0.0.1:0", accept)
    stream = await network.connect(listener.address)
    reader = await accepted
    transport = reader._reader._transport
    transport.pause_reading()
    size = 0
    for _ in range(64):
        stream.write(bytes(1 << 20))
        size += 1 << 20
    await asyncio.sleep(0.2)
    end(stream)
    await asyncio.sleep(0.2)
    transport.resume_reading()
    received, error = 0, None
    try:
        async with asyncio.timeout(5.0):
            while data := await reader.read(1 << 20):
                received += len(data)
    except ConnectionResetError as reset:
        error = reset
    done.set()
    await listener.close()
    return received, size, error


async def test_close_delivers_queued_bytes():
    received, size, error = await send_then_end(lambda stream: stream.close())
    assert received == size and error is None


async def test_abort_discards_queued_bytes_and_resets():
    received, size, error = await send_then_end(lambda stream: stream.abort())
    assert received < size
    assert isinstance(error, ConnectionResetError)


async def test_second_abort_has_no_effect():
    network = TcpNetwork()

    async def accept(stream):
        await stream.read(1)

    listener = await network.listen("127.0.0.1:0", accept)
    stream = await network.connect(listener.address)
    stream.abort()
    stream.abort()
    await listener.close()


# Guards against an attempt that goes on after its caller has left: a cancellation that came as the
# connection was established had no effect.
async def test_a_connect_that_is_cancelled_as_it_succeeds_is_cancelled():
    network = TcpNetwork()
    accepted = []

    async def accept(stream):
        accepted.append(stream)
        await stream.read(1)

    listener = await network.listen("127.0.0.1:0", accept)
    try:
        for turns in [*range(12)] * 20:
            connecting = asyncio.create_task(network.connect(listener.address))
            for _ in range(turns):
                await asyncio.sleep(0)
            if connecting.cancel():
                with pytest.raises(asyncio.CancelledError):
                    await connecting
            else:
                (await connecting).close()
    finally:
        await listener.close()
