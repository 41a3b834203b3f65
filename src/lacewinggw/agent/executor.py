"""Runs on the target: a bounded queue, a bounded number at once, and each carried out once."""

import asyncio
import heapq
import itertools
from collections.abc import Callable
from contextlib import aclosing

from lacewinggw.agent.runs import Run
from lacewinggw.agent.target import TargetGate, TargetKind
from lacewinggw.decisions.once import RunBook
from lacewinggw.errors import (
    AnswerIncomplete,
    DeadlinePassed,
    DeadlineTooNear,
    Draining,
    LacewingError,
    NoTarget,
    Outcome,
    Overloaded,
    ReleaseMoved,
    TargetFailed,
    Withdrawn,
)
from lacewinggw.generated.messages.ttypes import Finish, Load
from lacewinggw.ids import RequestId
from lacewinggw.log import get_logger
from lacewinggw.platform.engine import AnswerEnd, EngineClient, Generation, PieceBatch
from lacewinggw.platform.plain import PlainCall, PlainClient

READ_TIMEOUT_S = 60.0  # between two pieces of a run that may not be cut
PLAIN_PIECE_BYTES = 256 << 10
MILLISECONDS = 1000.0
DELAY_SMOOTHING = 0.2
OVERLOADED_RETRY_MS = 500

log = get_logger(__name__)


class Executor:
    """The target's queue and slots.

    Runs wait by priority, then in the order they came. `quiesce` stops the start of further runs
    and waits for those that run; `resume` goes on with the queue.
    """

    def __init__(
        self,
        gate: TargetGate,
        engine: EngineClient,
        plain: PlainClient | None,
        book: RunBook,
        concurrency: int,
        queue_length: int,
        window: int,
        ended: Callable[[Run], None],
    ) -> None:
        self._gate = gate
        self._engine = engine
        self._plain = plain
        self._book = book
        self._concurrency = concurrency
        self._queue_length = queue_length
        self._window = window
        self._ended = ended
        self._arrivals = itertools.count()
        self._queue: list[tuple[int, int, Run]] = []
        self._queued: dict[Run, tuple[float, asyncio.TimerHandle]] = {}
        self._running: dict[Run, asyncio.Task[None]] = {}
        self._paused = False
        self._idle = asyncio.Event()
        self._idle.set()
        self._queue_delay_s = 0.0

    @property
    def busy(self) -> int:
        """How many runs wait or run."""
        return len(self._queued) + len(self._running)

    def load(self) -> Load:
        """Return how much there is to do here, as of now."""
        return Load(
            running=len(self._running),
            queued=len(self._queued),
            capacity=self._concurrency,
            age_ms=0,
            queue_delay_ms=self._queue_delay_s * MILLISECONDS,
        )

    def check_room(self) -> None:
        """Raise `Overloaded` when another run would find the queue full."""
        if len(self._queued) >= self._queue_length:
            raise Overloaded("the target's queue is full", retry_after_ms=OVERLOADED_RETRY_MS)

    def submit(self, run: Run) -> None:
        """Queue a run that the book has taken."""
        loop = asyncio.get_running_loop()
        timer = loop.call_at(run.deadline, self._expire, run)
        self._queued[run] = (loop.time(), timer)
        heapq.heappush(self._queue, (run.head.priority, next(self._arrivals), run))
        self._dispatch()

    def withdraw(self, run: Run) -> None:
        """Take a run off the queue, if it is still there."""
        if run in self._queued:
            self._drop(run, Withdrawn("withdrawn before it started"))

    def cancel(self, run: Run) -> None:
        """Give up a run that nobody listens to any more."""
        if run in self._queued:
            self._drop(run, Withdrawn("the caller left before it started"))
        task = self._running.get(run)
        if task is not None:
            run.fail(TargetFailed("cancelled: nobody listens any more"))
            task.cancel()

    async def quiesce(self) -> None:
        """Start nothing more, and wait until nothing runs."""
        self._paused = True
        await self._idle.wait()

    def resume(self) -> None:
        """Start runs again."""
        self._paused = False
        self._dispatch()

    async def close(self) -> None:
        """Refuse what waits and cut what runs."""
        self._paused = True
        for run in list(self._queued):
            self._drop(run, Draining("the agent is leaving"))
        tasks = list(self._running.values())
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    def _drop(self, run: Run, error: LacewingError) -> None:
        _, timer = self._queued.pop(run)
        timer.cancel()
        self._book.refuse(run.id, asyncio.get_running_loop().time())
        run.fail(error)
        self._ended(run)

    def _expire(self, run: Run) -> None:
        if run in self._queued:
            self._drop(run, DeadlineTooNear("the deadline passed in the target's queue"))

    def _dispatch(self) -> None:
        while self._queue and not self._paused and len(self._running) < self._concurrency:
            _, _, run = heapq.heappop(self._queue)
            if run in self._queued:
                self._begin(run)

    def _begin(self, run: Run) -> None:
        refusal = self._refusal(run)
        if refusal is not None:
            self._drop(run, refusal)
            return
        loop = asyncio.get_running_loop()
        queued_at, timer = self._queued.pop(run)
        timer.cancel()
        now = loop.time()
        self._queue_delay_s += DELAY_SMOOTHING * (now - queued_at - self._queue_delay_s)
        self._book.start(run.id, now)
        self._idle.clear()
        self._running[run] = loop.create_task(self._carry_out(run))

    def _refusal(self, run: Run) -> LacewingError | None:
        if not self._gate.serving:
            return NoTarget("the target does not serve now", retry_after_ms=OVERLOADED_RETRY_MS)
        if run.head.digest and run.head.digest != self._gate.active_digest:
            return ReleaseMoved("the target has moved to other weights")
        return None

    async def _carry_out(self, run: Run) -> None:
        loop = asyncio.get_running_loop()
        timer = loop.call_at(run.deadline, self._pass_deadline, run)
        try:
            run.end(await self._ask_target(run))
            self._book.finish(run.id, loop.time())
        except LacewingError as error:
            self._note_failure(run, error)
        except asyncio.CancelledError:
            self._note_failure(run, TargetFailed("cut off: the agent is closing"))
        except Exception as error:
            log.exception("run_failed", request_id=run.head.request_id)
            self._note_failure(run, TargetFailed(f"the run failed: {error!r}"))
        finally:
            timer.cancel()
            del self._running[run]
            if not self._running:
                self._idle.set()
            self._ended(run)
            self._dispatch()

    def _note_failure(self, run: Run, error: LacewingError) -> None:
        now = asyncio.get_running_loop().time()
        if error.outcome is Outcome.NOT_RUN:
            self._book.refuse(run.id, now)
        else:
            self._book.finish(run.id, now)
        run.fail(error)

    def _pass_deadline(self, run: Run) -> None:
        """Stop an idempotent run at its deadline; any other runs on to its end."""
        task = self._running.get(run)
        if task is not None and run.head.repeatable:
            run.fail(DeadlinePassed("the deadline passed while it ran"))
            task.cancel()

    async def _ask_target(self, run: Run) -> Finish:
        match self._gate.kind:
            case TargetKind.ENGINE:
                return await self._generate(run)
            case TargetKind.PLAIN:
                return await self._call(run)

    async def _generate(self, run: Run) -> Finish:
        """Run it on the engine; raise unless the same weights were active from start to end."""
        head = run.head
        weights = run.weights_digest = self._gate.active_digest
        generation = Generation(
            RequestId(head.request_id), run.body, int(head.priority), head.resume_from
        )
        end: AnswerEnd | None = None
        async with aclosing(self._engine.generate(generation, READ_TIMEOUT_S)) as items:
            async for item in items:
                match item:
                    case PieceBatch(first, pieces):
                        if first != run.first + len(run.pieces):
                            raise AnswerIncomplete(f"the engine skipped to piece {first}")
                        run.add(pieces)
                        await run.wait_for_room(self._window)
                    case AnswerEnd():
                        end = item
        if end is None or end.pieces != run.first + len(run.pieces):
            raise AnswerIncomplete("the engine's answer has another number of pieces than told")
        if end.weights != weights or self._gate.active_digest != weights:
            raise AnswerIncomplete("the weights changed while the engine answered")
        return self._finish(run, weights)

    async def _call(self, run: Run) -> Finish:
        assert self._plain is not None, "a plain target has a plain client"
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
            pieces=run.first + len(run.pieces),
            content_digest=run.content_digest,
            weights_digest=weights,
            status=status,
            content_type=content_type,
            load=self.load(),
            request_digest=run.request_digest,
        )
