"""Server-sent events are parsed from bytes that are split at any position."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lacewinggw.errors import AnswerIncomplete
from lacewinggw.wire.events import EVENT_LIMIT_BYTES, EventSplitter

STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: no id\n\n"


@given(st.lists(st.integers(0, len(STREAM)), max_size=6))
def test_events_do_not_depend_on_how_the_bytes_are_split(cuts):
    splitter = EventSplitter()
    edges = [0, *sorted(cuts), len(STREAM)]
    pieces = [STREAM[start:end] for start, end in zip(edges, edges[1:], strict=False)]
    events = [event for piece in pieces for event in splitter.feed(piece)]
    assert [event.number for event in events] == [1, 2, None]
    assert b"".join(event.data for event in events) == STREAM
    assert not splitter.has_partial_event


def test_an_incomplete_event_is_torn():
    splitter = EventSplitter()
    assert [event.number for event in splitter.feed(STREAM + b"id: 3\nda")] == [1, 2, None]
    assert splitter.has_partial_event


def test_an_endless_event_is_refused():
    splitter = EventSplitter()
    with pytest.raises(AnswerIncomplete):
        list(splitter.feed(b"x" * (EVENT_LIMIT_BYTES + 1)))


@given(st.binary(max_size=300))
def test_any_bytes_are_returned_unchanged(data):
    splitter = EventSplitter()
    events = list(splitter.feed(data))
    whole = b"".join(event.data for event in events)
    assert data.startswith(whole) and (b"\n\n" not in data[len(whole) :])
