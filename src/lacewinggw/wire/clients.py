"""Limit what clients make a process hold: connections per listener, and memory in all.

Each accepted connection has a `ClientConnection`, which knows what it waits for and accounts for
the memory that it takes:

    client = admission.admit(close)  # may close another connection; None if there is no room
    if client is not None:
        await client.reserve(size)  # waits for memory; raises `Overloaded` if there is none
        ...
        admission.leave(client, stream)
"""

import asyncio
import sys
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum

from lacewinggw.decisions.clientload import (
    ClientState,
    ClientUse,
    ConnectionLimit,
    MemoryLimit,
    choose_for_memory,
)
from lacewinggw.errors import Overloaded
from lacewinggw.generated.settings.ttypes import ProcessSettings
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics
from lacewinggw.wire.network import Stream

# Of a machine's memory: the process without clients, with its view of the fleet.
PROCESS_BYTES = 80_000_000
# Of what is left: what clients send and are sent, and connections without that. The remainder is
# for copies made in between, and for memory that the allocator cannot reuse.
HELD_SHARE = 0.5
CONNECTIONS_SHARE = 0.25
MIN_HELD_BYTES = 16 << 20
CONNECTION_BYTES = 48 << 10  # with the buffers of the connection, here and in the kernel
FILE_DESCRIPTORS = 200  # not for sockets
CALLERS_SHARE = 1 / 2  # of the sockets: connections of callers
PAGE_SHARE = 1 / 16  # connections to each other listener; the remaining sockets are the process's
LISTENERS_SHARE = CALLERS_SHARE + 4 * PAGE_SHARE  # of an entry, which has the most
MIN_CONNECTIONS = 16
WAIT_S = 1.0  # for memory
WAIT_STEP_S = 0.1
MAX_WAITING = 64
RETRY_AFTER_MS = 1000
LOG_INTERVAL_S = 1.0
# What a request takes in memory: its body is copied once, and each line of its head is decoded.
BODY_COPIES = 2
HEAD_LINE_BYTES = 400
WRITE_BYTES = 1 << 16  # of an answer, written at a time
SEND_REST_S = 5.0  # for a client to read what is left to send when its connection is closed

log = get_logger(__name__)


@dataclass(frozen=True)
class ClientLimits:
    """The limits of one process: bytes that clients may make it hold, and connections."""

    held_bytes: int
    callers: int
    page_clients: int

    @classmethod
    def unlimited(cls) -> "ClientLimits":
        """Return the limits of a process whose clients stay within limits of their own."""
        return cls(sys.maxsize, sys.maxsize, sys.maxsize)

    @classmethod
    def from_config(cls, settings: ProcessSettings) -> "ClientLimits":
        """Return the limits that suit a machine's memory and descriptors."""
        free_bytes = max(0, settings.memory_bytes - PROCESS_BYTES)
        by_memory = CONNECTIONS_SHARE * free_bytes / CONNECTION_BYTES / LISTENERS_SHARE
        sockets = min(settings.descriptors - FILE_DESCRIPTORS, by_memory)
        return cls(
            held_bytes=max(MIN_HELD_BYTES, int(HELD_SHARE * free_bytes)),
            callers=max(MIN_CONNECTIONS, int(CALLERS_SHARE * sockets)),
            page_clients=max(MIN_CONNECTIONS, int(PAGE_SHARE * sockets)),
        )


class Eviction(Enum):
    """Why a client's connection was closed for others."""

    CONNECTIONS = "connections"
    MEMORY = "memory"


Close = Callable[[Eviction], None]


class ClientConnection:
    """What one connection holds; `close` is called when it has to give way."""

    def __init__(self, clients: "Clients", limit: ConnectionLimit, close: Close) -> None:
        self.use = ClientUse(progressed_at=_now())
        self.close = close
        self._clients = clients
        self._limit = limit

    def enter(self, state: ClientState) -> None:
        """Note that the connection waits for something else, which is progress."""
        self.use.note_progress(_now())
        self._limit.move(self.use, state)

    def note_bytes(self, count: int) -> None:
        """Record bytes that the client sent, or read."""
        if self.use.note_bytes(count, _now()):
            self._limit.move(self.use, self.use.state)

    async def send(self, stream: Stream, data: bytes) -> None:
        """Send part of an answer, as fast as the client reads it."""
        state = self.use.state
        for begin in range(0, len(data), WRITE_BYTES):
            part = data[begin : begin + WRITE_BYTES]
            stream.write(part)
            if stream.unsent_bytes and self.use.state is not ClientState.UNREAD:
                self.enter(ClientState.UNREAD)
            await stream.drain()
            self.note_bytes(len(part))
        if self.use.state is not state:
            self.enter(state)

    async def reserve_head(self, lines: int) -> None:
        """Take memory for the decoded head of a request; raise `Overloaded` if there is none."""
        await self.reserve(HEAD_LINE_BYTES * lines)

    async def reserve_body(self, size: int) -> None:
        """Take memory for a body that is read next; raise `Overloaded` if there is none."""
        await self.reserve(BODY_COPIES * size)
        self.use.note_progress(_now())

    async def reserve(self, size: int, is_answer: bool = False, may_wait: bool = True) -> None:
        """Take memory, once other clients have given enough back.

        Raise `Overloaded` if there is none within `WAIT_S`, or at once if it may not wait.
        """
        await self._clients.reserve(self, size, is_answer, may_wait)

    def add(self, size: int) -> None:
        """Take memory that is used already."""
        self._clients.add(self, size)

    def release(self, size: int | None = None) -> None:
        """Give memory back, by default all of it."""
        self._clients.release(self, size)


@dataclass(frozen=True)
class _Waiting:
    """A client that waits for memory."""

    client: ClientConnection
    size: int
    granted: "asyncio.Future[None]"


class Clients:
    """The clients of one process, at all its listeners.

    clients = Clients.from_config(settings.process, metrics)
    admission = clients.caller_admission("callers")
    """

    def __init__(self, limits: ClientLimits, metrics: Metrics) -> None:
        self._limits = limits
        self._metrics = metrics
        self._memory = MemoryLimit(limits.held_bytes)
        self._connections: dict[ClientUse, ClientConnection] = {}
        self._waiting: deque[_Waiting] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._unlogged: dict[Eviction, int] = {}
        self._log_at = 0.0
        metrics.read_gauge("client_memory", lambda: self._memory.used_bytes)
        metrics.read_gauge("client_memory_limit", lambda: self._memory.limit_bytes)

    @classmethod
    def from_config(cls, settings: ProcessSettings, metrics: Metrics) -> "Clients":
        """Return the account of a process with these settings."""
        return cls(ClientLimits.from_config(settings), metrics)

    @classmethod
    def unlimited(cls) -> "Clients":
        """Return an account without limits."""
        return cls(ClientLimits.unlimited(), Metrics())

    def caller_admission(self, name: str) -> "ClientAdmission":
        """Return the admission of a listener for callers."""
        return self._admission(name, self._limits.callers)

    def page_admission(self, name: str) -> "ClientAdmission":
        """Return the admission of a listener that few clients use."""
        return self._admission(name, self._limits.page_clients)

    def _admission(self, name: str, connections: int) -> "ClientAdmission":
        limit = ConnectionLimit(connections)
        self._metrics.read_gauge("client_connections", lambda: len(limit), listener=name)
        return ClientAdmission(self, limit, name)

    def register(self, client: ClientConnection) -> None:
        """Add a connection."""
        self._connections[client.use] = client

    def remove(self, client: ClientConnection) -> None:
        """Remove a connection, with all that it holds."""
        self._connections.pop(client.use, None)
        self.release(client)

    def evict(self, use: ClientUse, reason: Eviction) -> None:
        """Close a connection for others, and give its memory back."""
        client = self._connections[use]
        self._metrics.count("clients_evicted", reason=reason.value)
        self._note_evicted(reason)
        client.release()
        client.close(reason)

    def count_refused(self, listener: str) -> None:
        """Count a connection for which no other one gave way."""
        self._metrics.count("clients_refused", listener=listener)

    def _note_evicted(self, reason: Eviction) -> None:
        """Log how many clients were closed, at most once in `LOG_INTERVAL_S`."""
        self._unlogged[reason] = self._unlogged.get(reason, 0) + 1
        now = _now()
        if now < self._log_at:
            return
        self._log_at = now + LOG_INTERVAL_S
        counts = {f"for_{each.value}": count for each, count in self._unlogged.items()}
        self._unlogged = {}
        log.warning("clients_evicted", held_bytes=self._memory.used_bytes, **counts)

    # ---- memory ---------------------------------------------------------------------------

    async def reserve(
        self, client: ClientConnection, size: int, is_answer: bool, may_wait: bool = True
    ) -> None:
        """Take memory for a client, in the order of asking but for answers, which go first."""
        goes_first = is_answer or client.use.is_small_with(size)
        if (goes_first or not self._waiting) and self._memory.take(client.use, size):
            return
        if not may_wait or (len(self._waiting) >= MAX_WAITING and not is_answer):
            raise self._overloaded()
        waiting = _Waiting(client, size, asyncio.get_running_loop().create_future())
        if goes_first:
            self._waiting.appendleft(waiting)
        else:
            self._waiting.append(waiting)
        self._serve_waiting()
        try:
            async with asyncio.timeout(WAIT_S):
                await waiting.granted
        except TimeoutError as error:
            raise self._overloaded() from error
        except asyncio.CancelledError:
            if waiting.granted.done() and not waiting.granted.cancelled():
                self.release(client, size)
            raise
        finally:
            with suppress(ValueError):
                self._waiting.remove(waiting)

    def add(self, client: ClientConnection, size: int) -> None:
        """Take memory that is used already; others give way for it if they can."""
        self._memory.add(client.use, size)
        if self._memory.is_exceeded:
            self._start_timer()

    def release(self, client: ClientConnection, size: int | None = None) -> None:
        """Give memory back, and serve those that wait for it."""
        self._memory.release(client.use, size)
        if self._waiting:
            self._start_timer(0.0)

    def _serve_waiting(self) -> None:
        """Grant memory to the clients that wait, as far as others give way."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._waiting:
            waiting = self._waiting[0]
            if waiting.granted.done():
                self._waiting.popleft()
            elif self._memory.take(waiting.client.use, waiting.size):
                self._waiting.popleft()
                waiting.granted.set_result(None)
            elif not self._evict_for_memory(waiting.client.use.is_small_with(waiting.size)):
                break
        while self._memory.is_exceeded and self._evict_for_memory(for_small=True):
            pass
        if self._waiting or self._memory.is_exceeded:
            self._start_timer()

    def _evict_for_memory(self, for_small: bool) -> bool:
        """Have a stalled client give way; return whether there is one."""
        small_limit_bytes = 0.0 if for_small else self._memory.small_limit_bytes
        use = choose_for_memory(self._connections, _now(), small_limit_bytes)
        if use is None:
            return False
        self.evict(use, Eviction.MEMORY)
        return True

    def _start_timer(self, delay_s: float = WAIT_STEP_S) -> None:
        loop = asyncio.get_running_loop()
        if self._timer is not None and self._timer.when() <= loop.time() + delay_s:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = loop.call_later(delay_s, self._serve_waiting)

    def _overloaded(self) -> Overloaded:
        self._metrics.count("client_memory_refusals")
        return overloaded("no memory for a request of this size now")


class ClientAdmission:
    """The connections of one listener, within a limit."""

    def __init__(self, clients: Clients, limit: ConnectionLimit, name: str) -> None:
        self._clients = clients
        self._limit = limit
        self._name = name

    def admit(self, close: Close) -> ClientConnection | None:
        """Add a connection; close another one for it, or return None if all are in use."""
        if self._limit.is_reached:
            use = self._limit.choose(_now())
            if use is None:
                self._clients.count_refused(self._name)
                return None
            self._limit.remove(use)
            self._clients.evict(use, Eviction.CONNECTIONS)
        client = ClientConnection(self._clients, self._limit, close)
        self._limit.add(client.use)
        self._clients.register(client)
        return client

    def leave(self, client: ClientConnection, stream: Stream) -> None:
        """Remove a closed connection, once what is left to send is sent or takes too long."""
        client.release()
        client.close = lambda _: stream.abort()  # the previous one keeps the connection's state
        if not stream.unsent_bytes:
            self.remove(client)
            return
        client.add(stream.unsent_bytes)
        client.enter(ClientState.CLOSING)
        asyncio.get_running_loop().call_later(SEND_REST_S, self._end, client, stream)

    def _end(self, client: ClientConnection, stream: Stream) -> None:
        stream.abort()
        self.remove(client)

    def remove(self, client: ClientConnection) -> None:
        """Remove a connection, which need not be closed."""
        self._limit.remove(client.use)
        self._clients.remove(client)


def overloaded(reason: str = "others need the memory") -> Overloaded:
    """Return the refusal of a request that was not read completely, so it has not run."""
    return Overloaded(reason, retry_after_ms=RETRY_AFTER_MS)


def _now() -> float:
    return asyncio.get_running_loop().time()
