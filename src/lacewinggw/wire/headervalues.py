"""Parsing of header values as numbers and times; malformed values count as absent.

retry_after_s = read_retry_after({"retry-after": "1.5"})
"""

import math
from datetime import UTC, datetime, timedelta
from email.utils import parsedate_to_datetime

from lacewinggw.wire.http import Headers

MAX_INT_DIGITS = 18
# Of times and rates: also in microseconds, they fit the integers that processes exchange.
MAX_FLOAT = 1e12


def read_int(text: str | None) -> int | None:
    """Return a non-negative integer of up to `MAX_INT_DIGITS` digits, or None for any other text.

    >>> read_int("12"), read_int("-1"), read_int(None)
    (12, None, None)
    """
    digits = text.strip() if text is not None else ""
    return int(digits) if digits.isdecimal() and len(digits) <= MAX_INT_DIGITS else None


def read_float(text: str | None) -> float | None:
    """Return a number from 0 to `MAX_FLOAT`, or None for any other text.

    >>> read_float("1.5"), read_float("inf"), read_float("-1"), read_float("1e300")
    (1.5, None, None, None)
    """
    try:
        amount = float(text) if text is not None else math.nan
    except ValueError:
        return None
    return amount if 0 <= amount <= MAX_FLOAT else None


def read_retry_after(headers: Headers) -> float | None:
    """Return the delay of `Retry-After`, a number or a date (RFC 9110, section 10.2.3), in seconds.

    A date is relative to the response's `Date` header, so that the clocks of two hosts are not
    compared; without that header it is relative to the local clock. Returns None when the header
    is absent or malformed, or the delay is zero or in the past.
    """
    text = headers.get("retry-after")
    if text is None:
        return None
    until = _read_date(text)
    if until is None:
        return read_float(text) or None
    sent = _read_date(headers.get("date", "")) or datetime.now(UTC)
    return max(0.0, (until - sent) / timedelta(seconds=1)) or None


def _read_date(text: str) -> datetime | None:
    try:
        date = parsedate_to_datetime(text)
    except (ValueError, OverflowError):
        return None
    return date if date.tzinfo else date.replace(tzinfo=UTC)
