"""Quantities with units."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lacewinggw.units import (
    MEASURES,
    QuantityError,
    UnitError,
    format_quantity,
    parse_quantity,
    split_field,
)


@pytest.mark.parametrize(
    ("field", "text", "number"),
    [
        ("patience_ms", "400ms", 400),
        ("patience_ms", "0.4 s", 400),
        ("keep_ms", "1h", 3_600_000),
        ("limit_s", "2min", 120),
        ("body_bytes", "4MiB", 4 * 2**20),
        ("link_bytes_per_s", "1.25GB/s", 1_250_000_000),
        ("share_percent", "70%", 70),
    ],
)
def test_quantity_is_in_the_unit_of_the_field(field: str, text: str, number: int) -> None:
    measure = split_field(field)[1]
    assert measure is not None
    assert parse_quantity(text, measure) == number


@pytest.mark.parametrize("text", ["5", "5MB", "5 s s", "5S"])
def test_missing_or_wrong_unit_is_an_error(text: str) -> None:
    with pytest.raises(QuantityError):
        parse_quantity(text, MEASURES["_ms"])


def test_missing_unit_differs_from_invalid_number() -> None:
    with pytest.raises(UnitError, match="has no unit"):
        parse_quantity("5", MEASURES["_ms"])
    with pytest.raises(QuantityError, match="finer than"):
        parse_quantity("0.5ms", MEASURES["_ms"])


@pytest.mark.parametrize("suffix", list(MEASURES))
@given(number=st.integers(min_value=0, max_value=2**53))
def test_formatted_quantity_parses_to_the_same_number(suffix: str, number: int) -> None:
    measure = MEASURES[suffix]
    assert parse_quantity(format_quantity(number, measure), measure) == number


def test_plain_field_has_no_measure() -> None:
    assert split_field("ranks") == ("ranks", None)
