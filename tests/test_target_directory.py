"""An entry's directory of targets, with agents that only send heartbeats."""

import asyncio
import random
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from lacewinggw.clients.membership import Member, MemberRole, MemberState
from lacewinggw.entry.targets import (
    IDLE_HEARTBEATS_PER_S,
    CallOutcome,
    CallResult,
    TargetDirectory,
    idle_interval_ms,
)
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.generated.messages.ttypes import Role, TargetState
from lacewinggw.generated.settings.ttypes import ProcessSettings, RoutingSettings, Settings
from lacewinggw.ids import Address, HostId, Place
from lacewinggw.lab.memory import MemoryNetwork
from lacewinggw.metrics import Metrics
from lacewinggw.wire.peers import Exchange, Identity, PeerNode

pytestmark = pytest.mark.looptime(noop_cycles=2)

SERVICE = "citation-llm"
ENTRY_IP = "10.0.0.1"
HEAD = messages.RequestHead(request_id="r", service_name=SERVICE, digest="")


class View:
    """A configuration with one service."""

    def __init__(self, hosts: list[str]) -> None:
        self.placements = {SERVICE: dict.fromkeys(hosts, "citation-1")}
        self.draining: set[str] = set()
        self.upcoming: dict[str, dict[str, str]] = {}


class FakeAgent:
    """Sends heartbeats on each watching link, one a second or at the longer requested interval."""

    def __init__(self, network: MemoryNetwork, number: int) -> None:
        self.host = f"t{number}"
        self.ip = f"10.0.1.{number + 1}"
        self.heartbeat = messages.Heartbeat(
            host=self.host,
            place="p",
            incarnation="1",
            service_name=SERVICE,
            release="citation-1",
            digest="d1",
            state=TargetState.SERVING,
            load=messages.Load(0, 0, 8, 0),
            spreads=[],
            sequence=0,
        )
        self.silent = False
        self.sent = 0
        identity = Identity(self.host, Role.AGENT, "p", f"i{number}")
        self._node = PeerNode(network.view(self.ip), identity, "k", self._handle)

    async def start(self) -> Member:
        await self._node.start(f"{self.ip}:7000")
        address = Address(self._node.address)
        return Member(HostId(self.host), Place("p"), MemberRole.AGENT, address)

    async def close(self) -> None:
        await self._node.close()

    async def _handle(self, exchange: Exchange) -> None:
        interval_s = max(1.0, (exchange.message.interval_ms or 0) / 1000)
        while True:
            if not self.silent:
                self.sent += 1
                self.heartbeat.sequence += 1
                exchange.link.notify(self.heartbeat)
            await asyncio.sleep(interval_s)


class Bench:
    """An entry's target directory and the agents that it watches."""

    def __init__(self, count: int) -> None:
        self.network = MemoryNetwork()
        self.agents = [FakeAgent(self.network, n) for n in range(count)]
        self.view = View([agent.host for agent in self.agents])
        settings = Settings(
            process=ProcessSettings(host="e1", place="p", fleet_key="k"),
            routing=RoutingSettings(),
        )
        identity = Identity("e1", Role.ENTRY, "p", "e1")
        self.node = PeerNode(self.network.view(ENTRY_IP), identity, "k", self._handle)
        self.targets = TargetDirectory.from_config(
            settings, self.node, lambda: self.view, Metrics(), random.Random(1)
        )
        self.members: list[Member] = []

    async def _handle(self, exchange: Exchange) -> None:
        await self.targets.handle(exchange)

    def chosen(self, times: int = 200) -> Counter[str]:
        found = (self.targets.choose(SERVICE, HEAD) for _ in range(times))
        return Counter(choice.host if choice else "" for choice in found)


@asynccontextmanager
async def make_bench(count: int = 3) -> AsyncIterator[Bench]:
    bench = Bench(count)
    await bench.node.start(f"{ENTRY_IP}:7000")
    bench.members = [await agent.start() for agent in bench.agents]
    await bench.targets.start()
    bench.targets.set_members(bench.members)
    await asyncio.sleep(6.0)  # past the slow start
    yield bench
    await bench.targets.close()
    await bench.node.close()
    for agent in bench.agents:
        await agent.close()


async def test_all_serving_targets_are_used() -> None:
    async with make_bench() as bench:
        assert set(bench.chosen()) == {"t0", "t1", "t2"}
        choice = bench.targets.choose(SERVICE, HEAD, frozenset({"t0", "t1"}))
        assert choice is not None
        assert (choice.host, choice.digest, choice.incarnation) == ("t2", "d1", "1")
        assert choice.address == bench.members[2].address
        assert bench.targets.choose("no-such-service", HEAD) is None


async def test_leaving_and_draining_targets_are_skipped_at_once() -> None:
    async with make_bench() as bench:
        bench.members[0] = replace(bench.members[0], state=MemberState.LEAVING)
        bench.targets.set_members(bench.members)
        bench.view.draining.add("t1")
        bench.targets.refresh()
        assert set(bench.chosen()) == {"t2"}


async def test_a_target_that_reports_draining_or_other_weights_is_skipped() -> None:
    async with make_bench() as bench:
        bench.agents[0].heartbeat.state = TargetState.DRAINING
        bench.agents[1].heartbeat.digest = "d2"
        await asyncio.sleep(1.5)
        assert set(bench.chosen()) == {"t1", "t2"}
        head = messages.RequestHead(request_id="r", service_name=SERVICE, digest="d2")
        assert {bench.targets.choose(SERVICE, head).host for _ in range(20)} == {"t1"}


async def test_a_lost_host_is_skipped_at_once_and_used_again_when_it_returns() -> None:
    async with make_bench() as bench:
        bench.network.lose(bench.agents[0].ip)
        await asyncio.sleep(0.1)
        assert set(bench.chosen()) == {"t1", "t2"}
        assert bench.targets.unresponsive_hosts() == set()
        await asyncio.sleep(6.0)
        assert bench.targets.unresponsive_hosts() == {"t0"}
        await bench.agents[0].start()
        await asyncio.sleep(10.0)
        assert set(bench.chosen()) == {"t0", "t1", "t2"}


async def test_a_silent_target_is_skipped_after_the_timeout() -> None:
    async with make_bench() as bench:
        bench.agents[0].silent = True
        await asyncio.sleep(7.0)
        assert set(bench.chosen()) == {"t1", "t2"}


async def test_a_failing_target_is_ejected_and_a_busy_one_is_not() -> None:
    async with make_bench() as bench:
        for _ in range(5):
            bench.targets.begin("t0")
            bench.targets.end("t0", CallResult(CallOutcome.FAILED))
            bench.targets.begin("t1")
            bench.targets.end("t1", CallResult(CallOutcome.REFUSED))
        assert set(bench.chosen()) == {"t1", "t2"}


async def test_calls_in_flight_and_load_in_replies_affect_the_choice() -> None:
    async with make_bench() as bench:
        for _ in range(8):
            bench.targets.begin("t0")
        bench.targets.begin("t1")
        loaded = messages.Load(running=8, queued=30, capacity=8, age_ms=0, request_ms=100.0)
        bench.targets.end("t1", CallResult(CallOutcome.ANSWERED, load=loaded))
        counted = bench.chosen()
        assert counted["t2"] > 120
        assert counted["t0"] + counted["t1"] < 80


async def test_a_target_removed_from_the_placement_is_skipped() -> None:
    async with make_bench() as bench:
        del bench.view.placements[SERVICE]["t0"]
        bench.targets.refresh()
        assert set(bench.chosen()) == {"t1", "t2"}
        assert "t0" in bench.targets.heartbeats()  # a spare host is still watched
        bench.targets.set_members(bench.members[1:])
        assert "t0" not in bench.targets.heartbeats()


async def test_idle_heartbeats_of_many_targets_stay_within_their_budget() -> None:
    async with make_bench(130) as bench:
        before = sum(agent.sent for agent in bench.agents)
        await asyncio.sleep(20.0)
        sent_per_s = (sum(agent.sent for agent in bench.agents) - before) / 20
        watched = len(bench.targets.heartbeats())
        assert watched == 64
        assert sent_per_s <= 2 * IDLE_HEARTBEATS_PER_S
        assert len(bench.targets.candidates(SERVICE)) == watched


def test_the_heartbeat_interval_grows_with_the_number_of_targets() -> None:
    assert [idle_interval_ms(count) for count in (8, 49, 128, 704)] == [0, 0, 2000, 14000]
