"""What a process believes, and how long: keys, denials, targets and versions."""

import pytest

from lacewinggw.decisions.routes import RouteTable
from lacewinggw.decisions.routingview import RoutingView, RoutingViewRules
from lacewinggw.decisions.targetlist import DueVersion, TargetEntry, TargetPhase

RULES = RoutingViewRules(
    revocation_s=5.0,
    apply_s=2.0,
    lapse_s=1.9,
    post_outage_s=3.0,
    version_s=8.0,
    begin_s=0.5,
    slack_s=0.5,
)


@pytest.fixture
def knowledge():
    return RoutingView(RULES)


def target(name, phase=TargetPhase.READY, born_ms=0, **weights):
    address = f"10.0.0.1:{len(name)}"
    return TargetEntry(name, "desk", address, "hall", phase, weights=weights, born_ms=born_ms)


def test_nothing_is_covered_before_the_routes_are_known(knowledge):
    knowledge.confirm_routes(10.0)
    assert not knowledge.can_accept_keys(10.0) and not knowledge.can_deny_unknown(10.0)


def test_keys_are_covered_until_the_bound_and_denials_for_less(knowledge):
    knowledge.update_routes(RouteTable(3))
    knowledge.confirm_routes(10.0)
    assert [knowledge.can_accept_keys(now) for now in (10.0, 14.9, 15.0)] == [True, True, False]
    assert [knowledge.can_deny_unknown(now) for now in (10.0, 11.9, 12.0)] == [True, True, False]


def test_a_denial_counts_from_what_was_seen_and_a_key_from_what_is_sure(knowledge):
    knowledge.update_routes(RouteTable(3))
    knowledge.confirm_routes(10.0, observed_at=11.2)
    assert [knowledge.can_deny_unknown(now) for now in (13.1, 13.2)] == [True, False]
    assert [knowledge.can_accept_keys(now) for now in (14.9, 15.0)] == [True, False]


def test_what_is_known_to_be_newer_elsewhere_ends_denials_until_it_is_here(knowledge):
    knowledge.update_routes(RouteTable(3))
    knowledge.confirm_routes(10.0)
    knowledge.confirm_version(4)
    assert not knowledge.can_deny_unknown(10.1) and knowledge.can_accept_keys(10.1)
    knowledge.update_routes(RouteTable(4))
    assert knowledge.can_deny_unknown(10.1)


def test_a_proof_is_of_the_version_that_it_names(knowledge):
    knowledge.update_routes(RouteTable(3))
    knowledge.confirm_routes(10.0)
    knowledge.confirm_version(4, 12.0)
    knowledge.confirm_version(2, 13.0)
    assert knowledge.routes_age_s(13.0) == 3.0
    knowledge.confirm_version(4, 11.0)
    knowledge.update_routes(RouteTable(4))
    assert knowledge.routes_age_s(13.0) == 1.0
    knowledge.confirm_version(4, 12.5)
    assert knowledge.routes_age_s(13.0) == 0.5


def test_a_frozen_process_wakes_up_with_old_knowledge(knowledge):
    knowledge.update_routes(RouteTable(3))
    knowledge.confirm_routes(10.0)
    woken_at = 10.0 + 7.0
    assert not knowledge.can_accept_keys(woken_at)


def test_a_proof_that_comes_late_does_not_make_knowledge_older(knowledge):
    knowledge.update_routes(RouteTable(3))
    knowledge.confirm_routes(10.0)
    knowledge.confirm_routes(8.0)
    assert knowledge.routes_age_s(11.0) == 1.0


def test_versions_of_the_routes_only_rise(knowledge):
    assert knowledge.update_routes(RouteTable(5))
    assert not knowledge.update_routes(RouteTable(4))
    assert not knowledge.update_routes(RouteTable(5))
    assert knowledge.routes.version == 5


def test_a_target_that_leaves_never_comes_back(knowledge):
    knowledge.update_target(target("a"))
    knowledge.update_target(target("a", TargetPhase.LEAVING))
    knowledge.update_target(target("a"))
    assert "a" in knowledge.leaving


def test_what_left_long_ago_is_forgotten_once_the_list_lacks_it(knowledge):
    knowledge.update_target(target("a", TargetPhase.LEAVING))
    knowledge.update_target(target("bb", TargetPhase.LEAVING))
    knowledge.remove_delisted("a", now=100.0)
    for now in (100.0, 159.0):
        knowledge.expire(now)
        assert set(knowledge.leaving) == {"a", "bb"}
    knowledge.expire(160.0)
    assert set(knowledge.leaving) == {"bb"}


def test_a_target_that_left_the_list_is_gone_at_once_while_the_store_is_sound(knowledge):
    knowledge.update_target(target("a"))
    knowledge.remove_delisted("a", now=100.0)
    assert "a" not in knowledge.targets


def test_a_target_that_lapsed_in_an_outage_is_believed_for_a_while(knowledge):
    knowledge.update_target(target("a"))
    knowledge.update_target(target("b"))
    knowledge.record_outage_end(100.0)
    knowledge.replace_targets([], now=100.1)
    assert set(knowledge.targets) == {"a", "b"}
    knowledge.update_target(target("b"))
    knowledge.expire(101.95)
    assert set(knowledge.targets) == {"b"}


def test_one_that_was_leaving_is_not_believed_after_an_outage(knowledge):
    knowledge.update_target(target("a", TargetPhase.LEAVING))
    knowledge.record_outage_end(100.0)
    knowledge.replace_targets([], now=100.1)
    assert not knowledge.targets


def test_each_named_version_has_its_own_bound(knowledge):
    knowledge.require_version(DueVersion("market", 2), 100.0)
    knowledge.require_version(DueVersion("market", 3), 103.0)
    least = [knowledge.min_version("market", now) for now in (107.4, 107.5, 110.4, 110.5)]
    assert least == [0, 2, 2, 3]


def test_what_has_not_begun_by_the_bound_must_not_begin(knowledge):
    knowledge.update_target(target("a", market=1))
    knowledge.update_target(target("b", market=2))
    knowledge.require_version(DueVersion("market", 2), 100.0)
    knowledge.require_version(DueVersion("market", 3), 103.0)
    assert knowledge.start_deadline("a", "market") == 107.5
    assert knowledge.start_deadline("b", "market") == 110.5


def test_a_version_named_before_this_process_began_counts_soon(knowledge):
    knowledge.require_version(DueVersion("market", 2), 100.0, old=True)
    assert knowledge.min_version("market", 102.0) == 0
    assert knowledge.min_version("market", 102.5) == 2


def test_weights_only_rise_within_one_start_of_a_target(knowledge):
    knowledge.update_target(target("a", market=1))
    assert knowledge.update_weights("a", {"market": 2})
    knowledge.update_target(target("a", market=1))
    assert knowledge.targets["a"].weights == {"market": 2}
    assert not knowledge.update_weights("gone", {"market": 2})


# ---- starts of a target under one name ------------------------------------------------------


def test_a_start_that_drained_and_left_does_not_keep_the_next_one_out(knowledge):
    knowledge.update_target(target("a", TargetPhase.LEAVING, born_ms=1))
    knowledge.remove_delisted("a", now=100.0)
    knowledge.update_target(target("a", born_ms=2))
    assert set(knowledge.targets) == {"a/2"} and "a/2" not in knowledge.leaving


def test_a_new_start_ends_the_one_before_and_holds_nothing_of_it(knowledge):
    knowledge.update_target(target("a", born_ms=1, market=3))
    knowledge.update_target(target("a", born_ms=2))
    assert set(knowledge.targets) == {"a/2"}
    assert knowledge.targets["a/2"].weights == {}
    assert not knowledge.update_weights("a/1", {"market": 4})


@pytest.mark.parametrize("gone_between", [False, True])
def test_what_is_read_late_of_the_start_before_changes_nothing(knowledge, gone_between):
    knowledge.update_target(target("a", born_ms=2))
    if gone_between:
        knowledge.remove_delisted("a", now=100.0)
    knowledge.update_target(target("a", born_ms=1, market=3))
    assert set(knowledge.targets) == (set() if gone_between else {"a/2"})


def test_a_new_start_that_is_listed_after_an_outage_is_the_only_one(knowledge):
    knowledge.update_target(target("a", born_ms=1))
    knowledge.record_outage_end(100.0)
    knowledge.replace_targets([], now=100.1)
    knowledge.update_target(target("a", born_ms=2))
    knowledge.expire(100.2)
    assert set(knowledge.targets) == {"a/2"}
    knowledge.expire(103.0)
    assert set(knowledge.targets) == {"a/2"}


def test_a_start_that_its_host_says_is_over_gets_nothing_before_the_list_says_so(knowledge):
    knowledge.update_target(target("a", born_ms=1))
    knowledge.record_incarnation("a", 1)
    assert not knowledge.leaving
    knowledge.record_incarnation("a", 2)
    assert knowledge.leaving == {"a/1"}
    knowledge.record_incarnation("a", 1)  # news that was held up
    knowledge.update_target(target("a", born_ms=2))
    assert set(knowledge.targets) == {"a/2"} and "a/2" not in knowledge.leaving


def test_a_target_whose_entry_cannot_be_read_is_let_go_until_it_can_be(knowledge):
    knowledge.update_target(target("a", born_ms=1))
    knowledge.record_outage_end(100.0)
    knowledge.remove_unreadable("a")
    assert not knowledge.targets
    knowledge.update_target(target("a", born_ms=1))
    assert set(knowledge.targets) == {"a/1"}


def test_starts_that_are_long_gone_are_forgotten(knowledge):
    knowledge.update_target(target("a", born_ms=5))
    knowledge.remove_delisted("a", now=100.0)
    knowledge.expire(100.0)
    knowledge.expire(161.0)
    knowledge.update_target(target("a", born_ms=4))
    assert set(knowledge.targets) == {"a/4"}


def test_a_birth_says_nothing_where_the_list_tells_none(knowledge):
    knowledge.update_target(target("a"))
    knowledge.record_incarnation("a", 7)
    assert not knowledge.leaving and set(knowledge.targets) == {"a"}
