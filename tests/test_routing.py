"""Routing, ejection, the retry budget, subsets, account addresses and prefix affinity."""

import random
from collections import Counter

import pytest

from lacewinggw.decisions.addresses import (
    LiveEntry,
    account_entries,
    answer_addresses,
    count_addresses,
)
from lacewinggw.decisions.affinity import PrefixIndex, preferred_target, prefix_blocks
from lacewinggw.decisions.ejection import (
    EjectionRules,
    EjectionState,
    TargetHealth,
    note_failed_call,
)
from lacewinggw.decisions.retries import RetryBudget
from lacewinggw.decisions.routing import (
    LoadReport,
    Policy,
    RoutingContext,
    TargetStats,
    choose_target,
    cost,
    note_report,
    work_ahead,
)
from lacewinggw.decisions.subsets import TargetHost, pick_subset, ring_position
from lacewinggw.ids import (
    Account,
    Address,
    Digest,
    HostId,
    Incarnation,
    Place,
    ReleaseName,
    ServiceName,
)

RULES = EjectionRules(after_failures=3, ejection_s=5.0, max_ejected_share=0.5)


def make_target(name: str, **changes: object) -> TargetStats:
    facts = TargetStats(
        HostId(name),
        Place("kgn-hall-a"),
        Address(f"{name}:1"),
        Incarnation("1"),
        ServiceName("citation-llm"),
        ReleaseName("citation-1"),
        Digest("d"),
        capacity=8,
        serving_since=-1000.0,
        request_s=1.0,
    )
    for field, value in changes.items():
        setattr(facts, field, value)
    return facts


def make_entries(count: int) -> list[LiveEntry]:
    return [
        LiveEntry(HostId(f"e{n}"), Place(f"p{n % 3}"), Address(f"10.0.0.{n}:80"))
        for n in range(count)
    ]


def test_the_less_loaded_of_two_targets_is_chosen() -> None:
    busy, idle = make_target("busy", in_flight=5), make_target("idle")
    rng = random.Random(1)
    chosen = {choose_target([busy, idle], RoutingContext(0.0), rng).host for _ in range(20)}
    assert chosen == {"idle"}


@pytest.mark.parametrize("policy", list(Policy))
def test_every_policy_spreads_over_equal_targets(policy: Policy) -> None:
    targets, rng = [make_target(f"t{n}") for n in range(3)], random.Random(1)
    counted: Counter[str] = Counter()
    for number in range(1, 301):
        chosen = choose_target(targets, RoutingContext(0.0), rng, policy)
        chosen.in_flight += 1
        chosen.last_call = number
        counted[chosen.host] += 1
    assert min(counted.values()) >= (70 if policy is Policy.RANDOM else 98)


def test_a_slow_target_is_avoided_until_the_wait_elsewhere_is_longer() -> None:
    slow, quick = make_target("slow", request_s=10.0), make_target("quick", in_flight=8)
    assert choose_target([slow, quick], RoutingContext(0.0), random.Random(1)) is quick
    quick.in_flight = 100
    assert choose_target([slow, quick], RoutingContext(0.0), random.Random(1)) is slow
    assert choose_target([slow, quick], RoutingContext(0.0, urgent=True), random.Random(1)) is quick


def test_a_stale_report_counts_for_less_and_own_calls_are_not_counted_twice() -> None:
    target = make_target("t", in_flight=2)
    note_report(target, LoadReport(running=8, queued=2, capacity=8), now=0.0)
    assert work_ahead(target, 0.0) == 10
    assert 2 < work_ahead(target, 1.0) < 6
    assert work_ahead(target, 100.0) == pytest.approx(2)


def test_a_slow_sample_decays_so_that_the_target_is_tried_again() -> None:
    target = make_target("t", request_s=None)
    report = LoadReport(running=0, queued=0, capacity=8, request_s=10.0)
    note_report(target, report, 0.0)
    assert cost(target, RoutingContext(0.0)) == pytest.approx(10.0)
    note_report(target, report, 99.0)  # repeated, as nothing has run there since
    assert cost(target, RoutingContext(100.0)) == pytest.approx(1.0, rel=0.01)


def test_a_new_target_gets_a_rising_share() -> None:
    fresh, old = make_target("fresh", serving_since=0.0), make_target("old")
    for target in (fresh, old):
        target.in_flight = 4
    assert cost(fresh, RoutingContext(0.5, 1.0, 5.0)) > 3 * cost(old, RoutingContext(0.5, 1.0, 5.0))
    assert cost(fresh, RoutingContext(5.0, 1.0, 5.0)) == cost(old, RoutingContext(5.0, 1.0, 5.0))


def test_an_ejected_target_returns_on_trial_and_is_ejected_for_longer_each_time() -> None:
    health = TargetHealth()
    for _ in range(3):
        note_failed_call(health, 0.0, 0, 4, RULES)
    assert health.state(4.9) is EjectionState.EJECTED
    assert health.state(5.0) is EjectionState.ON_TRIAL
    health.note_begin(5.0)
    assert not health.may_call(5.0)
    assert note_failed_call(health, 5.0, 0, 4, RULES)
    assert health.state(14.9) is EjectionState.EJECTED
    health.note_begin(15.0)
    assert health.note_success()
    assert health.state(15.0) is EjectionState.ACTIVE


def test_a_target_that_fails_most_calls_is_ejected_without_consecutive_failures() -> None:
    health, rng, rules = TargetHealth(), random.Random(1), EjectionRules(after_failures=50)
    ejected = False
    for _ in range(100):
        if rng.random() < 0.75:
            ejected = ejected or note_failed_call(health, 0.0, 0, 4, rules)
        elif not ejected:
            health.note_success()
    assert ejected


def test_ejected_targets_stay_within_the_limit() -> None:
    healths = [TargetHealth() for _ in range(4)]
    for _ in range(10):
        for health in healths:
            out = sum(each.state(0.0) is EjectionState.EJECTED for each in healths)
            note_failed_call(health, 0.0, out, 4, RULES)
    assert sum(each.state(0.0) is EjectionState.EJECTED for each in healths) == 2


def test_retries_stay_within_their_share_under_total_failure() -> None:
    budget, retries = RetryBudget(share=0.1), 0
    for step in range(20_000):
        budget.note_call(step / 1000)
        if budget.take(step / 1000):
            retries += 1
            budget.note_call(step / 1000)
    assert 0.09 * 20_000 <= retries <= 0.1 * 20_000


def test_a_minimum_of_retries_is_allowed_however_few_the_requests() -> None:
    budget = RetryBudget(share=0.1)
    budget.note_call(0.0)
    assert [budget.take(0.0) for _ in range(4)] == [True] * 3 + [False]
    assert budget.take(10.0)


@pytest.mark.parametrize(("entries", "targets"), [(8, 124), (30, 120), (300, 620)])
def test_subsets_are_bounded_and_even_and_cover_every_target(entries: int, targets: int) -> None:
    hosts = [
        TargetHost(HostId(f"t{n}"), Place(f"p{n % 20}"), Address(f"t{n}:1")) for n in range(targets)
    ]
    names = [HostId(f"e{n}") for n in range(entries)]
    used: Counter[str] = Counter()
    for n, name in enumerate(names):
        subset = pick_subset(name, Place(f"p{n % 20}"), ring_position(name, names), hosts, 64)
        assert len({each.host for each in subset}) == 64
        near = [each for each in hosts if each.place == f"p{n % 20}"]
        assert len([each for each in subset if each in near]) >= min(32, len(near))
        used.update(each.host for each in subset)
    mean = entries * 64 / targets
    assert min(used[each.host] for each in hosts) >= max(1, 0.5 * mean)
    assert max(used.values()) <= 2 * mean


def test_a_lost_target_or_entry_changes_little_of_a_subset() -> None:
    hosts = [TargetHost(HostId(f"t{n}"), Place("q"), Address(f"t{n}:1")) for n in range(200)]
    names = [HostId(f"e{n}") for n in range(100)]
    fewer = [each for each in hosts if each.host != "t7"]

    def pick(entries: list[HostId], targets: list[TargetHost]) -> set[TargetHost]:
        position = ring_position(names[0], entries)
        return set(pick_subset(names[0], Place("p"), position, targets, 64))

    before = pick(names, hosts)
    assert len(before & pick(names, fewer)) >= 62
    assert len(before & pick(names[:-1], hosts)) >= 60


def test_every_entry_returns_the_same_entries_in_several_places_for_an_account() -> None:
    entries = make_entries(9)
    shuffled = random.Random(1).sample(entries, 9)
    for name in ("buyers", "radio", "agents"):
        chosen = account_entries(Account(name), entries, 3)
        assert chosen == account_entries(Account(name), shuffled, 3)
        assert len({entry.place for entry in chosen}) == 3


def test_a_lost_entry_moves_only_the_accounts_that_used_it() -> None:
    entries = make_entries(9)
    remaining = entries[1:]
    for n in range(200):
        account = Account(f"a{n}")
        before = {entry.host for entry in account_entries(account, entries, 3)}
        after = {entry.host for entry in account_entries(account, remaining, 3)}
        assert len(before & after) >= (3 if "e0" not in before else 2)


def test_large_accounts_get_more_entries_and_callers_start_at_different_ones() -> None:
    assert count_addresses(50.0, 3, 200.0) == 3
    assert count_addresses(1000.0, 3, 200.0) == 5
    rng = random.Random(1)
    first = Counter(answer_addresses(Account("a"), make_entries(9), 3, rng)[0] for _ in range(300))
    assert len(first) == 3
    assert min(first.values()) > 70


def test_prompts_that_begin_alike_share_their_first_blocks() -> None:
    one, other = prefix_blocks("a" * 200 + "b" * 100), prefix_blocks("a" * 200 + "c" * 100)
    assert len(one) == 4
    assert one[:3] == other[:3]
    assert one[3] != other[3]


def test_affinity_chooses_the_same_target_at_every_entry_while_it_has_capacity() -> None:
    targets = [make_target(f"t{n}") for n in range(6)]
    chosen_hosts = set()
    for n in range(60):
        blocks = prefix_blocks(f"{n:064d}" + "x" * 192)
        chosen = {
            preferred_target(order, blocks, PrefixIndex(), RoutingContext(0.0)).host
            for order in (targets, targets[::-1])
        }
        assert len(chosen) == 1
        chosen_hosts |= chosen
    assert len(chosen_hosts) == 6


def test_load_and_slowness_take_precedence_over_affinity() -> None:
    targets = [make_target(f"t{n}") for n in range(3)]
    blocks = prefix_blocks("y" * 256)
    preferred = preferred_target(targets, blocks, PrefixIndex(), RoutingContext(0.0))
    preferred.in_flight = 6
    assert preferred_target(targets, blocks, PrefixIndex(), RoutingContext(0.0)) is None
    for each in targets:
        each.in_flight = 7
    assert preferred_target(targets, blocks, PrefixIndex(), RoutingContext(0.0)) is preferred
    preferred.in_flight, preferred.request_s = 0, 10.0
    assert preferred_target(targets, blocks, PrefixIndex(), RoutingContext(0.0)) is None


def test_a_known_prefix_takes_precedence_over_rendezvous() -> None:
    targets = [make_target(f"t{n}") for n in range(3)]
    blocks = prefix_blocks("z" * 64 * 8)
    preferred = preferred_target(targets, blocks, PrefixIndex(), RoutingContext(0.0))
    other = next(each for each in targets if each is not preferred)
    memory = PrefixIndex()
    memory.note(other.digest, blocks[:6], other.host)
    assert preferred_target(targets, blocks, memory, RoutingContext(0.0)) is other
