"""The agents that an entry subscribes to: those of its place, and a few of each other."""

from collections import Counter

from lacewinggw.decisions.locality import AGENTS_PER_FAR_PLACE, choose_agents

PLACES = ("hall", "room", "shed")
AGENTS = {f"10.2.{index % 3}.{index}": PLACES[index % 3] for index in range(36)}


def test_all_agents_of_the_place_and_a_few_of_each_other():
    chosen = choose_agents("entry-1", "hall", AGENTS)
    counts = Counter(AGENTS[host] for host in chosen)
    assert counts == {"hall": 12, "room": AGENTS_PER_FAR_PLACE, "shed": AGENTS_PER_FAR_PLACE}


def test_entries_subscribe_to_different_agents_of_other_places():
    far = Counter(
        host
        for number in range(45)
        for host in choose_agents(f"entry-{number}", "hall", AGENTS)
        if AGENTS[host] != "hall"
    )
    assert len(far) == 24 and max(far.values()) <= 15


def test_a_lost_agent_changes_one_subscription():
    before = choose_agents("entry-1", "hall", AGENTS)
    without = {host: place for host, place in AGENTS.items() if host != min(before)}
    assert len(before - choose_agents("entry-1", "hall", without)) == 1
