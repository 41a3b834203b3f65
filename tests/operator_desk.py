"""An in-memory fleet with operators' listeners, and facts about its targets that a test sets."""

import asyncio
import random
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import replace

from config_fleet import Fleet, running

from lacewinggw.clients.membership import Member
from lacewinggw.clients.weights import WeightsClient
from lacewinggw.decisions.placement import Shortfall
from lacewinggw.decisions.revisions import FleetState
from lacewinggw.entry.operators import OperatorService
from lacewinggw.generated.messages.ttypes import Heartbeat, Load, TargetState
from lacewinggw.generated.settings.ttypes import EntrySettings
from lacewinggw.ids import Place, new_command_id
from lacewinggw.lab.releases import SyntheticRelease
from lacewinggw.operators.client import EntryClient
from lacewinggw.operators.view import HeardHeartbeat
from lacewinggw.wire.httpserver import HttpServer

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
        self.failing: set[str] = set()
        self._serving: asyncio.Task[None] | None = None

    async def start(self) -> None:
        for number, view in enumerate(self.views):
            node = self.fleet.entries[number]
            origin = WeightsClient.for_origin(node.network, self.fleet.platform.addresses)
            operators = OperatorService.from_config(
                EntrySettings(operator_tokens=TOKENS),
                node.ledger,
                view,
                origin,
                node.metrics,
                lambda: str(new_command_id(random.Random(7))),
                node.peer,
            )
            node.answer_others = operators.answer_peer
            server = HttpServer(node.network, f"{node.ip}:8000", operators.handle)
            await server.start()
            self.servers.append(server)
        addresses = [server.address for server in self.servers]
        for order in (addresses, addresses[::-1]):
            token = TOKENS[len(self.clients)].partition(":")[2]
            self.clients.append(EntryClient(self.fleet.network, order, token, 10.0))

    def stop_serving(self) -> None:
        """Have the targets fall silent."""
        if self._serving is not None:
            self._serving.cancel()

    async def close(self) -> None:
        self.stop_serving()
        for client in self.clients:
            await client.close()
        for server in self.servers:
            await server.close()

    def hears(
        self, host: str, service: str, release: str, state: TargetState, ready: str = ""
    ) -> None:
        """Have every entry hear of a target, `ready` to change over to another release."""
        fleet = self.fleet.entries[0].ledger.state
        digest, ready_digest = fleet.release_digest(release), fleet.release_digest(ready)
        load = Load(1, 2, 8, 0)
        beat = Heartbeat(host, "a", "i", service, release, digest, state, load, [], 1, ready_digest)
        for view in self.views:
            view.beats[host] = HeardHeartbeat(beat, 0.5)
        for node in self.fleet.entries:
            node.beats[host] = beat
            node.heard[host] = asyncio.get_running_loop().time()

    def name_places(self, names: Mapping[str, str]) -> None:
        """Give the places of the listed hosts other names."""
        members = self.fleet.members
        self.fleet.members = [replace(m, place=Place(names[m.place])) for m in members]

    def begin_serving(self) -> None:
        """Have all targets do what they are placed for from now on."""
        self._serving = asyncio.ensure_future(self.keep_serving())

    async def keep_serving(self) -> None:
        """Have every placed target heard of as doing what it is placed for, but the failing."""
        while True:
            state = self.fleet.entries[0].ledger.state
            for host in state.placed_hosts():
                target = TargetState.FAILED if host in self.failing else TargetState.SERVING
                for name, release in state.assignments_of(host):
                    ready = state.next_releases_of(name).get(host, "")
                    self.hears(host, name, release, target, ready)
            await asyncio.sleep(0.5)


@asynccontextmanager
async def open_desk(agents: int = 6, placing: bool = False) -> AsyncIterator[Desk]:
    async with running(entries=2, agents=agents) as fleet:
        if placing:
            for node in fleet.entries:
                assert node.placer is not None
                await node.placer.start()
        for name in ("market-6", "market-7"):
            fleet.platform.origin.add_release(SyntheticRelease(name, 4, 1000))
        desk = Desk(fleet)
        await desk.start()
        if placing:
            desk.begin_serving()
        try:
            yield desk
        finally:
            await desk.close()
