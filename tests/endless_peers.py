"""Peers that send bytes that are no message without end, and a gauge of the event loop."""

import asyncio
import gc
import select
import socket
import threading
import time
from contextlib import asynccontextmanager, contextmanager, suppress

OK_HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
UNFRAMED = OK_HEAD + b"Connection: close\r\n\r\n"
LONG = OK_HEAD + b"Content-Length: 1000000000000\r\n\r\n"
WRITE_BYTES = 1 << 16

# What comes first, and what comes again and again after it.
ENDLESS_ANSWERS = {
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "headers": (OK_HEAD, b"a: b\r\n"),
    "headers without values": (OK_HEAD, b"a:\r\n"),
    "a folded header": (OK_HEAD + b"a: b\r\n", b" c\r\n"),
    "one header": (OK_HEAD + b"a: ", b"b"),
    "a reason": (b"HTTP/1.1 200 ", b"O"),
    "no answer": (b"", b"\0"),
    "chunks of one byte": (CHUNKED, b"1\r\nx\r\n"),
    "chunks of an empty event": (CHUNKED, b"2\r\n\n\n\r\n"),
    "chunks with extensions": (CHUNKED, b"1;" + b"e" * 1000 + b"\r\nx\r\n"),
    "one extension": (CHUNKED + b"1;", b"e"),
    "a head of 15,000 lines": (OK_HEAD + b"a:\r\n" * 15_000 + b"\r\n", b"x"),
    "trailers of 15,000 lines": (CHUNKED + b"0\r\n" + b"a:\r\n" * 15_000 + b"\r\n", b"x"),
    "trailers": (CHUNKED + b"0\r\n", b"a:\r\n"),
    "empty events": (UNFRAMED, b"\n"),
    "small events": (UNFRAMED, b"id: 1\n\n"),
    "small events of a length": (LONG, b"id: 1\n\n"),
    "events in chunks": (CHUNKED, b"f\r\nid: 1\ndata: x\n\n\r\n"),
    "one event": (UNFRAMED, b"data: x\n"),
    "one id": (UNFRAMED + b"id: ", b"9"),
    "a body": (UNFRAMED, b"x" * 100),
}


class LoopGauge:
    """Measures the processor time of the event loop's turns, which a busy machine does not change.

    with measured_loop() as gauge:
        ...
    gauge.longest_turn_s, gauge.total_s
    """

    def __init__(self) -> None:
        self.longest_turn_s = 0.0
        self.total_s = 0.0
        self._is_running = True
        self._began_at = self._turn_at = time.thread_time()

    def start(self) -> None:
        """Measure from the next turn on."""
        self._turn_at = time.thread_time()
        asyncio.get_running_loop().call_soon(self._end_turn)

    def stop(self) -> None:
        """End the measurement."""
        self._is_running = False
        self.total_s = time.thread_time() - self._began_at

    def _end_turn(self) -> None:
        now = time.thread_time()
        self.longest_turn_s = max(self.longest_turn_s, now - self._turn_at)
        self._turn_at = now
        if self._is_running:
            # Once in a ms: a callback in each turn would keep the loop busy by itself.
            asyncio.get_running_loop().call_later(0.001, self._begin_turn)

    def _begin_turn(self) -> None:
        self._turn_at = time.thread_time()
        asyncio.get_running_loop().call_soon(self._end_turn)


@contextmanager
def measured_loop():
    """Measure the running loop within the block.

    Collecting the garbage of a whole test session takes longer than a turn may.
    """
    gauge = LoopGauge()
    gc.disable()
    gauge.start()
    try:
        yield gauge
    finally:
        gauge.stop()
        gc.enable()


class SocketPeer:
    """A server in a thread that answers each connection with endless bytes, as fast as it can."""

    def __init__(self, first: bytes, repeated: bytes, reads_request: bool = True) -> None:
        self.sent_bytes = 0
        self.connections = 0
        self._first = first
        self._repeated = repeated * (WRITE_BYTES // len(repeated))
        self._reads_request = reads_request
        self._server = socket.create_server(("127.0.0.1", 0))
        self._threads: list[threading.Thread] = []
        self._sockets: list[socket.socket] = []

    @property
    def address(self) -> str:
        ip, port = self._server.getsockname()
        return f"{ip}:{port}"

    def start(self) -> None:
        self._start_thread(self._accept)

    def close(self) -> None:
        for each in [self._server, *self._sockets]:
            with suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)
            each.close()
        for thread in self._threads:
            thread.join(5.0)

    def _start_thread(self, work, *args) -> None:
        thread = threading.Thread(target=work, args=args, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                connection, _ = self._server.accept()
                self._sockets.append(connection)
                self.connections += 1
                self._start_thread(self._send, connection)

    def _send(self, connection: socket.socket) -> None:
        with suppress(OSError), connection:
            if self._reads_request:
                connection.recv(1 << 16)
            connection.sendall(self._first)
            while True:
                connection.sendall(self._repeated)
                self.sent_bytes += len(self._repeated)


@asynccontextmanager
async def socket_peer(first: bytes, repeated: bytes):
    """Run a `SocketPeer` within the block."""
    peer = SocketPeer(first, repeated)
    peer.start()
    try:
        yield peer
    finally:
        await asyncio.to_thread(peer.close)


async def send_endlessly(address: str, first: bytes, repeated: bytes, seconds: float) -> None:
    """Send endless bytes to a server for a time, or until it closes; read what it answers."""

    def send() -> None:
        ip, _, port = address.rpartition(":")
        until = time.monotonic() + seconds
        data = repeated * max(1, WRITE_BYTES // len(repeated))
        with suppress(OSError), socket.create_connection((ip, int(port))) as connection:
            connection.setblocking(False)
            unsent = memoryview(first + data)
            while time.monotonic() < until:
                readable, writable, _ = select.select([connection], [connection], [], 0.1)
                if readable and not connection.recv(WRITE_BYTES):
                    return
                if writable:
                    unsent = unsent[connection.send(unsent) :] or memoryview(data)

    await asyncio.to_thread(send)
