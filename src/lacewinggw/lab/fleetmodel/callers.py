"""Modelled callers: they give up, are refused, and come back once, as told or at once."""

import asyncio
import itertools
import math
import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from lacewinggw.errors import LacewingError
from lacewinggw.frontend.callers import CallerDisconnected
from lacewinggw.frontend.calls import Call, CallFacts
from lacewinggw.lab.fleetmodel.offers import ModelCall
from lacewinggw.lab.fleetmodel.profile import (
    DOMAIN,
    MODEL,
    USUAL_LEFT_S,
    CallerAccount,
    CallKind,
    FleetProfile,
)

LIMIT_SPREAD = 0.15  # callers give a request up to so much less time than most others do
RETURN_SHARE = 1 / 3  # of the time left: callers wait no longer for what they were told
CONNECT_S = 1.0  # a caller that reaches nobody tries again
MS_PER_S = 1000.0
TICK_S = 1e-6  # less than this is no time to wait: loops round it off


class Door(Protocol):
    """An entry as callers meet it."""

    place: str

    @property
    def is_open(self) -> bool:
        """Whether connections are taken."""

    async def serve(self, call: Call, caller: "ModelCaller") -> None:
        """Answer a request."""


@dataclass(frozen=True)
class LoadFactors:
    """The load of each kind and of each account, as shares of the usual load."""

    kinds: Sequence[float]
    accounts: Sequence[float] = ()


@dataclass
class Story:
    """What became of one request over all attempts; times in seconds."""

    kind: CallKind
    asked_at: float
    size: float
    limit_s: float = USUAL_LEFT_S
    account: CallerAccount | None = None
    first_s: float | None = None
    longest_gap_s: float = 0.0
    whole: bool = False
    place: str = ""
    refusals: int = 0
    held_s: list[float] = field(default_factory=list)  # until each refusal, from its attempt

    def is_on_time(self, gap_s: float) -> bool:
        """Return whether it was served within its objective, without too long a pause."""
        quick = self.first_s is not None and self.first_s <= self.kind.objective_s
        return self.whole and quick and self.longest_gap_s <= gap_s


@dataclass
class ModelCaller:
    """The caller's end of one attempt, with what a relay asks of a connection."""

    story: Story
    hop_s: float
    last_event: int = 0
    has_started_answer: bool = False
    is_stopped: bool = False
    refusal: LacewingError | None = None
    closed: asyncio.Event = field(default_factory=asyncio.Event)
    heard_at: float = 0.0
    whole: bool = False

    async def wait_for_disconnect(self) -> None:
        """Return when the caller leaves."""
        await self.closed.wait()

    def close(self) -> None:
        """Close the connection."""

    async def begin(
        self, status: int, headers: object, data: bytes = b"", ends_with_connection: bool = False
    ) -> None:
        """Take the head of a stream, with its first events."""
        self.has_started_answer = True
        await self.send(data)

    async def send(self, data: bytes) -> None:
        """Take further events."""
        now = _now()
        if self.story.first_s is None:
            self.story.first_s = now + self.hop_s - self.story.asked_at
        else:
            self.story.longest_gap_s = max(self.story.longest_gap_s, now - self.heard_at)
        self.heard_at = now
        self.last_event = int(data.rpartition(b"id: ")[2].partition(b"\n")[0])

    async def end(self) -> None:
        """Take the end of a stream."""
        self.whole = True

    async def answer(
        self, status: int, headers: object, body: bytes, ends_with_connection: bool = False
    ) -> None:
        """Take a whole answer."""

    async def refuse(self, error: LacewingError) -> None:
        """Take a refusal."""
        self.refusal = error


class Crowd:
    """All callers of a fleet: requests at random moments, each with its story."""

    def __init__(
        self,
        profile: FleetProfile,
        doors: Callable[[], list[Door]],
        calls: dict[str, ModelCall],
        rng: random.Random,
        impatient: float,
        place_loads: Mapping[str, float],
    ) -> None:
        self.stories: list[Story] = []
        self._profile = profile
        self._doors = doors
        self._calls = calls
        self._rng = rng
        self._impatient = impatient
        self._place_loads = place_loads
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, length_s: float, factors: Callable[[float], LoadFactors]) -> None:
        """Ask for `length_s` seconds; `factors` of the time multiply the load."""
        began = _now()
        while (elapsed_s := _now() - began) < length_s:
            each = factors(elapsed_s)
            rate = self._profile.calls_per_s * sum(each.kinds) * (sum(each.accounts) or 1.0)
            await asyncio.sleep(self._rng.expovariate(rate))
            task = asyncio.get_running_loop().create_task(self._ask(each))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self._tasks:
            await asyncio.wait(set(self._tasks))

    async def _ask(self, factors: LoadFactors) -> None:
        kind = self._rng.choices(self._profile.kinds, factors.kinds)[0]
        prompt = self._draw(kind.prompt_tokens, kind.spread, kind.longest_prompt)
        events = self._draw(kind.answer_events, kind.spread, kind.longest_answer)
        size = 0.3 + 0.7 * prompt / kind.prompt_tokens
        limit_s = USUAL_LEFT_S * (1.0 - self._rng.uniform(0.0, LIMIT_SPREAD))
        account = self._draw_account(factors)
        retries = account.retries if account is not None else self._profile.retries
        story = Story(kind, _now(), min(size, 4.0), limit_s, account)
        self.stories.append(story)
        resume = 0
        place = self._draw_place()
        story.place = place
        for attempt in range(retries + 1):
            began = _now()
            caller = await self._attempt(story, prompt, events, resume, place)
            if caller.refusal is not None:
                story.held_s.append(_now() - began - self._profile.caller_hop_s)
            resume = caller.last_event
            if caller.whole:
                story.whole = True
                return
            if attempt == retries:
                return
            left_s = story.asked_at + story.limit_s - _now()
            if caller.refusal is not None and caller.refusal.retry_after_ms:
                story.refusals += 1
                told_s = caller.refusal.retry_after_ms / MS_PER_S
                at_once = account is not None and account.returns_at_once
                if not at_once and self._rng.random() >= self._impatient:
                    await asyncio.sleep(min(told_s, RETURN_SHARE * left_s))
            if left_s <= 0:
                return

    async def _attempt(
        self, story: Story, prompt: int, events: int, resume: int, place: str
    ) -> ModelCaller:
        caller = ModelCaller(story, self._profile.caller_hop_s)
        open_doors = [door for door in self._doors() if door.is_open and place in ("", door.place)]
        if not open_doors:
            await asyncio.sleep(CONNECT_S)
            return caller
        await asyncio.sleep(self._profile.caller_hop_s)
        call_id = f"c{next(self._numbers)}"
        left_s = story.asked_at + story.limit_s - _now()
        facts = CallFacts(
            call_id,
            left_s,
            key=story.account.name if story.account else "",
            last_event=resume or None,
            model=MODEL,
            prompt_tokens=prompt,
            output_tokens=events * 5,
        )
        self._calls[call_id] = ModelCall(facts, prompt, events)
        now = _now()
        path = f"/{story.kind.name}/"
        call = Call("POST", path, DOMAIN, (("id", call_id),), b"", now)
        caller.heard_at = now
        caller.last_event = resume
        await self._serve(self._rng.choice(open_doors), call, caller, left_s)
        del self._calls[call_id]
        return caller

    async def _serve(self, door: Door, call: Call, caller: ModelCaller, left_s: float) -> None:
        began = _now()
        gap_s = max(2.0, 4 * caller.story.kind.objective_s, 8 * self._profile.gap_s)
        serving = asyncio.ensure_future(door.serve(call, caller))
        try:
            while not serving.done():
                until = min(caller.heard_at + gap_s, began + left_s)
                if until <= _now() + TICK_S:
                    caller.closed.set()
                    break
                await asyncio.wait([serving], timeout=until - _now())
            await asyncio.wait([serving])
            if not serving.cancelled() and isinstance(serving.exception(), CallerDisconnected):
                return
        finally:
            serving.cancel()

    def _draw_account(self, factors: LoadFactors) -> CallerAccount | None:
        if not factors.accounts:
            return None
        return self._rng.choices(self._profile.accounts, factors.accounts)[0]

    def _draw_place(self) -> str:
        """Return the place of a caller; empty if it asks entries of all places."""
        if not self._place_loads:
            return ""
        return self._rng.choices(list(self._place_loads), list(self._place_loads.values()))[0]

    def _draw(self, mean: float, spread: float, most: int) -> int:
        drawn = self._rng.lognormvariate(math.log(mean) - spread**2 / 2, spread)
        return max(1, min(most, round(drawn)))


def _now() -> float:
    return asyncio.get_running_loop().time()
