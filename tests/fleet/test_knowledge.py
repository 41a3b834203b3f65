"""What a process believes, and how long: keys, denials, targets and versions."""

import pytest

from lacewinggw.decisions.knowledge import Knowledge, KnowledgeRules
from lacewinggw.decisions.routes import RouteTable
from lacewinggw.decisions.targetlist import DueVersion, TargetEntry, TargetPhase

RULES = KnowledgeRules(
    revocation_s=5.0,
    apply_s=2.0,
    lapse_s=1.9,
    settled_s=3.0,
    version_s=8.0,
    begin_s=0.5,
    slack_s=0.5,
)


@pytest.fixture
def knowledge():
    return Knowledge(RULES)


def target(name, phase=TargetPhase.READY, **weights):
    return TargetEntry(name, "desk", f"10.0.0.1:{len(name)}", "hall", phase, weights=weights)


def test_nothing_is_covered_before_the_routes_are_known(knowledge):
    knowledge.prove_routes(10.0)
    assert not knowledge.covers_keys(10.0) and not knowledge.covers_denial(10.0)


def test_keys_are_covered_until_the_bound_and_denials_for_less(knowledge):
    knowledge.take_routes(RouteTable(3))
    knowledge.prove_routes(10.0)
    assert [knowledge.covers_keys(now) for now in (10.0, 14.9, 15.0)] == [True, True, False]
    assert [knowledge.covers_denial(now) for now in (10.0, 13.9, 14.0)] == [True, True, False]


def test_a_frozen_process_wakes_up_with_old_knowledge(knowledge):
    knowledge.take_routes(RouteTable(3))
    knowledge.prove_routes(10.0)
    woken_at = 10.0 + 7.0
    assert not knowledge.covers_keys(woken_at)


def test_a_proof_that_comes_late_does_not_make_knowledge_older(knowledge):
    knowledge.take_routes(RouteTable(3))
    knowledge.prove_routes(10.0)
    knowledge.prove_routes(8.0)
    assert knowledge.routes_age(11.0) == 1.0


def test_versions_of_the_routes_only_rise(knowledge):
    assert knowledge.take_routes(RouteTable(5))
    assert not knowledge.take_routes(RouteTable(4))
    assert not knowledge.take_routes(RouteTable(5))
    assert knowledge.routes.version == 5


def test_a_target_that_leaves_never_comes_back(knowledge):
    knowledge.take_target(target("a"))
    knowledge.take_target(target("a", TargetPhase.LEAVING))
    knowledge.take_target(target("a"))
    assert "a" in knowledge.leaving


def test_what_left_long_ago_is_forgotten_once_the_list_lacks_it(knowledge):
    knowledge.take_target(target("a", TargetPhase.LEAVING))
    knowledge.take_target(target("bb", TargetPhase.LEAVING))
    knowledge.drop_target("a", now=100.0)
    for now in (100.0, 159.0):
        knowledge.expire(now)
        assert set(knowledge.leaving) == {"a", "bb"}
    knowledge.expire(160.0)
    assert set(knowledge.leaving) == {"bb"}


def test_a_target_that_left_the_list_is_gone_at_once_while_the_store_is_sound(knowledge):
    knowledge.take_target(target("a"))
    knowledge.drop_target("a", now=100.0)
    assert "a" not in knowledge.targets


def test_a_target_that_lapsed_in_an_outage_is_believed_for_a_while(knowledge):
    knowledge.take_target(target("a"))
    knowledge.take_target(target("b"))
    knowledge.note_outage_end(100.0)
    knowledge.take_whole_list([], now=100.1)
    assert set(knowledge.targets) == {"a", "b"}
    knowledge.take_target(target("b"))
    knowledge.expire(101.95)
    assert set(knowledge.targets) == {"b"}


def test_one_that_was_leaving_is_not_believed_after_an_outage(knowledge):
    knowledge.take_target(target("a", TargetPhase.LEAVING))
    knowledge.note_outage_end(100.0)
    knowledge.take_whole_list([], now=100.1)
    assert not knowledge.targets


def test_each_named_version_has_its_own_bound(knowledge):
    knowledge.take_due(DueVersion("market", 2), 100.0)
    knowledge.take_due(DueVersion("market", 3), 103.0)
    least = [knowledge.least_version("market", now) for now in (107.4, 107.5, 110.4, 110.5)]
    assert least == [0, 2, 2, 3]


def test_what_has_not_begun_by_the_bound_must_not_begin(knowledge):
    knowledge.take_target(target("a", market=1))
    knowledge.take_target(target("b", market=2))
    knowledge.take_due(DueVersion("market", 2), 100.0)
    knowledge.take_due(DueVersion("market", 3), 103.0)
    assert knowledge.begin_by("a", "market") == 107.5
    assert knowledge.begin_by("b", "market") == 110.5


def test_a_version_named_before_this_process_began_counts_soon(knowledge):
    knowledge.take_due(DueVersion("market", 2), 100.0, old=True)
    assert knowledge.least_version("market", 102.0) == 0
    assert knowledge.least_version("market", 102.5) == 2


def test_weights_only_rise_within_one_start_of_a_target(knowledge):
    knowledge.take_target(target("a", market=1))
    assert knowledge.note_weights("a", {"market": 2})
    knowledge.take_target(target("a", market=1))
    assert knowledge.targets["a"].weights == {"market": 2}
    assert not knowledge.note_weights("gone", {"market": 2})
