"""A link that turns out to be narrow gets fewer chunks at once: live requests share its queue."""

import random

import pytest
from spread_links import CHUNKS, LINK_BYTES_PER_S, LinkedHosts

from lacewinggw.decisions.chunkscheduler import ChunkScheduler, RequestChunk
from lacewinggw.decisions.chunksources import Neighbour, SpreadRules
from lacewinggw.decisions.topology import ReleaseHost, TopologyRules

CHUNK_BYTES = 32768
RULES = SpreadRules(link_bytes_per_s=408_000, in_flight=1, in_flight_total=3, has_store=False)
PLAN = TopologyRules(local=8, remote=2, columns=2, ranks=3, per_place=False)


def spread_among(count):
    hosts = [ReleaseHost(f"host-{number}", "hall") for number in range(count)]
    spread = ChunkScheduler([CHUNK_BYTES] * 64, RULES, "hall", random.Random(1), 0.0)
    spread.set_topology(PLAN.derive(hosts[0], hosts, "release"), 0.0)
    for host in hosts[1:]:
        spread.add_neighbour(host.host, host.place, "first")
        spread.record_held_chunks(host.host, range(64), 0.0)
    return spread


def on_their_way_after(fetch_s):
    """Return how many chunks are on their way once each took this long, again and again."""
    spread = spread_among(6)
    now, asked = 0.0, []
    for _ in range(12):
        asked += [action for action in spread.decide(now) if isinstance(action, RequestChunk)]
        now += fetch_s
        for ask in asked:
            assert isinstance(ask.source, Neighbour)
            spread.record_arrival(ask.source, ask.index, now)
        asked = []
    return len([action for action in spread.decide(now) if isinstance(action, RequestChunk)])


@pytest.mark.parametrize(("fetch_s", "count"), [(0.08, 3), (0.3, 3), (0.6, 1), (1.5, 1)])
def test_fewer_chunks_at_once_over_a_narrow_link(fetch_s, count):
    assert on_their_way_after(fetch_s) == count


def test_one_late_chunk_stops_further_ones_at_once():
    spread = spread_among(6)
    assert len(spread.decide(0.0)) == 3
    spread.record_arrival(
        Neighbour("host-1"), next(iter(spread.neighbours["host-1"].requested)), 0.08
    )
    assert spread.decide(0.9) == []


def test_no_second_copy_is_asked_for_over_a_narrow_link():
    spread = spread_among(6)
    for index in range(62):
        spread.record_arrival(None, index, 0.0)
    first = spread.decide(0.0)
    assert {ask.index for ask in first} == {62, 63}
    assert spread.decide(0.9) == []


def test_one_slow_source_does_not_count_as_a_narrow_link():
    spread = spread_among(6)
    now, asked = 0.0, list(spread.decide(0.0))
    slow = asked[0]
    for _ in range(20):
        now += 0.15
        for ask in [each for each in asked if each.source != slow.source]:
            spread.record_arrival(ask.source, ask.index, now)
        asked = [slow, *spread.decide(now)]
    assert len(asked) == 1 + 3  # the slow source's chunk fills nothing of the link


def test_the_only_source_that_is_waited_for_does_not_keep_others_from_being_asked():
    spread = spread_among(2)
    assert len(spread.decide(0.0)) == 1
    spread.add_neighbour("host-9", "hall", "first")
    spread.record_held_chunks("host-9", range(64), 1.0)
    assert Neighbour("host-9") in [ask.source for ask in spread.decide(1.0)]


def squeezed_rate(now):
    """Return the rate of a link that has a quarter of its width for seven seconds."""
    return LINK_BYTES_PER_S / 4 if 1.2 < now < 8.2 else LINK_BYTES_PER_S


@pytest.mark.parametrize(
    ("squeezed", "seed"),
    [
        (("hall-1", "room-0"), 1),
        (("hall-1", "room-0"), 2),
        (("hall-0", "room-2"), 1),
        (("hall-1", "room-3"), 1),
        (("hall-0", "room-4"), 1),
    ],
)
def test_hosts_behind_narrow_links_hold_up_nobody_else(squeezed, seed):
    """Two of fifteen links are narrow: the others have the release about as soon as without."""
    rates = dict.fromkeys(squeezed, squeezed_rate)
    fleet = LinkedHosts({"hall": 5, "room": 5, "desk": 5}, rates, seed)
    fleet.run()
    others = [at for host, at in fleet.completed.items() if host not in squeezed]
    assert None not in others
    assert max(others) < 7.2  # 5.5 s with no narrow link
    assert fleet.origin_chunks <= 1.05 * CHUNKS


def mean_wait_ms(uploads_at_once):
    """Return how long slices wait before a receiver's link, and when the last host is done."""
    fleets = [
        LinkedHosts({"hall": 5, "room": 5, "desk": 5}, seed=seed, uploads_at_once=uploads_at_once)
        for seed in (1, 2, 3)
    ]
    for fleet in fleets:
        fleet.run()
    waits = [wait for fleet in fleets for wait in fleet.waits]
    return 1000 * sum(waits) / len(waits), max(max(fleet.completed.values()) for fleet in fleets)


def test_uploads_by_turns_leave_short_queues_before_live_requests():
    one_by_one_ms, one_by_one_s = mean_wait_ms(uploads_at_once=1)
    by_turns_ms, by_turns_s = mean_wait_ms(uploads_at_once=3)
    assert by_turns_ms < one_by_one_ms / 2
    assert by_turns_s < one_by_one_s + 0.3
