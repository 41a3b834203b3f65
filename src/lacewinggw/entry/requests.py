"""A request on its way through an entry: tried at targets until there is one honest outcome."""

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
from lacewinggw.entry.answers import Progress, WholeAnswer
from lacewinggw.entry.attempts import Asked, Attempt, Holder
from lacewinggw.entry.silence import SilenceWatch
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

MILLISECONDS = 1000.0
NO_TARGET_RETRY_MS = 1000
ANSWER_LIMIT_BYTES = 64 << 20


@dataclass(frozen=True)
class Means:
    """What every request of an entry is carried out with."""

    node: PeerNode
    targets: TargetDirectory
    silence: SilenceWatch
    metrics: Metrics
    window: int


Batches = AsyncGenerator[list[bytes], None]


class Answering(Protocol):
    """A request being answered, with a key or without."""

    progress: Progress
    finish: Finish | None

    def batches(self) -> Batches:
        """Yield the pieces of the answer."""


class RequestRun:
    """One request without a key, from the choice of a target to its outcome.

    `batches` yields pieces as they come and returns once the answer is whole; it raises the one
    error that the caller is to be told. With `recallable` pieces may come anew from the first one:
    `progress.pieces` is then back at 0 before they do.
    """

    def __init__(self, means: Means, asked: Asked, recallable: bool) -> None:
        self.progress = Progress(asked.digest)
        self.finish: Finish | None = None
        self._means = means
        self._asked = asked
        self._recallable = recallable
        self._refused_by: set[str] = set()
        self._failed_at: set[str] = set()
        self._attempt: Attempt | None = None
        self._last_error: LacewingError | None = None
        self._may_have_run = False

    async def batches(self) -> AsyncGenerator[list[bytes], None]:
        """Yield the pieces of the answer."""
        while self.finish is None:
            choice = self._choose()
            if choice is None:
                self._start_over_or_stop()
                continue
            try:
                async with aclosing(self._try_once(choice)) as batches:
                    async for pieces in batches:
                        yield pieces
            except LacewingError as error:
                await self._go_on_after(error, choice)

    async def _try_once(self, choice: Choice) -> AsyncGenerator[list[bytes], None]:
        asked, progress = self._asked, self.progress
        asked.head.attempt += 1
        attempt = Attempt(self._means.node, Holder(choice.address), asked, "", self._means.window)
        self._attempt = attempt
        watched = asked.head.repeatable
        if watched:
            self._means.silence.add(choice.host, attempt)
        try:
            async with aclosing(follow_target(self._means, choice, attempt, progress)) as batches:
                async for pieces in batches:
                    yield pieces
        finally:
            if watched:
                self._means.silence.discard(choice.host, attempt)
        self.finish = attempt.finish

    def _choose(self) -> Choice | None:
        """Return a target not tried yet, else one that failed, but none that refused."""
        head = self._asked.head
        head.digest = self.progress.weights_digest if self.progress.pieces else ""
        tried = frozenset(self._refused_by | self._failed_at)
        targets = self._means.targets
        choice = targets.choose(head.service_name, head, tried)
        if choice is None and self._failed_at:
            choice = targets.choose(head.service_name, head, frozenset(self._refused_by))
        return choice

    def _start_over_or_stop(self) -> None:
        """Give up the pieces received if that helps to find a target; else raise the outcome."""
        if self.progress.pieces and self._recallable:
            self.progress.start_over()
            return
        service = self._asked.head.service_name
        error = self._last_error or NoTarget(
            f"no target serves {service} now", retry_after_ms=NO_TARGET_RETRY_MS
        )
        if self.progress.pieces:
            reason = "the stream broke off and no other target of the same weights can go on"
            error = AnswerIncomplete(f"{reason}: {error.reason}")
        raise final_error(error, self._situation())

    async def _go_on_after(self, error: LacewingError, choice: Choice) -> None:
        """Return when another try is to be made; raise what the caller is to be told."""
        error = await self._prove(error)
        self._last_error = error
        if proves_not_run(error):
            self._refused_by.add(choice.host)
        else:
            self._failed_at.add(choice.host)
            self._may_have_run = True
        situation = self._situation()
        match next_step(error, situation):
            case GiveUp(told):
                raise told
            case Retry(reason):
                self._spend_retry(error, reason, situation)
            case Restart(reason):
                self._spend_retry(error, reason, situation)
                self.progress.start_over()

    async def _prove(self, error: LacewingError) -> LacewingError:
        """Turn a passed deadline into "not run" where the agent can prove it."""
        if not isinstance(error, DeadlinePassed) or self._attempt is None:
            return error
        if await self._attempt.withdraw() is Standing.NEVER_STARTED:
            return DeadlineTooNear("the deadline passed before the request could start")
        return error

    def _situation(self) -> AttemptContext:
        return AttemptContext(
            repeatable=self._asked.head.repeatable,
            delivered=self.progress.pieces,
            resumable=self._asked.resumable,
            discardable=self._recallable,
            may_have_run=self._may_have_run,
        )

    def _spend_retry(
        self, error: LacewingError, reason: RetryReason, situation: AttemptContext
    ) -> None:
        if asyncio.get_running_loop().time() >= self._asked.deadline:
            raise final_error(DeadlineTooNear("no time is left to try again"), situation)
        if not self._means.targets.retry_allowed():
            spent = RetryBudgetSpent(
                f"retries are at their limit; the last try: {error.reason}",
                retry_after_ms=error.retry_after_ms or NO_TARGET_RETRY_MS,
            )
            raise final_error(spent, situation)
        self._means.metrics.retry(reason)


async def follow_target(
    means: Means, choice: Choice, attempt: Attempt, progress: Progress
) -> AsyncGenerator[list[bytes], None]:
    """Yield an attempt's pieces, keeping the accounts of its target."""
    result = CallResult(CallOutcome.ABANDONED)
    means.targets.begin(choice.host)
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
        means.targets.end(choice.host, result)


async def collect(run: Answering) -> WholeAnswer:
    """Return a whole answer; raise the error that the caller is to be told."""
    parts: list[bytes] = []
    size = 0
    async with aclosing(run.batches()) as batches:
        async for pieces in batches:
            if run.progress.pieces == len(pieces):  # these are the first, perhaps anew
                parts.clear()
                size = 0
            parts.extend(pieces)
            size += sum(map(len, pieces))
            if size > ANSWER_LIMIT_BYTES:
                raise AnswerIncomplete(f"the answer is over {ANSWER_LIMIT_BYTES} bytes")
    finish = run.finish
    assert finish is not None, "batches() ends with a finish or raises"
    progress = run.progress
    return WholeAnswer(
        b"".join(parts),
        progress.pieces,
        progress.content_digest,
        progress.weights_digest,
        finish.status,
        finish.content_type,
    )
