"""The pure decisions: placement of services, and detection of dead hosts."""

from collections import Counter

import pytest
from config_fleet import release, service
from hypothesis import given
from hypothesis import strategies as st

from lacewinggw.decisions.commands import check_command
from lacewinggw.decisions.hostfailures import HeartbeatTimes, HostFailureDetector
from lacewinggw.decisions.placement import HostInfo, PlacementPlan, is_fully_placed, plan_placement
from lacewinggw.decisions.revisions import (
    FleetState,
    change_of,
    declares_any,
    may_change_placements,
)
from lacewinggw.errors import ConfigurationConflict
from lacewinggw.generated.messages.ttypes import (
    Change,
    LogEntry,
    Place,
    PutService,
    ReplicaGoal,
    Service,
    ServiceKind,
    SetDrain,
)

Hosts = dict[str, HostInfo]


def make_hosts(count: int, places: str = "abc") -> Hosts:
    return {f"h{n}": HostInfo(f"h{n}", places[n % len(places)]) for n in range(count)}


def state_of(*changes: Change) -> FleetState:
    state = FleetState()
    accept(state, *changes)
    return state


def accept(state: FleetState, *changes: Change) -> None:
    revision = state.revision + 1
    state.apply(LogEntry(revision, f"c{revision}", "test", 0, revision - 1, list(changes), ""))


def place(state: FleetState, hosts: Hosts, dead: frozenset[str] = frozenset()) -> PlacementPlan:
    """Plan and accept a placement, and check that no further change is planned."""
    plan = plan_placement(state, hosts, dead)
    if plan.places:
        accept(state, *(change_of(each) for each in plan.places))
    assert plan_placement(state, hosts, dead).places == []
    short = {each.service for each in plan.shortfalls}
    assert all(
        is_fully_placed(state, name, hosts, dead) for name in state.services if name not in short
    )
    return plan


def moves(plan: PlacementPlan) -> int:
    return sum(len(each.assignments) for each in plan.places)


def drain(host: str) -> Change:
    return change_of(SetDrain(host, True))


def test_replicas_of_each_release_are_balanced_over_places() -> None:
    state = state_of(release("m6"), release("m7"), service("desk", ("m7", 6), ("m6", 3)))
    hosts = make_hosts(12)
    place(state, hosts)
    placed = state.hosts_of("desk")
    assert Counter(placed.values()) == {"m7": 6, "m6": 3}
    per_place = Counter((hosts[host].place, name) for host, name in placed.items())
    assert set(per_place.values()) == {2, 1}


def test_a_new_release_is_assigned_to_the_present_hosts() -> None:
    state = state_of(release("m6"), release("m7"), service("desk", ("m6", 6)))
    hosts = make_hosts(12)
    place(state, hosts)
    before = set(state.hosts_of("desk"))
    accept(state, service("desk", ("m7", 4), ("m6", 2)))
    plan = place(state, hosts)
    assert set(state.hosts_of("desk")) == before
    assert moves(plan) == 4


def test_fewer_replicas_are_removed_from_the_fullest_places() -> None:
    state = state_of(release("m"), service("desk", ("m", 6)))
    hosts = make_hosts(6)
    place(state, hosts)
    accept(state, service("desk", ("m", 3)))
    plan = place(state, hosts)
    assert moves(plan) == 0
    assert {hosts[host].place for host in state.hosts_of("desk")} == {"a", "b", "c"}


def test_a_dead_rack_is_replaced_in_one_plan_with_the_fewest_moves() -> None:
    state = state_of(release("m"), service("one", ("m", 6)), service("two", ("m", 6)))
    hosts = make_hosts(18)
    place(state, hosts)
    rack = frozenset(host for host in state.placed_hosts() if hosts[host].place == "a")
    plan = place(state, {k: v for k, v in hosts.items() if k not in rack}, rack)
    assert moves(plan) == len(rack)
    assert {each.service_name for each in plan.places} == {"one", "two"}
    assert rack.isdisjoint(state.placed_hosts())


def test_an_unlisted_host_that_is_not_dead_stays_placed() -> None:
    state = state_of(release("m"), service("desk", ("m", 4)))
    hosts = make_hosts(8)
    place(state, hosts)
    unlisted = next(iter(state.placed_hosts()))
    listed = {name: fact for name, fact in hosts.items() if name != unlisted}
    assert plan_placement(state, listed).places == []


def test_most_changes_affect_no_placement() -> None:
    def entry(*changes: Change) -> list[LogEntry]:
        return [LogEntry(1, "c", "test", 0, 0, list(changes), "")]

    assert not may_change_placements(entry(release("m"), service("desk", ("m", 2))))
    assert may_change_placements(entry(release("m"), drain("h1")))
    assert may_change_placements(entry(change_of(Place("desk", [], "test", []))))
    assert may_change_placements([])
    assert declares_any(entry(service("desk", ("m", 2))), {"desk"})
    assert not declares_any(entry(service("desk", ("m", 2))), {"other"})


def test_a_placement_is_refused_only_if_a_dependency_changed() -> None:
    state = state_of(release("m"), service("desk", ("m", 2)), service("other", ("m", 1)))
    place = change_of(Place("desk", [], "test", []))
    read = state.revision
    accept(state, service("other", ("m", 2)))
    check_command(state, [place], read)
    accept(state, service("desk", ("m", 3)))
    with pytest.raises(ConfigurationConflict):
        check_command(state, [place], read)


def test_hosts_that_drain_or_leave_are_replaced() -> None:
    state = state_of(release("m"), service("desk", ("m", 4)))
    hosts = make_hosts(8)
    place(state, hosts)
    first, second, *_ = state.placed_hosts()
    accept(state, drain(first))
    hosts[second] = HostInfo(second, hosts[second].place, is_leaving=True)
    plan = place(state, hosts)
    assert moves(plan) == 2
    assert len(state.hosts_of("desk")) == 4
    assert {first, second}.isdisjoint(state.placed_hosts())


def test_dead_hosts_without_a_replacement_stay_placed() -> None:
    state = state_of(release("m"), service("desk", ("m", 3)))
    hosts = make_hosts(3)
    place(state, hosts)
    plan = plan_placement(state, {"h0": hosts["h0"]}, {"h1", "h2"})
    assert plan.places == []
    assert [str(each) for each in plan.shortfalls] == ["desk on m lacks 2 hosts"]


def test_plain_services_are_placed_on_their_targets() -> None:
    plain = change_of(PutService(Service("ledger", ServiceKind.PLAIN, [ReplicaGoal("", 2)])))
    state = state_of(plain, release("m"), service("desk", ("m", 3)))
    hosts = make_hosts(4)
    hosts |= {f"p{n}": HostInfo(f"p{n}", "a", service="ledger") for n in range(3)}
    place(state, hosts)
    assert len(state.hosts_of("ledger")) == 2
    assert all(host.startswith("p") for host in state.hosts_of("ledger"))
    assert all(host.startswith("h") for host in state.hosts_of("desk"))


events = st.lists(
    st.tuples(
        st.sampled_from(["set", "drain", "lose", "add"]), st.integers(0, 9), st.integers(0, 6)
    ),
    max_size=12,
)


def whole_assignments(state: FleetState) -> dict[str, tuple[str, str, str]]:
    """Return each host's service, release and next release."""
    return {
        host: (name, current, state.next_releases_of(name).get(host, ""))
        for name in state.services
        for host, current in state.hosts_of(name).items()
    }


@given(events)
def test_no_host_serves_twice_and_no_plan_is_repeated(
    script: list[tuple[str, int, int]],
) -> None:
    state = state_of(release("m0"), release("m1"), service("a", ("m0", 2)), service("b", ("m1", 2)))
    hosts = make_hosts(8)
    dead: set[str] = set()
    for kind, number, count in script:
        match kind:
            case "set":
                name = "ab"[number % 2]
                accept(state, service(name, ("m0", count), ("m1", number % 3)))
            case "drain":
                accept(state, drain(f"h{number}"))
            case "lose":
                dead.add(f"h{number}")
                hosts.pop(f"h{number}", None)
            case "add":
                hosts[f"n{number}"] = HostInfo(f"n{number}", "abc"[number % 3])
        before = whole_assignments(state)
        plan = place(state, hosts, frozenset(dead))
        assert all(len(state.assignments_of(host)) == 1 for host in state.placed_hosts())
        for name in "ab":
            declared = {goal.release: goal.replicas for goal in state.services[name].goals}
            missing = {
                each.release: each.missing for each in plan.shortfalls if each.service == name
            }
            live = Counter(
                r for host, r in state.final_releases_of(name).items() if host not in dead
            )
            for release_name, replicas in declared.items():
                assert live[release_name] == replicas - missing.get(release_name, 0)
        affected = {each.host for p in plan.places for each in p.assignments}
        after = whole_assignments(state)
        assert all(after[host] != before.get(host) for host in affected)


def test_snapshots_hold_the_whole_state() -> None:
    state = state_of(release("m"), service("desk", ("m", 3)), drain("h9"))
    place(state, make_hosts(6))
    copy = FleetState.from_snapshot(state.to_snapshot())
    assert copy.to_snapshot() == state.to_snapshot()
    assert copy.hosts_of("desk") == state.hosts_of("desk")
    later = change_of(Place("desk", [], "test", [next(iter(state.placed_hosts()))]))
    accept(state, later)
    accept(copy, later)
    assert copy.to_snapshot() == state.to_snapshot()


PLACED = [f"h{n}" for n in range(6)]


def test_an_unlisted_host_with_heartbeats_is_not_dead() -> None:
    detector = HostFailureDetector(dead_after_s=10)
    for now in range(60):
        detector.update_listed(PLACED[1:], PLACED, now)
        assert detector.find_dead(HeartbeatTimes(dict.fromkeys(PLACED, now)), PLACED, now) == set()


def test_an_unlisted_and_silent_host_is_dead_after_both_delays() -> None:
    detector = HostFailureDetector(dead_after_s=10)
    detector.update_listed(PLACED, PLACED, 0)
    heartbeats = HeartbeatTimes({"h0": 0.0} | dict.fromkeys(PLACED[1:], 30.0))
    assert detector.find_dead(heartbeats, PLACED, 25) == set()
    detector.update_listed(PLACED[1:], PLACED, 25)
    assert detector.find_dead(heartbeats, PLACED, 26) == set()
    assert detector.find_dead(heartbeats, PLACED, 27.5) == {"h0"}


def test_hosts_that_fail_together_are_reported_together() -> None:
    detector = HostFailureDetector(dead_after_s=10)
    detector.update_listed(PLACED[1:], PLACED, 0)
    detector.update_listed(PLACED[2:], PLACED, 1.5)
    assert detector.find_dead(HeartbeatTimes({}), PLACED, 9.9) == set()
    assert detector.find_dead(HeartbeatTimes({}), PLACED, 10) == {"h0", "h1"}


def test_no_host_is_dead_if_all_heartbeats_are_missing() -> None:
    detector = HostFailureDetector(dead_after_s=10)
    detector.update_listed(PLACED[3:], PLACED, 0)
    heartbeats = HeartbeatTimes(dict.fromkeys(PLACED, 0.0))
    assert detector.find_dead(heartbeats, PLACED, 30) == set()


def test_an_empty_list_is_ignored() -> None:
    detector = HostFailureDetector(dead_after_s=10)
    detector.update_listed([], PLACED, 0)
    assert detector.find_dead(HeartbeatTimes({}), PLACED, 100) == set()
    assert detector.missing == frozenset()
