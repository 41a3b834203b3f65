"""A listener whose process runs out of descriptors.

Guards against an event loop that is busy with connections that it cannot accept, and against a line
of the log for each of them.
"""

import asyncio
import errno

import structlog

from lacewinggw.wire.network import ACCEPT_PAUSE_S, MAX_OPENING, TcpNetwork

CLIENTS = 50


class FullSocket:
    """A listening socket for which the process has no descriptors while `is_full`."""

    def __init__(self, listening) -> None:
        self.is_full = True
        self.tries = 0
        self._listening = listening

    def accept(self):
        self.tries += 1
        if self.is_full:
            raise OSError(errno.EMFILE, "too many open files")
        return self._listening.accept()

    def __getattr__(self, name):
        return getattr(self._listening, name)


async def test_a_process_without_descriptors_pauses_and_serves_later():
    accepted = []

    async def accept(stream) -> None:
        accepted.append(stream)
        stream.write(b"x")

    network = TcpNetwork()
    listener = await network.listen("127.0.0.1:0", accept)
    full = listener._socket = FullSocket(listener._socket)
    with structlog.testing.capture_logs() as lines:
        clients = [await network.connect(listener.address) for _ in range(CLIENTS)]
        await asyncio.sleep(5 * ACCEPT_PAUSE_S)
        assert not accepted
        assert full.tries <= 10
        assert len([line for line in lines if line["event"] == "accept_paused"]) == 1
        full.is_full = False
        for client in clients:
            assert await client.read(1) == b"x"
    for client in clients:
        client.close()
    await listener.close()


async def test_a_flood_of_connections_is_accepted_little_by_little():
    most = 0

    async def accept(stream) -> None:
        nonlocal most
        most = max(most, len(listener._opening))

    network = TcpNetwork()
    listener = await network.listen("127.0.0.1:0", accept)
    clients = [await network.connect(listener.address) for _ in range(CLIENTS)]
    for client in clients:
        assert await client.read(1) == b""
        client.close()
    assert most <= MAX_OPENING
    await listener.close()


async def test_connections_that_wait_are_accepted_when_a_listener_closes():
    accepted = []

    async def accept(stream) -> None:
        accepted.append(stream)
        await stream.read(1)

    network = TcpNetwork()
    listener = await network.listen("127.0.0.1:0", accept)
    clients = [await network.connect(listener.address) for _ in range(CLIENTS)]
    await listener.close()
    await asyncio.sleep(0.1)
    assert len(accepted) == CLIENTS
    for client in clients:
        client.close()
