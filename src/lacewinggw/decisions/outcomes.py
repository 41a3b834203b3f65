"""What an entry does when an attempt fails without an answer, and which outcome it reports.

"Not run" requires proof: no target was offered the request, or each that was offered it rejected
it. One attempt that may have run makes the whole request "unknown", whatever later attempts return.
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

RETRY_AFTER_MS = 1000  # sent to the caller if the error names no other value

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
    """The state of a request when an attempt ends.

    `delivered` counts the pieces received so far. `resumable` is whether a target of this kind can
    continue from there, `discardable` whether the received pieces can still be discarded.
    """

    repeatable: bool
    delivered: int = 0
    resumable: bool = True
    discardable: bool = True
    may_have_run: bool = False


@dataclass(frozen=True)
class Retry:
    """Try another target, from the piece after the delivered ones."""

    reason: RetryReason


@dataclass(frozen=True)
class Restart:
    """Discard the received pieces and try another target from the first piece."""

    reason: RetryReason


@dataclass(frozen=True)
class GiveUp:
    """Return the error to the caller."""

    error: LacewingError


Step = Retry | Restart | GiveUp


def proves_not_run(error: LacewingError) -> bool:
    """Return whether an attempt that ended with this error certainly did not run."""
    return error.outcome is Outcome.NOT_RUN or isinstance(error, Unreachable)


def next_step(error: LacewingError, situation: AttemptContext) -> Step:
    """Return what to do after an attempt ended with `error`."""
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
    """Return the error for a request that may have run and whose last attempt gave `error`."""
    if isinstance(error, ConnectionLost):
        return AgentLost(f"the agent was lost after the offer: {error.reason}")
    return RequestUnknown(f"an earlier attempt may have run; the last error: {error.reason}")


def final_error(error: LacewingError, situation: AttemptContext) -> LacewingError:
    """Return the error for the caller; its outcome is always "not run" or "unknown"."""
    reported = error
    if proves_not_run(error) and not situation.may_have_run:
        if error.outcome is not Outcome.NOT_RUN:
            reported = NoTarget(error.reason, retry_after_ms=error.retry_after_ms)
    elif error.outcome is not Outcome.UNKNOWN:
        reported = _unknown_for(error)
    if not reported.retry_after_ms and reported.http_status in (429, 503):
        reported.retry_after_ms = RETRY_AFTER_MS
    return reported
