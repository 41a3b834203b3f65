"""Whether chunks that are late speak of the link or of one source."""

import pytest

from lacewinggw.decisions.linkpacing import ChunkInFlight, LinkPacer


@pytest.fixture
def pace():
    return LinkPacer(expected_s=0.25, limit=3)


def arrive(pace, source, took_s, now=10.0):
    pace.record_arrival(ChunkInFlight(source, now - took_s), now)


def on_their_way(*pairs):
    return [ChunkInFlight(source, requested_at) for source, requested_at in pairs]


def test_nothing_known_leaves_the_whole_link(pace):
    assert pace.current_limit([], 100.0) == 3 and not pace.is_link_slow([], 100.0)


def test_slow_chunks_from_everybody_are_the_link(pace):
    for source in "ab":
        arrive(pace, source, 0.75)
    assert pace.current_limit([], 10.0) == 1 and pace.is_link_slow([], 10.0)


def test_slow_chunks_from_one_source_are_not_the_link(pace):
    arrive(pace, "a", 2.0)
    arrive(pace, "b", 0.1)
    assert pace.current_limit([], 10.0) == 3
    assert pace.is_source_slow("a") and not pace.is_source_slow("b")


def test_a_source_that_others_overtake_is_slow(pace):
    arrive(pace, "a", 0.1, now=10.0)
    pace.record_superseded(ChunkInFlight("a", 11.0), 12.0)
    assert pace.is_source_slow("a")


def test_silence_of_several_sources_is_the_link(pace):
    fetches = on_their_way(("a", 1.0), ("b", 1.1))
    assert pace.current_limit(fetches, 1.5) == 3
    assert pace.current_limit(fetches, 1.9) == 1
    assert pace.count_using_link(fetches, 1.9) == 2


def test_silence_of_one_source_leaves_room_for_another(pace):
    assert pace.current_limit(on_their_way(("a", 1.0)), 2.0) == 2


def test_a_late_chunk_fills_nothing_while_others_come(pace):
    fetches = on_their_way(("a", 1.0), ("b", 2.9))
    arrive(pace, "b", 0.2, now=3.0)
    assert pace.count_using_link(fetches, 3.0) == 1
