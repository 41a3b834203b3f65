"""Stand-in of the origin of weights and of the rate-limited weight store.

Releases are synthetic: chunks are made from a seed whenever they are asked for, so that a source
holds only a bounded cache of bytes. Everything it sends passes its `Link`.
"""

import asyncio
import hashlib
import json
from collections import Counter, OrderedDict
from collections.abc import AsyncIterator
from dataclasses import dataclass, field, fields
from typing import Any

from lacewinggw.generated.messages.ttypes import Manifest
from lacewinggw.lab.link import Link
from lacewinggw.lab.standin import (
    LOOPBACK,
    ControlError,
    Faults,
    RateMeter,
    StandIn,
    refused,
    wait_while,
)
from lacewinggw.platform.weights import manifest_to_json, release_digest
from lacewinggw.wire.http import Request, Response, json_response
from lacewinggw.wire.network import Network

CACHE_BYTES = 128 << 20
CHUNK_BYTES = 1 << 20
RELEASES = "/releases/"
MANIFEST = "/manifest"
MANIFESTS = "/manifests/"
CHUNKS = "/chunks/"


@dataclass
class WeightFaults(Faults):
    """Faults of a source of weights.

    `stall` accepts and then sends nothing until it is lifted, `stall_share` does so to a share of
    the chunks; `corrupt_share` is the share of chunks sent with a flipped byte.
    """

    stall: bool = False
    stall_share: float = 0.0
    corrupt_share: float = 0.0


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


class WeightsStandIn(StandIn):
    """A source of weights behind one link; `requests_per_s` limits it when it is not 0."""

    faults: WeightFaults

    def __init__(
        self,
        network: Network,
        address: str = LOOPBACK,
        seed: int = 0,
        bytes_per_s: float = 0.0,
        requests_per_s: int = 0,
    ) -> None:
        super().__init__(network, address, seed)
        self.faults = WeightFaults()
        self.link = Link(bytes_per_s)
        self.requests = RateMeter()
        self.refused = 0
        self.corrupted = 0
        self.stalled = 0
        self.sent_by_chunk: Counter[str] = Counter()
        self._requests_per_s = requests_per_s
        self._book = ReleaseBook()

    def add_release(self, release: SyntheticRelease) -> Manifest:
        """Make a release and return its manifest."""
        return self._book.add(release)

    def copies(self, name: str) -> float:
        """Return how often a release's bytes were sent: bytes of its chunks over its size."""
        manifest = self._book.manifests[name]
        return self._sent_bytes(manifest) / sum(manifest.chunk_sizes)

    def stats(self) -> dict[str, Any]:
        """Return the bytes sent, in all and by release, and counts of requests and faults."""
        releases = {
            name: {"sent_bytes": self._sent_bytes(manifest), "copies": self.copies(name)}
            for name, manifest in self._book.manifests.items()
        }
        return {
            "sent_bytes": self.link.sent_bytes,
            "requests": self.requests.stats(),
            "refused": self.refused,
            "corrupted": self.corrupted,
            "stalled": self.stalled,
            "releases": releases,
        }

    def control(self, values: dict[str, Any]) -> None:
        """Set faults by name; `bytes_per_s` sets the rate of the link."""
        rate = values.pop("bytes_per_s", None)
        super().control(values)
        if rate is not None:
            self.link.bytes_per_s = float(rate)

    async def answer(self, request: Request) -> Response:
        """Answer for a manifest or a chunk, or make a release."""
        if (request.method, request.path) == ("POST", "/releases"):
            release = SyntheticRelease.from_json(json.loads(request.body))
            return json_response(200, manifest_to_json(self.add_release(release)))
        if self._requests_per_s and self.requests.current() >= self._requests_per_s:
            self.refused += 1
            return refused(429, "over the request rate of the source", 1.0)
        self.requests.add()
        match request.method, request.path:
            case "GET", path if path.startswith(RELEASES) and path.endswith(MANIFEST):
                name = path.removeprefix(RELEASES).removesuffix(MANIFEST)
                return _answer_manifest(self._book.manifests.get(name))
            case "GET", path if path.startswith(MANIFESTS):
                return _answer_manifest(self._book.by_digest(path.removeprefix(MANIFESTS)))
            case "GET", path if path.startswith(CHUNKS):
                return self._answer_chunk(path.removeprefix(CHUNKS))
        return refused(404, f"no {request.method} {request.path}")

    def _answer_chunk(self, chunk_hash: str) -> Response:
        data = self._book.chunk(chunk_hash)
        if data is None:
            return refused(404, f"no chunk {chunk_hash}")
        if self.happens(self.faults.corrupt_share):
            self.corrupted += 1
            data = flip_byte(data, self.rng.randrange(len(data)))
        return Response(200, {}, self._send(chunk_hash, data))

    async def _send(self, chunk_hash: str, data: bytes) -> AsyncIterator[bytes]:
        if self.happens(self.faults.stall_share):
            self.stalled += 1
            await wait_while(lambda: self.faults.stall_share > 0)
        async for piece in self.link.slices(data):
            if self.faults.stall:
                self.stalled += 1
                await wait_while(lambda: self.faults.stall)
            self.sent_by_chunk[chunk_hash] += len(piece)
            yield piece
            await asyncio.sleep(0)

    def _sent_bytes(self, manifest: Manifest) -> int:
        hashes = {chunk_hash.hex() for chunk_hash in manifest.chunk_hashes}
        return sum(self.sent_by_chunk[chunk_hash] for chunk_hash in hashes)


def flip_byte(data: bytes, at: int) -> bytes:
    """Return the data with one byte inverted."""
    return data[:at] + bytes([data[at] ^ 0xFF]) + data[at + 1 :]


def _answer_manifest(manifest: Manifest | None) -> Response:
    if manifest is None:
        return refused(404, "no such manifest")
    return json_response(200, manifest_to_json(manifest))
