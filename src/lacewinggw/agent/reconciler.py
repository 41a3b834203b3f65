"""Reconciliation of the target with the release that the configuration names.

`decisions.lifecycle.next_step` makes the decisions. This module executes them: it stages chunks,
gives orders with the revision as fencing token, and reads the target's state back after each order
and at every interval.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from lacewinggw.agent.requests import RequestService
from lacewinggw.agent.target import TargetKind, TargetStatus
from lacewinggw.agent.weights import Spreader
from lacewinggw.background import Background
from lacewinggw.clients.engine import (
    ActivateOrder,
    AdapterOrder,
    EngineClient,
    EngineRole,
    LoadOrder,
    Order,
    RoleOrder,
    UnloadOrder,
)
from lacewinggw.decisions.lifecycle import (
    Activate,
    DesiredState,
    Load,
    ObservedState,
    Reconfigure,
    Retire,
    Serve,
    Stage,
    StagingProgress,
    Step,
    Unload,
    WaitForChange,
    incoming_digest,
    next_step,
)
from lacewinggw.errors import LacewingError, ReadBackMismatch, TargetUnreachable
from lacewinggw.generated.messages.ttypes import TargetState
from lacewinggw.ids import Digest, ReleaseName
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics, RetryReason
from lacewinggw.wire.network import Network

READ_BACK_INTERVAL_S = 1.0
RETRY_INTERVAL_S = 0.5
ORDER_STEPS = (Load, Activate, Reconfigure, Unload)

log = get_logger(__name__)


class TargetReconciler:
    """Runs the reconciliation loop of one target.

    Orders are given only while `is_current` confirms that the configuration is the newest, so that
    a process that was paused gives none based on an old one. `on_change` is called whenever the
    state of the target that heartbeats report has changed.
    """

    def __init__(
        self,
        network: Network,
        target_status: TargetStatus,
        engine: EngineClient,
        spreader: Spreader,
        requests: RequestService,
        wanted: Callable[[], DesiredState | None],
        fence: Callable[[], int],
        is_current: Callable[[], bool],
        on_change: Callable[[], None],
        metrics: Metrics,
    ) -> None:
        self._network = network
        self._target_status = target_status
        self._engine = engine
        self._spreader = spreader
        self._requests = requests
        self._wanted = wanted
        self._fence = fence
        self._is_current = is_current
        self._on_change = on_change
        self._metrics = metrics
        self._staged: dict[Digest, set[int]] = {}
        self._last_step: Step | None = None
        self._wake = asyncio.Event()
        self._loop = Background("target", self._run)

    async def start(self) -> None:
        """Start the loop."""
        self._loop.start()

    async def close(self) -> None:
        """Stop the loop; the target stays as it is."""
        await self._loop.close()

    def wake(self) -> None:
        """Decide again soon because the configuration or the weights have changed."""
        self._wake.set()

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            pause_s = await self._advance()
            with suppress(TimeoutError):
                async with asyncio.timeout(pause_s):
                    await self._wake.wait()

    async def _advance(self) -> float:
        """Execute one step; return the seconds to wait before the next unless woken."""
        wanted = self._wanted()
        try:
            step = next_step(wanted, await self._observe(wanted))
            if isinstance(step, ORDER_STEPS) and not self._is_current():
                return RETRY_INTERVAL_S
            pause_s = await self._execute(wanted, step)
            return max(pause_s, self._pause_after(step))
        except LacewingError as error:
            self._metrics.retry(_retry_reason(error))
            log.warning("target_step_failed", code=error.code, reason=error.reason)
            self._set_failure(error)
            return RETRY_INTERVAL_S

    def _pause_after(self, step: Step) -> float:
        """Return the seconds to wait, above 0 when an executed order changed nothing."""
        repeated = step == self._last_step and not isinstance(step, Stage)
        self._last_step = step
        return RETRY_INTERVAL_S if repeated else 0.0

    def _set_failure(self, error: LacewingError) -> None:
        """Record an error; a target that answers and serves continues with its present release."""
        if isinstance(error, TargetUnreachable) or not self._target_status.serving:
            self._set_state(TargetState.FAILED, str(error))
        else:
            self._set_state(self._target_status.state, str(error))

    async def _observe(self, wanted: DesiredState | None) -> ObservedState:
        if self._target_status.kind is TargetKind.PLAIN:
            return ObservedState(reachable=await self._accepts_connections())
        state = await self._engine.state()
        self._update_active(state.active)
        loaded = frozenset(state.loaded)
        self._update_ready(wanted, loaded)
        incoming = incoming_digest(wanted, state.active, loaded)
        progress = await self._progress_of(Digest(incoming)) if incoming else StagingProgress()
        return ObservedState(
            True, state.active, loaded, progress, state.role.value, frozenset(state.adapters)
        )

    async def _progress_of(self, digest: Digest) -> StagingProgress:
        chunk_count = self._spreader.chunk_count(digest)
        staged = self._staged.setdefault(digest, set())
        if chunk_count and len(staged) == chunk_count:
            staged &= set(await self._engine.staged_chunks(digest))
        return StagingProgress(len(self._spreader.held(digest)), len(staged), chunk_count)

    async def _accepts_connections(self) -> bool:
        try:
            stream = await self._network.connect(self._target_status.address)
        except (OSError, TimeoutError):
            return False
        stream.close()
        return True

    def _update_active(self, active: str) -> None:
        """Record the target's active digest; stop offering requests if it is unexpected."""
        if active == self._target_status.active_digest:
            return
        self._target_status.serving = False
        self._target_status.active_digest = active
        self._on_change()

    def _update_ready(self, wanted: DesiredState | None, loaded: frozenset[str]) -> None:
        next_digest = wanted.next_digest if wanted is not None else ""
        ready = next_digest if next_digest in loaded else ""
        if ready != self._target_status.ready_digest:
            self._target_status.ready_digest = ready
            self._on_change()

    async def _execute(self, wanted: DesiredState | None, step: Step) -> float:
        if wanted is None or isinstance(step, Retire):
            await self._retire()
            return READ_BACK_INTERVAL_S
        match step:
            case WaitForChange(reason, serving):
                self._set_progress(wanted, serving, reason)
                return READ_BACK_INTERVAL_S
            case Stage(digest, serving):
                self._set_progress(wanted, serving, "")
                await self._stage(Digest(digest))
            case Load(digest, serving):
                self._set_progress(wanted, serving, "")
                await self._load(wanted, Digest(digest))
            case Activate(digest):
                await self._activate(wanted, Digest(digest))
            case Reconfigure():
                await self._change_role_and_adapters(step)
            case Unload(digests):
                await self._unload(digests)
            case Serve():
                self._serve(wanted)
                return READ_BACK_INTERVAL_S
        return 0.0

    async def _stage(self, digest: Digest) -> None:
        staged = self._staged.setdefault(digest, set())
        for index in sorted(self._spreader.held(digest) - staged):
            await self._engine.stage_chunk(digest, index, self._spreader.chunk(digest, index))
            staged.add(index)

    async def _load(self, wanted: DesiredState, digest: Digest) -> None:
        release = wanted.release if digest == wanted.digest else wanted.next_release
        chunk_count = self._spreader.chunk_count(digest)
        await self._order(LoadOrder(digest, ReleaseName(release), chunk_count))

    async def _unload(self, digests: tuple[str, ...]) -> None:
        for digest in digests:
            await self._order(UnloadOrder(Digest(digest)))
            self._staged.pop(Digest(digest), None)

    async def _order(self, order: Order) -> None:
        fence = self._fence()
        await self._engine.order(order, fence)
        if self._target_status.fences:
            await self._check_fence(fence)

    async def _check_fence(self, fence: int) -> None:
        """Warn when a target that is configured to check fences does not record them.

        Orders are safe without fences, since the agent gives none based on an old configuration;
        but an operator who sets `target_fences` relies on a second safeguard that is missing.
        """
        state = await self._engine.state()
        if state.fence < fence:
            self._metrics.count("target_fences_unkept")
            log.warning(
                "target_fence_unkept",
                fence=fence,
                reported=state.fence,
                remedy="set `target_fences = no` in [agent], or correct the target",
            )

    async def _activate(self, wanted: DesiredState, digest: Digest) -> None:
        """Switch weights after all requests on the old ones end: none may see two digests."""
        self._target_status.serving = False
        self._set_state(TargetState.LOADING, "")
        await self._requests.quiesce()
        try:
            await self._order(ActivateOrder(digest))
            state = await self._engine.state()
            self._target_status.active_digest = state.active
            if state.active != digest:
                raise ReadBackMismatch(f"ordered {digest}, the target reports {state.active!r}")
            self._serve(wanted)
        finally:
            self._requests.resume()

    async def _change_role_and_adapters(self, step: Reconfigure) -> None:
        """Change role and adapters while no request runs, so that none sees a partial change."""
        await self._requests.quiesce()
        try:
            if step.role:
                await self._order(RoleOrder(EngineRole(step.role)))
            for adapter in step.load:
                await self._order(AdapterOrder(adapter))
            for adapter in step.drop:
                await self._order(AdapterOrder(adapter, loaded=False))
        finally:
            self._requests.resume()

    def _serve(self, wanted: DesiredState, detail: str = "") -> None:
        self._target_status.service = wanted.service
        self._target_status.release = wanted.release
        self._target_status.serving = True
        self._set_state(TargetState.SERVING, detail)

    async def _retire(self) -> None:
        if self._target_status.serving:
            self._target_status.serving = False
            await self._requests.quiesce()
            self._requests.resume()
        self._set_state(TargetState.IDLE, "no service is placed on this host")

    def _set_progress(self, wanted: DesiredState, serving: bool, reason: str) -> None:
        if serving:
            self._serve(wanted, reason)
        else:
            self._set_state(TargetState.FETCHING, reason)

    def _set_state(self, state: TargetState, detail: str) -> None:
        target_status = self._target_status
        if state is TargetState.FAILED:
            target_status.serving = False
        if (target_status.state, target_status.detail) == (state, detail):
            return
        changed = target_status.state is not state
        target_status.state = state
        target_status.detail = detail
        if changed:
            self._on_change()


def _retry_reason(error: LacewingError) -> RetryReason:
    if isinstance(error, ReadBackMismatch):
        return RetryReason.READ_BACK
    return RetryReason.ORDER_FAILED
