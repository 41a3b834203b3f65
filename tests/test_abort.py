"""A stream that is reset: what the other side has not got it never gets."""

import asyncio

from lacewinggw.wire.network import TcpNetwork


async def bytes_that_arrive(end):
    """Send over TCP to a host that reads nothing at first; end the stream; return what it reads."""
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


async def test_a_closed_stream_still_sends_what_is_queued():
    received, size, error = await bytes_that_arrive(lambda stream: stream.close())
    assert received == size and error is None


async def test_an_aborted_stream_sends_nothing_more():
    received, size, error = await bytes_that_arrive(lambda stream: stream.abort())
    assert received < size
    assert isinstance(error, ConnectionResetError)


async def test_aborting_twice_does_nothing():
    network = TcpNetwork()

    async def accept(stream):
        await stream.read(1)

    listener = await network.listen("127.0.0.1:0", accept)
    stream = await network.connect(listener.address)
    stream.abort()
    stream.abort()
    await listener.close()
