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
from lacewinggw.ids import Address, HostId, Place, Region

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
    entries: Iterable[ReadyEntry],
    place: Place,
    regions: Mapping[Place, Region],
    stays_in_region: bool = False,
) -> Sequence[Address]:
    """Return the addresses for a caller in `place`: of the nearest group that is large enough.

    The groups are the caller's place, its region, and all entries. If requests have home regions,
    the caller `stays_in_region` while a single entry is ready there: the body of a request is sent
    to the entry before the entry can tell that it may not leave the region.
    """
    all_entries = list(entries)
    region = regions.get(place, Region(""))
    near = [entry for entry in all_entries if entry.place == place]
    if len(near) >= MIN_NEAR_ENTRIES:
        return _addresses(near)
    in_region = [entry for entry in all_entries if region and regions.get(entry.place) == region]
    in_region = in_region or near
    if len(in_region) >= (1 if stays_in_region else MIN_NEAR_ENTRIES):
        return _addresses(in_region)
    return _addresses(all_entries)


def _addresses(near: Iterable[ReadyEntry]) -> Sequence[Address]:
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
