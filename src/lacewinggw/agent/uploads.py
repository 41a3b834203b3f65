"""Send chunks to the neighbours that ask for them over the paced uplink, a few by turns.

A receiver is sent chunks by as many neighbours at once. If each of them sent one chunk at the full
rate of its link, they would meet as a burst before the receiver's link, and live requests behind
them. By turns each sends at a part of its rate, and the parts add up to about the link.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from lacewinggw.agent.links import Pacer
from lacewinggw.background import Background
from lacewinggw.decisions.uploads import HeldBy, UploadQueue, UploadRequest
from lacewinggw.errors import ChunkNotHeld, ConnectionLost, LacewingError, LinkBusy
from lacewinggw.generated.messages.ttypes import ChunkData
from lacewinggw.ids import Digest
from lacewinggw.metrics import Metrics
from lacewinggw.wire.peers import Exchange

SLICE_S = 0.01  # a live answer waits at most so long behind a slice
MIN_SLICE_BYTES = 4 << 10  # 9 ms of a link of 3.8 Mbit/s, before a live answer gets its turn
MAX_SLICE_BYTES = 256 << 10
DRAIN_TIMEOUT_S = 0.5
# Chunks sent by turns. Modelled for 15 hosts (tests/fleet/spread_links.py): with 1 a slice waits
# 36 ms before the link of its receiver, with 3 it waits 10 ms and all is there 0.1 s later.
CONCURRENT_UPLOADS = 3

FindChunk = Callable[[Digest, int], bytes | None]
OnUpload = Callable[[Digest, int], None]


@dataclass(eq=False)
class _Upload:
    """A request, the exchange that waits for it, and how much of the chunk has been sent."""

    request: UploadRequest
    exchange: Exchange
    done: asyncio.Event
    sent_bytes: int = 0

    @property
    def is_over(self) -> bool:
        """Whether nobody waits for the rest."""
        return self.done.is_set() or self.exchange.link.closed.is_set()


class Uploader:
    """The uplink's queue, and the task that serves it.

    `find` gives a verified chunk, `held_by` tells how many chunks a host has, and `note` is told of
    each upload with its bytes. A receiver that does not drain its connection for `STUCK_S` loses
    its turn, so that it holds up nobody else.
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
        self._stuck = metrics.counter("uploads_stuck")
        self._waiting: dict[UploadRequest, _Upload] = {}
        self._arrived = asyncio.Event()
        self._loop = Background("uploads", self._run)

    @property
    def waiting(self) -> int:
        """How many requests wait or are being served."""
        return len(self._waiting)

    async def start(self) -> None:
        """Begin to serve."""
        self._loop.start()

    async def close(self) -> None:
        """Stop serving."""
        await self._loop.close()

    async def serve(self, exchange: Exchange, request: UploadRequest) -> None:
        """Queue a request and wait until it was served or given up.

        Raises `ChunkNotHeld` for a chunk that is not held and `LinkBusy` when its host has too
        many waiting.
        """
        if self.find_chunk(request.digest, request.index) is None:
            raise ChunkNotHeld(f"chunk {request.index} of {request.digest} is not here")
        if not self._queue.add(request):
            raise LinkBusy(f"{request.host} has too many chunks waiting")
        upload = _Upload(request, exchange, asyncio.Event())
        self._waiting[request] = upload
        self._arrived.set()
        try:
            await upload.done.wait()
        finally:
            self.cancel(request)

    def cancel(self, request: UploadRequest) -> None:
        """Drop a request that has not been served."""
        self._queue.cancel(request)
        upload = self._waiting.pop(request, None)
        if upload is not None:
            upload.done.set()

    def forget(self, digest: Digest) -> None:
        """Drop all that has to do with a release that is no longer due."""
        for request in [each for each in self._waiting if each.digest == digest]:
            self.cancel(request)
        self._queue.forget(digest)

    async def _run(self) -> None:
        turns: deque[_Upload] = deque()
        while True:
            self._start_uploads(turns)
            if not turns:
                self._arrived.clear()
                await self._arrived.wait()
                continue
            upload = turns.popleft()
            if upload.is_over:
                continue
            try:
                is_whole = await self._send_slice(upload)
            except LacewingError as error:
                upload.exchange.finish(error.to_failure())
                upload.done.set()
                continue
            if is_whole:
                upload.done.set()
            else:
                turns.append(upload)

    def _start_uploads(self, turns: deque[_Upload]) -> None:
        """Begin with further chunks, as far as there are turns for them."""
        while len(turns) < CONCURRENT_UPLOADS:
            request = self._queue.take(self._held_by)
            if request is None:
                return
            turns.append(self._waiting[request])

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
            self._stuck.add()
            host = upload.exchange.link.remote.host
            raise ConnectionLost(f"{host} does not take what it asked for") from None

    def _slice_bytes(self) -> int:
        fitting = int(self._rate() * SLICE_S)
        return max(MIN_SLICE_BYTES, min(MAX_SLICE_BYTES, fitting))
