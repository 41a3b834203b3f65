"""The attempts at one request: the parts of its answer, from whichever attempt delivers next.

A sound target may pause, so silence ends no attempt, but for one that could otherwise begin on
superseded weights. Once the current attempt has been silent for
the idle timeout, a backup attempt is made at another target, if the route, the retry budget and the
load allow one. Whichever of the two delivers first continues the answer, and the other is closed.
"""

import asyncio
import math
import random
from collections.abc import AsyncGenerator, Awaitable, Callable, Sequence
from contextlib import aclosing
from dataclasses import dataclass, replace

from lacewinggw.clock import Clock
from lacewinggw.decisions.dispatch import TargetPool
from lacewinggw.decisions.routingview import RoutingView
from lacewinggw.decisions.targetload import InFlightRequest, TargetLoad
from lacewinggw.decisions.targetspeed import StreamSpeed, event_gap_s
from lacewinggw.errors import (
    AnswerIncomplete,
    AnswerMalformed,
    RequestQuarantined,
    RequestRefused,
    RetryBudgetSpent,
    TargetFailed,
    TargetRefused,
)
from lacewinggw.frontend.admission import MAX_PARTS
from lacewinggw.frontend.calls import CallCodec
from lacewinggw.frontend.crashes import CrashMonitor
from lacewinggw.frontend.dispatchqueue import DispatchQueue
from lacewinggw.frontend.leavingtargets import LeavingSource, LeavingTargets
from lacewinggw.frontend.offers import (
    OK,
    Answer,
    AnswerFault,
    NotExecuted,
    OfferOptions,
    Offers,
    OutcomeUnknown,
    read_events,
    read_whole,
)
from lacewinggw.frontend.requestplacer import RequestPlacer, idle_timeout_s
from lacewinggw.frontend.requeststate import FailedAnswer, RequestProgress
from lacewinggw.frontend.signal import Signal
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics, RetryReason
from lacewinggw.wire.events import StreamEvent
from lacewinggw.wire.http import Headers

log = get_logger(__name__)

MS_PER_S = 1000
RETRY_AFTER_MS = 400  # used when it is unknown when a target will have a free slot
BUDGET_RETRY_AFTER_MS = 500
MAX_LOOP_LAG_S = 0.1  # a timer that fires later than this says nothing about a target
# After this time, and each time that it has doubled, a run counts as evidence that its target does
# not crash under it.
LONG_RUN_S = 10.0
# Between checks of the start deadline, as a version may be named while an attempt is waiting.
START_CHECK_INTERVAL_S = 1.0
TIMER_RESOLUTION_S = 0.001  # of the event loop
RESTART_S = 0.5  # a target that ends takes longer to listen again
BACKUP_PAUSE_S = 0.3  # until a backup attempt is tried again that no target or budget allowed
REPEAT_REMEDY = "it may have run: repeat it only if it is idempotent"

# Reports a long gap of a stream to its target's agent, with the declared one; both in seconds.
ReportGap = Callable[[TargetLoad, float, float], None]


@dataclass(frozen=True)
class RelayDependencies:
    """Components that serve requests, used by `RequestRelay` and `RequestAttempts`."""

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
    routes_changed: Signal


@dataclass(frozen=True)
class WholeAnswer:
    """A complete answer that is not a stream.

    `ends_with_connection`: its target stated the end of it by closing the connection only.
    """

    status: int
    headers: Headers
    body: bytes
    ends_with_connection: bool = False


@dataclass(frozen=True)
class StreamPart:
    """New events of a stream, with the head of their answer; the last part has no events.

    `ends_with_connection` is as in `WholeAnswer`, for the answer of the attempt.
    """

    status: int
    headers: Headers
    data: bytes
    is_last: bool = False
    ends_with_connection: bool = False


@dataclass(frozen=True)
class _Events:
    """Events that an attempt received."""

    answer: Answer
    events: Sequence[StreamEvent]


@dataclass(frozen=True)
class _Ended:
    """The complete end of an attempt; `body` is that of an answer that is not a stream."""

    answer: Answer
    body: bytes


@dataclass(frozen=True)
class _Failed:
    """The end of an attempt without a complete answer.

    `refusal` is set if no target could be claimed. `has_reached_target` is false if the request
    caused no load at a target.
    """

    refusal: RequestRefused | None = None
    has_reached_target: bool = True
    has_run: bool = True


@dataclass(frozen=True)
class _Claimed:
    """A backup attempt has its target, so its start has a deadline from now on."""


_Result = _Events | _Ended | _Failed | _Claimed | Exception


@dataclass(eq=False)
class _Attempt:
    """One attempt: its task, and its claim on a target once it has one."""

    claim: InFlightRequest | None = None
    offered_at: float = 0.0
    is_sent: bool = False
    data_at: float = 0.0  # when part of the answer arrived last
    silent_until: float = -math.inf  # the end of its last silence of `RESTART_S` or more
    has_begun: bool = False  # part of the answer arrived, other than its head
    has_delivered: bool = False  # events that the caller did not have yet
    weights_version: int | None = None  # that its target stated in the head of the answer
    long_run_s: float = LONG_RUN_S  # when the run counts next while it goes on
    is_from_start: bool = True  # it does not continue the answer of another attempt
    is_over: bool = False  # what came of it is known
    task: "asyncio.Task[None] | None" = None
    is_released: bool = False

    @property
    def lasted_s(self) -> float:
        """How long its run is known to have lasted, from the offer on."""
        return self.data_at - self.offered_at

    def note_data(self, now: float) -> None:
        """Record that part of the answer arrived."""
        if now - max(self.data_at, self.offered_at) >= RESTART_S:
            self.silent_until = now
        self.data_at = now

    def was_silent(self, now: float) -> bool:
        """Return whether its target may have been replaced shortly before, unseen by this entry."""
        return now - self.data_at >= RESTART_S or now - self.silent_until < RESTART_S

    @property
    def load(self) -> TargetLoad:
        """The target; available once it is claimed."""
        assert self.claim is not None, "the target is not claimed yet"
        return self.claim.load


class RequestAttempts:
    """Makes the attempts at one request.

    async with aclosing(RequestAttempts(deps, progress).parts()) as parts:
        async for part in parts: ...
    """

    def __init__(self, deps: RelayDependencies, progress: RequestProgress) -> None:
        self._deps = deps
        self._progress = progress
        self._current: _Attempt | None = None
        self._backup: _Attempt | None = None
        # Holds one result, so that a slow caller slows down its target.
        self._results: asyncio.Queue[tuple[_Attempt, _Result]] = asyncio.Queue(maxsize=1)
        self._backup_due_at = 0.0  # by the loop's clock
        self._is_silent = False

    async def parts(self) -> AsyncGenerator[WholeAnswer | StreamPart, None]:
        """Yield the parts of the answer.

        Raise the error to report to the caller if there is no answer, or no end of it.
        """
        try:
            await self._start()
            while True:
                attempt, result = await self._next_result()
                try:
                    part = await self._take(attempt, result)
                except AnswerIncomplete as error:
                    part = await self._fail(attempt, error)
                if part is None:
                    continue
                yield part
                if isinstance(part, WholeAnswer) or part.is_last:
                    return
        finally:
            await self._close(self._current, self._backup)

    async def _take(self, attempt: _Attempt, result: _Result) -> WholeAnswer | StreamPart | None:
        """Return the part of the answer that a result adds; raise if the request fails by it."""
        match result:
            case _Events(answer, events):
                data = _take_new(self._progress, events)
                if not data:
                    return None
                attempt.has_delivered = True
                await self._prefer(attempt)
                return self._to_part(attempt, answer, data)
            case _Ended(answer, body):
                _require_content(answer, body, attempt.has_delivered)
                await self._prefer(attempt)
                return self._take_end(attempt, answer, body)
            case _Failed():
                return await self._replace(attempt, result)
            case _Claimed():
                return None
            case Exception():
                raise result

    # ---- results --------------------------------------------------------------------------

    async def _next_result(self) -> tuple[_Attempt, _Result]:
        """Return the next result of an open attempt.

        Make a backup attempt after a silence, and end an attempt that does not begin in time.
        """
        while True:
            wake_at = self._wake_at()
            try:
                async with asyncio.timeout_at(wake_at):
                    attempt, result = await self._results.get()
            except TimeoutError:
                assert wake_at is not None
                late = await self._find_late_start(wake_at)
                if late is not None:
                    return late, await self._end_late_start(late)
                if not self._is_backup_due():
                    continue
                if _now() - self._backup_due_at > MAX_LOOP_LAG_S:
                    # This process stood still, and has yet to read what arrived meanwhile.
                    self._backup_due_at = _now() + MAX_LOOP_LAG_S
                else:
                    self._start_backup()
                continue
            if attempt is self._current or attempt is self._backup:
                return attempt, result

    def _wake_at(self) -> float | None:
        """Return when to act without a result, by the loop's clock; None for never."""
        times = [self._start_deadline(each) for each in self._unbegun()]
        if times:
            times.append(_now() + START_CHECK_INTERVAL_S)
        backup_at = self._backup_at()
        if backup_at is not None:
            times.append(backup_at)
        return min(times, default=None)

    def _is_backup_due(self) -> bool:
        backup_at = self._backup_at()
        return backup_at is not None and backup_at <= _now() + TIMER_RESOLUTION_S

    def _unbegun(self) -> list[_Attempt]:
        """Return the open attempts that were offered and have not begun."""
        opened = [each for each in (self._current, self._backup) if each is not None]
        return [each for each in opened if each.claim is not None and not each.has_begun]

    def _start_deadline(self, attempt: _Attempt) -> float:
        placer, progress = self._deps.placer, self._progress
        return placer.start_deadline(progress, attempt.load, attempt.weights_version)

    async def _find_late_start(self, wake_at: float) -> _Attempt | None:
        """Return an open attempt that has not begun by the deadline of its weights."""
        if _now() - wake_at > MAX_LOOP_LAG_S and self._unbegun():
            # This process stood still, and has yet to read what arrived meanwhile.
            await asyncio.sleep(MAX_LOOP_LAG_S)
        until = _now() + TIMER_RESOLUTION_S
        late = (each for each in self._unbegun() if self._start_deadline(each) <= until)
        return next(late, None)

    async def _end_late_start(self, attempt: _Attempt) -> _Failed:
        """Reset the connection of an attempt that could begin on superseded weights."""
        self._deps.pool.note_timeout(attempt.load, _now())
        self._deps.metrics.retry(RetryReason.TARGET_SILENT)
        self._log_offer(attempt.load, "failed", "not begun before its weights are superseded")
        await self._close(attempt)
        return _Failed()

    def _to_part(self, attempt: _Attempt, answer: Answer, data: bytes) -> StreamPart:
        progress = self._progress
        if not progress.has_started_answer:
            progress.weights_version = answer.facts.version
            progress.first_part_s = _now() - attempt.offered_at
        ends_with_connection = answer.response.ends_with_connection
        return StreamPart(answer.status, answer.headers, data, False, ends_with_connection)

    def _take_end(self, attempt: _Attempt, answer: Answer, body: bytes) -> WholeAnswer | StreamPart:
        self._deps.pool.note_success(attempt.load)
        self._note_survived(attempt, is_whole=attempt.is_from_start)
        if self._is_stream(answer):
            return StreamPart(answer.status, answer.headers, b"", is_last=True)
        ends_with_connection = answer.response.ends_with_connection
        return WholeAnswer(answer.status, answer.headers, body, ends_with_connection)

    async def _prefer(self, attempt: _Attempt) -> None:
        """Continue the answer with this attempt and close the other one."""
        self._note_progress()
        other = self._backup if attempt is self._current else self._current
        self._current, self._backup = attempt, None
        self._progress.target = attempt.load.entry.target
        if other is None:
            return
        if other.claim is not None:
            self._log_offer(other.load, "superseded", "another attempt delivered first")
        await self._close(other)

    async def _replace(self, attempt: _Attempt, failure: _Failed) -> WholeAnswer | None:
        """Continue without a failed attempt; return the target's own error if nothing is left."""
        progress = self._progress
        if attempt is self._backup:
            self._backup = None
            pause_s = 0.0 if failure.refusal is None else BACKUP_PAUSE_S
            self._backup_due_at = _now() + pause_s
            return None
        self._current, self._backup = self._backup, None
        if self._current is not None:
            return None
        progress.has_reached_target = failure.refusal is not None or failure.has_reached_target
        # The crash check of the last attempt has finished, so the request may be quarantined now.
        is_quarantined = self._deps.crashes.is_quarantined(progress.admitted)
        if is_quarantined or not self._deps.placer.take_retry(progress):
            return self._give_up()
        try:
            await self._start()
        except RequestRefused:
            if not progress.may_have_run:
                raise
            return self._give_up()
        finally:
            self._deps.placer.settle_retry(progress)
        return None

    def _give_up(self) -> WholeAnswer:
        """Return the target's own error answer if there is one; raise the failure otherwise."""
        progress = self._progress
        if progress.failure is not None and not progress.has_started_answer:
            failure = progress.failure
            return WholeAnswer(failure.status, failure.headers, failure.body)
        if progress.may_have_run:
            raise TargetFailed("the target failed the request", remedy=REPEAT_REMEDY)
        self._deps.crashes.require_not_quarantined(progress.admitted)
        if progress.can_retry:
            raise RetryBudgetSpent(
                "the retry budget is spent", retry_after_ms=BUDGET_RETRY_AFTER_MS
            )
        raise TargetRefused("no target accepted the request", retry_after_ms=RETRY_AFTER_MS)

    # ---- attempts -------------------------------------------------------------------------

    async def _start(self) -> None:
        """Make an attempt; raise `RequestRefused` if no target accepts the request."""
        deps, progress = self._deps, self._progress
        await deps.crashes.wait_until_settled(progress.admitted)
        deps.crashes.require_not_quarantined(progress.admitted)
        attempt = self._current = _Attempt(await deps.placer.claim(progress))
        self._require_not_quarantined(attempt)
        self._note_progress()
        options, timeout_s = self._note_offer(attempt)
        self._begin(attempt, lambda: self._offer(attempt, options, timeout_s))

    def _begin(self, attempt: _Attempt, work: Callable[[], Awaitable[None]]) -> None:
        attempt.task = asyncio.get_running_loop().create_task(self._run(attempt, work))

    def _require_not_quarantined(self, attempt: _Attempt) -> None:
        """Give the claim back if other entries quarantined the request while it waited."""
        try:
            self._deps.crashes.require_not_quarantined(self._progress.admitted)
        except RequestQuarantined:
            self._release(attempt)
            raise

    def _backup_at(self) -> float | None:
        """Return when to make a backup attempt, by the loop's clock; None if none may be made."""
        progress = self._progress
        if self._current is None or self._backup is not None or not progress.may_back_up:
            return None
        return self._backup_due_at

    def _note_progress(self) -> None:
        self._is_silent = False
        self._backup_due_at = _now() + idle_timeout_s(self._progress.admitted.route)

    def _start_backup(self) -> None:
        """Make a backup attempt beside the current one, which is silent."""
        current = self._current
        if current is None or current.claim is None:
            self._note_progress()
            return
        due_at = current.data_at + idle_timeout_s(self._progress.admitted.route)
        if due_at > self._backup_due_at:  # a part arrived that is not passed on yet
            self._backup_due_at = due_at
            return
        if not self._is_silent:
            self._note_silent(current.load)
        backup = self._backup = _Attempt()
        self._begin(backup, lambda: self._back_up(backup))

    def _note_silent(self, load: TargetLoad) -> None:
        self._is_silent = True
        self._deps.pool.note_timeout(load, _now())
        log.info(
            "offer_silent",
            request_id=self._progress.admitted.facts.call_id,
            target=load.entry.target,
            last_event=self._progress.last_event,
        )

    async def _run(self, attempt: _Attempt, work: Callable[[], Awaitable[None]]) -> None:
        """Work on an attempt and release its claim at the end."""
        task = asyncio.current_task()
        assert task is not None
        try:
            await work()
        except asyncio.CancelledError:
            if task.cancelling():
                raise
            await self._put(attempt, RuntimeError("a call of the attempt was cancelled"))
        except Exception as error:
            await self._put(attempt, error)
        finally:
            self._release(attempt)
            del task  # a task that is cancelled refers to its frames, which would keep the request

    async def _put(self, attempt: _Attempt, result: _Result) -> None:
        await self._results.put((attempt, result))

    async def _back_up(self, attempt: _Attempt) -> None:
        """Claim a target for a backup attempt and offer it the request."""
        try:
            await self._deps.crashes.wait_until_settled(self._progress.admitted)
            self._deps.crashes.require_not_quarantined(self._progress.admitted)
            attempt.claim = await self._deps.placer.claim_backup(self._progress)
            self._require_not_quarantined(attempt)
        except RequestRefused as error:
            await self._put(attempt, _Failed(error, has_reached_target=False))
            return
        await self._put(attempt, _Claimed())
        self._deps.metrics.retry(RetryReason.TARGET_SILENT)
        options, timeout_s = self._note_offer(attempt)
        await self._offer(attempt, options, timeout_s)

    def _note_offer(self, attempt: _Attempt) -> tuple[OfferOptions, float]:
        """Count an offer that is about to be made; return its options and timeout."""
        progress, placer = self._progress, self._deps.placer
        attempt.offered_at = _now()
        options = placer.offer_options(progress, attempt.load)
        options = replace(options, on_send=lambda: self._note_sent(attempt))
        attempt.is_from_start = options.resume_after is None
        progress.offers += 1
        progress.runs += 1
        progress.unsent += 1
        progress.tried_targets.add(attempt.load.entry.target)
        return options, placer.offer_timeout_s(progress)

    def _note_sent(self, attempt: _Attempt) -> None:
        attempt.is_sent = True
        self._progress.unsent -= 1

    async def _offer(self, attempt: _Attempt, options: OfferOptions, timeout_s: float) -> None:
        """Offer the request to the target of an attempt and pass on what comes of it."""
        deps, progress, load = self._deps, self._progress, attempt.load
        outcome = await deps.offers.send(progress.admitted, load, options, timeout_s)
        assert attempt.claim is not None
        deps.pool.note_prompt_read(attempt.claim)
        match outcome:
            case NotExecuted() as proof:
                progress.runs -= 1
                progress.unsent -= not attempt.is_sent
                if attempt.is_sent:
                    progress.refused_by.append(load.entry.target)
                self._note_not_executed(attempt, proof)
                failure = _Failed(has_reached_target=proof.has_reached_target, has_run=False)
                await self._put(attempt, failure)
            case OutcomeUnknown(reason, has_timed_out=True):
                deps.pool.note_timeout(load, _now())
                deps.metrics.retry(RetryReason.TARGET_SILENT)
                self._log_offer(load, "failed", reason)
                await self._put(attempt, _Failed())
            case OutcomeUnknown(reason, fault=fault):
                if fault is not None:
                    self._note_fault(fault)
                self._note_failed(attempt, reason)
                await self._check_for_crash(attempt)
                await self._put(attempt, _Failed())
            case Answer() as answer:
                deps.pool.note_accepted(load, attempt.offered_at)
                attempt.note_data(_now())
                attempt.weights_version = answer.facts.version
                attempt.has_begun = not answer.is_success
                try:
                    await self._receive(attempt, answer)
                except AnswerIncomplete as error:
                    if isinstance(error, AnswerMalformed):
                        self._note_fault(AnswerFault.MALFORMED)
                    self._note_failed(attempt, error.reason)
                    await self._check_for_crash(attempt)
                    await self._put(attempt, _Failed())
                finally:
                    await answer.close()

    async def _receive(self, attempt: _Attempt, answer: Answer) -> None:
        """Pass on an answer as it arrives; raise `AnswerIncomplete` if it ends early."""
        if self._is_stream(answer):
            stream_speed = StreamSpeed(attempt.load.speed, self._declared_gap_s())
            async with aclosing(read_events(answer)) as batches:
                async for events in batches:
                    self._note_events(attempt, stream_speed, len(events))
                    await self._put(attempt, _Events(answer, events))
            await self._require_alive(attempt, answer)
            await self._put(attempt, _Ended(answer, b""))
            return
        body = await read_whole(answer, lambda: self._note_data(attempt))
        if not answer.is_success:
            self._progress.failure = FailedAnswer(answer.status, answer.headers, body)
            self._note_failed(attempt, f"the target answered {answer.status}")
            await self._put(attempt, _Failed())
            return
        await self._require_alive(attempt, answer)
        await self._put(attempt, _Ended(answer, body))

    async def _require_alive(self, attempt: _Attempt, answer: Answer) -> None:
        """Raise `AnswerIncomplete` if an answer ended because its target did.

        An answer with neither a length nor chunks ends with its connection in either case. Another
        start of the target may listen by now if this process stood still meanwhile.
        """
        if not answer.response.ends_with_connection:
            return
        if await self._deps.crashes.has_ended(attempt.load.entry):
            raise AnswerIncomplete("the answer ended with its target")
        if not attempt.was_silent(_now()):
            return
        table = self._deps.knowledge.routes
        service = table.services.get(self._progress.admitted.service) if table else None
        if service is None or not service.liveness_path:
            return
        if await self._deps.offers.is_replaced(attempt.load, service.liveness_path):
            raise AnswerIncomplete("the answer ended with its target, which has been replaced")

    def _note_data(self, attempt: _Attempt) -> None:
        attempt.has_begun = True
        attempt.note_data(_now())
        attempt.load.note_data(attempt.data_at)

    def _note_events(self, attempt: _Attempt, stream_speed: StreamSpeed, count: int) -> None:
        load, now = attempt.load, _now()
        self._note_data(attempt)
        if attempt.lasted_s >= attempt.long_run_s:
            attempt.long_run_s *= 2
            self._deps.crashes.note_running(self._progress.admitted, attempt.lasted_s)
        gap_s = stream_speed.note_events(count, now, load.link_delay(now))
        if gap_s is not None:
            self._deps.report_gap(load, gap_s, stream_speed.declared_s)

    def _is_stream(self, answer: Answer) -> bool:
        return self._progress.admitted.route.streams and answer.status == OK

    def _declared_gap_s(self) -> float:
        """Return the declared gap between two events of a stream; 0 if none is declared."""
        table = self._deps.knowledge.routes
        service = table.services.get(self._progress.admitted.service) if table else None
        return event_gap_s(service.engine) if service and service.engine else 0.0

    # ---- ends of attempts -----------------------------------------------------------------

    async def _fail(self, attempt: _Attempt, error: AnswerIncomplete) -> WholeAnswer | None:
        """End an attempt whose events do not continue the answer."""
        self._note_failed(attempt, error.reason)
        await self._close(attempt)
        await self._check_for_crash(attempt)
        return await self._replace(attempt, _Failed())

    async def _close(self, *attempts: _Attempt | None) -> None:
        opened = [each for each in attempts if each is not None]
        tasks = [each.task for each in opened if each.task is not None]
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)
        for attempt in opened:
            attempt.task = None  # its error refers to frames, and these to the attempt
            if attempt.has_begun and not attempt.is_over:
                self._note_survived(attempt, is_whole=False)
            self._release(attempt)  # a task that was cancelled before it began has not done so

    def _note_survived(self, attempt: _Attempt, is_whole: bool) -> None:
        attempt.is_over = True
        self._deps.crashes.note_survived(
            self._progress.admitted, attempt.load.entry, attempt.lasted_s, is_whole
        )

    def _release(self, attempt: _Attempt) -> None:
        if attempt.claim is None or attempt.is_released:
            return
        attempt.is_released = True
        self._deps.queue.release(attempt.claim)

    async def _check_for_crash(self, attempt: _Attempt) -> None:
        """Check whether the connection broke because the target crashed."""
        began_at = self._deps.clock() - (_now() - attempt.offered_at)
        admitted, entry = self._progress.admitted, attempt.load.entry
        await self._deps.crashes.note_connection_lost(admitted, entry, began_at)

    def _note_not_executed(self, attempt: _Attempt, proof: NotExecuted) -> None:
        load, now = attempt.load, _now()
        if proof.is_replaced:
            self._note_replaced(load)
        if proof.is_full:
            self._deps.pool.note_full(load, attempt.offered_at, now)
            self._deps.metrics.retry(RetryReason.TARGET_OVERLOADED)
        elif proof.is_closed:
            self._deps.metrics.retry(RetryReason.WITHDRAWN)
        else:
            self._deps.pool.note_failure(load, now)
            self._deps.metrics.retry(RetryReason.TARGET_UNREACHABLE)
            self._log_offer(load, "not-run", proof.reason)

    def _note_replaced(self, load: TargetLoad) -> None:
        """Mark a target incarnation as leaving because another one answers at its address.

        The list of targets may contain the old incarnation for some more seconds.
        """
        log.info("target_gone", target=load.entry.target, address=load.entry.address)
        self._deps.leaving_targets.mark_leaving(load.entry.target, LeavingSource.ADDRESS)

    def _note_fault(self, fault: AnswerFault) -> None:
        self._deps.metrics.count("invalid_answers", fault=fault.value)

    def _note_failed(self, attempt: _Attempt, reason: str) -> None:
        attempt.is_over = True
        load, now = attempt.load, _now()
        if load.loading_until <= now:
            self._deps.pool.note_failure(load, now)
            self._deps.metrics.retry(RetryReason.TARGET_FAILED)
        self._log_offer(load, "failed", reason)

    def _log_offer(self, load: TargetLoad, outcome: str, reason: str) -> None:
        progress = self._progress
        self._deps.metrics.count("offers", outcome=outcome)
        log.info(
            "offer_ended",
            request_id=progress.admitted.facts.call_id,
            # Each attempt of the caller has its own id; the digest identifies the request.
            digest=progress.admitted.digest,
            parts=progress.admitted.facts.shared_parts[:MAX_PARTS],
            target=load.entry.target,
            outcome=outcome,
            reason=reason,
            offers=progress.offers,
            runs=progress.runs,
            last_event=progress.last_event,
        )


def _require_content(answer: Answer, body: bytes, has_delivered: bool) -> None:
    """Raise `AnswerIncomplete` if an answer without a stated end adds nothing to the head.

    Its target may have stopped before the rest of it.
    """
    if answer.response.ends_with_connection and not (body or has_delivered):
        raise AnswerIncomplete("the connection closed after the head, which states no end")


def _take_new(progress: RequestProgress, events: Sequence[StreamEvent]) -> bytes:
    """Return the events that the caller still needs, and record the last of them as sent.

    Raise `AnswerIncomplete` and record nothing if an event is missing before one of them.
    """
    last, new = progress.last_event, []
    for event in events:
        if event.number is not None:
            if last is not None and event.number <= last:
                continue
            if last is not None and event.number != last + 1:
                raise AnswerIncomplete(f"event {event.number} came after {last}")
            last = event.number
        new.append(event.data)
    progress.last_event = last
    return b"".join(new)


def _now() -> float:
    return asyncio.get_running_loop().time()
