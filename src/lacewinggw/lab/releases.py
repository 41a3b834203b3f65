"""Synthetic releases: chunks made from a seed whenever they are asked for."""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field, fields
from typing import Any

from lacewinggw.clients.weights import release_digest
from lacewinggw.generated.messages.ttypes import Manifest
from lacewinggw.lab.standin import ControlError

CACHE_BYTES = 128 << 20
CHUNK_BYTES = 1 << 20


@dataclass(frozen=True)
class SyntheticRelease:
    """How a release is made: its bytes follow from these values alone.

    The share `shared` of its chunks, spread evenly, is that of the release `shares_with`, which
    must have been made with chunks of the same size.
    """

    name: str
    size_bytes: int
    chunk_bytes: int = CHUNK_BYTES
    seed: int = 0
    shares_with: str = ""
    shared: float = 0.0

    @classmethod
    def from_json(cls, value: dict[str, Any]) -> "SyntheticRelease":
        """Return the release that a JSON object describes; raise `ControlError` for another key."""
        unknown = set(value) - {each.name for each in fields(cls)}
        if unknown:
            raise ControlError(f"a release has no {', '.join(sorted(unknown))}")
        return cls(**value)


@dataclass(frozen=True)
class ChunkRecipe:
    """What a chunk is made from."""

    seed: str
    size: int

    def make(self) -> bytes:
        """Return the chunk's bytes."""
        return hashlib.shake_128(self.seed.encode()).digest(self.size)


def plan_recipes(
    release: SyntheticRelease, shared_with: list[ChunkRecipe] | None = None
) -> list[ChunkRecipe]:
    """Return the recipes of a release's chunks, some of them taken from another release."""
    recipes = []
    for index, start in enumerate(range(0, release.size_bytes, release.chunk_bytes)):
        size = min(release.chunk_bytes, release.size_bytes - start)
        recipe = ChunkRecipe(f"{release.name}/{release.seed}/{index}", size)
        is_shared = int((index + 1) * release.shared) > int(index * release.shared)
        if is_shared and shared_with and index < len(shared_with):
            recipe = shared_with[index]
        recipes.append(recipe)
    return recipes


@dataclass
class ReleaseBook:
    """The releases that a source has, and the bytes of their chunks."""

    manifests: dict[str, Manifest] = field(default_factory=dict)
    recipes: dict[str, list[ChunkRecipe]] = field(default_factory=dict)
    _by_hash: dict[str, ChunkRecipe] = field(default_factory=dict)
    _cache: OrderedDict[str, bytes] = field(default_factory=OrderedDict)
    _cached_bytes: int = 0

    def add(self, release: SyntheticRelease) -> Manifest:
        """Make a release and return its manifest."""
        recipes = plan_recipes(release, self.recipes.get(release.shares_with))
        hashes = [self._register(recipe) for recipe in recipes]
        sizes = [recipe.size for recipe in recipes]
        manifest = Manifest(release.name, release_digest(hashes), hashes, sizes)
        self.recipes[release.name] = recipes
        self.manifests[release.name] = manifest
        return manifest

    def by_digest(self, digest: str) -> Manifest | None:
        """Return the manifest that has a digest."""
        found = (each for each in self.manifests.values() if each.digest == digest)
        return next(found, None)

    def chunk(self, chunk_hash: str) -> bytes | None:
        """Return a chunk's bytes, from the cache or made anew."""
        if chunk_hash in self._cache:
            self._cache.move_to_end(chunk_hash)
            return self._cache[chunk_hash]
        recipe = self._by_hash.get(chunk_hash)
        return self._remember(chunk_hash, recipe.make()) if recipe else None

    def _register(self, recipe: ChunkRecipe) -> bytes:
        data = recipe.make()
        chunk_hash = hashlib.sha256(data).digest()
        self._by_hash[chunk_hash.hex()] = recipe
        self._remember(chunk_hash.hex(), data)
        return chunk_hash

    def _remember(self, chunk_hash: str, data: bytes) -> bytes:
        if chunk_hash not in self._cache:
            self._cache[chunk_hash] = data
            self._cached_bytes += len(data)
        while self._cached_bytes > CACHE_BYTES:
            _, dropped = self._cache.popitem(last=False)
            self._cached_bytes -= len(dropped)
        return data
