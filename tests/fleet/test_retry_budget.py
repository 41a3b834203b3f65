"""The retry budget: a share of the requests, and an entry's part of the fleet's extra retries."""

from lacewinggw.decisions.retries import MIN_RETRIES, RetryBudget


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
