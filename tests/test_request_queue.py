"""The queue of a target: priorities, fair shares, bounds, deadlines and reserved slots."""

import asyncio
from collections import Counter

import pytest

from lacewinggw.agent.queue import QueueRefusal, TargetQueue
from lacewinggw.decisions.admission import URGENT_WINDOW_S, Slots
from lacewinggw.errors import Refusal
from lacewinggw.generated.messages.ttypes import Priority, RequestHead
from lacewinggw.metrics import Metrics

pytestmark = pytest.mark.looptime(noop_cycles=2)

NORMAL, URGENT, BULK = Priority.NORMAL, Priority.URGENT, Priority.BULK


class Bench:
    """A queue that records the started and dropped requests."""

    def __init__(self, capacity: int = 1, length: int = 64, urgent_share: float = 0.25) -> None:
        self.started: list[str] = []
        self.dropped: dict[str, QueueRefusal] = {}
        slots = Slots(capacity, urgent_share)
        self.queue: TargetQueue[str] = TargetQueue(
            slots, length, Metrics(), self.started.append, self.dropped.__setitem__
        )

    def push(
        self,
        name: str,
        account: str = "a",
        priority: Priority = NORMAL,
        left_s: float = 1000.0,
        weight: float = 1.0,
    ) -> QueueRefusal | None:
        now = asyncio.get_running_loop().time()
        head = RequestHead(account=account, priority=priority, weight=weight)
        return self.queue.push(head, name, now + left_s, now)

    def run_all(self, ran_s: float = 1.0) -> list[str]:
        """End each request as soon as it starts; return the names in the order they started."""
        done = 0
        while done < len(self.started):
            self.queue.done(self.started[done], ran_s)
            done += 1
        return self.started


async def test_urgent_goes_first_and_bulk_last_without_starving() -> None:
    bench = Bench()
    bench.push("first")
    for n in range(3):
        bench.push(f"bulk{n}", priority=BULK)
    for n in range(20):
        bench.push(f"normal{n}")
    bench.push("urgent", priority=URGENT)
    order = bench.run_all()
    assert order[:3] == ["first", "urgent", "normal0"]
    assert order.index("bulk0") < order.index("normal19")


async def test_an_account_with_many_requests_gets_only_its_share() -> None:
    bench = Bench()
    bench.push("first")
    for n in range(40):
        bench.push(f"greedy{n}", account="greedy")
    for n in range(10):
        bench.push(f"modest{n}", account="modest")
    order = bench.run_all()[1:]
    assert Counter(name.rstrip("0123456789") for name in order[:20]) == {"greedy": 10, "modest": 10}


async def test_shares_follow_the_weights() -> None:
    bench = Bench()
    bench.push("first")
    for n in range(30):
        bench.push(f"heavy{n}", account="heavy", weight=3.0)
        bench.push(f"light{n}", account="light")
    order = bench.run_all()[1:]
    counted = Counter(name.rstrip("0123456789") for name in order[:20])
    assert counted["heavy"] == pytest.approx(15, abs=1)


async def test_a_full_queue_drops_the_newest_of_the_account_most_over_its_share() -> None:
    bench = Bench(length=4)
    bench.push("first")
    for n in range(4):
        assert bench.push(f"greedy{n}", account="greedy") is None
    refused = bench.push("greedy4", account="greedy")
    assert refused is not None
    assert refused.reason is Refusal.OVERLOADED
    assert refused.retry_after_ms > 0
    assert bench.push("modest", account="modest") is None
    assert list(bench.dropped) == ["greedy3"]


async def test_a_full_queue_drops_bulk_for_urgent_requests() -> None:
    bench = Bench(length=2)
    bench.push("first")
    bench.push("normal")
    bench.push("bulk", priority=BULK)
    assert bench.push("urgent", priority=URGENT) is None
    assert list(bench.dropped) == ["bulk"]
    refused = bench.push("bulk2", priority=BULK)
    assert refused is not None


async def test_a_request_that_cannot_meet_its_deadline_is_refused_at_once() -> None:
    bench = Bench()
    for n in range(5):
        bench.push(f"warm{n}")
    bench.run_all(ran_s=2.0)
    bench.push("running")
    bench.push("waiting")
    refused = bench.push("late", left_s=3.0)
    assert refused is not None
    assert refused.reason is Refusal.DEADLINE
    assert bench.push("in-time", left_s=10.0) is None


async def test_a_request_that_expires_in_the_queue_is_dropped_at_its_deadline(
    looptime: float,
) -> None:
    bench = Bench()
    bench.push("running")
    bench.push("waiting", left_s=2.0)
    await asyncio.sleep(1.9)
    assert not bench.dropped
    await asyncio.sleep(0.2)
    assert bench.dropped["waiting"].reason is Refusal.DEADLINE
    bench.queue.done("running", 1.0)
    assert bench.started == ["running"]


async def test_slots_are_reserved_for_urgent_requests_only_while_there_are_any() -> None:
    bench = Bench(capacity=4)
    for n in range(6):
        bench.push(f"normal{n}")
    assert len(bench.started) == 4
    bench.push("urgent", priority=URGENT)
    bench.queue.done("normal0", 1.0)
    assert bench.started[-1] == "urgent"
    bench.queue.done("urgent", 1.0)
    assert bench.started[-1] == "urgent"
    bench.push("urgent2", priority=URGENT)
    assert bench.started[-1] == "urgent2"
    bench.queue.done("urgent2", 1.0)
    await asyncio.sleep(URGENT_WINDOW_S + 1)
    bench.queue.done("normal1", 1.0)
    assert bench.started[-2:] == ["normal4", "normal5"]


async def test_a_paused_queue_starts_nothing_and_resumes_in_order() -> None:
    bench = Bench(capacity=2)
    bench.queue.pause()
    bench.push("a")
    bench.push("b")
    assert bench.started == []
    bench.queue.resume()
    assert bench.started == ["a", "b"]


async def test_closing_drops_every_waiting_request() -> None:
    bench = Bench()
    bench.push("running")
    bench.push("waiting")
    assert bench.queue.remove("waiting")
    bench.push("waiting2")
    bench.queue.close()
    assert list(bench.dropped) == ["waiting2"]
    assert bench.dropped["waiting2"].error().refusal is Refusal.DRAINING
