"""What calls to any target share: headers, and failures told apart by whether the call ran.

No connection, or a refusal by status, is `TargetRefused`: the call did not run. Anything else
after it was sent is `TargetFailed` or `AnswerIncomplete`: it may have run.
"""

from lacewinggw.clients.calls import retry_after_ms
from lacewinggw.errors import (
    AnswerIncomplete,
    LacewingError,
    MalformedHttp,
    TargetFailed,
    TargetRefused,
)
from lacewinggw.wire.http import Headers, HttpError, NotConnectedError, Response

REQUEST_ID_HEADER = "x-request-id"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
PRIORITY_HEADER = "x-priority"
RESUME_HEADER = "x-resume-from"
REFUSAL_STATUSES = frozenset({409, 429, 503})


def lost_before_answer(error: Exception) -> LacewingError:
    """Return the error for a call that no answer came to."""
    if isinstance(error, NotConnectedError):
        return TargetRefused(f"the target cannot be reached: {error}")
    return TargetFailed(f"the target gave no answer: {describe_error(error)}")


def lost_within_answer(error: Exception) -> LacewingError:
    """Return the error for an answer that broke off."""
    return AnswerIncomplete(f"the target's answer broke off: {describe_error(error)}")


def refusal_error(status: int, headers: Headers) -> LacewingError | None:
    """Return the error for a status by which a target refuses a call, None for another status."""
    if status in REFUSAL_STATUSES:
        wait_ms = retry_after_ms(Response(status, headers))
        return TargetRefused(f"the target refused with {status}", retry_after_ms=wait_ms)
    return None


def bad_request_error(status: int, content: bytes) -> LacewingError:
    """Return the error for a call that the target says is malformed."""
    detail = content[:200].decode("utf-8", "replace")
    return MalformedHttp(f"the target refused the content with {status}: {detail}")


def describe_error(error: Exception) -> str:
    """Return what an exception says, or its name where it says nothing."""
    if isinstance(error, HttpError):
        return f"{error} ({error.status})"
    return str(error) or type(error).__name__
