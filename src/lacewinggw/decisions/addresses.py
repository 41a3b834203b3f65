"""The entries that a client account uses.

They are a subset by rendezvous hashing: every entry computes the same subset from the list of live
entries, and losing an entry changes the subsets of only those accounts that used it. The account's
limit is split over the same subset, so a larger limit gets more entries.
"""

import math
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import xxhash

from lacewinggw.ids import Account, Address, HostId, Place


@dataclass(frozen=True)
class LiveEntry:
    """A live entry: its host, its place and its address for callers."""

    host: HostId
    place: Place
    address: Address


def rendezvous_weight(key: str, host: str) -> int:
    """Return the weight of `host` for `key`; the highest weight ranks first."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{host}".encode())


def rank_hosts(key: str, hosts: Iterable[HostId]) -> list[HostId]:
    """Return the hosts in rendezvous order for `key`, the same in every process."""
    return sorted(hosts, key=lambda host: (-rendezvous_weight(key, host), host))


def count_addresses(rate_per_s: float, least: int, rate_per_address: float) -> int:
    """Return over how many entries to spread an account with this rate limit.

    There are at least `least`, to survive the loss of one, and enough that none has to admit more
    than `rate_per_address`.
    """
    if rate_per_address <= 0:
        return max(1, least)
    return max(1, least, math.ceil(rate_per_s / rate_per_address))


def account_entries(
    account: Account, entries: Iterable[LiveEntry], count: int
) -> tuple[LiveEntry, ...]:
    """Return the `count` entries of an account, the same in every process.

    Places alternate, each with its highest-ranked entry, so that some entries survive the loss of a
    place.

        account_entries(Account("buyers"), entries, 3)
    """
    by_place: dict[Place, list[LiveEntry]] = {}
    for entry in entries:
        by_place.setdefault(entry.place, []).append(entry)
    ranked: list[tuple[int, int, HostId, LiveEntry]] = []
    for members in by_place.values():
        weighted = [
            (-rendezvous_weight(account, entry.host), entry.host, entry) for entry in members
        ]
        for rank, (weight, host, entry) in enumerate(sorted(weighted, key=lambda item: item[:2])):
            ranked.append((rank, weight, host, entry))
    ranked.sort(key=lambda item: item[:3])
    return tuple(entry for _, _, _, entry in ranked[:count])


def answer_addresses(
    account: Account, entries: Iterable[LiveEntry], count: int, rng: random.Random
) -> Sequence[Address]:
    """Return the addresses for an account, shuffled so that its callers spread evenly."""
    chosen = [entry.address for entry in account_entries(account, entries, count)]
    rng.shuffle(chosen)
    return chosen
