"""Where a request goes next, how long it waits for that, and what a target is told and allowed."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from lacewinggw.clock import Clock
from lacewinggw.decisions.dispatch import TargetRequirements
from lacewinggw.decisions.retries import RetryBudget
from lacewinggw.decisions.routes import RetryPolicy, Service
from lacewinggw.decisions.routingview import RoutingView
from lacewinggw.decisions.targetload import InFlightRequest, TargetLoad
from lacewinggw.decisions.waitbudget import CallerTimeouts, WaitBudget, prefill_time, wait_budget
from lacewinggw.errors import DeadlineTooNear
from lacewinggw.frontend.admission import Admitted
from lacewinggw.frontend.jobs import Job
from lacewinggw.frontend.offers import OfferLimits, Sending
from lacewinggw.frontend.queue import FIRST_PRIORITY, RequestQueue
from lacewinggw.ids import ServiceName

SILENCE_FACTOR = 3.0  # of the route's objective: a target that is silent longer is left
LEAST_SILENCE_S = 0.6
LEAST_S = 0.001  # a time limit of nothing would not even send the request
RESUME_WAIT_S = 1.5  # a caller gives a stream up after a pause of two seconds or more
# A caller gives a stream up after the longest of these without an event (the operators' figures).
LEAST_GAP_S = 2.0
GAP_OBJECTIVES = 4.0
GAP_PAUSES = 8.0
LAST_OFFER_S = 0.6  # before that: what is offered later has its first event too late, mostly
MOST_URGENT = 0
URGENCY_BASE = 2  # of a request with priority 0 that nobody has worked on yet
LEAST_URGENT = 9


@dataclass(frozen=True)
class RetryLimits:
    """Retries in a window: a share of requests, and a number more for all entries together."""

    share: float
    extra: float
    window_s: float


class Placing:
    """Chooses targets for requests and counts retries against the budget.

    claim = await placing.claim(job)
    sending, limits = placing.sending(job), placing.limits(job, claim.load)
    """

    def __init__(
        self,
        knowledge: RoutingView,
        queue: RequestQueue,
        clock: Clock,
        retries: Callable[[], RetryLimits],
        count_entries: Callable[[], int],
        is_suspect: Callable[[Admitted], bool] = lambda admitted: False,
    ) -> None:
        self._knowledge = knowledge
        self._queue = queue
        self._clock = clock
        self._retries = retries
        self._count_entries = count_entries
        self._is_suspect = is_suspect
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self._times = CallerTimeouts()

    async def claim(self, job: Job) -> InFlightRequest:
        """Return room at a target that takes the request now, waiting for one in the queue."""
        admitted = job.admitted
        wish = self._wish(job)
        now = _now()
        left_s = admitted.deadline - now
        if job.runs:
            # Work was done for it: it goes on wherever there is room, while its caller waits.
            until = min(admitted.deadline, now + RESUME_WAIT_S)
            if job.last_event is None:
                until = min(until, abandons_at(admitted) - LAST_OFFER_S)
            if until <= now:
                raise DeadlineTooNear("the caller is about to give up")
            claim = await self._queue.claim(wish, FIRST_PRIORITY, False, until)
        else:
            wait = self._patience(admitted, left_s)
            job.is_late = wait.is_late
            until = now + wait.wait_s
            claim = await self._queue.claim(wish, admitted.priority, wait.is_late, until)
        load = claim.load
        job.target, job.waited_s = load.entry.target, job.waited_s + _now() - now
        job.ahead = round(load.ahead(now) - 1.0, 1)
        if job.arrived:
            self._budget(admitted.service).note_call(_now())
        return claim

    def may_repeat(self, job: Job) -> bool:
        """Return whether a request may be offered once more, and count it if so.

        An offer that reached no target put no load on one: another in its place is not a retry.
        """
        if not job.arrived:
            return job.may_repeat
        return job.may_repeat and self._budget(job.admitted.service).take(_now())

    def _patience(self, admitted: Admitted, left_s: float) -> WaitBudget:
        facts, route = admitted.facts, admitted.route
        held_s = _now() - admitted.call.arrived_at
        elapsed_s = held_s + self._times.elapsed(route.name, facts.time_left_s)
        service = self._service(admitted.service)
        engine = service.engine if service else None
        late_share = self._queue.late_share(admitted.service)
        return wait_budget(route, engine, facts.prompt_tokens, elapsed_s, left_s, late_share)

    def _wish(self, job: Job) -> TargetRequirements:
        admitted = job.admitted
        model = admitted.facts.model
        service = self._service(admitted.service)
        if service is None or service.engine is None or model is None:
            return TargetRequirements(admitted.service, excluded=frozenset(job.avoid))
        least = self._least_version(job)
        reading_s = prefill_time(service.engine, admitted.facts.prompt_tokens)
        suspect = admitted.digest if self._is_suspect(admitted) else None
        return TargetRequirements(
            admitted.service, model, least, job.version, frozenset(job.avoid), reading_s, suspect
        )

    def _service(self, name: ServiceName) -> Service | None:
        table = self._knowledge.routes
        return table.services.get(name) if table else None

    def _least_version(self, job: Job) -> int:
        """Return the oldest version of the model that a request may still begin on."""
        model = job.admitted.facts.model
        if model is None:
            return 0
        return self._knowledge.min_version(model, self._clock())

    def _budget(self, service: ServiceName) -> RetryBudget:
        limits = self._retries()
        budget = self._budgets.setdefault(service, RetryBudget(limits.share))
        budget.window_s = limits.window_s
        entries = self._count_entries()
        budget.share = limits.share
        budget.extra = limits.extra / entries if entries else 0.0
        return budget

    def sending(self, job: Job) -> Sending:
        """Return what the next target is told of a request beside the caller's own head."""
        facts = job.admitted.facts
        resume_after = job.last_event if job.last_event is not None else facts.last_event
        least = self._least_version(job)
        version = job.version if job.version is not None else least or None
        usual = min(LEAST_URGENT, URGENCY_BASE + job.admitted.priority)
        urgency = MOST_URGENT if job.runs else usual
        return Sending(version, resume_after, urgency)

    def limits(self, job: Job, load: TargetLoad) -> OfferLimits:
        """Return how long a target may be silent: to the end where nobody else may be asked.

        What has not begun when the target's weights run out must not begin at all.
        """
        rest_s = max(LEAST_S, job.admitted.deadline - _now())
        silence_s = rest_s
        route = job.admitted.route
        if route.retry_policy is not RetryPolicy.NEVER and job.runs < route.attempts:
            silence_s = min(rest_s, max(LEAST_SILENCE_S, SILENCE_FACTOR * route.objective_s))
        begin_s = silence_s
        model = job.admitted.facts.model
        if model is not None:
            left_s = self._knowledge.start_deadline(load.entry.target, model) - self._clock()
            begin_s = max(LEAST_S, min(silence_s, left_s))
        return OfferLimits(begin_s, silence_s)


def abandons_at(admitted: Admitted) -> float:
    """Return when a caller gives up a stream of which it has no event yet."""
    route = admitted.route
    if not route.streams:
        return admitted.deadline
    gap_s = max(LEAST_GAP_S, GAP_OBJECTIVES * route.objective_s, GAP_PAUSES * route.gap_s)
    return admitted.call.arrived_at + gap_s


def _now() -> float:
    return asyncio.get_running_loop().time()
