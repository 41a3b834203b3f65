"""Parse and validate a caller's headers, query and body before any work is done for it."""

import json
import random
from dataclasses import dataclass

from lacewinggw.decisions.affinity import BLOCK_CHARS, prefix_blocks
from lacewinggw.decisions.atmostonce import MAX_DEADLINE_S
from lacewinggw.entry.answers import EVENT_STREAM
from lacewinggw.errors import MalformedHttp
from lacewinggw.generated.messages.ttypes import (
    Priority,
    RequestHead,
    Service,
    ServiceKind,
)
from lacewinggw.ids import Account, new_request_id
from lacewinggw.wire.http import JSON_TYPE, Headers, Request

MS_PER_S = 1000.0
ENTRY_SEPARATOR = "."
PROMPT_BODY_LIMIT_BYTES = 256 << 10  # the prompt of a larger body is not extracted
KEY_LIMIT_CHARS = 200
TRUE_WORDS = frozenset({"true", "yes", "1"})
FALSE_WORDS = frozenset({"false", "no", "0"})
METHODS = frozenset({"GET", "POST", "PUT", "PATCH", "DELETE"})


@dataclass(frozen=True)
class RequestOptions:
    """Options from the caller's headers; None for an absent header without a default."""

    priority: Priority
    deadline_s: float
    idempotent: bool | None
    key: str
    ticket: str
    is_first_attempt: bool
    stream: bool


def parse_options(headers: Headers, default_deadline_s: float) -> RequestOptions:
    """Return the options in the headers; raise `MalformedHttp` for an invalid one."""
    return RequestOptions(
        priority=_read_priority(headers.get("priority", "normal")),
        deadline_s=_read_deadline(headers.get("deadline-ms"), default_deadline_s),
        idempotent=_read_flag(headers.get("idempotent")),
        key=_read_key(headers.get("idempotency-key", "")),
        ticket=headers.get("ticket", ""),
        is_first_attempt=headers.get("idempotency-attempt", "") == "1",
        stream=EVENT_STREAM in headers.get("accept", ""),
    )


def bearer_token(headers: Headers) -> str:
    """Return the token of an `Authorization: Bearer` header, or "" if there is none."""
    scheme, _, token = headers.get("authorization", "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def is_repeatable(service: Service, path: str, options: RequestOptions) -> bool:
    """Return whether a request may run twice, which has to be declared.

    A request to a path that the service declares as unrepeatable may not, nor one with a key or a
    ticket. Otherwise the caller's header decides, then the service's declaration; the default is
    no.
    """
    if path in (service.unrepeatable_paths or []) or options.key or options.ticket:
        return False
    if options.idempotent is not None:
        return options.idempotent
    return bool(service.repeatable)


def build_head(
    request: Request,
    service: Service,
    account: Account,
    options: RequestOptions,
    request_id: str,
) -> RequestHead:
    """Return the request head to send to agents; raise `MalformedHttp` for a bad path or method."""
    path = request.query.get("path", "/")
    method = request.query.get("method", "POST")
    if method not in METHODS or not path.startswith("/"):
        raise MalformedHttp(f"cannot call {method} {path}: use a known method and a /path")
    is_model = service.kind == ServiceKind.MODEL
    return RequestHead(
        request_id=request_id,
        service_name=service.name,
        account=account,
        priority=options.priority,
        deadline_ms=int(options.deadline_s * MS_PER_S),
        repeatable=is_repeatable(service, path, options),
        path=path,
        stream=is_model,
        idempotency_key=options.key,
        prefix_blocks=prefix_blocks(extract_prompt(request.body)) if is_model else [],
        method=method,
        content_type=request.headers.get("content-type", JSON_TYPE),
    )


def extract_prompt(body: bytes) -> str:
    """Return the prompt in a model request's body, or "" if none can be extracted."""
    if not BLOCK_CHARS <= len(body) <= PROMPT_BODY_LIMIT_BYTES:
        return ""
    try:
        content = json.loads(body)
    except (ValueError, RecursionError):
        return ""
    prompt = content.get("prompt") if isinstance(content, dict) else None
    return prompt if isinstance(prompt, str) else ""


def make_request_id(entry: str, rng: random.Random) -> str:
    """Return a new request id, which contains the host of the entry that accepted the request."""
    return f"{entry}{ENTRY_SEPARATOR}{new_request_id(rng)}"


def entry_of(request_id: str) -> str:
    """Return the entry host in a request id, or "" if it has none."""
    return request_id.rpartition(ENTRY_SEPARATOR)[0]


def _read_priority(word: str) -> Priority:
    try:
        return Priority[word.upper()]
    except KeyError:
        raise MalformedHttp(f"priority {word!r} is not one of urgent, normal, bulk") from None


def _read_deadline(text: str | None, default_s: float) -> float:
    if text is None:
        return default_s
    if not text.isascii() or not text.isdecimal() or int(text) == 0:
        raise MalformedHttp(f"deadline-ms {text!r} is not a number of milliseconds above 0")
    return min(int(text) / MS_PER_S, MAX_DEADLINE_S)


def _read_flag(word: str | None) -> bool | None:
    if word is None:
        return None
    if word.lower() in TRUE_WORDS | FALSE_WORDS:
        return word.lower() in TRUE_WORDS
    raise MalformedHttp(f"idempotent {word!r} is neither true nor false")


def _read_key(key: str) -> str:
    if len(key) > KEY_LIMIT_CHARS or not key.isprintable():
        raise MalformedHttp(
            f"an idempotency key has at most {KEY_LIMIT_CHARS} printable characters"
        )
    return key
