"""The weights on this host: the due releases, their progress and their chunks.

spreader = Spreader.from_config(settings, node, origin, store, metrics, rng)
await spreader.start()
spreader.set_members(members)
spreader.set_due({digest: DueRelease(name, digest, hosts, Prefer.TIME)})
manifest = await spreader.wait_complete(digest)
data = spreader.chunk(digest, 0)
"""

import asyncio
import random
from collections.abc import Mapping, Sequence
from dataclasses import replace

from lacewinggw.agent.chunks import ChunkStore
from lacewinggw.agent.downloads import (
    DownloadContext,
    LocalChunks,
    MakeSpread,
    OnChunk,
    ReleaseDownload,
    WeightSource,
)
from lacewinggw.agent.links import BURST_S, CATCH_UP_S, LiveTrafficMeter, Pacer
from lacewinggw.agent.manifests import CheckManifest, ManifestFinder, check_manifest
from lacewinggw.agent.mesh import Mesh
from lacewinggw.agent.topologies import DueRelease, TopologyPlanner, TopologyTracker
from lacewinggw.agent.uploads import Uploader
from lacewinggw.background import Background
from lacewinggw.clients.membership import Member
from lacewinggw.decisions.chunkscheduler import DECIDE_INTERVAL_S, DownloadStatus, FetchMode
from lacewinggw.decisions.chunksources import SpreadRules
from lacewinggw.decisions.topology import ReleaseHost
from lacewinggw.decisions.uploads import UploadRequest
from lacewinggw.errors import ChunkNotHeld, UnknownDigest
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.generated.settings.ttypes import Settings
from lacewinggw.ids import Digest, HostId, Place
from lacewinggw.metrics import Metrics
from lacewinggw.wire.peers import Exchange, PeerNode

MS_PER_S = 1000.0
PERCENT = 100.0
ANNOUNCE_INTERVAL_S = 0.01
HAVE_MAP_REQUEST_INTERVAL_S = 1.0


def spread_rules(settings: Settings, has_store: bool = True) -> SpreadRules:
    """Return the constants of the scheduling policy from the settings."""
    spread, agent = settings.spread, settings.agent
    return SpreadRules(
        link_bytes_per_s=agent.link_bytes_per_s * agent.weights_share_percent / PERCENT,
        in_flight=spread.in_flight,
        in_flight_total=spread.in_flight_total,
        patience_s=spread.patience_ms / MS_PER_S,
        stall_s=spread.stall_ms / MS_PER_S,
        corrupt_limit=spread.corrupt_limit,
        silence_s=spread.silence_ms / MS_PER_S,
        source_backoff_limit_s=spread.origin_backoff_ms / MS_PER_S,
        has_store=has_store,
    )


class Spreader:
    """Downloads and uploads the releases due on this host."""

    def __init__(
        self,
        settings: Settings,
        node: PeerNode,
        origin: WeightSource,
        store: WeightSource | None,
        metrics: Metrics,
        rng: random.Random,
        check: CheckManifest = check_manifest,
        local: LocalChunks | None = None,
    ) -> None:
        agent = settings.agent
        self.live_traffic = LiveTrafficMeter(
            agent.link_bytes_per_s, agent.weights_share_percent / PERCENT
        )
        self._settings = settings.spread
        self._node = node
        self._place = Place(settings.process.place)
        self._chunks = ChunkStore()
        self._mesh = Mesh(node, self._link_up, self._link_down)
        me = ReleaseHost(HostId(settings.process.host), self._place)
        self._topologies = TopologyTracker(me, settings.spread, self._mesh, self._bad_sources)
        self._context = DownloadContext(
            chunks=self._chunks,
            mesh=self._mesh,
            origin=origin,
            store=store,
            downlink=Pacer(self.live_traffic.weights_rate, BURST_S),
            place=self._place,
            rules=spread_rules(settings, has_store=store is not None),
            rng=rng,
            metrics=metrics,
        )
        self.uploader = Uploader(
            Pacer(self.live_traffic.weights_rate, CATCH_UP_S),
            self.live_traffic.weights_rate,
            2 * self._settings.in_flight,
            self._find_chunk,
            self._held_by,
            self._note_upload,
            metrics,
        )
        retry_limit_s = self._settings.origin_backoff_ms / MS_PER_S
        self._manifest_finder = ManifestFinder(origin, rng, check, retry_limit_s)
        self._local = local
        self._sent_bytes = metrics.counter("weights_sent_bytes")
        metrics.read_gauge("weights_memory_bytes", lambda: self._chunks.held_bytes)
        metrics.read_gauge("peer_sent_bytes", lambda: node.sent_bytes)
        self._due: dict[Digest, DueRelease] = {}
        self._modes: dict[Digest, FetchMode] = {}
        self._downloads: dict[Digest, ReleaseDownload] = {}
        self._searches: dict[Digest, asyncio.Task[None]] = {}
        self._download_added = asyncio.Condition()
        self._on_chunk: list[OnChunk] = []
        self._loop = Background("spread", self._run)

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        node: PeerNode,
        origin: WeightSource,
        store: WeightSource | None,
        metrics: Metrics,
        rng: random.Random,
        check: CheckManifest = check_manifest,
        local: LocalChunks | None = None,
    ) -> "Spreader":
        """Build the spreader that the settings describe.

        `check` verifies a manifest; `local` provides chunks that were on this host before.
        """
        return cls(settings, node, origin, store, metrics, rng, check, local)

    def use_policy(self, plan: TopologyPlanner, make_spread: MakeSpread) -> None:
        """Use another policy from the next release on, for comparisons."""
        self._topologies.plan_override = plan
        self._context = replace(self._context, make_spread=make_spread)

    def set_origin_rate(self, bytes_per_s: float) -> None:
        """Set the rate of the origin's link that releases due from now on assume."""
        rules = replace(self._context.rules, origin_bytes_per_s=bytes_per_s)
        self._context = replace(self._context, rules=rules)

    async def start(self) -> None:
        """Start downloading and uploading."""
        await self.uploader.start()
        self._loop.start()

    async def close(self) -> None:
        """Stop downloading and uploading."""
        for digest in list(self._due):
            self._stop(digest)
        self._mesh.close()
        await self.uploader.close()
        await self._loop.close()

    # ---- due releases ---------------------------------------------------------------------

    def set_members(self, members: Sequence[Member]) -> None:
        """Set the list of live hosts."""
        self._topologies.set_members(members)
        self._derive_topologies()

    def set_due(
        self, due: Mapping[Digest, DueRelease], modes: Mapping[Digest, FetchMode] | None = None
    ) -> None:
        """Set the releases due on this host.

        Those no longer due stop at once; chunks that the others share with them stay. `modes`
        says of which ones only a part is requested, or nothing.
        """
        self._modes = dict(modes or {})
        for digest, download in self._downloads.items():
            download.set_mode(self._mode(digest))
        for digest in self._due.keys() - due.keys():
            self._stop(digest)
        if due == self._due:
            return
        added = due.keys() - self._due.keys()
        self._due = dict(due)
        self._derive_topologies()
        for digest in added:
            task = asyncio.get_running_loop().create_task(self._find_manifest(due[digest]))
            self._searches[digest] = task
        self._drop_unused_chunks()

    def _mode(self, digest: Digest) -> FetchMode:
        return self._modes.get(digest, FetchMode.ALL)

    async def add_local_chunks(self) -> None:
        """Add again the chunks that were on this host, for releases that are incomplete."""
        if self._local is None:
            return
        for download in list(self._downloads.values()):
            if not download.complete.is_set():
                await download.add_local_chunks(self._local)

    def _stop(self, digest: Digest) -> None:
        self._due.pop(digest, None)
        self._topologies.topologies.pop(digest, None)
        search = self._searches.pop(digest, None)
        if search is not None:
            search.cancel()
        download = self._downloads.pop(digest, None)
        if download is not None:
            download.close()
        self.uploader.forget(digest)

    def _drop_unused_chunks(self) -> None:
        """Free chunks of releases no longer due, once all due releases have a manifest."""
        if self._due.keys() == self._downloads.keys():
            downloads = self._downloads.values()
            self._chunks.keep_only(h for each in downloads for h in each.manifest.chunk_hashes)

    async def _find_manifest(self, due: DueRelease) -> None:
        manifest = await self._manifest_finder.find(
            due.digest, lambda: self._topologies.turn_at_origin(due.digest)
        )
        download = ReleaseDownload(
            manifest, self._context, self._notify_chunk, lambda: self.uploader.waiting
        )
        if self._local is not None:
            await download.add_local_chunks(self._local)
        download.set_mode(self._mode(due.digest))
        self._downloads[due.digest] = download
        self._searches.pop(due.digest, None)
        download.add_shared_chunks()
        self._drop_unused_chunks()
        topology = self._topologies.topologies.get(due.digest)
        if topology is not None:
            download.set_topology(topology)
            for host in topology.neighbours:
                download.request_have_map(host)
        async with self._download_added:
            self._download_added.notify_all()

    # ---- chunks ---------------------------------------------------------------------------

    async def wait_complete(self, digest: Digest) -> messages.Manifest:
        """Wait until every chunk of a due release is verified, and return its manifest."""
        async with self._download_added:
            await self._download_added.wait_for(lambda: digest in self._downloads)
        download = self._downloads[digest]
        await download.complete.wait()
        return download.manifest

    def chunk(self, digest: Digest, index: int) -> bytes:
        """Return a verified chunk; raise `ChunkNotHeld` if it is not held."""
        data = self._find_chunk(digest, index)
        if data is None:
            raise ChunkNotHeld(f"chunk {index} of {digest} is not here")
        return data

    def manifest(self, digest: Digest) -> messages.Manifest | None:
        """Return the manifest of a due release, None until it is known."""
        download = self._downloads.get(digest)
        return download.manifest if download else None

    def held_fraction(self, digest: Digest) -> float:
        """Return the fraction of a due release's chunks that are verified, from 0 to 1."""
        download = self._downloads.get(digest)
        if download is None or not download.spread.chunk_count:
            return 0.0
        return len(download.spread.held) / download.spread.chunk_count

    def reachable_fraction(self, digest: Digest) -> float:
        """Return the fraction of a due release that this host and its neighbours hold together."""
        download = self._downloads.get(digest)
        if download is None or not download.spread.chunk_count:
            return 0.0
        return download.spread.reachable_count / download.spread.chunk_count

    @property
    def is_source_failing(self) -> bool:
        """Whether the sources failed recently for a release that is being fetched."""
        now = asyncio.get_running_loop().time()
        return any(each.spread.is_source_failing(now) for each in self._downloads.values())

    def chunk_count(self, digest: Digest) -> int:
        """Return how many chunks a due release has, 0 until its manifest is known."""
        download = self._downloads.get(digest)
        return download.spread.chunk_count if download else 0

    def status(self, digest: Digest) -> DownloadStatus | None:
        """Return what is held and requested of a due release, None until its manifest is known."""
        download = self._downloads.get(digest)
        return download.spread.status() if download else None

    @property
    def manifest_error(self) -> str:
        """The last failure of a lookup of a manifest, empty after a success."""
        return self._manifest_finder.last_error

    def held(self, digest: Digest) -> frozenset[int]:
        """Return the indexes of the verified chunks of a release."""
        download = self._downloads.get(digest)
        return frozenset(download.spread.held) if download else frozenset()

    def on_chunk(self, callback: OnChunk) -> None:
        """Call `callback` with digest and index of each chunk that is verified from now on."""
        self._on_chunk.append(callback)

    def reports(self) -> list[messages.SpreadReport]:
        """Return the progress of each release due on this host."""
        return [self._report(due) for due in self._due.values()]

    def _report(self, due: DueRelease) -> messages.SpreadReport:
        download = self._downloads.get(due.digest)
        if download is not None:
            return download.report()
        return messages.SpreadReport(
            due.name,
            due.digest,
            0,
            0,
            0,
            0,
            0,
            0,
            0,
            0,
            0,
            [],
            0.0,
            self._manifest_finder.last_error,
        )

    def _find_chunk(self, digest: Digest, index: int) -> bytes | None:
        download = self._downloads.get(digest)
        if download is None or index not in download.spread.held:
            return None
        return self._chunks.get(download.manifest.chunk_hashes[index])

    def _held_by(self, host: HostId, digest: Digest) -> int:
        download = self._downloads.get(digest)
        state = download.spread.neighbours.get(host) if download else None
        return len(state.chunks) if state else 0

    def _notify_chunk(self, digest: Digest, index: int) -> None:
        for callback in self._on_chunk:
            callback(digest, index)

    def _note_upload(self, digest: Digest, size: int) -> None:
        download = self._downloads.get(digest)
        if download is not None:
            download.traffic.uploaded_bytes += size
        self._sent_bytes.add(size)

    # ---- messages of other hosts ----------------------------------------------------------

    async def handle(self, exchange: Exchange) -> None:
        """Handle another host's requests for manifests and chunks, cancellations and have maps."""
        match exchange.message:
            case messages.Have() as have:
                self._handle_have(exchange, have)
            case messages.FetchChunk() as fetch:
                remote = exchange.link.remote
                request = UploadRequest(
                    HostId(remote.host),
                    Digest(fetch.digest),
                    fetch.index,
                    remote=remote.place != self._place,
                )
                await self.uploader.serve(exchange, request)
            case messages.CancelChunk() as cancel:
                host = HostId(exchange.link.remote.host)
                self.uploader.cancel(UploadRequest(host, Digest(cancel.digest), cancel.index))
            case messages.FetchManifest() as fetch:
                download = self._downloads.get(Digest(fetch.digest))
                if download is None:
                    raise UnknownDigest(f"the manifest of {fetch.digest} is not known here yet")
                exchange.finish(messages.ManifestData(download.manifest))

    def _handle_have(self, exchange: Exchange, have: messages.Have) -> None:
        digest = Digest(have.digest)
        if digest not in self._due:
            return
        self._mesh.register(exchange.link)
        download = self._downloads.get(digest)
        if download is not None:
            download.handle_have(exchange.link.remote, have)
        elif have.bitmap:
            self._manifest_finder.add_holder(digest, exchange.link)

    def _link_up(self, host: HostId) -> None:
        link = self._mesh.link(host)
        for digest, topology in self._topologies.topologies.items():
            if host not in topology.neighbours or link is None:
                continue
            if digest in self._downloads:
                self._downloads[digest].request_have_map(host)
            else:
                link.notify(messages.Have(digest, 0, bitmap=b"", added=[]))

    def _link_down(self, host: HostId) -> None:
        for download in self._downloads.values():
            download.neighbour_down(host)
        self._derive_topologies()

    def _derive_topologies(self) -> None:
        self._topologies.derive(self._due)
        for digest, download in self._downloads.items():
            download.set_topology(self._topologies.topologies[digest])

    def _bad_sources(self, digest: Digest) -> list[str]:
        download = self._downloads.get(digest)
        return download.spread.bad_sources if download else []

    async def _run(self) -> None:
        """Announce often, decide at every tick, and request missing have maps at an interval."""
        loop = asyncio.get_running_loop()
        tick_at = request_at = loop.time()
        while True:
            await asyncio.sleep(ANNOUNCE_INTERVAL_S if self._is_busy else DECIDE_INTERVAL_S)
            for download in list(self._downloads.values()):
                download.announce()
            if loop.time() < tick_at:
                continue
            tick_at = loop.time() + DECIDE_INTERVAL_S
            self._tick()
            if loop.time() >= request_at:
                request_at = loop.time() + HAVE_MAP_REQUEST_INTERVAL_S
                self._request_missing_have_maps()

    @property
    def _is_busy(self) -> bool:
        return any(
            not each.spread.is_complete and self._mode(digest) is not FetchMode.NONE
            for digest, each in self._downloads.items()
        )

    def _tick(self) -> None:
        if self._topologies.is_outdated():
            self._derive_topologies()
        self._mesh.dial()
        for download in list(self._downloads.values()):
            download.advance()

    def _request_missing_have_maps(self) -> None:
        for digest, download in self._downloads.items():
            download.request_missing_have_maps(self._topologies.topologies[digest].neighbours)
