"""Waves in which the hosts of a service switch to its next release."""

from hypothesis import given
from hypothesis import strategies as st

from lacewinggw.decisions.waves import HostProgress, choose_wave, min_serving_hosts

WAITING = HostProgress(is_changing_over=True, is_ready=False, is_serving=True)
READY = HostProgress(is_changing_over=True, is_ready=True, is_serving=True)
READY_IDLE = HostProgress(is_changing_over=True, is_ready=True, is_serving=False)
CHANGING = HostProgress(is_changing_over=False, is_ready=False, is_serving=False)
EMPTY = HostProgress(is_changing_over=True, is_ready=False, is_serving=False, is_empty=True)
DONE = HostProgress(is_changing_over=False, is_ready=False, is_serving=True)


def fleet(*kinds):
    return {f"host-{number}": kind for number, kind in enumerate(kinds)}


def test_floor_spares_at_least_one():
    assert [
        min_serving_hosts(8, 50),
        min_serving_hosts(8, 100),
        min_serving_hosts(1, 50),
        min_serving_hosts(3, 50),
    ] == [4, 7, 0, 2]


def test_no_wave_without_ready_hosts():
    assert choose_wave("writer", fleet(WAITING, WAITING), 50, 9.0) == ()


def test_half_at_once_at_a_floor_of_half():
    assert len(choose_wave("writer", fleet(*[READY] * 8), 50, 0.0)) == 4


def test_the_next_wave_waits_until_the_last_one_serves():
    assert choose_wave("writer", fleet(*[CHANGING] * 4, *[READY] * 4), 50, 9.0) == ()
    assert len(choose_wave("writer", fleet(*[DONE] * 4, *[READY] * 4), 50, 0.0)) == 4


def test_a_host_that_fails_after_its_switch_blocks_the_rest():
    assert choose_wave("writer", fleet(CHANGING, DONE, READY), 66, 9.0) == ()


def test_hosts_that_serve_nothing_switch_at_once():
    assert choose_wave("writer", fleet(READY_IDLE, CHANGING, READY), 50, 9.0) == ("host-0",)


def test_a_single_replica_switches():
    assert choose_wave("writer", fleet(READY), 50, 0.0) == ("host-0",)


def test_all_hosts_leave_a_release_at_once_that_none_has():
    assert len(choose_wave("writer", fleet(*[EMPTY] * 8), 50, 0.0)) == 8


def test_a_serving_or_silent_host_keeps_the_others_at_their_release():
    silent = HostProgress(is_changing_over=True, is_ready=False, is_serving=False)
    for other in (WAITING, silent, DONE):
        assert choose_wave("writer", fleet(*[EMPTY] * 7, other), 50, 9.0) == ()


def test_a_few_ready_hosts_wait_briefly_for_more():
    kinds = [READY] + [WAITING] * 31
    assert choose_wave("writer", fleet(*kinds), 50, 0.0) == ()
    assert choose_wave("writer", fleet(*kinds), 50, 1.0) == ("host-0",)


kinds_of_host = st.sampled_from([WAITING, READY, READY_IDLE, CHANGING, DONE, EMPTY])


@given(st.lists(kinds_of_host, max_size=40), st.integers(0, 100), st.floats(0, 10))
def test_the_floor_holds_in_any_state_of_the_hosts(kinds, floor_percent, waited_s):
    progress = fleet(*kinds)
    wave = choose_wave("writer", progress, floor_percent, waited_s)
    serving = sum(1 for each in progress.values() if each.is_serving)
    taken = sum(1 for host in wave if progress[host].is_serving)
    none_has_started = bool(kinds) and all(kind is EMPTY for kind in kinds)
    assert all(progress[host].is_changing_over for host in wave)
    assert none_has_started or all(progress[host].is_ready for host in wave)
    assert taken == 0 or serving - taken >= min_serving_hosts(len(progress), floor_percent)
