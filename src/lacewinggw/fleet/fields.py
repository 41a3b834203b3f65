"""Decode entries from other writers, checking the type and the range of each field.

An entry in the store may come from any writer, so its bytes may not be JSON, and fields may be
missing, of the wrong type, or out of range. Any such error raises `EntryUnreadable` with the field
and the reason, so that whatever is decoded can be used: calculated with, sent to other processes,
written into a header, and connected to.
"""

import base64
import json
from collections.abc import Callable, Mapping, Sequence
from typing import Any, TypeVar

from lacewinggw.errors import EntryUnreadable
from lacewinggw.ids import parse_ip_address

T = TypeVar("T")
Fields = Mapping[str, Any]

MAX_INT64 = (1 << 63) - 1  # of integers that are sent to other processes as they are
# Of what is counted: sums of two are sent to other processes as 32-bit integers.
MAX_COUNT = 1_000_000_000
# Of times and rates: also in microseconds or bytes, they are far below `MAX_INT64`.
MAX_NUMBER = 1e12
HASH_BYTES = 32  # of SHA-256
MS_PER_S = 1000.0


def read_object(source: bytes) -> Fields:
    """Return the fields of a JSON object."""
    try:
        value = json.loads(source)
    except (ValueError, RecursionError) as error:
        raise EntryUnreadable(f"the entry is not valid JSON: {error}") from None
    return as_object(value, "the entry")


def read_base64(value: object) -> bytes:
    """Return the bytes encoded in a row's base64 value."""
    if not isinstance(value, str):
        raise EntryUnreadable("the value is not a string")
    try:
        return base64.b64decode(value, validate=True)
    except ValueError as error:
        raise EntryUnreadable(f"the value is not valid base64: {error}") from None


def as_object(value: object, what: str) -> Fields:
    """Return `value` if it is a JSON object, else raise `EntryUnreadable` that names `what`."""
    if not isinstance(value, dict):
        raise EntryUnreadable(f"{what} is not a JSON object")
    return value


def read_text(fields: Fields, name: str) -> str:
    """Return a field that must be a non-empty string, and valid in UTF-8."""
    return check_text(fields.get(name), name)


def check_text(value: object, what: str) -> str:
    """Return `value` if it is such a string, else raise `EntryUnreadable` that names `what`.

    JSON may contain halves of surrogate pairs, which cannot be encoded.
    """
    if not isinstance(value, str) or not value:
        raise EntryUnreadable(f"{what} is not a non-empty string")
    if not value.isascii() and any("\ud800" <= each <= "\udfff" for each in value):
        raise EntryUnreadable(f"{what} is not valid in UTF-8")
    return value


def check_header_text(value: object, what: str) -> str:
    """Return `value` if it can be the value of a header, else raise `EntryUnreadable`."""
    text = check_text(value, what)
    is_latin = all(each <= "\xff" for each in text)
    if not is_latin or not text.isprintable() or text != text.strip():
        raise EntryUnreadable(f"{what} cannot be sent in a header: {text!a}")
    return text


def read_address(fields: Fields, name: str) -> str:
    """Return a field that must be an address of the form ip:port, with a port to connect to."""
    value = read_text(fields, name)
    try:
        parse_ip_address(value)
    except ValueError as error:
        raise EntryUnreadable(f"{name}: {error}") from None
    return value


def read_uint(
    fields: Fields, name: str, default: int | None = None, most: int = MAX_INT64, least: int = 0
) -> int:
    """Return a field that must be an integer from `least` to `most`; `default` if it is missing."""
    value = fields.get(name, default)
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if not isinstance(value, int) or isinstance(value, bool) or not least <= value <= most:
        raise EntryUnreadable(f"{name} is not an integer from {least} to {most}")
    return value


def read_count(fields: Fields, name: str, default: int | None = None, least: int = 0) -> int:
    """Return a field that must be a number of things; `default` if it is missing."""
    return read_uint(fields, name, default, MAX_COUNT, least)


def read_optional_count(fields: Fields, name: str) -> int | None:
    """Return a field that must be a number of things; None if it is missing or null."""
    return None if fields.get(name) is None else read_count(fields, name)


def read_number(
    fields: Fields, name: str, default: float | None = None, most: float = MAX_NUMBER
) -> float:
    """Return a field that must be a number from 0 to `most`; `default` if it is missing."""
    value = fields.get(name, default)
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise EntryUnreadable(f"{name} is not a number")
    if not 0 <= value <= most:
        raise EntryUnreadable(f"{name} is not a number from 0 to {most:g}")
    return float(value)


def read_clock_s(fields: Fields, name: str) -> float | None:
    """Return a reading of a clock in milliseconds, in seconds; None if it is missing or 0."""
    if not fields.get(name):
        return None
    return read_number(fields, name, most=MAX_INT64) / MS_PER_S


def read_positive(fields: Fields, name: str) -> float:
    """Return a field that must be a number above 0, as it divides others."""
    value = read_number(fields, name)
    if not value:
        raise EntryUnreadable(f"{name} is 0")
    return value


def read_list(fields: Fields, name: str) -> Sequence[Any]:
    """Return a field that must be a list; an empty sequence if it is missing or null."""
    value = fields.get(name)
    if value is None:
        return ()
    if not isinstance(value, list):
        raise EntryUnreadable(f"{name} is not a list")
    return value


def read_objects(fields: Fields, name: str) -> Sequence[Fields]:
    """Return a field that must be a list of objects; an empty one if it is missing or null."""
    return [as_object(each, f"an item of {name}") for each in read_list(fields, name)]


def require_objects(fields: Fields, name: str) -> Sequence[Fields]:
    """Return a field that must be a list of objects and must not be missing."""
    _require(fields, name)
    return read_objects(fields, name)


def _require(fields: Fields, name: str) -> None:
    if fields.get(name) is None:
        raise EntryUnreadable(f"{name} is missing")


def read_names(
    fields: Fields, name: str, make: Callable[[str], T], is_required: bool = False
) -> frozenset[T]:
    """Return a field that must be a list of non-empty strings.

    It is empty if the field is missing or null, which raises `EntryUnreadable` if `is_required`.
    """
    if is_required:
        _require(fields, name)
    names = read_list(fields, name)
    return frozenset(make(check_text(each, f"an item of {name}")) for each in names)


def read_hashes(fields: Fields, name: str) -> list[bytes]:
    """Return a field that must be a list of SHA-256 hashes in hexadecimal."""
    hashes = [bytes.fromhex(check_text(each, name)) for each in fields[name]]
    if any(len(each) != HASH_BYTES for each in hashes):
        raise EntryUnreadable(f"an item of {name} does not have {HASH_BYTES} bytes")
    return hashes


def decode_object(source: bytes, build: Callable[[Fields], T]) -> T:
    """Parse a JSON object and return the result of `build` on its fields.

    For objects that are only usable as a whole: a part that is missing or of the wrong type
    raises `EntryUnreadable` for the entire object.
    """
    fields = read_object(source)
    try:
        return build(fields)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise EntryUnreadable(f"a part is missing or of the wrong type: {error!r}") from None
