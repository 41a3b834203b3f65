"""Parsing of `Retry-After`: numbers, dates and malformed values."""

import pytest

from lacewinggw.wire.headervalues import read_retry_after

SENT = "Wed, 02 Dec 2026 10:00:00 GMT"


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("3", 3.0),
        (" 0.25 ", 0.25),
        ("31536000", 31_536_000.0),
        ("Wed, 02 Dec 2026 10:00:07 GMT", 7.0),
        ("Wed, 02 Dec 2026 09:59:58 GMT", None),
        ("Wed, 99 Dec 2026 10:00:07 GMT", None),
        ("Wed, 02 Dec 99999 10:00:07 GMT", None),
        ("0", None),
        ("-2", None),
        ("nan", None),
        ("inf", None),
        ("1e400", None),
        ("soon", None),
        ("", None),
    ],
)
def test_retry_after_in_seconds(text, seconds):
    assert read_retry_after({"retry-after": text, "date": SENT}) == seconds


def test_retry_after_date_without_date_header_is_relative_to_the_local_clock():
    assert read_retry_after({"retry-after": "Wed, 02 Dec 2099 10:00:07 GMT"}) > 1e9
    assert read_retry_after({"retry-after": "Wed, 02 Dec 2009 10:00:07 GMT"}) is None
    assert read_retry_after({}) is None
