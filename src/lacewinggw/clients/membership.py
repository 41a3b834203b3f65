"""Client of the platform's membership list, which lags behind the actual state of the hosts."""

from collections.abc import Mapping
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any

from lacewinggw.clients.calls import MS_PER_S, ServiceCalls, decode_json
from lacewinggw.generated.settings.ttypes import PlatformSettings
from lacewinggw.ids import Address, HostId, Place, ServiceName
from lacewinggw.log import get_logger
from lacewinggw.wire.http import HttpClient
from lacewinggw.wire.network import Network

SERVICE = "membership list"
MAX_LOGGED = 300  # characters of a member that cannot be decoded

log = get_logger(__name__)


class MemberRole(Enum):
    """The kind of process that runs on a host."""

    ENTRY = "entry"
    AGENT = "agent"


class MemberState(Enum):
    """Whether a host is in service or leaving the fleet."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Member:
    """One host of the list; `address` is its peer listener.

    Entries also have a `caller_address`, and both roles have an `operator_address`. `service` is
    the service of a plain target. It is empty for a host with an engine, which can serve any model.
    """

    host: HostId
    place: Place
    role: MemberRole
    address: Address
    operator_address: Address = Address("")
    caller_address: Address = Address("")
    state: MemberState = MemberState.LIVE
    service: ServiceName = ServiceName("")


@dataclass(frozen=True)
class Unchanged:
    """The list has not changed since the last poll."""


def member_to_json(member: Member) -> dict[str, str]:
    """Return a member as the JSON object sent over the network."""
    return {**asdict(member), "role": member.role.value, "state": member.state.value}


def member_from_json(value: Mapping[str, Any]) -> Member:
    """Parse a member from a JSON object; raise `KeyError` or `ValueError` if it is malformed."""
    return Member(
        host=HostId(_read_name(value["host"])),
        place=Place(_read_name(value["place"])),
        role=MemberRole(value["role"]),
        address=Address(str(value["address"])),
        operator_address=Address(str(value.get("operator_address", ""))),
        caller_address=Address(str(value.get("caller_address", ""))),
        state=MemberState(value.get("state", "live")),
        service=ServiceName(str(value.get("service", ""))),
    )


def _read_name(value: object) -> str:
    """Return a name that can be sent to other processes; raise `ValueError` for any other."""
    name = str(value)
    name.encode()  # JSON may contain halves of surrogate pairs
    return name


class MembershipClient:
    """Polls the membership list. A poll that finds it unchanged transfers only a few bytes.

    match await membership.poll():
        case Unchanged(): ...
        case members: ...
    """

    def __init__(self, network: Network, address: str, timeout_s: float) -> None:
        self._http = HttpClient(network)
        self._calls = ServiceCalls(self._http, address, SERVICE, timeout_s)
        self._tag = ""

    @classmethod
    def from_settings(cls, network: Network, settings: PlatformSettings) -> "MembershipClient":
        """Return a client for the membership address in the settings."""
        return cls(network, settings.membership, settings.timeout_ms / MS_PER_S)

    async def start(self) -> None:
        """Do nothing: connections are opened on demand."""

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def poll(self) -> list[Member] | Unchanged:
        """Return the list, or `Unchanged`; raise `PlatformUnavailable` if it can't be read."""
        headers = {"if-none-match": self._tag} if self._tag else None
        response = await self._calls.read("/hosts", headers=headers)
        match response.status:
            case 304:
                return Unchanged()
            case 200:
                members = decode_json(response, SERVICE, _decode_members)
                self._tag = response.headers.get("etag", "")
                return members
        raise self._calls.unexpected_status(response)


def _decode_members(value: dict[str, Any]) -> list[Member]:
    """Return the members of a list; one that cannot be decoded does not affect the others."""
    members = []
    for each in value["hosts"]:
        try:
            members.append(member_from_json(each))
        except (KeyError, ValueError, TypeError, AttributeError) as error:
            log.warning("member_unreadable", member=repr(each)[:MAX_LOGGED], reason=repr(error))
    return members
