"""What an entry does next when a try at a request ends without an answer, and what it may say.

Only proof makes "not run": no target was offered the request, or each that was barred it. One try
that may have run makes the whole request "unknown", whatever later tries say.
"""

from dataclasses import dataclass

from lacewinggw.errors import (
    AgentLost,
    AnswerIncomplete,
    ConnectionLost,
    DeadlinePassed,
    DeadlineTooNear,
    Draining,
    HolderGone,
    LacewingError,
    NoTarget,
    Outcome,
    Overloaded,
    ReleaseMoved,
    RequestUnknown,
    TargetRefused,
    TicketExpired,
    Unreachable,
    Withdrawn,
)
from lacewinggw.metrics import RetryReason

RETRY_AFTER_MS = 1000  # told to the caller where nothing better is known

_RETRY_REASONS: dict[type[LacewingError], RetryReason] = {
    TargetRefused: RetryReason.TARGET_REFUSED,
    Overloaded: RetryReason.TARGET_OVERLOADED,
    Draining: RetryReason.TARGET_DRAINING,
    Unreachable: RetryReason.TARGET_UNREACHABLE,
    NoTarget: RetryReason.TARGET_DRAINING,
    Withdrawn: RetryReason.WITHDRAWN,
    TicketExpired: RetryReason.RESERVATION_LAPSED,
    ReleaseMoved: RetryReason.RELEASE_MOVED,
}


@dataclass(frozen=True)
class AttemptContext:
    """Where a request stands when a try ends.

    `delivered` counts pieces received so far; `resumable` tells whether the target's kind can go on
    from there, `recallable` whether pieces received can still be thrown away.
    """

    repeatable: bool
    delivered: int = 0
    resumable: bool = True
    discardable: bool = True
    may_have_run: bool = False


@dataclass(frozen=True)
class Retry:
    """Try another target, from the piece after those delivered."""

    reason: RetryReason


@dataclass(frozen=True)
class Restart:
    """Throw away what was received, and try another target from the first piece."""

    reason: RetryReason


@dataclass(frozen=True)
class GiveUp:
    """Tell the caller."""

    error: LacewingError


Step = Retry | Restart | GiveUp


def proves_not_run(error: LacewingError) -> bool:
    """Return whether a try that ended so certainly did not run."""
    return error.outcome is Outcome.NOT_RUN or isinstance(error, Unreachable)


def next_step(error: LacewingError, situation: AttemptContext) -> Step:
    """Return what to do after a try ended with `error`."""
    if isinstance(error, DeadlinePassed | DeadlineTooNear):
        return GiveUp(final_error(error, situation))
    if proves_not_run(error):
        reason = _RETRY_REASONS.get(type(error))
        if reason is None:
            return GiveUp(final_error(error, situation))
        return _again(reason, error, situation)
    if not situation.repeatable:
        return GiveUp(final_error(error, situation))
    lost = isinstance(error, ConnectionLost | HolderGone)
    reason = RetryReason.PEER_LOST if lost else RetryReason.TARGET_FAILED
    return _again(reason, error, situation)


def _again(reason: RetryReason, error: LacewingError, situation: AttemptContext) -> Step:
    if situation.delivered == 0:
        return Retry(reason)
    moved = isinstance(error, NoTarget | ReleaseMoved | AnswerIncomplete)
    if situation.resumable and not moved:
        return Retry(RetryReason.STREAM_RESUMED)
    if situation.discardable:
        return Restart(RetryReason.STREAM_RESTARTED)
    return GiveUp(final_error(error, situation))


def _unknown_for(error: LacewingError) -> LacewingError:
    """Return the error for a request that may have run, when the last thing met was `error`."""
    if isinstance(error, ConnectionLost):
        return AgentLost(f"the agent was lost after the offer: {error.reason}")
    return RequestUnknown(f"an earlier try may have run; the last thing met: {error.reason}")


def final_error(error: LacewingError, situation: AttemptContext) -> LacewingError:
    """Return the error to tell the caller: one of "not run" or "unknown", never without."""
    told = error
    if proves_not_run(error) and not situation.may_have_run:
        if error.outcome is not Outcome.NOT_RUN:
            told = NoTarget(error.reason, retry_after_ms=error.retry_after_ms)
    elif error.outcome is not Outcome.UNKNOWN:
        told = _unknown_for(error)
    if not told.retry_after_ms and told.http_status in (429, 503):
        told.retry_after_ms = RETRY_AFTER_MS
    return told
