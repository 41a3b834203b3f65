"""Which entries a caller is told to use: near ones that are ready, others when there are none.

Callers keep an answer for a while and choose among its addresses at random, so an answer names
every entry that may be used from the caller's place, and no entry that is leaving.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from lacewinggw.ids import Address, HostId, Place

NEAR_LEAST = 2  # entries of the caller's own place that are enough without others
ANSWER_MOST = 64  # addresses that an answer may hold


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
    if len(near) < NEAR_LEAST:
        near = [entry for entry in known if region and regions.get(entry.place) == region]
    if len(near) < NEAR_LEAST:
        near = known
    return sorted(entry.address for entry in near)[:ANSWER_MOST]
