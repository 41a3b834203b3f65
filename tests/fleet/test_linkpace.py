"""Late chunks indicate a slow link or a single slow source."""

import pytest

from lacewinggw.decisions.linkpacing import ChunkInFlight, LinkPacer


@pytest.fixture
def pacer():
    return LinkPacer(expected_s=0.25, limit=3)


def record(pacer, source, took_s, now=10.0):
    pacer.record_arrival(ChunkInFlight(source, now - took_s), now)


def in_flight(*pairs):
    return [ChunkInFlight(source, requested_at) for source, requested_at in pairs]


def test_the_full_limit_applies_without_samples(pacer):
    assert pacer.current_limit([], 100.0) == 3 and not pacer.is_link_slow([], 100.0)


def test_slow_chunks_from_all_sources_indicate_the_link(pacer):
    for source in "ab":
        record(pacer, source, 0.75)
    assert pacer.current_limit([], 10.0) == 1 and pacer.is_link_slow([], 10.0)


def test_slow_chunks_from_one_source_do_not_indicate_the_link(pacer):
    record(pacer, "a", 2.0)
    record(pacer, "b", 0.1)
    assert pacer.current_limit([], 10.0) == 3
    assert pacer.is_source_slow("a") and not pacer.is_source_slow("b")


def test_a_source_superseded_by_others_is_slow(pacer):
    record(pacer, "a", 0.1, now=10.0)
    pacer.record_superseded(ChunkInFlight("a", 11.0), 12.0)
    assert pacer.is_source_slow("a")


def test_no_arrivals_from_several_sources_indicate_the_link(pacer):
    fetches = in_flight(("a", 1.0), ("b", 1.1))
    assert pacer.current_limit(fetches, 1.5) == 3
    assert pacer.current_limit(fetches, 1.9) == 1
    assert pacer.count_using_link(fetches, 1.9) == 2


def test_no_arrivals_from_one_source_allow_one_more_request(pacer):
    assert pacer.current_limit(in_flight(("a", 1.0)), 2.0) == 2


def test_a_late_chunk_does_not_count_while_others_arrive(pacer):
    fetches = in_flight(("a", 1.0), ("b", 2.9))
    record(pacer, "b", 0.2, now=3.0)
    assert pacer.count_using_link(fetches, 3.0) == 1
