"""Decoding handles arbitrary data in the store or from an engine, and continues after bad data."""

import base64
import json

from hypothesis import given, settings
from hypothesis import strategies as st
from lacewinggw_platform.engine import _decode, _decode_report
from lacewinggw_platform.fleet import decode_due_version, decode_routes, decode_target
from lacewinggw_platform.store import _changes, _decode_page
from platform_standins import LLM, manifest, target_row

from lacewinggw.errors import EntryUnreadable, TargetUnreachable
from lacewinggw.fleet.feed import ItemChanged, ItemRemoved, Topic, UnreadableItem
from lacewinggw.wire.http import Response

EXAMPLES = 150
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=12),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
REPORT = {
    "Models": [{"Name": "market", "Version": 1}],
    "Busy": False,
    "Sequence": 2,
    "QueuedRequests": 1,
    "ActiveRequests": 12,
    "born": 1_764_700_000_000,
}
GOOD = [target_row(LLM, "10.2.0.1:8080"), manifest(3), {"Model": "m", "Version": 2}, REPORT]


def replace_one(value, draw):
    """Return a JSON value in which one part, at any depth, is replaced or removed."""
    match value:
        case dict() if value and draw(st.integers(0, 3)):
            name = draw(st.sampled_from(sorted(value)))
            if not draw(st.integers(0, 3)):
                return {key: each for key, each in value.items() if key != name}
            return {**value, name: replace_one(value[name], draw)}
        case list() if value and draw(st.integers(0, 3)):
            index = draw(st.integers(0, len(value) - 1))
            return [*value[:index], replace_one(value[index], draw), *value[index + 1 :]]
    return draw(VALUES)


@st.composite
def sources(draw):
    """Return the bytes of a row or a report: arbitrary, or valid JSON with one part replaced."""
    if draw(st.booleans()):
        return draw(st.binary(max_size=60))
    return json.dumps(replace_one(draw(st.sampled_from(GOOD)), draw)).encode()


@settings(max_examples=EXAMPLES)
@given(sources())
def test_a_row_is_decoded_or_reported_unreadable(source):
    for decode in (decode_routes, decode_due_version, lambda data: decode_target("i-1", data)):
        try:
            decode(source)
        except EntryUnreadable as error:
            assert error.reason


@settings(max_examples=EXAMPLES)
@given(sources())
def test_a_report_is_decoded_or_its_engine_counts_as_unreachable(source):
    try:
        report = _decode(Response(200, {}, source), _decode_report)
    except TargetUnreachable as error:
        assert error.reason
    else:
        assert report.running >= 0 and report.born_ms >= 0


@settings(max_examples=EXAMPLES)
@given(st.sampled_from(Topic), st.lists(sources() | VALUES, max_size=4))
def test_each_row_of_a_page_is_decoded_independently(topic, values):
    rows = [{"Key": f"k{index}", "Value": as_value(each)} for index, each in enumerate(values)]
    page = _decode_page({"Rows": rows, "SchemaVersion": 9}, 0)
    changes = list(_changes(topic, page.rows))
    assert all(isinstance(change, ItemChanged | ItemRemoved | UnreadableItem) for change in changes)


def as_value(value):
    return base64.b64encode(value).decode() if isinstance(value, bytes) else value
