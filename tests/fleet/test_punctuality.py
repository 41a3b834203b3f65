"""How long requests may wait: first attempts that can be on time, and retries."""

import pytest

from lacewinggw.decisions.routes import EngineProfile, RetryPolicy, Route, ServiceShare
from lacewinggw.decisions.waitbudget import CallerTimeouts, wait_budget
from lacewinggw.decisions.waitqueue import WaitQueue

ENGINE = EngineProfile(16, 0.00673, 0.0000219, 0.0, 30600.0, 0.0, 2048, 6, 1_640_000, 964, 119)
REPORT = Route(
    "report",
    "notes.example",
    "/",
    RetryPolicy.RESUMABLE,
    True,
    6.0,
    0.4,
    (ServiceShare("writer", 1),),
)


def test_a_first_attempt_waits_while_it_can_be_on_time():
    wait = wait_budget(REPORT, ENGINE, prompt_tokens=1000, elapsed_s=0.0, left_s=6.0)
    assert not wait.is_late
    assert 0.2 < wait.wait_s < 0.3


def test_a_longer_prompt_leaves_less_to_wait():
    short = wait_budget(REPORT, ENGINE, 500, 0.0, 6.0)
    long = wait_budget(REPORT, ENGINE, 3000, 0.0, 6.0)
    assert long.wait_s < short.wait_s


def test_a_retry_is_late_and_waits_longer():
    wait = wait_budget(REPORT, ENGINE, 1000, elapsed_s=1.5, left_s=4.5)
    assert wait.is_late and wait.wait_s == 1.5


def test_a_late_request_waits_for_at_most_half_of_its_time_left():
    assert wait_budget(REPORT, ENGINE, 1000, elapsed_s=5.0, left_s=1.0).wait_s == 0.5


@pytest.mark.parametrize(
    ("left_s", "elapsed_s"), [(6.09, 0.0), (6.05, 0.0), (4.5, 1.59), (None, 0)]
)
def test_a_later_attempt_is_recognized_by_its_time_left(left_s, elapsed_s):
    timeouts = CallerTimeouts()
    timeouts.elapsed("report", 6.09)
    assert timeouts.elapsed("report", left_s) == pytest.approx(elapsed_s)


def test_the_queue_order_is_priority_then_newest_on_time_then_oldest_late():
    queue = WaitQueue()
    late = queue.add(1, is_late=True, until=9.0)
    first = queue.add(1, is_late=False, until=9.0)
    second = queue.add(1, is_late=False, until=9.0)
    urgent = queue.add(0, is_late=True, until=9.0)
    later = queue.add(1, is_late=True, until=9.0)
    assert list(queue.in_order()) == [urgent, second, first, late, later]
    queue.remove(first)
    assert list(queue.in_order()) == [urgent, second, late, later] and len(queue) == 4


def test_the_expected_wait_grows_with_requests_ahead_and_the_gap_between_starts():
    queue = WaitQueue()
    for number in range(4):
        queue.add(1, is_late=True, until=9.0)
        queue.note_start(0.05 * number)
    assert 0.0 < queue.expected_wait(1, is_late=True) < 4 * 0.05
    assert queue.expected_wait(1, is_late=False) == 0.0  # the newest goes first
    queue.add(0, is_late=False, until=9.0)
    assert queue.expected_wait(1, is_late=False) > 0.0  # behind requests of more urgent routes
    assert queue.expected_wait(0, is_late=False) == 0.0


def test_late_requests_wait_less_while_few_of_them_start():
    queue = WaitQueue()
    assert queue.late_share == 1.0
    for _ in range(20):
        queue.note_late_outcome(started=False)
    starved = queue.late_share
    assert starved < 0.2
    assert wait_budget(REPORT, ENGINE, 1000, 1.5, 4.5, starved).wait_s < 0.3
    for _ in range(20):
        queue.note_late_outcome(started=True)
    assert queue.late_share > 0.8
