"""Whether chunks that are late speak of the link or of one source."""

import pytest

from lacewinggw.decisions.linkpace import LinkPace, OnItsWay


@pytest.fixture
def pace():
    return LinkPace(usual_s=0.25, limit=3)


def on_their_way(*pairs):
    return [OnItsWay(source, asked_at) for source, asked_at in pairs]


def test_nothing_known_leaves_the_whole_link(pace):
    assert pace.limit_now([], 100.0) == 3 and pace.chunk_s == 0.0


def test_slow_chunks_from_everybody_narrow_the_limit(pace):
    for source in "ab":
        pace.note_arrival(source, 0.75, 1.0)
    assert pace.limit_now([], 1.0) == 1


def test_slow_chunks_from_one_source_do_not(pace):
    pace.note_arrival("a", 2.0, 1.0)
    pace.note_arrival("b", 0.2, 1.0)
    assert pace.limit_now([], 1.0) == 3
    assert pace.is_slow("a") and not pace.is_slow("b")


def test_silence_of_several_sources_is_the_link(pace):
    fetches = on_their_way(("a", 1.0), ("b", 1.1))
    assert pace.limit_now(fetches, 1.5) == 3
    assert pace.limit_now(fetches, 1.9) == 1
    assert pace.count(fetches, 1.9) == 2


def test_silence_of_one_source_leaves_room_for_another(pace):
    assert pace.limit_now(on_their_way(("a", 1.0)), 2.0) == 2


def test_a_late_chunk_fills_nothing_while_others_come(pace):
    fetches = on_their_way(("a", 1.0), ("b", 2.9))
    pace.note_arrival("b", 0.2, 3.0)
    assert pace.count(fetches, 3.0) == 1
