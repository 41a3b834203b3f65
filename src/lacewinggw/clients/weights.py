"""Client of a source of weights: the origin, or the rate-limited weight store."""

import asyncio
import hashlib
from collections.abc import Iterable
from typing import Any

from lacewinggw.clients.calls import MS_PER_S, ServiceCalls, check_status, decode_json, join_path
from lacewinggw.errors import ManifestMismatch, PlatformUnavailable, TimedOut, UnknownDigest
from lacewinggw.generated.messages.ttypes import Manifest
from lacewinggw.generated.settings.ttypes import PlatformSettings
from lacewinggw.ids import Digest, ReleaseName
from lacewinggw.wire.http import HttpClient, HttpError, Response, StreamedResponse
from lacewinggw.wire.network import Network

ORIGIN = "origin"
WEIGHT_STORE = "weight store"
CHUNK_LIMIT_BYTES = 256 << 20
STALL_WINDOW_S = 2.0
MIN_BYTES_PER_S = 4096


def release_digest(chunk_hashes: Iterable[bytes]) -> Digest:
    """Return the digest of a release: the hex SHA-256 of its chunk hashes, in order."""
    return Digest(hashlib.sha256(b"".join(chunk_hashes)).hexdigest())


class TransferRateMonitor:
    """Detects a transfer that stalls or is too slow.

    Every window of `stall_s` seconds must receive at least `min_bytes_per_s` on average.
    """

    def __init__(self, started_at: float, stall_s: float, min_bytes_per_s: int) -> None:
        self._window_start = started_at
        self._stall_s = stall_s
        self._min_window_bytes = min_bytes_per_s * stall_s
        self._received = 0

    def is_too_slow(self, now: float, received: int) -> bool:
        """Count received bytes; return whether a window ends now and received too few."""
        self._received += received
        if now - self._window_start < self._stall_s:
            return False
        is_too_slow = self._received < self._min_window_bytes
        self._window_start, self._received = now, 0
        return is_too_slow


class WeightsClient:
    """Downloads manifests and chunks from one source.

    Raises `PlatformUnavailable`, `PlatformThrottled`, `UnknownDigest` if the source does not have
    the requested item, and `TimedOut` if a transfer stalls. Manifests are verified against their
    digest here. Chunks are returned unverified: the caller checks their hashes.
    """

    def __init__(
        self,
        network: Network,
        address: str,
        service: str,
        timeout_s: float,
        stall_s: float = STALL_WINDOW_S,
        min_bytes_per_s: int = MIN_BYTES_PER_S,
    ) -> None:
        self._http = HttpClient(network)
        self._address = address
        self._service = service
        self._calls = ServiceCalls(self._http, address, service, timeout_s)
        self._stall_s = stall_s
        self._min_bytes_per_s = min_bytes_per_s

    @classmethod
    def for_origin(
        cls, network: Network, settings: PlatformSettings, stall_s: float = STALL_WINDOW_S
    ) -> "WeightsClient":
        """Return a client for the origin address in the settings."""
        return cls(network, settings.origin, ORIGIN, settings.timeout_ms / MS_PER_S, stall_s)

    @classmethod
    def for_weight_store(
        cls, network: Network, settings: PlatformSettings, stall_s: float = STALL_WINDOW_S
    ) -> "WeightsClient":
        """Return a client for the weight store address in the settings."""
        timeout_s = settings.timeout_ms / MS_PER_S
        return cls(network, settings.weight_store, WEIGHT_STORE, timeout_s, stall_s)

    async def start(self) -> None:
        """Do nothing: connections are opened on demand."""

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def manifest(self, name: ReleaseName) -> Manifest:
        """Return the manifest published under a release's name.

        Raises `ManifestMismatch` if it does not match its own digest.
        """
        return self._decode_manifest(await self._calls.read(f"/releases/{name}/manifest"), name)

    async def manifest_by_digest(self, digest: Digest) -> Manifest:
        """Return the manifest with a digest; raise `ManifestMismatch` if it has another one."""
        response = await self._calls.read(f"/manifests/{digest}")
        manifest = self._decode_manifest(response, digest)
        if manifest.digest != digest:
            raise ManifestMismatch(
                f"the {self._service} sent manifest {manifest.digest} for {digest}"
            )
        return manifest

    async def fetch(self, manifest: Manifest, index: int) -> bytes:
        """Download the chunk at an index of a release, without verifying its hash."""
        return await self.chunk(manifest.chunk_hashes[index].hex())

    async def chunk(self, chunk_hash: str) -> bytes:
        """Download the chunk with a hash, without verifying its content."""
        path = join_path(f"/chunks/{chunk_hash}")
        try:
            response = await self._http.stream(self._address, "GET", path, timeout_s=self._stall_s)
            return await self._receive(response, chunk_hash)
        except TimeoutError as error:
            raise TimedOut(
                f"the {self._service} stalled while sending chunk {chunk_hash}"
            ) from error
        except (OSError, HttpError) as error:
            reason = f"reading from the {self._service} failed at chunk {chunk_hash}: {error}"
            raise PlatformUnavailable(reason) from error

    async def _receive(self, response: StreamedResponse, chunk_hash: str) -> bytes:
        try:
            self._check_chunk_status(Response(response.status, response.headers), chunk_hash)
            return await self._receive_body(response)
        finally:
            await response.aclose()

    async def _receive_body(self, response: StreamedResponse) -> bytes:
        loop = asyncio.get_running_loop()
        monitor = TransferRateMonitor(loop.time(), self._stall_s, self._min_bytes_per_s)
        received = bytearray()
        async for data in response.pieces(CHUNK_LIMIT_BYTES):
            received += data
            if monitor.is_too_slow(loop.time(), len(data)):
                raise TimeoutError
        return bytes(received)

    def _check_chunk_status(self, response: Response, chunk_hash: str) -> None:
        check_status(response, self._service)
        if response.status == 404:
            raise UnknownDigest(f"the {self._service} does not have chunk {chunk_hash}")
        if response.status != 200:
            raise self._calls.unexpected_status(response)

    def _decode_manifest(self, response: Response, name_or_digest: str) -> Manifest:
        if response.status == 404:
            raise UnknownDigest(f"the {self._service} has no manifest for {name_or_digest}")
        if response.status != 200:
            raise self._calls.unexpected_status(response)
        manifest = decode_json(response, self._service, _decode_manifest)
        if release_digest(manifest.chunk_hashes) != manifest.digest:
            raise ManifestMismatch(
                f"the manifest for {name_or_digest} does not match its own digest"
            )
        return manifest


def manifest_to_json(manifest: Manifest) -> dict[str, Any]:
    """Return a manifest as the JSON object sent over the network."""
    return {
        "name": manifest.name,
        "digest": manifest.digest,
        "chunk_hashes": [chunk_hash.hex() for chunk_hash in manifest.chunk_hashes],
        "chunk_sizes": manifest.chunk_sizes,
    }


def _decode_manifest(value: dict[str, Any]) -> Manifest:
    hashes = [bytes.fromhex(chunk_hash) for chunk_hash in value["chunk_hashes"]]
    sizes = [int(size) for size in value["chunk_sizes"]]
    if len(hashes) != len(sizes) or min(sizes, default=1) <= 0:
        raise ValueError("chunk hashes and sizes differ in number, or a size is not positive")
    return Manifest(str(value["name"]), str(value["digest"]), hashes, sizes)
