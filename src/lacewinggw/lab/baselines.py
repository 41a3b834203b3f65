"""Other ways to spread a release, to compare with: they take the place of the product's policy.

Each runs in the agent in the place of `ChunkScheduler`, over the same links and with the same
checks of every chunk, so that only the decisions differ.
"""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum

from lacewinggw.decisions.chunkscheduler import Action, ChunkScheduler
from lacewinggw.decisions.chunksources import ORIGIN, Neighbour, Source
from lacewinggw.decisions.topology import ColumnRanks, ReleaseHost, Topology, ring_neighbours
from lacewinggw.ids import Digest, HostId, Incarnation, Place

ORIGIN_IN_FLIGHT = 2
BRANCHES = 2


class Baseline(Enum):
    """Which way: all from the origin, one after another, a binary tree, or a mesh without ranks."""

    ORIGIN_ONLY = "origin-only"
    CHAIN = "chain"
    TREE = "tree"
    MESH = "mesh"


def parent_index(baseline: Baseline, index: int) -> int | None:
    """Return which host of the sorted list feeds host `index`; None for the origin."""
    if baseline is Baseline.ORIGIN_ONLY or index == 0:
        return None
    return index - 1 if baseline is Baseline.CHAIN else (index - 1) // BRANCHES


@dataclass(frozen=True)
class BaselinePlan:
    """Derive the links of a baseline; stands in for `TopologyRules`."""

    baseline: Baseline
    local: int

    def derive(self, me: ReleaseHost, hosts: Iterable[ReleaseHost], digest: Digest) -> Topology:
        """Return the topology for `me` among `hosts`."""
        places = {each.host: each.place for each in {*hosts, me}}
        names = sorted(places)
        if self.baseline is Baseline.MESH:
            neighbours = ring_neighbours(me.host, names, digest, self.local)
        else:
            neighbours = self._family(names, names.index(me.host))
        return Topology(places, frozenset(neighbours), (self._ranks(names.index(me.host)),), 0, 1)

    def _ranks(self, index: int) -> ColumnRanks:
        """Return who asks the origin for the manifest at once: whoever fetches chunks there."""
        fetches = self.baseline is Baseline.MESH or parent_index(self.baseline, index) is None
        return ColumnRanks(None, 0 if fetches else None)

    def _family(self, names: Sequence[HostId], mine: int) -> set[HostId]:
        parents = [parent_index(self.baseline, index) for index in range(len(names))]
        family = {names[index] for index, parent in enumerate(parents) if parent == mine}
        parent = parents[mine]
        return family if parent is None else family | {names[parent]}


class ParentSpread(ChunkScheduler):
    """Take chunks in order from one parent, or from the origin."""

    me = HostId("")
    parent: HostId | None = None

    def set_topology(self, topology: Topology, now: float) -> None:
        """Take the links; the parent is the neighbour that comes first in the list."""
        super().set_topology(topology, now)
        before = [host for host in topology.neighbours if host < self.me]
        self.parent = min(before) if before else None

    def decide(self, now: float) -> list[Action]:
        """Return what to ask for now."""
        return [*self._find_stalls(now), *self._ask_parent(now)] if not self.is_complete else []

    def _ask_parent(self, now: float) -> Iterator[Action]:
        state = self.neighbours.get(self.parent) if self.parent else None
        source: Source = Neighbour(self.parent) if self.parent else ORIGIN
        limit = self.rules.in_flight if self.parent else ORIGIN_IN_FLIGHT
        for index in sorted(self.missing - self._fetches.keys()):
            if len(self._fetches) >= limit:
                return
            if self.parent is None or (state is not None and index in state.chunks):
                yield self._ask(source, index, now)


class MeshSpread(ChunkScheduler):
    """A random mesh without ranks: whoever sees no neighbour with a chunk asks the origin."""

    def add_neighbour(self, host: HostId, place: Place, incarnation: Incarnation) -> None:
        """Note a neighbour, wherever it is."""
        super().add_neighbour(host, self._place, incarnation)

    def decide(self, now: float) -> list[Action]:
        """Return what to ask for now."""
        if self.is_complete or self._topology is None:
            return []
        return [*self._find_stalls(now), *self._ask_neighbours(now), *self._ask_origin(now)]

    def _ask_origin(self, now: float) -> Iterator[Action]:
        absent = [index for index in self.missing if not self._holdings.is_available(index)]
        absent = [index for index in absent if index not in self._fetches]
        source = self._platform.pick(now)
        if absent and source is not None and len(self._fetches) < ORIGIN_IN_FLIGHT:
            yield self._ask(source, self._rng.choice(sorted(absent)), now)


def make_baseline_spread(baseline: Baseline, me: HostId) -> type[ChunkScheduler]:
    """Return the class that stands in for `ChunkScheduler` on one host."""
    if baseline is Baseline.MESH:
        return MeshSpread
    return type("HostParentSpread", (ParentSpread,), {"me": me})
