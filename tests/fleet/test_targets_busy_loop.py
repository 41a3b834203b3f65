"""An event loop that is busy beyond a timeout must not make a sound target look silent."""

import asyncio
import socket
import threading
import time
from contextlib import suppress

import pytest

from lacewinggw.wire.http import HttpClient, NotConnectedError, StreamedResponse
from lacewinggw.wire.network import TcpNetwork

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
BUSY_S = 0.4
TIMEOUT_S = 0.2


def keep_busy() -> None:
    time.sleep(BUSY_S)


def answer_late(server: socket.socket) -> None:
    """Answer one request while the event loop of the test is busy."""
    connection, _ = server.accept()
    with connection, suppress(OSError):
        connection.recv(1 << 16)
        time.sleep(TIMEOUT_S / 2)
        connection.sendall(ANSWER)
        connection.recv(1 << 16)


@pytest.fixture
async def address():
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(1 << 16)
        writer.write(ANSWER)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    ip, port = server.sockets[0].getsockname()
    yield f"{ip}:{port}"
    server.close()


async def ask(address: str, busy_after_turns: int, connect_s: float, head_s: float) -> int:
    """Make a request, and keep the loop busy once it has turned a few times."""
    client = HttpClient(TcpNetwork(), idle_connections=0)
    asked = asyncio.ensure_future(
        client.stream(address, "GET", "/", timeout_s=5.0, connect_s=connect_s, head_s=head_s)
    )
    for _ in range(busy_after_turns):
        await asyncio.sleep(0)
    keep_busy()
    return await finish(asked)


async def finish(asked: "asyncio.Future[StreamedResponse]") -> int:
    """Return the status of a response, and close its connection."""
    response = await asked
    await response.aclose()
    return response.status


async def test_a_target_that_accepted_a_connection_meanwhile_counts_as_connected(address):
    assert await ask(address, 2, connect_s=TIMEOUT_S, head_s=5.0) == 200


async def test_a_target_that_answered_meanwhile_counts_as_having_answered():
    with socket.create_server(("127.0.0.1", 0)) as server:
        threading.Thread(target=answer_late, args=(server,), daemon=True).start()
        ip, port = server.getsockname()
        asked = asyncio.ensure_future(
            HttpClient(TcpNetwork(), idle_connections=0).stream(
                f"{ip}:{port}", "GET", "/", timeout_s=5.0, connect_s=5.0, head_s=TIMEOUT_S
            )
        )
        await asyncio.sleep(TIMEOUT_S / 4)
        keep_busy()
        assert await finish(asked) == 200


async def test_a_target_that_does_not_answer_still_times_out():
    ended = asyncio.Event()

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError):
            await reader.read()
        writer.close()
        ended.set()

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    ip, port = server.sockets[0].getsockname()
    with pytest.raises(TimeoutError):
        await ask(f"{ip}:{port}", 6, connect_s=5.0, head_s=TIMEOUT_S)
    await ended.wait()
    server.close()


async def test_an_address_without_a_process_is_still_refused_at_once():
    with pytest.raises(NotConnectedError):
        await ask("127.0.0.1:9", 0, connect_s=TIMEOUT_S, head_s=TIMEOUT_S)
