"""Modelled agents: they give out the slots of the engine beside them, over links with a delay."""

import asyncio
import itertools
from collections.abc import Callable, Mapping

from lacewinggw.decisions.slots import SlotAllocator, SlotRequest
from lacewinggw.decisions.targetload import TargetLoad
from lacewinggw.frontend.slots import SlotAnswer
from lacewinggw.ids import LeaseId, TargetId
from lacewinggw.lab.fleetmodel.engine import ModelEngine
from lacewinggw.lab.fleetmodel.profile import FleetProfile

REPORT_S = 0.1  # between looks at the engine
NEAR_HOP_S = 0.0002
WORK_S = 0.0005  # of a process for one message


class ModelAgent:
    """The agent beside one modelled engine."""

    def __init__(self, engine: ModelEngine, slots: int) -> None:
        self.on_slow: Callable[[], object] = lambda: None
        self._engine = engine
        self._ledger = SlotAllocator(slots)
        self._calls: dict[LeaseId, ModelSlotCall] = {}
        self._numbers = itertools.count()
        self._look: asyncio.TimerHandle | None = None

    @property
    def load(self) -> int:
        """How many requests the engine has, or are on their way to it, or wait for it."""
        return max(self._engine.running, self._ledger.taken) + self._ledger.waiting

    @property
    def slowness(self) -> float:
        """How many times its declared time the engine takes, by what entries measure."""
        return self._ledger.speed.factor(asyncio.get_running_loop().time())

    async def run(self) -> None:
        """Look at the engine now and then."""
        while True:
            now = asyncio.get_running_loop().time()
            if self._engine.is_up and not self._engine.is_loading:
                self._ledger.open()
            else:
                self._dismiss(self._ledger.close(), SlotAnswer.DECLINED)
            self._ledger.note_report(self._engine.running, now)
            self._give()
            await asyncio.sleep(REPORT_S)

    def note_gap(self, gap_s: float, declared_s: float) -> None:
        """Take a long gap that an entry measured; tell entries at once if the engine is slow."""
        was_slow = self.slowness > 1.0
        self._ledger.speed.note_gap(gap_s, declared_s, asyncio.get_running_loop().time())
        if self.slowness > 1.0 and not was_slow:
            self.on_slow()

    def take(self, call: "ModelSlotCall", wish: SlotRequest) -> LeaseId:
        """Take the question for a slot."""
        lease = LeaseId(next(self._numbers))
        if not self._ledger.is_open:
            call.tell(SlotAnswer.DECLINED)
            return lease
        self._calls[lease] = call
        self._ledger.enqueue(lease, wish, asyncio.get_running_loop().time())
        self._give()
        if lease in self._calls and not call.is_granted:
            call.tell(SlotAnswer.QUEUED)
        return lease

    def end(self, lease: LeaseId) -> None:
        """Take a slot back."""
        self._calls.pop(lease, None)
        self._ledger.release(lease)
        self._give()

    def _give(self) -> None:
        now = asyncio.get_running_loop().time()
        for lease in self._ledger.grant(now):
            self._calls[lease].is_granted = True
            self._calls[lease].tell(SlotAnswer.GRANTED)
        self._dismiss(self._ledger.drop_limited(now), SlotAnswer.DECLINED)
        self._dismiss(self._ledger.drop_excess(now), SlotAnswer.EXCESS)
        self._dismiss(self._ledger.drop_overtaken(now), SlotAnswer.OVERTAKEN)
        look_at = self._ledger.next_check_at(now)
        if self._look is not None:
            self._look.cancel()
            self._look = None
        if look_at is not None and look_at > now:
            self._look = asyncio.get_running_loop().call_at(look_at + 0.001, self._give)

    def _dismiss(self, leases: list[LeaseId], answer: SlotAnswer) -> None:
        for lease in leases:
            self._calls.pop(lease).tell(answer)


class ModelSlotCall:
    """One slot that a modelled agent was asked for."""

    def __init__(self, agent: ModelAgent, wish: SlotRequest, hop_s: float) -> None:
        self.is_granted = False
        self._agent = agent
        self._hop_s = hop_s
        self._answers: asyncio.Queue[SlotAnswer] = asyncio.Queue()
        self._lease: LeaseId | None = None
        self._ended = False
        self._later(self._arrive, wish)

    async def answer(self) -> SlotAnswer:
        """Return the next thing that the agent says."""
        return await self._answers.get()

    def end(self) -> None:
        """Give the slot back."""
        self._later(self._end)

    def tell(self, answer: SlotAnswer) -> None:
        """Carry an answer to the entry."""
        self._later(self._answers.put_nowait, answer)

    def _arrive(self, wish: SlotRequest) -> None:
        self._lease = self._agent.take(self, wish)

    def _end(self) -> None:
        if self._lease is not None:
            self._agent.end(self._lease)

    def _later(self, act, *arguments) -> None:  # type: ignore[no-untyped-def]
        asyncio.get_running_loop().call_later(self._hop_s + WORK_S, act, *arguments)


class ModelSlots:
    """The way of one entry to all agents; `place` is its own."""

    def __init__(
        self, profile: FleetProfile, agents: Mapping[TargetId, ModelAgent], place: str
    ) -> None:
        self._profile = profile
        self._agents = agents
        self._place = place

    def report_gap(self, load: TargetLoad, gap_s: float, declared_s: float) -> None:
        """Tell the agent beside a target of a long gap."""
        hop_s = NEAR_HOP_S if load.entry.place == self._place else self._profile.hop_s
        agent = self._agents[load.entry.target]
        loop = asyncio.get_running_loop()
        loop.call_later(hop_s + WORK_S, agent.note_gap, gap_s, declared_s)

    def ask(self, load: TargetLoad, wish: SlotRequest) -> ModelSlotCall:
        """Ask the agent beside a target for a slot."""
        hop_s = NEAR_HOP_S if load.entry.place == self._place else self._profile.hop_s
        return ModelSlotCall(self._agents[load.entry.target], wish, hop_s)
