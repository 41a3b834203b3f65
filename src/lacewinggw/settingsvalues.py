"""Values of the settings: from the text of a file to the type of the key, and back."""

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
    "queue_length",
    "claim_batch_ms",
    "slow_start_ms",
    "retry_percent",
    "urgent_percent",
    "eject_limit_percent",
    "extra_retries",
    "lapse_ms",
}
# Figures that a platform works out and fills in: they may have fractions. Rounded down, a bound is
# kept a little too well, and a link is used a little less.
FILLED_IN_SECTION = "fleet"
FILLED_IN_FIELDS = {"link_bytes_per_s"}
NUMBER = re.compile(r"-?\d+(\.\d+)?([eE][+-]?\d{1,2})?")
PERCENT_MAXIMUM = 100
MAXIMUM = {TType.I32: 2**31 - 1, TType.I64: 2**63 - 1}
PORT_MAXIMUM = 65535
# Of the form "a:b"; the schema's comments say what the parts are.
LIST_PARTS = {"operator_tokens": (2,), "accounts": (4, 5), "regions": (2,)}
TRUE_WORDS = ("yes", "true", "on")
FALSE_WORDS = ("no", "false", "off")


@dataclass(frozen=True)
class RawValue:
    """A value as it stands in a file, and where."""

    file: str
    key: Key
    text: str

    def make_error(self, kind: type[SettingsError], met: str, remedy: str) -> SettingsError:
        """Return the error that points at this place."""
        return kind.at(self.file, self.key.section, self.key.name, met, remedy)


def parse_value(written: RawValue) -> Value:
    """Return the value of the key's type; raise the `SettingsError` that says what is wrong."""
    match written.key.kind:
        case TType.STRING:
            return _parse_text(written)
        case TType.BOOL:
            return _parse_switch(written)
        case TType.LIST:
            items = _split_list(written.text)
            return [_parse_item(replace(written, text=item)) for item in items]
        case _:
            return _parse_number(written)


def _split_list(text: str) -> Iterator[str]:
    for item in text.replace(",", "\n").splitlines():
        if item.strip():
            yield item.strip()


def _parse_text(written: RawValue) -> str:
    if written.key.field in ADDRESSES:
        _check_address(written)
    choices = CHOICES.get(written.key.field)
    if choices and written.text not in choices:
        remedy = f"write one of: {', '.join(choices)}"
        raise written.make_error(BadValue, f"{written.text!r} is not a choice", remedy)
    return written.text


def _parse_item(written: RawValue) -> str:
    if written.key.field in ADDRESSES:
        _check_address(written)
    parts = LIST_PARTS.get(written.key.field)
    met = len(written.text.split(":"))
    if parts is not None and met not in parts:
        wanted = " or ".join(map(str, parts))
        reason = f"an item has {met} parts between colons, not {wanted}"
        raise written.make_error(BadValue, reason, _list_remedy(written.key))
    if written.key.field == "accounts":
        _check_account(written)
    return written.text


def _list_remedy(key: Key) -> str:
    if key.field == "accounts":
        return "write account:token:requests-per-second:concurrency[:weight], one a line"
    if key.field == "regions":
        return "write place:region, one a line"
    return "write name:token, one a line"


def _check_account(written: RawValue) -> None:
    try:
        AccountDeclaration.parse(written.text)
    except ValueError as error:
        # The token is a secret: the message names the account only.
        name = written.text.split(":")[0]
        met = f"the limits of account {name!r} are not numbers above 0"
        raise written.make_error(BadValue, met, _list_remedy(written.key)) from error


def _parse_switch(written: RawValue) -> bool:
    if written.text.lower() in TRUE_WORDS:
        return True
    if written.text.lower() in FALSE_WORDS:
        return False
    raise written.make_error(BadValue, f"{written.text!r} is not yes or no", "write yes or no")


def _parse_number(written: RawValue) -> int:
    measure = written.key.measure
    number = _parse_plain(written) if measure is None else _parse_measured(written, measure)
    _check_range(written, number)
    return number


def _parse_plain(written: RawValue) -> int:
    if _is_filled_in(written.key) and NUMBER.fullmatch(written.text):
        return int(Decimal(written.text))
    try:
        return int(written.text)
    except ValueError:
        met = f"{written.text!r} is not a whole number"
        raise written.make_error(BadValue, met, "write digits, as in 8") from None


def _is_filled_in(key: Key) -> bool:
    return key.section == FILLED_IN_SECTION or key.field in FILLED_IN_FIELDS


def _parse_measured(written: RawValue, measure: Measure) -> int:
    remedy = f"write a {measure.name} in {', '.join(measure.units)}, as in {measure.example}"
    try:
        return parse_quantity(written.text, measure, _is_filled_in(written.key))
    except UnitError as error:
        raise written.make_error(WrongUnit, str(error), remedy) from None
    except QuantityError as error:
        raise written.make_error(BadValue, str(error), remedy) from None


def _check_range(written: RawValue, number: int) -> None:
    key = written.key
    least = 0 if key.field in MAY_BE_ZERO else 1
    most = PERCENT_MAXIMUM if key.field.endswith("_percent") else MAXIMUM[key.kind]
    if not least <= number <= most:
        remedy = f"write a value from {least} to {most}"
        raise written.make_error(BadValue, f"{written.text} is out of range", remedy)


def _check_address(written: RawValue) -> None:
    remedy = "write an IP number and a port, as in 10.0.0.7:7001"
    try:
        host, port = split_address(written.text)
        ipaddress.ip_address(host)
    except ValueError:
        met = f"{written.text!r} is not an IP number and a port"
        raise written.make_error(BadAddress, met, remedy) from None
    least = 0 if written.key.field in LISTENERS else 1
    if not least <= port <= PORT_MAXIMUM:
        raise written.make_error(BadAddress, f"port {port} is out of range", remedy)


def format_value(key: Key, value: Value) -> str:
    """Return a value as a settings file has it."""
    if isinstance(value, list):
        return "".join(f"\n{item}" for item in value)
    if isinstance(value, bool):
        return "yes" if value else "no"
    if key.measure is not None and isinstance(value, int):
        return format_quantity(value, key.measure)
    return str(value)
