"""Settings: parse an INI file, validate it against the schema, and return the schema's structs.

schema/settings.thrift defines the sections and keys; docs/SETTINGS.md lists them. A process names
the sections that it needs. Required keys are enforced only in these, so that an entry and an agent
can share one file. Example:

    settings = load_settings(Path("entry.ini"), SECTIONS[ProcessKind.ENTRY])
    settings.platform.timeout_ms
"""

import configparser
import difflib
import io
import ipaddress
from collections.abc import Iterable, Mapping
from pathlib import Path

from lacewinggw.errors import (
    AddressClash,
    MissingValue,
    SettingsUnreadable,
    UnknownKey,
    UnknownSection,
)
from lacewinggw.generated.settings.ttypes import Settings
from lacewinggw.ids import split_address
from lacewinggw.settingskeys import (
    LISTENERS,
    Key,
    ProcessKind,
    Value,
    section_class,
    section_keys,
    section_names,
)
from lacewinggw.settingsvalues import RawValue, format_value, parse_value
from lacewinggw.units import split_field


def default_settings() -> Settings:
    """Return settings with all defaults; a required key is an empty string."""
    return _build_settings({})


def _build_settings(values: Mapping[tuple[str, str], Value]) -> Settings:
    sections = {}
    for section in section_names():
        fields = {
            key.field: values.get((section, key.field), key.empty) for key in section_keys(section)
        }
        sections[section] = section_class(section)(**fields)
    return Settings(**sections)


def load_settings(path: Path | str, sections: Iterable[str]) -> Settings:
    """Read and check the settings file at `path`.

    The required keys of `sections` must be present. Raise a `SettingsError` for the first error
    found; it names the file, section and key, and what to write instead.
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
    """Parse and check the text of a settings file; errors refer to the file as `name`.

    Raise a `SettingsError` as `load_settings` does.
    """
    ini = _parse_ini(text, name)
    values: dict[tuple[str, str], Value] = {}
    for section in ini.sections():
        _check_section(name, section)
        for written, value in ini.items(section):
            key = _find_key(name, section, written)
            if value.strip():
                values[section, key.field] = parse_value(RawValue(name, key, value.strip()))
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
        default_section="\0",  # no section holds defaults for the others
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
    """Return whether two listeners conflict; with port 0 the system chooses a free port."""
    one_host, one_port = split_address(one)
    other_host, other_port = split_address(other)
    if one_port != other_port or one_port == 0:
        return False
    hosts = (ipaddress.ip_address(one_host), ipaddress.ip_address(other_host))
    return hosts[0] == hosts[1] or any(host.is_unspecified for host in hosts)


def write_settings(settings: Settings) -> str:
    """Return `settings` as the text of an INI file, without empty values."""
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


def detect_process_kind(path: Path | str) -> ProcessKind:
    """Return the kind of process that a settings file is for, based on its sections."""
    ini = _parse_ini(_read_text(path), str(path))
    fleet = ini.has_section("fleet")
    if ini.has_section("entry"):
        return ProcessKind.FLEET_ENTRY if fleet else ProcessKind.ENTRY
    if ini.has_section("agent"):
        return ProcessKind.FLEET_AGENT if fleet else ProcessKind.AGENT
    return ProcessKind.OPERATOR if ini.has_section("operator") else ProcessKind.ENTRY
