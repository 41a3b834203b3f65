"""Loading of the due version into the target on this host.

Each step starts from what the target itself reports: stage the missing pieces, read every piece
back and compare its hash, and give the order. An order without a response is not repeated: the next
report shows its result.
"""

import hashlib
from collections.abc import Mapping

from lacewinggw.agent.weights import Spreader
from lacewinggw.errors import TargetUnreachable
from lacewinggw.generated.messages.ttypes import Manifest
from lacewinggw.ids import Digest, ModelName
from lacewinggw.loader.releases import release_of, split_release
from lacewinggw.loader.target import (
    LoadableReport,
    LoadableTarget,
    OrderOutcome,
    StagedLoadOrder,
    SwitchMode,
)
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics, RetryReason

log = get_logger(__name__)


class StagedChunks:
    """The pieces staged at the target, as chunks that were on this host before."""

    def __init__(self, target: LoadableTarget) -> None:
        self._target = target
        self._read_failed = False

    @property
    def read_failed(self) -> bool:
        """Whether the target did not answer the last attempt to read its pieces."""
        return self._read_failed

    async def read(self, digest: Digest) -> Mapping[int, bytes]:
        """Return every staged piece of the release's model; pieces may be of another version."""
        model, _ = split_release(digest)
        found: dict[int, bytes] = {}
        self._read_failed = False
        try:
            for index in sorted(await self._target.staged(model)):
                data = await self._target.read_piece(model, index)
                if data is not None:
                    found[index] = data
        except TargetUnreachable as error:
            self._read_failed = True
            log.info("staged_pieces_unread", error=error)
        return found


class TargetLoader:
    """Loads a version into one target, step by step."""

    def __init__(self, target: LoadableTarget, spreader: Spreader, metrics: Metrics) -> None:
        self._target = target
        self._spreader = spreader
        self._metrics = metrics
        self._orders = metrics.counter("load_orders")
        self._replaced_pieces = metrics.counter("staged_pieces_replaced")
        # Pieces of `_staged_release` that this process staged or read.
        self._staged: set[int] = set()
        self._staged_release: Digest | None = None
        self._loading = False

    @property
    def is_loading(self) -> bool:
        """Whether an order was given and its end has not been reported."""
        return self._loading

    def note_report(self, report: LoadableReport) -> None:
        """Apply the target's current report: a load is over once it is no longer busy."""
        if not report.busy:
            self._loading = False

    async def stage(self, model: ModelName, version: int) -> None:
        """Stage the verified pieces of a version that are not staged yet."""
        release = release_of(model, version)
        if self._staged_release != release:
            self._staged_release = release
            self._staged = set()
        for index in sorted(self._spreader.held(release) - self._staged):
            await self._stage_piece(model, release, index)

    async def load(
        self, model: ModelName, version: int, switch: SwitchMode, report: LoadableReport
    ) -> None:
        """Check every staged piece, then give the order; raise `TargetUnreachable`."""
        release = release_of(model, version)
        manifest = self._spreader.manifest(release)
        if manifest is None:
            return
        await self.stage(model, version)
        await self._check_staged(model, release, manifest)
        order = StagedLoadOrder(model, version, switch, version, report.orders)
        self._loading = True
        self._orders.add()
        outcome = await self._target.order(order)
        log.info(
            "load_ordered",
            release=release,
            outcome=outcome.value,
            switch=switch.value,
            running=report.running,
        )
        if outcome is OrderOutcome.REFUSED:
            self._loading = False
            self._metrics.retry(RetryReason.ORDER_FAILED)

    async def _check_staged(self, model: ModelName, release: Digest, manifest: Manifest) -> None:
        for index, expected in enumerate(manifest.chunk_hashes):
            data = await self._target.read_piece(model, index)
            if data is None or hashlib.sha256(data).digest() != expected:
                self._replaced_pieces.add()
                log.warning("staged_piece_replaced", release=release, index=index)
                await self._stage_piece(model, release, index)

    async def _stage_piece(self, model: ModelName, release: Digest, index: int) -> None:
        await self._target.stage_piece(model, index, self._spreader.chunk(release, index))
        self._staged.add(index)
