"""A crowd of agents that only send heartbeats, all in one process, to fill the list of hosts.

They speak the product's protocol with the product's own sender; what an entry pays for each of them
is what it pays for an idle agent.
"""

import asyncio
from collections.abc import Sequence

from lacewinggw.agent.heartbeats import HeartbeatSender
from lacewinggw.clients.membership import Member, MemberRole, member_to_json
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.ids import Address, HostId, Place
from lacewinggw.lab.fleet import FLEET_KEY, Fleet
from lacewinggw.lab.slopemessages import heartbeat
from lacewinggw.wire.network import TcpNetwork
from lacewinggw.wire.peers import Exchange, Identity, PeerNode

HEARTBEAT_S = 1.0
AT_ONCE = 50
LISTEN_AT = "127.0.0.1:0"


class CrowdAgent:
    """One such agent; it begins to send when an entry first asks to watch it."""

    def __init__(self, number: int, places: Sequence[str]) -> None:
        self.host = HostId(f"crowd-{number:05}")
        self.place = Place(places[number % len(places)])
        identity = Identity(self.host, messages.Role.AGENT, self.place, f"{number:016x}")
        self._node = PeerNode(TcpNetwork(), identity, FLEET_KEY, self._handle)
        self._sender = HeartbeatSender(self._compose, HEARTBEAT_S)
        self.watched = False

    @property
    def member(self) -> Member:
        """Return this agent as the list of hosts has it."""
        address = Address(self._node.address)
        return Member(self.host, self.place, MemberRole.AGENT, address)

    @property
    def sent_bytes(self) -> int:
        """Bytes that it has sent to entries."""
        return self._node.sent_bytes

    async def start(self) -> None:
        """Listen at a port that the system chooses."""
        await self._node.start(LISTEN_AT)

    async def close(self) -> None:
        """End every link."""
        await self._sender.close()
        await self._node.close()

    def _compose(self, sequence: int) -> messages.Heartbeat:
        told = heartbeat()
        told.host, told.place, told.sequence = self.host, self.place, sequence
        return told

    async def _handle(self, exchange: Exchange) -> None:
        if not isinstance(exchange.message, messages.Watch):
            return
        if not self.watched:
            self.watched = True
            await self._sender.start()
        self._sender.handle_watch(exchange.link, exchange.message)


class Crowd:
    """Agents of a fleet that stand for many hosts.

    crowd = Crowd(fleet)
    await crowd.grow(6200)
    ...
    await crowd.close()
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._agents: list[CrowdAgent] = []

    @property
    def watched(self) -> int:
        """How many an entry has asked to watch."""
        return sum(agent.watched for agent in self._agents)

    @property
    def sent_bytes(self) -> int:
        """Bytes that all of them have sent to entries."""
        return sum(agent.sent_bytes for agent in self._agents)

    async def grow(self, count: int) -> None:
        """Start and list more of them, until there are `count`."""
        places = self._fleet.plan.places
        fresh = [CrowdAgent(number, places) for number in range(len(self._agents), count)]
        for start in range(0, len(fresh), AT_ONCE):
            await asyncio.gather(*(self._add(agent) for agent in fresh[start : start + AT_ONCE]))

    async def close(self) -> None:
        """End them all."""
        await asyncio.gather(*(agent.close() for agent in self._agents))

    async def _add(self, agent: CrowdAgent) -> None:
        await agent.start()
        self._agents.append(agent)
        path, told = f"/hosts/{agent.host}", member_to_json(agent.member)
        await self._fleet.put(self._fleet.platform["membership"], path, told)
