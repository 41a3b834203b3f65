"""The prefix cache of a stand-in engine: bounded, with events that come late and with gaps."""

import hashlib
from collections import OrderedDict, deque
from dataclasses import dataclass
from random import Random
from typing import Any

from lacewinggw.lab.standin import now

BLOCK_CHARS = 64
EVENTS_KEPT = 4096


@dataclass(frozen=True)
class _Event:
    number: int
    at: float
    stored: bool
    weights: str
    block: str


def prefix_blocks(prompt: str) -> list[str]:
    """Return a hash for each whole leading block of a prompt, each over all up to its end."""
    running = hashlib.sha256()
    blocks = []
    for start in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS):
        running.update(prompt[start : start + BLOCK_CHARS].encode())
        blocks.append(running.hexdigest()[:16])
    return blocks


class PrefixCache:
    """Blocks by (weights in use, block), each with the digest of the weights that computed it.

    An imported block keeps the digest that it came with, right or wrong, so that a run over it can
    be seen to mix weights.
    """

    def __init__(self, limit: int, rng: Random) -> None:
        self.limit = limit
        self.hits = 0
        self.misses = 0
        self._rng = rng
        self._blocks: OrderedDict[tuple[str, str], str] = OrderedDict()
        self._events: deque[_Event] = deque(maxlen=EVENTS_KEPT)
        self._numbered = 0

    def use(self, weights: str, blocks: list[str], gap_share: float) -> tuple[int, set[str]]:
        """Count the leading blocks that are cached and store the rest.

        Return the count, and the digests of the weights that computed those cached.
        """
        computed_by: set[str] = set()
        cached = 0
        for block in blocks:
            if (weights, block) not in self._blocks:
                break
            self._blocks.move_to_end((weights, block))
            computed_by.add(self._blocks[weights, block])
            cached += 1
        self.hits += cached
        self.misses += len(blocks) - cached
        for block in blocks[cached:]:
            self.store(weights, block, weights, gap_share)
        return cached, computed_by

    def store(self, weights: str, block: str, computed_by: str, gap_share: float) -> None:
        """Store a block, evicting the one longest unused when there are too many."""
        self._blocks[weights, block] = computed_by
        self._blocks.move_to_end((weights, block))
        self._report(True, weights, block, gap_share)
        while len(self._blocks) > self.limit:
            (old_weights, old_block), _ = self._blocks.popitem(last=False)
            self._report(False, old_weights, old_block, gap_share)

    def computed_by(self, weights: str, block: str) -> str | None:
        """Return the digest of the weights that computed a cached block."""
        return self._blocks.get((weights, block))

    def events(self, after: int, lag_s: float) -> list[dict[str, Any]]:
        """Return the events after a number that are old enough to be told."""
        horizon = now() - lag_s
        return [
            {"n": each.number, "stored": each.stored, "digest": each.weights, "block": each.block}
            for each in self._events
            if each.number > after and each.at <= horizon
        ]

    def _report(self, stored: bool, weights: str, block: str, gap_share: float) -> None:
        self._numbered += 1
        if gap_share and self._rng.random() < gap_share:
            return
        self._events.append(_Event(self._numbered, now(), stored, weights, block))
