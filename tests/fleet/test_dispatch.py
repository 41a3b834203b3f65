"""Which target takes a request: by work known and reported, by weights, by health."""

import random

import pytest

from lacewinggw.decisions.dispatch import SampleSizes, TargetPool, TargetRequirements
from lacewinggw.decisions.ejection import EjectionRules
from lacewinggw.decisions.targetlist import TargetEntry

RULES = EjectionRules(after_failures=3, ejection_s=1.0, max_ejected_share=0.5)


def entry(name, place="hall", slots=4, **weights):
    return TargetEntry(name, "writer", f"10.0.0.1:{name}", place, slots=slots, weights=weights)


@pytest.fixture
def pool():
    pool = TargetPool("hall", RULES, random.Random(1), SampleSizes(near=9, far=9))
    pool.sync({name: entry(name, market=1) for name in ("a", "b", "c")})
    return pool


def choose(pool, now=0.0, **wish):
    load = pool.choose(pool.eligible(TargetRequirements("writer", **wish)), now)
    return load.entry.target if load else None


def fill(pool, name, count):
    for _ in range(count):
        pool.begin(pool.loads[name], 0.0)


def test_the_target_with_least_own_work(pool):
    fill(pool, "a", 2)
    fill(pool, "b", 1)
    assert choose(pool) == "c"


def test_work_of_others_counts_and_fades(pool):
    fill(pool, "b", 1)
    fill(pool, "c", 1)
    pool.note_report("a", 4, at=0.0)
    assert choose(pool, now=0.0) in ("b", "c")
    assert choose(pool, now=4.0) == "a"


def test_own_work_is_not_counted_twice(pool):
    fill(pool, "a", 3)
    pool.note_report("a", 3, at=0.0)
    assert pool.loads["a"].ahead(0.0) == 3


def test_a_model_engine_is_filled_to_its_slots(pool):
    for name in ("a", "b", "c"):
        fill(pool, name, 3)
    assert choose(pool) is not None
    for name in ("a", "b", "c"):
        fill(pool, name, 1)
    assert choose(pool) is None


def test_late_requests_leave_room_for_those_that_can_be_on_time(pool):
    pool.sync({"a": entry("a", slots=10, market=1)})
    eligible = pool.eligible(TargetRequirements("writer"))
    fill(pool, "a", 7)
    assert pool.choose(eligible, 0.0, is_late=True) is not None
    fill(pool, "a", 1)
    assert pool.choose(eligible, 0.0, is_late=True) is None
    fill(pool, "a", 1)
    assert pool.choose(eligible, 0.0) is not None
    fill(pool, "a", 1)
    assert pool.choose(eligible, 0.0) is None


def test_prompts_that_are_still_to_be_read_count_more_than_answers_on_their_way(pool):
    for name in ("b", "c"):
        fill(pool, name, 1)
    claim = pool.begin(pool.loads["a"], 0.0, prefill_s=0.1)
    assert choose(pool) in ("b", "c")
    pool.note_prompt_read(claim)
    fill(pool, "b", 1)
    fill(pool, "c", 1)
    assert choose(pool) == "a"
    pool.end(claim)
    assert (pool.loads["a"].in_flight, pool.loads["a"].prefill_s) == (0, 0.0)


def test_a_plain_target_is_filled_to_its_slots(pool):
    pool.sync({"a": entry("a")})
    fill(pool, "a", 3)
    assert choose(pool) == "a"
    fill(pool, "a", 1)
    assert choose(pool) is None


def test_a_full_target_is_left_alone_for_a_moment(pool):
    pool.note_full(pool.loads["a"], sent_at=0.0, now=0.0)
    assert "a" not in {choose(pool, now=0.01) for _ in range(20)}
    assert "a" in {choose(pool, now=0.1) for _ in range(50)}


def test_a_silent_target_is_left_alone_for_longer(pool):
    pool.note_timeout(pool.loads["a"], now=0.0)
    pool.note_full(pool.loads["b"], sent_at=0.0, now=0.0)
    assert {choose(pool, now=0.5) for _ in range(50)} == {"b", "c"}
    assert "a" in {choose(pool, now=1.1) for _ in range(50)}


def test_a_loading_target_is_left_alone_until_it_says_so_no_more(pool):
    pool.note_report("a", 0, at=0.0, loading=True)
    assert "a" not in {choose(pool, now=1.0) for _ in range(20)}
    pool.note_report("a", 0, at=1.0)
    assert "a" in {choose(pool, now=1.0) for _ in range(50)}


def test_only_targets_with_the_weights_wished_for(pool):
    pool.sync({"a": entry("a", market=1), "b": entry("b", market=2), "c": entry("c")})
    assert {choose(pool, model="market") for _ in range(50)} == {"a", "b"}
    assert choose(pool, model="market", min_version=2) == "b"
    assert choose(pool, model="market", exact_version=1) == "a"


def test_a_near_target_before_a_far_one_as_full(pool):
    pool.sync({"a": entry("a"), "b": entry("b", place="room")})
    assert {choose(pool) for _ in range(20)} == {"a"}
    fill(pool, "a", 3)
    assert choose(pool) == "b"


def test_a_failing_target_goes_out_and_comes_back_by_one_trial(pool):
    for _ in range(3):
        pool.note_failure(pool.loads["a"], now=0.0)
    assert "a" not in {choose(pool, now=0.5) for _ in range(30)}
    assert "a" in {choose(pool, now=1.1) for _ in range(50)}


def test_when_all_fail_any_is_better_than_none(pool):
    pool.sync({"a": entry("a")})
    for _ in range(5):
        pool.note_failure(pool.loads["a"], now=0.0)
    assert choose(pool, now=0.1) == "a"


def test_a_target_behind_a_queue_is_left_for_one_that_is_fuller(pool):
    for name in ("b", "c"):
        fill(pool, name, 1)
        pool.loads[name].note_data(10.0)
    pool.loads["a"].note_connect(0.1, now=10.0)
    assert choose(pool, now=10.0) in ("b", "c")
    assert choose(pool, now=13.0) == "a"  # the queue may be gone by then


def test_slow_connections_to_all_targets_change_nothing(pool):
    fill(pool, "a", 1)
    fill(pool, "b", 1)
    for load in pool.loads.values():
        load.note_connect(0.15, now=10.0)
    assert choose(pool, now=10.0) == "c"


def test_a_target_that_cannot_be_connected_to_is_left_alone_for_a_moment(pool):
    for name in ("b", "c"):
        fill(pool, name, 4)
        pool.loads[name].note_data(10.2)
    pool.loads["a"].note_connect_failure(0.25, now=10.0)
    assert choose(pool, now=10.3) is None
    assert choose(pool, now=10.5) == "a"


def test_a_refused_connection_says_nothing_of_the_link(pool):
    pool.loads["a"].note_connect_failure(0.004, now=10.0)
    assert pool.loads["a"].has_free_slot(10.0)


def test_a_target_whose_answers_stand_still_gets_no_more(pool):
    for name in ("b", "c"):
        fill(pool, name, 2)
    pool.begin(pool.loads["a"], 10.0)
    for load in pool.loads.values():
        load.note_data(10.2)
    for name in ("b", "c"):
        pool.loads[name].note_data(10.7)
    assert choose(pool, now=10.6) == "a"
    assert choose(pool, now=10.8) in ("b", "c")
    pool.loads["a"].note_data(10.9)
    assert choose(pool, now=11.0) == "a"


def test_nothing_heard_from_anybody_is_no_reason_to_stop(pool):
    for name in ("a", "b", "c"):
        pool.begin(pool.loads[name], 10.0)
    assert choose(pool, now=12.0) is not None


def test_an_idle_target_does_not_stand_still(pool):
    for name in ("b", "c"):
        fill(pool, name, 1)
        pool.loads[name].note_data(20.0)
    pool.loads["a"].note_data(10.0)
    assert choose(pool, now=20.0) == "a"


def test_a_target_whose_reports_stand_in_a_queue_is_left(pool):
    for name in ("b", "c"):
        fill(pool, name, 2)
        pool.loads[name].note_data(10.7)
    pool.note_report("a", 0, at=10.0, sent_s=500.0)
    pool.note_report("a", 0, at=10.7, sent_s=500.2)
    assert choose(pool, now=10.7) in ("b", "c")
    for at in (10.8, 10.9, 11.0):
        pool.note_report("a", 0, at=at, sent_s=490.0 + at)
    assert choose(pool, now=11.0) == "a"


def test_a_change_of_reach_is_told_once(pool):
    pool.begin(pool.loads["a"], 10.0)
    told = [
        [load.entry.target for load in pool.reachability_changes(now)] for now in (10.1, 10.6, 10.7)
    ]
    assert told == [[], ["a"], []]
    pool.loads["a"].note_data(10.8)
    assert [load.was_reachable for load in pool.reachability_changes(10.9)] == [True]


def test_entries_that_choose_by_the_same_news_do_not_all_take_the_same_target():
    """Fifteen entries choose three times each between two reports."""
    taken = {f"t{index}": 0 for index in range(12)}
    for number in range(15):
        pool = TargetPool("hall", RULES, random.Random(number))
        pool.sync({name: entry(name, slots=12, market=1) for name in taken})
        for index, name in enumerate(taken):
            pool.note_report(name, index // 4, at=0.0)
        for _ in range(3):
            load = pool.choose(pool.eligible(TargetRequirements("writer")), 0.0)
            pool.begin(load, 0.0)
            taken[load.entry.target] += 1
    least_busy = sum(taken[f"t{index}"] for index in range(4))
    assert least_busy <= 32  # of 45; all of them where each takes the least busy one
    assert sum(count > 0 for count in taken.values()) >= 8


def test_one_of_another_place_is_drawn_too():
    pool = TargetPool("hall", RULES, random.Random(1))
    near = {name: entry(name, market=1) for name in "abc"}
    pool.sync(near | {"d": entry("d", place="room", market=1)})
    for name in near:
        fill(pool, name, 3)
    assert {choose(pool) for _ in range(20)} == {"d"}
