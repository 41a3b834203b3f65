"""One offer of a request to one target, and what became of it.

`offer` sends the request and returns once the head of the answer is there. What came back is one of
a few kinds, so that whoever decides on repeats knows what is proved:

    match await offers.send(job, load):
        case NotRun(): ...      # proved: the target did not run it
        case Answer(): ...      # a head, with the body still to come
        case Lost(): ...        # nothing is known
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing
from dataclasses import dataclass

from lacewinggw.decisions.deadlines import time_left_ms
from lacewinggw.decisions.dispatch import TargetPool
from lacewinggw.decisions.targetload import TargetLoad
from lacewinggw.errors import AnswerIncomplete
from lacewinggw.frontend.admission import AdmittedRequest
from lacewinggw.frontend.calls import (
    DEFAULT_URGENCY,
    AnswerFacts,
    CallCodec,
    DispatchFacts,
    end_to_end_headers,
)
from lacewinggw.frontend.targetanswers import TargetAnswers
from lacewinggw.wire.events import EventSplitter, StreamEvent
from lacewinggw.wire.http import (
    Headers,
    HttpClient,
    HttpError,
    NotConnectedError,
    StreamedResponse,
)

CONNECT_TIMEOUT_S = (
    0.25  # it takes some ms; over a link with a queue of a second nothing is to be sent
)
BODY_LIMIT_BYTES = 16 << 20  # of an answer that is held until it is whole
OK = 200
BUSY = 503  # what a target without room answers
FIRST_ERROR = 400


class _TargetClosed(Exception):
    """A target takes nothing any more, as was heard while a connection to it was opened."""


@dataclass(frozen=True)
class NotExecuted:
    """The target did not run the request, and proved it.

    `full` where it had no room, `is_gone` where another target answers at its address by now; it
    had not even `arrived` where no connection opened, or the target `is_closed` by then.
    """

    reason: str
    is_full: bool = False
    is_replaced: bool = False
    has_reached_target: bool = True
    is_closed: bool = False


@dataclass(frozen=True)
class OutcomeUnknown:
    """The request may have run; there is no answer. `silent` where none came in time."""

    reason: str
    has_timed_out: bool = False


@dataclass(frozen=True)
class Answer:
    """The head of an answer that belongs to the request."""

    status: int
    headers: Headers
    facts: AnswerFacts
    response: StreamedResponse

    @property
    def is_success(self) -> bool:
        """Whether the target served the request."""
        return self.status < FIRST_ERROR

    async def close(self) -> None:
        """Give up the rest of the body."""
        await self.response.aclose()


@dataclass(frozen=True)
class OfferOptions:
    """What differs from one offer of a request to the next."""

    version: int | None = None
    resume_after: int | None = None
    urgency: int = DEFAULT_URGENCY


@dataclass(frozen=True)
class OfferTimeouts:
    """How long to wait, in seconds: for the head of the answer, and between parts of its body."""

    head_s: float
    idle_s: float


class Offers:
    """Sends requests to targets, each on a connection of its own.

    A fresh connection holds nothing that belongs to another request, and one that fails to open
    proves that nothing was sent.
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
        timeouts: OfferTimeouts,
    ) -> Answer | NotExecuted | OutcomeUnknown:
        """Offer the request; return once the head of the answer is there, or will not come."""
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
                timeouts.idle_s,
                CONNECT_TIMEOUT_S,
                timeouts.head_s,
                lambda took_s: self._check_open(load, took_s, now + took_s),
            )
        except _TargetClosed:
            return NotExecuted(
                "the target takes nothing any more", has_reached_target=False, is_closed=True
            )
        except NotConnectedError as error:
            ended_at = asyncio.get_running_loop().time()
            load.note_connect_failure(ended_at - now, ended_at)
            return NotExecuted(f"cannot connect: {error}", has_reached_target=False)
        except TimeoutError:
            return OutcomeUnknown("no answer in time", has_timed_out=True)
        except (OSError, HttpError) as error:
            return OutcomeUnknown(f"no answer: {error}")
        return await self._classify(admitted, load, response, asked_at)

    def _check_open(self, load: TargetLoad, took_s: float, now: float) -> None:
        """Look once more whether the request may be sent, now that it could be."""
        load.note_connect(took_s, now)
        if not self._pool.may_send(load, now):
            raise _TargetClosed

    async def _classify(
        self,
        admitted: AdmittedRequest,
        load: TargetLoad,
        response: StreamedResponse,
        asked_at: float,
    ) -> Answer | NotExecuted | OutcomeUnknown:
        load.note_data(asyncio.get_running_loop().time())
        facts = self._codec.read_answer(response.status, response.headers)
        if facts.call_id not in (None, admitted.facts.call_id):
            await response.aclose()
            return OutcomeUnknown("the answer belongs to another request")
        is_gone = facts.answered_by not in (None, load.entry.name)
        if not is_gone:
            self._answers.apply_facts(load, facts, asked_at)
        if facts.not_run:
            await response.aclose()
            return NotExecuted(
                f"the target answered {response.status}",
                is_full=response.status == BUSY,
                is_replaced=is_gone,
            )
        return Answer(response.status, response.headers, facts, response)


async def read_whole(answer: Answer) -> bytes:
    """Return the body of an answer; raise `AnswerIncomplete` when it breaks off."""
    try:
        return await answer.response.read(BODY_LIMIT_BYTES)
    except (OSError, HttpError, TimeoutError) as error:
        raise AnswerIncomplete(f"the answer broke off: {error}") from error
    finally:
        await answer.close()


async def read_events(answer: Answer) -> AsyncIterator[list[StreamEvent]]:
    """Yield the events of an answer as they come; raise `AnswerIncomplete` when it breaks off."""
    splitter = EventSplitter()
    try:
        async with aclosing(answer.response.pieces()) as pieces:
            async for data in pieces:
                events = list(splitter.feed(data))
                if events:
                    yield events
    except (OSError, HttpError, TimeoutError) as error:
        raise AnswerIncomplete(f"the stream broke off: {error}") from error
    finally:
        await answer.close()
    if splitter.is_torn:
        raise AnswerIncomplete("the stream ended inside an event")
