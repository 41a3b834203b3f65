"""Rows that this product keeps in the operators' store: processes, and what crashes targets.

Both kinds are in one list and distinguished by their keys, so that one call returns both.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from lacewinggw.clients.membership import Member, member_from_json, member_to_json
from lacewinggw.fleet.feed import CrashingContent, MemberEntry
from lacewinggw.fleet.fields import check_text, read_address, read_text
from lacewinggw.ids import ContentId, ServiceName, TargetId

CRASHING_PREFIX = "crashing/"  # names of hosts have no slash, so keys of processes differ


@dataclass(frozen=True)
class OwnRow:
    """A row of this product's list: its key and its JSON value."""

    key: str
    value: Mapping[str, object] = field(default_factory=dict)


class OwnRows(Protocol):
    """Writes this product's rows. Both calls raise subclasses of `PlatformError`."""

    async def put(self, row: OwnRow) -> None:
        """Create or replace a row; idempotent."""

    async def remove(self, key: str) -> None:
        """Remove a row if it exists; idempotent."""


def member_row(member: Member) -> OwnRow:
    """Return the row of a process."""
    return OwnRow(member.host, member_to_json(member))


def crashing_row(entry: CrashingContent) -> OwnRow:
    """Return the row of a content that crashes targets or is suspected of it."""
    value = {
        "service": entry.service,
        "targets": list(entry.targets),
        "quarantined": entry.is_quarantined,
    }
    return OwnRow(crashing_key(entry.content), value)


def crashing_key(content: ContentId) -> str:
    """Return the key under which a content that crashes targets is listed."""
    return f"{CRASHING_PREFIX}{content}"


def parse_crashing_key(key: str) -> ContentId | None:
    """Return the content of a key; None for another kind of key."""
    if not key.startswith(CRASHING_PREFIX):
        return None
    return ContentId(key.removeprefix(CRASHING_PREFIX))


def decode_own_row(key: str, value: Mapping[str, Any]) -> MemberEntry | CrashingContent:
    """Return the item of a row; raise an error if it is invalid."""
    content = parse_crashing_key(check_text(key, "the key"))
    if content is None:
        return MemberEntry(_decode_member(value))
    targets = value["targets"]
    if not isinstance(targets, list):
        raise ValueError("`targets` is not a list")
    return CrashingContent(
        content,
        ServiceName(read_text(value, "service")),
        tuple(TargetId(check_text(target, "a target")) for target in targets),
        bool(value["quarantined"]),
    )


def _decode_member(value: Mapping[str, Any]) -> Member:
    """Return a process, which others connect to and, if it is an entry, send callers to."""
    for name in ("host", "place"):
        read_text(value, name)
    read_address(value, "address")
    for name in ("operator_address", "caller_address"):
        if value.get(name):
            read_address(value, name)
    return member_from_json(value)
