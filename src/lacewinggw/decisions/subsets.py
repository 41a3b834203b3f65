"""Which targets of a service one entry deals with: a bounded subset, nearest place first.

Rendezvous between entry and target: a target that comes or goes changes only its own part in each
subset, and targets get nearly even numbers of entries.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from lacewinggw.decisions.addresses import rendezvous_weight
from lacewinggw.ids import Address, HostId, Place


@dataclass(frozen=True)
class HostFacts:
    """A live host with a target: its place and its agent's address."""

    host: HostId
    place: Place
    address: Address


def pick_subset(
    entry: HostId, place: Place, hosts: Iterable[HostFacts], size: int
) -> list[HostFacts]:
    """Return at most `size` hosts for `entry`, those in its own place first."""

    def rank(facts: HostFacts) -> tuple[bool, int, HostId]:
        return facts.place != place, -rendezvous_weight(entry, facts.host), facts.host

    return sorted(hosts, key=rank)[:size]
