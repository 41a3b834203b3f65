"""Execution of runs on the target: bounded queue, bounded concurrency, each run at most once."""

import asyncio
from collections.abc import Callable
from contextlib import aclosing

from lacewinggw.agent.queue import QueueRefusal, TargetQueue
from lacewinggw.agent.runs import Run
from lacewinggw.agent.target import TargetKind, TargetStatus
from lacewinggw.clients.engine import AnswerEnd, EngineClient, Generation, PieceBatch
from lacewinggw.clients.plain import PlainCall, PlainClient
from lacewinggw.decisions.atmostonce import RunRegistry
from lacewinggw.errors import (
    AnswerIncomplete,
    DeadlinePassed,
    LacewingError,
    NoTarget,
    Outcome,
    ReleaseMoved,
    TargetFailed,
    Withdrawn,
)
from lacewinggw.generated.messages.ttypes import Finish, Load, RequestHead
from lacewinggw.generated.settings.ttypes import Settings
from lacewinggw.ids import RequestId
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics

READ_TIMEOUT_S = 60.0  # between two pieces of a run that must not be interrupted
PLAIN_PIECE_BYTES = 256 << 10
NOT_SERVING_RETRY_MS = 500

log = get_logger(__name__)


class Executor:
    """Executes runs on the target in the order of its queue.

    `on_first_piece` is called with the seconds that a run waited for its first piece, `on_bytes`
    with the number of bytes received. `quiesce` stops starting runs and waits for those that run;
    `resume` continues with the queue.
    """

    def __init__(
        self,
        settings: Settings,
        target_status: TargetStatus,
        engine: EngineClient,
        plain: PlainClient | None,
        registry: RunRegistry,
        metrics: Metrics,
        on_ended: Callable[[Run], None],
    ) -> None:
        self._target_status = target_status
        self._engine = engine
        self._plain = plain
        self._registry = registry
        self._window = settings.requests.piece_window
        self._on_ended = on_ended
        self.on_first_piece: Callable[[float], None] = lambda seconds: None
        self.on_bytes: Callable[[int], None] = lambda count: None
        self._queue: TargetQueue[Run] = TargetQueue.from_config(
            settings, metrics, self._launch, self._handle_refusal
        )
        self._tasks: dict[Run, asyncio.Task[None]] = {}
        self._idle = asyncio.Event()
        self._idle.set()

    def load(self) -> Load:
        """Return the current load."""
        return self._queue.load()

    def check_capacity(self, head: RequestHead, deadline: float) -> None:
        """Raise `RequestRefused` if the queue would refuse the request now."""
        refused = self._queue.check(head, deadline, asyncio.get_running_loop().time())
        if refused is not None:
            raise refused.error()

    def submit(self, run: Run) -> None:
        """Start or queue a run that the registry has accepted."""
        now = asyncio.get_running_loop().time()
        refused = self._queue.push(run.head, run, run.deadline, now)
        if refused is not None:
            self._handle_refusal(run, refused)

    def withdraw(self, run: Run) -> None:
        """Remove a run from the queue, if it still waits there."""
        if self._queue.remove(run):
            self._reject(run, Withdrawn("withdrawn before it started"))

    def cancel(self, run: Run) -> None:
        """Cancel a run that has no listeners left."""
        self.withdraw(run)
        task = self._tasks.get(run)
        if task is not None:
            run.fail(TargetFailed("cancelled: no listeners left"))
            task.cancel()

    async def quiesce(self) -> None:
        """Stop starting runs, and wait until none is running."""
        self._queue.pause()
        await self._idle.wait()

    def resume(self) -> None:
        """Start runs again."""
        self._queue.resume()

    async def close(self) -> None:
        """Refuse the waiting runs and cancel the running ones."""
        self._queue.close()
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    def _handle_refusal(self, run: Run, refused: QueueRefusal) -> None:
        self._reject(run, refused.error())

    def _reject(self, run: Run, error: LacewingError) -> None:
        """Fail a run that has not started, and record that it never will."""
        self._registry.refuse(run.id, asyncio.get_running_loop().time())
        run.fail(error)
        self._on_ended(run)

    def _launch(self, run: Run) -> None:
        self._idle.clear()
        task = asyncio.get_running_loop().create_task(self._execute(run))
        self._tasks[run] = task
        task.add_done_callback(lambda _: self._release_slot(run))

    def _find_obstacle(self, run: Run) -> LacewingError | None:
        if not self._target_status.serving:
            return NoTarget("the target is not serving", retry_after_ms=NOT_SERVING_RETRY_MS)
        if run.head.digest and run.head.digest != self._target_status.active_digest:
            return ReleaseMoved("the target has switched to other weights")
        return None

    async def _execute(self, run: Run) -> None:
        loop = asyncio.get_running_loop()
        timer = loop.call_at(run.deadline, self._handle_deadline, run)
        try:
            self._mark_started(run)
            started_at = loop.time()
            run.complete(await self._run_on_target(run))
            run.ran_s = loop.time() - started_at
            self._registry.finish(run.id, loop.time())
        except LacewingError as error:
            self._record_failure(run, error)
        except asyncio.CancelledError:
            self._record_failure(run, TargetFailed("interrupted: the agent is closing"))
        except Exception as error:
            log.exception("run_failed", request_id=run.head.request_id)
            self._record_failure(run, TargetFailed(f"the run failed: {error!r}"))
        finally:
            timer.cancel()

    def _release_slot(self, run: Run) -> None:
        """Free the slot of an ended run, even one cancelled before its task first ran."""
        del self._tasks[run]
        if not self._tasks:
            self._idle.set()
        if run.started:
            self._on_ended(run)
        else:
            self._reject(run, Withdrawn("withdrawn before it started"))
        self._queue.done(run, run.ran_s)

    def _mark_started(self, run: Run) -> None:
        """Record that the run starts; raise the error that prevents it, if any."""
        refusal = self._find_obstacle(run)
        if refusal is not None:
            raise refusal
        if not self._registry.start(run.id, asyncio.get_running_loop().time()):
            raise Withdrawn("withdrawn before it started")
        run.started = True

    def _record_failure(self, run: Run, error: LacewingError) -> None:
        now = asyncio.get_running_loop().time()
        if error.outcome is Outcome.NOT_RUN:
            self._registry.refuse(run.id, now)
        else:
            self._registry.finish(run.id, now)
        run.fail(error)

    def _handle_deadline(self, run: Run) -> None:
        """Cancel a repeatable run at its deadline; any other run continues to its end."""
        task = self._tasks.get(run)
        if task is not None and run.head.repeatable:
            run.fail(DeadlinePassed("the deadline passed during the run"))
            task.cancel()

    async def _run_on_target(self, run: Run) -> Finish:
        match self._target_status.kind:
            case TargetKind.ENGINE:
                return await self._generate(run)
            case TargetKind.PLAIN:
                return await self._call(run)

    async def _generate(self, run: Run) -> Finish:
        """Run on the engine; raise unless the same weights were active from start to end."""
        head = run.head
        loop = asyncio.get_running_loop()
        requested_at = loop.time()
        weights = run.weights_digest = self._target_status.active_digest
        generation = Generation(
            RequestId(head.request_id), run.body, int(head.priority), head.resume_from
        )
        end: AnswerEnd | None = None
        async with aclosing(self._engine.generate(generation, READ_TIMEOUT_S)) as items:
            async for item in items:
                match item:
                    case PieceBatch(first, pieces):
                        if first != run.first_index + len(run.pieces):
                            raise AnswerIncomplete(f"the engine skipped to piece {first}")
                        if not run.pieces:
                            self.on_first_piece(loop.time() - requested_at)
                        self.on_bytes(sum(map(len, pieces)))
                        run.add(pieces)
                        await run.wait_for_listeners(self._window)
                    case AnswerEnd():
                        end = item
        if end is None or end.pieces != run.first_index + len(run.pieces):
            raise AnswerIncomplete(
                "the number of pieces differs from the one in the engine's end event"
            )
        if end.weights != weights or self._target_status.active_digest != weights:
            raise AnswerIncomplete("the weights changed during the engine's answer")
        return self._finish(run, weights)

    async def _call(self, run: Run) -> Finish:
        assert self._plain is not None, "a plain target needs a plain client"
        head = run.head
        call = PlainCall(
            RequestId(head.request_id),
            head.path,
            run.body,
            head.method,
            head.idempotency_key,
            head.content_type,
        )
        answer = await self._plain.call(call, READ_TIMEOUT_S)
        for start in range(0, len(answer.body), PLAIN_PIECE_BYTES):
            run.add([answer.body[start : start + PLAIN_PIECE_BYTES]])
        return self._finish(run, "", answer.status, answer.content_type)

    def _finish(
        self,
        run: Run,
        weights: str,
        status: int = 200,
        content_type: str = "text/plain",
    ) -> Finish:
        return Finish(
            pieces=run.first_index + len(run.pieces),
            content_digest=run.content_digest,
            weights_digest=weights,
            status=status,
            content_type=content_type,
            load=self.load(),
            request_digest=run.request_digest,
        )
