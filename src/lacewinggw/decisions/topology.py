"""Who spreads a release to whom: neighbours within a place, and gateways between places.

Everything follows from the list of hosts due the release and its digest, so that each host works it
out alone. Views that differ for a while give a few links more or less, nothing worse.

A release's chunks fall into columns. In each place one host per column is its gateway: it brings
the column's chunks into the place, from the gateways of other places or from the origin. Within a
place hosts are joined by rings in different orders, which together are a well-mixing graph in which
everyone has the same number of neighbours.
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
    """Where this host stands in one column: 0 is the one in charge, None is out of the list."""

    in_place: int | None
    at_origin: int | None


@dataclass(frozen=True)
class Topology:
    """What the list of hosts means for one of them."""

    places: Mapping[HostId, Place]
    neighbours: frozenset[HostId]
    columns: Sequence[ColumnRanks]
    place_index: int
    place_count: int


@dataclass(frozen=True)
class TopologyRules:
    """How to derive a `Topology`.

    `local` and `remote` are neighbours in the same place and per column in others, `columns` the
    number of gateways in a place, `ranks` how many hosts may stand in for one another.
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
        order = _ranked(by_place, digest)
        gateways = {place: self._gateways(place, by_place, order, digest) for place in order}
        neighbours = set(ring_neighbours(me.host, by_place[me.place], digest, self.local))
        columns = []
        for column, ranked in enumerate(gateways[me.place]):
            rank = ranked.index(me.host) if me.host in ranked else None
            at_origin = rank if self.per_place else self._origin_rank(me, gateways, order, column)
            columns.append(ColumnRanks(rank, at_origin))
            if rank is not None:
                neighbours.update(ranked)
                neighbours.update(self._remote(me.place, gateways, order, column))
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
        """Return for each column the place's hosts that may be its gateway, best first.

        The first is the best by rendezvous among those with least to do already; a column that
        this place fetches from the origin and sends to others weighs more than one it imports.
        """
        hosts = by_place[place]
        load = dict.fromkeys(hosts, 0)
        ranked: list[list[HostId]] = [[] for _ in range(self.columns)]
        weights = [self._weight(place, order, column) for column in range(self.columns)]
        for column in sorted(range(self.columns), key=lambda each: (-weights[each], each)):
            by_hash = _ranked(hosts, f"{digest}/{column}")
            first = min(by_hash, key=lambda host: load[host])
            load[first] += weights[column]
            others = [host for host in by_hash if host != first]
            ranked[column] = [first, *others][: self.ranks]
        return ranked

    def _weight(self, place: Place, order: Sequence[Place], column: int) -> int:
        is_origin = not self.per_place and _turned(order, column)[0] == place
        return 1 + min(self.remote, len(order) - 1) if is_origin else 1

    def _origin_rank(
        self,
        me: ReleaseHost,
        gateways: Mapping[Place, Sequence[Sequence[HostId]]],
        order: Sequence[Place],
        column: int,
    ) -> int | None:
        """Return this host's turn at the origin: first one host of each place, then a second."""
        turns = [
            gateways[place][column][rank]
            for rank in range(self.ranks)
            for place in _turned(order, column)
            if rank < len(gateways[place][column])
        ]
        allowed = turns[: self.ranks]
        return allowed.index(me.host) if me.host in allowed else None

    def _remote(
        self,
        place: Place,
        gateways: Mapping[Place, Sequence[Sequence[HostId]]],
        order: Sequence[Place],
        column: int,
    ) -> set[HostId]:
        """Return the column's gateways in the nearest places on the ring of places."""
        at = order.index(place)
        steps = [(step + 1) // 2 * (1 if step % 2 else -1) for step in range(1, self.remote + 1)]
        near = {order[(at + step) % len(order)] for step in steps} - {place}
        return {gateways[other][column][0] for other in near}


def _turned(order: Sequence[Place], column: int) -> list[Place]:
    """Return the places in the order of their turns at the origin for a column."""
    start = column % len(order)
    return [*order[start:], *order[:start]]


def ring_neighbours(me: HostId, hosts: Sequence[HostId], digest: Digest, count: int) -> set[HostId]:
    """Return about `count` neighbours of `me`: before and after it on rings of the hosts.

    Rings that join the same two hosts are made up for by a few more.
    """
    if len(hosts) <= count + 1:
        return set(hosts) - {me}
    found: set[HostId] = set()
    for ring in range(count):
        if len(found) >= count:
            break
        order = _ranked(hosts, f"{digest}/ring{ring}")
        at = order.index(me)
        found |= {order[at - 1], order[(at + 1) % len(order)]}
    return found - {me}


def _ranked(names: Iterable[Name], salt: str) -> list[Name]:
    """Rank names by rendezvous hash: one name more or less leaves the order of the others."""
    return sorted(
        names, key=lambda name: (xxhash.xxh3_64_intdigest(f"{salt}/{name}".encode()), name)
    )
