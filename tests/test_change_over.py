"""A service gets another release: hosts load it first and switch to it in waves."""

from lacewinggw.agent.process import desired_state, due_releases
from lacewinggw.decisions.placement import HostInfo, plan_placement
from lacewinggw.decisions.revisions import FleetState, change_of
from lacewinggw.generated.messages import ttypes as messages

HOSTS = {f"host-{number}": HostInfo(f"host-{number}", "kgn-hall-a") for number in range(6)}


def accept(state, *contents):
    changes = [change_of(content) for content in contents]
    revision = state.revision + 1
    state.apply(
        messages.LogEntry(revision, f"command-{revision}", "test", 0, revision - 1, changes, "")
    )


def declare(state, release, replicas=4):
    goals = [messages.ReplicaGoal(release, replicas)]
    service = messages.Service("citation-llm", messages.ServiceKind.MODEL, goals, 1, 50, True, [])
    accept(state, messages.PutService(service))


def place_all(state, hosts=HOSTS, dead=()):
    places = plan_placement(state, hosts, dead).places
    if places:
        accept(state, *places)
    return places


def serving_market_6():
    state = FleetState()
    accept(
        state,
        *(
            messages.CreateRelease(messages.Release(name, digest, 8, 1))
            for name, digest in (("market-6", "aa"), ("market-7", "bb"))
        ),
    )
    declare(state, "market-6")
    place_all(state)
    return state


def test_hosts_keep_serving_while_they_load_the_next_release():
    state = serving_market_6()
    declare(state, "market-7")
    place_all(state)
    assert set(state.hosts_of("citation-llm").values()) == {"market-6"}
    assert set(state.next_releases_of("citation-llm").values()) == {"market-7"}
    assert place_all(state) == []


def test_a_switch_is_one_assignment():
    state = serving_market_6()
    declare(state, "market-7")
    place_all(state)
    host = min(state.hosts_of("citation-llm"))
    wave = messages.Assignment(host, "citation-llm", "market-7")
    accept(state, messages.Place("citation-llm", [wave], "wave", []))
    assert state.hosts_of("citation-llm")[host] == "market-7"
    assert host not in state.next_releases_of("citation-llm")
    assert place_all(state) == []


def test_a_replacement_starts_with_the_new_release():
    state = serving_market_6()
    declare(state, "market-7")
    place_all(state)
    before = set(state.hosts_of("citation-llm"))
    dead = min(before)
    place_all(state, dead={dead})
    added = set(state.hosts_of("citation-llm")) - before
    assert dead not in state.hosts_of("citation-llm")
    assert [state.hosts_of("citation-llm")[host] for host in added] == ["market-7"]
    assert not added & set(state.next_releases_of("citation-llm"))


def test_reverting_removes_the_next_release():
    state = serving_market_6()
    declare(state, "market-7")
    place_all(state)
    declare(state, "market-6")
    place_all(state)
    assert state.next_releases_of("citation-llm") == {}
    assert set(state.hosts_of("citation-llm").values()) == {"market-6"}


def test_a_drained_host_has_no_desired_state_before_it_is_replaced():
    state = serving_market_6()
    host = min(state.hosts_of("citation-llm"))
    assert desired_state(state, host).release == "market-6"
    accept(state, messages.SetDrain(host, True))
    assert state.hosts_of("citation-llm")[host] == "market-6"
    assert desired_state(state, host) is None


def test_an_agent_holds_both_releases_before_it_switches():
    state = serving_market_6()
    declare(state, "market-7")
    place_all(state)
    host = min(state.hosts_of("citation-llm"))
    desired = desired_state(state, host)
    assert (desired.digest, desired.next_digest) == ("aa", "bb")
    due = due_releases(state, host)
    assert {digest: len(each.hosts) for digest, each in due.items()} == {"aa": 4, "bb": 4}


def test_a_snapshot_keeps_the_next_releases():
    state = serving_market_6()
    declare(state, "market-7")
    place_all(state)
    restored = FleetState.from_snapshot(state.to_snapshot())
    assert restored.upcoming == state.upcoming
    assert restored.placements == state.placements
