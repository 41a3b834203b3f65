"""Stand-in of the origin of weights and of the rate-limited weight store.

Releases are synthetic, so that a source holds only a bounded cache of bytes. Everything it sends
passes its `Link`.
"""

import asyncio
import json
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

from lacewinggw.clients.weights import manifest_to_json
from lacewinggw.generated.messages.ttypes import Manifest
from lacewinggw.lab.link import Link
from lacewinggw.lab.releases import ReleaseBook, SyntheticRelease
from lacewinggw.lab.standin import (
    LOOPBACK,
    Faults,
    RateMeter,
    StandIn,
    refused,
    wait_while,
)
from lacewinggw.wire.http import Request, Response, json_response
from lacewinggw.wire.network import Network

__all__ = ["SyntheticRelease", "WeightFaults", "WeightsStandIn"]

STALL_STEP_S = 0.25
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
            await wait_while(lambda: self.faults.stall_share > 0, STALL_STEP_S)
        async for piece in self.link.slices(data):
            if self.faults.stall:
                self.stalled += 1
                await wait_while(lambda: self.faults.stall, STALL_STEP_S)
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
