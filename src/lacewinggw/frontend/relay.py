"""Serve one caller request: admit it, choose a target, send it, retry it, and forward the answer.

Every request ends in this module. A caller is sent a "not run" error only if the request was never
offered to a target, or if every target it was offered to proved that it did not run it.
"""

import asyncio
import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from lacewinggw.clock import Clock
from lacewinggw.decisions.dispatch import TargetPool
from lacewinggw.decisions.routingview import RoutingView
from lacewinggw.decisions.targetload import InFlightRequest, TargetLoad
from lacewinggw.decisions.targetspeed import StreamSpeed, event_gap_s
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
from lacewinggw.frontend.callers import CallerConnection, CallerDisconnected
from lacewinggw.frontend.calls import Call, CallCodec
from lacewinggw.frontend.crashes import CrashMonitor
from lacewinggw.frontend.dispatchqueue import DispatchQueue
from lacewinggw.frontend.leavingtargets import LeavingSource, LeavingTargets
from lacewinggw.frontend.offers import (
    OK,
    Answer,
    NotExecuted,
    Offers,
    OutcomeUnknown,
    read_events,
    read_whole,
)
from lacewinggw.frontend.requestplacer import RequestPlacer
from lacewinggw.frontend.requeststate import FailedAnswer, RequestProgress
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics, RetryReason
from lacewinggw.wire.http import Headers

log = get_logger(__name__)

MS_PER_S = 1000
RETRY_AFTER_MS = 400  # used when it is unknown when a target will have a free slot
REPEAT_REMEDY = "it may have run: repeat it only if it is idempotent"
CONNECTION_HEADERS = frozenset({"connection", "keep-alive", "transfer-encoding", "content-length"})


# Reports a long gap of a stream to its target's agent, with the declared one; both in seconds.
ReportGap = Callable[[TargetLoad, float, float], None]


@dataclass(frozen=True)
class RelayDependencies:
    """Components that a request relay uses."""

    codec: CallCodec
    knowledge: RoutingView
    pool: TargetPool
    queue: DispatchQueue
    placer: RequestPlacer
    offers: Offers
    crashes: CrashMonitor
    clock: Clock
    metrics: Metrics
    rng: random.Random
    leaving_targets: LeavingTargets
    report_gap: ReportGap


class RequestRelay:
    """Serves requests of callers.

    relay = RequestRelay(deps)
    await relay.serve(call, caller)
    """

    def __init__(self, deps: RelayDependencies) -> None:
        self._deps = deps
        self._answered = deps.metrics.counter("requests", outcome="answered")
        self._latency = deps.metrics.latency("request")
        self._first_part = deps.metrics.latency("first_part")

    async def serve(self, call: Call, caller: CallerConnection) -> None:
        """Answer one request.

        Raise `CallerDisconnected` if the caller closes its connection first.
        """
        work = asyncio.ensure_future(self._serve(call, caller))
        watch = asyncio.ensure_future(caller.wait_for_disconnect())
        try:
            await asyncio.wait((work, watch), return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                raise CallerDisconnected
            work.result()
        finally:
            await _end(work, watch)

    async def _serve(self, call: Call, caller: CallerConnection) -> None:
        began = _now()
        progress: RequestProgress | None = None
        call_id = ""
        try:
            deps = self._deps
            facts = deps.codec.read_call(call.headers)
            call_id = facts.call_id
            progress = RequestProgress(admit(call, facts, deps.knowledge, deps.clock(), deps.rng))
            async with asyncio.timeout_at(progress.admitted.deadline):
                await self._run(progress, caller)
        except TimeoutError:
            assert progress is not None
            await self._end_timed_out(progress, caller)
        except LacewingError as error:
            await self._refuse(call, call_id, error, caller)
        except asyncio.CancelledError:
            self._log_abandoned(call, call_id, caller)
            raise
        except (CallerDisconnected, OSError):
            raise
        except Exception:
            log.exception("request_broke", request_id=call_id)
            await self._refuse(call, call_id, LacewingError("internal error"), caller)
        else:
            self._answered.add()
            self._log_answered(progress)
        self._latency.record(_now() - began)

    def _log_answered(self, progress: RequestProgress) -> None:
        now = _now()
        knowledge = self._deps.knowledge
        log.info(
            "request_answered",
            request_id=progress.admitted.facts.call_id,
            route=progress.admitted.route.name,
            target=progress.target,
            weights=progress.weights_version,
            took_ms=_to_ms(now - progress.admitted.call.arrived_at),
            waited_ms=_to_ms(progress.waited_s),
            late=progress.is_late,
            left_ms=_to_ms(progress.admitted.facts.time_left_s or math.inf),
            first_ms=None if progress.first_part_s is None else _to_ms(progress.first_part_s),
            ahead=progress.requests_ahead,
            offers=progress.offers,
            runs=progress.runs,
            last_event=progress.last_event,
            routes=self._routes_version,
            routes_age_ms=_to_ms(knowledge.routes_age_s(self._deps.clock())),
        )

    def _log_abandoned(self, call: Call, call_id: str, caller: CallerConnection) -> None:
        log.info(
            "request_abandoned",
            request_id=call_id,
            held_ms=_to_ms(_now() - call.arrived_at),
            cut=caller.has_started_answer,
        )

    async def _end_timed_out(self, progress: RequestProgress, caller: CallerConnection) -> None:
        """End a request whose deadline has passed."""
        call, call_id = progress.admitted.call, progress.admitted.facts.call_id
        if caller.has_started_answer:
            log.info("stream_out_of_time", request_id=call_id, last_event=progress.last_event)
            caller.close()
            raise CallerDisconnected
        if progress.runs:
            reason = "the target did not answer in time"
            error: LacewingError = DeadlinePassed(reason, remedy=REPEAT_REMEDY)
        else:
            error = DeadlineTooNear("no target could start the request in time")
        await self._refuse(call, call_id, error, caller)

    async def _refuse(
        self, call: Call, call_id: str, error: LacewingError, caller: CallerConnection
    ) -> None:
        self._deps.metrics.count_refusal_error(error)
        log.info(
            "request_refused" if isinstance(error, RequestRefused) else "request_failed",
            request_id=call_id,
            domain=call.domain,
            error=error,
            held_ms=_to_ms(_now() - call.arrived_at),
            cut=caller.has_started_answer,
            routes=self._routes_version,
            routes_age_ms=_to_ms(self._deps.knowledge.routes_age_s(self._deps.clock())),
        )
        if caller.has_started_answer:
            caller.close()
            raise CallerDisconnected
        await caller.refuse(error)

    @property
    def _routes_version(self) -> int:
        table = self._deps.knowledge.routes
        return table.version if table else 0

    # ---- offers ---------------------------------------------------------------------------

    async def _run(self, progress: RequestProgress, caller: CallerConnection) -> None:
        while True:
            try:
                claim = await self._claim(progress)
            except RequestRefused:
                if progress.runs == 0:
                    raise
                return await self._give_up(progress, caller)
            try:
                if await self._offer(progress, claim, caller):
                    return None
            finally:
                self._deps.queue.release(claim)
            # The crash check of the last offer has finished, so the request may be quarantined now.
            is_quarantined = self._deps.crashes.is_quarantined(progress.admitted)
            if is_quarantined or not self._deps.placer.take_retry(progress):
                return await self._give_up(progress, caller)

    async def _claim(self, progress: RequestProgress) -> InFlightRequest:
        """Return a claim on a target; raise `RequestQuarantined` if the request is quarantined."""
        deps = self._deps
        deps.crashes.require_not_quarantined(progress.admitted)
        claim = await deps.placer.claim(progress)
        try:
            # Other entries may have quarantined the request while it waited.
            deps.crashes.require_not_quarantined(progress.admitted)
        except RequestQuarantined:
            deps.queue.release(claim)
            raise
        return claim

    async def _give_up(self, progress: RequestProgress, caller: CallerConnection) -> None:
        """Report the failure to the caller, with the target's own error answer if there is one."""
        if progress.failure is not None and not caller.has_started_answer:
            failure = progress.failure
            headers = _headers_to_caller(failure.headers)
            return await caller.answer(failure.status, headers, failure.body)
        if progress.runs:
            raise TargetFailed("the target failed the request", remedy=REPEAT_REMEDY)
        self._deps.crashes.require_not_quarantined(progress.admitted)
        if progress.can_retry:
            raise RetryBudgetSpent("the retry budget is spent", retry_after_ms=500)
        raise TargetRefused("no target accepted the request", retry_after_ms=RETRY_AFTER_MS)

    async def _offer(
        self, progress: RequestProgress, claim: InFlightRequest, caller: CallerConnection
    ) -> bool:
        """Offer the request to a target; return whether the caller got its complete answer."""
        load = claim.load
        progress.offers += 1
        progress.offered_at = _now()
        progress.tried_targets.add(load.entry.target)
        placer = self._deps.placer
        options, timeouts = placer.offer_options(progress), placer.offer_timeouts(progress, load)
        progress.runs += 1
        outcome = await self._deps.offers.send(progress.admitted, load, options, timeouts)
        self._deps.pool.note_prompt_read(claim)
        match outcome:
            case NotExecuted() as proof:
                progress.runs -= 1
                self._note_not_executed(progress, load, proof)
                return False
            case OutcomeUnknown(reason, has_timed_out):
                if has_timed_out:
                    self._deps.pool.note_timeout(load, _now())
                self._note_failed(progress, load, reason)
                if not has_timed_out:
                    await self._check_for_crash(progress, load)
                return False
            case Answer() as answer:
                self._deps.pool.note_accepted(load, progress.offered_at)
                try:
                    is_served = await self._forward_answer(progress, load, answer, caller)
                except AnswerIncomplete as error:
                    self._note_failed(progress, load, error.reason)
                    await self._check_for_crash(progress, load)
                    return False
                else:
                    if is_served:
                        self._deps.crashes.note_served(progress.admitted)
                    return is_served
                finally:
                    await answer.close()

    async def _check_for_crash(self, progress: RequestProgress, load: TargetLoad) -> None:
        """Check whether the connection broke because the target crashed."""
        began_at = self._deps.clock() - (_now() - progress.offered_at)
        await self._deps.crashes.note_connection_lost(progress.admitted, load.entry, began_at)

    def _note_not_executed(
        self, progress: RequestProgress, load: TargetLoad, proof: NotExecuted
    ) -> None:
        now = _now()
        progress.has_reached_target = proof.has_reached_target
        if proof.is_replaced:
            self._note_replaced(load)
        if proof.is_full:
            self._deps.pool.note_full(load, progress.offered_at, now)
            self._deps.metrics.retry(RetryReason.TARGET_OVERLOADED)
        elif proof.is_closed:
            self._deps.metrics.retry(RetryReason.WITHDRAWN)
        else:
            self._deps.pool.note_failure(load, now)
            self._deps.metrics.retry(RetryReason.TARGET_UNREACHABLE)
        self._log_offer(progress, load, "not-run", proof.reason)

    def _note_replaced(self, load: TargetLoad) -> None:
        """Mark a target incarnation as leaving because another one answers at its address.

        The list of targets may contain the old incarnation for some more seconds.
        """
        log.info("target_gone", target=load.entry.target, address=load.entry.address)
        self._deps.leaving_targets.mark_leaving(load.entry.target, LeavingSource.ADDRESS)

    def _note_failed(self, progress: RequestProgress, load: TargetLoad, reason: str) -> None:
        now = _now()
        progress.has_reached_target = True
        if load.loading_until <= now:
            self._deps.pool.note_failure(load, now)
        self._deps.metrics.retry(RetryReason.TARGET_FAILED)
        self._log_offer(progress, load, "failed", reason)

    def _log_offer(
        self, progress: RequestProgress, load: TargetLoad, outcome: str, reason: str
    ) -> None:
        self._deps.metrics.count("offers", outcome=outcome)
        log.info(
            "offer_ended",
            request_id=progress.admitted.facts.call_id,
            # Each attempt of the caller has its own id; the digest identifies the request.
            digest=progress.admitted.digest,
            target=load.entry.target,
            outcome=outcome,
            reason=reason,
            offers=progress.offers,
            runs=progress.runs,
        )

    # ---- answers --------------------------------------------------------------------------

    async def _forward_answer(
        self, progress: RequestProgress, load: TargetLoad, answer: Answer, caller: CallerConnection
    ) -> bool:
        if progress.admitted.route.streams and answer.status == OK:
            await self._forward_stream(progress, load, answer, caller)
            self._deps.pool.note_success(load)
            return True
        body = await read_whole(answer)
        if not answer.is_success:
            progress.failure = FailedAnswer(answer.status, answer.headers, body)
            self._note_failed(progress, load, f"the target answered {answer.status}")
            return False
        if not answer.facts.sealed:
            raise AnswerIncomplete("the answer has no response seal")
        self._deps.pool.note_success(load)
        await caller.answer(answer.status, _headers_to_caller(answer.headers), body)
        return True

    async def _forward_stream(
        self, progress: RequestProgress, load: TargetLoad, answer: Answer, caller: CallerConnection
    ) -> None:
        """Forward events as they arrive, without those that the caller already received."""
        stream_speed = StreamSpeed(load.speed, self._declared_gap_s(progress))
        async for events in read_events(answer):
            now = _now()
            load.note_data(now)
            gap_s = stream_speed.note_events(len(events), now, load.link_delay(now))
            if gap_s is not None:
                self._deps.report_gap(load, gap_s, stream_speed.declared_s)
            data = b"".join(event.data for event in events if _is_next(progress, event.number))
            if not data:
                continue
            if caller.has_started_answer:
                await caller.send(data)
            else:
                progress.weights_version = answer.facts.version
                progress.first_part_s = _now() - progress.offered_at
                self._first_part.record(progress.first_part_s)
                await caller.begin(answer.status, _headers_to_caller(answer.headers), data)
        if not caller.has_started_answer:
            await caller.begin(answer.status, _headers_to_caller(answer.headers))
        await caller.end()

    def _declared_gap_s(self, progress: RequestProgress) -> float:
        """Return the declared gap between two events of a stream; 0 if none is declared."""
        table = self._deps.knowledge.routes
        service = table.services.get(progress.admitted.service) if table else None
        return event_gap_s(service.engine) if service and service.engine else 0.0


def _is_next(progress: RequestProgress, number: int | None) -> bool:
    """Return whether the caller still needs an event, and record it as the last one sent.

    Raise `AnswerIncomplete` if an event is missing before it.
    """
    if number is None:
        return True
    if progress.last_event is not None and number <= progress.last_event:
        return False
    if progress.last_event is not None and number != progress.last_event + 1:
        raise AnswerIncomplete(f"event {number} came after {progress.last_event}")
    progress.last_event = number
    return True


def _headers_to_caller(headers: Headers) -> list[tuple[str, str]]:
    return [(name, value) for name, value in headers.items() if name not in CONNECTION_HEADERS]


async def _end(*tasks: "asyncio.Future[None]") -> None:
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)


def _to_ms(seconds: float) -> int | None:
    return round(seconds * MS_PER_S) if math.isfinite(seconds) else None


def _now() -> float:
    return asyncio.get_running_loop().time()
