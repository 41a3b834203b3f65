"""Who deals with whom: which entries callers use, and which targets' agents an entry hears.

A caller is told of near entries that are ready, and of others when there are none.

Callers keep an answer for a while and choose among its addresses at random, so an answer names
every entry that may be used from the caller's place, and no entry that is leaving.

An entry hears the agents of its own place, and a few of each other place, to which requests spill
over: with every agent at every entry updates would grow with both, and most would cross borders.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from lacewinggw.decisions.peerselection import rendezvous_order
from lacewinggw.ids import Address, HostId, Place

MIN_NEAR_ENTRIES = 2  # entries of the caller's own place that are enough without others
MAX_ADDRESSES = 64  # addresses that an answer may hold
AGENTS_PER_FAR_PLACE = (
    2  # agents of each other place: two spread what spills over, and one may fail
)


@dataclass(frozen=True)
class ReadyEntry:
    """An entry that takes callers."""

    host: HostId
    place: Place
    address: Address


def choose_entries(
    entries: Iterable[ReadyEntry], place: Place, regions: Mapping[Place, str]
) -> Sequence[Address]:
    """Return the addresses for a caller in `place`: the nearest group that is large enough."""
    known = list(entries)
    region = regions.get(place, "")
    near = [entry for entry in known if entry.place == place]
    if len(near) < MIN_NEAR_ENTRIES:
        near = [entry for entry in known if region and regions.get(entry.place) == region]
    if len(near) < MIN_NEAR_ENTRIES:
        near = known
    return sorted(entry.address for entry in near)[:MAX_ADDRESSES]


def choose_agents(me: HostId, place: Place, agents: Mapping[HostId, Place]) -> set[HostId]:
    """Return the agents that an entry hears: all of its place, a few of each other.

    Which few differs from entry to entry, so that all agents are heard by about as many.
    """
    watched = {host for host, where in agents.items() if where == place}
    for other in set(agents.values()) - {place}:
        hosts = (host for host, where in agents.items() if where == other)
        watched.update(
            HostId(host)
            for host in rendezvous_order(f"watched by {me}", hosts)[:AGENTS_PER_FAR_PLACE]
        )
    return watched
