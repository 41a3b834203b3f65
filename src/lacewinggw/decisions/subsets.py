"""Which targets of a service one entry deals with: a bounded subset, near ones first.

Up to half of it are targets in the entry's own place. The rest is a stretch of the ring of all
targets in hash order; the entries, in hash order too, start at even distances. So every target is
dealt with by nearly the same number of entries, and none by nobody, while a host that comes or goes
moves each stretch by one.
"""

import itertools
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from lacewinggw.decisions.addresses import rank_hosts
from lacewinggw.ids import Address, HostId, Place

RING = "ring"
NEAR_DIVISOR = 2  # at most one in so many of a subset is there for being near


@dataclass(frozen=True)
class TargetHost:
    """A live host with a target: its place and its agent's address."""

    host: HostId
    place: Place
    address: Address


def ring_position(entry: HostId, entries: Iterable[HostId]) -> float:
    """Return where the stretch of `entry`, one of the live entries, begins: from 0 up to 1."""
    ranked = rank_hosts(RING, {entry, *entries})
    return ranked.index(entry) / len(ranked)


def pick_subset(
    entry: HostId, place: Place, position: float, hosts: Sequence[TargetHost], size: int
) -> list[TargetHost]:
    """Return at most `size` hosts for `entry`, whose stretch of the ring begins at `position`."""
    if len(hosts) <= size:
        return list(hosts)
    by_host = {facts.host: facts for facts in hosts}
    near = [facts.host for facts in hosts if facts.place == place]
    chosen = rank_hosts(entry, near)[: size // NEAR_DIVISOR]
    ring = rank_hosts(RING, by_host)
    start = int(position * len(ring))
    taken = set(chosen)
    stretch = (host for host in itertools.chain(ring[start:], ring[:start]) if host not in taken)
    chosen += itertools.islice(stretch, size - len(chosen))
    return [by_host[host] for host in chosen]
