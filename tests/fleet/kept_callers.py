"""Callers that use their connections again and again, and a record of each of their requests."""

import asyncio
import math
import random
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum

import h11

from lacewinggw.wire.network import Stream

HOST = "notes.example"
PIECE_BYTES = 1 << 16
SLOW_PIECES = 4  # of a request that is sent slowly
RECONNECT_S = 0.1  # after a connection was refused
ANSWER_SLACK_S = 0.6  # that a caller waits for an answer beyond its own time limit


Connect = Callable[[int], Awaitable[Stream]]


class Outcome(Enum):
    """How a request ended for its caller."""

    WHOLE = "a whole answer"
    CUT = "closed in the middle of the answer"
    CLOSED = "closed without an answer"
    GIVEN_UP = "given up by the caller after a gap"
    HELD = "no end of the answer after the time limit"


@dataclass(frozen=True)
class Wanted:
    """A request to send; `gap_s` is the gap without data after which the caller gives it up."""

    method: str
    path: str
    left_s: float
    gap_s: float
    headers: dict[str, str] = field(default_factory=dict)
    length: int = 0  # padding of the body, in bytes
    send_s: float = 0.0  # time over which the request is sent, in pieces


@dataclass
class Attempt:
    """One request of a caller as the caller saw it; times by the loop's clock.

    It was sent from `begun_at` to `sent_at`.
    """

    call_id: str
    wanted: Wanted
    entry: int
    connected_at: float
    place_on_connection: int
    begun_at: float
    sent_at: float = math.inf
    outcome: Outcome | None = None
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    first_at: float | None = None
    ended_at: float = 0.0

    @property
    def has_answer(self) -> bool:
        """Whether the caller received a whole answer of any status."""
        return self.outcome is Outcome.WHOLE


def end_marker(call_id: str) -> bytes:
    """Return the last bytes of a request's body, which nothing else contains."""
    return f"end of {call_id}.".encode()


class KeptCaller:
    """A caller that keeps a connection until the entry ends it, then opens one to any entry.

    `connect` opens a connection to an entry by number. `draw` returns the next request, and `pause`
    the time in seconds before it.
    """

    def __init__(
        self,
        connect: Connect,
        name: str,
        entries: int,
        rng: random.Random,
        draw: Callable[[], Wanted],
        pause: Callable[[], float],
    ) -> None:
        self.attempts: list[Attempt] = []
        self.stray: list[bytes] = []  # bytes received while no request was waiting
        self._connect = connect
        self._name = name
        self._entries = entries
        self._rng = rng
        self._draw = draw
        self._pause = pause

    async def run(self, until: float) -> None:
        """Send requests until a time; return when the last one has ended."""
        while _now() < until:
            entry = self._rng.randrange(self._entries)
            try:
                stream = await self._connect(entry)
            except OSError:
                await asyncio.sleep(RECONNECT_S)
                continue
            try:
                await self._use(stream, entry, until)
            finally:
                stream.close()

    async def _use(self, stream: Stream, entry: int, until: float) -> None:
        """Send requests on one connection until it ends."""
        connection = h11.Connection(h11.CLIENT)
        connected_at, place = _now(), 0
        while _now() < until:
            wanted = self._draw()
            attempt = Attempt(
                f"{self._name}-{len(self.attempts)}", wanted, entry, connected_at, place, _now()
            )
            self.attempts.append(attempt)
            place += 1
            await self._exchange(stream, connection, attempt)
            attempt.ended_at = _now()
            is_done = connection.their_state is h11.DONE and connection.our_state is h11.DONE
            if not attempt.has_answer or not is_done:
                return
            connection.start_next_cycle()
            if not await self._stay_idle(stream, _retry_after_s(attempt)):
                return

    async def _stay_idle(self, stream: Stream, at_least_s: float) -> bool:
        """Wait before the next request; return whether the connection is still open."""
        with suppress(TimeoutError):
            async with asyncio.timeout(max(at_least_s, self._pause())):
                try:
                    data = await stream.read(PIECE_BYTES)
                except OSError:
                    return False
                if data:
                    self.stray.append(data)
                return False
        return True

    async def _exchange(self, stream: Stream, connection: h11.Connection, attempt: Attempt) -> None:
        try:
            await _send(stream, connection, attempt)
            await self._read_answer(stream, connection, attempt)
        except TimeoutError:
            left_s = attempt.wanted.left_s + ANSWER_SLACK_S
            is_held = _now() >= attempt.begun_at + left_s
            attempt.outcome = Outcome.HELD if is_held else Outcome.GIVEN_UP
        except (OSError, h11.RemoteProtocolError):
            attempt.outcome = Outcome.CUT if attempt.status else Outcome.CLOSED

    async def _read_answer(
        self, stream: Stream, connection: h11.Connection, attempt: Attempt
    ) -> None:
        latest = attempt.begun_at + attempt.wanted.left_s + ANSWER_SLACK_S
        data_at = attempt.sent_at
        while True:
            event = connection.next_event()
            match event:
                case h11.NEED_DATA:
                    async with asyncio.timeout_at(min(latest, data_at + attempt.wanted.gap_s)):
                        data = await stream.read(PIECE_BYTES)
                    connection.receive_data(data)
                    data_at = _now()
                case h11.Response():
                    attempt.status, attempt.first_at = event.status_code, _now()
                    attempt.headers = {
                        name.decode(): value.decode() for name, value in event.headers
                    }
                case h11.Data():
                    attempt.body += bytes(event.data)
                case h11.EndOfMessage():
                    attempt.outcome = Outcome.WHOLE
                    return
                case h11.ConnectionClosed():
                    attempt.outcome = Outcome.CUT if attempt.status else Outcome.CLOSED
                    return


def _retry_after_s(attempt: Attempt) -> float:
    """Return how long a refused caller waits, up to a third of the time that it had left."""
    wait_s = float(attempt.headers.get("retry-after", 0.0))
    return min(wait_s, attempt.wanted.left_s / 3)


async def _send(stream: Stream, connection: h11.Connection, attempt: Attempt) -> None:
    data, pause_s = _encode(connection, attempt), attempt.wanted.send_s / SLOW_PIECES
    pieces = SLOW_PIECES if pause_s else 1
    for number in range(pieces):
        stream.write(data[number * len(data) // pieces : (number + 1) * len(data) // pieces])
        await asyncio.sleep(pause_s)
    attempt.sent_at = _now()


def _encode(connection: h11.Connection, attempt: Attempt) -> bytes:
    wanted = attempt.wanted
    body = b"." * wanted.length + end_marker(attempt.call_id)
    headers = {
        "Host": HOST,
        "X-Attempt-Id": attempt.call_id,
        "X-Deadline-Remaining": str(round(1000 * wanted.left_s)),
        "Content-Length": str(len(body)),
        **wanted.headers,
    }
    request = h11.Request(method=wanted.method, target=wanted.path, headers=list(headers.items()))
    data = connection.send(request) or b""
    data += connection.send(h11.Data(data=body)) or b""
    return data + (connection.send(h11.EndOfMessage()) or b"")


def _now() -> float:
    return asyncio.get_running_loop().time()
