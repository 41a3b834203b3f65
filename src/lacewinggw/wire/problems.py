"""Encoding of errors in HTTP: a problem document, and headers that summarize it."""

import json
from math import ceil
from typing import Any

from lacewinggw.errors import LacewingError, LanguageError, Outcome

PROBLEM_TYPE = "application/problem+json"
MILLISECONDS = 1000.0


def problem(error: LacewingError, request_id: str = "", status: int = 0) -> dict[str, Any]:
    """Return an error as the members of a problem document.

    `status` is the response's status where it is more specific than the error's own; 0 for none.
    """
    members = {
        "type": f"urn:lacewinggw:{error.code}",
        "title": error.kind,
        "status": status or error.http_status,
        "code": error.code,
        "detail": error.reason,
        "remedy": error.remedy,
        "outcome": error.outcome.value,
        "retry_after_ms": error.retry_after_ms,
        "request_id": request_id,
    }
    if isinstance(error, LanguageError):
        members["position"] = error.position
        members["expected"] = list(error.expected)
        members["nearest"] = error.nearest
    return members


def problem_body(error: LacewingError, request_id: str = "", status: int = 0) -> bytes:
    """Return the problem document as bytes."""
    return json.dumps(problem(error, request_id, status)).encode()


def problem_headers(error: LacewingError, request_id: str = "") -> dict[str, str]:
    """Return the headers of a problem; `retry-after` is rounded up to whole seconds."""
    headers = {"content-type": PROBLEM_TYPE, "error-code": error.code}
    if error.outcome is not Outcome.NONE:
        headers["outcome"] = error.outcome.value
    if request_id:
        headers["request-id"] = request_id
    if error.retry_after_ms:
        headers["retry-after"] = str(ceil(error.retry_after_ms / MILLISECONDS))
    return headers
