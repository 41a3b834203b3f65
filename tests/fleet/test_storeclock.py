"""Estimating when an answer of the store was composed_at."""

import pytest

from lacewinggw.decisions.storeclock import OFFSET_RETENTION_S, StoreClock

AHEAD_S = 5000.0  # of the store's clock


def store_clock(at):
    return at + AHEAD_S


def test_a_call_that_waits_at_the_store_is_as_recent_as_the_end_of_the_wait():
    clock = StoreClock()
    clock.estimate_composed_at(10.0, 10.004, store_clock(10.002))
    assert clock.estimate_composed_at(11.0, 12.204, store_clock(12.202)) == pytest.approx(12.2)


def test_a_delayed_answer_keeps_its_age():
    clock = StoreClock()
    clock.estimate_composed_at(10.0, 10.004, store_clock(10.002))
    assert clock.estimate_composed_at(11.0, 17.0, store_clock(11.5)) == pytest.approx(11.498)


def test_the_estimate_is_never_later_than_the_composition():
    """A sequence of calls with a long latency of the request or of the answer."""
    clock = StoreClock()
    at = 100.0
    for out_s, wait_s, back_s in [(2.0, 0.0, 0.1), (0.3, 1.2, 3.0), (0.0, 1.0, 0.0), (1.0, 0.1, 2)]:
        composed_at = at + out_s + wait_s
        received_at = composed_at + back_s
        estimated_at = clock.estimate_composed_at(at, received_at, store_clock(composed_at))
        assert at <= estimated_at <= composed_at + 1e-6
        at = received_at


def test_without_the_clock_of_the_store_an_answer_counts_from_its_call():
    assert StoreClock().estimate_composed_at(10.0, 11.0, None) == 10.0


def test_old_calls_are_discarded_because_clocks_drift():
    clock = StoreClock()
    clock.estimate_composed_at(10.0, 10.0, store_clock(10.0))
    late = 10.0 + OFFSET_RETENTION_S + 1
    assert clock.estimate_composed_at(late, late + 2.0, store_clock(late + 1.0)) == late


def test_the_estimate_is_never_later_than_the_arrival():
    clock = StoreClock()
    clock.estimate_composed_at(10.0, 10.0, store_clock(10.0))
    assert clock.estimate_composed_at(11.0, 11.5, store_clock(900.0)) == 11.5
