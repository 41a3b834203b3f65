"""The topology that each host derives alone, and the order of its uploads."""

from collections import Counter

import pytest

from lacewinggw.decisions.topology import ReleaseHost, Topology, TopologyRules
from lacewinggw.decisions.uploads import UploadQueue, UploadRequest
from lacewinggw.ids import Digest, HostId, Place

DIGEST = Digest("d" * 64)
COLUMNS = 4


def make_hosts(count: int, places: int) -> list[ReleaseHost]:
    return [ReleaseHost(HostId(f"h{n:03}"), Place(f"p{n % places}")) for n in range(count)]


def derive_all(hosts: list[ReleaseHost], per_place: bool = False) -> dict[HostId, Topology]:
    rules = TopologyRules(local=8, remote=2, columns=COLUMNS, ranks=3, per_place=per_place)
    return {each.host: rules.derive(each, hosts, DIGEST) for each in hosts}


@pytest.mark.parametrize("count", [1, 2, 8, 64])
@pytest.mark.parametrize("places", [1, 3])
def test_one_host_has_rank_zero_at_the_origin_for_each_column(count: int, places: int) -> None:
    topologies = derive_all(make_hosts(count, places))
    for column in range(COLUMNS):
        ranks = Counter(each.columns[column].at_origin for each in topologies.values())
        assert ranks[0] == 1
        assert all(ranks[rank] == 1 for rank in range(min(3, count)))


def test_per_place_one_host_of_each_place_has_rank_zero() -> None:
    hosts = make_hosts(30, 3)
    topologies = derive_all(hosts, per_place=True)
    for column in range(COLUMNS):
        firsts = [host for host in hosts if topologies[host.host].columns[column].at_origin == 0]
        assert {host.place for host in firsts} == {"p0", "p1", "p2"}
        assert len(firsts) == 3


def test_neighbours_are_few_and_nearly_all_mutual() -> None:
    hosts = make_hosts(96, 3)
    topologies = derive_all(hosts)
    for host in hosts:
        neighbours = topologies[host.host].neighbours
        assert 6 <= len(neighbours) <= 8 + COLUMNS * (2 + 2)
        if not any(rank.in_place is not None for rank in topologies[host.host].columns):
            mutual = [each for each in neighbours if host.host in topologies[each].neighbours]
            assert len(mutual) >= 6


def test_losing_a_host_changes_few_gateways_of_the_others() -> None:
    hosts = make_hosts(60, 3)
    before = derive_all(hosts)
    lost = next(h for h in hosts if before[h.host].columns[0].at_origin == 0)
    after = derive_all([host for host in hosts if host is not lost])
    moved = sum(
        1
        for host, topology in after.items()
        for column in range(COLUMNS)
        if (topology.columns[column].in_place == 0) != (before[host].columns[column].in_place == 0)
    )
    assert 1 <= moved <= COLUMNS


def test_first_copies_precede_second_ones_and_hosts_with_fewest_chunks_precede_others() -> None:
    queue = UploadQueue(per_host=2)
    few, many, far = HostId("few"), HostId("many"), HostId("far")
    held = {few: 1, many: 9, far: 20}

    def ask(host: HostId, index: int) -> UploadRequest:
        request = UploadRequest(host, DIGEST, index, remote=host == far)
        assert queue.add(request)
        return request

    first = ask(many, 1)
    assert queue.take(lambda host, _: held[host]) == first
    again, fresh = ask(few, 1), ask(many, 2)
    elsewhere, fewest = ask(far, 3), ask(few, 4)
    taken = [queue.take(lambda host, _: held[host]) for _ in range(4)]
    assert taken == [elsewhere, fewest, fresh, again]
    assert queue.take(lambda host, _: held[host]) is None


def test_one_host_cannot_fill_the_queue() -> None:
    queue = UploadQueue(per_host=2)
    host = HostId("greedy")
    assert queue.add(UploadRequest(host, DIGEST, 1))
    assert queue.add(UploadRequest(host, DIGEST, 2))
    assert not queue.add(UploadRequest(host, DIGEST, 3))
    assert queue.cancel(UploadRequest(host, DIGEST, 1))
    assert queue.add(UploadRequest(host, DIGEST, 3))
