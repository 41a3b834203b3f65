"""Offer a request to one target and classify the outcome.

`Offers.send` sends the request and returns once the head of the answer has arrived. The kind of the
outcome states what is proved, so that the caller can decide whether a retry is safe:

    match await offers.send(admitted, load, options, timeout_s):
        case NotExecuted(): ...     # proved: the target did not run it
        case Answer(): ...          # the head; the body is still to come
        case OutcomeUnknown(): ...  # it may have run
"""

import asyncio
import math
from collections.abc import AsyncGenerator, AsyncIterator, Callable, Iterator
from contextlib import aclosing, asynccontextmanager
from dataclasses import dataclass, field
from enum import Enum

from lacewinggw.clients.calls import join_path
from lacewinggw.decisions.deadlines import time_left_ms
from lacewinggw.decisions.dispatch import TargetPool
from lacewinggw.decisions.homeregions import Homes, anywhere
from lacewinggw.decisions.targetload import TargetLoad
from lacewinggw.errors import AnswerIncomplete, AnswerMalformed, Overloaded
from lacewinggw.frontend.admission import AdmittedRequest
from lacewinggw.frontend.calls import (
    DEFAULT_URGENCY,
    AnswerFacts,
    CallCodec,
    DispatchFacts,
    end_to_end_headers,
)
from lacewinggw.frontend.targetanswers import TargetAnswers
from lacewinggw.wire.clients import ClientConnection
from lacewinggw.wire.events import EVENT_END, EventSplitter, StreamEvent
from lacewinggw.wire.http import (
    Headers,
    HttpClient,
    HttpError,
    NotConnectedError,
    StreamedResponse,
)

CONNECT_TIMEOUT_S = 0.25  # takes a few ms; a link with a queue of a second is unusable
LIVENESS_TIMEOUT_S = 0.25
BODY_LIMIT_BYTES = 16 << 20
RESERVED_BYTES = 1 << 14  # of memory at first, for an answer whose length is not stated
SMALL_ANSWER_BYTES = 1 << 20  # waits for memory; a larger one does if its length is stated
# Events that an answer may have, and more for each second that it takes.
MAX_EVENTS = 16_000
EVENTS_PER_S = 1000.0
EVENTS_PER_TURN = 64  # parsed before other connections are read
OK = 200
BUSY = 503  # status of a target without a free slot
MISDIRECTED = 421  # status of a target that is not the one that was meant
FIRST_ERROR = 400


class _TargetClosed(Exception):
    """The target stopped accepting requests while the connection to it was opened."""


@dataclass(frozen=True)
class NotExecuted:
    """The target did not run the request, and this is proved.

    `is_full`: the target had no free slot. `is_replaced`: another target answers at its address.
    `has_reached_target` is false if no connection was opened, or if the target stopped accepting
    requests before the request was sent (`is_closed`).
    """

    reason: str
    is_full: bool = False
    is_replaced: bool = False
    has_reached_target: bool = True
    is_closed: bool = False


class AnswerFault(Enum):
    """Why something that a target sent is not an answer to the request."""

    UNSEALED = "unsealed"  # a success without the response seal
    MISDIRECTED = "misdirected"  # the answer to another request
    MALFORMED = "malformed"  # bytes that violate HTTP, or that cost more than an answer may


_FAULT_REASONS = {
    AnswerFault.UNSEALED: "a success without the response seal",
    AnswerFault.MISDIRECTED: "the answer belongs to another request",
}


@dataclass(frozen=True)
class OutcomeUnknown:
    """The request may have run, but there is no answer.

    `has_timed_out`: nothing came in time. `fault`: what came is not an answer.
    """

    reason: str
    has_timed_out: bool = False
    fault: AnswerFault | None = None


@dataclass(frozen=True)
class Answer:
    """The head of an answer that belongs to the request; a success has the response seal."""

    status: int
    headers: Headers
    facts: AnswerFacts
    response: StreamedResponse
    client: ClientConnection | None = field(default=None, compare=False)  # of the caller

    @property
    def is_success(self) -> bool:
        """Whether the target served the request."""
        return self.status < FIRST_ERROR

    async def close(self) -> None:
        """Discard the rest of the body."""
        await self.response.aclose()


@dataclass(frozen=True)
class OfferOptions:
    """What differs between the offers of one request.

    `homes` returns where it may run. It is not sent later than at `send_by`, by the loop's clock.
    `on_send` is called right before it is sent: from then on the target may run it.
    """

    version: int | None = None
    resume_after: int | None = None
    urgency: int = DEFAULT_URGENCY
    homes: Callable[[], Homes] = field(default=anywhere, compare=False)
    send_by: float = math.inf
    on_send: Callable[[], None] = field(default=lambda: None, compare=False)


class Offers:
    """Sends requests to targets, each on a connection of its own.

    A new connection carries no data of another request, and a failure to open it proves that
    nothing was sent.
    """

    def __init__(
        self, http: HttpClient, codec: CallCodec, pool: TargetPool, answers: TargetAnswers
    ) -> None:
        self._http = http
        self._codec = codec
        self._pool = pool
        self._answers = answers

    async def send(
        self,
        admitted: AdmittedRequest,
        load: TargetLoad,
        options: OfferOptions,
        timeout_s: float,
    ) -> Answer | NotExecuted | OutcomeUnknown:
        """Offer the request; return once the head of the answer arrived or the offer failed.

        The head, and each part of the body, may take `timeout_s` seconds.
        """
        now = asyncio.get_running_loop().time()
        dispatch = DispatchFacts(
            target=load.entry.name,
            account=admitted.account.name if admitted.account else None,
            time_left_ms=max(1, time_left_ms(admitted.deadline, now)),
            urgency=options.urgency,
            version=options.version,
            resume_after=options.resume_after,
        )
        headers = self._codec.write_call(end_to_end_headers(admitted.call.headers), dispatch)
        asked_at = self._answers.read_clock()
        try:
            response = await self._http.stream(
                load.entry.address,
                admitted.call.method,
                admitted.call.target,
                headers,
                admitted.call.body,
                timeout_s,
                CONNECT_TIMEOUT_S,
                on_connected=lambda took_s: self._check_open(load, options, took_s, now + took_s),
            )
        except _TargetClosed:
            return NotExecuted(
                "the target stopped accepting requests", has_reached_target=False, is_closed=True
            )
        except NotConnectedError as error:
            ended_at = asyncio.get_running_loop().time()
            load.note_connect_failure(ended_at - now, ended_at)
            return NotExecuted(f"cannot connect: {error}", has_reached_target=False)
        except TimeoutError:
            return OutcomeUnknown("no answer in time", has_timed_out=True)
        except HttpError as error:
            return OutcomeUnknown(f"no answer: {error}", fault=AnswerFault.MALFORMED)
        except OSError as error:
            return OutcomeUnknown(f"no answer: {error}")
        return await self._classify(admitted, load, response, asked_at)

    async def is_replaced(self, load: TargetLoad, liveness_path: str) -> bool:
        """Return whether another target states that it has the address of this one.

        A target may make a liveness check wait for a slot, so no answer proves nothing.
        """
        path, address = join_path(liveness_path), load.entry.address
        try:
            response = await self._http.request(address, "GET", path, timeout_s=LIVENESS_TIMEOUT_S)
        except (OSError, TimeoutError, HttpError):
            return False
        facts = self._codec.read_answer(response.status, response.headers)
        return facts.answered_by not in (None, load.entry.name)

    def _check_open(
        self, load: TargetLoad, options: OfferOptions, took_s: float, now: float
    ) -> None:
        """Check again whether the target may get the request, once the connection is open.

        The request is sent right after this.
        """
        load.note_connect(took_s, now)
        is_home = self._pool.is_home(load, options.homes())
        if not (is_home and self._pool.may_send(load, now)) or now > options.send_by:
            raise _TargetClosed
        options.on_send()

    async def _classify(
        self,
        admitted: AdmittedRequest,
        load: TargetLoad,
        response: StreamedResponse,
        asked_at: float,
    ) -> Answer | NotExecuted | OutcomeUnknown:
        load.note_data(asyncio.get_running_loop().time())
        facts = self._codec.read_answer(response.status, response.headers)
        fault = _find_fault(admitted, response.status, facts)
        if fault is not None:
            await response.aclose()
            return OutcomeUnknown(_FAULT_REASONS[fault], fault=fault)
        is_gone = facts.answered_by not in (None, load.entry.name)
        if not is_gone:
            self._answers.apply_facts(load, facts, asked_at)
        if facts.not_run or (is_gone and response.status == MISDIRECTED):
            await response.aclose()
            return NotExecuted(
                f"the target answered {response.status}",
                is_full=response.status == BUSY,
                is_replaced=is_gone,
            )
        return Answer(response.status, response.headers, facts, response, admitted.call.client)


def _find_fault(admitted: AdmittedRequest, status: int, facts: AnswerFacts) -> AnswerFault | None:
    """Return why a head is not that of an answer to the request; None if it is.

    Nothing else in such a head can be relied on, not even that the request was not run.
    """
    if facts.call_id not in (None, admitted.facts.call_id):
        return AnswerFault.MISDIRECTED
    if status < FIRST_ERROR and not facts.sealed:
        return AnswerFault.UNSEALED
    return None


async def read_whole(answer: Answer, on_data: Callable[[], None]) -> bytes:
    """Return the complete body of an answer; raise `AnswerIncomplete` if it ends early.

    `on_data` is called each time a part of it arrives. The caller's account holds the memory until
    the request ends.
    """
    parts: list[bytes] = []
    size = room = 0
    async with (
        _receiving(answer),
        aclosing(answer.response.pieces(BODY_LIMIT_BYTES)) as pieces,
    ):
        async for piece in pieces:
            on_data()
            size += len(piece)
            if size > room:
                room += await _make_room(answer, size - room, room)
            parts.append(piece)
    return b"".join(parts)


async def _make_room(answer: Answer, size: int, room: int) -> int:
    """Take memory for `size` bytes more of an answer than there is room for; return how much.

    Raise `AnswerMalformed` if there is none.
    """
    length = answer.headers.get("content-length", "")
    expected = int(length) if length.isdigit() else max(RESERVED_BYTES, room)
    taken = max(size, min(expected, BODY_LIMIT_BYTES))
    may_wait = bool(length) or room + taken <= SMALL_ANSWER_BYTES
    if answer.client is not None:
        try:
            await answer.client.reserve(taken, is_answer=True, may_wait=may_wait)
        except Overloaded as error:
            raise AnswerMalformed(f"no memory for {taken} bytes of an answer") from error
    return taken


async def read_events(answer: Answer) -> AsyncGenerator[list[StreamEvent], None]:
    """Yield the events of an answer as they arrive; raise `AnswerIncomplete` if it ends early."""
    splitter = EventSplitter()
    limit = _EventLimit()
    async with (
        _receiving(answer),
        aclosing(answer.response.pieces(BODY_LIMIT_BYTES)) as pieces,
    ):
        async for data in pieces:
            for part in _slice_by_events(data):
                events = splitter.feed(part)
                limit.add(len(events), len(part))
                if events:
                    yield events
                if len(part) < len(data):
                    await answer.response.wait_for_turn()
    if splitter.has_partial_event:
        raise AnswerIncomplete("the stream ended inside an event")


@asynccontextmanager
async def _receiving(answer: Answer) -> AsyncIterator[None]:
    """Close an answer in the end; raise `AnswerIncomplete` for errors of receiving its body."""
    try:
        yield
    except TimeoutError as error:
        raise AnswerIncomplete("no further data of the answer in time") from error
    except HttpError as error:
        raise AnswerMalformed(f"the answer was cut off: {error}") from error
    except OSError as error:
        raise AnswerIncomplete(f"the answer broke off: {error}") from error
    finally:
        await answer.close()


class _EventLimit:
    """Limits the events of one answer."""

    def __init__(self) -> None:
        self._began_at = asyncio.get_running_loop().time()
        self._count = 0
        self._bytes = 0

    def add(self, count: int, size: int) -> None:
        """Count received events and bytes; raise `AnswerMalformed` if there are too many events."""
        self._count += count
        self._bytes += size
        if self._count <= MAX_EVENTS:
            return
        took_s = asyncio.get_running_loop().time() - self._began_at
        if self._count > MAX_EVENTS + EVENTS_PER_S * took_s:
            what = f"{self._count} events of {self._bytes} bytes"
            raise AnswerMalformed(f"{what} within {took_s:.1f} s")


def _slice_by_events(data: bytes) -> Iterator[bytes]:
    """Yield data in parts; `EVENTS_PER_TURN` events, or fewer, end in a part on average."""
    parts = -(-data.count(EVENT_END) // EVENTS_PER_TURN)
    size = -(-len(data) // max(1, parts))
    for begin in range(0, len(data), size):
        yield data[begin : begin + size]
