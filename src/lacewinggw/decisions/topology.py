"""Derive the peers of a host for one release: neighbours in its place, and gateways between places.

The topology follows from the list of hosts that are to hold the release and its digest, so each
host computes it alone. Lists that differ for a while only add or remove a few links.

The chunks of a release are divided into columns. In each place one host per column is the gateway:
it imports the column's chunks, from the gateways of other places or from the origin. Within a place
the hosts are connected by rings in different orders, which together form a well-mixing graph in
which all hosts have the same number of neighbours.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import TypeVar

import xxhash

from lacewinggw.ids import Digest, HostId, Place

Name = TypeVar("Name", HostId, Place)


@dataclass(frozen=True)
class ReleaseHost:
    """A host that is to hold the release."""

    host: HostId
    place: Place


@dataclass(frozen=True)
class ColumnRanks:
    """The ranks of this host for one column: 0 is in charge, None is not on the list."""

    in_place: int | None
    at_origin: int | None


@dataclass(frozen=True)
class Topology:
    """The topology as seen by one host."""

    places: Mapping[HostId, Place]
    neighbours: frozenset[HostId]
    columns: Sequence[ColumnRanks]
    place_index: int
    place_count: int


@dataclass(frozen=True)
class TopologyRules:
    """The parameters from which a `Topology` is derived.

    `local` is the number of neighbours in the same place, `remote` that of neighbours per column in
    other places. `columns` is the number of gateways in a place, `ranks` the number of hosts per
    column, the backups included.
    """

    local: int
    remote: int
    columns: int
    ranks: int
    per_place: bool

    def derive(self, me: ReleaseHost, hosts: Iterable[ReleaseHost], digest: Digest) -> Topology:
        """Return the topology for `me` among `hosts`, of which it is one."""
        by_place: dict[Place, list[HostId]] = defaultdict(list)
        for each in {*hosts, me}:
            by_place[each.place].append(each.host)
        order = _rendezvous_order(by_place, digest)
        gateways = {place: self._gateways(place, by_place, order, digest) for place in order}
        neighbours = set(ring_neighbours(me.host, by_place[me.place], digest, self.local))
        columns = []
        for column, ranked in enumerate(gateways[me.place]):
            rank = ranked.index(me.host) if me.host in ranked else None
            at_origin = rank if self.per_place else self._origin_rank(me, gateways, order, column)
            columns.append(ColumnRanks(rank, at_origin))
            if rank is not None:
                neighbours.update(ranked)
                neighbours.update(self._remote_gateways(me.place, gateways, order, column))
        return Topology(
            places={host: place for place, names in by_place.items() for host in names},
            neighbours=frozenset(neighbours - {me.host}),
            columns=tuple(columns),
            place_index=order.index(me.place),
            place_count=len(order),
        )

    def _gateways(
        self,
        place: Place,
        by_place: Mapping[Place, Sequence[HostId]],
        order: Sequence[Place],
        digest: Digest,
    ) -> list[list[HostId]]:
        """Return for each column the hosts of the place that may be its gateway, in rank order.

        The first has the best rendezvous rank among the least loaded hosts. A column that this
        place fetches from the origin and sends to others is a higher load than an imported one.
        """
        hosts = by_place[place]
        load = dict.fromkeys(hosts, 0)
        ranked: list[list[HostId]] = [[] for _ in range(self.columns)]
        weights = [self._gateway_load(place, order, column) for column in range(self.columns)]
        for column in sorted(range(self.columns), key=lambda each: (-weights[each], each)):
            by_hash = _rendezvous_order(hosts, f"{digest}/{column}")
            first = min(by_hash, key=lambda host: load[host])
            load[first] += weights[column]
            others = [host for host in by_hash if host != first]
            ranked[column] = [first, *others][: self.ranks]
        return ranked

    def _gateway_load(self, place: Place, order: Sequence[Place], column: int) -> int:
        is_origin = not self.per_place and _rotate(order, column)[0] == place
        return 1 + min(self.remote, len(order) - 1) if is_origin else 1

    def _origin_rank(
        self,
        me: ReleaseHost,
        gateways: Mapping[Place, Sequence[Sequence[HostId]]],
        order: Sequence[Place],
        column: int,
    ) -> int | None:
        """Return the rank of this host for fetching the column from the origin, or None.

        The first host of each place comes before the second of any place.
        """
        candidates = [
            gateways[place][column][rank]
            for rank in range(self.ranks)
            for place in _rotate(order, column)
            if rank < len(gateways[place][column])
        ]
        allowed = candidates[: self.ranks]
        return allowed.index(me.host) if me.host in allowed else None

    def _remote_gateways(
        self,
        place: Place,
        gateways: Mapping[Place, Sequence[Sequence[HostId]]],
        order: Sequence[Place],
        column: int,
    ) -> set[HostId]:
        """Return the column's gateways in the nearest places on the ring of places."""
        position = order.index(place)
        steps = [(step + 1) // 2 * (1 if step % 2 else -1) for step in range(1, self.remote + 1)]
        near = {order[(position + step) % len(order)] for step in steps} - {place}
        return {gateways[other][column][0] for other in near}


def _rotate(order: Sequence[Place], column: int) -> list[Place]:
    """Return the places in the order in which they may fetch a column from the origin."""
    start = column % len(order)
    return [*order[start:], *order[:start]]


def ring_neighbours(me: HostId, hosts: Sequence[HostId], digest: Digest, count: int) -> set[HostId]:
    """Return about `count` neighbours of `me`: predecessors and successors on rings of the hosts.

    More rings are used if some of them connect the same hosts.
    """
    if len(hosts) <= count + 1:
        return set(hosts) - {me}
    found: set[HostId] = set()
    for ring in range(count):
        if len(found) >= count:
            break
        order = _rendezvous_order(hosts, f"{digest}/ring{ring}")
        position = order.index(me)
        found |= {order[position - 1], order[(position + 1) % len(order)]}
    return found - {me}


def _rendezvous_order(names: Iterable[Name], salt: str) -> list[Name]:
    """Sort names by rendezvous hash; adding or removing one keeps the order of the others."""
    return sorted(
        names, key=lambda name: (xxhash.xxh3_64_intdigest(f"{salt}/{name}".encode()), name)
    )
