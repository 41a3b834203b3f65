"""Client of the platform's list of hosts, which lags behind what is so."""

from collections.abc import Mapping
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any

from lacewinggw.clients.calls import MS_PER_S, ServiceCalls, decode_json
from lacewinggw.generated.settings.ttypes import PlatformSettings
from lacewinggw.ids import Address, HostId, Place, ServiceName
from lacewinggw.wire.http import HttpClient
from lacewinggw.wire.network import Network

SERVICE = "membership list"


class MemberRole(Enum):
    """What runs on a host."""

    ENTRY = "entry"
    AGENT = "agent"


class MemberState(Enum):
    """Whether a host stays or is on its way out."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Member:
    """One host of the list; `address` is that of its peer listener.

    Entries have a `caller_address` too, and both roles an `operator_address`. `service` names what
    a plain target serves; it is empty where an engine stands, which can serve any model.
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
    """The list is the one of the poll before."""


def member_to_json(member: Member) -> dict[str, str]:
    """Return a member as it travels."""
    return {**asdict(member), "role": member.role.value, "state": member.state.value}


def member_from_json(value: Mapping[str, Any]) -> Member:
    """Return the member that a JSON object stands for; raise `KeyError` or `ValueError`."""
    return Member(
        host=HostId(str(value["host"])),
        place=Place(str(value["place"])),
        role=MemberRole(value["role"]),
        address=Address(str(value["address"])),
        operator_address=Address(str(value.get("operator_address", ""))),
        caller_address=Address(str(value.get("caller_address", ""))),
        state=MemberState(value.get("state", "live")),
        service=ServiceName(str(value.get("service", ""))),
    )


class MembershipClient:
    """Polls of the list; one that did not change costs a few bytes.

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
        """Return the client of the list that the settings name."""
        return cls(network, settings.membership, settings.timeout_ms / MS_PER_S)

    async def start(self) -> None:
        """Do nothing: connections are made as they are needed."""

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()

    async def poll(self) -> list[Member] | Unchanged:
        """Return the list; raise `PlatformUnavailable` when it cannot be had."""
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
    return [member_from_json(each) for each in value["hosts"]]
