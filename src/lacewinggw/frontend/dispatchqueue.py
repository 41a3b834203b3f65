"""Queue requests until a target is available; the decisions are those of the target pool."""

import asyncio
import math
import random
from collections import defaultdict
from collections.abc import Set
from dataclasses import dataclass

from lacewinggw.background import Background
from lacewinggw.decisions.dispatch import TargetPool, TargetRequirements
from lacewinggw.decisions.homeregions import Homes
from lacewinggw.decisions.slots import SlotRequest
from lacewinggw.decisions.targetload import InFlightRequest, TargetLoad
from lacewinggw.decisions.waitbudget import MIN_RETRY_AFTER_S
from lacewinggw.decisions.waitqueue import RETRY_PRIORITY, Waiter, WaitQueue
from lacewinggw.errors import NoHomeTarget, NoTarget, Overloaded, RequestRefused
from lacewinggw.frontend.slots import MIN_WAIT_S, AskSlot, Lease, SlotSearch
from lacewinggw.ids import Place, ServiceName, TargetId
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics

REACH_CHECK_S = 0.5  # interval of the check that logs targets becoming (un)reachable
TICK_S = 0.02  # reports expire and backoffs end without an event of their own
# Bounds of the Retry-After when no target is eligible. After a power loss targets return within
# 1.5 s; delayed weights take longer. Callers wait for a third of their time at most.
NO_TARGET_RETRY_AFTER_S = (1.2, 2.0)
# Bounds of the Retry-After when all targets are full. A burst lasts some seconds, and callers wait
# for a third of their time.
FULL_RETRY_AFTER_S = (MIN_RETRY_AFTER_S, 2.0)
REOPEN_SPREAD_S = 0.5  # spreads out callers that return when a target accepts requests again
# A late request that starts within this time found a free slot, which says nothing about how many
# of the queued late requests start.
IMMEDIATE_START_S = 0.03
MS_PER_S = 1000

log = get_logger(__name__)


@dataclass
class _WaitingRequest:
    """A request in a queue, and the future of its claim; None if it is to wait at agents."""

    waiter: Waiter
    requirements: TargetRequirements
    found: "asyncio.Future[InFlightRequest | None]"


class DispatchQueue:
    """Assigns each request to a target, at once or after a wait, or refuses it.

    If a target has an agent, the slot is requested from the agent through `ask_slot`. For other
    targets, and those whose agents do not respond, requests wait here.

    claim = await queue.claim(requirements, priority, is_late=False, until=deadline)
    ...
    queue.release(claim)
    """

    def __init__(
        self, pool: TargetPool, metrics: Metrics, ask_slot: AskSlot, rng: random.Random
    ) -> None:
        self._pool = pool
        self._ask_slot = ask_slot
        self._rng = rng
        self._leases: dict[int, Lease] = {}
        self._queues: dict[ServiceName, WaitQueue] = defaultdict(WaitQueue)
        self._waiting_requests: dict[int, _WaitingRequest] = {}
        self._searches: dict[SlotSearch, TargetRequirements] = {}
        self._wait = metrics.latency("queue_wait")
        metrics.read_gauge("requests_waiting", lambda: len(self._waiting_requests))
        self._has_waiting = asyncio.Event()
        self._loop = Background("request queue", self._run)
        self._reach_loop = Background("reachability log", self._log_reach_changes)

    async def start(self) -> None:
        """Start advancing the queues."""
        self._loop.start()
        self._reach_loop.start()

    async def close(self) -> None:
        """Stop."""
        await self._reach_loop.close()
        await self._loop.close()

    async def claim(
        self, requirements: TargetRequirements, priority: int, is_late: bool, until: float
    ) -> InFlightRequest:
        """Return a claim on a target, waiting for one until `until` by the loop's clock.

        Raise `NoTarget` or `NoHomeTarget` if no target is eligible. Raise `Overloaded` at once if
        the expected wait is too long, or at `until` if no target became available.
        """
        return await self._claim(requirements, priority, is_late, _now(), until)

    async def _claim(
        self,
        requirements: TargetRequirements,
        priority: int,
        is_late: bool,
        began: float,
        until: float,
    ) -> InFlightRequest:
        """Return a claim on a target for a request that has waited since `began`."""
        now = _now()
        queue = self._queues[requirements.service]
        account, service_s = requirements.account, requirements.service_s
        eligible = self._pool.eligible(requirements)
        if not eligible:
            raise self._build_refusal(requirements)
        if all(load.limits_starts for load in eligible):
            # What a target allows is for the requests that already wait for it.
            self.advance(requirements.service)
        if self._pool.choose_for_slot(eligible, now, frozenset()) is not None:
            claim = await self._claim_slot(requirements, priority, is_late, began, until)
            if claim is not None:
                return claim
            now, eligible = _now(), self._pool.eligible(requirements)
            if not eligible:
                raise self._build_refusal(requirements)
        queue.note_request(priority, account, now)
        open_targets = self._not_waited_for(requirements.service, eligible)
        if open_targets:
            load = self._pool.choose(open_targets, now, is_late)
            if load is not None:
                queue.note_served(priority, account, service_s, now)
                return self._begin(queue, load, requirements, now)
        ahead = len(queue) // len(eligible)
        allowed_at = min(load.direct_at(now, ahead) for load in eligible)
        expected_s = queue.expected_wait(priority, is_late)
        if max(allowed_at, now + expected_s) > until:
            raise self._build_refusal(requirements)
        is_rejected = bool(requirements.excluded) and priority != RETRY_PRIORITY
        if is_rejected and not any(load.backoff.is_over(now) for load in eligible):
            # It may have been a trial at the end of its wait: a second wait would make it late.
            raise self._build_refusal(requirements)
        if queue.is_excess(priority, account):
            raise self._build_refusal(requirements, is_excess=True)
        waiter = queue.add(priority, is_late, until, began, account, service_s)
        claim = await self._wait_for(queue, requirements, waiter)
        if claim is None:
            return await self._claim(requirements, priority, is_late, began, until)
        return claim

    def _not_waited_for(self, service: ServiceName, eligible: list[TargetLoad]) -> list[TargetLoad]:
        """Return the targets for which no request waits, as these lie outside its home regions."""
        if not len(self._queues[service]):
            return eligible
        for waiting in self._waiting_requests.values():
            if waiting.requirements.service != service or waiting.found.done():
                continue
            homes = waiting.requirements.homes()
            eligible = [load for load in eligible if not self._pool.is_home(load, homes)]
            if not eligible:
                break
        return eligible

    def unreachable_targets(self, service: ServiceName) -> frozenset[TargetId]:
        """Return the targets of a service that are silent or behind a congested link."""
        now = _now()
        return frozenset(
            target
            for target, load in self._pool.loads.items()
            if load.entry.service == service and not load.is_reachable(now)
        )

    def release(self, claim: InFlightRequest) -> None:
        """Release the claim of a finished request and advance the queue of its service."""
        self._pool.end(claim)
        lease = self._leases.pop(id(claim), None)
        if lease is not None:
            lease.end()
        self.advance(claim.load.entry.service)

    async def _claim_slot(
        self,
        requirements: TargetRequirements,
        priority: int,
        is_late: bool,
        began: float,
        until: float,
    ) -> InFlightRequest | None:
        """Return a claim on a slot that an agent grants, or None if no agent answers."""
        rank = max(0, priority - RETRY_PRIORITY)
        slot_request = SlotRequest(
            rank,
            is_late,
            until - _now(),
            requirements.prefill_s,
            requirements.suspect,
            account=requirements.account,
            service_s=requirements.service_s,
        )
        search = SlotSearch(
            self._ask_slot,
            lambda asked: self._pool.choose_for_slot(
                self._pool.eligible(requirements), _now(), asked
            ),
            slot_request,
            arrived_at=began,
        )
        lease = await self._find_permitted(search, requirements, until)
        if lease is None and search.is_unanswered and _now() < until - MIN_WAIT_S:
            return None
        queue = self._queues[requirements.service]
        if is_late and _now() - began > IMMEDIATE_START_S:
            queue.note_late_outcome(started=lease is not None)
        if lease is None:
            raise self._build_refusal(requirements, search.is_excess)
        now = _now()
        self._wait.record(now - began)
        claim = self._begin(queue, lease.load, requirements, now, has_slot=True)
        self._leases[id(claim)] = lease
        return claim

    async def _find_permitted(
        self, search: SlotSearch, requirements: TargetRequirements, until: float
    ) -> Lease | None:
        """Return a granted slot whose target still accepts a request of this entry.

        While the request waited, the target may have begun to leave, other requests of this entry
        may have used up its limit, or the home regions of the request may have changed. Such slots
        are given back.
        """
        self._searches[search] = requirements
        try:
            while True:
                lease = await search.find(until)
                if lease is None:
                    return None
                is_home = self._pool.is_home(lease.load, requirements.homes())
                if is_home and self._pool.may_begin(lease.load, _now()):
                    return lease
                lease.end()
        finally:
            del self._searches[search]

    def drop_closed_targets(self) -> None:
        """Stop waiting for targets that no longer accept requests.

        Slot searches try other agents. Queued requests are refused if no other target can accept
        them in time.
        """
        now = _now()
        for search, requirements in self._searches.items():
            self._withdraw_closed(search, requirements.homes(), now)
        for service in self._queues:
            self._refuse_unservable(service, now)

    def _withdraw_closed(self, search: SlotSearch, homes: Homes, now: float) -> None:
        search.withdraw_where(
            lambda load: not (self._pool.is_home(load, homes) and self._pool.may_send(load, now))
        )

    def apply_evacuation(self, before: Set[Place], after: Set[Place]) -> None:
        """Adjust to a change of the evacuated places from `before` to `after`.

        Expected waits follow from the remaining slots at once. Otherwise requests would wait for
        starts that no longer happen until enough of them have been refused.
        """
        for service, queue in self._queues.items():
            slots_before = self._pool.slots_outside(service, before)
            slots_after = self._pool.slots_outside(service, after)
            if slots_before and slots_after:
                queue.scale_start_gap(slots_before / slots_after)
        self.drop_closed_targets()

    def _refuse_surplus(self, waiting: _WaitingRequest, now: float) -> None:
        """Refuse waiting requests if more wait than back-offs and rate limits let begin."""
        if self._count_starts(waiting, now) < math.inf:
            self._refuse_unservable(waiting.requirements.service, now)

    def _refuse_unservable(self, service: ServiceName, now: float) -> None:
        """Refuse queued requests that no target will accept before their wait ends.

        While all targets limit how many requests begin, the most urgent and then the oldest stay.
        """
        kept: list[list[TargetLoad]] = []  # the eligible targets of each request that stays
        for waiting in self._oldest_first(service):
            until, requirements = waiting.waiter.until, waiting.requirements
            eligible = self._pool.eligible(requirements)
            starts = self._count_starts(waiting, now)
            ahead = 0
            if starts < math.inf:
                ahead = sum(any(load in eligible for load in others) for others in kept)
            if ahead < starts and self._next_direct_at(requirements, now) <= until:
                kept.append(eligible)
                continue
            waiting.found.set_exception(self._build_refusal(requirements))
            self._queues[service].remove(waiting.waiter)

    def _count_starts(self, waiting: _WaitingRequest, now: float) -> float:
        """Return how many requests back-offs and rate limits let begin while a request waits.

        A request that can be on time counts on a trial of its own after a back-off. Those that are
        late or have run in part wait longer, so they also count on what follows an accepted trial.
        """
        waiter = waiting.waiter
        trials_only = not waiter.is_late and waiter.priority != RETRY_PRIORITY
        eligible = self._pool.eligible(waiting.requirements)
        return sum(load.starts_by(waiter.until, now, trials_only) for load in eligible)

    def _in_order(self, service: ServiceName) -> list[_WaitingRequest]:
        """Return the waiting requests of a service, the next one first.

        While all targets limit how many requests begin, each that waits counts on its turn.
        """
        loads = [load for load in self._pool.loads.values() if load.entry.service == service]
        if all(load.limits_starts for load in loads):
            return self._oldest_first(service)
        waiting = (
            self._waiting_requests.get(id(each)) for each in self._queues[service].in_order()
        )
        return [each for each in waiting if each is not None and not each.found.done()]

    def _oldest_first(self, service: ServiceName) -> list[_WaitingRequest]:
        """Return the waiting requests of a service, the most urgent and then the oldest first."""
        waiting = [
            each
            for each in self._waiting_requests.values()
            if each.requirements.service == service and not each.found.done()
        ]
        return sorted(waiting, key=lambda each: (each.waiter.priority, each.waiter.is_late))

    def _next_open_at(self, requirements: TargetRequirements, now: float) -> float:
        """Return when the first target is expected to accept a request; infinity if none is."""
        eligible = self._pool.eligible(requirements)
        return min((load.allowed_at(now) for load in eligible), default=math.inf)

    def _next_direct_at(self, requirements: TargetRequirements, now: float) -> float:
        """Return when the first target is expected to accept a request without a slot."""
        eligible = self._pool.eligible(requirements)
        return min((load.direct_at(now) for load in eligible), default=math.inf)

    def _build_refusal(
        self, requirements: TargetRequirements, is_excess: bool = False
    ) -> RequestRefused:
        """Return the error for a refused request.

        Its Retry-After is random within bounds, so that callers do not return as a second burst.
        `is_excess` is set if the account is ahead of its share and others wait.
        """
        if not self._pool.eligible(requirements):
            homes = requirements.homes()
            if homes is not None:
                regions = ", ".join(sorted(homes)) or "none"
                reason = f"no target of {requirements.service} is eligible in the home regions"
                retry_after_ms = self._draw_ms(NO_TARGET_RETRY_AFTER_S)
                return NoHomeTarget(f"{reason}: {regions}", retry_after_ms=retry_after_ms)
            reason = f"no target of {requirements.service} is eligible for the request"
            if self._pool.is_evacuated(requirements.service):
                reason = f"all targets of {requirements.service} are in evacuated zones"
            return NoTarget(reason, retry_after_ms=self._draw_ms(NO_TARGET_RETRY_AFTER_S))
        now = _now()
        opens_in_s = self._next_open_at(requirements, now) - now
        if 0 < opens_in_s < math.inf:
            reason = f"the targets of {requirements.service} accept no requests at present"
            between_s = (opens_in_s, opens_in_s + REOPEN_SPREAD_S)
            return Overloaded(reason, retry_after_ms=self._draw_ms(between_s))
        reason = f"the targets of {requirements.service} are full"
        if is_excess:
            reason += ", and the client account is ahead of its share of them"
        return Overloaded(reason, retry_after_ms=self._draw_ms(FULL_RETRY_AFTER_S))

    def _draw_ms(self, between_s: tuple[float, float]) -> int:
        return round(self._rng.uniform(*between_s) * MS_PER_S)

    def late_share(self, service: ServiceName) -> float:
        """Return the share of recent late requests for a service that were started."""
        return self._queues[service].late_share

    async def _wait_for(
        self, queue: WaitQueue, requirements: TargetRequirements, waiter: Waiter
    ) -> InFlightRequest | None:
        """Return a claim, or None if the request is to wait at the agents of its targets."""
        joined_at = _now()
        found = asyncio.get_running_loop().create_future()
        waiting = _WaitingRequest(waiter, requirements, found)
        self._waiting_requests[id(waiter)] = waiting
        self._has_waiting.set()
        self._refuse_surplus(waiting, joined_at)
        try:
            async with asyncio.timeout_at(waiter.until):
                claim: InFlightRequest | None = await found
        except TimeoutError:
            self._end_unused(found)
            if waiter.is_late:
                queue.note_late_outcome(started=False)
            raise self._build_refusal(requirements) from None
        except asyncio.CancelledError:
            self._end_unused(found)
            raise
        finally:
            queue.remove(waiter)
            self._waiting_requests.pop(id(waiter), None)
        if claim is None:
            return None
        self._wait.record(_now() - joined_at)
        if waiter.is_late:
            queue.note_late_outcome(started=True)
        return claim

    def _end_unused(self, found: "asyncio.Future[InFlightRequest | None]") -> None:
        """End a claim that came as the wait for it ended."""
        if found.done() and not found.cancelled():
            claim = found.result()
            if claim is not None:
                self._pool.end(claim)

    def advance(self, service: ServiceName) -> None:
        """Assign free targets to the queued requests of a service, in queue order.

        Once an agent may be asked again, they wait for its slots: entries that send by their own
        counts would fill the targets beyond their slots.
        """
        queue = self._queues[service]
        if not len(queue):
            return
        now = _now()
        for waiting in self._in_order(service):
            waiter = waiting.waiter
            eligible = self._pool.eligible(waiting.requirements)
            asked = self._pool.choose_for_slot(eligible, now, frozenset())
            if asked is not None and asked.may_move_to_agent(now):
                waiting.found.set_result(None)
                queue.remove(waiter)
                continue
            load = self._pool.choose(eligible, now, waiter.is_late)
            if load is None and waiting.requirements.homes() is None:
                return
            if load is None:
                continue  # others may run in other regions
            waiting.found.set_result(self._begin(queue, load, waiting.requirements, now))
            queue.remove(waiter)
            queue.note_served(waiter.priority, waiter.account, waiter.service_s, now)

    def _begin(
        self,
        queue: WaitQueue,
        load: TargetLoad,
        requirements: TargetRequirements,
        now: float,
        has_slot: bool = False,
    ) -> InFlightRequest:
        queue.note_start(now)
        return self._pool.begin(load, now, requirements.prefill_s, has_slot)

    async def _run(self) -> None:
        """Advance the queues at an interval while requests wait in any of them."""
        while True:
            await self._has_waiting.wait()
            await asyncio.sleep(TICK_S)
            for service in list(self._queues):
                self.advance(service)
            if not self._waiting_requests:
                self._has_waiting.clear()

    async def _log_reach_changes(self) -> None:
        while True:
            await asyncio.sleep(REACH_CHECK_S)
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


def _now() -> float:
    return asyncio.get_running_loop().time()
