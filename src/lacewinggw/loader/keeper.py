"""Keep the target beside this process at the version that is due.

One step after the other, from what the target itself reports: stage what it lacks, read every piece
back and compare its hash, and give the order. An order without an answer is not repeated: the next
report tells what became of it.
"""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass

from lacewinggw.agent.weights import Spreader
from lacewinggw.errors import TargetUnreachable
from lacewinggw.generated.messages.ttypes import Manifest
from lacewinggw.ids import Digest, ModelName
from lacewinggw.loader.releases import release_of, split_release
from lacewinggw.loader.target import LoadableReport, LoadableTarget, LoadOrder, OrderOutcome, Switch
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics, RetryReason

log = get_logger(__name__)


@dataclass(frozen=True)
class Goal:
    """The version that a target is to have, and from when it may take it (the boot clock)."""

    model: ModelName
    version: int
    turn_at: float

    @property
    def release(self) -> Digest:
        """The version as a release of the spread."""
        return release_of(self.model, self.version)


class StagedChunks:
    """The pieces that lie staged at the target, as chunks from before this process was started."""

    def __init__(self, target: LoadableTarget) -> None:
        self._target = target

    async def read(self, digest: Digest) -> Mapping[int, bytes]:
        """Return every staged piece of the release's model; they may be of another version."""
        model, _ = split_release(digest)
        found: dict[int, bytes] = {}
        try:
            for index in sorted(await self._target.staged(model)):
                data = await self._target.read_piece(model, index)
                if data is not None:
                    found[index] = data
        except TargetUnreachable as error:
            log.info("staged_pieces_unread", error=error)
        return found


class TargetLoader:
    """Brings one target to a version, step by step."""

    def __init__(self, target: LoadableTarget, spreader: Spreader, metrics: Metrics) -> None:
        self._target = target
        self._spreader = spreader
        self._metrics = metrics
        self._orders = metrics.counter("load_orders")
        self._restaged = metrics.counter("staged_pieces_replaced")
        self._staged: set[int] = set()  # pieces of `_staged_for` that this process staged or read
        self._staged_for: Digest | None = None
        self._loading = False

    @property
    def is_loading(self) -> bool:
        """Whether an order was given whose end has not been reported."""
        return self._loading

    async def advance(self, goal: Goal, report: LoadableReport, now: float) -> None:
        """Do what the report shows to be missing; raise `TargetUnreachable`."""
        if report.weights.get(goal.model) == goal.version:
            self._loading = False
            return
        if report.busy:
            return
        self._loading = False
        manifest = self._spreader.manifest(goal.release)
        if manifest is None:
            return
        await self._stage(goal, manifest)
        empty = goal.model not in report.weights
        if not self._spreader.is_complete(goal.release) or not (empty or now >= goal.turn_at):
            return
        await self._load(goal, manifest, report)

    async def _stage(self, goal: Goal, manifest: Manifest) -> None:
        """Stage the verified pieces that are not staged yet."""
        if self._staged_for != goal.release:
            self._staged_for = goal.release
            self._staged = set()
        for index in sorted(self._spreader.held(goal.release) - self._staged):
            await self._stage_piece(goal, index)

    async def _stage_piece(self, goal: Goal, index: int) -> None:
        data = self._spreader.chunk(goal.release, index)
        await self._target.stage_piece(goal.model, index, data)
        self._staged.add(index)

    async def _load(self, goal: Goal, manifest: Manifest, report: LoadableReport) -> None:
        """Check every piece where it lies, then give the order."""
        for index, wanted in enumerate(manifest.chunk_hashes):
            data = await self._target.read_piece(goal.model, index)
            if data is None or hashlib.sha256(data).digest() != wanted:
                self._restaged.add()
                log.warning("staged_piece_replaced", release=goal.release, index=index)
                await self._stage_piece(goal, index)
        order = LoadOrder(goal.model, goal.version, Switch.FINISH, goal.version, report.orders)
        self._loading = True
        self._orders.add()
        outcome = await self._target.order(order)
        log.info("load_ordered", release=goal.release, outcome=outcome.value, orders=report.orders)
        if outcome is OrderOutcome.REFUSED:
            self._loading = False
            self._metrics.retry(RetryReason.ORDER_FAILED)
