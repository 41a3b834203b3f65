"""Download of one release to this host: requests, cancellations, checks and announcements."""

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from lacewinggw.agent.bitmaps import decode_bitmap, encode_bitmap
from lacewinggw.agent.chunks import ChunkStore
from lacewinggw.agent.failures import classify_failure, retry_reason
from lacewinggw.agent.links import Pacer
from lacewinggw.agent.mesh import Mesh
from lacewinggw.decisions.chunkscheduler import (
    CancelRequest,
    ChunkScheduler,
    FetchMode,
    RequestChunk,
)
from lacewinggw.decisions.chunksources import (
    Neighbour,
    Origin,
    Source,
    SpreadRules,
    Store,
)
from lacewinggw.decisions.topology import Topology
from lacewinggw.errors import (
    CorruptChunk,
    LacewingError,
    LinkBusy,
    NoSource,
)
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.ids import Digest, HostId, Incarnation, Place
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics, RetryReason
from lacewinggw.wire.peers import Identity

MISSING_CHUNKS_LISTED = 5

log = get_logger(__name__)


class WeightSource(Protocol):
    """A source of manifests and chunks: the origin or the weight store."""

    async def manifest_by_digest(self, digest: Digest) -> messages.Manifest:
        """Return the manifest of a digest."""

    async def fetch(self, manifest: messages.Manifest, index: int) -> bytes:
        """Return the bytes that the source sends for a chunk, without checking their hash."""


class LocalChunks(Protocol):
    """Chunks that were on this host before this process started."""

    async def read(self, digest: Digest) -> Mapping[int, bytes]:
        """Return possible chunks of a release by index, unchecked; empty if in doubt."""


@dataclass
class Traffic:
    """Bytes of one release received and sent by this host, by source and destination."""

    origin_bytes: int = 0
    store_bytes: int = 0
    downloaded_bytes: int = 0
    uploaded_bytes: int = 0
    cross_place_bytes: int = 0


MakeSpread = Callable[
    [Sequence[int], SpreadRules, Place, random.Random, float],
    ChunkScheduler,
]


@dataclass(frozen=True)
class DownloadContext:
    """Dependencies that the downloads of all releases share.

    `make_spread` builds the scheduling policy of one release.
    """

    metrics: Metrics

    chunks: ChunkStore
    mesh: Mesh
    origin: WeightSource
    store: WeightSource | None
    downlink: Pacer
    place: Place
    rules: SpreadRules
    rng: random.Random
    make_spread: MakeSpread = ChunkScheduler


OnChunk = Callable[[Digest, int], None]


class ReleaseDownload:
    """Downloads one release to this host, once its manifest is known."""

    def __init__(
        self,
        manifest: messages.Manifest,
        context: DownloadContext,
        on_chunk: OnChunk,
        count_waiting_uploads: Callable[[], int],
    ) -> None:
        self.manifest = manifest
        self.digest = Digest(manifest.digest)
        self.traffic = Traffic()
        self.complete = asyncio.Event()
        self._context = context
        self._on_chunk = on_chunk
        self._count_waiting_uploads = count_waiting_uploads
        self._scheduler = context.make_spread(
            manifest.chunk_sizes, context.rules, context.place, context.rng, _now()
        )
        self._started_at = _now()
        self._ended_at: float | None = None
        self._fetches: dict[tuple[Source, int], asyncio.Task[None]] = {}
        self._unannounced: list[int] = []
        self._sequence = 0
        self._closed = False

    @property
    def spread(self) -> ChunkScheduler:
        """The scheduling policy of the release, with its state."""
        return self._scheduler

    def set_mode(self, mode: FetchMode) -> None:
        """Set what is requested of the release from now on."""
        self._scheduler.set_mode(mode, _now())

    def close(self) -> None:
        """Cancel the requests in flight and request no further chunks."""
        self._closed = True
        for (source, index), task in list(self._fetches.items()):
            task.cancel()
            self._notify_cancelled(source, index)
        self._fetches.clear()

    def add_shared_chunks(self) -> None:
        """Add the chunks that are held because another release shares them."""
        for index, chunk_hash in enumerate(self.manifest.chunk_hashes):
            if chunk_hash in self._context.chunks:
                self._add_chunk(None, index)

    async def add_local_chunks(self, local: LocalChunks) -> None:
        """Add the chunks that were on this host before, if they match their hash."""
        for index, data in (await local.read(self.digest)).items():
            if index >= self._scheduler.chunk_count or index in self._scheduler.held:
                continue
            if await self._context.chunks.put(self.manifest.chunk_hashes[index], data):
                self._add_chunk(None, index)

    def set_topology(self, topology: Topology) -> None:
        """Set the topology of the hosts that must hold the release."""
        self._scheduler.set_topology(topology, _now())
        self.advance()

    # ---- neighbours -----------------------------------------------------------------------

    def request_have_map(self, host: HostId) -> None:
        """Send a neighbour the have map of this host and request its own."""
        link = self._context.mesh.link(host)
        if link is not None:
            link.notify(self._full_have_map(wants_reply=True))

    def request_missing_have_maps(self, hosts: frozenset[HostId]) -> None:
        """Request the have map of each of `hosts` that has not sent one."""
        for host in hosts:
            state = self._scheduler.neighbours.get(host)
            if state is None or not state.has_reported:
                self.request_have_map(host)

    def neighbour_down(self, host: HostId) -> None:
        """Remove a neighbour whose link is closed."""
        self._scheduler.remove_neighbour(host)
        self.advance()

    def handle_have(self, remote: Identity, have: messages.Have) -> None:
        """Record the chunks that a neighbour reports as held."""
        host = HostId(remote.host)
        self._scheduler.add_neighbour(host, Place(remote.place), Incarnation(remote.incarnation))
        indexes = decode_bitmap(have.bitmap) if have.bitmap is not None else have.added or []
        self._scheduler.record_held_chunks(host, indexes, _now(), have.waiting)
        link = self._context.mesh.link(host)
        if have.wants_reply and link is not None:
            link.notify(self._full_have_map(wants_reply=False))
        self.advance()

    def announce(self) -> None:
        """Send the neighbours the chunks added since the last announcement."""
        new_indexes, self._unannounced = self._unannounced, []
        if not new_indexes:
            return
        for host, state in self._scheduler.neighbours.items():
            update = [index for index in new_indexes if index not in state.chunks]
            link = self._context.mesh.link(host)
            if update and link is not None:
                have = messages.Have(
                    self.digest,
                    self._next_sequence(),
                    added=update,
                    waiting=self._count_waiting_uploads(),
                )
                link.notify(have)

    def _full_have_map(self, wants_reply: bool) -> messages.Have:
        bitmap = encode_bitmap(self._scheduler.held, self._scheduler.chunk_count)
        return messages.Have(
            self.digest,
            self._next_sequence(),
            bitmap,
            added=[],
            wants_reply=wants_reply,
            waiting=self._count_waiting_uploads(),
        )

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    # ---- chunks ---------------------------------------------------------------------------

    def advance(self) -> None:
        """Execute the actions that the policy decides on now."""
        if self._closed:
            return
        for action in self._scheduler.decide(_now()):
            match action:
                case RequestChunk(source, index):
                    task = asyncio.get_running_loop().create_task(self._fetch(action))
                    self._fetches[source, index] = task
                case CancelRequest(source, index):
                    self._context.metrics.retry(RetryReason.CHUNK_STALLED)
                    self._cancel(source, index)

    async def _fetch(self, request: RequestChunk) -> None:
        source, index = request.source, request.index
        try:
            data = await self._receive(request)
            if not await self._context.chunks.put(self.manifest.chunk_hashes[index], data):
                raise CorruptChunk(f"chunk {index} of {self.digest} from {source}")
            await self._context.downlink.receive(len(data))
        except LacewingError as error:
            self._fetches.pop((source, index), None)
            self._record_failure(source, index, error)
        else:
            self._fetches.pop((source, index), None)
            self._count_bytes(source, len(data))
            self._add_chunk(source, index)
        self.advance()

    async def _receive(self, request: RequestChunk) -> bytes:
        match request.source:
            case Neighbour(host):
                return await self._receive_from(host, request)
            case Origin():
                source = self._context.origin
            case Store():
                assert (
                    self._context.store is not None
                ), "the policy chose a weight store that does not exist"
                source = self._context.store
        return await source.fetch(self.manifest, request.index)

    async def _receive_from(self, host: HostId, request: RequestChunk) -> bytes:
        link = self._context.mesh.link(host)
        if link is None:
            raise LinkBusy(f"the link to {host} is closed")
        size = self.manifest.chunk_sizes[request.index]
        call = link.start_call(messages.FetchChunk(self.digest, request.index, request.endgame))
        received = bytearray()
        try:
            async for piece in call.replies():
                received += piece.data
                if len(received) > size:
                    raise CorruptChunk(
                        f"chunk {request.index} from {host} is longer than the manifest says"
                    )
                self._scheduler.record_progress(request.source, request.index, _now())
        finally:
            call.abandon()
        return bytes(received)

    def _record_failure(self, source: Source, index: int, error: LacewingError) -> None:
        failure = classify_failure(error)
        log.info(
            "chunk_failed", source=str(source), index=index, failure=failure.value, error=error
        )
        self._context.metrics.retry(retry_reason(source, failure))
        self._scheduler.record_failure(source, index, failure, _now())

    def _add_chunk(self, source: Source | None, index: int) -> None:
        """Add a verified chunk at every index of the release that has the same hash."""
        new_hash = self.manifest.chunk_hashes[index]
        for each, chunk_hash in enumerate(self.manifest.chunk_hashes):
            if chunk_hash != new_hash or each in self._scheduler.held:
                continue
            for cancel in self._scheduler.record_arrival(
                source if each == index else None, each, _now()
            ):
                self._cancel(cancel.source, cancel.index)
            self._unannounced.append(each)
            self._on_chunk(self.digest, each)
        if self._scheduler.is_complete and not self.complete.is_set():
            self._ended_at = _now()
            self.complete.set()

    def _count_bytes(self, source: Source, size: int) -> None:
        self.traffic.downloaded_bytes += size
        self._context.metrics.count("weights_bytes", size, source=self._source_kind(source))
        match source:
            case Origin():
                self.traffic.origin_bytes += size
            case Store():
                self.traffic.store_bytes += size
            case Neighbour(host) if self._is_in_other_place(host):
                self.traffic.cross_place_bytes += size

    def _source_kind(self, source: Source) -> str:
        match source:
            case Origin():
                return "origin"
            case Store():
                return "store"
            case Neighbour(host):
                return "other-place" if self._is_in_other_place(host) else "neighbour"

    def _is_in_other_place(self, host: HostId) -> bool:
        state = self._scheduler.neighbours.get(host)
        return state is not None and state.place != self._context.place

    def _cancel(self, source: Source, index: int) -> None:
        task = self._fetches.pop((source, index), None)
        if task is not None:
            task.cancel()
        self._notify_cancelled(source, index)

    def _notify_cancelled(self, source: Source, index: int) -> None:
        if isinstance(source, Neighbour):
            link = self._context.mesh.link(source.host)
            if link is not None:
                link.notify(messages.CancelChunk(self.digest, index))

    # ---- report ---------------------------------------------------------------------------

    def report(self) -> messages.SpreadReport:
        """Return the progress of this release on this host."""
        ended_at = self._ended_at if self._ended_at is not None else _now()
        elapsed = max(ended_at - self._started_at, 1e-3)
        return messages.SpreadReport(
            release=self.manifest.name,
            digest=self.digest,
            chunks_held=len(self._scheduler.held),
            chunk_count=self._scheduler.chunk_count,
            origin_bytes=self.traffic.origin_bytes,
            store_bytes=self.traffic.store_bytes,
            downloaded_bytes=self.traffic.downloaded_bytes,
            uploaded_bytes=self.traffic.uploaded_bytes,
            cross_place_bytes=self.traffic.cross_place_bytes,
            stalls=self._scheduler.stalls,
            corrupt_chunks=self._scheduler.corrupt_chunks,
            bad_sources=self._scheduler.bad_sources,
            rate_bytes_per_s=self.traffic.downloaded_bytes / elapsed,
            held_up_by=self._describe_blockage(),
        )

    def _describe_blockage(self) -> str:
        missing = self._scheduler.unavailable_chunks(_now())
        if not missing:
            return ""
        listed = ", ".join(str(index) for index in missing[:MISSING_CHUNKS_LISTED])
        failures = self._scheduler.source_failures
        reason = (
            f"{len(missing)} chunks of {self.manifest.name} are held by no host, first {listed}; "
            f"the origin and the weight store failed {failures} times"
        )
        return str(NoSource(reason))


def _now() -> float:
    return asyncio.get_running_loop().time()
