"""Placement by any entry: dead hosts, lost racks and places, list lag, and paused entries."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest
from config_fleet import PLACES, Fleet, Gate, Node, release, running, service

from lacewinggw.clients.membership import MemberState
from lacewinggw.clients.table import TableClient
from lacewinggw.decisions.peerselection import rendezvous_order
from lacewinggw.decisions.revisions import is_placement_only
from lacewinggw.entry.placer import PLACER_PURPOSE
from lacewinggw.errors import UnsupportedMessage
from lacewinggw.generated.messages.ttypes import LogEntry
from lacewinggw.lab.standin import Outage
from lacewinggw.wire.peers import Exchange

pytestmark = pytest.mark.looptime

DEAD_S = 10.0
SERVICES = 2


class PlacerFleet:
    """A fleet with placers, a list of hosts that lags, and heartbeats from all live agents."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.lag_s = 0.0
        self.dead: set[str] = set()
        self.listed_dead: set[str] = set()
        self.placements: list[LogEntry] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        first = self.fleet.entries[0]
        first.config.on_change(lambda _, entries: self.placements.extend(entries))
        for node in self.fleet.entries:
            assert node.placer is not None
            await node.placer.start()
        self._tasks.append(asyncio.ensure_future(self._send_heartbeats()))

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()

    async def _send_heartbeats(self) -> None:
        while True:
            now = asyncio.get_running_loop().time()
            for entry in self.fleet.entries:
                entry.heard.update(
                    {a.name: now for a in self.fleet.agents if a.name not in self.dead}
                )
            await asyncio.sleep(1.0)

    async def lose(self, *agents: Node) -> None:
        """Lose hosts at once; they leave the list only after its lag."""
        names = {agent.name for agent in agents}
        self.dead |= names
        for agent in agents:
            self.fleet.network.lose(agent.ip)
            await agent.close()
        self._tasks.append(asyncio.ensure_future(self._unlist(names)))

    async def _unlist(self, names: set[str]) -> None:
        await asyncio.sleep(self.lag_s)
        self.fleet.members = [each for each in self.fleet.members if each.host not in names]

    def replicas(self, name: str, entry: int = 0) -> int:
        """Count the hosts of a service that are alive."""
        hosts = self.fleet.entries[entry].ledger.state.hosts_of(name)
        return sum(1 for host in hosts if host not in self.dead)

    async def until_placed(self, replicas: int, limit_s: float = 60.0) -> float:
        """Wait until all entries place enough live replicas; return the elapsed time in seconds."""
        began = asyncio.get_running_loop().time()
        names = [f"s{n}" for n in range(SERVICES)]
        entries = range(len(self.fleet.entries))
        while any(self.replicas(n, e) < replicas for n in names for e in entries):  # noqa: ASYNC110
            assert asyncio.get_running_loop().time() - began < limit_s
            await asyncio.sleep(0.05)
        return asyncio.get_running_loop().time() - began

    def moves_since(self, revision: int) -> int:
        return sum(
            len(change.place.assignments)
            for entry in self.placements
            if entry.revision > revision
            for change in entry.changes
            if change.place is not None
        )

    def revision(self) -> int:
        return max(entry.ledger.revision for entry in self.fleet.entries)


@asynccontextmanager
async def open_placer_fleet(
    entries: int = 3, agents: int = 12, replicas: int = 4
) -> AsyncIterator[PlacerFleet]:
    async with running(entries, agents, dead_host_ms=int(DEAD_S * 1000)) as fleet:
        placers = PlacerFleet(fleet)
        await placers.start()
        declared = [service(f"s{number}", ("m", replicas)) for number in range(SERVICES)]
        await fleet.entries[0].accept(release("m"), *declared, command="declare")
        await placers.until_placed(replicas)
        await asyncio.sleep(3)
        try:
            yield placers
        finally:
            await placers.close()


def placed_agents(placers: PlacerFleet) -> list[Node]:
    state = placers.fleet.entries[0].ledger.state
    return [agent for agent in placers.fleet.agents if state.assignments_of(agent.name)]


async def test_one_entry_places_all_declared_replicas() -> None:
    async with open_placer_fleet() as placers:
        placements = [entry for entry in placers.placements if is_placement_only(entry)]
        assert len(placements) == 1
        assert placers.moves_since(0) == 4 * SERVICES


async def test_a_dead_host_is_replaced_with_one_move() -> None:
    async with open_placer_fleet() as placers:
        before = placers.revision()
        await placers.lose(placed_agents(placers)[0])
        assert await placers.until_placed(4) < DEAD_S + 3
        await asyncio.sleep(20)
        assert placers.moves_since(before) == 1


async def test_a_lost_rack_is_replaced_by_one_log_entry() -> None:
    async with open_placer_fleet() as placers:
        before = placers.revision()
        rack = placed_agents(placers)[:3]
        await placers.lose(*rack)
        await placers.until_placed(4)
        await asyncio.sleep(20)
        assert placers.revision() == before + 1
        assert placers.moves_since(before) == 3


async def test_a_lost_place_moves_each_of_its_replicas_once() -> None:
    async with open_placer_fleet(agents=18) as placers:
        before = placers.revision()
        lost = [agent for agent in placers.fleet.agents if agent.place == PLACES[1]]
        gone = [agent for agent in placed_agents(placers) if agent.place == PLACES[1]]
        await placers.lose(*lost)
        await placers.until_placed(4)
        await asyncio.sleep(20)
        assert placers.moves_since(before) == len(gone)


async def test_a_lagging_list_alone_moves_nothing() -> None:
    async with open_placer_fleet() as placers:
        before = placers.revision()
        all_members = placers.fleet.members
        slow = {agent.name for agent in placed_agents(placers)[:3]}
        placers.fleet.members = [member for member in all_members if member.host not in slow]
        await asyncio.sleep(40)
        placers.fleet.members = all_members
        await asyncio.sleep(10)
        assert placers.revision() == before


async def test_with_twenty_seconds_of_lag_a_dead_host_is_replaced_once_unlisted() -> None:
    async with open_placer_fleet() as placers:
        before = placers.revision()
        placers.lag_s = 20.0
        await placers.lose(placed_agents(placers)[0])
        assert 20.0 < await placers.until_placed(4) < 25.0
        await asyncio.sleep(20)
        assert placers.moves_since(before) == 1


async def refuse(exchange: Exchange) -> None:
    raise UnsupportedMessage("not for this process")


@pytest.mark.parametrize("refuses", [False, True])
async def test_a_host_without_heartbeats_that_answers_a_probe_keeps_its_placement(
    refuses: bool,
) -> None:
    async with open_placer_fleet() as placers:
        before = placers.revision()
        silent = placed_agents(placers)[0]
        if refuses:
            silent.peer.handler = refuse
        placers.dead.add(silent.name)
        placers.fleet.members = [each for each in placers.fleet.members if each.host != silent.name]
        await asyncio.sleep(60)
        assert placers.revision() == before


async def test_a_host_that_dies_while_the_store_is_down_is_replaced_when_it_is_up() -> None:
    async with open_placer_fleet() as placers:
        before = placers.revision()
        placers.fleet.platform.table.faults.outage = Outage.REFUSE
        await placers.lose(placed_agents(placers)[0])
        await asyncio.sleep(40)
        assert placers.revision() == before
        placers.fleet.platform.table.faults.outage = Outage.NONE
        assert await placers.until_placed(4) < 6.0
        await asyncio.sleep(20)
        assert placers.moves_since(before) == 1


async def test_the_next_entry_places_when_the_first_is_gone() -> None:
    async with open_placer_fleet() as placers:
        names = [entry.name for entry in placers.fleet.entries]
        first = next(
            e for e in placers.fleet.entries if e.name == rendezvous_order(PLACER_PURPOSE, names)[0]
        )
        assert first.placer is not None
        await first.placer.close()
        before = placers.revision()
        await placers.lose(placed_agents(placers)[0])
        assert await placers.until_placed(4) < DEAD_S + 4
        assert placers.moves_since(before) == 1


async def test_a_leaving_host_is_replaced_at_once_and_not_placed_again() -> None:
    async with open_placer_fleet() as placers:
        leaver = placed_agents(placers)[0].name
        placers.fleet.members = [
            replace(each, state=MemberState.LEAVING) if each.host == leaver else each
            for each in placers.fleet.members
        ]
        await asyncio.sleep(3)
        state = placers.fleet.entries[1].ledger.state
        assert state.assignments_of(leaver) == []
        assert len(state.hosts_of("s0")) == len(state.hosts_of("s1")) == 4


async def test_a_paused_entry_that_resumes_does_not_restore_its_old_placement() -> None:
    async with open_placer_fleet() as placers:
        names = [entry.name for entry in placers.fleet.entries]
        paused = next(
            e for e in placers.fleet.entries if e.name == rendezvous_order(PLACER_PURPOSE, names)[0]
        )
        gate = Gate(paused.table)
        await placers.lose(placed_agents(placers)[0])
        await placers.until_placed(4)
        awake = next(entry for entry in placers.fleet.entries if entry is not paused)
        await awake.accept(service("s0", ("m", 2)), command="fewer")
        await asyncio.sleep(5)
        placed = dict(awake.ledger.state.placements)
        gate.open.set()
        await asyncio.sleep(20)
        assert awake.ledger.state.placements == placed
        assert paused.ledger.state.placements == placed
        assert len(placed["s0"]) == 2


LEASE_S = 5.0


class LeaseHolder:
    """The rejected alternative: the holder of a lease writes placements without comparison."""

    def __init__(self, name: str, table: TableClient) -> None:
        self._name = name
        self._table = table

    async def place(self, hosts: list[str]) -> bool:
        now = asyncio.get_running_loop().time()
        row = await self._table.get("lease")
        held = json.loads(row.value) if row is not None else {"holder": "", "until": 0.0}
        if held["holder"] != self._name and held["until"] > now:
            return False
        lease = json.dumps({"holder": self._name, "until": now + LEASE_S})
        await self._table.put("lease", lease, row.version if row is not None else 0)
        await self._write(hosts)
        return True

    async def _write(self, hosts: list[str]) -> None:
        await self._table.put("placement", json.dumps(hosts))


async def test_a_paused_lease_holder_restores_its_old_placement() -> None:
    async with running(entries=2) as fleet:
        one, two = (LeaseHolder(node.name, node.table) for node in fleet.entries)
        assert await one.place(["h1", "h2"])
        paused = asyncio.Event()
        write = one._write

        async def write_after_pause(hosts: list[str]) -> None:
            await paused.wait()
            await write(hosts)

        one._write = write_after_pause  # type: ignore[method-assign]
        old = asyncio.ensure_future(one.place(["h1", "h3"]))
        await asyncio.sleep(LEASE_S + 1)
        assert await two.place(["h4", "h5"])
        paused.set()
        await old
        assert json.loads(fleet.platform.table.rows["placement"].value) == ["h1", "h3"]
