"""Upgrades to versions named in sequence, in two halves of a service."""

import pytest

from lacewinggw.decisions.routingview import RequiredVersion
from lacewinggw.decisions.upgrades import (
    SourceDelays,
    UpgradePlanner,
    UpgradeRules,
    UpgradeStep,
    VersionProgress,
)

RULES = UpgradeRules(allowed_s=8.0, copy_s=5.0)
HOSTS = [f"10.0.0.{number}" for number in range(8)]
NAMED_AT = 100.0
DUE = [RequiredVersion(2, NAMED_AT)]


def planners():
    return [UpgradePlanner(RULES, host, HOSTS) for host in HOSTS]


def early_planner():
    return next(planner for planner in planners() if decide(planner, 1, DUE, {2: 1.0}, 104.9).load)


def late_planner():
    return next(
        planner for planner in planners() if not decide(planner, 1, DUE, {2: 1.0}, 106.0).load
    )


def decide(planner, current, due, shares, now):
    return planner.decide(current, due, VersionProgress(shares), now)


def test_half_of_the_targets_load_a_version_on_arrival():
    at_once = [decide(planner, 1, DUE, {2: 1.0}, 105.0) for planner in planners()]
    assert [upgrade.load for upgrade in at_once].count(2) == 4
    assert all(upgrade.may_interrupt for upgrade in at_once if upgrade.load)


def test_the_other_half_drains_shortly_before_the_deadline():
    loads = [decide(late_planner(), 1, DUE, {2: 1.0}, now).load for now in (106.3, 106.5)]
    assert loads == [None, 2]
    assert not decide(late_planner(), 1, DUE, {2: 1.0}, 106.5).may_interrupt


# Guards against upgrades that all happen at the end: 80 targets with 10.3 s for a version that
# arrived after 5.7 s waited for the last 1.5 s. Half of them were out of service at the same time,
# 4 s after they could have started.
def test_targets_are_staggered_over_all_of_the_available_time():
    rules = UpgradeRules(allowed_s=10.3, copy_s=5.7)
    hosts = [f"10.0.0.{number}" for number in range(80)]
    due = [RequiredVersion(2, NAMED_AT)]
    times = [NAMED_AT + 0.01 * step for step in range(1030)]
    out = dict.fromkeys(times, 0)
    for host in hosts:
        planner = UpgradePlanner(rules, host, hosts)
        upgrades = {now: decide(planner, 1, due, {2: 1.0}, now) for now in times}
        begun = next(now for now in times if upgrades[now].load)
        out_s = 0.4 if upgrades[begun].may_interrupt else 1.4
        for now in times:
            out[now] += begun <= now < begun + out_s
        assert begun <= NAMED_AT + 10.3 - 1.6 + 0.01
    assert max(out.values()) <= 0.35 * len(hosts)


def test_the_early_half_loads_at_once_if_little_time_is_left():
    rules = UpgradeRules(allowed_s=8.0, copy_s=6.7)
    at_once = [
        UpgradePlanner(rules, host, HOSTS).decide(1, DUE, VersionProgress({2: 1.0}), 104.0).load
        for host in HOSTS
    ]
    assert at_once.count(2) == 4


def test_requests_of_a_single_target_are_never_interrupted():
    planner = UpgradePlanner(RULES, HOSTS[0], HOSTS[:1])
    assert decide(planner, 1, DUE, {2: 1.0}, 105.0) == UpgradeStep((2,))
    upgrade = decide(planner, 1, DUE, {2: 1.0}, 107.0)
    assert (upgrade.load, upgrade.may_interrupt) == (2, False)


def test_an_incomplete_version_is_not_loaded():
    assert decide(early_planner(), 1, DUE, {2: 0.98}, 110.0) == UpgradeStep((2,))


def test_a_target_with_the_newest_version_needs_no_step():
    assert decide(early_planner(), 2, DUE, {2: 1.0}, 105.0) == UpgradeStep()


def test_a_download_in_progress_is_completed_before_the_next_one():
    due = [*DUE, RequiredVersion(3, NAMED_AT + 3.0)]
    assert decide(early_planner(), 1, due, {2: 0.6}, 103.0).fetch == (2,)
    whole = decide(early_planner(), 1, due, {2: 1.0}, 104.5)
    assert (whole.fetch, whole.load) == ((2, 3), 2)


def test_a_version_is_skipped_if_the_next_one_arrives_in_time():
    due = [*DUE, RequiredVersion(3, NAMED_AT + 0.5)]
    assert decide(early_planner(), 1, due, {2: 0.1}, 100.5).fetch == (3,)


def test_the_next_download_starts_when_the_first_is_nearly_complete():
    due = [*DUE, RequiredVersion(3, NAMED_AT + 4.0)]
    assert decide(late_planner(), 1, due, {2: 0.7}, 104.1).fetch == (2,)
    assert decide(late_planner(), 1, due, {2: 0.95}, 105.0).fetch == (2, 3)


def test_the_next_version_inherits_the_deadline_of_a_skipped_one():
    due = [*DUE, RequiredVersion(3, NAMED_AT + 0.5)]
    assert decide(late_planner(), 1, due, {3: 1.0}, 106.5).load == 3


def test_a_load_is_not_postponed_beyond_the_deadline():
    assert decide(late_planner(), 1, DUE, {2: 1.0}, 107.0).load_deadline == pytest.approx(107.4)


@pytest.mark.parametrize(
    ("shares", "load"),
    [({3: 1.0}, 3), ({3: 0.5}, None), ({2: 1.0, 3: 0.5}, 2)],
    ids=["newest is complete", "none is complete", "an older one is complete"],
)
def test_an_empty_target_loads_what_can_serve_for_a_while(shares, load):
    due = [*DUE, RequiredVersion(3, NAMED_AT + 3.0)]
    upgrade = decide(early_planner(), None, due, shares, 104.0)
    assert (upgrade.fetch, upgrade.load) == ((3,), load)


def test_an_empty_target_does_not_load_what_expires_soon():
    due = [*DUE, RequiredVersion(3, NAMED_AT)]
    assert decide(early_planner(), None, due, {2: 1.0, 3: 0.5}, 107.0).load is None


def test_an_empty_target_loads_the_first_version_if_none_was_named():
    assert decide(early_planner(), None, [], {1: 1.0}, 0.0) == UpgradeStep((1,), load=1)
    assert decide(early_planner(), 1, [], {1: 1.0}, 0.0) == UpgradeStep()


def test_a_version_that_would_expire_on_arrival_is_skipped():
    """Two versions 2 s apart, and a source that fails 0.5 s after the second."""
    due = [*DUE, RequiredVersion(3, NAMED_AT + 2.0)]
    assert decide(early_planner(), 1, due, {2: 0.95}, 103.0).fetch == (2, 3)
    assert decide(early_planner(), 1, due, {2: 0.95}, 108.5).fetch == (3,)


def test_a_complete_version_is_loaded_only_if_it_can_still_serve():
    due = [*DUE, RequiredVersion(3, NAMED_AT + 2.0)]
    assert decide(early_planner(), 1, due, {2: 1.0}, 107.0).load == 2
    assert decide(early_planner(), 1, due, {2: 1.0}, 108.5).load is None


SOURCE_RULES = UpgradeRules(allowed_s=13.4, copy_s=6.7, source_copy_s=4.3)
NEXT_DUE = [*DUE, RequiredVersion(3, NAMED_AT + 3.0)]


def fetches(shares, reachable, has_source, now):
    planner = UpgradePlanner(SOURCE_RULES, HOSTS[0], HOSTS)
    progress = VersionProgress(shares, reachable, has_source)
    return planner.decide(1, NEXT_DUE, progress, now).fetch


# Guards against a third of a copy that is abandoned for a version that is due 3 s later.
def test_work_on_a_version_is_not_abandoned_for_one_that_arrives_much_later():
    assert fetches({2: 0.34, 3: 0.0}, {2: 0.46, 3: 0.0}, True, 103.1) == (2,)


# Guards against a plan that fetches what no source can send while hosts hold the older version.
@pytest.mark.parametrize("share", [0.0, 0.3, 0.8])
def test_a_version_without_a_source_replaces_none_that_the_hosts_hold(share):
    assert fetches({2: share, 3: 0.0}, {2: 1.0, 3: 0.0}, False, 103.1) == (2,)


# Guards against waiting for the source of the older version while the hosts hold the newer one.
def test_a_version_without_a_source_delays_none_that_the_hosts_hold():
    assert fetches({2: 0.5, 3: 0.1}, {2: 0.6, 3: 1.0}, False, 104.0) == (3,)
    assert fetches({2: 0.5, 3: 0.1}, {2: 0.6, 3: 1.0}, False, 108.0) == (3,)


# Guards against a plan that changes back and forth during an outage of the source and after it.
def test_a_plan_is_kept_throughout_an_outage_of_the_source():
    times = [103.0 + 0.1 * step for step in range(60)]
    away = {fetches({2: 0.45, 3: 0.0}, {2: 0.46, 3: 0.0}, False, now) for now in times}
    assert away == {(2,)}


# Guards against an origin that is idle while hosts exchange the last chunks of a version.
def test_the_next_version_is_imported_once_the_hosts_hold_the_first_together():
    progress = VersionProgress({2: 0.6, 3: 0.0}, {2: 0.95, 3: 0.0})
    step = UpgradePlanner(SOURCE_RULES, HOSTS[0], HOSTS).decide(1, NEXT_DUE, progress, 105.0)
    assert (step.fetch, step.imports) == ((2,), (3,))


# Guards against two versions that share the origin, so that the first one is late.
def test_nothing_of_the_next_version_is_imported_while_the_origin_sends_the_first():
    progress = VersionProgress({2: 0.4, 3: 0.0}, {2: 0.6, 3: 0.0})
    step = UpgradePlanner(SOURCE_RULES, HOSTS[0], HOSTS).decide(1, NEXT_DUE, progress, 105.0)
    assert (step.fetch, step.imports) == ((2,), ())


# Guards against engines that are added during an outage of the source and wait for its return,
# though the others hold a whole version; hosts that do not ask the source do not know of it.
@pytest.mark.parametrize("current", [None, 1])
@pytest.mark.parametrize("has_source", [True, False])
def test_a_target_without_any_chunk_fetches_what_the_others_hold(current, has_source):
    planner = UpgradePlanner(SOURCE_RULES, HOSTS[0], HOSTS)
    progress = VersionProgress({2: 0.0, 3: 0.0}, {2: 1.0, 3: 0.0}, has_source)
    assert planner.decide(current, NEXT_DUE, progress, 103.5).fetch == (2,)


# Guards against an origin that sends two versions at half its rate each, when two are announced at
# nearly the same time and only the newer one is fetched.
def test_a_skipped_version_is_not_imported():
    due = [RequiredVersion(2, 100.0), RequiredVersion(3, 100.2)]
    progress = VersionProgress({2: 0.0, 3: 0.0}, {2: 0.0, 3: 0.0})
    step = UpgradePlanner(SOURCE_RULES, HOSTS[0], HOSTS).decide(1, due, progress, 100.3)
    assert (step.fetch, step.imports) == ((3,), ())


# Guards against imports of the next version that take the hosts' links while the one before still
# goes from host to host: without an outage the next one arrives no sooner.
def test_nothing_is_imported_ahead_while_no_outage_delays_the_source():
    delays = SourceDelays()
    due = [RequiredVersion(2, 100.0), RequiredVersion(3, 104.0)]
    for now, share in ((100.5, 0.2), (102.2, 1.0), (104.1, 1.0)):
        delays.note(due, {2: share, 3: 0.0}, 1.7, now)
    progress = VersionProgress({2: 0.6, 3: 0.0}, {2: 1.0, 3: 0.0}, True, delays.sent_in_time)
    step = UpgradePlanner(SOURCE_RULES, HOSTS[0], HOSTS).decide(1, due, progress, 104.1)
    assert (step.fetch, step.imports) == ((2,), ())


def test_nothing_is_imported_ahead_while_the_source_still_sends_without_an_outage():
    delays = SourceDelays()
    due = [RequiredVersion(2, 100.0), RequiredVersion(3, 102.0)]
    delays.note(due, {2: 0.95, 3: 0.0}, 1.7, 102.1)
    progress = VersionProgress({2: 0.3, 3: 0.0}, {2: 0.95, 3: 0.0}, True, delays.sent_in_time)
    step = UpgradePlanner(SOURCE_RULES, HOSTS[0], HOSTS).decide(1, due, progress, 102.1)
    assert (step.fetch, step.imports) == ((2,), ())


# Guards against an origin that is idle after an outage, on hosts that did not ask it meanwhile.
def test_a_version_that_the_source_takes_long_to_send_counts_as_delayed():
    delays = SourceDelays()
    for now in (100.1, 103.1):
        delays.note(DUE, {2: 0.5}, 1.7, now)
    assert delays.sent_in_time == {2}
    for now in (103.3, 105.0):
        delays.note(DUE, {2: 0.5 if now < 105.0 else 1.0}, 1.7, now)
    assert delays.sent_in_time == frozenset()
    delays.note([RequiredVersion(3, 105.0)], {3: 0.0}, 1.7, 105.1)
    assert delays.sent_in_time == {3}
