"""Serve one caller request: admit it, forward the answer that its attempts yield, end it.

Every request ends in this module. A caller is sent a "not run" error only if the request was never
sent to a target, or if every target it was sent to proved that it did not run it. This holds for
errors of the gateway, and for those of targets where a request may run once only.
"""

import asyncio
import math
from collections.abc import Sequence
from contextlib import aclosing, suppress

from lacewinggw.errors import (
    NOT_RUN_STATUSES,
    DeadlinePassed,
    DeadlineTooNear,
    Draining,
    LacewingError,
    Outcome,
    RequestRefused,
    RoutesSuperseded,
    TargetFailed,
)
from lacewinggw.frontend.admission import AdmittedRequest, admit
from lacewinggw.frontend.attempts import (
    REPEAT_REMEDY,
    RelayDependencies,
    RequestAttempts,
    StreamPart,
    WholeAnswer,
)
from lacewinggw.frontend.callers import (
    CLOSING_RETRY_AFTER_MS,
    CallerConnection,
    CallerDisconnected,
)
from lacewinggw.frontend.calls import Call, CallFacts
from lacewinggw.frontend.requeststate import NotRunProof, RequestProgress
from lacewinggw.ids import TargetId
from lacewinggw.log import get_logger
from lacewinggw.wire.http import Headers

log = get_logger(__name__)

MS_PER_S = 1000
CATCH_UP_WAIT_S = 0.25  # what a newer version changes is mostly known within some ms
CONNECTION_HEADERS = frozenset({"connection", "keep-alive", "transfer-encoding", "content-length"})


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
            # An error in `work` refers to this frame, and would keep the request in a cycle.
            del work, watch

    def find_refusal(self, call: Call) -> LacewingError | None:
        """Return why a request is refused by its head; None if this needs more than the head.

        The refusal counts as made.
        """
        deps = self._deps
        try:
            admit(call, deps.codec.read_call(call.headers), deps.knowledge, deps.clock(), deps.rng)
        except RoutesSuperseded:
            return None
        except LacewingError as error:
            deps.metrics.count_refusal_error(error)
            return error
        return None

    async def _serve(self, call: Call, caller: CallerConnection) -> None:
        began = _now()
        progress: RequestProgress | None = None
        call_id = ""
        try:
            deps = self._deps
            facts = deps.codec.read_call(call.headers)
            call_id = facts.call_id
            progress = RequestProgress(await self._admit(call, facts))
            if progress.admitted.deadline > call.must_end_by:
                raise _draining("the entry stops before the request has to end")
            async with asyncio.timeout_at(progress.admitted.deadline):
                await self._run(progress, caller)
        except TimeoutError:
            assert progress is not None
            await self._end_timed_out(progress, caller)
        except LacewingError as error:
            await self._refuse(call, call_id, _provable(progress, error), caller, progress)
        except CallerDisconnected:
            self._log_abandoned(call, call_id, caller)
            raise
        except (Exception, asyncio.CancelledError):
            if caller.is_stopped:
                with suppress(CallerDisconnected):
                    await self._refuse(call, call_id, _stopped_error(progress), caller, progress)
                raise
            if _is_cancelled():
                self._log_abandoned(call, call_id, caller)
                raise
            log.exception("request_broke", request_id=call_id)
            internal = LacewingError("internal error")
            await self._refuse(call, call_id, internal, caller, progress)
        else:
            self._answered.add()
            self._log_answered(progress)
        self._latency.record(_now() - began)

    async def _admit(self, call: Call, facts: CallFacts) -> AdmittedRequest:
        """Admit a request; wait a short time for newer routes that may change it."""
        deps, until = self._deps, call.arrived_at + CATCH_UP_WAIT_S
        while True:
            try:
                return admit(call, facts, deps.knowledge, deps.clock(), deps.rng)
            except RoutesSuperseded:
                if not await deps.routes_changed.wait_until(until):
                    raise

    def _log_answered(self, progress: RequestProgress) -> None:
        now = _now()
        knowledge = self._deps.knowledge
        log.info(
            "request_answered",
            request_id=progress.admitted.facts.call_id,
            route=progress.admitted.route.name,
            status=progress.answer_status,
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
            routes=progress.admitted.routes_version,
            routes_known=progress.admitted.newest_version,
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
        if progress.may_have_run:
            reason = "the target did not answer in time"
            error: LacewingError = DeadlinePassed(reason, remedy=REPEAT_REMEDY)
        else:
            error = DeadlineTooNear("no target could start the request in time")
        await self._refuse(call, call_id, error, caller, progress)

    async def _refuse(
        self,
        call: Call,
        call_id: str,
        error: LacewingError,
        caller: CallerConnection,
        progress: RequestProgress | None,
    ) -> None:
        self._deps.metrics.count_refusal_error(error)
        log.info(
            "request_refused" if isinstance(error, RequestRefused) else "request_failed",
            request_id=call_id,
            domain=call.domain,
            error=error,
            status=error.http_status,
            **_describe_proof(error, progress),
            held_ms=_to_ms(_now() - call.arrived_at),
            cut=caller.has_started_answer,
            routes=self._routes_version,
            routes_known=self._deps.knowledge.newest_version,
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

    async def _run(self, progress: RequestProgress, caller: CallerConnection) -> None:
        """Forward the answer to the caller as it arrives."""
        async with aclosing(RequestAttempts(self._deps, progress).parts()) as parts:
            async for part in parts:
                headers = _headers_to_caller(part.headers)
                progress.answer_status = part.status
                match part:
                    case WholeAnswer(status) if not progress.may_pass_on(status):
                        self._deps.metrics.count("unproved_refusals", status=str(status))
                        raise _unproved_refusal(status)
                    case WholeAnswer(status, _, body, ends_with_connection):
                        await caller.answer(status, headers, body, ends_with_connection)
                    case StreamPart(status, _, data, is_last, ends_with_connection):
                        if not caller.has_started_answer:
                            if progress.first_part_s is not None:
                                self._first_part.record(progress.first_part_s)
                            await caller.begin(status, headers, data, ends_with_connection)
                        elif data:
                            await caller.send(data)
                        if is_last:
                            await caller.end()


def _headers_to_caller(headers: Headers) -> list[tuple[str, str]]:
    return [(name, value) for name, value in headers.items() if name not in CONNECTION_HEADERS]


def _unproved_refusal(status: int) -> TargetFailed:
    """Return the error that replaces a target's own one, which a caller would take for "not run".

    Only a target that refuses a request states that it did not run it. One that has run it may
    answer with the same status, as a service whose own resources have failed.
    """
    reason = f"the target answered {status} and does not state that it did not run the request"
    return TargetFailed(reason, remedy=REPEAT_REMEDY)


def _states_not_run(error: LacewingError) -> bool:
    return error.outcome is Outcome.NOT_RUN or error.http_status in NOT_RUN_STATUSES


def _describe_proof(
    error: LacewingError, progress: RequestProgress | None
) -> dict[str, str | Sequence[TargetId] | None]:
    """Return what the log tells of an error that states "not run": what proves it."""
    if not _states_not_run(error):
        return {}
    if progress is None:
        return {"proof": NotRunProof.NOT_OFFERED.value}
    proof = progress.not_run_proof
    return {"proof": proof.value if proof else None, "refused_by": progress.refused_by}


def _provable(progress: RequestProgress | None, error: LacewingError) -> LacewingError:
    """Return the error to send; it states "not run" only if this is proved."""
    if progress is None or not progress.may_have_run or not _states_not_run(error):
        return error
    return TargetFailed(f"an attempt may have run it; then: {error.reason}", remedy=REPEAT_REMEDY)


def _stopped_error(progress: RequestProgress | None) -> LacewingError:
    """Return the error for a request that is unfinished when the entry stops."""
    if progress is None or not progress.may_have_run:
        return _draining("the entry stops")
    return TargetFailed("the entry stops before the target has answered", remedy=REPEAT_REMEDY)


def _draining(reason: str) -> Draining:
    return Draining(reason, retry_after_ms=CLOSING_RETRY_AFTER_MS)


def _is_cancelled() -> bool:
    """Return whether this task was cancelled, as opposed to a future that it waited for."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


async def _end(*tasks: "asyncio.Future[None]") -> None:
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)


def _to_ms(seconds: float) -> int | None:
    return round(seconds * MS_PER_S) if math.isfinite(seconds) else None


def _now() -> float:
    return asyncio.get_running_loop().time()
