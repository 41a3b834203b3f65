"""Which entries read the routes from the store, whom the others ask, and who fetches from afar.

Routes are large, some hundred KB, and the borders between regions narrow. So few entries of a place
read them, the others have them from these, and they cross a border once a place. Each entry works
out its rank from those that it has heard lately; whoever is silent for a while is out of the order.
Entries of higher ranks step in later, twice as many at each step, so that many entries whose first
ones fail do not fill a border with copies for each of them.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from lacewinggw.decisions.peerselection import rendezvous_weight
from lacewinggw.ids import Address, HostId, Place

PURPOSE = "routes reader"
READERS_PER_PLACE = 2  # entries that read the routes, for one may be turned away by the store
QUERIED_PEERS = 2  # entries: the reader of this place and one of another
# Routes that are read, or vouched for, are not older than this: a wait of the reader and the time
# in which it lets changes gather, 1.6 s, the time between two questions, 0.8 s, and a way of 0.2 s.
CONFIRMED_MAX_AGE_S = 2.6
# A list of targets that another entry read so long ago, and that is the same here, is not read: all
# entries would read it each 1.2 s, as heartbeats of targets change it. A leaving target is told at
# once; should that fail, it is seen within this, a read, and well before the 2 s after which it may
# get nothing.
LIST_CONFIRMED_MAX_AGE_S = 1.3
READ_STAGGER_S = 0.2  # a read takes some ms; the last of 63 entries reads a second after the first
# Half a second is enough for 50 KB over a border with 1 Mbit/s left. Where the first entry of a
# place fails, the next one still has the routes within the shortest bound on changes, 2 s.
FETCH_STAGGER_S = 0.5
# At the start of many entries at once: a whole copy from the store, and its way through the place.
START_STAGGER_S = 0.3
LIST_WAIT_S = 0.2  # for the list of entries, a few KB, by which an entry that starts knows its rank


@dataclass(frozen=True)
class LocalEntry:
    """This entry's host and place."""

    host: HostId
    place: Place


@dataclass(frozen=True)
class PeerEntry:
    """Another entry that was heard lately, ready or not, and where it listens for this one.

    Its routes were `routes_age_s` old when it was heard, and are that much older by now; its list
    of targets, which has the digest `targets_digest`, is `targets_age_s` old.
    """

    host: HostId
    place: Place
    address: Address
    routes_age_s: float = 0.0
    targets_age_s: float = math.inf
    targets_digest: int = 0


def reader_sort_key(host: HostId) -> tuple[int, HostId]:
    """Return a key that sorts entries by who reads the routes first."""
    return (-rendezvous_weight(PURPOSE, host), host)


def rank_in_place(me: LocalEntry, others: Iterable[PeerEntry]) -> int:
    """Return how many of the entries heard in this place come before this one."""
    near = [entry.host for entry in others if entry.place == me.place]
    return sum(1 for host in near if reader_sort_key(host) < reader_sort_key(me.host))


def is_route_reader(me: LocalEntry, others: Iterable[PeerEntry]) -> bool:
    """Return whether this entry reads the routes, for the others of its place."""
    return rank_in_place(me, others) < READERS_PER_PLACE


def is_target_list_confirmed(digest: int, others: Iterable[PeerEntry]) -> bool:
    """Return whether another entry has the same targets by a list that it read lately."""
    return any(
        entry.targets_digest == digest and entry.targets_age_s < LIST_CONFIRMED_MAX_AGE_S
        for entry in others
    )


def choose_peers_to_query(me: LocalEntry, others: Iterable[PeerEntry]) -> list[PeerEntry]:
    """Return the entries to ask: the first reader of this place, and one of another place.

    One whose own routes are old, as the store turns it away, comes after the others.
    """
    order = sorted(
        others,
        key=lambda entry: (entry.routes_age_s > CONFIRMED_MAX_AGE_S, reader_sort_key(entry.host)),
    )
    near = [entry for entry in order if entry.place == me.place]
    far = [entry for entry in order if entry.place != me.place]
    return [*near[:1], *far[: QUERIED_PEERS - len(near[:1])]]


def fallback_age_s(rank: int) -> float:
    """Return from which age of the routes on an entry that is no reader reads the store itself."""
    return CONFIRMED_MAX_AGE_S + READ_STAGGER_S * (_step_of(rank) - 1)


def remote_fetch_delay_s(rank: int) -> float:
    """Return how long an entry lets others of its place fetch what only another place has."""
    return FETCH_STAGGER_S * _step_of(rank)


def start_delay_s(rank: int | None) -> float:
    """Return how long an entry that starts waits to be told the routes before it reads them.

    Its rank is that among the listed entries of its place; None while the list is not here.
    """
    return LIST_WAIT_S if rank is None else START_STAGGER_S * max(0, _step_of(rank) - 1)


def _step_of(rank: int) -> int:
    """Return 0 for the first, 1 for the next, 2 for the two after it, 3 for the next four."""
    return rank.bit_length()
