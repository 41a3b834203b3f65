"""Replicas of the configuration, with updates, snapshots and replacements in any order."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lacewinggw.configuration.replica import Replica
from lacewinggw.decisions.revisions import FleetState, RevisionOutOfOrder, change_of
from lacewinggw.generated.messages.ttypes import (
    Assignment,
    Change,
    CreateRelease,
    LogEntry,
    Place,
    PutService,
    Release,
    ReplicaGoal,
    Service,
    ServiceKind,
    SetDrain,
)
from lacewinggw.metrics import Metrics
from lacewinggw.wire.frames import encode_struct

REPLICAS = 3
NAMES = ("one", "two", "three")

replicas = st.integers(0, REPLICAS - 1)
names = st.sampled_from(NAMES)


@st.composite
def changes(draw: st.DrawFn) -> Change:
    name, number = draw(names), draw(st.integers(0, 3))
    goals = [ReplicaGoal(draw(names), number)]
    placed = [Assignment(f"host-{host}", name, draw(names)) for host in range(number)]
    contents = [
        CreateRelease(Release(name, name * 8, 1000, number)),
        PutService(Service(name, ServiceKind.MODEL, goals)),
        SetDrain(f"host-{number}", draw(st.booleans())),
        Place(name, placed, "", [f"host-{number}"]),
    ]
    return change_of(draw(st.sampled_from(contents)))


def fingerprint(state: FleetState) -> bytes:
    return encode_struct(state.to_snapshot())


class LogMachine(RuleBasedStateMachine):
    """Accept entries, and deliver them to replicas late, twice, with gaps or not at all."""

    def __init__(self) -> None:
        super().__init__()
        self.log: list[LogEntry] = []
        self.states = [fingerprint(FleetState())]
        self.reference = FleetState()
        self.replicas = [Replica(Metrics()) for _ in range(REPLICAS)]
        self.seen = [0] * REPLICAS
        self.rng = random.Random(1)

    @rule(change=changes())
    def accept(self, change: Change) -> None:
        revision = len(self.log) + 1
        entry = LogEntry(revision, f"command-{revision}", "author", 0, 0, [change], "words")
        self.log.append(entry)
        self.reference.apply(entry)
        self.states.append(fingerprint(self.reference))

    @rule(to=replicas, offset=st.integers(-2, 2), count=st.integers(1, 5))
    def deliver(self, to: int, offset: int, count: int) -> None:
        """Deliver entries from slightly before to slightly after the next one of the replica."""
        first = max(0, self.replicas[to].revision + offset)
        self.replicas[to].offer(self.log[first : first + count])

    @rule(to=replicas)
    def deliver_shuffled(self, to: int) -> None:
        entries = list(self.log)
        self.rng.shuffle(entries)
        self.replicas[to].offer(entries)

    @rule(to=replicas, source=replicas)
    def adopt(self, to: int, source: int) -> None:
        self.replicas[to].adopt_snapshot(self.replicas[source].state.to_snapshot())

    @rule(which=replicas, source=replicas)
    def replace(self, which: int, source: int) -> None:
        """A new process starts from a peer that is not behind the replica that it replaces."""
        if self.replicas[source].revision < self.seen[which]:
            return
        snapshot = self.replicas[source].state.to_snapshot()
        self.replicas[which] = Replica(Metrics())
        self.replicas[which].adopt_snapshot(snapshot)

    @rule(to=replicas, revision=st.integers(0, 30))
    def apply_out_of_order(self, to: int, revision: int) -> None:
        """The state refuses an entry that does not have the next revision."""
        state = self.replicas[to].state
        if revision == state.revision + 1 or not 0 < revision <= len(self.log):
            return
        try:
            state.apply(self.log[revision - 1])
        except RevisionOutOfOrder:
            return
        raise AssertionError(f"applied {revision} after {state.revision}")

    @invariant()
    def never_goes_back(self) -> None:
        for number, replica in enumerate(self.replicas):
            assert replica.revision >= self.seen[number]
            self.seen[number] = replica.revision

    @invariant()
    def one_configuration_for_each_revision(self) -> None:
        for replica in self.replicas:
            assert fingerprint(replica.state) == self.states[replica.revision]

    def teardown(self) -> None:
        """A replica that receives all entries in order is up to date, whatever came before."""
        for replica in self.replicas:
            replica.offer(self.log)
            assert replica.revision == len(self.log)


TestLogMachine = LogMachine.TestCase
TestLogMachine.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)
