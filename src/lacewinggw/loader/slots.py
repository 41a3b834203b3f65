"""The agent's side of leases on its target's slots, which entries request and return."""

import asyncio
import itertools
from collections.abc import Iterable

from lacewinggw.decisions.slots import SlotAllocator, SlotRequest
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.generated.messages.ttypes import SlotState
from lacewinggw.ids import LeaseId, RequestDigest
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics
from lacewinggw.wire.peers import Exchange
from lacewinggw.wire.soundness import require_sound

MS_PER_S = 1000.0
US_PER_S = 1e6
TIMER_MARGIN_S = 0.001  # the resolution of timers

log = get_logger(__name__)


class AgentSlotService:
    """Grants the slots of one target to entries.

    slots = AgentSlotService(metrics)
    await slots.serve(exchange, ask)  # until the entry returns the slot, or its link breaks
    slots.update_target(running=5, accepts_work=True)
    """

    def __init__(self, metrics: Metrics) -> None:
        self._ledger = SlotAllocator()
        self._exchanges: dict[LeaseId, Exchange] = {}
        self._numbers = itertools.count()
        self._recheck_timer: asyncio.TimerHandle | None = None
        self._counts = {
            state: metrics.counter("slots_asked", outcome=state.name.lower()) for state in SlotState
        }
        metrics.read_gauge("slots_taken", lambda: self._ledger.taken)
        metrics.read_gauge("slots_waited_for", lambda: self._ledger.waiting)

    @property
    def taken(self) -> int:
        """The number of slots that are taken."""
        return self._ledger.taken

    @property
    def waiting(self) -> int:
        """The number of requests that wait for a slot."""
        return self._ledger.waiting

    def close(self) -> None:
        """Cancel the timer that checks the queue."""
        self._cancel_recheck()

    def update_target(self, running: int | None, accepts_work: bool) -> None:
        """Set how many requests the target has running and queued, None if it does not answer.

        While the target accepts no work, for example because it loads weights, no slots are granted
        and waiting requests are declined.
        """
        if running is not None:
            self._ledger.note_report(running, _now())
        if accepts_work and running is not None:
            if not self._ledger.is_open:
                log.info("slots_opened", running=running)
            self._ledger.open()
            self._grant()
        elif self._ledger.is_open:
            log.info("slots_closed", taken=self.taken, waiting=self.waiting)
            self._notify(self._ledger.close(), SlotState.DECLINED)

    async def serve(self, exchange: Exchange, ask: messages.AskSlot) -> None:
        """Handle one lease from its request to its end."""
        require_sound(ask)
        if not self._ledger.is_open:
            self._counts[SlotState.DECLINED].add()
            exchange.finish(messages.SlotUpdate(SlotState.DECLINED))
            return
        lease = LeaseId(next(self._numbers))
        self._exchanges[lease] = exchange
        self._ledger.slots = ask.slots
        self._ledger.enqueue(lease, _slot_request(ask), _now())
        try:
            if not self._grant(lease):
                self._notify([lease], SlotState.QUEUED)
            await exchange.follow_up()
        finally:
            del self._exchanges[lease]
            self._ledger.release(lease)
            self._grant()
        exchange.end_quietly()

    def _grant(self, asked: LeaseId | None = None) -> bool:
        """Grant free slots to waiting requests; return whether `asked` was granted or overtaken."""
        now = _now()
        given = self._ledger.grant(now)
        self._notify(given, SlotState.GRANTED)
        overtaken = self._ledger.drop_overtaken(now)
        self._notify(overtaken, SlotState.OVERTAKEN)
        self._cancel_recheck()
        look_at = self._ledger.next_check_at(now)
        if look_at is not None and look_at > now:
            loop = asyncio.get_running_loop()
            self._recheck_timer = loop.call_at(look_at + TIMER_MARGIN_S, self._grant)
        return asked in given or asked in overtaken

    def _notify(self, leases: Iterable[LeaseId], state: SlotState) -> None:
        for lease in leases:
            self._counts[state].add()
            self._exchanges[lease].reply(messages.SlotUpdate(state))

    def _cancel_recheck(self) -> None:
        if self._recheck_timer is not None:
            self._recheck_timer.cancel()
            self._recheck_timer = None


def _slot_request(ask: messages.AskSlot) -> SlotRequest:
    suspect = RequestDigest(ask.suspect) if ask.suspect else None
    return SlotRequest(
        rank=ask.rank,
        is_late=ask.late,
        wait_s=ask.wait_ms / MS_PER_S,
        prefill_s=ask.reading_us / US_PER_S,
        suspect=suspect,
        waited_s=ask.waited_us / US_PER_S,
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
