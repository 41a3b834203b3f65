"""A modelled engine: it works through prompts and tokens in passes, by its declared figures."""

import asyncio
from collections import deque
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field

from lacewinggw.decisions.routes import EngineProfile


class EngineDown(OSError):
    """The engine lost power or was killed while it worked on a request."""


@dataclass
class EngineJob:
    """One request at an engine; `events` carries the numbers of its events as they are made."""

    prompt_left: float
    prompt_tokens: int
    events_left: int
    urgency: int
    next_event: int
    events: "asyncio.Queue[int | None]" = field(default_factory=asyncio.Queue)
    abandoned: bool = False


class ModelEngine:
    """Serves requests in batches.

    engine = ModelEngine(figures, queue=32)
    engine.start()
    job = engine.accept(prompt_tokens=800, events=20, urgency=3, first_event=1)  # None when full
    async for number in engine.events(job): ...
    """

    def __init__(self, figures: EngineProfile, queue: int) -> None:
        self.factor = 1.0  # how much slower than declared it works
        self.is_up = True
        self.is_loading = False
        self.offered = 0
        self.rejected = 0
        self._figures = figures
        self._queue = queue
        self._waiting: deque[EngineJob] = deque()
        self._running: list[EngineJob] = []
        self._work = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    @property
    def running(self) -> int:
        """How many requests run or wait here."""
        return len(self._running) + len(self._waiting)

    def start(self) -> None:
        """Begin to work."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Stop working."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])

    def accept(
        self, prompt_tokens: int, events: int, urgency: int, first_event: int
    ) -> EngineJob | None:
        """Take a request, or None when there is no room for it."""
        self.offered += 1
        if self.is_loading or self.running >= self._figures.slots + self._queue:
            self.rejected += 1
            return None
        job = EngineJob(prompt_tokens, prompt_tokens, events, urgency, first_event)
        self._waiting.append(job)
        self._work.set()
        return job

    async def events(self, job: EngineJob) -> AsyncGenerator[int, None]:
        """Yield the numbers of a request's events; raise `EngineDown` when the engine stops."""
        try:
            while job.events_left or not job.events.empty():
                number = await job.events.get()
                if number is None:
                    raise EngineDown
                yield number
        finally:
            job.abandoned = True

    def lose_power(self) -> None:
        """Break off everything."""
        self.is_up = False
        for job in [*self._running, *self._waiting]:
            job.events.put_nowait(None)
        self._running.clear()
        self._waiting.clear()

    async def _run(self) -> None:
        while True:
            self._admit()
            if not self._running:
                self._work.clear()
                await self._work.wait()
                continue
            await self._pass()

    def _admit(self) -> None:
        self._running = [job for job in self._running if not job.abandoned and job.events_left]
        self._waiting = deque(job for job in self._waiting if not job.abandoned)
        while self._waiting and len(self._running) < self._figures.slots:
            job = min(self._waiting, key=lambda each: each.urgency)
            self._waiting.remove(job)
            self._running.append(job)

    async def _pass(self) -> None:
        """Do the steps of one pass: prompts are read in pieces between the tokens of writers."""
        figures = self._figures
        writers = [job for job in self._running if job.prompt_left <= 0]
        readers = [job for job in self._running if job.prompt_left > 0]
        steps = figures.stride if writers else 1
        tokens, read_s = steps * float(figures.chunk_tokens), 0.0
        for job in readers:
            piece = min(job.prompt_left, tokens)
            done = job.prompt_tokens - job.prompt_left
            pairs = piece * (done + piece / 2)
            read_s += piece / figures.read_tokens_per_s + pairs / 1e6 * figures.pair_s_per_million
            job.prompt_left -= piece
            tokens -= piece
        context = sum(job.prompt_tokens for job in writers) / 1000
        step_s = (
            figures.step_s
            + len(writers) * figures.step_per_request_s
            + context * figures.context_s_per_kilotoken
        )
        await asyncio.sleep((steps * step_s + read_s) * self.factor)
        # Reading the end of a prompt gives its first token, and an event with it.
        for job in writers + [each for each in readers if each.prompt_left <= 0]:
            job.events_left -= 1
            job.events.put_nowait(job.next_event)
            job.next_event += 1
