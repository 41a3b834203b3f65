"""Requests wait only for targets that can still begin them; others are refused at once."""

import asyncio
import random
from contextlib import asynccontextmanager

import pytest
from platform_standins import DESK

from lacewinggw.decisions.dispatch import TargetPool, TargetRequirements
from lacewinggw.decisions.ejection import EjectionRules
from lacewinggw.decisions.targetlist import TargetEntry
from lacewinggw.decisions.targetrate import Allowance
from lacewinggw.decisions.waitqueue import RETRY_PRIORITY
from lacewinggw.errors import Overloaded
from lacewinggw.frontend.dispatchqueue import DispatchQueue
from lacewinggw.metrics import Metrics

pytestmark = pytest.mark.looptime

BACKOFF_S = 3.0
WAIT_S = 0.3  # of each request, for a target
ANY_TARGET = TargetRequirements(DESK)


class Desks:
    """A queue before targets without agents."""

    def __init__(self, count: int) -> None:
        rng = random.Random(1)
        self.pool = TargetPool("hall", EjectionRules(), rng)
        entries = [TargetEntry(f"desk{n}", DESK, "", "hall", slots=8) for n in range(count)]
        self.pool.sync({entry.target: entry for entry in entries})
        self.loads = list(self.pool.loads.values())
        self.queue = DispatchQueue(self.pool, Metrics(), lambda load, request: None, rng)

    async def claim(self, priority=1, is_late=False, wait_s=WAIT_S, requirements=ANY_TARGET):
        return await self.queue.claim(requirements, priority, is_late, now() + wait_s)

    async def claim_together(self, count: int, **options) -> list[asyncio.Task]:
        """Start claims; return them once those that are refused at once have ended."""
        claims = [asyncio.ensure_future(self.claim(**options)) for _ in range(count)]
        await asyncio.sleep(0.001)
        return claims

    async def begin_backoffs(self, left_s: float) -> None:
        """Make all targets ask for a back-off, and return so long before the first one ends."""
        for load in self.loads:
            self.pool.note_backoff(load, BACKOFF_S, now())
        await asyncio.sleep(min(load.backoff.until for load in self.loads) - left_s - now())


@asynccontextmanager
async def running_desks(count: int):
    desks = Desks(count)
    await desks.queue.start()
    yield desks
    await desks.queue.close()


def refused(claims: list[asyncio.Task]) -> list[Overloaded]:
    return [each.exception() for each in claims if each.done() and each.exception() is not None]


# Guards against callers that are held for the end of a back-off with nothing to gain: a target got
# one request, rejected it, and all that had waited with it were refused only then.
async def test_one_request_a_target_waits_for_the_end_of_its_back_off():
    async with running_desks(2) as desks:
        await desks.begin_backoffs(left_s=0.01)
        claims = await desks.claim_together(6)
        assert [each.done() for each in claims] == [False] * 2 + [True] * 4
        assert all(error.retry_after_ms >= 8 for error in refused(claims))
        begun = [each.load.entry.target for each in await asyncio.gather(*claims[:2])]
        assert sorted(begun) == ["desk0", "desk1"]


async def test_a_back_off_that_ends_after_the_wait_is_not_waited_for():
    async with running_desks(2) as desks:
        for load, backoff_s in zip(desks.loads, (3.0, 9.0), strict=True):
            load.backoff.note_requested(backoff_s, now(), jitter=0.0)
        await asyncio.sleep(2.9)
        claims = await desks.claim_together(3)
        assert [each.done() for each in claims] == [False, True, True]
        assert (await claims[0]).load is desks.loads[0]


async def test_a_more_urgent_request_takes_the_place_of_one_that_waits():
    async with running_desks(1) as desks:
        await desks.begin_backoffs(left_s=0.2)
        (less_urgent,) = await desks.claim_together(1, priority=2)
        (urgent,) = await desks.claim_together(1, priority=1)
        assert len(refused([less_urgent])) == 1 and not urgent.done()
        assert (await urgent).load is desks.loads[0]


# Their callers were refused before, or have received a part of the answer.
@pytest.mark.parametrize(("priority", "is_late"), [(1, True), (RETRY_PRIORITY, False)])
async def test_requests_that_may_wait_long_wait_for_what_follows_the_trial(priority, is_late):
    async with running_desks(1) as desks:
        await desks.begin_backoffs(left_s=0.2)
        claims = await desks.claim_together(3, priority=priority, is_late=is_late, wait_s=1.0)
        assert not refused(claims)
        trial = await claims[0]
        assert not claims[1].done()
        desks.pool.note_accepted(trial.load, now())
        desks.queue.release(trial)
        await asyncio.wait_for(asyncio.gather(*claims[1:]), 0.1)


# Guards against requests that are held for longer than their objective: after one target had
# rejected them at the end of its back-off, they waited for that of another.
async def test_a_rejected_request_is_not_held_for_another_back_off():
    async with running_desks(2) as desks:
        await desks.begin_backoffs(left_s=0.2)
        rejected = TargetRequirements(DESK, excluded=frozenset({"desk0"}))
        claims = await desks.claim_together(1, is_late=True, wait_s=1.0, requirements=rejected)
        assert len(refused(claims)) == 1


# Guards against callers that are held in vain before targets that limit their rate: newer requests
# took the starts that the older ones waited for.
async def test_as_many_requests_wait_as_a_rate_limit_lets_begin():
    async with running_desks(1) as desks:
        desks.loads[0].allowance = Allowance(share_per_s=5.0, filled_at=now())
        claims = await desks.claim_together(4)
        assert [each.done() for each in claims] == [False] + [True] * 3
        await asyncio.sleep(0.15)
        newer = await desks.claim_together(2)
        assert [each.done() for each in newer] == [False, True]
        await asyncio.wait_for(claims[0], 0.1)
        assert not newer[0].done()
        await newer[0]


def now() -> float:
    return asyncio.get_running_loop().time()
