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
from lacewinggw.frontend.admission import Admitted
from lacewinggw.frontend.calls import (
    USUAL_URGENCY,
    AnswerFacts,
    CallCodec,
    Dispatch,
    pass_on,
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

CONNECT_S = 0.25  # it takes some ms; over a link with a queue of a second nothing is to be sent
WHOLE_LIMIT_BYTES = 16 << 20  # of an answer that is held until it is whole
OK = 200
BUSY = 503  # what a target without room answers
FIRST_ERROR = 400


class _TargetClosed(Exception):
    """A target takes nothing any more, as was heard while a connection to it was opened."""


@dataclass(frozen=True)
class NotRun:
    """The target did not run the request, and proved it.

    `full` where it had no room, `is_gone` where another target answers at its address by now; it
    had not even `arrived` where no connection opened, or the target `is_closed` by then.
    """

    reason: str
    full: bool = False
    is_gone: bool = False
    arrived: bool = True
    is_closed: bool = False


@dataclass(frozen=True)
class Lost:
    """The request may have run; there is no answer. `silent` where none came in time."""

    reason: str
    silent: bool = False


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
class Sending:
    """What differs from one offer of a request to the next."""

    version: int | None = None
    resume_after: int | None = None
    urgency: int = USUAL_URGENCY


@dataclass(frozen=True)
class OfferLimits:
    """How long to wait, in seconds: for the head of the answer, and between parts of its body."""

    begin_s: float
    silence_s: float


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
        self, job: Admitted, load: TargetLoad, sending: Sending, limits: OfferLimits
    ) -> Answer | NotRun | Lost:
        """Offer the request; return once the head of the answer is there, or will not come."""
        now = asyncio.get_running_loop().time()
        dispatch = Dispatch(
            target=load.entry.name,
            account=job.account.name if job.account else None,
            time_left_ms=max(1, time_left_ms(job.deadline, now)),
            urgency=sending.urgency,
            version=sending.version,
            resume_after=sending.resume_after,
        )
        headers = self._codec.write_call(pass_on(job.call.headers), dispatch)
        asked_at = self._answers.read_clock()
        try:
            response = await self._http.stream(
                load.entry.address,
                job.call.method,
                job.call.target,
                headers,
                job.call.body,
                limits.silence_s,
                CONNECT_S,
                limits.begin_s,
                lambda took_s: self._note_connected(load, took_s, now + took_s),
            )
        except _TargetClosed:
            return NotRun("the target takes nothing any more", arrived=False, is_closed=True)
        except NotConnectedError as error:
            ended_at = asyncio.get_running_loop().time()
            load.note_connect_failure(ended_at - now, ended_at)
            return NotRun(f"cannot connect: {error}", arrived=False)
        except TimeoutError:
            return Lost("no answer in time", silent=True)
        except (OSError, HttpError) as error:
            return Lost(f"no answer: {error}")
        return await self._sort(job, load, response, asked_at)

    def _note_connected(self, load: TargetLoad, took_s: float, now: float) -> None:
        """Look once more whether the request may be sent, now that it could be."""
        load.note_connect(took_s, now)
        if not self._pool.may_send(load, now):
            raise _TargetClosed

    async def _sort(
        self, job: Admitted, load: TargetLoad, response: StreamedResponse, asked_at: float
    ) -> Answer | NotRun | Lost:
        load.note_data(asyncio.get_running_loop().time())
        facts = self._codec.read_answer(response.status, response.headers)
        if facts.call_id not in (None, job.facts.call_id):
            await response.aclose()
            return Lost("the answer belongs to another request")
        is_gone = facts.answered_by not in (None, load.entry.name)
        if not is_gone:
            self._answers.note(load, facts, asked_at)
        if facts.not_run:
            await response.aclose()
            return NotRun(
                f"the target answered {response.status}",
                full=response.status == BUSY,
                is_gone=is_gone,
            )
        return Answer(response.status, response.headers, facts, response)


async def read_whole(answer: Answer) -> bytes:
    """Return the body of an answer; raise `AnswerIncomplete` when it breaks off."""
    try:
        return await answer.response.read(WHOLE_LIMIT_BYTES)
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
