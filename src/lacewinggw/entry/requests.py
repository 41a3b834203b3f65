"""One request at an entry: attempted at targets until it has a definite outcome."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing
from dataclasses import dataclass
from typing import Protocol

from lacewinggw.decisions.outcomes import (
    AttemptContext,
    GiveUp,
    Restart,
    Retry,
    final_error,
    next_step,
    proves_not_run,
)
from lacewinggw.entry.answers import AnswerProgress, CompleteAnswer
from lacewinggw.entry.attempts import AgentEndpoint, Attempt, CallerRequest
from lacewinggw.entry.hostmonitor import HostMonitor
from lacewinggw.entry.targets import CallOutcome, CallResult, Choice, TargetDirectory
from lacewinggw.errors import (
    AnswerIncomplete,
    DeadlinePassed,
    DeadlineTooNear,
    LacewingError,
    NoTarget,
    Outcome,
    RetryBudgetSpent,
)
from lacewinggw.generated.messages.ttypes import Finish, Standing
from lacewinggw.metrics import Metrics, RetryReason
from lacewinggw.wire.peers import PeerNode

MS_PER_S = 1000.0
NO_TARGET_RETRY_MS = 1000
ANSWER_LIMIT_BYTES = 64 << 20


@dataclass(frozen=True)
class RequestContext:
    """The dependencies shared by all requests of an entry."""

    node: PeerNode
    targets: TargetDirectory
    host_monitor: HostMonitor
    metrics: Metrics
    window: int


Batches = AsyncGenerator[list[bytes], None]


class AnswerRun(Protocol):
    """A request in progress, with a key, a ticket or neither."""

    progress: AnswerProgress
    finish: Finish | None

    def batches(self) -> Batches:
        """Yield the pieces of the answer."""


class RequestRun:
    """One request without a key, from the choice of a target to its outcome.

    `batches` yields pieces as they are received and returns once the answer is complete; it raises
    the one error to return to the caller. With `recallable`, pieces may be sent again from the
    first one; `progress.pieces` is reset to 0 before that.
    """

    def __init__(self, context: RequestContext, request: CallerRequest, recallable: bool) -> None:
        self.progress = AnswerProgress(request.digest)
        self.finish: Finish | None = None
        self._context = context
        self._request = request
        self._recallable = recallable
        self._rejecting_hosts: set[str] = set()
        self._failed_hosts: set[str] = set()
        self._attempt: Attempt | None = None
        self._last_error: LacewingError | None = None
        self._may_have_run = False

    async def batches(self) -> AsyncGenerator[list[bytes], None]:
        """Yield the pieces of the answer."""
        while self.finish is None:
            choice = self._choose()
            if choice is None:
                self._reset_or_raise()
                continue
            try:
                async with aclosing(self._attempt_once(choice)) as batches:
                    async for pieces in batches:
                        yield pieces
            except LacewingError as error:
                await self._handle_failure(error, choice)

    async def _attempt_once(self, choice: Choice) -> AsyncGenerator[list[bytes], None]:
        request, progress = self._request, self.progress
        request.head.attempt += 1
        attempt = Attempt(
            self._context.node, AgentEndpoint(choice.address), request, "", self._context.window
        )
        self._attempt = attempt
        monitored = request.head.repeatable
        if monitored:
            self._context.host_monitor.add(choice.host, attempt)
        try:
            async with aclosing(
                stream_from_target(self._context, choice, attempt, progress)
            ) as batches:
                async for pieces in batches:
                    yield pieces
        finally:
            if monitored:
                self._context.host_monitor.discard(choice.host, attempt)
        self.finish = attempt.finish

    def _choose(self) -> Choice | None:
        """Return a target not tried yet, else one that failed, but never one that refused."""
        head = self._request.head
        head.digest = self.progress.weights_digest if self.progress.pieces else ""
        tried = frozenset(self._rejecting_hosts | self._failed_hosts)
        targets = self._context.targets
        choice = targets.choose(head.service_name, head, tried)
        if choice is None and self._failed_hosts:
            choice = targets.choose(head.service_name, head, frozenset(self._rejecting_hosts))
        return choice

    def _reset_or_raise(self) -> None:
        """Discard the received pieces if that may allow another target, else raise the error."""
        if self.progress.pieces and self._recallable:
            self.progress.reset()
            return
        service = self._request.head.service_name
        error = self._last_error or NoTarget(
            f"no target serves {service} now", retry_after_ms=NO_TARGET_RETRY_MS
        )
        if self.progress.pieces:
            reason = "the stream was interrupted and no target with the same weights can resume it"
            error = AnswerIncomplete(f"{reason}: {error.reason}")
        raise final_error(error, self._attempt_context())

    async def _handle_failure(self, error: LacewingError, choice: Choice) -> None:
        """Return if another attempt is to be made, else raise the error for the caller."""
        error = await self._withdraw_after_deadline(error)
        self._last_error = error
        if proves_not_run(error):
            self._rejecting_hosts.add(choice.host)
        else:
            self._failed_hosts.add(choice.host)
            self._may_have_run = True
        context = self._attempt_context()
        match next_step(error, context):
            case GiveUp(final):
                raise final
            case Retry(reason):
                self._spend_retry(error, reason, context)
            case Restart(reason):
                self._spend_retry(error, reason, context)
                self.progress.reset()

    async def _withdraw_after_deadline(self, error: LacewingError) -> LacewingError:
        """Replace a passed deadline by "not run" if the agent can prove it."""
        if not isinstance(error, DeadlinePassed) or self._attempt is None:
            return error
        if await self._attempt.withdraw() is Standing.NEVER_STARTED:
            return DeadlineTooNear("the deadline passed before the request could start")
        return error

    def _attempt_context(self) -> AttemptContext:
        return AttemptContext(
            repeatable=self._request.head.repeatable,
            delivered=self.progress.pieces,
            resumable=self._request.resumable,
            discardable=self._recallable,
            may_have_run=self._may_have_run,
        )

    def _spend_retry(
        self, error: LacewingError, reason: RetryReason, context: AttemptContext
    ) -> None:
        if asyncio.get_running_loop().time() >= self._request.deadline:
            raise final_error(DeadlineTooNear("no time is left for a retry"), context)
        if not self._context.targets.acquire_retry():
            budget_error = RetryBudgetSpent(
                f"the retry budget is spent; last error: {error.reason}",
                retry_after_ms=error.retry_after_ms or NO_TARGET_RETRY_MS,
            )
            raise final_error(budget_error, context)
        self._context.metrics.retry(reason)


async def stream_from_target(
    context: RequestContext, choice: Choice, attempt: Attempt, progress: AnswerProgress
) -> AsyncGenerator[list[bytes], None]:
    """Yield an attempt's pieces, and record the call and its result with the target."""
    result = CallResult(CallOutcome.ABANDONED)
    context.targets.begin(choice.host)
    try:
        async with aclosing(attempt.batches(progress)) as batches:
            async for pieces in batches:
                yield pieces
        finish = attempt.finish
        result = CallResult(CallOutcome.ANSWERED, load=finish.load if finish else None)
    except DeadlinePassed:
        raise
    except LacewingError as error:
        refused = error.outcome is Outcome.NOT_RUN
        result = CallResult(CallOutcome.REFUSED if refused else CallOutcome.FAILED)
        raise
    finally:
        context.targets.end(choice.host, result)


async def collect(run: AnswerRun) -> CompleteAnswer:
    """Return a complete answer; raise the error to return to the caller."""
    parts: list[bytes] = []
    size = 0
    async with aclosing(run.batches()) as batches:
        async for pieces in batches:
            if run.progress.pieces == len(pieces):  # the first batch, perhaps after a reset
                parts.clear()
                size = 0
            parts.extend(pieces)
            size += sum(map(len, pieces))
            if size > ANSWER_LIMIT_BYTES:
                raise AnswerIncomplete(f"the answer is over {ANSWER_LIMIT_BYTES} bytes")
    finish = run.finish
    assert finish is not None, "batches() sets finish or raises"
    progress = run.progress
    return CompleteAnswer(
        b"".join(parts),
        progress.pieces,
        progress.content_digest,
        progress.weights_digest,
        finish.status,
        finish.content_type,
    )
