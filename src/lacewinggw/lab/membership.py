"""Stand-in of the platform's list of hosts, which lags behind what is so."""

import json
from dataclasses import dataclass, replace
from typing import Any

from lacewinggw.clients.membership import Member, MemberState, member_from_json, member_to_json
from lacewinggw.lab.standin import LOOPBACK, Faults, Lagged, RateMeter, StandIn, refused
from lacewinggw.wire.http import Request, Response, json_response
from lacewinggw.wire.network import Network

HOSTS = "/hosts/"
LEAVING = "/leaving"


@dataclass
class MembershipFaults(Faults):
    """Faults of the list: how many seconds it lags."""

    lag_s: float = 0.0


@dataclass(frozen=True)
class _Listing:
    """The list at one revision."""

    revision: int
    members: dict[str, Member]


class MembershipStandIn(StandIn):
    """The list of hosts, as the platform's scheduler would keep it."""

    faults: MembershipFaults

    def __init__(self, network: Network, address: str = LOOPBACK, seed: int = 0) -> None:
        super().__init__(network, address, seed)
        self.faults = MembershipFaults()
        self.polls = RateMeter()
        self.unchanged = 0
        self._listing = Lagged(_Listing(0, {}))

    def stats(self) -> dict[str, Any]:
        """Return counts of polls, and the faults in force."""
        latest = self._listing.latest
        return {
            "polls": self.polls.stats(),
            "unchanged": self.unchanged,
            "revision": latest.revision,
            "hosts": len(latest.members),
            "lag_s": self.faults.lag_s,
        }

    def put(self, member: Member) -> None:
        """Add a host, or replace what the list says of it."""
        self._change({**self._listing.latest.members, member.host: member})

    def remove(self, host: str) -> None:
        """Take a host off the list."""
        members = self._listing.latest.members
        self._change({name: each for name, each in members.items() if name != host})

    def set_leaving(self, host: str) -> None:
        """Mark a host as leaving; raise `KeyError` when it is not listed."""
        member = self._listing.latest.members[host]
        self.put(replace(member, state=MemberState.LEAVING))

    async def answer(self, request: Request) -> Response:
        """Answer a poll, or a change by the lab."""
        host = request.path.removeprefix(HOSTS)
        match request.method, request.path:
            case "GET", "/hosts":
                return self._answer_poll(request.headers.get("if-none-match", ""))
            case "PUT", path if path.startswith(HOSTS):
                self.put(member_from_json({**json.loads(request.body), "host": host}))
            case "DELETE", path if path.startswith(HOSTS):
                self.remove(host)
            case "POST", path if path.startswith(HOSTS) and path.endswith(LEAVING):
                self.set_leaving(host.removesuffix(LEAVING))
            case _:
                return refused(404, f"no {request.method} {request.path}")
        return json_response(200, {})

    def _answer_poll(self, known: str) -> Response:
        self.polls.add()
        listing = self._listing.read(self.faults.lag_s)
        tag = f'"{listing.revision}"'
        if known == tag:
            self.unchanged += 1
            return Response(304, {"etag": tag})
        hosts = [member_to_json(member) for member in listing.members.values()]
        return json_response(200, {"hosts": hosts}, {"etag": tag})

    def _change(self, members: dict[str, Member]) -> None:
        self._listing.set(_Listing(self._listing.latest.revision + 1, members))
