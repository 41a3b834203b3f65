"""Hosts that spread a release among themselves, under any order of arrivals and failures."""

import random
from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from lacewinggw.decisions.chunkscheduler import (
    DECIDE_INTERVAL_S,
    CancelRequest,
    ChunkScheduler,
    RequestChunk,
)
from lacewinggw.decisions.chunksources import FetchFailure, Neighbour, SpreadRules
from lacewinggw.decisions.topology import ReleaseHost, TopologyRules
from lacewinggw.ids import Digest, HostId, Incarnation, Place

HOSTS = 5
PLACES = 2
CHUNKS = 8
CHUNK_BYTES = 1000
DIGEST = Digest("d" * 64)
LIMIT_TICKS = 1000

hosts = st.integers(0, HOSTS - 1)


@dataclass
class Host:
    """One host, its decisions and what it has asked for."""

    due: ReleaseHost
    spread: ChunkScheduler
    incarnation: Incarnation
    asked: list[RequestChunk] = field(default_factory=list)


def due_host(number: int) -> ReleaseHost:
    return ReleaseHost(HostId(f"host-{number}"), Place(f"place-{number % PLACES}"))


class SpreadMachine(RuleBasedStateMachine):
    """Carry out what hosts ask for, well or badly, in any order."""

    @initialize(per_place=st.booleans(), seed=st.integers(0, 1000))
    def begin(self, per_place: bool, seed: int) -> None:
        self.now = 0.0
        self.seed = seed
        self.rules = SpreadRules(link_bytes_per_s=100_000.0)
        self.plan = TopologyRules(local=3, remote=1, columns=2, ranks=2, per_place=per_place)
        self.hosts = [self.make_host(number) for number in range(HOSTS)]
        self.link_all()

    def make_host(self, number: int) -> Host:
        due = due_host(number)
        rng = random.Random(f"{self.seed}/{number}/{self.now}")
        sizes = [CHUNK_BYTES] * CHUNKS
        spread = ChunkScheduler(sizes, self.rules, due.place, rng, self.now)
        everyone = [due_host(each) for each in range(HOSTS)]
        spread.set_topology(self.plan.derive(due, everyone, DIGEST), self.now)
        return Host(due, spread, Incarnation(f"{number} from {self.now}"))

    def link_all(self) -> None:
        """Link every two hosts and let them tell what they hold."""
        for host in self.hosts:
            for other in self.hosts:
                if other is not host:
                    host.spread.add_neighbour(other.due.host, other.due.place, other.incarnation)
                    host.spread.record_held_chunks(other.due.host, other.spread.held, self.now)

    @rule(ticks=st.integers(1, 30))
    def advance(self, ticks: int) -> None:
        for _ in range(ticks):
            self.now += DECIDE_INTERVAL_S
            for host in self.hosts:
                self.decide(host)

    def decide(self, host: Host) -> None:
        for action in host.spread.decide(self.now):
            match action:
                case RequestChunk():
                    self.check_ask(host, action)
                    host.asked.append(action)
                case CancelRequest(source, index):
                    self.drop(host, source, index)

    def check_ask(self, host: Host, ask: RequestChunk) -> None:
        assert ask.index in host.spread.missing, "asked for what it holds"
        if isinstance(ask.source, Neighbour):
            holder = self.host_named(ask.source.host)
            assert holder is not host, "asked itself"
            state = host.spread.neighbours[ask.source.host]
            assert ask.index in state.chunks, "asked a neighbour that never showed the chunk"
            assert len(state.requested) <= self.rules.in_flight

    def host_named(self, name: str) -> Host:
        return next(host for host in self.hosts if host.due.host == name)

    def drop(self, host: Host, source: object, index: int) -> None:
        host.asked = [ask for ask in host.asked if (ask.source, ask.index) != (source, index)]

    @rule(which=hosts, pick=st.integers(0, 100))
    def deliver(self, which: int, pick: int) -> None:
        host = self.hosts[which]
        if host.asked:
            self.deliver_ask(host, host.asked.pop(pick % len(host.asked)))

    def deliver_ask(self, host: Host, ask: RequestChunk) -> None:
        holder = self.host_named(ask.source.host) if isinstance(ask.source, Neighbour) else None
        if holder is not None and ask.index not in holder.spread.held:
            host.spread.record_failure(ask.source, ask.index, FetchFailure.REFUSED, self.now)
            return
        for cancel in host.spread.record_arrival(ask.source, ask.index, self.now):
            self.drop(host, cancel.source, cancel.index)
        for other in self.hosts:
            if other is not host:
                other.spread.record_held_chunks(host.due.host, [ask.index], self.now)

    @rule(which=hosts, failure=st.sampled_from(list(FetchFailure)))
    def fail(self, which: int, failure: FetchFailure) -> None:
        host = self.hosts[which]
        if host.asked:
            ask = host.asked.pop(0)
            host.spread.record_failure(ask.source, ask.index, failure, self.now)

    @rule(which=hosts)
    def lose(self, which: int) -> None:
        """A source takes a request and is never heard of again."""
        if self.hosts[which].asked:
            self.hosts[which].asked.pop(0)

    @rule(which=hosts)
    def replace(self, which: int) -> None:
        """A host dies and another takes its place, empty."""
        lost = self.hosts[which].due.host
        for host in self.hosts:
            host.spread.remove_neighbour(lost)
            host.asked = [ask for ask in host.asked if ask.source != Neighbour(lost)]
        self.hosts[which] = self.make_host(which)
        self.link_all()

    @rule(which=hosts, other=hosts, indexes=st.lists(st.integers(-5, CHUNKS + 5), max_size=5))
    def claim_falsely(self, which: int, other: int, indexes: list[int]) -> None:
        """A neighbour announces chunks that it does not hold, or that do not exist."""
        if which != other:
            self.hosts[which].spread.record_held_chunks(
                self.hosts[other].due.host, indexes, self.now
            )

    @invariant()
    def holds_or_misses_each_chunk(self) -> None:
        for host in getattr(self, "hosts", ()):
            assert host.spread.held | host.spread.missing == set(range(CHUNKS))
            assert not host.spread.held & host.spread.missing

    def teardown(self) -> None:
        """Once nothing fails any more, every host comes to hold every chunk."""
        if not hasattr(self, "hosts"):
            return
        for _ in range(LIMIT_TICKS):
            self.advance(1)
            for host in self.hosts:
                while host.asked:
                    self.deliver_ask(host, host.asked.pop(0))
            if all(host.spread.is_complete for host in self.hosts):
                return
        missing = {host.due.host: host.spread.missing for host in self.hosts}
        raise AssertionError(f"after {LIMIT_TICKS * DECIDE_INTERVAL_S} s still missing: {missing}")


TestSpreadMachine = SpreadMachine.TestCase
TestSpreadMachine.settings = settings(max_examples=40, stateful_step_count=30, deadline=None)
