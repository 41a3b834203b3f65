"""A caller's request and a target's answer, independent of the operators' header format.

A `CallCodec` that the operators provide reads the head of a request, writes the head that is sent
to a target, and reads the head of an answer.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from lacewinggw.ids import Account, ModelName, PromptPartId, TargetName
from lacewinggw.wire.clients import ClientConnection
from lacewinggw.wire.http import HeaderList, Headers

DEFAULT_URGENCY = 5  # of requests without one; 0 is the most urgent, 9 the least

# Headers that concern one connection and are never forwarded (RFC 9110, section 7.6.1).
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
    """A request as received: `target` is the path with its query, unmodified.

    Its head arrived at `arrived_at` and its last byte at `received_at`. It may only be sent to a
    target if its deadline is not after `must_end_by`. All times are by the loop's clock. `client`
    accounts for the memory that the request and its answer take.
    """

    method: str
    target: str
    domain: str
    headers: HeaderList
    body: bytes
    arrived_at: float
    received_at: float = -math.inf
    must_end_by: float = math.inf
    client: ClientConnection | None = field(default=None, compare=False)

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True)
class CallFacts:
    """Data from the head of a request, in seconds and tokens; None where it is absent.

    `shared_parts` are the parts of its prompt, in order, that other requests may have as well.
    """

    call_id: str
    time_left_s: float | None = None
    key: str = ""
    last_event: int | None = None
    model: ModelName | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    expected_tokens: int | None = None
    shared_parts: tuple[PromptPartId, ...] = ()


@dataclass(frozen=True)
class DispatchFacts:
    """Data that is sent to a target in addition to the caller's own head.

    The target refuses the request if its name is not `target`, or if `version` is given and it does
    not have that version. `resume_after` is the last event that the caller has received.
    """

    target: TargetName
    account: Account | None
    time_left_ms: int
    urgency: int = DEFAULT_URGENCY
    version: int | None = None
    resume_after: int | None = None


@dataclass(frozen=True)
class AnswerFacts:
    """Data from the head of an answer.

    `not_run`: the target states that it did not run the request.
    `call_id`: the request that the answer belongs to.
    `sealed`: whether the answer has the target's response seal.
    `version`: the version of the weights that produced the answer.
    `answered_by`: the target at the address, if the answer names it.
    `limit_per_s`: the requests per second that the target accepts from all entries together.
    `leaving`: whether the target states that it is leaving.
    `retry_after_s`: for how many seconds this entry should send the target nothing.
    `cold_s`: for how many more seconds the target stays cold.

    docs/design/targets.md lists which component acts on each field, and until when.
    """

    call_id: str | None
    not_run: bool
    sealed: bool
    version: int | None = None
    answered_by: TargetName | None = None
    limit_per_s: float | None = None
    leaving: bool = False
    retry_after_s: float | None = None
    cold_s: float | None = None


class CallCodec(Protocol):
    """Encodes and decodes the heads of requests and answers."""

    def read_call(self, headers: HeaderList) -> CallFacts:
        """Return the data of the head of a request; raise `MalformedHttp` if it is invalid."""

    def write_call(self, headers: HeaderList, dispatch: DispatchFacts) -> HeaderList:
        """Return the head to send to a target."""

    def read_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Return the data of the head of an answer."""


def end_to_end_headers(headers: HeaderList) -> list[tuple[str, str]]:
    """Return the headers that are not specific to one connection."""
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
    """Return all values of a header; its name is matched regardless of case."""
    return [value for name, value in headers if name.lower() == wanted]
