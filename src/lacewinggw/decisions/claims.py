"""Claims: rows, written by compare-and-set, that make an idempotency key run once.

A row names a reservation. Every request with the key goes to the agent that issued the reservation,
so all share one run. Another claim may replace the row only after that agent has proved that the
reservation will never start.
"""

import hashlib
import json
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any

from lacewinggw.errors import (
    KeyReused,
    LacewingError,
    Outcome,
    TicketExpired,
    Withdrawn,
)

CLAIM_PREFIX = "claim/"
ANSWER_PREFIX = "answer/"


class ClaimState(Enum):
    """The state of a claim."""

    HELD = "held"  # its reservation was or will be used, or has expired
    RELEASED = "released"  # proved that the request has not run and never will


@dataclass(frozen=True)
class Claim:
    """The value of a claim row; `request_digest` detects reuse of the key for other content."""

    request_digest: str
    address: str
    incarnation: str
    nonce: str
    state: ClaimState = ClaimState.HELD

    def to_text(self) -> str:
        """Return the claim as the text of a row."""
        return json.dumps({**asdict(self), "state": self.state.value}, separators=(",", ":"))

    @classmethod
    def from_text(cls, text: str) -> "Claim":
        """Parse the text of a row; raise `ValueError`, `KeyError` or `TypeError` if malformed."""
        fields: dict[str, Any] = json.loads(text)
        return cls(**{**fields, "state": ClaimState(fields["state"])})


@dataclass(frozen=True)
class Join:
    """Use the reservation that the claim names: start its run, or follow the one that started.

    The answer may already be recorded in the object store, under `answer_key`.
    """


@dataclass(frozen=True)
class Replace:
    """Replace the claim by another one with compare-and-set."""


@dataclass(frozen=True)
class Refuse:
    """Return the error to the caller."""

    error: LacewingError


def claim_key(account: str, service: str, key: str) -> str:
    """Return the key of a claim row; it differs between accounts and between services."""
    text_key = "\0".join((account, service, key))
    return CLAIM_PREFIX + hashlib.sha256(text_key.encode()).hexdigest()


def answer_key(row_key: str) -> str:
    """Return the key of the object that holds the answer to a claim."""
    return ANSWER_PREFIX + row_key.removeprefix(CLAIM_PREFIX)


def resolve(claim: Claim, request_digest: str) -> Join | Replace | Refuse:
    """Return what a request does about an existing claim for its key."""
    if claim.request_digest != request_digest:
        return Refuse(KeyReused("the key was used before for a request with another content"))
    match claim.state:
        case ClaimState.RELEASED:
            return Replace()
        case ClaimState.HELD:
            return Join()


def never_starts(error: LacewingError) -> bool:
    """Return whether a refusal proves by itself that the reservation can never start."""
    return isinstance(error, Withdrawn | TicketExpired)


def needs_withdrawal(error: LacewingError) -> bool:
    """Return whether the reservation has not started but still might."""
    return error.outcome is Outcome.NOT_RUN and not never_starts(error)
