"""What the product itself keeps in the operators' store: its processes, requests that end targets.

Both stand in one list, told apart by their keys, so that who follows the one has the other with the
same call.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from lacewinggw.clients.membership import Member, member_from_json, member_to_json
from lacewinggw.fleet.feed import CrashingRequest, MemberEntry
from lacewinggw.ids import RequestDigest, ServiceName, TargetId

CRASHING_PREFIX = "crashing/"  # a host's name has no slash, so no process has such a key


@dataclass(frozen=True)
class OwnRow:
    """A row of the product's list: its key, and what it says."""

    key: str
    value: Mapping[str, object] = field(default_factory=dict)


class OwnRows(Protocol):
    """Where the product's own rows are kept. Calls raise the kinds of `PlatformError`."""

    async def put(self, row: OwnRow) -> None:
        """Write a row, whether it is there or not; may be done again."""

    async def remove(self, key: str) -> None:
        """Remove a row if it is there; may be done again."""


def member_row(member: Member) -> OwnRow:
    """Return the row of a process."""
    return OwnRow(member.host, member_to_json(member))


def crashing_row(entry: CrashingRequest) -> OwnRow:
    """Return the row of a request that ends targets, or is suspected of it."""
    value = {
        "service": entry.service,
        "targets": list(entry.targets),
        "quarantined": entry.is_quarantined,
    }
    return OwnRow(crashing_key(entry.request), value)


def crashing_key(request: RequestDigest) -> str:
    """Return the key under which a request that ends targets is listed."""
    return f"{CRASHING_PREFIX}{request}"


def parse_crashing_key(key: str) -> RequestDigest | None:
    """Return the request that a key stands for, None for another kind of key."""
    if not key.startswith(CRASHING_PREFIX):
        return None
    return RequestDigest(key.removeprefix(CRASHING_PREFIX))


def decode_own_row(key: str, value: Mapping[str, Any]) -> MemberEntry | CrashingRequest:
    """Return what a row says; raise `KeyError` or `ValueError` for one that says nothing."""
    request = parse_crashing_key(key)
    if request is None:
        return MemberEntry(member_from_json(value))
    targets = value["targets"]
    if not isinstance(targets, list):
        raise ValueError("the targets are no list")
    return CrashingRequest(
        request,
        ServiceName(str(value["service"])),
        tuple(TargetId(str(target)) for target in targets),
        bool(value["quarantined"]),
    )
