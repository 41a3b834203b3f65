"""Settings: an INI file checked against the schema, into the schema's own typed structs.

Sections and keys are those of schema/settings.thrift; docs/SETTINGS.md lists them. A process names
the sections that it needs; a required key counts only there, so that one file can serve an entry
and an agent. Example:

    settings = load_settings(Path("entry.ini"), SECTIONS[ProcessKind.ENTRY])
    settings.platform.timeout_ms
"""

import configparser
import difflib
import io
import ipaddress
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Any

from thrift.Thrift import TType

from lacewinggw.decisions.limits import AccountDeclaration
from lacewinggw.decisions.routing import Policy
from lacewinggw.errors import (
    AddressClash,
    BadAddress,
    BadValue,
    MissingValue,
    SettingsUnreadable,
    UnknownKey,
    UnknownSection,
    WrongUnit,
)
from lacewinggw.generated.settings.ttypes import Settings
from lacewinggw.ids import split_address
from lacewinggw.units import (
    Measure,
    QuantityError,
    UnitError,
    format_quantity,
    parse_quantity,
    split_field,
)

Value = str | int | bool | list[str]


class ProcessKind(Enum):
    """The kinds of process that read settings."""

    ENTRY = "entry"
    AGENT = "agent"
    OPERATOR = "operator"


POLICY_SECTIONS = ("spread", "requests", "routing", "configuration")
SECTIONS: Mapping[ProcessKind, tuple[str, ...]] = {
    ProcessKind.ENTRY: ("process", "platform", "entry", *POLICY_SECTIONS),
    ProcessKind.AGENT: ("process", "platform", "agent", *POLICY_SECTIONS),
    ProcessKind.OPERATOR: ("operator",),
}

LISTENERS = ("caller_listen", "operator_listen", "peer_listen")
PLATFORM_SERVICES = ("table", "objects", "origin", "weight_store", "membership")
ADDRESSES = {*LISTENERS, *PLATFORM_SERVICES, "caller_address", "target", "entries"}
CHOICES = {
    "log_format": ("json", "text"),
    "log_level": ("debug", "info", "warning", "error"),
    "target_kind": ("engine", "plain"),
    "policy": tuple(policy.value for policy in Policy),
}
MAY_BE_ZERO = {
    "remote_neighbours",
    "queue_length",
    "claim_batch_ms",
    "slow_start_ms",
    "retry_percent",
    "urgent_percent",
    "eject_limit_percent",
}
PERCENT_MAXIMUM = 100
MAXIMUM = {TType.I32: 2**31 - 1, TType.I64: 2**63 - 1}
PORT_MAXIMUM = 65535
# Of the form "a:b"; the schema's comments say what the parts are.
LIST_PARTS = {"operator_tokens": (2,), "accounts": (4, 5)}
TRUE_WORDS = ("yes", "true", "on")
FALSE_WORDS = ("no", "false", "off")


@dataclass(frozen=True)
class Key:
    """One key of a section, read off the generated struct's field table."""

    section: str
    field: str
    kind: int
    default: Value | None

    @property
    def name(self) -> str:
        """The key as written in the file: the field without the unit."""
        return split_field(self.field)[0]

    @property
    def measure(self) -> Measure | None:
        """The measure that the field's suffix stands for."""
        return split_field(self.field)[1]

    @property
    def required(self) -> bool:
        """Whether the file must give it: it has no default, and is no list."""
        return self.default is None and self.kind != TType.LIST

    @property
    def empty(self) -> Value:
        """The value when the file gives none."""
        if self.kind == TType.LIST:
            return []
        return "" if self.default is None else self.default


def section_names() -> list[str]:
    """Return the names of all sections, in the schema's order."""
    return [spec[2] for spec in Settings.thrift_spec if spec is not None]


def section_keys(section: str) -> list[Key]:
    """Return the keys of a section, in the schema's order."""
    struct = _section_class(section)
    return [
        Key(section, name, kind, default)
        for _, kind, name, _, default in filter(None, struct.thrift_spec)
    ]


def _section_class(section: str) -> Any:
    specs = (spec for spec in Settings.thrift_spec if spec is not None)
    return next(spec[3][0] for spec in specs if spec[2] == section)


def default_settings() -> Settings:
    """Return settings with every default; a required key is an empty text."""
    return _build_settings({})


def _build_settings(values: Mapping[tuple[str, str], Value]) -> Settings:
    sections = {}
    for section in section_names():
        fields = {
            key.field: values.get((section, key.field), key.empty) for key in section_keys(section)
        }
        sections[section] = _section_class(section)(**fields)
    return Settings(**sections)


def load_settings(path: Path | str, sections: Iterable[str]) -> Settings:
    """Read and check the settings file at `path`.

    `sections` are those whose required keys must be there. Raise the `SettingsError` for the first
    fault found: it names the file, section and key, and what to write instead.
    """
    name = str(path)
    return parse_settings(_read_text(path), name, sections)


def _read_text(path: Path | str) -> str:
    try:
        return Path(path).read_text(encoding="utf-8")
    except OSError as error:
        reason = error.strerror or str(error)
        remedy = "check the path and its permissions"
        raise SettingsUnreadable(f"{path}: {reason}", remedy=remedy) from error
    except UnicodeDecodeError as error:
        remedy = "write the file as UTF-8 text"
        raise SettingsUnreadable(f"{path}: not UTF-8 text", remedy=remedy) from error


def parse_settings(text: str, name: str, sections: Iterable[str]) -> Settings:
    """Check the text of a settings file; `name` stands for the file in errors."""
    ini = _parse_ini(text, name)
    values: dict[tuple[str, str], Value] = {}
    for section in ini.sections():
        _check_section(name, section)
        for written, value in ini.items(section):
            key = _find_key(name, section, written)
            if value.strip():
                values[section, key.field] = _parse_value(name, key, value.strip())
    needed = tuple(sections)
    _check_required(name, needed, values)
    _check_clashes(name, needed, values)
    return _build_settings(values)


def _parse_ini(text: str, name: str) -> configparser.RawConfigParser:
    ini = _new_parser()
    try:
        ini.read_string(text, source=name)
    except configparser.Error as error:
        reason = " ".join(str(error).split())
        remedy = "write `[section]` lines, and below them each key once as `key = value`"
        raise SettingsUnreadable(reason, remedy=remedy) from error
    return ini


def _new_parser() -> configparser.RawConfigParser:
    ini = configparser.RawConfigParser(
        default_section="\0",  # no section is special
        inline_comment_prefixes=("#",),
    )
    ini.optionxform = str  # type: ignore[assignment, method-assign]
    return ini


def _nearest(word: str, known: Iterable[str]) -> str:
    names = list(known)
    close = difflib.get_close_matches(word, names, n=1)
    return f"did you mean `{close[0]}`?" if close else f"known are: {', '.join(names)}"


def _check_section(file: str, section: str) -> None:
    if section not in section_names():
        remedy = _nearest(section, section_names())
        raise UnknownSection.at(file, section, "", "there is no such section", remedy)


def _find_key(file: str, section: str, written: str) -> Key:
    keys = section_keys(section)
    for key in keys:
        if key.name == written:
            return key
    if written in (key.field for key in keys):
        remedy = f"write `{split_field(written)[0]}`, and the unit after the number"
    else:
        remedy = _nearest(written, (key.name for key in keys))
    raise UnknownKey.at(file, section, written, "there is no such key", remedy)


def _parse_value(file: str, key: Key, text: str) -> Value:
    match key.kind:
        case TType.STRING:
            return _parse_text(file, key, text)
        case TType.BOOL:
            return _parse_switch(file, key, text)
        case TType.LIST:
            return [_parse_item(file, key, item) for item in _split_list(text)]
        case _:
            return _parse_number(file, key, text)


def _split_list(text: str) -> Iterator[str]:
    for item in text.replace(",", "\n").splitlines():
        if item.strip():
            yield item.strip()


def _parse_text(file: str, key: Key, text: str) -> str:
    if key.field in ADDRESSES:
        _check_address(file, key, text)
    choices = CHOICES.get(key.field)
    if choices and text not in choices:
        remedy = f"write one of: {', '.join(choices)}"
        raise BadValue.at(file, key.section, key.name, f"{text!r} is not a choice", remedy)
    return text


def _parse_item(file: str, key: Key, text: str) -> str:
    if key.field in ADDRESSES:
        _check_address(file, key, text)
    parts = LIST_PARTS.get(key.field)
    if parts is not None and len(text.split(":")) not in parts:
        wanted = " or ".join(map(str, parts))
        met = f"an item has {len(text.split(':'))} parts between colons, not {wanted}"
        raise BadValue.at(file, key.section, key.name, met, _list_remedy(key))
    if key.field == "accounts":
        _check_account(file, key, text)
    return text


def _list_remedy(key: Key) -> str:
    if key.field == "accounts":
        return "write account:token:requests-per-second:concurrency[:weight], one a line"
    return "write name:token, one a line"


def _check_account(file: str, key: Key, text: str) -> None:
    try:
        AccountDeclaration.parse(text)
    except ValueError as error:
        # The token is a secret: the message names the account only.
        name = text.split(":")[0]
        met = f"the limits of account {name!r} are not numbers above 0"
        raise BadValue.at(file, key.section, key.name, met, _list_remedy(key)) from error


def _parse_switch(file: str, key: Key, text: str) -> bool:
    if text.lower() in TRUE_WORDS:
        return True
    if text.lower() in FALSE_WORDS:
        return False
    raise BadValue.at(file, key.section, key.name, f"{text!r} is not yes or no", "write yes or no")


def _parse_number(file: str, key: Key, text: str) -> int:
    number = _parse_plain(file, key, text)
    if key.measure is not None:
        number = _parse_measured(file, key, key.measure, text)
    _check_range(file, key, text, number)
    return number


def _parse_plain(file: str, key: Key, text: str) -> int:
    if key.measure is not None:
        return 0
    try:
        return int(text)
    except ValueError:
        met = f"{text!r} is not a whole number"
        raise BadValue.at(file, key.section, key.name, met, "write digits, as in 8") from None


def _parse_measured(file: str, key: Key, measure: Measure, text: str) -> int:
    remedy = f"write a {measure.name} in {', '.join(measure.units)}, as in {measure.example}"
    try:
        return parse_quantity(text, measure)
    except UnitError as error:
        raise WrongUnit.at(file, key.section, key.name, str(error), remedy) from None
    except QuantityError as error:
        raise BadValue.at(file, key.section, key.name, str(error), remedy) from None


def _check_range(file: str, key: Key, text: str, number: int) -> None:
    least = 0 if key.field in MAY_BE_ZERO else 1
    most = PERCENT_MAXIMUM if key.field.endswith("_percent") else MAXIMUM[key.kind]
    if not least <= number <= most:
        remedy = f"write a value from {least} to {most}"
        raise BadValue.at(file, key.section, key.name, f"{text} is out of range", remedy)


def _check_address(file: str, key: Key, text: str) -> None:
    remedy = "write an IP number and a port, as in 10.0.0.7:7001"
    try:
        host, port = split_address(text)
        ipaddress.ip_address(host)
    except ValueError:
        met = f"{text!r} is not an IP number and a port"
        raise BadAddress.at(file, key.section, key.name, met, remedy) from None
    least = 0 if key.field in LISTENERS else 1
    if not least <= port <= PORT_MAXIMUM:
        met = f"port {port} is out of range"
        raise BadAddress.at(file, key.section, key.name, met, remedy)


def _check_required(
    file: str,
    sections: Iterable[str],
    values: Mapping[tuple[str, str], Value],
) -> None:
    for section in sections:
        for key in section_keys(section):
            if key.required and (section, key.field) not in values:
                remedy = f"add `{key.name} = ...` below [{section}]; it has no default"
                raise MissingValue.at(file, section, key.name, "the value is missing", remedy)


def _check_clashes(
    file: str,
    sections: Iterable[str],
    values: Mapping[tuple[str, str], Value],
) -> None:
    taken: list[tuple[str, str]] = []
    for section in sections:
        for listener in LISTENERS:
            address = values.get((section, listener))
            if not isinstance(address, str):
                continue
            for other, other_address in taken:
                if _overlap(address, other_address):
                    met = f"{address} is taken by {other} = {other_address}"
                    remedy = "give each listener an address of its own"
                    raise AddressClash.at(file, section, listener, met, remedy)
            taken.append((listener, address))


def _overlap(one: str, other: str) -> bool:
    """Tell whether two listeners cannot both be opened; port 0 lets the system choose."""
    one_host, one_port = split_address(one)
    other_host, other_port = split_address(other)
    if one_port != other_port or one_port == 0:
        return False
    hosts = (ipaddress.ip_address(one_host), ipaddress.ip_address(other_host))
    return hosts[0] == hosts[1] or any(host.is_unspecified for host in hosts)


def write_settings(settings: Settings) -> str:
    """Return `settings` as the text of an INI file; empty values are left out."""
    ini = _new_parser()
    for section in section_names():
        struct = getattr(settings, section)
        if struct is None:
            continue
        ini.add_section(section)
        for key in section_keys(section):
            value = getattr(struct, key.field)
            if value is not None and value != "" and value != []:
                ini.set(section, key.name, format_value(key, value))
    out = io.StringIO()
    ini.write(out)
    return out.getvalue()


def format_value(key: Key, value: Value) -> str:
    """Return a value as a settings file has it."""
    if isinstance(value, list):
        return "".join(f"\n{item}" for item in value)
    if isinstance(value, bool):
        return "yes" if value else "no"
    if key.measure is not None and isinstance(value, int):
        return format_quantity(value, key.measure)
    return str(value)


def kind_of_file(path: Path | str) -> ProcessKind:
    """Tell from its sections which kind of process a settings file is for."""
    ini = _parse_ini(_read_text(path), str(path))
    for kind in (ProcessKind.ENTRY, ProcessKind.AGENT):
        if ini.has_section(kind.value):
            return kind
    return ProcessKind.OPERATOR if ini.has_section("operator") else ProcessKind.ENTRY
