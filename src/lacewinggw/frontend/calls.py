"""A caller's request and a target's answer, as the rest of the entry sees them.

How either travels is the operators' choice: a `CallCodec` of theirs reads the head of a request,
writes the head that goes to a target, and reads the head of an answer.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from lacewinggw.ids import Account, ModelName, TargetName
from lacewinggw.wire.http import HeaderList, Headers

DEFAULT_URGENCY = 5  # of a request that says nothing; 0 is the most urgent, 9 the least

# Headers that concern one connection and are never passed on (RFC 9110, section 7.6.1).
HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)


@dataclass(frozen=True)
class Call:
    """A request as it came: `target` is the path with its query, as written."""

    method: str
    target: str
    domain: str
    headers: HeaderList
    body: bytes
    arrived_at: float

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True)
class CallFacts:
    """What the head of a request tells, in seconds and tokens; None where it says nothing."""

    call_id: str
    time_left_s: float | None = None
    key: str = ""
    last_event: int | None = None
    model: ModelName | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    expected_tokens: int | None = None


@dataclass(frozen=True)
class DispatchFacts:
    """What a target is told beside the caller's own head.

    The target refuses the request unless it is `target`, and unless it has `version` where that is
    given. `resume_after` is the last event that the caller has.
    """

    target: TargetName
    account: Account | None
    time_left_ms: int
    urgency: int = DEFAULT_URGENCY
    version: int | None = None
    resume_after: int | None = None


@dataclass(frozen=True)
class AnswerFacts:
    """What the head of an answer tells.

    With `not_run` the target says that it did not run the request; `call_id` is the request that
    the answer belongs to, `sealed` whether it bears the target's mark, `version` the version of the
    weights that it comes from, `answered_by` the target at the address, where the answer names it.
    `limit_per_s` is how many requests a second the target asks for, of all entries together;
    `leaving` whether it says that it leaves, and `retry_after_s` for how many seconds it asks this
    entry to send it nothing. docs/design/targets.md has who acts on each, and until when.
    """

    call_id: str | None
    not_run: bool
    sealed: bool
    version: int | None = None
    answered_by: TargetName | None = None
    limit_per_s: float | None = None
    leaving: bool = False
    retry_after_s: float | None = None


class CallCodec(Protocol):
    """How requests and answers travel."""

    def read_call(self, headers: HeaderList) -> CallFacts:
        """Return what the head of a request tells; raise `MalformedHttp` for what it cannot."""

    def write_call(self, headers: HeaderList, dispatch: DispatchFacts) -> HeaderList:
        """Return the head that goes to a target."""

    def read_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Return what the head of an answer tells."""


def end_to_end_headers(headers: HeaderList) -> list[tuple[str, str]]:
    """Return the headers that are not about one connection."""
    named = _named_by_connection(headers)
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_HEADERS and name.lower() not in named
    ]


def _named_by_connection(headers: HeaderList) -> set[str]:
    return {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }


def header_values(headers: HeaderList, wanted: str) -> Sequence[str]:
    """Return every value of a header, whatever the case of its name."""
    return [value for name, value in headers if name.lower() == wanted]
