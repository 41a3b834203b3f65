"""Where requests wait for a target: the pool's choices and the waiting lines, wired to futures."""

import asyncio
import math
import random
from collections import defaultdict
from dataclasses import dataclass

from lacewinggw.background import Background
from lacewinggw.decisions.dispatch import TargetPool, TargetRequirements
from lacewinggw.decisions.slots import SlotRequest
from lacewinggw.decisions.targetload import InFlightRequest, TargetLoad
from lacewinggw.decisions.waitbudget import MIN_RETRY_AFTER_S
from lacewinggw.decisions.waitqueue import Waiter, WaitQueue
from lacewinggw.errors import NoTarget, Overloaded, RequestRefused
from lacewinggw.frontend.slots import AskSlot, Lease, SlotSearch
from lacewinggw.ids import ServiceName
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics

# Of a request that is tried again, before all others: work was done for it, and its caller may have
# part of the answer.
RETRY_PRIORITY = -1
REACH_CHECK_S = 0.25  # between looks for targets that cannot be reached any more, to log them
TICK_S = 0.02  # reports age and pauses end without an event of their own
# Until a target may run a request where none may now: after a loss of power targets are back within
# 1.5 s, weights that are late take longer. A caller waits for a third of its time at most.
NO_TARGET_RETRY_AFTER_S = (1.2, 2.0)
# A burst lasts some seconds, and callers wait for a third of their time.
FULL_RETRY_AFTER_S = (MIN_RETRY_AFTER_S, 2.0)
REOPEN_SPREAD_S = 0.5  # of callers that come back as a target takes requests again
# A late request that starts within it found a free slot, which says nothing of those that wait.
IMMEDIATE_START_S = 0.03
MS_PER_S = 1000

log = get_logger(__name__)


@dataclass
class _WaitingRequest:
    """A request in a line, and what it waits for."""

    requirements: TargetRequirements
    found: "asyncio.Future[InFlightRequest]"


class DispatchQueue:
    """Gives each request a target at once, later, or not at all.

    A slot of a target with an agent is asked for there, by `ask_slot`; for the others, and for
    those whose agents are silent, requests wait here.

    claim = await queue.claim(wish, priority, is_late=False, until=deadline)
    ...
    queue.end(claim)
    """

    def __init__(self, pool: TargetPool, metrics: Metrics, ask_slot: AskSlot) -> None:
        self._pool = pool
        self._ask_slot = ask_slot
        self._leases: dict[int, Lease] = {}
        self._lines: dict[ServiceName, WaitQueue] = defaultdict(WaitQueue)
        self._waiting_requests: dict[int, _WaitingRequest] = {}
        self._searches: set[SlotSearch] = set()
        self._wait = metrics.latency("queue_wait")
        metrics.read_gauge("requests_waiting", lambda: len(self._waiting_requests))
        self._loop = Background("request queue", self._run)

    async def start(self) -> None:
        """Begin to look after the lines."""
        self._loop.start()

    async def close(self) -> None:
        """Stop."""
        await self._loop.close()

    async def claim(
        self, requirements: TargetRequirements, priority: int, is_late: bool, until: float
    ) -> InFlightRequest:
        """Return room at a target, waiting for one up to `until` by the loop's clock.

        Raise `NoTarget` when none may run the request, and `Overloaded` at once when the wait
        would be too long, or later when it was.
        """
        now = _now()
        line = self._lines[requirements.service]
        fitting = self._pool.eligible(requirements)
        if not fitting:
            raise self._build_refusal(requirements)
        if self._pool.choose_for_slot(fitting, now, frozenset()) is not None:
            return await self._claim_slot(requirements, priority, is_late, until)
        if not len(line):
            load = self._pool.choose(fitting, now, is_late)
            if load is not None:
                return self._begin(line, load, requirements, now)
        allowed_at = min(load.allowed_at(now) for load in fitting)
        expected_s = line.expected_wait(priority, is_late)
        if max(allowed_at, now + expected_s) > until:
            raise self._build_refusal(requirements)
        return await self._wait_for(line, requirements, line.add(priority, is_late, until))

    def release(self, claim: InFlightRequest) -> None:
        """Give back the room of a request that is over, to whoever waits for it."""
        self._pool.end(claim)
        lease = self._leases.pop(id(claim), None)
        if lease is not None:
            lease.end()
        self.advance(claim.load.entry.service)

    async def _claim_slot(
        self, requirements: TargetRequirements, priority: int, is_late: bool, until: float
    ) -> InFlightRequest:
        """Return a slot that an agent gives."""
        began = _now()
        rank = max(0, priority - RETRY_PRIORITY)
        slot_request = SlotRequest(
            rank, is_late, until - began, requirements.prefill_s, requirements.suspect
        )
        search = SlotSearch(
            self._ask_slot,
            lambda asked: self._pool.choose_for_slot(
                self._pool.eligible(requirements), _now(), asked
            ),
            slot_request,
            arrived_at=began,
        )
        lease = await self._find_permitted(search, until)
        line = self._lines[requirements.service]
        if is_late and _now() - began > IMMEDIATE_START_S:
            line.note_late_outcome(started=lease is not None)
        if lease is None:
            raise self._build_refusal(requirements)
        now = _now()
        self._wait.record(now - began)
        claim = self._begin(line, lease.load, requirements, now)
        self._leases[id(claim)] = lease
        return claim

    async def _find_permitted(self, search: SlotSearch, until: float) -> Lease | None:
        """Return a slot of a target that still takes one more request of this entry.

        While this one waited in line the target may have begun to leave, or others of this entry
        may have taken what its limit allows.
        """
        self._searches.add(search)
        try:
            while True:
                lease = await search.find(until)
                if lease is None or self._pool.may_begin(lease.load, _now()):
                    return lease
                lease.end()
        finally:
            self._searches.discard(search)

    def drop_closed_targets(self) -> None:
        """Have no request wait any longer for targets to which none may be sent."""
        now = _now()
        for search in self._searches:
            search.withdraw_where(lambda load: not self._pool.may_send(load, now))
        for line in self._lines.values():
            self._refuse_unservable(line, now)

    def _refuse_unservable(self, line: WaitQueue, now: float) -> None:
        """Refuse at once what waits for targets of which none takes it in its time."""
        for waiter in list(line.in_order()):
            waiting = self._waiting_requests.get(id(waiter))
            if waiting is None or waiting.found.done():
                continue
            if self._next_open_at(waiting.requirements, now) > waiter.until:
                waiting.found.set_exception(self._build_refusal(waiting.requirements))
                line.remove(waiter)

    def _next_open_at(self, requirements: TargetRequirements, now: float) -> float:
        """Return when the first target may be sent a request, as far as is known."""
        fitting = self._pool.eligible(requirements)
        return min((load.allowed_at(now) for load in fitting), default=math.inf)

    def _build_refusal(self, requirements: TargetRequirements) -> RequestRefused:
        """Return why a request is refused and when to return, spread out: not as a second burst."""
        if not self._pool.eligible(requirements):
            reason = f"no target of {requirements.service} may run the request"
            return NoTarget(reason, retry_after_ms=_draw_ms(NO_TARGET_RETRY_AFTER_S))
        now = _now()
        opens_in_s = self._next_open_at(requirements, now) - now
        if 0 < opens_in_s < math.inf:
            reason = f"the targets of {requirements.service} take nothing for now"
            between_s = (opens_in_s, opens_in_s + REOPEN_SPREAD_S)
            return Overloaded(reason, retry_after_ms=_draw_ms(between_s))
        reason = f"the targets of {requirements.service} are full"
        return Overloaded(reason, retry_after_ms=_draw_ms(FULL_RETRY_AFTER_S))

    def late_share(self, service: ServiceName) -> float:
        """Return the share of late requests for a service that started lately."""
        return self._lines[service].late_share

    async def _wait_for(
        self, line: WaitQueue, requirements: TargetRequirements, waiter: Waiter
    ) -> InFlightRequest:
        joined_at = _now()
        found = asyncio.get_running_loop().create_future()
        self._waiting_requests[id(waiter)] = _WaitingRequest(requirements, found)
        try:
            async with asyncio.timeout_at(waiter.until):
                claim: InFlightRequest = await found
        except TimeoutError:
            if not found.cancelled() and found.done():
                self._pool.end(found.result())
            if waiter.is_late:
                line.note_late_outcome(started=False)
            raise self._build_refusal(requirements) from None
        except asyncio.CancelledError:
            if found.done() and not found.cancelled():
                self._pool.end(found.result())
            raise
        finally:
            line.remove(waiter)
            self._waiting_requests.pop(id(waiter), None)
        self._wait.record(_now() - joined_at)
        if waiter.is_late:
            line.note_late_outcome(started=True)
        return claim

    def advance(self, service: ServiceName) -> None:
        """Give targets to those that wait for a service, in order, as far as there is room."""
        line = self._lines[service]
        if not len(line):
            return
        now = _now()
        for waiter in list(line.in_order()):
            waiting = self._waiting_requests.get(id(waiter))
            if waiting is None or waiting.found.done():
                continue
            fitting = self._pool.eligible(waiting.requirements)
            load = self._pool.choose(fitting, now, waiter.is_late)
            if load is None:
                return
            waiting.found.set_result(self._begin(line, load, waiting.requirements, now))
            line.remove(waiter)

    def _begin(
        self, line: WaitQueue, load: TargetLoad, requirements: TargetRequirements, now: float
    ) -> InFlightRequest:
        line.note_start(now)
        return self._pool.begin(load, now, requirements.prefill_s)

    async def _run(self) -> None:
        look_at = 0.0
        while True:
            await asyncio.sleep(TICK_S)
            for service in list(self._lines):
                self.advance(service)
            if _now() >= look_at:
                look_at = _now() + REACH_CHECK_S
                self._log_reach()

    def _log_reach(self) -> None:
        now = _now()
        for load in self._pool.reachability_changes(now):
            log.info(
                "target_reachable" if load.was_reachable else "target_unreachable",
                target=load.entry.target,
                stalled=load.is_stalled(now),
                queue_ms=round(load.link_delay(now) * MS_PER_S),
                in_flight=load.in_flight,
            )


def _draw_ms(between_s: tuple[float, float]) -> int:
    return round(random.uniform(*between_s) * MS_PER_S)


def _now() -> float:
    return asyncio.get_running_loop().time()
