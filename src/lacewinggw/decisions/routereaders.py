"""Choose which entries read the routes from the store, and which peers the others query.

Routes are large, some hundred KB, and the links between regions slow. So a few entries of each
place read them, the others fetch them from these, and they cross a border once per place. Each
entry computes its rank among the peers it has recently received messages from; a silent peer drops
out of the order. Entries of higher rank act later, in groups that double in size, so that a failure
of the first ones does not fill a border with one copy for each remaining entry.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from lacewinggw.decisions.peerselection import rendezvous_weight
from lacewinggw.ids import Address, HostId, Place

PURPOSE = "routes reader"
READERS_PER_PLACE = 2  # two, because the store may reject one of them
QUERIED_PEERS = 2  # one reader in this place and one in another
# The maximum age of routes that a reader reads or confirms: 1.6 s for its wait and its batching of
# changes, 0.8 s between two queries and 0.2 s of latency.
CONFIRMED_MAX_AGE_S = 2.6
# An entry skips reading a list of targets that another entry read within this time with the same
# digest. Otherwise every entry would read it every 1.2 s, as heartbeats of targets change it. A
# leaving target is announced at once; if that fails, the list shows it within this time and one
# read, well before the 2 s after which it must get no requests.
LIST_CONFIRMED_MAX_AGE_S = 1.3
READ_STAGGER_S = 0.2  # a read takes some ms; the last of 63 entries reads 1 s after the first
# Enough for 50 KB over a border with 1 Mbit/s to spare. If the first entry of a place fails, the
# next one still has the routes within the shortest bound on changes, 2 s.
FETCH_STAGGER_S = 0.5
# For many entries that start at once: a full copy from the store and its distribution in the place.
START_STAGGER_S = 0.3
# For the list of entries, a few KB, from which a starting entry computes its rank.
LIST_WAIT_S = 0.2


@dataclass(frozen=True)
class LocalEntry:
    """The host and place of this entry."""

    host: HostId
    place: Place


@dataclass(frozen=True)
class PeerEntry:
    """Another entry that has recently sent a message, ready or not, and its peer address.

    Its routes are `routes_age_s` old, the time since its message included. Its list of targets has
    the digest `targets_digest` and is `targets_age_s` old.
    """

    host: HostId
    place: Place
    address: Address
    routes_age_s: float = 0.0
    targets_age_s: float = math.inf
    targets_digest: int = 0


def reader_sort_key(host: HostId) -> tuple[int, HostId]:
    """Return the key by which entries are sorted for reading the routes."""
    return (-rendezvous_weight(PURPOSE, host), host)


def rank_in_place(local: LocalEntry, others: Iterable[PeerEntry]) -> int:
    """Return how many known entries of this place come before this one."""
    near = [entry.host for entry in others if entry.place == local.place]
    return sum(1 for host in near if reader_sort_key(host) < reader_sort_key(local.host))


def is_route_reader(local: LocalEntry, others: Iterable[PeerEntry]) -> bool:
    """Return whether this entry reads the routes for the others of its place."""
    return rank_in_place(local, others) < READERS_PER_PLACE


def is_target_list_confirmed(digest: int, others: Iterable[PeerEntry]) -> bool:
    """Return whether another entry recently read a list of targets with the same digest."""
    return any(
        entry.targets_digest == digest and entry.targets_age_s < LIST_CONFIRMED_MAX_AGE_S
        for entry in others
    )


def choose_peers_to_query(local: LocalEntry, others: Iterable[PeerEntry]) -> list[PeerEntry]:
    """Return the entries to query: the first reader of this place, and one of another place.

    An entry whose own routes are old, because the store rejects it, comes after the others.
    """
    order = sorted(
        others,
        key=lambda entry: (entry.routes_age_s > CONFIRMED_MAX_AGE_S, reader_sort_key(entry.host)),
    )
    near = [entry for entry in order if entry.place == local.place]
    far = [entry for entry in order if entry.place != local.place]
    return [*near[:1], *far[: QUERIED_PEERS - len(near[:1])]]


def fallback_age_s(rank: int) -> float:
    """Return the age of the routes, in seconds, at which a non-reader reads the store itself."""
    return CONFIRMED_MAX_AGE_S + READ_STAGGER_S * (_group_of(rank) - 1)


def remote_fetch_delay_s(rank: int) -> float:
    """Return how long, in seconds, an entry leaves it to others to fetch from another place."""
    return FETCH_STAGGER_S * _group_of(rank)


def start_delay_s(rank: int | None) -> float:
    """Return how long, in seconds, a starting entry waits to receive the routes from peers.

    After that it reads them itself. `rank` is its rank among the listed entries of its place, None
    until the list has arrived.
    """
    return LIST_WAIT_S if rank is None else START_STAGGER_S * max(0, _group_of(rank) - 1)


def _group_of(rank: int) -> int:
    """Return the group of a rank: 0 for rank 0, 1 for 1, 2 for 2 and 3, 3 for 4 to 7."""
    return rank.bit_length()
