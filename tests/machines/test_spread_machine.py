"""Hosts that distribute a release among themselves, in any order of arrivals and failures."""

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
    """One host, its scheduler and its pending requests."""

    due: ReleaseHost
    scheduler: ChunkScheduler
    incarnation: Incarnation
    requests: list[RequestChunk] = field(default_factory=list)


def due_host(number: int) -> ReleaseHost:
    return ReleaseHost(HostId(f"host-{number}"), Place(f"place-{number % PLACES}"))


class SpreadMachine(RuleBasedStateMachine):
    """Answer the requests of hosts, correctly or not, in any order."""

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
        scheduler = ChunkScheduler(sizes, self.rules, due.place, rng, self.now)
        everyone = [due_host(each) for each in range(HOSTS)]
        scheduler.set_topology(self.plan.derive(due, everyone, DIGEST), self.now)
        return Host(due, scheduler, Incarnation(f"{number} from {self.now}"))

    def link_all(self) -> None:
        """Connect all pairs of hosts and exchange what they hold."""
        for host in self.hosts:
            for other in self.hosts:
                if other is not host:
                    host.scheduler.add_neighbour(other.due.host, other.due.place, other.incarnation)
                    host.scheduler.record_held_chunks(
                        other.due.host, other.scheduler.held, self.now
                    )

    @rule(ticks=st.integers(1, 30))
    def advance(self, ticks: int) -> None:
        for _ in range(ticks):
            self.now += DECIDE_INTERVAL_S
            for host in self.hosts:
                self.decide(host)

    def decide(self, host: Host) -> None:
        for action in host.scheduler.decide(self.now):
            match action:
                case RequestChunk():
                    self.check_request(host, action)
                    host.requests.append(action)
                case CancelRequest(source, index):
                    self.drop(host, source, index)

    def check_request(self, host: Host, request: RequestChunk) -> None:
        assert request.index in host.scheduler.missing, "requested a chunk that it holds"
        if isinstance(request.source, Neighbour):
            holder = self.host_named(request.source.host)
            assert holder is not host, "requested a chunk from itself"
            state = host.scheduler.neighbours[request.source.host]
            assert (
                request.index in state.chunks
            ), "requested a chunk that the neighbour never announced"
            assert len(state.requested) <= self.rules.in_flight

    def host_named(self, name: str) -> Host:
        return next(host for host in self.hosts if host.due.host == name)

    def drop(self, host: Host, source: object, index: int) -> None:
        host.requests = [
            request
            for request in host.requests
            if (request.source, request.index) != (source, index)
        ]

    @rule(which=hosts, pick=st.integers(0, 100))
    def deliver(self, which: int, pick: int) -> None:
        host = self.hosts[which]
        if host.requests:
            self.deliver_request(host, host.requests.pop(pick % len(host.requests)))

    def deliver_request(self, host: Host, request: RequestChunk) -> None:
        holder = (
            self.host_named(request.source.host) if isinstance(request.source, Neighbour) else None
        )
        if holder is not None and request.index not in holder.scheduler.held:
            host.scheduler.record_failure(
                request.source, request.index, FetchFailure.REFUSED, self.now
            )
            return
        for cancel in host.scheduler.record_arrival(request.source, request.index, self.now):
            self.drop(host, cancel.source, cancel.index)
        for other in self.hosts:
            if other is not host:
                other.scheduler.record_held_chunks(host.due.host, [request.index], self.now)

    @rule(which=hosts, failure=st.sampled_from(list(FetchFailure)))
    def fail(self, which: int, failure: FetchFailure) -> None:
        host = self.hosts[which]
        if host.requests:
            request = host.requests.pop(0)
            host.scheduler.record_failure(request.source, request.index, failure, self.now)

    @rule(which=hosts)
    def lose(self, which: int) -> None:
        """A source accepts a request and never answers it."""
        if self.hosts[which].requests:
            self.hosts[which].requests.pop(0)

    @rule(which=hosts)
    def replace(self, which: int) -> None:
        """A host fails and is replaced by an empty one."""
        failed = self.hosts[which].due.host
        for host in self.hosts:
            host.scheduler.remove_neighbour(failed)
            host.requests = [
                request for request in host.requests if request.source != Neighbour(failed)
            ]
        self.hosts[which] = self.make_host(which)
        self.link_all()

    @rule(which=hosts, other=hosts, indexes=st.lists(st.integers(-5, CHUNKS + 5), max_size=5))
    def claim_falsely(self, which: int, other: int, indexes: list[int]) -> None:
        """A neighbour announces chunks that it does not hold, or that do not exist."""
        if which != other:
            self.hosts[which].scheduler.record_held_chunks(
                self.hosts[other].due.host, indexes, self.now
            )

    @invariant()
    def holds_or_misses_each_chunk(self) -> None:
        for host in getattr(self, "hosts", ()):
            assert host.scheduler.held | host.scheduler.missing == set(range(CHUNKS))
            assert not host.scheduler.held & host.scheduler.missing

    def teardown(self) -> None:
        """Without further failures, every host eventually holds every chunk."""
        if not hasattr(self, "hosts"):
            return
        for _ in range(LIMIT_TICKS):
            self.advance(1)
            for host in self.hosts:
                while host.requests:
                    self.deliver_request(host, host.requests.pop(0))
            if all(host.scheduler.is_complete for host in self.hosts):
                return
        missing = {host.due.host: host.scheduler.missing for host in self.hosts}
        raise AssertionError(f"after {LIMIT_TICKS * DECIDE_INTERVAL_S} s still missing: {missing}")


TestSpreadMachine = SpreadMachine.TestCase
TestSpreadMachine.settings = settings(max_examples=40, stateful_step_count=30, deadline=None)
