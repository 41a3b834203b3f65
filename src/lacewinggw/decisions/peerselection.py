"""Choose the entries that read the log's tail from the store, and the upstreams of the others.

Pure; each entry decides from its own copy of the list of entries. Copies that differ for a while
cost a few reads more or less but miss no change: an entry that does not read the store asks a
neighbour.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import xxhash

READERS_PER_PLACE = 2
UPSTREAM_COUNT = 4


@dataclass(frozen=True)
class Candidate:
    """A listed process, with the fields that these choices need."""

    host: str
    place: str
    address: str


def rendezvous_weight(purpose: str, host: str) -> int:
    """Return the rendezvous weight of a host for a purpose."""
    return xxhash.xxh3_64_intdigest(f"{purpose}\0{host}".encode())


def rendezvous_order(purpose: str, hosts: Iterable[str]) -> list[str]:
    """Return hosts by descending rendezvous weight for a purpose."""
    return sorted(hosts, key=lambda host: (-rendezvous_weight(purpose, host), host))


def rendezvous_rank(purpose: str, host: str, hosts: Iterable[str]) -> int:
    """Return how many of `hosts` come before `host` for a purpose."""
    own = (-rendezvous_weight(purpose, host), host)
    return sum(1 for each in hosts if (-rendezvous_weight(purpose, each), each) < own)


def is_log_reader(host: str, place: str, entries: Sequence[Candidate]) -> bool:
    """Return whether an entry is among the `READERS_PER_PLACE` that read the log's tail."""
    others = [entry.host for entry in entries if entry.place == place and entry.host != host]
    return rendezvous_rank("log-reader", host, others) < READERS_PER_PLACE


def order_entry_upstreams(host: str, entries: Sequence[Candidate]) -> list[Candidate]:
    """Return all other entries in the order in which an entry subscribes to them.

    The first is the successor on the ring of hosts, which alone would carry updates to
    every entry. The others are ordered by rendezvous hash, which keeps the number of hops low.
    """
    others = sorted((entry for entry in entries if entry.host != host), key=lambda each: each.host)
    if not others:
        return []
    successor = next((entry for entry in others if entry.host > host), others[0])
    ranked = sorted(
        (entry for entry in others if entry is not successor),
        key=lambda entry: rendezvous_weight(f"news-for-{host}", entry.host),
    )
    return [successor, *ranked]


def order_agent_upstreams(host: str, place: str, entries: Sequence[Candidate]) -> list[Candidate]:
    """Return entries in the order in which an agent subscribes: one of its place first.

    The second is in another place if there is one, so that updates continue if a place fails.
    """
    order = sorted(entries, key=lambda entry: rendezvous_weight(f"news-for-{host}", entry.host))
    near = [entry for entry in order if entry.place == place]
    far = [entry for entry in order if entry.place != place]
    return [*near[:1], *far[:1], *near[1:], *far[1:]]
