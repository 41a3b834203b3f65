"""Tickets: reservations held by callers, valid at any entry without the platform's store.

A ticket contains the address of the agent that issued the reservation. It is signed with the
fleet's key, so that no caller can make an entry connect elsewhere or use another account's ticket.
"""

import base64
import binascii
import hashlib
import hmac
import json
from dataclasses import asdict, dataclass

from lacewinggw.errors import MalformedHttp

SEPARATOR = "."
KEY_LABEL = b"lacewinggw ticket\0"
TICKET_LIMIT_CHARS = 2048


@dataclass(frozen=True)
class Ticket:
    """The content of a ticket."""

    service: str
    account: str
    address: str
    incarnation: str
    nonce: str


class TicketSigner:
    """Signs tickets, and accepts only those signed by an entry of the same fleet."""

    def __init__(self, fleet_key: str) -> None:
        self._key = hashlib.sha256(KEY_LABEL + fleet_key.encode()).digest()

    def encode(self, ticket: Ticket) -> str:
        """Return a signed ticket as text for a header."""
        content = base64.urlsafe_b64encode(json.dumps(asdict(ticket)).encode()).decode()
        return f"{content}{SEPARATOR}{self._signature(content)}"

    def decode(self, text: str) -> Ticket:
        """Return the ticket in a text; raise `MalformedHttp` unless its signature is valid."""
        content, _, signature = text.rpartition(SEPARATOR)
        is_valid = hmac.compare_digest(signature.encode(), self._signature(content).encode())
        if len(text) > TICKET_LIMIT_CHARS or not is_valid:
            raise MalformedHttp("the ticket was not issued by this fleet", remedy="get a new one")
        try:
            return Ticket(**json.loads(base64.urlsafe_b64decode(content)))
        except (binascii.Error, ValueError, TypeError) as error:
            raise MalformedHttp(f"the ticket cannot be read: {error}") from error

    def _signature(self, content: str) -> str:
        return hmac.digest(self._key, content.encode(), hashlib.sha256).hex()
