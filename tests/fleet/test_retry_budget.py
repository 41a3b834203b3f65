"""Retries in a fleet: a share of requests, and an entry's part of what the fleet has beyond it."""

from lacewinggw.decisions.retries import MIN_RETRIES, RetryBudget


def taken(budget, requests, tries, now=0.0):
    for _ in range(requests):
        budget.note_call(now)
    count = 0
    for _ in range(tries):
        if budget.take(now):
            budget.note_call(now)
            count += 1
    return count


def test_a_share_of_the_requests():
    assert taken(RetryBudget(0.2), requests=100, tries=100) == 20


def test_a_part_of_the_fleet_s_extra_retries():
    assert taken(RetryBudget(0.2, extra=10), requests=100, tries=100) == 30


def test_a_few_in_any_case():
    assert taken(RetryBudget(0.0), requests=0, tries=100) == MIN_RETRIES


def test_a_window_of_its_own():
    budget = RetryBudget(0.2, window_s=4)
    assert taken(budget, requests=100, tries=100) == 20
    assert taken(budget, requests=0, tries=100, now=3.0) == 0
    assert taken(budget, requests=100, tries=100, now=5.0) == 20


# In a burst engines got 2,201 repeats for 8,743 requests within ten seconds, where 1,989 were
# allowed. The budget forgot the retries of a second as a whole, up to a second too early, so that
# what was spent late in one second could be spent again nine seconds later.
def test_no_span_of_the_window_has_more_retries_than_are_allowed():
    budget = RetryBudget(share=0.0, extra=20.0, window_s=10)
    taken = []
    for step in range(40):
        now = 0.9 + 0.5 * step
        taken += [now for _ in range(30) if budget.take(now)]
    for begin in taken:
        assert sum(begin <= at < begin + 10.0 for at in taken) <= 20
