"""The weights of a stand-in engine: staged, loaded and active, whatever it was told to take."""

import hashlib
from dataclasses import dataclass, field
from typing import Any

from lacewinggw.clients.weights import release_digest
from lacewinggw.ids import Digest


@dataclass(frozen=True)
class LoadedWeights:
    """What was in staging when the load was ordered, complete or not.

    `told` is the digest named in the order, `digest` the one over the chunks really there.
    """

    told: str
    chunk_hashes: tuple[str, ...]
    chunk_count: int

    @property
    def digest(self) -> Digest:
        """The digest over the chunks really there."""
        return release_digest(bytes.fromhex(each) for each in self.chunk_hashes)

    @property
    def whole(self) -> bool:
        """Whether these are all the chunks of what was ordered."""
        return len(self.chunk_hashes) == self.chunk_count and self.digest == self.told


@dataclass
class EngineWeights:
    """Staging, memory and what is active. Only hashes are kept: no engine runs on them.

    `activated` has, for each digest that was ever active, the chunks that answers came from.
    """

    staging: dict[str, dict[int, str]] = field(default_factory=dict)
    loaded: dict[str, LoadedWeights] = field(default_factory=dict)
    active: LoadedWeights | None = None
    activated: dict[str, tuple[str, ...]] = field(default_factory=dict)
    staged_bytes: int = 0

    @property
    def active_digest(self) -> str:
        """The digest of what is active, as computed; "" when nothing is."""
        return self.active.digest if self.active else ""

    def stage(self, digest: str, index: int, data: bytes) -> None:
        """Take one chunk, unchecked."""
        self.staging.setdefault(digest, {})[index] = hashlib.sha256(data).hexdigest()
        self.staged_bytes += len(data)

    def load(self, digest: str, chunk_count: int) -> None:
        """Load what is staged, even when it is not whole."""
        staged = sorted(self.staging.get(digest, {}).items())
        hashes = tuple(chunk_hash for _, chunk_hash in staged)
        self.loaded[digest] = LoadedWeights(digest, hashes, chunk_count)

    def activate(self, digest: str) -> bool:
        """Answer from these weights; return whether there are any loaded by that digest."""
        if digest not in self.loaded:
            return False
        self.active = self.loaded[digest]
        self.activated[self.active_digest] = self.active.chunk_hashes
        return True

    def unload(self, digest: str) -> None:
        """Drop what is staged and loaded, active or not."""
        self.staging.pop(digest, None)
        dropped = self.loaded.pop(digest, None)
        if dropped is not None and dropped is self.active:
            self.active = None

    def forget(self) -> None:
        """Lose everything, as a process does that starts anew; what answers came from is kept."""
        self.staging.clear()
        self.loaded.clear()
        self.active = None

    def describe(self) -> dict[str, Any]:
        """Return what is loaded and active, read back from the chunks."""
        loaded = [weights.digest for weights in self.loaded.values()]
        return {"active": self.active_digest, "loaded": loaded}
