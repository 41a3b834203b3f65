"""Claims: who may run a request with an idempotency key, as a row under compare-and-set.

The row names a reservation. Whoever has the key goes to the agent that gave it: the same run for
all. Only when that agent has proved that the reservation will never start may another claim take
the row's place.
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
    """What a claim says of its request."""

    HELD = "held"  # its reservation was or will be used, or has lapsed
    RELEASED = "released"  # proved not to have run, and never to


@dataclass(frozen=True)
class Claim:
    """The value of one claim row; `request_digest` tells a key used for another content."""

    request_digest: str
    address: str
    incarnation: str
    nonce: str
    state: ClaimState = ClaimState.HELD

    def to_text(self) -> str:
        """Return the claim as the value of a row."""
        return json.dumps({**asdict(self), "state": self.state.value}, separators=(",", ":"))

    @classmethod
    def from_text(cls, text: str) -> "Claim":
        """Return the claim in a row; raise `ValueError`, `KeyError` or `TypeError`."""
        fields: dict[str, Any] = json.loads(text)
        return cls(**{**fields, "state": ClaimState(fields["state"])})


@dataclass(frozen=True)
class Join:
    """Use the reservation that the claim names: start it, or listen to what it started.

    Its answer may also be recorded already, under `answer_key` in the object store.
    """


@dataclass(frozen=True)
class Replace:
    """Put another claim in its place by compare-and-set."""


@dataclass(frozen=True)
class Refuse:
    """Tell the caller."""

    error: LacewingError


def claim_key(account: str, service: str, key: str) -> str:
    """Return the row's key; keys of different accounts and services never meet."""
    named = "\0".join((account, service, key))
    return CLAIM_PREFIX + hashlib.sha256(named.encode()).hexdigest()


def answer_key(row_key: str) -> str:
    """Return the key of the object that holds the answer to a claim."""
    return ANSWER_PREFIX + row_key.removeprefix(CLAIM_PREFIX)


def resolve(claim: Claim, request_digest: str) -> Join | Replace | Refuse:
    """Return what a request with the key does about the claim that it met."""
    if claim.request_digest != request_digest:
        return Refuse(KeyReused("the key was used before for a request with another content"))
    match claim.state:
        case ClaimState.RELEASED:
            return Replace()
        case ClaimState.HELD:
            return Join()


def never_starts(error: LacewingError) -> bool:
    """Return whether this refusal proves by itself that the reservation can never start."""
    return isinstance(error, Withdrawn | TicketExpired)


def needs_withdrawal(error: LacewingError) -> bool:
    """Return whether the reservation did not start, but still might."""
    return error.outcome is Outcome.NOT_RUN and not never_starts(error)
