"""Choose the target of a request, how long to wait for it, and the options of the offer."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, replace

from lacewinggw.clock import Clock
from lacewinggw.decisions.dispatch import Suspicion, TargetRequirements
from lacewinggw.decisions.homeregions import Homes, anywhere
from lacewinggw.decisions.retries import RetryBudget
from lacewinggw.decisions.routes import RetryPolicy, Route, Service
from lacewinggw.decisions.routingview import RoutingView
from lacewinggw.decisions.targetload import InFlightRequest, TargetLoad
from lacewinggw.decisions.waitbudget import (
    MIN_RETRY_AFTER_S,
    CallerTimeouts,
    WaitBudget,
    first_part_s,
    prefill_time,
    service_time,
    wait_budget,
)
from lacewinggw.decisions.waitqueue import NO_ACCOUNT, RETRY_PRIORITY
from lacewinggw.errors import DeadlineTooNear, RetryBudgetSpent, TargetRefused
from lacewinggw.frontend.admission import AdmittedRequest
from lacewinggw.frontend.dispatchqueue import DispatchQueue
from lacewinggw.frontend.offers import OfferOptions
from lacewinggw.frontend.requeststate import RequestProgress
from lacewinggw.ids import ServiceName
from lacewinggw.log import get_logger

IDLE_OBJECTIVES = 3.0  # multiples of the route's objective; then a backup attempt is made
MIN_IDLE_TIMEOUT_S = 0.6
# The wait, from its arrival, of a request that may run once only at a service without engines, and
# whose route gives it less time than the shortest Retry-After. It is refused within 30 ms while all
# targets are full: a third of that is left for offers to targets that turn out to be full.
MAX_ONCE_WAIT_S = 0.02
MIN_TIMEOUT_S = 0.001  # with a timeout of 0 the request would not be sent at all
MAX_PAUSE_S = 1.0  # of a sound target
MAX_RESUME_WAIT_S = 1.5  # callers give a stream up after a gap of at least 2 s
# Callers give a stream up after the longest of these gaps without an event, as the operators state:
# a fixed time, a multiple of the route's objective, and a multiple of the route's usual gap.
MIN_GAP_S = 2.0
GAP_OBJECTIVES = 4.0
GAP_PAUSES = 8.0
LAST_OFFER_MARGIN_S = 0.6  # a later offer mostly yields its first event too late
MOST_URGENT = 0
URGENCY_BASE = 2  # of a request with priority 0 that has not run anywhere yet
LEAST_URGENT = 9
BUDGET_SPENT = "the retry budget is spent"

log = get_logger(__name__)


@dataclass(frozen=True)
class RetryLimits:
    """Retries allowed in a window: a share of requests, plus a number shared by all entries."""

    share: float
    extra: float
    window_s: float


class RequestPlacer:
    """Chooses targets for requests and counts retries against the budget.

    `retries` returns the limits of the fleet, and `count_entries` the number of entries that share
    them, 0 while it is unknown. From `extra_from` on, by `clock`, this process has its part of the
    fleet's extra retries.

    claim = await placer.claim(state)
    options, timeout_s = placer.offer_options(state, claim.load), placer.offer_timeout_s(state)
    """

    def __init__(
        self,
        view: RoutingView,
        queue: DispatchQueue,
        clock: Clock,
        retries: Callable[[], RetryLimits],
        count_entries: Callable[[], int],
        extra_from: float,
        suspicion_of: Callable[[AdmittedRequest], Suspicion | None] = lambda admitted: None,
        homes_of: Callable[[AdmittedRequest], Callable[[], Homes]] = lambda admitted: anywhere,
    ) -> None:
        self._view = view
        self._queue = queue
        self._clock = clock
        self._extra_from = extra_from
        self._retries = retries
        self._count_entries = count_entries
        self._suspicion_of = suspicion_of
        self._homes_of = homes_of
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self._times = CallerTimeouts()

    async def claim(self, progress: RequestProgress) -> InFlightRequest:
        """Return a claim on a target that accepts the request, waiting in the queue for one.

        Raise `DeadlineTooNear` if the caller is about to give up, and `TargetRefused` if the prompt
        exceeds the memory of the targets.
        """
        self._require_memory(progress.admitted)
        try:
            claim = await self._claim(progress, self._requirements(progress))
        finally:
            self.settle_retry(progress)
        if progress.offers == 0:
            self._budget(progress.admitted.service).note_request(_now())
        return claim

    async def claim_backup(self, progress: RequestProgress) -> InFlightRequest:
        """Return a claim on a target for an attempt beside a silent one, charged as a retry.

        Targets that are silent themselves are left out. Raise `RetryBudgetSpent` if the retry
        budget allows no further attempt.
        """
        service = progress.admitted.service
        if not self._budget(service).allows(_now()):
            raise RetryBudgetSpent(BUDGET_SPENT)
        requirements = self._requirements(progress)
        silent = self._queue.unreachable_targets(service)
        requirements = replace(requirements, excluded=requirements.excluded | silent)
        claim = await self._claim(progress, requirements)
        budget = self._budget(service)
        if not budget.reserve(_now()):
            self._queue.release(claim)
            raise RetryBudgetSpent(BUDGET_SPENT)
        budget.note_retry(_now())
        self._log_retry(progress)
        return claim

    async def _claim(
        self, progress: RequestProgress, requirements: TargetRequirements
    ) -> InFlightRequest:
        admitted = progress.admitted
        now = _now()
        left_s = admitted.deadline - now
        if progress.runs:
            # The request has already run in part, so any target with a free slot may continue it
            # as long as the caller waits.
            until = min(admitted.deadline, now + MAX_RESUME_WAIT_S)
            if progress.last_event is None:
                until = min(until, first_event_deadline(admitted) - LAST_OFFER_MARGIN_S)
            if until <= now:
                raise DeadlineTooNear("the caller is about to give up")
            claim = await self._queue.claim(requirements, RETRY_PRIORITY, False, until)
        else:
            wait = self._patience_for(admitted, left_s)
            progress.is_late = wait.is_late
            until = now + wait.wait_s
            if self._must_be_refused_soon(admitted):
                until = min(until, admitted.call.arrived_at + MAX_ONCE_WAIT_S)
            claim = await self._queue.claim(requirements, admitted.priority, wait.is_late, until)
        load = claim.load
        progress.target, progress.waited_s = load.entry.target, progress.waited_s + _now() - now
        progress.requests_ahead = round(load.ahead(now) - 1.0, 1)
        return claim

    def _must_be_refused_soon(self, admitted: AdmittedRequest) -> bool:
        """Return whether a request may run once only, for a caller that cannot wait and return."""
        service, route = self._service(admitted.service), admitted.route
        is_plain = service is None or service.engine is None
        is_short = route.timeout_s < MIN_RETRY_AFTER_S
        return is_plain and is_short and route.retry_policy is RetryPolicy.NEVER

    def take_retry(self, progress: RequestProgress) -> bool:
        """Return whether the request may be offered again, and charge the retry budget if so.

        An offer that reached no target caused no load, so replacing it is not counted as a retry.
        `claim` or `settle_retry` follows.
        """
        if not progress.has_reached_target:
            return progress.can_retry
        if not progress.can_retry or not self._budget(progress.admitted.service).reserve(_now()):
            return False
        progress.has_reserved_retry = True
        self._log_retry(progress)
        return True

    def settle_retry(self, progress: RequestProgress) -> None:
        """Count a reserved retry as sent now, if there is one; it has a target or found none."""
        if progress.has_reserved_retry:
            progress.has_reserved_retry = False
            self._budget(progress.admitted.service).note_retry(_now())

    def _log_retry(self, progress: RequestProgress) -> None:
        service, now = progress.admitted.service, _now()
        budget = self._budget(service)
        log.info(
            "retry_charged",
            request_id=progress.admitted.facts.call_id,
            service=service,
            spent=budget.spent(now),
            limit=round(budget.limit(now), 1),
            entries=self._count_entries(),
            extra=round(budget.extra, 1),
        )

    def _patience_for(self, admitted: AdmittedRequest, left_s: float) -> WaitBudget:
        facts, route = admitted.facts, admitted.route
        held_s = _now() - admitted.call.arrived_at
        elapsed_s = held_s + self._times.elapsed(route.name, facts.time_left_s)
        service = self._service(admitted.service)
        engine = service.engine if service else None
        late_share = self._queue.late_share(admitted.service)
        return wait_budget(route, engine, facts.prompt_tokens, elapsed_s, left_s, late_share)

    def _requirements(self, progress: RequestProgress) -> TargetRequirements:
        admitted = progress.admitted
        facts, model = admitted.facts, admitted.facts.model
        account = admitted.account.name if admitted.account else NO_ACCOUNT
        service = self._service(admitted.service)
        if service is None or service.engine is None or model is None:
            return TargetRequirements(
                admitted.service,
                excluded=frozenset(progress.tried_targets),
                account=account,
                service_s=first_part_s(admitted.route, None, 0),
                homes=self._homes_of(admitted),
            )
        min_version = self._min_version(progress)
        # A target stops at the deadline, however long the prompt would take.
        left_s = max(0.0, admitted.deadline - _now())
        prefill_s = min(left_s, prefill_time(service.engine, facts.prompt_tokens))
        service_s = service_time(
            service.engine, facts.prompt_tokens, facts.output_tokens, facts.expected_tokens
        )
        suspicion = self._suspicion_of(admitted)
        ended = suspicion.ended_targets if suspicion else frozenset()
        return TargetRequirements(
            admitted.service,
            model,
            min_version,
            progress.weights_version,
            ended.union(progress.tried_targets),
            prefill_s,
            suspicion.group if suspicion else None,
            account,
            min(left_s, service_s),
            self._homes_of(admitted),
        )

    def _require_memory(self, admitted: AdmittedRequest) -> None:
        """Raise `TargetRefused` for a prompt that no target of the service has memory for."""
        service, tokens = self._service(admitted.service), admitted.facts.prompt_tokens
        engine = service.engine if service else None
        if engine is not None and tokens > engine.memory_tokens:
            raise TargetRefused(f"no target has memory for a prompt of {tokens} tokens")

    def _service(self, name: ServiceName) -> Service | None:
        table = self._view.routes
        return table.services.get(name) if table else None

    def _min_version(self, progress: RequestProgress) -> int:
        """Return the oldest version of the model on which a request may still start."""
        model = progress.admitted.facts.model
        if model is None:
            return 0
        return self._view.min_version(model, self._clock(), self._begin_s(progress.admitted))

    def _budget(self, service: ServiceName) -> RetryBudget:
        limits = self._retries()
        budget = self._budgets.setdefault(service, RetryBudget(limits.share, minimum=0))
        budget.window_s = limits.window_s
        budget.share = limits.share
        budget.extra = self._extra_retries(limits)
        return budget

    def _extra_retries(self, limits: RetryLimits) -> float:
        """Return this entry's part of the fleet's extra retries."""
        entries = self._count_entries()
        if not entries or self._clock() < self._extra_from:
            return 0.0
        return limits.extra / entries

    def offer_options(self, progress: RequestProgress, load: TargetLoad) -> OfferOptions:
        """Return what the next offer of a request adds to the caller's own headers."""
        facts = progress.admitted.facts
        resume_after = progress.last_event if progress.last_event is not None else facts.last_event
        min_version = self._min_version(progress)
        version = (
            progress.weights_version
            if progress.weights_version is not None
            else min_version or None
        )
        usual = min(LEAST_URGENT, URGENCY_BASE + progress.admitted.priority)
        urgency = MOST_URGENT if progress.runs else usual
        send_by = self.start_deadline(progress, load) - self._begin_s(progress.admitted)
        homes = self._homes_of(progress.admitted)
        return OfferOptions(version, resume_after, urgency, homes, send_by)

    def start_deadline(
        self, progress: RequestProgress, load: TargetLoad, held: int | None = None
    ) -> float:
        """Return when a request must have started at a target, by the loop's clock.

        `held` is the version of the weights that the target stated in its answer.
        """
        model = progress.admitted.facts.model
        if model is None:
            return math.inf
        deadline = self._view.start_deadline(load.entry.target, model, held)
        return _now() + deadline - self._clock()

    def _begin_s(self, admitted: AdmittedRequest) -> float:
        """Return how long before its start deadline a request must be sent.

        One that may run once only cannot be moved if its target pauses before it starts.
        """
        service = self._service(admitted.service)
        engine = service.engine if service else None
        begin_s = first_part_s(admitted.route, engine, admitted.facts.prompt_tokens)
        if admitted.route.retry_policy is RetryPolicy.NEVER:
            begin_s += MAX_PAUSE_S
        return begin_s

    def offer_timeout_s(self, progress: RequestProgress) -> float:
        """Return how long a target may be silent: until the deadline of the request."""
        return max(MIN_TIMEOUT_S, progress.admitted.deadline - _now())


def idle_timeout_s(route: Route) -> float:
    """Return how long a target may be silent before another one is tried beside it."""
    return max(MIN_IDLE_TIMEOUT_S, IDLE_OBJECTIVES * route.objective_s)


def first_event_deadline(admitted: AdmittedRequest) -> float:
    """Return when the caller gives up a stream that has sent it no event, by the loop's clock."""
    route = admitted.route
    if not route.streams:
        return admitted.deadline
    gap_s = max(MIN_GAP_S, GAP_OBJECTIVES * route.objective_s, GAP_PAUSES * route.gap_s)
    return admitted.call.arrived_at + gap_s


def _now() -> float:
    return asyncio.get_running_loop().time()
