"""An in-memory fleet of ledgers, placers and followers, for tests under virtual time."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager

from lacewinggw.agent.follower import ConfigurationFollower
from lacewinggw.clients.membership import Member, MemberRole
from lacewinggw.clients.objects import ObjectClient
from lacewinggw.clients.table import TableClient
from lacewinggw.decisions.hostfailures import HeartbeatTimes
from lacewinggw.decisions.peerselection import Candidate
from lacewinggw.decisions.revisions import change_of
from lacewinggw.entry.ledger import Ledger
from lacewinggw.entry.placer import Placer
from lacewinggw.generated.messages.ttypes import (
    Change,
    CreateRelease,
    Heartbeat,
    LogEntry,
    PutService,
    Release,
    ReplicaGoal,
    Role,
    Service,
    ServiceKind,
)
from lacewinggw.generated.settings.ttypes import ConfigurationSettings
from lacewinggw.ids import Address, HostId, Place, ServiceName
from lacewinggw.lab.memory import MemoryNetwork
from lacewinggw.lab.standins import PlatformStandIns
from lacewinggw.metrics import Metrics
from lacewinggw.wire.peers import Exchange, Identity, PeerNode

FLEET_KEY = "key"
PLACES = ("a", "b", "c")


def release(name: str) -> Change:
    return change_of(CreateRelease(Release(name, name.rjust(64, "0"), 1000, 2)))


def service(name: str, *goals: tuple[str, int], floor: int = 50) -> Change:
    wanted = [ReplicaGoal(release, replicas) for release, replicas in goals]
    return change_of(PutService(Service(name, ServiceKind.MODEL, wanted, floor_percent=floor)))


class Node:
    """One process of the fleet, entry or agent, with the revisions that it applied."""

    def __init__(self, fleet: "Fleet", number: int, role: Role, incarnation: int = 0) -> None:
        kind = "entry" if role is Role.ENTRY else "host"
        self.fleet = fleet
        self.name = f"{kind}-{number}"
        self.place = PLACES[number % len(PLACES)]
        self.ip = f"10.{role.value}.0.{number + 1}"
        self.address = f"{self.ip}:7000"
        self.role = role
        self.rng = random.Random(f"{fleet.seed}/{self.name}/{incarnation}")
        self.network = fleet.network.view(self.ip)
        self.metrics = Metrics()
        self.revisions: list[int] = []
        identity = Identity(self.name, role, self.place, f"{self.name}.{incarnation}")
        self.peer = PeerNode(
            self.network,
            identity,
            FLEET_KEY,
            self._handle,
            lambda: self.config.revision,
            lambda link, revision: self.config.catch_up_if_behind(link, revision),
        )
        self.table = TableClient.from_settings(self.network, fleet.platform.addresses)
        self.objects = ObjectClient.from_settings(self.network, fleet.platform.addresses)
        self.config = self._make_config()
        self.config.on_change(lambda state, _: self.revisions.append(state.revision))
        self.heard: dict[str, float] = {}
        self.beats: dict[str, Heartbeat] = {}
        self.answer_others: Callable[[Exchange], None] | None = None
        self.placer: Placer | None = None
        if isinstance(self.config, Ledger):
            self.placer = Placer.from_config(
                fleet.settings,
                self.config,
                self.peer,
                lambda: fleet.members,
                lambda: HeartbeatTimes(self.heard),
                lambda: self.beats,
                self.metrics,
                self.rng,
            )

    @property
    def ledger(self) -> Ledger:
        assert isinstance(self.config, Ledger)
        return self.config

    def _make_config(self) -> Ledger | ConfigurationFollower:
        fleet = self.fleet
        if self.role is not Role.ENTRY:
            return ConfigurationFollower.from_config(
                fleet.settings, self.peer, fleet.entry_candidates, self.metrics, self.rng
            )
        return Ledger.from_config(
            fleet.settings,
            self.table,
            self.objects,
            self.metrics,
            self.peer,
            fleet.entry_candidates,
            self.rng,
        )

    async def _handle(self, exchange: Exchange) -> None:
        if not await self.config.handle(exchange) and self.answer_others is not None:
            self.answer_others(exchange)

    async def start(self) -> None:
        await self.peer.start(self.address)
        await self.config.start()

    async def close(self) -> None:
        if self.placer is not None:
            await self.placer.close()
        await self.config.close()
        await self.peer.close()
        await self.table.close()
        await self.objects.close()

    async def accept(
        self, *changes: Change, command: str, read: int | None = None, repeated: bool = False
    ) -> LogEntry:
        return await self.ledger.accept(
            changes,
            words=f"command {command}",
            author="test",
            read_revision=self.ledger.revision if read is None else read,
            command_id=command,
            repeated=repeated,
        )


class Gate:
    """Delays one process's writes until opened, as if it were paused just before each."""

    def __init__(self, table: TableClient) -> None:
        self.open = asyncio.Event()
        self._put = table.put
        table.put = self._wait_and_put  # type: ignore[method-assign]

    async def _wait_and_put(self, *args, **kwargs):  # type: ignore[no-untyped-def]
        await self.open.wait()
        return await self._put(*args, **kwargs)


class Fleet:
    """Stand-ins for the platform, and processes that share a list of hosts."""

    def __init__(self, seed: int = 1, **settings: int) -> None:
        self.seed = seed
        self.network = MemoryNetwork()
        self.platform = PlatformStandIns(self.network)
        self.settings = ConfigurationSettings(**settings)
        self.entries: list[Node] = []
        self.agents: list[Node] = []
        self.members: Sequence[Member] = ()
        self.plain: dict[str, str] = {}

    def entry_candidates(self) -> list[Candidate]:
        return [
            Candidate(member.host, member.place, member.address)
            for member in self.members
            if member.role is MemberRole.ENTRY
        ]

    def list_all(self) -> None:
        """List every process as a member."""
        self.members = [
            Member(
                HostId(node.name),
                Place(node.place),
                MemberRole.ENTRY if node.role is Role.ENTRY else MemberRole.AGENT,
                Address(node.address),
                service=ServiceName(self.plain.get(node.name, "")),
            )
            for node in (*self.entries, *self.agents)
        ]

    async def start(self, entries: int, agents: int = 0) -> None:
        await self.platform.start()
        self.entries = [Node(self, number, Role.ENTRY) for number in range(entries)]
        self.agents = [Node(self, number, Role.AGENT) for number in range(agents)]
        self.list_all()
        for node in self.entries:
            await node.start()
        await asyncio.gather(*(node.start() for node in self.agents))

    async def close(self) -> None:
        for node in (*self.agents, *self.entries):
            await node.close()
        await self.platform.close()

    def nodes(self) -> list[Node]:
        return [*self.entries, *self.agents]

    async def settle(self, revision: int, limit_s: float = 30.0) -> float:
        """Wait until every process has a revision; return the elapsed time in seconds."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while any(node.config.revision < revision for node in self.nodes()):  # noqa: ASYNC110
            assert loop.time() - started_at < limit_s, [
                node.config.revision for node in self.nodes()
            ]
            await asyncio.sleep(0.01)
        return loop.time() - started_at


@asynccontextmanager
async def running(
    entries: int, agents: int = 0, seed: int = 1, **settings: int
) -> AsyncIterator[Fleet]:
    fleet = Fleet(seed, **settings)
    await fleet.start(entries, agents)
    try:
        yield fleet
    finally:
        await fleet.close()
