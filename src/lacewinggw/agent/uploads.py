"""Upload of chunks to the neighbours that request them, a few interleaved over the paced uplink.

A receiver gets chunks from several neighbours at once. If each of them sent one chunk at the full
rate of its link, the chunks would queue as a burst before the receiver's link, with live requests
behind them. Interleaved, each chunk gets a part of its sender's rate, and the parts add up to about
the rate of the receiver's link. The first copies of a chunk are sent whole before anything else:
all other copies are made from them, and they are few.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from lacewinggw.agent.links import Pacer
from lacewinggw.background import Background
from lacewinggw.decisions.uploads import HeldBy, UploadQueue, UploadRequest
from lacewinggw.errors import ChunkNotHeld, ConnectionLost, LacewingError, LinkBusy
from lacewinggw.generated.messages.ttypes import ChunkData
from lacewinggw.ids import Digest
from lacewinggw.metrics import Metrics
from lacewinggw.wire.peers import Exchange

SLICE_S = 0.01  # the most that a live answer waits behind a slice
MIN_SLICE_BYTES = 4 << 10  # 9 ms on a link of 3.8 Mbit/s, for which a live answer waits
MAX_SLICE_BYTES = 256 << 10
DRAIN_TIMEOUT_S = 0.5
# Chunks sent interleaved. In a model of 15 hosts (tests/fleet/spread_links.py) a slice waits 36 ms
# before its receiver's link with 1, and 10 ms with 3, which completes the release 0.1 s later.
CONCURRENT_UPLOADS = 3

FindChunk = Callable[[Digest, int], bytes | None]
OnUpload = Callable[[Digest, int], None]


@dataclass(eq=False)
class _Upload:
    """A request, the exchange that waits for it, and how much of the chunk was sent."""

    request: UploadRequest
    exchange: Exchange
    done: asyncio.Event
    is_first_copy: bool = False
    sent_bytes: int = 0

    @property
    def is_over(self) -> bool:
        """Whether the receiver no longer waits for the rest."""
        return self.done.is_set() or self.exchange.link.closed.is_set()


class Uploader:
    """Serves the uplink's queue of chunk requests.

    `find_chunk` returns a verified chunk, `held_by` returns how many chunks a host has, and
    `on_upload` is called with the bytes of each slice sent. A receiver that does not drain its
    connection for `DRAIN_TIMEOUT_S` loses its upload, so that it does not delay the others.
    """

    def __init__(
        self,
        pacer: Pacer,
        rate: Callable[[], float],
        max_per_host: int,
        find_chunk: FindChunk,
        held_by: HeldBy,
        on_upload: OnUpload,
        metrics: Metrics,
    ) -> None:
        self._pacer = pacer
        self._rate = rate
        self._queue = UploadQueue(max_per_host)
        self.find_chunk = find_chunk
        self._held_by = held_by
        self._on_upload = on_upload
        self._stuck_uploads = metrics.counter("uploads_stuck")
        self._waiting: dict[UploadRequest, _Upload] = {}
        self._arrived = asyncio.Event()
        self._loop = Background("uploads", self._run)

    @property
    def waiting(self) -> int:
        """The number of requests that wait or are being served."""
        return len(self._waiting)

    async def start(self) -> None:
        """Start serving."""
        self._loop.start()

    async def close(self) -> None:
        """Stop serving."""
        await self._loop.close()

    async def serve(self, exchange: Exchange, request: UploadRequest) -> None:
        """Queue a request and wait until it is served or cancelled.

        Raise `ChunkNotHeld` for a chunk that is not held, and `LinkBusy` if its host has too many
        requests waiting.
        """
        if self.find_chunk(request.digest, request.index) is None:
            raise ChunkNotHeld(f"chunk {request.index} of {request.digest} is not here")
        if not self._queue.add(request):
            raise LinkBusy(f"{request.host} has too many chunk requests waiting")
        upload = _Upload(request, exchange, asyncio.Event())
        self._waiting[request] = upload
        self._arrived.set()
        try:
            await upload.done.wait()
        finally:
            self.cancel(request)

    def cancel(self, request: UploadRequest) -> None:
        """Drop a request that has not been served yet."""
        self._queue.cancel(request)
        upload = self._waiting.pop(request, None)
        if upload is not None:
            upload.done.set()

    def set_order(self, digests: Sequence[Digest]) -> None:
        """Set the releases whose chunks precede those of all others, the first one first."""
        self._queue.set_order(digests)

    def forget(self, digest: Digest) -> None:
        """Drop the requests and the state of a release that is no longer due."""
        for request in [each for each in self._waiting if each.digest == digest]:
            self.cancel(request)
        self._queue.forget(digest)

    async def _run(self) -> None:
        active: deque[_Upload] = deque()
        while True:
            self._start_uploads(active)
            if not active:
                self._arrived.clear()
                await self._arrived.wait()
                continue
            upload = _take_next(active)
            if upload.is_over:
                continue
            try:
                is_complete = await self._send_slice(upload)
            except LacewingError as error:
                upload.exchange.finish(error.to_failure())
                upload.done.set()
                continue
            if is_complete:
                upload.done.set()
            else:
                active.append(upload)

    def _start_uploads(self, active: deque[_Upload]) -> None:
        """Start queued uploads, up to `CONCURRENT_UPLOADS` at once, and all first copies."""
        while True:
            is_first_copy = self._queue.has_first_copy
            if len(active) >= CONCURRENT_UPLOADS and not is_first_copy:
                return
            request = self._queue.take(self._held_by)
            if request is None:
                return
            upload = self._waiting[request]
            upload.is_first_copy = is_first_copy
            active.append(upload)

    async def _send_slice(self, upload: _Upload) -> bool:
        """Send the next slice of a chunk; return whether it was the last."""
        request = upload.request
        data = self.find_chunk(request.digest, request.index)
        if data is None:
            raise ChunkNotHeld(f"chunk {request.index} of {request.digest} is not here")
        piece = data[upload.sent_bytes : upload.sent_bytes + self._slice_bytes()]
        await self._pacer.send(len(piece))
        if upload.is_over:
            return True
        upload.sent_bytes += len(piece)
        message = ChunkData(request.digest, request.index, piece)
        is_last = upload.sent_bytes >= len(data)
        if is_last:
            upload.exchange.finish(message)
        else:
            upload.exchange.reply(message)
        self._on_upload(request.digest, len(piece))
        await self._drain(upload)
        return is_last

    async def _drain(self, upload: _Upload) -> None:
        try:
            async with asyncio.timeout(DRAIN_TIMEOUT_S):
                await upload.exchange.link.drain()
        except TimeoutError:
            self._stuck_uploads.add()
            host = upload.exchange.link.remote.host
            raise ConnectionLost(f"{host} does not read the chunk that it requested") from None

    def _slice_bytes(self) -> int:
        slice_bytes = int(self._rate() * SLICE_S)
        return max(MIN_SLICE_BYTES, min(MAX_SLICE_BYTES, slice_bytes))


def _take_next(active: deque[_Upload]) -> _Upload:
    """Remove and return the upload that sends the next slice: the oldest first copy, or in turn."""
    upload = next((each for each in active if each.is_first_copy), active[0])
    active.remove(upload)
    return upload
