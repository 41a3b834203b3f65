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
from lacewinggw.decisions.routing import Moment, TargetFacts, occupancy, request_time
from lacewinggw.ids import Digest, HostId

BLOCK_CHARS = 64
BLOCK_LIMIT = 16  # blocks of a prompt that are looked at
KEY_DEPTH = 4  # the block that rendezvous goes by, counted from 1
BLOCK_NAME_DIGITS = 16
MEMORY_LIMIT = 20_000
FREE_OCCUPANCY = 0.75  # up to this share of its capacity a target always has room
LOAD_BOUND = 1.25  # above it, room means at most this much over the mean
SLOW_FACTOR = 2.0  # a target this much slower than usual is left to the general choice


def prefix_blocks(prompt: str, limit: int = BLOCK_LIMIT) -> list[str]:
    """Return a hash for each whole leading block of a prompt, the first `limit` of them."""
    running = hashlib.sha256()
    blocks = []
    for start in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS)[:limit]:
        running.update(prompt[start : start + BLOCK_CHARS].encode())
        blocks.append(running.hexdigest()[:BLOCK_NAME_DIGITS])
    return blocks


@dataclass
class PrefixMemory:
    """Where blocks were sent last, the least recently used forgotten first."""

    limit: int = MEMORY_LIMIT
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


def has_room(facts: TargetFacts, targets: Sequence[TargetFacts], moment: Moment) -> bool:
    """Return whether affinity may send one more request to a target."""
    if request_time(facts, moment) > SLOW_FACTOR * moment.usual_s:
        return False
    own = occupancy(facts, moment)
    if own <= FREE_OCCUPANCY:
        return True
    mean = sum(occupancy(each, moment) for each in targets) / len(targets)
    return own <= LOAD_BOUND * mean


def preferred_target(
    targets: Sequence[TargetFacts],
    blocks: Sequence[str],
    memory: PrefixMemory,
    moment: Moment,
) -> TargetFacts | None:
    """Return the target that should have the prefix of a request, if there is one with room."""
    if not blocks or not targets:
        return None
    remembered = {
        digest: memory.find(digest, blocks) for digest in {facts.digest for facts in targets}
    }
    for facts in targets:
        if remembered[facts.digest] == facts.host and has_room(facts, targets, moment):
            return facts
    key = blocks[min(KEY_DEPTH, len(blocks)) - 1]
    first = max(targets, key=lambda facts: _weight(key, facts))
    return first if has_room(first, targets, moment) else None


def _weight(key: str, facts: TargetFacts) -> tuple[int, HostId]:
    return rendezvous_weight(f"{facts.digest}\0{key}", facts.host), facts.host
