"""The operators' listener of an entry: commands, queries and refusals over HTTP."""

import random
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager

import pytest
from config_fleet import Fleet, running

from lacewinggw.decisions.placement import Shortfall
from lacewinggw.decisions.revisions import FleetState
from lacewinggw.entry.operators import Operators
from lacewinggw.generated.messages.ttypes import Heartbeat, Load, TargetState
from lacewinggw.generated.settings.ttypes import EntrySettings
from lacewinggw.ids import new_command_id
from lacewinggw.lab.weights import SyntheticRelease
from lacewinggw.operators.client import EntryClient
from lacewinggw.operators.view import HeardHeartbeat
from lacewinggw.platform.membership import Member
from lacewinggw.platform.weights import WeightsClient
from lacewinggw.wire.http import HttpServer

pytestmark = pytest.mark.looptime

TOKENS = ["alice:secret-a", "bob:secret-b"]


class View:
    """Facts that a test sets."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self._fleet = fleet
        self._node = fleet.entries[number]
        self.beats: dict[str, HeardHeartbeat] = {}

    def state(self) -> FleetState:
        return self._node.ledger.state

    def members(self) -> Sequence[Member]:
        return self._fleet.members

    def heartbeats(self) -> Mapping[str, HeardHeartbeat]:
        return self.beats

    def counters(self) -> Mapping[str, int]:
        return self._node.metrics.snapshot().counters

    def shortfalls(self) -> Sequence[Shortfall]:
        assert self._node.placer is not None
        return self._node.placer.shortfalls

    def missing(self) -> frozenset[str]:
        assert self._node.placer is not None
        return self._node.placer.missing_hosts


class Desk:
    """Operators' listeners on the first two entries, and a shell for each operator."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.views = [View(fleet, number) for number in range(2)]
        self.servers: list[HttpServer] = []
        self.clients: list[EntryClient] = []

    async def start(self) -> None:
        for number, view in enumerate(self.views):
            node = self.fleet.entries[number]
            origin = WeightsClient.for_origin(node.network, self.fleet.platform.addresses)
            operators = Operators.from_config(
                EntrySettings(operator_tokens=TOKENS),
                node.ledger,
                view,
                origin,
                node.metrics,
                lambda: str(new_command_id(random.Random(7))),
            )
            server = HttpServer(node.network, f"{node.ip}:8000", operators.handle)
            await server.start()
            self.servers.append(server)
        addresses = [server.address for server in self.servers]
        for order in (addresses, addresses[::-1]):
            token = TOKENS[len(self.clients)].partition(":")[2]
            self.clients.append(EntryClient(self.fleet.network, order, token, 10.0))

    async def close(self) -> None:
        for client in self.clients:
            await client.close()
        for server in self.servers:
            await server.close()

    def hears(self, host: str, service: str, release: str, state: TargetState) -> None:
        digest = self.fleet.entries[0].ledger.state.release_digest(release)
        beat = Heartbeat(host, "a", "i", service, release, digest, state, Load(1, 2, 8), [], 1)
        for view in self.views:
            view.beats[host] = HeardHeartbeat(beat, 0.5)


@asynccontextmanager
async def open_desk(agents: int = 6) -> AsyncIterator[Desk]:
    async with running(entries=2, agents=agents) as fleet:
        for name in ("market-6", "market-7"):
            fleet.platform.origin.add_release(SyntheticRelease(name, 4, 1000))
        desk = Desk(fleet)
        await desk.start()
        try:
            yield desk
        finally:
            await desk.close()


async def test_a_release_and_a_service_are_declared_and_shown() -> None:
    async with open_desk() as desk:
        alice = desk.clients[0]
        words = "create release market-7; create service desk release market-7 replicas 3"
        accepted = await alice.command(words, "c1", 0)
        assert accepted["revision"] == 1
        assert accepted["author"] == "alice"
        answer = await alice.query("show services name, goals, declared, placed")
        assert answer["rows"] == [["desk", "3 on market-7", 3, 0]]
