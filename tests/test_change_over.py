"""A service moves to another release: hosts load it first and change over in their turn."""

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


def settle(state, hosts=HOSTS, lost=()):
    places = plan_placement(state, hosts, lost).places
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
    settle(state)
    return state


def test_hosts_go_on_serving_while_they_load_the_next_release():
    state = serving_market_6()
    declare(state, "market-7")
    settle(state)
    assert set(state.hosts_of("citation-llm").values()) == {"market-6"}
    assert set(state.next_releases_of("citation-llm").values()) == {"market-7"}
    assert settle(state) == []


def test_a_turn_is_one_assignment():
    state = serving_market_6()
    declare(state, "market-7")
    settle(state)
    host = min(state.hosts_of("citation-llm"))
    turn = messages.Assignment(host, "citation-llm", "market-7")
    accept(state, messages.Place("citation-llm", [turn], "turn", []))
    assert state.hosts_of("citation-llm")[host] == "market-7"
    assert host not in state.next_releases_of("citation-llm")
    assert settle(state) == []


def test_a_replacement_starts_with_the_new_release():
    state = serving_market_6()
    declare(state, "market-7")
    settle(state)
    before = set(state.hosts_of("citation-llm"))
    lost = min(before)
    settle(state, lost={lost})
    fresh = set(state.hosts_of("citation-llm")) - before
    assert lost not in state.hosts_of("citation-llm")
    assert [state.hosts_of("citation-llm")[host] for host in fresh] == ["market-7"]
    assert not fresh & set(state.next_releases_of("citation-llm"))


def test_going_back_takes_the_next_release_away():
    state = serving_market_6()
    declare(state, "market-7")
    settle(state)
    declare(state, "market-6")
    settle(state)
    assert state.next_releases_of("citation-llm") == {}
    assert set(state.hosts_of("citation-llm").values()) == {"market-6"}


def test_a_drained_host_is_wanted_for_nothing_before_it_is_replaced():
    state = serving_market_6()
    host = min(state.hosts_of("citation-llm"))
    assert desired_state(state, host).release == "market-6"
    accept(state, messages.SetDrain(host, True))
    assert state.hosts_of("citation-llm")[host] == "market-6"
    assert desired_state(state, host) is None


def test_an_agent_is_wanted_for_both_releases_while_it_changes_over():
    state = serving_market_6()
    declare(state, "market-7")
    settle(state)
    host = min(state.hosts_of("citation-llm"))
    wanted = desired_state(state, host)
    assert (wanted.digest, wanted.next_digest) == ("aa", "bb")
    due = due_releases(state, host)
    assert {digest: len(each.hosts) for digest, each in due.items()} == {"aa": 4, "bb": 4}


def test_a_snapshot_keeps_whose_turn_is_to_come():
    state = serving_market_6()
    declare(state, "market-7")
    settle(state)
    again = FleetState.from_snapshot(state.to_snapshot())
    assert again.upcoming == state.upcoming
    assert again.placements == state.placements
