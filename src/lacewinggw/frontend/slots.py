"""Request slots of targets from several of their agents at once and use the first one granted."""

import asyncio
from collections.abc import Callable, Set
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Protocol

from lacewinggw.decisions.slots import SlotRequest
from lacewinggw.decisions.targetload import TargetLoad
from lacewinggw.ids import TargetId

# Agents at which a request waits at once. A single agent may be frozen or keep all its slots busy.
# Agents queue few requests each, so with fewer asks free slots would stay idle for a moment.
MAX_CONCURRENT_ASKS = 6
MAX_ASKS = 8  # per request, including agents that declined
# A request that newer ones have overtaken at this many agents stops waiting at the rest: newer ones
# also arrive there, so it would hardly start. A single agent may have a slow engine.
MAX_OVERTAKEN = 2
# An agent answers within a millisecond, or some tens over a link that transfers weights. After this
# time without an answer, the next agent is asked as well.
ANSWER_TIMEOUT_S = 0.05

MIN_WAIT_S = 0.001  # resolution of the event loop's timers


class SlotAnswer(Enum):
    """An agent's answer to a request for a slot."""

    GRANTED = "granted"
    QUEUED = "queued"
    DECLINED = "declined"
    OVERTAKEN = "overtaken"  # newer requests went first there, and it is unlikely to start
    EXCESS = "excess"  # the account is ahead of its share there, and others wait
    LOST = "lost"  # the link broke; a slot that was granted is void


class SlotCall(Protocol):
    """One pending request for a slot at an agent."""

    async def answer(self) -> SlotAnswer:
        """Return the agent's next answer; after QUEUED another one follows."""

    def end(self) -> None:
        """Give the slot back, or leave the agent's queue."""


AskSlot = Callable[[TargetLoad, SlotRequest], SlotCall | None]
PickTarget = Callable[[Set[TargetId]], TargetLoad | None]


@dataclass(frozen=True)
class Lease:
    """A granted slot of a target; call `end` when its request has finished."""

    load: TargetLoad
    call: SlotCall

    def end(self) -> None:
        """Give the slot back."""
        self.call.end()


@dataclass(eq=False)
class _Asked:
    """An agent that was asked, and the task that receives its answers."""

    load: TargetLoad
    call: SlotCall
    listening: "asyncio.Task[None] | None" = None
    has_answered: bool = False


@dataclass(eq=False)
class SlotSearch:
    """One request's search for a slot.

    `pick` returns the next target to ask, given those already asked. Agents order their queues by
    how long requests have waited since `arrived_at`, by the loop's clock.

        lease = await SlotSearch(ask, pick, request, arrived_at).find(until)
    """

    ask: AskSlot
    pick: PickTarget
    request: SlotRequest
    arrived_at: float
    is_unanswered: bool = True  # no agent has answered
    is_excess: bool = False  # an agent answered that the account is ahead of its share
    _overtaken: int = 0
    _asked: set[TargetId] = field(default_factory=set)
    _pending: list[_Asked] = field(default_factory=list)
    _answers: "asyncio.Queue[tuple[_Asked, SlotAnswer]]" = field(default_factory=asyncio.Queue)

    async def find(self, until: float) -> Lease | None:
        """Return a granted slot, or None if none is granted until then by the loop's clock.

        Return None at once if no agent can be asked any more and none has answered in its time.
        """
        try:
            return await self._find(until)
        finally:
            self._leave_all()

    async def _find(self, until: float) -> Lease | None:
        while self._overtaken < MAX_OVERTAKEN:
            newest = self._ask_one() if len(self._pending) < MAX_CONCURRENT_ASKS else None
            if not self._pending or (newest is None and self.is_unanswered):
                return None
            limit = min(until, _now() + ANSWER_TIMEOUT_S) if newest else until
            lease = await self._next_answer(newest, limit)
            if lease is not None or _now() >= until - MIN_WAIT_S:
                return lease
        return None

    def _ask_one(self) -> _Asked | None:
        while len(self._asked) < MAX_ASKS:
            load = self.pick(self._asked)
            if load is None:
                return None
            self._asked.add(load.entry.target)
            call = self.ask(load, replace(self.request, waited_s=_now() - self.arrived_at))
            if call is not None:
                asked = _Asked(load, call)
                asked.listening = asyncio.get_running_loop().create_task(self._listen(asked))
                self._pending.append(asked)
                return asked
        return None

    async def _next_answer(self, newest: _Asked | None, limit: float) -> Lease | None:
        """Return a granted slot, or None at `limit` or when another agent is to be asked."""
        try:
            async with asyncio.timeout_at(limit):
                while True:
                    asked, answer = await self._answers.get()
                    asked.has_answered = True
                    self.is_unanswered &= answer is SlotAnswer.LOST
                    match answer:
                        case SlotAnswer.GRANTED if asked in self._pending:
                            self._pending.remove(asked)
                            self._stop_listening(asked)
                            return Lease(asked.load, asked.call)
                        case SlotAnswer.QUEUED if asked is newest:
                            return None
                        case SlotAnswer.QUEUED | SlotAnswer.GRANTED:
                            continue
                    if asked in self._pending:
                        self._pending.remove(asked)
                    self._overtaken += answer in (SlotAnswer.OVERTAKEN, SlotAnswer.EXCESS)
                    self.is_excess |= answer is SlotAnswer.EXCESS
                    if answer is SlotAnswer.DECLINED:
                        asked.load.note_declined(_now())
                    return None
        except TimeoutError:
            if newest is not None and not newest.has_answered:
                newest.load.note_agent_timeout(_now())
            return None

    async def _listen(self, asked: _Asked) -> None:
        answer = SlotAnswer.QUEUED
        while answer is SlotAnswer.QUEUED:
            answer = await asked.call.answer()
            self._answers.put_nowait((asked, answer))

    def withdraw_where(self, is_closed: Callable[[TargetLoad], bool]) -> None:
        """Leave the queues of closed targets; other agents are asked at once."""
        for asked in [each for each in self._pending if is_closed(each.load)]:
            self._leave(asked)
            self._answers.put_nowait((asked, SlotAnswer.DECLINED))

    def _leave_all(self) -> None:
        for asked in list(self._pending):
            self._leave(asked)

    def _leave(self, asked: _Asked) -> None:
        self._pending.remove(asked)
        self._stop_listening(asked)
        asked.call.end()

    def _stop_listening(self, asked: _Asked) -> None:
        if asked.listening is not None:
            asked.listening.cancel()


def _now() -> float:
    return asyncio.get_running_loop().time()
