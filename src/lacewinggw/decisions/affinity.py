"""Prefix affinity: requests with a common prefix are sent to the target that has it cached.

Each leading block of a prompt has a hash over all text up to the block's end. A request goes to the
target that this entry last sent its longest known prefix to. Otherwise it goes to the first target
in rendezvous order for an early block, which every entry computes alike without messages. Either
applies only while that target has spare capacity: load takes precedence over affinity.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from lacewinggw.decisions.addresses import rendezvous_weight
from lacewinggw.decisions.routing import RoutingContext, TargetStats, occupancy, request_time
from lacewinggw.ids import Digest, HostId

BLOCK_CHARS = 64
MAX_BLOCKS = 16  # leading blocks of a prompt that are hashed
RENDEZVOUS_BLOCK = 4  # the block that is the key of rendezvous hashing, counted from 1
BLOCK_NAME_DIGITS = 16
MAX_INDEXED_BLOCKS = 20_000
FREE_OCCUPANCY = 0.75  # up to this share of its capacity a target always has spare capacity
LOAD_BOUND = 1.25  # above that share, it has spare capacity up to this multiple of the mean
SLOW_FACTOR = 2.0  # affinity does not choose a target slower than typical by this factor


def prefix_blocks(prompt: str, limit: int = MAX_BLOCKS) -> list[str]:
    """Return a hash for each whole leading block of a prompt, the first `limit` of them."""
    hasher = hashlib.sha256()
    blocks = []
    for start in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS)[:limit]:
        hasher.update(prompt[start : start + BLOCK_CHARS].encode())
        blocks.append(hasher.hexdigest()[:BLOCK_NAME_DIGITS])
    return blocks


@dataclass
class PrefixIndex:
    """The target that each block was last sent to, in an LRU cache."""

    limit: int = MAX_INDEXED_BLOCKS
    _hosts: OrderedDict[tuple[Digest, str], HostId] = field(default_factory=OrderedDict)

    def find(self, digest: Digest, blocks: Sequence[str]) -> HostId | None:
        """Return the target that was last sent the longest of these prefixes, or None."""
        for block in reversed(blocks):
            host = self._hosts.get((digest, block))
            if host is not None:
                return host
        return None

    def note(self, digest: Digest, blocks: Sequence[str], host: HostId) -> None:
        """Note that a request with these blocks was sent to a target."""
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
    own_occupancy = occupancy(stats, context)
    if own_occupancy <= FREE_OCCUPANCY:
        return True
    mean = sum(occupancy(each, context) for each in targets) / len(targets)
    return own_occupancy <= LOAD_BOUND * mean


def preferred_target(
    targets: Sequence[TargetStats],
    blocks: Sequence[str],
    index: PrefixIndex,
    context: RoutingContext,
) -> TargetStats | None:
    """Return the target expected to cache the prefix, or None if it has no spare capacity."""
    if not blocks or not targets:
        return None
    indexed = {digest: index.find(digest, blocks) for digest in {stats.digest for stats in targets}}
    for stats in targets:
        if indexed[stats.digest] == stats.host and has_spare_capacity(stats, targets, context):
            return stats
    key = blocks[min(RENDEZVOUS_BLOCK, len(blocks)) - 1]
    preferred = max(targets, key=lambda stats: _weight(key, stats))
    return preferred if has_spare_capacity(preferred, targets, context) else None


def _weight(key: str, stats: TargetStats) -> tuple[int, HostId]:
    return rendezvous_weight(f"{stats.digest}\0{key}", stats.host), stats.host
