"""Prefix affinity: requests that begin alike go where their beginning is cached.

A prompt's leading blocks have hashes, each over all text up to the block's end. A request goes to
the target that last got its longest known prefix from this entry; else to the first in rendezvous
order for an early block, which every entry works out alike without a message. Either only while
that target has room: affinity bends to load, never the other way round.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from lacewinggw.decisions.addresses import rendezvous_weight
from lacewinggw.decisions.routing import RoutingContext, TargetStats, occupancy, request_time
from lacewinggw.ids import Digest, HostId

BLOCK_CHARS = 64
MAX_BLOCKS = 16  # blocks of a prompt that are looked at
RENDEZVOUS_BLOCK = 4  # the block that rendezvous goes by, counted from 1
BLOCK_NAME_DIGITS = 16
MAX_INDEXED_BLOCKS = 20_000
FREE_OCCUPANCY = 0.75  # up to this share of its capacity a target always has room
LOAD_BOUND = 1.25  # above it, room means at most this much over the mean
SLOW_FACTOR = 2.0  # a target this much slower than usual is left to the general choice


def prefix_blocks(prompt: str, limit: int = MAX_BLOCKS) -> list[str]:
    """Return a hash for each whole leading block of a prompt, the first `limit` of them."""
    running = hashlib.sha256()
    blocks = []
    for start in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS)[:limit]:
        running.update(prompt[start : start + BLOCK_CHARS].encode())
        blocks.append(running.hexdigest()[:BLOCK_NAME_DIGITS])
    return blocks


@dataclass
class PrefixIndex:
    """Where blocks were sent last, the least recently used forgotten first."""

    limit: int = MAX_INDEXED_BLOCKS
    _hosts: OrderedDict[tuple[Digest, str], HostId] = field(default_factory=OrderedDict)

    def find(self, digest: Digest, blocks: Sequence[str]) -> HostId | None:
        """Return the target that got the longest of these prefixes, if any is known."""
        for block in reversed(blocks):
            host = self._hosts.get((digest, block))
            if host is not None:
                return host
        return None

    def note(self, digest: Digest, blocks: Sequence[str], host: HostId) -> None:
        """Note that a request with these blocks went to a target."""
        for block in blocks:
            self._hosts[digest, block] = host
            self._hosts.move_to_end((digest, block))
        while len(self._hosts) > self.limit:
            self._hosts.popitem(last=False)


def has_spare_capacity(
    stats: TargetStats, targets: Sequence[TargetStats], context: RoutingContext
) -> bool:
    """Return whether affinity may send one more request to a target."""
    if request_time(stats, context) > SLOW_FACTOR * context.typical_s:
        return False
    own = occupancy(stats, context)
    if own <= FREE_OCCUPANCY:
        return True
    mean = sum(occupancy(each, context) for each in targets) / len(targets)
    return own <= LOAD_BOUND * mean


def preferred_target(
    targets: Sequence[TargetStats],
    blocks: Sequence[str],
    memory: PrefixIndex,
    context: RoutingContext,
) -> TargetStats | None:
    """Return the target that should have the prefix of a request, if there is one with room."""
    if not blocks or not targets:
        return None
    remembered = {
        digest: memory.find(digest, blocks) for digest in {stats.digest for stats in targets}
    }
    for stats in targets:
        if remembered[stats.digest] == stats.host and has_spare_capacity(stats, targets, context):
            return stats
    key = blocks[min(RENDEZVOUS_BLOCK, len(blocks)) - 1]
    first = max(targets, key=lambda stats: _weight(key, stats))
    return first if has_spare_capacity(first, targets, context) else None


def _weight(key: str, stats: TargetStats) -> tuple[int, HostId]:
    return rendezvous_weight(f"{stats.digest}\0{key}", stats.host), stats.host
