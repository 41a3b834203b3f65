"""Choice of a target by own and reported load, weights, health and reachability."""

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


def choose(pool, now=0.0, **requirements):
    load = pool.choose(pool.eligible(TargetRequirements("writer", **requirements)), now)
    return load.entry.target if load else None


def add_calls(pool, name, count):
    for _ in range(count):
        pool.begin(pool.loads[name], 0.0)


def test_the_target_with_fewest_own_calls_is_chosen(pool):
    add_calls(pool, "a", 2)
    add_calls(pool, "b", 1)
    assert choose(pool) == "c"


def test_reported_load_counts_and_decays(pool):
    add_calls(pool, "b", 1)
    add_calls(pool, "c", 1)
    pool.note_report("a", 4, at=0.0)
    assert choose(pool, now=0.0) in ("b", "c")
    assert choose(pool, now=4.0) == "a"


def test_own_calls_are_not_counted_twice(pool):
    add_calls(pool, "a", 3)
    pool.note_report("a", 3, at=0.0)
    assert pool.loads["a"].ahead(0.0) == 3


def test_a_model_engine_is_filled_to_its_slots(pool):
    for name in ("a", "b", "c"):
        add_calls(pool, name, 3)
    assert choose(pool) is not None
    for name in ("a", "b", "c"):
        add_calls(pool, name, 1)
    assert choose(pool) is None


def test_late_requests_leave_slots_for_those_that_can_be_on_time(pool):
    pool.sync({"a": entry("a", slots=10, market=1)})
    eligible = pool.eligible(TargetRequirements("writer"))
    add_calls(pool, "a", 7)
    assert pool.choose(eligible, 0.0, is_late=True) is not None
    add_calls(pool, "a", 1)
    assert pool.choose(eligible, 0.0, is_late=True) is None
    add_calls(pool, "a", 1)
    assert pool.choose(eligible, 0.0) is not None
    add_calls(pool, "a", 1)
    assert pool.choose(eligible, 0.0) is None


def test_pending_prefill_counts_more_than_requests_in_decode(pool):
    for name in ("b", "c"):
        add_calls(pool, name, 1)
    request = pool.begin(pool.loads["a"], 0.0, prefill_s=0.1)
    assert choose(pool) in ("b", "c")
    pool.note_prompt_read(request)
    add_calls(pool, "b", 1)
    add_calls(pool, "c", 1)
    assert choose(pool) == "a"
    pool.end(request)
    assert (pool.loads["a"].in_flight, pool.loads["a"].prefill_s) == (0, 0.0)


def test_a_plain_target_is_filled_to_its_slots(pool):
    pool.sync({"a": entry("a")})
    add_calls(pool, "a", 3)
    assert choose(pool) == "a"
    add_calls(pool, "a", 1)
    assert choose(pool) is None


def test_a_full_target_gets_no_requests_for_a_short_pause(pool):
    pool.note_full(pool.loads["a"], sent_at=0.0, now=0.0)
    assert "a" not in {choose(pool, now=0.01) for _ in range(20)}
    assert "a" in {choose(pool, now=0.1) for _ in range(50)}


def test_a_target_that_timed_out_gets_no_requests_for_longer(pool):
    pool.note_timeout(pool.loads["a"], now=0.0)
    pool.note_full(pool.loads["b"], sent_at=0.0, now=0.0)
    assert {choose(pool, now=0.5) for _ in range(50)} == {"b", "c"}
    assert "a" in {choose(pool, now=1.1) for _ in range(50)}


def test_a_loading_target_gets_no_requests_until_it_reports_otherwise(pool):
    pool.note_report("a", 0, at=0.0, loading=True)
    assert "a" not in {choose(pool, now=1.0) for _ in range(20)}
    pool.note_report("a", 0, at=1.0)
    assert "a" in {choose(pool, now=1.0) for _ in range(50)}


def test_only_targets_with_the_required_weights_are_eligible(pool):
    pool.sync({"a": entry("a", market=1), "b": entry("b", market=2), "c": entry("c")})
    assert {choose(pool, model="market") for _ in range(50)} == {"a", "b"}
    assert choose(pool, model="market", min_version=2) == "b"
    assert choose(pool, model="market", exact_version=1) == "a"


def test_a_near_target_is_preferred_to_an_equally_full_far_one(pool):
    pool.sync({"a": entry("a"), "b": entry("b", place="room")})
    assert {choose(pool) for _ in range(20)} == {"a"}
    add_calls(pool, "a", 3)
    assert choose(pool) == "b"


def test_a_failing_target_is_ejected_and_returns_by_a_trial(pool):
    for _ in range(3):
        pool.note_failure(pool.loads["a"], now=0.0)
    assert "a" not in {choose(pool, now=0.5) for _ in range(30)}
    assert "a" in {choose(pool, now=1.1) for _ in range(50)}


# Guards against a target that is never used again: its trial ended without an outcome, because the
# caller left or another target answered first.
def test_an_ejected_target_is_tried_again_after_a_trial_without_an_outcome(pool):
    for _ in range(3):
        pool.note_failure(pool.loads["a"], now=0.0)
    trial = pool.begin(pool.loads["a"], 1.1)
    assert "a" not in {choose(pool, now=1.2) for _ in range(30)}
    pool.end(trial)
    assert "a" in {choose(pool, now=1.3) for _ in range(50)}


def test_a_failing_target_is_used_when_all_fail(pool):
    pool.sync({"a": entry("a")})
    for _ in range(5):
        pool.note_failure(pool.loads["a"], now=0.0)
    assert choose(pool, now=0.1) == "a"


def test_a_fuller_target_is_preferred_to_one_behind_a_congested_link(pool):
    for name in ("b", "c"):
        add_calls(pool, name, 1)
        pool.loads[name].note_data(10.0)
    pool.loads["a"].note_connect(0.1, now=10.0)
    assert choose(pool, now=10.0) in ("b", "c")
    assert choose(pool, now=13.0) == "a"  # the queue may have drained by then


def test_slow_connections_to_all_targets_change_nothing(pool):
    add_calls(pool, "a", 1)
    add_calls(pool, "b", 1)
    for load in pool.loads.values():
        load.note_connect(0.15, now=10.0)
    assert choose(pool, now=10.0) == "c"


def test_a_failed_connection_pauses_requests_to_the_target(pool):
    for name in ("b", "c"):
        add_calls(pool, name, 4)
        pool.loads[name].note_data(10.2)
    pool.loads["a"].note_connect_failure(0.25, now=10.0)
    assert choose(pool, now=10.3) is None
    assert choose(pool, now=10.5) == "a"


def test_a_refused_connection_is_not_taken_for_congestion(pool):
    pool.loads["a"].note_connect_failure(0.004, now=10.0)
    assert pool.loads["a"].has_free_slot(10.0)


def test_a_stalled_target_gets_no_more_requests(pool):
    for name in ("b", "c"):
        add_calls(pool, name, 2)
    pool.begin(pool.loads["a"], 10.0)
    for load in pool.loads.values():
        load.note_data(10.2)
    for name in ("b", "c"):
        pool.loads[name].note_data(10.7)
    assert choose(pool, now=10.6) == "a"
    assert choose(pool, now=10.8) in ("b", "c")
    pool.loads["a"].note_data(10.9)
    assert choose(pool, now=11.0) == "a"


def test_a_target_is_used_when_all_are_stalled(pool):
    for name in ("a", "b", "c"):
        pool.begin(pool.loads[name], 10.0)
    assert choose(pool, now=12.0) is not None


# Guards against entries that go around the agents, each with its own count of free slots, as soon
# as all targets are silent; and against questions over a link that is too slow for their answers.
def test_an_agent_is_asked_for_a_slot_when_all_targets_are_stalled(pool):
    for name in ("a", "b"):
        pool.begin(pool.loads[name], 10.0)
        pool.note_report(name, 1, at=10.6)
    eligible = [pool.loads[name] for name in ("a", "b")]
    assert all(load.is_stalled(10.6) for load in eligible)
    assert pool.choose_for_slot(eligible, 10.6, frozenset()) is not None
    pool.loads["b"].note_data(10.6)
    assert pool.choose_for_slot(eligible, 10.6, frozenset()) is pool.loads["b"]
    assert pool.choose_for_slot(eligible, 10.6, {"b"}) is None
    for load in eligible:
        load.note_connect(0.5, 10.6)
    assert pool.choose_for_slot(eligible, 10.6, frozenset()) is None


# Guards against targets that are left unused for up to a second after they go on.
def test_a_target_that_timed_out_is_used_again_once_it_sends_data(pool):
    for name in ("b", "c"):
        pool.begin(pool.loads[name], 10.0)
        pool.loads[name].note_data(11.0)
    pool.note_timeout(pool.loads["a"], now=11.0)
    assert choose(pool, now=11.1) in ("b", "c")
    pool.loads["a"].note_data(11.2)
    assert choose(pool, now=11.2) == "a"


# Guards against requests that wait at the entry while all targets are silent, and go around the
# agents once the targets go on.
def test_an_agent_is_asked_for_a_slot_when_all_targets_have_timed_out(pool):
    pool.sync({"a": entry("a")})
    pool.note_report("a", 4, at=11.0)
    pool.note_timeout(pool.loads["a"], now=11.0)
    assert choose(pool, now=11.1) is None
    assert pool.choose_for_slot(pool.loads.values(), 11.1, frozenset()) is pool.loads["a"]


def test_an_idle_target_is_not_stalled(pool):
    for name in ("b", "c"):
        add_calls(pool, name, 1)
        pool.loads[name].note_data(20.0)
    pool.loads["a"].note_data(10.0)
    assert choose(pool, now=20.0) == "a"


def test_a_target_whose_reports_are_delayed_is_avoided(pool):
    for name in ("b", "c"):
        add_calls(pool, name, 2)
        pool.loads[name].note_data(10.7)
    pool.note_report("a", 0, at=10.0, sent_s=500.0)
    pool.note_report("a", 0, at=10.7, sent_s=500.2)
    assert choose(pool, now=10.7) in ("b", "c")
    for at in (10.8, 10.9, 11.0):
        pool.note_report("a", 0, at=at, sent_s=490.0 + at)
    assert choose(pool, now=11.0) == "a"


def test_a_change_of_reachability_is_returned_once(pool):
    pool.begin(pool.loads["a"], 10.0)
    changes = [
        [load.entry.target for load in pool.reachability_changes(now)] for now in (10.1, 10.6, 10.7)
    ]
    assert changes == [[], ["a"], []]
    pool.loads["a"].note_data(10.8)
    assert [load.was_reachable for load in pool.reachability_changes(10.9)] == [True]


def test_entries_with_the_same_reports_do_not_all_choose_the_same_target():
    """Fifteen entries choose three targets each between two reports."""
    chosen_count = {f"t{index}": 0 for index in range(12)}
    for number in range(15):
        pool = TargetPool("hall", RULES, random.Random(number))
        pool.sync({name: entry(name, slots=12, market=1) for name in chosen_count})
        for index, name in enumerate(chosen_count):
            pool.note_report(name, index // 4, at=0.0)
        for _ in range(3):
            load = pool.choose(pool.eligible(TargetRequirements("writer")), 0.0)
            pool.begin(load, 0.0)
            chosen_count[load.entry.target] += 1
    least_busy = sum(chosen_count[f"t{index}"] for index in range(4))
    assert least_busy <= 32  # of 45; without sampling, all 45
    assert sum(count > 0 for count in chosen_count.values()) >= 8


def test_a_target_of_another_place_is_sampled_too():
    pool = TargetPool("hall", RULES, random.Random(1))
    near = {name: entry(name, market=1) for name in "abc"}
    pool.sync(near | {"d": entry("d", place="room", market=1)})
    for name in near:
        add_calls(pool, name, 3)
    assert {choose(pool) for _ in range(20)} == {"d"}
