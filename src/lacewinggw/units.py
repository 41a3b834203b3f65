"""Quantities with units: conversion between the text of a settings file and whole numbers.

The suffix of a field's name determines its measure: `_ms` and `_s` time, `_bytes` size,
`_bytes_per_s` rate, `_percent` share. The field holds the number in that unit; the text may use any
unit of the same measure, so a field `patience_ms` may be written `400ms` or `0.4s`.
"""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from decimal import Decimal

QUANTITY = re.compile(r"(?P<number>-?\d+(?:\.\d+)?(?:[eE][+-]?\d{1,2})?)\s*(?P<unit>[A-Za-z%/]*)")

BYTES = {
    "B": 1,
    "kB": 10**3,
    "KiB": 2**10,
    "MB": 10**6,
    "MiB": 2**20,
    "GB": 10**9,
    "GiB": 2**30,
}
RATES = {**{f"{unit}/s": size for unit, size in BYTES.items()}, "Mbit/s": 125_000}
MILLISECONDS = {"ms": 1, "s": 1000, "min": 60_000, "h": 3_600_000}


class QuantityError(ValueError):
    """The text is not a quantity of the expected measure."""


class UnitError(QuantityError):
    """The unit of a quantity is missing or belongs to another measure."""


@dataclass(frozen=True)
class Measure:
    """A kind of quantity: its display name, and its units as multiples of the field's unit."""

    name: str
    units: Mapping[str, Decimal]
    example: str


def _measure(name: str, units: Mapping[str, int], divisor: int, example: str) -> Measure:
    return Measure(name, {unit: Decimal(n) / divisor for unit, n in units.items()}, example)


# Longest suffix first: `_bytes_per_s` also ends in `_s`.
MEASURES = {
    "_bytes_per_s": _measure("rate", RATES, 1, "125MB/s"),
    "_bytes": _measure("size", BYTES, 1, "4MiB"),
    "_percent": _measure("share", {"%": 1, "share": 100}, 1, "70%"),
    "_ms": _measure("time", MILLISECONDS, 1, "400ms"),
    "_s": _measure("time", MILLISECONDS, 1000, "5s"),
}


def split_field(field: str) -> tuple[str, Measure | None]:
    """Split a field's name into its key and its measure; the measure is None without a suffix.

    >>> split_field("patience_ms")[0]
    'patience'
    """
    for suffix, measure in MEASURES.items():
        if field.endswith(suffix):
            return field.removesuffix(suffix), measure
    return field, None


def parse_quantity(text: str, measure: Measure, rounds_down: bool = False) -> int:
    """Return the quantity in `text` as a whole number of the field's units.

    Raise `UnitError` for a missing unit or one of another measure. Raise `QuantityError` for text
    that is not a number, or not a whole number of the field's units unless `rounds_down` is set.
    """
    match = QUANTITY.fullmatch(text)
    if match is None:
        raise QuantityError(f"{text!r} is not a {measure.name}")
    unit = match["unit"]
    if not unit:
        raise UnitError(f"{text!r} has no unit")
    if unit not in measure.units:
        raise UnitError(f"{text!r} is not a {measure.name}: unit {unit!r}")
    number = Decimal(match["number"]) * measure.units[unit]
    if not rounds_down and number != number.to_integral_value():
        raise QuantityError(f"{text!r} is finer than the smallest step of this key")
    return int(number)


def format_quantity(number: int, measure: Measure) -> str:
    """Return the shortest text that `parse_quantity` converts back to `number`."""
    exact = [
        f"{int(number / scale)}{unit}"
        for unit, scale in measure.units.items()
        if scale >= 1 and number % scale == 0
    ]
    return min(reversed(exact), key=len)
