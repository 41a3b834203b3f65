"""Loading of the due version into the target on this host.

Each step starts from what the target itself reports: stage the missing pieces, read every piece
back and compare its hash, and give the order while all of these checks are recent. An order without
a response is not repeated: the next report shows its result, and what was loaded is read back.
"""

import asyncio
import hashlib
import math
from collections.abc import Mapping, Sequence

from lacewinggw.agent.weights import Spreader
from lacewinggw.clock import Clock
from lacewinggw.decisions.loadproof import LoadProof
from lacewinggw.decisions.stagedchecks import StagedChecks
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

MS_PER_S = 1000
# Before an order: the second one reads back what the first one staged anew or took too long for.
CHECK_PASSES = 2

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

    def __init__(
        self, target: LoadableTarget, spreader: Spreader, metrics: Metrics, clock: Clock
    ) -> None:
        self._target = target
        self._spreader = spreader
        self._metrics = metrics
        self._clock = clock
        self._orders = metrics.counter("load_orders")
        self._replaced_pieces = metrics.counter("staged_pieces_replaced")
        self._outdated_checks = metrics.counter("staged_checks_outdated")
        self._spoilt_loads = metrics.counter("spoilt_loads")
        # Pieces of `_staged_release` that this process staged or read.
        self._staged: set[int] = set()
        self._staged_release: Digest | None = None
        self._loading = False
        self._checks = StagedChecks(0)
        self._checked: tuple[Digest, int] | None = None  # the release, and the target's start
        self._proof = LoadProof()

    @property
    def is_loading(self) -> bool:
        """Whether an order was given and its end has not been reported."""
        return self._loading

    def is_usable(self, held: int | None) -> bool:
        """Return whether requests may run on the version that the target holds."""
        return self._proof.is_usable(held)

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
    ) -> bool:
        """Read staged pieces back, and give the order if all of them were intact recently.

        Return whether an order was sent. If not, the next call reads only those pieces back whose
        checks are outdated. Raise `TargetUnreachable` if the target does not answer.
        """
        release = release_of(model, version)
        manifest = self._spreader.manifest(release)
        if manifest is None:
            return False
        await self.stage(model, version)
        checks = self._checks_of(release, manifest, report)
        try:
            for _ in range(CHECK_PASSES):
                due = checks.begin_pass(self._clock())
                await self._check_staged(model, release, manifest, checks, due)
        except TargetUnreachable:
            checks.note_no_response()
            if not report.born_ms:  # nothing else tells whether it restarts meanwhile
                checks.invalidate()
            raise
        if not checks.may_order(self._clock()):
            self._note_outdated(release)
            return False
        order = StagedLoadOrder(model, version, switch, version, report.orders)
        return await self._order(order, report)

    async def read_back_loaded(self, model: ModelName, held: int | None) -> None:
        """Read the pieces of the held version back, if they may have been bad when loaded."""
        if held is None or not self._proof.needs_read_back(held):
            return
        release = release_of(model, held)
        manifest = self._spreader.manifest(release)
        if manifest is None:
            return
        checks = StagedChecks(len(manifest.chunk_hashes))
        due = checks.begin_pass(self._clock())
        bad = await self._check_staged(model, release, manifest, checks, due)
        self._proof.note_read_back(is_intact=not bad)
        if bad:
            self._spoilt_loads.add()
            log.error("load_spoilt", release=release, pieces=bad)
        else:
            log.info("load_proven", release=release)

    async def _order(self, order: StagedLoadOrder, report: LoadableReport) -> bool:
        """Give an order; return False if the checks are outdated before it is sent."""
        checks, release = self._checks, release_of(order.model, order.version)
        self._loading = True
        self._orders.add()
        self._proof.note_sent(order.version)
        try:
            outcome = await self._target.order(order, lambda: checks.may_order(self._clock()))
        except TargetUnreachable:
            self._proof.note_no_response()
            raise
        log.info(
            "load_ordered",
            release=release,
            outcome=outcome.value,
            switch=order.switch.value,
            running=report.running,
            oldest_check_ms=round(checks.age_s(self._clock()) * MS_PER_S),
        )
        match outcome:
            case OrderOutcome.BEGUN:
                self._proof.note_begun(is_in_time=checks.are_valid(self._clock()))
            case OrderOutcome.REFUSED:
                self._loading = False
                self._metrics.retry(RetryReason.ORDER_FAILED)
            case OrderOutcome.OUTDATED:
                self._loading = False
                self._note_outdated(release)
                return False
        return True

    def _checks_of(
        self, release: Digest, manifest: Manifest, report: LoadableReport
    ) -> StagedChecks:
        """Return the checks of a release since the target's start."""
        if self._checked != (release, report.born_ms):
            self._checked = release, report.born_ms
            self._checks = StagedChecks(len(manifest.chunk_hashes))
        return self._checks

    def _note_outdated(self, release: Digest) -> None:
        age_s = self._checks.age_s(self._clock())
        self._outdated_checks.add()
        log.warning(
            "staged_checks_outdated",
            release=release,
            oldest_ms=round(age_s * MS_PER_S) if math.isfinite(age_s) else None,
            concurrent_reads=self._checks.concurrent_reads,
        )

    async def _check_staged(
        self,
        model: ModelName,
        release: Digest,
        manifest: Manifest,
        checks: StagedChecks,
        due: Sequence[int],
    ) -> list[int]:
        """Read pieces back, stage the bad ones anew, and return these."""
        bad: list[int] = []
        done = 0
        while batch := due[done : done + checks.concurrent_reads]:
            reads = (
                self._check_piece(model, release, index, manifest.chunk_hashes[index], checks)
                for index in batch
            )
            results = await asyncio.gather(*reads, return_exceptions=True)
            for index, result in zip(batch, results, strict=True):
                if isinstance(result, BaseException):
                    raise result
                if not result:
                    bad.append(index)
            done += len(batch)
            checks.note_batch(done, len(due), self._clock())
        return bad

    async def _check_piece(
        self, model: ModelName, release: Digest, index: int, expected: bytes, checks: StagedChecks
    ) -> bool:
        """Return whether a staged piece is intact; stage it anew if not."""
        sent_at = self._clock()
        data = await self._target.read_piece(model, index)
        if data is not None and hashlib.sha256(data).digest() == expected:
            checks.note_intact(index, sent_at)
            return True
        self._replaced_pieces.add()
        log.warning("staged_piece_replaced", release=release, index=index)
        await self._stage_piece(model, release, index)
        return False

    async def _stage_piece(self, model: ModelName, release: Digest, index: int) -> None:
        if self._checked is not None and self._checked[0] == release:
            self._checks.note_changed(index)
        await self._target.stage_piece(model, index, self._spreader.chunk(release, index))
        self._staged.add(index)
