"""When an answer of the store was composed."""

import pytest

from lacewinggw.decisions.storeclock import OFFSET_RETENTION_S, StoreClock

AHEAD_S = 5000.0  # of the store's clock


def told(moment):
    return moment + AHEAD_S


def test_an_answer_that_was_waited_for_is_as_new_as_its_end():
    clock = StoreClock()
    clock.estimate_composed_at(10.0, 10.004, told(10.002))
    assert clock.estimate_composed_at(11.0, 12.204, told(12.202)) == pytest.approx(12.2)


def test_an_answer_that_was_held_up_is_as_old_as_it_is():
    clock = StoreClock()
    clock.estimate_composed_at(10.0, 10.004, told(10.002))
    assert clock.estimate_composed_at(11.0, 17.0, told(11.5)) == pytest.approx(11.498)


def test_nothing_is_placed_later_than_it_was_composed():
    """Calls that took long on either way, one after the other."""
    clock = StoreClock()
    moment = 100.0
    for out_s, wait_s, back_s in [(2.0, 0.0, 0.1), (0.3, 1.2, 3.0), (0.0, 1.0, 0.0), (1.0, 0.1, 2)]:
        composed = moment + out_s + wait_s
        received = composed + back_s
        placed = clock.estimate_composed_at(moment, received, told(composed))
        assert moment <= placed <= composed + 1e-6
        moment = received


def test_without_the_stores_clock_an_answer_is_as_old_as_its_call():
    assert StoreClock().estimate_composed_at(10.0, 11.0, None) == 10.0


def test_calls_long_ago_do_not_count_as_clocks_drift():
    clock = StoreClock()
    clock.estimate_composed_at(10.0, 10.0, told(10.0))
    late = 10.0 + OFFSET_RETENTION_S + 1
    assert clock.estimate_composed_at(late, late + 2.0, told(late + 1.0)) == late


def test_an_answer_is_never_newer_than_its_arrival():
    clock = StoreClock()
    clock.estimate_composed_at(10.0, 10.0, told(10.0))
    assert clock.estimate_composed_at(11.0, 11.5, told(900.0)) == 11.5
