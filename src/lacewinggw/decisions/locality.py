"""Choice by place: the entries that a caller uses, and the agents that an entry subscribes to.

A caller gets the ready entries of its own place, or of a larger area if there are too few.

Callers cache an answer and choose among its addresses at random, so an answer contains every entry
that may be used from the caller's place, and no entry that is leaving.

An entry subscribes to the agents of its own place, and to a few of each other place, to which
requests spill over. With every agent reporting to every entry, the number of updates would grow
with both counts, and most would travel between places.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from lacewinggw.decisions.peerselection import rendezvous_order
from lacewinggw.ids import Address, HostId, Place

MIN_NEAR_ENTRIES = 2  # with fewer entries in its place, a caller also gets others
MAX_ADDRESSES = 64  # of one answer
AGENTS_PER_FAR_PLACE = 2  # two spread the requests that spill over, and one may fail


@dataclass(frozen=True)
class ReadyEntry:
    """An entry that accepts callers."""

    host: HostId
    place: Place
    address: Address


def choose_entries(
    entries: Iterable[ReadyEntry], place: Place, regions: Mapping[Place, str]
) -> Sequence[Address]:
    """Return the addresses for a caller in `place`: of the nearest group that is large enough.

    The groups are the caller's place, its region, and all entries.
    """
    all_entries = list(entries)
    region = regions.get(place, "")
    near = [entry for entry in all_entries if entry.place == place]
    if len(near) < MIN_NEAR_ENTRIES:
        near = [entry for entry in all_entries if region and regions.get(entry.place) == region]
    if len(near) < MIN_NEAR_ENTRIES:
        near = all_entries
    return sorted(entry.address for entry in near)[:MAX_ADDRESSES]


def choose_agents(own_host: HostId, place: Place, agents: Mapping[HostId, Place]) -> set[HostId]:
    """Return the agents that an entry subscribes to: all of its place, a few of each other.

    The few differ from entry to entry, so that each agent reports to about as many entries.
    """
    agents_chosen = {host for host, agent_place in agents.items() if agent_place == place}
    for other in set(agents.values()) - {place}:
        hosts = (host for host, agent_place in agents.items() if agent_place == other)
        agents_chosen.update(
            HostId(host)
            for host in rendezvous_order(f"watched by {own_host}", hosts)[:AGENTS_PER_FAR_PLACE]
        )
    return agents_chosen
