"""Versions that are named one after the other, and the halves of a service that take them."""

import pytest

from lacewinggw.decisions.routingview import RequiredVersion
from lacewinggw.decisions.upgrades import UpgradePlanner, UpgradeRules, UpgradeStep, VersionProgress

RULES = UpgradeRules(allowed_s=8.0, copy_s=5.0)
HOSTS = [f"10.0.0.{number}" for number in range(8)]
NAMED_AT = 100.0
DUE = [RequiredVersion(2, NAMED_AT)]


def plans():
    return [UpgradePlanner(RULES, host, HOSTS) for host in HOSTS]


def early_plan():
    return next(plan for plan in plans() if decide(plan, 1, DUE, {2: 1.0}, 104.9).load)


def late_plan():
    return next(plan for plan in plans() if not decide(plan, 1, DUE, {2: 1.0}, 106.0).load)


def decide(plan, current, due, shares, now):
    return plan.decide(current, due, VersionProgress(shares), now)


def test_half_of_the_service_takes_a_version_as_soon_as_it_is_there():
    at_once = [decide(plan, 1, DUE, {2: 1.0}, 105.0) for plan in plans()]
    assert [upgrade.load for upgrade in at_once].count(2) == 4
    assert all(upgrade.may_interrupt for upgrade in at_once if upgrade.load)


def test_the_other_half_begins_to_empty_just_before_the_bound():
    loads = [decide(late_plan(), 1, DUE, {2: 1.0}, now).load for now in (106.3, 106.5)]
    assert loads == [None, 2]
    assert not decide(late_plan(), 1, DUE, {2: 1.0}, 106.5).may_interrupt


# 80 targets with 10.3 s for a version that is there after 5.7 s waited for the last second and a
# half: half of them were out at once, four seconds after they could have begun.
def test_targets_take_turns_over_all_the_time_that_there_is():
    rules = UpgradeRules(allowed_s=10.3, copy_s=5.7)
    hosts = [f"10.0.0.{number}" for number in range(80)]
    due = [RequiredVersion(2, NAMED_AT)]
    times = [NAMED_AT + 0.01 * step for step in range(1030)]
    out = dict.fromkeys(times, 0)
    for host in hosts:
        plan = UpgradePlanner(rules, host, hosts)
        upgrades = {now: decide(plan, 1, due, {2: 1.0}, now) for now in times}
        begun = next(now for now in times if upgrades[now].load)
        out_s = 0.4 if upgrades[begun].may_interrupt else 1.4
        for now in times:
            out[now] += begun <= now < begun + out_s
        assert begun <= NAMED_AT + 10.3 - 1.6 + 0.01
    assert max(out.values()) <= 0.35 * len(hosts)


def test_without_time_to_spare_the_early_half_takes_a_version_at_once():
    rules = UpgradeRules(allowed_s=8.0, copy_s=6.7)
    at_once = [
        UpgradePlanner(rules, host, HOSTS).decide(1, DUE, VersionProgress({2: 1.0}), 104.0).load
        for host in HOSTS
    ]
    assert at_once.count(2) == 4


def test_a_single_target_is_never_cut():
    plan = UpgradePlanner(RULES, HOSTS[0], HOSTS[:1])
    assert decide(plan, 1, DUE, {2: 1.0}, 105.0) == UpgradeStep((2,))
    upgrade = decide(plan, 1, DUE, {2: 1.0}, 107.0)
    assert (upgrade.load, upgrade.may_interrupt) == (2, False)


def test_nothing_is_loaded_that_is_not_whole():
    assert decide(early_plan(), 1, DUE, {2: 0.98}, 110.0) == UpgradeStep((2,))


def test_a_target_at_the_newest_version_has_nothing_to_do():
    assert decide(early_plan(), 2, DUE, {2: 1.0}, 105.0) == UpgradeStep()


def test_a_version_on_its_way_is_finished_before_the_next_one():
    due = [*DUE, RequiredVersion(3, NAMED_AT + 3.0)]
    assert decide(early_plan(), 1, due, {2: 0.6}, 103.0).fetch == (2,)
    whole = decide(early_plan(), 1, due, {2: 1.0}, 104.5)
    assert (whole.fetch, whole.load) == ((2, 3), 2)


def test_a_version_is_left_out_when_the_next_one_is_here_in_time():
    due = [*DUE, RequiredVersion(3, NAMED_AT + 0.5)]
    assert decide(early_plan(), 1, due, {2: 0.1}, 100.5).fetch == (3,)


def test_the_next_version_is_begun_when_the_first_is_nearly_there():
    due = [*DUE, RequiredVersion(3, NAMED_AT + 4.0)]
    assert decide(late_plan(), 1, due, {2: 0.7}, 104.1).fetch == (2,)
    assert decide(late_plan(), 1, due, {2: 0.95}, 105.0).fetch == (2, 3)


def test_the_next_version_counts_by_the_bound_of_the_one_left_out():
    due = [*DUE, RequiredVersion(3, NAMED_AT + 0.5)]
    assert decide(late_plan(), 1, due, {3: 1.0}, 106.5).load == 3


def test_an_order_is_not_put_off_beyond_the_bound():
    assert decide(late_plan(), 1, DUE, {2: 1.0}, 107.0).load_deadline == pytest.approx(107.4)


@pytest.mark.parametrize(
    ("shares", "load"),
    [({3: 1.0}, 3), ({3: 0.5}, None), ({2: 1.0, 3: 0.5}, 2)],
    ids=["newest is there", "nothing is there", "an older one is there"],
)
def test_an_empty_target_takes_what_may_serve_for_a_while(shares, load):
    due = [*DUE, RequiredVersion(3, NAMED_AT + 3.0)]
    upgrade = decide(early_plan(), None, due, shares, 104.0)
    assert (upgrade.fetch, upgrade.load) == ((3,), load)


def test_an_empty_target_does_not_take_what_is_soon_over():
    due = [*DUE, RequiredVersion(3, NAMED_AT)]
    assert decide(early_plan(), None, due, {2: 1.0, 3: 0.5}, 107.0).load is None


def test_an_empty_target_takes_the_first_version_where_none_was_named():
    assert decide(early_plan(), None, [], {1: 1.0}, 0.0) == UpgradeStep((1,), load=1)
    assert decide(early_plan(), 1, [], {1: 1.0}, 0.0) == UpgradeStep()


def test_a_version_that_can_serve_no_more_is_left_for_the_next_one():
    """Two versions two seconds apart, and a source that is away from half a second after that."""
    due = [*DUE, RequiredVersion(3, NAMED_AT + 2.0)]
    assert decide(early_plan(), 1, due, {2: 0.95}, 103.0).fetch == (2, 3)
    assert decide(early_plan(), 1, due, {2: 0.95}, 108.5).fetch == (3,)


def test_a_version_that_is_whole_is_loaded_only_if_it_still_serves():
    due = [*DUE, RequiredVersion(3, NAMED_AT + 2.0)]
    assert decide(early_plan(), 1, due, {2: 1.0}, 107.0).load == 2
    assert decide(early_plan(), 1, due, {2: 1.0}, 108.5).load is None
