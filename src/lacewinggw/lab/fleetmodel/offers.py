"""Offers to modelled engines, in place of those over HTTP: what comes back is of the same kinds."""

import asyncio
from collections.abc import AsyncGenerator, Mapping
from dataclasses import dataclass

from lacewinggw.decisions.targetlist import TargetEntry
from lacewinggw.decisions.targetload import TargetLoad
from lacewinggw.frontend.admission import AdmittedRequest
from lacewinggw.frontend.calls import AnswerFacts, CallFacts, DispatchFacts
from lacewinggw.frontend.offers import (
    OK,
    Answer,
    NotExecuted,
    OfferOptions,
    OutcomeUnknown,
)
from lacewinggw.ids import TargetId
from lacewinggw.lab.fleetmodel.engine import EngineJob, ModelEngine
from lacewinggw.lab.fleetmodel.profile import FleetProfile
from lacewinggw.wire.http import HeaderList, Headers

VERSION = 1
CONNECT_S = 0.25


@dataclass(frozen=True)
class ModelCall:
    """What a request asks for, beside what its head tells."""

    facts: CallFacts
    prompt_tokens: int
    events: int


class ModelCodec:
    """Reads heads that consist of a request's id alone."""

    def __init__(self, calls: Mapping[str, ModelCall]) -> None:
        self._calls = calls

    def read_call(self, headers: HeaderList) -> CallFacts:
        """Return what the request tells."""
        return self._calls[headers[0][1]].facts

    def write_call(self, headers: HeaderList, dispatch: DispatchFacts) -> HeaderList:
        """Return the head as it is: engines here are asked directly."""
        return headers

    def read_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Return what an engine's head would tell."""
        return AnswerFacts(None, False, True, VERSION)


class ModelResponse:
    """The answer of a modelled engine, event by event."""

    status = OK

    ends_with_connection = False

    def __init__(self, engine: ModelEngine, job: EngineJob, first: int, hop_s: float) -> None:
        self.headers: Headers = {}
        self._events = engine.events(job)
        self._first = first
        self._hop_s = hop_s

    async def pieces(self, limit_bytes: int) -> AsyncGenerator[bytes, None]:
        """Yield the events as they travel."""
        yield _event(self._first)
        async for number in self._events:
            yield _event(number)

    async def aclose(self) -> None:
        """Give up the rest."""
        await self._events.aclose()


class ModelOffers:
    """The offers of one entry; `place` is its own."""

    def __init__(
        self,
        profile: FleetProfile,
        engines: Mapping[TargetId, ModelEngine],
        calls: Mapping[str, ModelCall],
        place: str,
    ) -> None:
        self._profile = profile
        self._engines = engines
        self._calls = calls
        self._place = place
        self.sent = 0
        self.far = 0

    async def send(
        self, job: AdmittedRequest, load: TargetLoad, sending: OfferOptions, timeout_s: float
    ) -> Answer | NotExecuted | OutcomeUnknown:
        """Offer a request; return once its first event is there, or will not come."""
        is_far = load.entry.place != self._place
        self.sent += 1
        self.far += is_far
        hop_s = self._profile.hop_s if is_far else 0.0002
        engine, call = self._engines[load.entry.target], self._calls[job.facts.call_id]
        await asyncio.sleep(3 * hop_s)
        if not engine.is_up:
            load.note_connect_failure(CONNECT_S, _now())
            return NotExecuted("cannot connect", has_reached_target=False)
        load.note_connect(2 * hop_s, _now())
        done = sending.resume_after or 0
        accepted = engine.accept(
            call.prompt_tokens, max(1, call.events - done), sending.urgency, done + 1
        )
        if accepted is None:
            return NotExecuted("the engine is full", is_full=True)
        return await self._await_first(engine, accepted, load, timeout_s, hop_s)

    async def _await_first(
        self,
        engine: ModelEngine,
        accepted: EngineJob,
        load: TargetLoad,
        timeout_s: float,
        hop_s: float,
    ) -> Answer | OutcomeUnknown:
        try:
            async with asyncio.timeout(timeout_s):
                first = await accepted.events.get()
                await asyncio.sleep(hop_s)
        except TimeoutError:
            accepted.abandoned = True
            return OutcomeUnknown("no answer in time", has_timed_out=True)
        except asyncio.CancelledError:
            accepted.abandoned = True
            raise
        if first is None:
            return OutcomeUnknown("the engine broke off")
        load.note_data(_now())
        response = ModelResponse(engine, accepted, first, hop_s)
        facts = AnswerFacts(None, False, True, VERSION)
        return Answer(OK, {}, facts, response)  # type: ignore[arg-type]


def _event(number: int) -> bytes:
    return f"id: {number}\ndata: x\n\n".encode()


def _now() -> float:
    return asyncio.get_running_loop().time()


class ModelCrashes:
    """Stands for the watch of requests that end targets: none of the modelled ones does."""

    def require_not_quarantined(self, admitted: AdmittedRequest) -> None:
        """Let each request reach targets."""

    def is_quarantined(self, admitted: AdmittedRequest) -> bool:
        """Tell that a request may reach targets."""
        return False

    async def wait_until_settled(self, admitted: AdmittedRequest) -> None:
        """Do not wait."""

    async def note_connection_lost(
        self, admitted: AdmittedRequest, entry: TargetEntry, began_at: float
    ) -> None:
        """Take no note."""

    def note_survived(
        self, admitted: AdmittedRequest, entry: TargetEntry, lasted_s: float, is_whole: bool
    ) -> None:
        """Take no note."""

    def note_running(self, admitted: AdmittedRequest, lasted_s: float) -> None:
        """Take no note."""
