"""Conversion of settings values between the text of a file and the type of the key."""

import ipaddress
import re
from collections.abc import Iterator
from dataclasses import dataclass, replace
from decimal import Decimal

from thrift.Thrift import TType

from lacewinggw.decisions.limits import AccountDeclaration
from lacewinggw.errors import BadAddress, BadValue, SettingsError, WrongUnit
from lacewinggw.ids import split_address
from lacewinggw.settingskeys import ADDRESSES, CHOICES, LISTENERS, Key, Value
from lacewinggw.units import Measure, QuantityError, UnitError, format_quantity, parse_quantity

MAY_BE_ZERO = {
    "remote_neighbours",
    "cold_slack",
    "queue_length",
    "claim_batch_ms",
    "slow_start_ms",
    "retry_percent",
    "urgent_percent",
    "eject_limit_percent",
    "extra_retries",
    "lapse_ms",
}
# Values computed and filled in by a platform, which may have a fraction. They are rounded down: a
# bound becomes slightly stricter, and a link is used slightly less.
FILLED_IN_SECTION = "fleet"
FILLED_IN_FIELDS = {"link_bytes_per_s", "memory_bytes", "descriptors"}
NUMBER = re.compile(r"-?\d+(\.\d+)?([eE][+-]?\d{1,2})?")
PERCENT_MAXIMUM = 100
RATIO_FIELDS = {"cold_overshoot_percent"}  # multiples, which may exceed 100 percent
RATIO_MAXIMUM = 1000
# Below these a process cannot work: what it holds itself, and its descriptors for files.
MINIMUM = {"memory_bytes": 64_000_000, "descriptors": 256}
MAXIMUM = {TType.I32: 2**31 - 1, TType.I64: 2**63 - 1}
PORT_MAXIMUM = 65535
# Allowed numbers of parts in items such as "a:b"; the comments in the schema define the parts.
LIST_PARTS = {"operator_tokens": (2,), "accounts": (4, 5), "regions": (2,)}
TRUE_WORDS = ("yes", "true", "on")
FALSE_WORDS = ("no", "false", "off")


@dataclass(frozen=True)
class RawValue:
    """An unparsed value and its position in a settings file."""

    file: str
    key: Key
    text: str

    def make_error(self, kind: type[SettingsError], met: str, remedy: str) -> SettingsError:
        """Return an error of class `kind` for this position."""
        return kind.at(self.file, self.key.section, self.key.name, met, remedy)


def parse_value(raw: RawValue) -> Value:
    """Return the value converted to the type of its key; raise a `SettingsError` if invalid."""
    match raw.key.kind:
        case TType.STRING:
            return _parse_text(raw)
        case TType.BOOL:
            return _parse_switch(raw)
        case TType.LIST:
            items = _split_list(raw.text)
            return [_parse_item(replace(raw, text=item)) for item in items]
        case _:
            return _parse_number(raw)


def _split_list(text: str) -> Iterator[str]:
    for item in text.replace(",", "\n").splitlines():
        if item.strip():
            yield item.strip()


def _parse_text(raw: RawValue) -> str:
    if raw.key.field in ADDRESSES:
        _check_address(raw)
    choices = CHOICES.get(raw.key.field)
    if choices and raw.text not in choices:
        remedy = f"write one of: {', '.join(choices)}"
        raise raw.make_error(BadValue, f"{raw.text!r} is not a choice", remedy)
    return raw.text


def _parse_item(raw: RawValue) -> str:
    if raw.key.field in ADDRESSES:
        _check_address(raw)
    parts = LIST_PARTS.get(raw.key.field)
    met = len(raw.text.split(":"))
    if parts is not None and met not in parts:
        wanted = " or ".join(map(str, parts))
        reason = f"an item has {met} parts between colons, not {wanted}"
        raise raw.make_error(BadValue, reason, _list_remedy(raw.key))
    if raw.key.field == "accounts":
        _check_account(raw)
    return raw.text


def _list_remedy(key: Key) -> str:
    if key.field == "accounts":
        return "write account:token:requests-per-second:concurrency[:weight], one a line"
    if key.field == "regions":
        return "write place:region, one a line"
    return "write name:token, one a line"


def _check_account(raw: RawValue) -> None:
    try:
        AccountDeclaration.parse(raw.text)
    except ValueError as error:
        # The token is a secret, so the message contains only the account name.
        name = raw.text.split(":")[0]
        met = f"the limits of account {name!r} are not numbers above 0"
        raise raw.make_error(BadValue, met, _list_remedy(raw.key)) from error


def _parse_switch(raw: RawValue) -> bool:
    if raw.text.lower() in TRUE_WORDS:
        return True
    if raw.text.lower() in FALSE_WORDS:
        return False
    raise raw.make_error(BadValue, f"{raw.text!r} is not yes or no", "write yes or no")


def _parse_number(raw: RawValue) -> int:
    measure = raw.key.measure
    number = _parse_plain(raw) if measure is None else _parse_measured(raw, measure)
    _check_range(raw, number)
    return number


def _parse_plain(raw: RawValue) -> int:
    if _is_filled_in(raw.key) and NUMBER.fullmatch(raw.text):
        return int(Decimal(raw.text))
    try:
        return int(raw.text)
    except ValueError:
        met = f"{raw.text!r} is not a whole number"
        raise raw.make_error(BadValue, met, "write digits, as in 8") from None


def _is_filled_in(key: Key) -> bool:
    return key.section == FILLED_IN_SECTION or key.field in FILLED_IN_FIELDS


def _parse_measured(raw: RawValue, measure: Measure) -> int:
    remedy = f"write a {measure.name} in {', '.join(measure.units)}, as in {measure.example}"
    try:
        return parse_quantity(raw.text, measure, _is_filled_in(raw.key))
    except UnitError as error:
        raise raw.make_error(WrongUnit, str(error), remedy) from None
    except QuantityError as error:
        raise raw.make_error(BadValue, str(error), remedy) from None


def _maximum(key: Key) -> int:
    if key.field in RATIO_FIELDS:
        return RATIO_MAXIMUM
    return PERCENT_MAXIMUM if key.field.endswith("_percent") else MAXIMUM[key.kind]


def _check_range(raw: RawValue, number: int) -> None:
    key = raw.key
    least = 0 if key.field in MAY_BE_ZERO else MINIMUM.get(key.field, 1)
    most = _maximum(key)
    if not least <= number <= most:
        remedy = f"write a value from {least} to {most}"
        raise raw.make_error(BadValue, f"{raw.text} is out of range", remedy)


def _check_address(raw: RawValue) -> None:
    remedy = "write an IP number and a port, as in 10.0.0.7:7001"
    try:
        host, port = split_address(raw.text)
        ipaddress.ip_address(host)
    except ValueError:
        met = f"{raw.text!r} is not an IP number and a port"
        raise raw.make_error(BadAddress, met, remedy) from None
    least = 0 if raw.key.field in LISTENERS else 1
    if not least <= port <= PORT_MAXIMUM:
        raise raw.make_error(BadAddress, f"port {port} is out of range", remedy)


def format_value(key: Key, value: Value) -> str:
    """Return a value as it is written in a settings file."""
    if isinstance(value, list):
        return "".join(f"\n{item}" for item in value)
    if isinstance(value, bool):
        return "yes" if value else "no"
    if key.measure is not None and isinstance(value, int):
        return format_quantity(value, key.measure)
    return str(value)
