"""The agent's side of leases on its target's slots, which entries request and return."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Iterable

from lacewinggw.decisions.coldstart import ColdLimiter
from lacewinggw.decisions.slots import SlotAllocator, SlotRequest
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.generated.messages.ttypes import SlotState
from lacewinggw.ids import Account, LeaseId, SuspectGroup
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics
from lacewinggw.wire.peers import Exchange
from lacewinggw.wire.validation import require_valid

MS_PER_S = 1000.0
US_PER_S = 1e6
EXCESS_LOG_INTERVAL_S = 1.0
MAX_EXCESS_LOGGED = 3  # accounts per interval, those with the most declined requests
TIMER_MARGIN_S = 0.001  # the resolution of timers
LAST_STATES = frozenset({SlotState.DECLINED, SlotState.OVERTAKEN})  # nothing follows these

log = get_logger(__name__)


class AgentSlotService:
    """Grants the slots of one target to entries, at the pace that `limiter` allows.

    slots = AgentSlotService(metrics)
    await slots.serve(exchange, request)  # until the entry returns the slot, or its link breaks
    slots.update_target(running=5, accepts_work=True)
    """

    def __init__(self, metrics: Metrics, limiter: ColdLimiter | None = None) -> None:
        self._allocator = SlotAllocator(limiter=limiter or ColdLimiter())
        self._exchanges: dict[LeaseId, Exchange] = {}
        self._accounts: dict[LeaseId, Account] = {}
        self._excess: Counter[Account] = Counter()  # requests declined since they were last logged
        self._excess_logged_at = 0.0
        self._numbers = itertools.count()
        self._recheck_timer: asyncio.TimerHandle | None = None
        self._counts = {
            state: metrics.counter("slots_asked", outcome=state.name.lower()) for state in SlotState
        }
        self._limited = metrics.counter("slots_limited")
        self._slow_moments = metrics.counter("target_slow_moments")
        metrics.read_gauge("slots_taken", lambda: self._allocator.taken)
        metrics.read_gauge("slots_waited_for", lambda: self._allocator.waiting)

    @property
    def taken(self) -> int:
        """The number of slots that are taken."""
        return self._allocator.taken

    @property
    def waiting(self) -> int:
        """The number of requests that wait for a slot."""
        return self._allocator.waiting

    @property
    def slowness(self) -> float:
        """How many times its declared time the target takes."""
        return self._allocator.speed.factor(_now())

    def note_gap(self, gap: messages.TargetGap) -> bool:
        """Note a long gap that an entry measured; return whether it shows that the target is slow.

        Return False if that is known already.
        """
        require_valid(gap)
        if not gap.declared_us:
            return False
        was_slow = self.slowness > 1.0
        self._allocator.speed.note_gap(gap.gap_us / US_PER_S, gap.declared_us / US_PER_S, _now())
        if was_slow or self.slowness == 1.0:
            return False
        self._slow_moments.add()
        log.info("target_slow", factor=round(self.slowness, 1), taken=self.taken)
        return True

    def close(self) -> None:
        """Cancel the timer that checks the queue."""
        self._cancel_recheck()

    def update_target(self, running: int | None, accepts_work: bool) -> None:
        """Set how many requests the target has running and queued, None if it does not answer.

        While the target accepts no work, for example because it loads weights, no slots are granted
        and waiting requests are declined.
        """
        if running is not None:
            self._allocator.note_report(running, _now())
        if accepts_work and running is not None:
            if not self._allocator.is_open:
                log.info("slots_opened", running=running)
            self._allocator.open()
            self._grant()
        elif self._allocator.is_open:
            log.info("slots_closed", taken=self.taken, waiting=self.waiting)
            self._notify(self._allocator.close(), SlotState.DECLINED)

    def pause(self) -> None:
        """Grant nothing while the target is silent; waiting requests stay in the queue."""
        if self._allocator.is_open and not self._allocator.is_paused:
            log.info("slots_paused", taken=self.taken, waiting=self.waiting)
        self._allocator.pause()

    async def serve(self, exchange: Exchange, request: messages.AskSlot) -> None:
        """Handle one lease from its request to its end."""
        require_valid(request)
        if not self._allocator.is_open:
            self._counts[SlotState.DECLINED].add()
            exchange.finish(messages.SlotUpdate(SlotState.DECLINED))
            return
        lease = LeaseId(next(self._numbers))
        self._exchanges[lease] = exchange
        self._accounts[lease] = Account(request.account)
        self._allocator.slots = request.slots
        self._allocator.enqueue(lease, _slot_request(request), _now())
        try:
            if not self._grant(lease):
                self._notify([lease], SlotState.QUEUED)
            await exchange.follow_up()
        finally:
            del self._exchanges[lease]
            del self._accounts[lease]
            self._allocator.release(lease)
            self._grant()
        exchange.finish_without_reply()

    def _grant(self, requested: LeaseId | None = None) -> bool:
        """Grant the free slots; return whether `requested` was granted or dropped."""
        now = _now()
        granted = self._allocator.grant(now)
        self._notify(granted, SlotState.GRANTED)
        limited = self._allocator.drop_limited(now)
        self._limited.add(len(limited))
        self._notify(limited, SlotState.DECLINED)
        excess = self._allocator.drop_excess(now)
        self._notify(excess, SlotState.EXCESS)
        self._log_excess(excess, now)
        overtaken = self._allocator.drop_overtaken(now)
        self._notify(overtaken, SlotState.OVERTAKEN)
        self._cancel_recheck()
        check_at = self._allocator.next_check_at(now)
        if check_at is not None and check_at > now:
            loop = asyncio.get_running_loop()
            self._recheck_timer = loop.call_at(check_at + TIMER_MARGIN_S, self._grant)
        return requested in (*granted, *limited, *excess, *overtaken)

    def _log_excess(self, leases: Iterable[LeaseId], now: float) -> None:
        """Log whose requests were declined, at most once per interval."""
        self._excess.update(self._accounts[lease] for lease in leases)
        if not self._excess or now - self._excess_logged_at < EXCESS_LOG_INTERVAL_S:
            return
        self._excess_logged_at = now
        for account, declined in self._excess.most_common(MAX_EXCESS_LOGGED):
            log.info("account_excess", account=account, declined=declined, taken=self.taken)
        self._excess.clear()

    def _notify(self, leases: Iterable[LeaseId], state: SlotState) -> None:
        for lease in leases:
            self._counts[state].add()
            exchange = self._exchanges[lease]
            if state not in LAST_STATES:
                exchange.reply(messages.SlotUpdate(state))
                continue
            exchange.finish(messages.SlotUpdate(state))
            # The entry sends no follow-up on a call that has ended, so end the wait for one.
            exchange.enqueue_follow_up(messages.Cancel("no slot"))

    def _cancel_recheck(self) -> None:
        if self._recheck_timer is not None:
            self._recheck_timer.cancel()
            self._recheck_timer = None


def _slot_request(request: messages.AskSlot) -> SlotRequest:
    suspect = SuspectGroup(request.suspect) if request.suspect else None
    return SlotRequest(
        rank=request.rank,
        is_late=request.late,
        wait_s=request.wait_ms / MS_PER_S,
        prefill_s=request.reading_us / US_PER_S,
        suspect=suspect,
        waited_s=request.waited_us / US_PER_S,
        account=Account(request.account),
        service_s=request.service_us / US_PER_S,
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
