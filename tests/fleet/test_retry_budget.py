"""Retries in a fleet: a share of requests, and an entry's part of what the fleet has beyond it."""

from lacewinggw.decisions.retries import LEAST, RetryBudget


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
    assert taken(RetryBudget(0.0), requests=0, tries=100) == LEAST


def test_a_window_of_its_own():
    budget = RetryBudget(0.2, window_s=4)
    assert taken(budget, requests=100, tries=100) == 20
    assert taken(budget, requests=0, tries=100, now=3.0) == 0
    assert taken(budget, requests=100, tries=100, now=5.0) == 20
