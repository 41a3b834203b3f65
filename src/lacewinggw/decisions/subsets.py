"""The bounded subset of a service's targets to which one entry sends requests, near ones first.

Up to half of the subset are targets in the entry's own place. The rest is a segment of the ring of
all targets in hash order; the entries, also in hash order, start at even distances. So every target
is in the subset of nearly the same number of entries, and of at least one, while a host that joins
or leaves shifts each segment by one.
"""

import itertools
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from lacewinggw.decisions.addresses import rank_hosts
from lacewinggw.ids import Address, HostId, Place

RING = "ring"
NEAR_DIVISOR = 2  # at most 1/2 of a subset is chosen for being in the entry's place


@dataclass(frozen=True)
class TargetHost:
    """A live host with a target: its place and the address of its agent."""

    host: HostId
    place: Place
    address: Address


def ring_position(entry: HostId, entries: Iterable[HostId]) -> float:
    """Return where the ring segment of `entry`, a live entry, begins: from 0 up to 1."""
    ranked = rank_hosts(RING, {entry, *entries})
    return ranked.index(entry) / len(ranked)


def pick_subset(
    entry: HostId, place: Place, position: float, hosts: Sequence[TargetHost], size: int
) -> list[TargetHost]:
    """Return at most `size` hosts for `entry`, whose ring segment begins at `position`."""
    if len(hosts) <= size:
        return list(hosts)
    by_host = {target_host.host: target_host for target_host in hosts}
    near_hosts = [target_host.host for target_host in hosts if target_host.place == place]
    chosen = rank_hosts(entry, near_hosts)[: size // NEAR_DIVISOR]
    ring = rank_hosts(RING, by_host)
    start = int(position * len(ring))
    chosen_hosts = set(chosen)
    ring_hosts = (
        host for host in itertools.chain(ring[start:], ring[:start]) if host not in chosen_hosts
    )
    chosen += itertools.islice(ring_hosts, size - len(chosen))
    return [by_host[host] for host in chosen]
