"""A slow link gets fewer chunks in flight, because live requests share its queue."""

import random

import pytest
from spread_links import CHUNKS, LINK_BYTES_PER_S, LinkedHosts

from lacewinggw.decisions.chunkscheduler import ChunkScheduler, RequestChunk
from lacewinggw.decisions.chunksources import Neighbour, SpreadRules
from lacewinggw.decisions.topology import ReleaseHost, TopologyRules

CHUNK_BYTES = 32768
RULES = SpreadRules(link_bytes_per_s=408_000, in_flight=1, in_flight_total=3, has_store=False)
PLAN = TopologyRules(local=8, remote=2, columns=2, ranks=3, per_place=False)


def scheduler_among(count):
    hosts = [ReleaseHost(f"host-{number}", "hall") for number in range(count)]
    scheduler = ChunkScheduler([CHUNK_BYTES] * 64, RULES, "hall", random.Random(1), 0.0)
    scheduler.set_topology(PLAN.derive(hosts[0], hosts, "release"), 0.0)
    for host in hosts[1:]:
        scheduler.add_neighbour(host.host, host.place, "first")
        scheduler.record_held_chunks(host.host, range(64), 0.0)
    return scheduler


def in_flight_after(fetch_s):
    """Return the number of chunks in flight after each took `fetch_s` for several rounds."""
    scheduler = scheduler_among(6)
    now, requests = 0.0, []
    for _ in range(12):
        requests += [action for action in scheduler.decide(now) if isinstance(action, RequestChunk)]
        now += fetch_s
        for request in requests:
            assert isinstance(request.source, Neighbour)
            scheduler.record_arrival(request.source, request.index, now)
        requests = []
    return len([action for action in scheduler.decide(now) if isinstance(action, RequestChunk)])


@pytest.mark.parametrize(("fetch_s", "count"), [(0.08, 3), (0.3, 3), (0.6, 1), (1.5, 1)])
def test_fewer_chunks_in_flight_over_a_slow_link(fetch_s, count):
    assert in_flight_after(fetch_s) == count


def test_one_late_chunk_stops_further_requests_at_once():
    scheduler = scheduler_among(6)
    assert len(scheduler.decide(0.0)) == 3
    scheduler.record_arrival(
        Neighbour("host-1"), next(iter(scheduler.neighbours["host-1"].requested)), 0.08
    )
    assert scheduler.decide(0.9) == []


def test_no_duplicate_requests_over_a_slow_link():
    scheduler = scheduler_among(6)
    for index in range(62):
        scheduler.record_arrival(None, index, 0.0)
    first = scheduler.decide(0.0)
    assert {request.index for request in first} == {62, 63}
    assert scheduler.decide(0.9) == []


def test_one_slow_source_does_not_count_as_a_slow_link():
    scheduler = scheduler_among(6)
    now, requests = 0.0, list(scheduler.decide(0.0))
    slow = requests[0]
    for _ in range(20):
        now += 0.15
        for request in [each for each in requests if each.source != slow.source]:
            scheduler.record_arrival(request.source, request.index, now)
        requests = [slow, *scheduler.decide(now)]
    assert len(requests) == 1 + 3  # the slow source's chunk does not count towards the limit


def test_a_single_pending_source_does_not_block_requests_to_others():
    scheduler = scheduler_among(2)
    assert len(scheduler.decide(0.0)) == 1
    scheduler.add_neighbour("host-9", "hall", "first")
    scheduler.record_held_chunks("host-9", range(64), 1.0)
    assert Neighbour("host-9") in [request.source for request in scheduler.decide(1.0)]


def slowed_rate(now):
    """Return the rate of a link with a quarter of its bandwidth for 7 s."""
    return LINK_BYTES_PER_S / 4 if 1.2 < now < 8.2 else LINK_BYTES_PER_S


@pytest.mark.parametrize(
    ("slowed", "seed"),
    [
        (("hall-1", "room-0"), 1),
        (("hall-1", "room-0"), 2),
        (("hall-0", "room-2"), 1),
        (("hall-1", "room-3"), 1),
        (("hall-0", "room-4"), 1),
    ],
)
def test_hosts_with_slow_links_do_not_delay_others(slowed, seed):
    """With two slow links of fifteen, the other hosts finish almost as early as without them."""
    rates = dict.fromkeys(slowed, slowed_rate)
    fleet = LinkedHosts({"hall": 5, "room": 5, "desk": 5}, rates, seed)
    fleet.run()
    others = [at for host, at in fleet.completed.items() if host not in slowed]
    assert None not in others
    assert max(others) < 7.2  # 5.5 s without a slow link
    assert fleet.origin_chunks <= 1.05 * CHUNKS


def mean_wait_ms(uploads_at_once):
    """Return the mean wait of slices at receivers' links, and when the last host finishes."""
    fleets = [
        LinkedHosts({"hall": 5, "room": 5, "desk": 5}, seed=seed, uploads_at_once=uploads_at_once)
        for seed in (1, 2, 3)
    ]
    for fleet in fleets:
        fleet.run()
    waits = [wait for fleet in fleets for wait in fleet.waits]
    return 1000 * sum(waits) / len(waits), max(max(fleet.completed.values()) for fleet in fleets)


def test_interleaved_uploads_keep_queues_short_for_live_requests():
    sequential_ms, sequential_s = mean_wait_ms(uploads_at_once=1)
    interleaved_ms, interleaved_s = mean_wait_ms(uploads_at_once=3)
    assert interleaved_ms < sequential_ms / 2
    assert interleaved_s < sequential_s + 0.3
