"""Headers and errors shared by the clients of all targets.

Errors say whether a call may have run. After a failure to connect, or a refusal in which the target
states that it did not run the call, it is `TargetRefused`: the call did not run. Any other failure
after the call was sent is `TargetFailed` or `AnswerIncomplete`: it may have run.
"""

from lacewinggw.clients.calls import retry_after_ms
from lacewinggw.errors import (
    NOT_RUN_STATUSES,
    AnswerIncomplete,
    LacewingError,
    MalformedHttp,
    Outcome,
    TargetFailed,
    TargetRefused,
)
from lacewinggw.wire.http import Headers, HttpError, NotConnectedError, Response

REQUEST_ID_HEADER = "x-request-id"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
PRIORITY_HEADER = "x-priority"
RESUME_HEADER = "x-resume-from"
OUTCOME_HEADER = "outcome"  # with the value "not-run" in refusals
CONFLICT = 409
REFUSAL_STATUSES = NOT_RUN_STATUSES | {CONFLICT}


def lost_before_answer(error: Exception) -> LacewingError:
    """Return the error for a call that failed before any answer was received."""
    if isinstance(error, NotConnectedError):
        return TargetRefused(f"the target cannot be reached: {error}")
    return TargetFailed(f"the target sent no answer: {describe_error(error)}")


def lost_within_answer(error: Exception) -> LacewingError:
    """Return the error for an answer that was cut off."""
    return AnswerIncomplete(f"the target's answer was cut off: {describe_error(error)}")


def refusal_error(status: int, headers: Headers) -> LacewingError | None:
    """Return the error for an answer that refuses a call, or None for any other answer.

    A status alone proves nothing: a service whose own resources fail may answer 503 to a call that
    it has run. Callers would take it for a promise, so it becomes an error of unknown outcome.
    """
    is_not_run = headers.get(OUTCOME_HEADER) == Outcome.NOT_RUN.value
    if is_not_run and status in REFUSAL_STATUSES:
        wait_ms = retry_after_ms(Response(status, headers))
        return TargetRefused(
            f"the target refused the call with status {status}", retry_after_ms=wait_ms
        )
    if status in NOT_RUN_STATUSES:
        return TargetFailed(
            f"the target answered {status} and does not state that it did not run the call"
        )
    return None


def bad_request_error(status: int, content: bytes) -> LacewingError:
    """Return the error for a call that the target rejects as malformed."""
    detail = content[:200].decode("utf-8", "replace")
    return MalformedHttp(f"the target rejected the content with status {status}: {detail}")


def describe_error(error: Exception) -> str:
    """Return an exception's message, or its class name if the message is empty."""
    if isinstance(error, HttpError):
        return f"{error} ({error.status})"
    return str(error) or type(error).__name__
