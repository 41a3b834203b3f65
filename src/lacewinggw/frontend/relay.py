"""One request from its arrival to its end: admitted, placed, offered, repeated, answered.

Every end goes through here. "Not run" is said only of a request that was never offered, or whose
every offer was proved not to have run.
"""

import asyncio
import math
import random
from dataclasses import dataclass

from lacewinggw.clock import Clock
from lacewinggw.decisions.dispatch import TargetPool
from lacewinggw.decisions.routingview import RoutingView
from lacewinggw.decisions.targetload import InFlightRequest, TargetLoad
from lacewinggw.errors import (
    AnswerIncomplete,
    DeadlinePassed,
    DeadlineTooNear,
    LacewingError,
    RequestQuarantined,
    RequestRefused,
    RetryBudgetSpent,
    TargetFailed,
    TargetRefused,
)
from lacewinggw.frontend.admission import admit
from lacewinggw.frontend.callers import Caller, CallerGone
from lacewinggw.frontend.calls import Call, CallCodec
from lacewinggw.frontend.crashes import CrashWatch
from lacewinggw.frontend.departures import Departures, LeavingSource
from lacewinggw.frontend.jobs import FailedAnswer, Job
from lacewinggw.frontend.offers import (
    OK,
    Answer,
    Lost,
    NotRun,
    Offers,
    read_events,
    read_whole,
)
from lacewinggw.frontend.placing import Placing
from lacewinggw.frontend.queue import RequestQueue
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics, RetryReason
from lacewinggw.wire.http import Headers

log = get_logger(__name__)

MS_PER_S = 1000
RETRY_AFTER_MS = 400  # where nothing is known of when there is room
REPEAT_REMEDY = "it may have run: repeat it only if it is idempotent"
KEPT_BACK = frozenset({"connection", "keep-alive", "transfer-encoding", "content-length"})


@dataclass(frozen=True)
class RelayParts:
    """What a relay works with."""

    codec: CallCodec
    knowledge: RoutingView
    pool: TargetPool
    queue: RequestQueue
    placing: Placing
    offers: Offers
    crashes: CrashWatch
    clock: Clock
    metrics: Metrics
    rng: random.Random
    departures: Departures


class Relay:
    """Serves requests of callers.

    relay = Relay(parts)
    await relay.serve(call, caller)
    """

    def __init__(self, parts: RelayParts) -> None:
        self._parts = parts
        self._answered = parts.metrics.counter("requests", outcome="answered")
        self._latency = parts.metrics.latency("request")
        self._first_part = parts.metrics.latency("first_part")

    async def serve(self, call: Call, caller: Caller) -> None:
        """Answer one request, unless its caller leaves first."""
        work = asyncio.ensure_future(self._serve(call, caller))
        watch = asyncio.ensure_future(caller.watch())
        try:
            await asyncio.wait((work, watch), return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                raise CallerGone
            work.result()
        finally:
            await _end(work, watch)

    async def _serve(self, call: Call, caller: Caller) -> None:
        began = _now()
        job: Job | None = None
        call_id = ""
        try:
            parts = self._parts
            facts = parts.codec.read_call(call.headers)
            call_id = facts.call_id
            job = Job(admit(call, facts, parts.knowledge, parts.clock(), parts.rng))
            async with asyncio.timeout_at(job.admitted.deadline):
                await self._run(job, caller)
        except TimeoutError:
            assert job is not None
            await self._end_late(job, caller)
        except LacewingError as error:
            await self._refuse(call, call_id, error, caller)
        except (CallerGone, OSError):
            raise
        except Exception:
            log.exception("request_broke", request_id=call_id)
            await self._refuse(call, call_id, LacewingError("the process failed"), caller)
        else:
            self._answered.add()
            self._log_answered(job)
        self._latency.record(_now() - began)

    def _log_answered(self, job: Job) -> None:
        now = _now()
        knowledge = self._parts.knowledge
        log.info(
            "request_answered",
            request_id=job.admitted.facts.call_id,
            route=job.admitted.route.name,
            target=job.target,
            weights=job.version,
            took_ms=_to_ms(now - job.admitted.call.arrived_at),
            waited_ms=_to_ms(job.waited_s),
            late=job.is_late,
            left_ms=_to_ms(job.admitted.facts.time_left_s or math.inf),
            first_ms=None if job.first_s is None else _to_ms(job.first_s),
            ahead=job.ahead,
            offers=job.offers,
            runs=job.runs,
            last_event=job.last_event,
            routes=self._routes_version,
            routes_age_ms=_to_ms(knowledge.routes_age_s(self._parts.clock())),
        )

    async def _end_late(self, job: Job, caller: Caller) -> None:
        """End a request whose time is over."""
        call, call_id = job.admitted.call, job.admitted.facts.call_id
        if caller.has_begun:
            log.info("stream_out_of_time", request_id=call_id, last_event=job.last_event)
            caller.close()
            raise CallerGone
        if job.runs:
            reason = "the target did not answer in time"
            error: LacewingError = DeadlinePassed(reason, remedy=REPEAT_REMEDY)
        else:
            error = DeadlineTooNear("no target could start the request in time")
        await self._refuse(call, call_id, error, caller)

    async def _refuse(self, call: Call, call_id: str, error: LacewingError, caller: Caller) -> None:
        self._parts.metrics.note_error(error)
        log.info(
            "request_refused" if isinstance(error, RequestRefused) else "request_failed",
            request_id=call_id,
            domain=call.domain,
            error=error,
            held_ms=_to_ms(_now() - call.arrived_at),
            routes=self._routes_version,
            routes_age_ms=_to_ms(self._parts.knowledge.routes_age_s(self._parts.clock())),
        )
        if caller.has_begun:
            caller.close()
            raise CallerGone
        await caller.refuse(error)

    @property
    def _routes_version(self) -> int:
        table = self._parts.knowledge.routes
        return table.version if table else 0

    # ---- offers ---------------------------------------------------------------------------

    async def _run(self, job: Job, caller: Caller) -> None:
        while True:
            try:
                claim = await self._claim(job)
            except RequestRefused:
                if job.runs == 0:
                    raise
                return await self._give_up(job, caller)
            try:
                if await self._offer(job, claim, caller):
                    return None
            finally:
                self._parts.queue.end(claim)
            # Known by now, the last target may be one of several that ended under the request.
            is_quarantined = self._parts.crashes.is_quarantined(job.admitted)
            if is_quarantined or not self._parts.placing.may_repeat(job):
                return await self._give_up(job, caller)

    async def _claim(self, job: Job) -> InFlightRequest:
        """Return room at a target for a request that is not kept away from targets."""
        parts = self._parts
        parts.crashes.require_allowed(job.admitted)
        claim = await parts.placing.claim(job)
        try:
            # It waited, and others may have found meanwhile that it ends targets.
            parts.crashes.require_allowed(job.admitted)
        except RequestQuarantined:
            parts.queue.end(claim)
            raise
        return claim

    async def _give_up(self, job: Job, caller: Caller) -> None:
        """Tell the caller that its request failed, in the target's own words if there are any."""
        if job.failure is not None and not caller.has_begun:
            failure = job.failure
            headers = _headers_to_caller(failure.headers)
            return await caller.answer(failure.status, headers, failure.body)
        if job.runs:
            raise TargetFailed("the target failed the request", remedy=REPEAT_REMEDY)
        self._parts.crashes.require_allowed(job.admitted)
        if job.may_repeat:
            raise RetryBudgetSpent("too many requests are tried again", retry_after_ms=500)
        raise TargetRefused("no target took the request", retry_after_ms=RETRY_AFTER_MS)

    async def _offer(self, job: Job, claim: InFlightRequest, caller: Caller) -> bool:
        """Offer the request to a target; return whether the caller has its answer."""
        load = claim.load
        job.offers += 1
        job.offered_at = _now()
        job.avoid.add(load.entry.target)
        placing = self._parts.placing
        sending, limits = placing.sending(job), placing.limits(job, load)
        job.runs += 1
        outcome = await self._parts.offers.send(job.admitted, load, sending, limits)
        self._parts.pool.note_prompt_read(claim)
        match outcome:
            case NotRun() as proof:
                job.runs -= 1
                self._note_not_run(job, load, proof)
                return False
            case Lost(reason, silent):
                if silent:
                    self._parts.pool.note_timeout(load, _now())
                self._note_failed(job, load, reason)
                if not silent:
                    await self._note_lost(job, load)
                return False
            case Answer() as answer:
                self._parts.pool.note_accepted(load, job.offered_at)
                try:
                    is_served = await self._pass_on(job, load, answer, caller)
                except AnswerIncomplete as error:
                    self._note_failed(job, load, error.reason)
                    await self._note_lost(job, load)
                    return False
                else:
                    if is_served:
                        self._parts.crashes.note_served(job.admitted)
                    return is_served
                finally:
                    await answer.close()

    async def _note_lost(self, job: Job, load: TargetLoad) -> None:
        """Have it found out whether the target ended under the request."""
        began_at = self._parts.clock() - (_now() - job.offered_at)
        await self._parts.crashes.note_lost(job.admitted, load.entry, began_at)

    def _note_not_run(self, job: Job, load: TargetLoad, proof: NotRun) -> None:
        now = _now()
        job.arrived = proof.arrived
        if proof.is_gone:
            self._note_gone(load)
        if proof.full:
            self._parts.pool.note_full(load, job.offered_at, now)
            self._parts.metrics.retry(RetryReason.TARGET_OVERLOADED)
        elif proof.is_closed:
            self._parts.metrics.retry(RetryReason.WITHDRAWN)
        else:
            self._parts.pool.note_failure(load, now)
            self._parts.metrics.retry(RetryReason.TARGET_UNREACHABLE)
        self._log_offer(job, load, "not-run", proof.reason)

    def _note_gone(self, load: TargetLoad) -> None:
        """Leave a start of a target that is over, though the list still has it for some seconds."""
        log.info("target_gone", target=load.entry.target, address=load.entry.address)
        self._parts.departures.note(load.entry.target, LeavingSource.ADDRESS)

    def _note_failed(self, job: Job, load: TargetLoad, reason: str) -> None:
        now = _now()
        job.arrived = True
        if load.loading_until <= now:
            self._parts.pool.note_failure(load, now)
        self._parts.metrics.retry(RetryReason.TARGET_FAILED)
        self._log_offer(job, load, "failed", reason)

    def _log_offer(self, job: Job, load: TargetLoad, outcome: str, reason: str) -> None:
        self._parts.metrics.count("offers", outcome=outcome)
        log.info(
            "offer_ended",
            request_id=job.admitted.facts.call_id,
            # The next attempt has another id: this tells that it is the same request.
            digest=job.admitted.digest,
            target=load.entry.target,
            outcome=outcome,
            reason=reason,
            offers=job.offers,
            runs=job.runs,
        )

    # ---- answers --------------------------------------------------------------------------

    async def _pass_on(self, job: Job, load: TargetLoad, answer: Answer, caller: Caller) -> bool:
        if job.admitted.route.streams and answer.status == OK:
            await self._pass_stream(job, load, answer, caller)
            self._parts.pool.note_success(load)
            return True
        body = await read_whole(answer)
        if not answer.is_success:
            job.failure = FailedAnswer(answer.status, answer.headers, body)
            self._note_failed(job, load, f"the target answered {answer.status}")
            return False
        if not answer.facts.sealed:
            raise AnswerIncomplete("the answer lacks the target's mark")
        self._parts.pool.note_success(load)
        await caller.answer(answer.status, _headers_to_caller(answer.headers), body)
        return True

    async def _pass_stream(
        self, job: Job, load: TargetLoad, answer: Answer, caller: Caller
    ) -> None:
        """Pass events on as they come; those that the caller has already are left out."""
        async for events in read_events(answer):
            load.note_data(_now())
            data = b"".join(event.data for event in events if _is_next(job, event.number))
            if not data:
                continue
            if caller.has_begun:
                await caller.send(data)
            else:
                job.version = answer.facts.version
                job.first_s = _now() - job.offered_at
                self._first_part.record(job.first_s)
                await caller.begin(answer.status, _headers_to_caller(answer.headers), data)
        if not caller.has_begun:
            await caller.begin(answer.status, _headers_to_caller(answer.headers))
        await caller.end()


def _is_next(job: Job, number: int | None) -> bool:
    """Return whether an event is to be passed on, and note it as passed on."""
    if number is None:
        return True
    if job.last_event is not None and number <= job.last_event:
        return False
    if job.last_event is not None and number != job.last_event + 1:
        raise AnswerIncomplete(f"event {number} came after {job.last_event}")
    job.last_event = number
    return True


def _headers_to_caller(headers: Headers) -> list[tuple[str, str]]:
    return [(name, value) for name, value in headers.items() if name not in KEPT_BACK]


async def _end(*tasks: "asyncio.Future[None]") -> None:
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)


def _to_ms(seconds: float) -> int | None:
    return round(seconds * MS_PER_S) if math.isfinite(seconds) else None


def _now() -> float:
    return asyncio.get_running_loop().time()
