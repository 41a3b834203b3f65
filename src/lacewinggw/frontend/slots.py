"""Asking agents for slots of their targets: a few at once, and the first to give one is taken."""

import asyncio
from collections.abc import Callable, Set
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Protocol

from lacewinggw.decisions.slots import SlotRequest
from lacewinggw.decisions.targetload import TargetLoad
from lacewinggw.ids import TargetId

# How many agents a request waits for at once. One alone may be frozen, or keep all its slots, and
# each keeps few in line: with fewer, slots that fall free would find nobody for a moment.
MAX_CONCURRENT_ASKS = 6
MAX_ASKS = 8  # by one request, those that declined included
# A request that others have overtaken at so many agents does not wait at the rest: newer ones come
# there as well, and its caller would be held for little. One alone may be that of a slow engine.
MAX_OVERTAKEN = 2
# An agent answers in a millisecond, over a link that carries weights in some tens. One that has
# not is waited for no longer before another is asked.
ANSWER_TIMEOUT_S = 0.05

MIN_WAIT_S = 0.001  # timers are no finer


class SlotAnswer(Enum):
    """What an agent says of a slot that it was asked for."""

    GRANTED = "granted"
    QUEUED = "queued"
    DECLINED = "declined"
    OVERTAKEN = "overtaken"  # others are before it there, and leave it no prospect
    LOST = "lost"  # the link broke: nothing was granted, or it counts no more


class SlotCall(Protocol):
    """One slot that an agent was asked for."""

    async def answer(self) -> SlotAnswer:
        """Return the next thing that the agent says."""

    def end(self) -> None:
        """Give the slot back, or leave the line for it."""


AskSlot = Callable[[TargetLoad, SlotRequest], SlotCall | None]
PickTarget = Callable[[Set[TargetId]], TargetLoad | None]


@dataclass(frozen=True)
class Lease:
    """A slot that was granted at a target; `end` it when the request there is over."""

    load: TargetLoad
    call: SlotCall

    def end(self) -> None:
        """Give the slot back."""
        self.call.end()


@dataclass(eq=False)
class _Asked:
    """An agent that was asked, and the task that hears it."""

    load: TargetLoad
    call: SlotCall
    listening: "asyncio.Task[None] | None" = None
    has_answered: bool = False


@dataclass(eq=False)
class SlotSearch:
    """One request's search for a slot.

    `pick` names the next target to ask, other than those asked already. Its place in their lines
    is by `arrived_at`, of the loop's clock.

        lease = await SlotSearch(ask, pick, wish, arrived_at).find(until)
    """

    ask: AskSlot
    pick: PickTarget
    request: SlotRequest
    arrived_at: float
    _overtaken: int = 0
    _asked: set[TargetId] = field(default_factory=set)
    _pending: list[_Asked] = field(default_factory=list)
    _answers: "asyncio.Queue[tuple[_Asked, SlotAnswer]]" = field(default_factory=asyncio.Queue)

    async def find(self, until: float) -> Lease | None:
        """Return a slot, or None if there is none until then by the loop's clock."""
        try:
            return await self._find(until)
        finally:
            self._leave_all()

    async def _find(self, until: float) -> Lease | None:
        while self._overtaken < MAX_OVERTAKEN:
            newest = self._ask_one() if len(self._pending) < MAX_CONCURRENT_ASKS else None
            if not self._pending:
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
        """Wait for a slot up to `limit`, or until one more is to be asked."""
        try:
            async with asyncio.timeout_at(limit):
                while True:
                    asked, answer = await self._answers.get()
                    asked.has_answered = True
                    match answer:
                        case SlotAnswer.GRANTED if asked in self._pending:
                            self._pending.remove(asked)
                            self._stop_listening(asked)
                            return Lease(asked.load, asked.call)
                        case SlotAnswer.DECLINED | SlotAnswer.OVERTAKEN | SlotAnswer.LOST:
                            if asked in self._pending:
                                self._pending.remove(asked)
                            self._overtaken += answer is SlotAnswer.OVERTAKEN
                            return None
                        case SlotAnswer.QUEUED if asked is newest:
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
        """Leave the lines for targets that are closed; other agents are asked at once."""
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
