"""The retry budget: a share of the requests, and an entry's part of the fleet's extra retries."""

import asyncio
import math

import pytest
from platform_standins import DESK

from lacewinggw.decisions.retries import MIN_RETRIES, RetryBudget
from lacewinggw.decisions.routes import RetryPolicy, Route, ServiceShare
from lacewinggw.decisions.targetlist import TargetEntry
from lacewinggw.decisions.targetload import InFlightRequest, TargetLoad
from lacewinggw.errors import Overloaded, RetryBudgetSpent
from lacewinggw.frontend.admission import AdmittedRequest
from lacewinggw.frontend.calls import Call, CallFacts
from lacewinggw.frontend.requestplacer import RequestPlacer, RetryLimits
from lacewinggw.frontend.requeststate import RequestProgress


def count_taken(budget, requests, attempts, now=0.0):
    for _ in range(requests):
        budget.note_call(now)
    count = 0
    for _ in range(attempts):
        if budget.take(now):
            budget.note_call(now)
            count += 1
    return count


def test_retries_are_a_share_of_the_requests():
    assert count_taken(RetryBudget(0.2), requests=100, attempts=100) == 20


def test_extra_retries_are_added():
    assert count_taken(RetryBudget(0.2, extra=10), requests=100, attempts=100) == 30


def test_a_minimum_of_retries_is_always_allowed():
    assert count_taken(RetryBudget(0.0), requests=0, attempts=100) == MIN_RETRIES


def test_the_window_can_be_set():
    budget = RetryBudget(0.2, window_s=4)
    assert count_taken(budget, requests=100, attempts=100) == 20
    assert count_taken(budget, requests=0, attempts=100, now=3.0) == 0
    assert count_taken(budget, requests=100, attempts=100, now=5.0) == 20


# Guards against retries beyond the budget: in a burst engines got 2,201 retries for 8,743 requests
# within ten seconds, where 1,989 were allowed. The budget dropped retries from its count by whole
# seconds, up to a second too early, so that those used late in one second were available again nine
# seconds later.
def test_no_span_of_the_window_has_more_retries_than_are_allowed():
    budget = RetryBudget(share=0.0, extra=20.0, window_s=10)
    count_taken = []
    for step in range(40):
        now = 0.9 + 0.5 * step
        count_taken += [now for _ in range(30) if budget.take(now)]
    for begin in count_taken:
        assert sum(begin <= at < begin + 10.0 for at in count_taken) <= 20


class Queue:
    """Grants or refuses each claim, and records the claims that are released."""

    def __init__(self, refusals: int = 0) -> None:
        self.refusals = refusals
        self.released: list[InFlightRequest] = []
        self.load = TargetLoad(TargetEntry("i-1", DESK, "10.0.0.1:1", "hall"))

    async def claim(self, requirements, priority, is_late, until):
        if self.refusals:
            self.refusals -= 1
            raise Overloaded("full", retry_after_ms=1000)
        return InFlightRequest(self.load)

    def release(self, claim):
        self.released.append(claim)

    def unreachable_targets(self, service):
        return frozenset()

    def late_share(self, service):
        return 1.0


class ClosedQueue(Queue):
    """Keeps claims waiting until it opens."""

    def __init__(self):
        super().__init__()
        self._is_open = asyncio.Event()

    def open(self):
        self._is_open.set()

    async def claim(self, requirements, priority, is_late, until):
        await self._is_open.wait()
        return await super().claim(requirements, priority, is_late, until)


class View:
    routes = None


def make_placer(queue, extra=0.0, extra_from=-math.inf):
    limits = RetryLimits(share=0.5, extra=extra, window_s=10.0)
    now = asyncio.get_running_loop().time
    return RequestPlacer(View(), queue, now, lambda: limits, lambda: 1, extra_from)


async def claim_new(placer, count):
    for _ in range(count):
        await placer.claim(make_progress())


def make_progress(**changes):
    now = asyncio.get_running_loop().time()
    share = (ServiceShare(DESK, 1.0),)
    route = Route("r", "d", "/", RetryPolicy.IDEMPOTENT, False, 6.0, 0.4, share, attempts=2)
    call = Call("GET", "/", "d", [], b"", now)
    admitted = AdmittedRequest(call, CallFacts("call"), route, DESK, None, 3, now + 6.0)
    return RequestProgress(admitted, **changes)


# Guards against requests that are left out of the budget after retries that found no target.
@pytest.mark.looptime
async def test_a_retry_that_finds_no_target_hides_no_later_request():
    queue = Queue()
    placer = make_placer(queue)
    await claim_new(placer, 2)
    queue.refusals = 1
    failed = make_progress(offers=1, runs=1)
    assert placer.take_retry(failed)
    with pytest.raises(Overloaded):
        await placer.claim(failed)
    await claim_new(placer, 6)
    taken = sum(placer.take_retry(make_progress(offers=1, runs=1)) for _ in range(8))
    assert taken == 3  # of the 4 that 8 requests allow, one is used


# Guards against a backup attempt at a target whose claim has been given back: the last retry may
# leave the window between two looks at the budget.
@pytest.mark.looptime
async def test_a_backup_claim_that_the_budget_refuses_is_not_used():
    queue = Queue()
    placer = make_placer(queue)
    await claim_new(placer, 2)
    budget = placer._budget(DESK)
    budget.reserve = lambda now: False
    with pytest.raises(RetryBudgetSpent):
        await placer.claim_backup(make_progress(offers=1, runs=1))
    assert len(queue.released) == 1


# Guards against retries that are granted over more than a window, wait for a target, and arrive
# within one.
@pytest.mark.looptime
async def test_retries_that_waited_are_within_the_limit_when_they_arrive():
    queue = ClosedQueue()
    placer = make_placer(queue, extra=3.0)
    sent_at = []
    now = asyncio.get_running_loop().time

    async def retry():
        await placer.claim(make_progress(offers=1, runs=1))
        sent_at.append(now())

    retries = []
    for _ in range(150):
        if placer.take_retry(make_progress(offers=1, runs=1)):
            retries.append(asyncio.ensure_future(retry()))
        await asyncio.sleep(0.1)
    queue.open()
    await asyncio.gather(*retries)
    assert len(sent_at) == 3


# Guards against a restarted entry that makes the extra retries of its predecessor once more.
@pytest.mark.looptime
async def test_a_started_entry_has_no_extra_retries_for_a_window():
    placer = make_placer(Queue(), extra=4.0, extra_from=10.0)
    await asyncio.sleep(9.9)
    assert not placer.take_retry(make_progress(offers=1, runs=1))
    await asyncio.sleep(0.1)
    assert sum(placer.take_retry(make_progress(offers=1, runs=1)) for _ in range(8)) == 4


@pytest.mark.looptime
async def test_a_started_entry_makes_retries_for_its_own_requests():
    placer = make_placer(Queue(), extra=4.0, extra_from=10.0)
    await claim_new(placer, 8)
    assert sum(placer.take_retry(make_progress(offers=1, runs=1)) for _ in range(8)) == 4
