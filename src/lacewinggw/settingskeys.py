"""Sections and keys of the settings, derived from the structs generated from the schema.

A key added to schema/settings.thrift needs no change here. This module defines only what the schema
cannot express: which strings are addresses, and which have a fixed set of values.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from thrift.Thrift import TType

from lacewinggw.decisions.routing import Policy
from lacewinggw.generated.settings.ttypes import Settings
from lacewinggw.units import Measure, split_field

Value = str | int | bool | list[str]


class ProcessKind(Enum):
    """Kind of process that reads settings."""

    ENTRY = "entry"
    AGENT = "agent"
    OPERATOR = "operator"
    FLEET_ENTRY = "fleet-entry"  # an entry of a fleet declared in the operators' store
    FLEET_AGENT = "fleet-agent"


POLICY_SECTIONS = ("spread", "requests", "routing", "configuration")
SECTIONS: Mapping[ProcessKind, tuple[str, ...]] = {
    ProcessKind.ENTRY: ("process", "platform", "entry", *POLICY_SECTIONS),
    ProcessKind.AGENT: ("process", "platform", "agent", *POLICY_SECTIONS),
    ProcessKind.OPERATOR: ("operator",),
    ProcessKind.FLEET_ENTRY: ("process", "fleet", "entry", *POLICY_SECTIONS),
    ProcessKind.FLEET_AGENT: ("process", "fleet", "agent", *POLICY_SECTIONS),
}

LISTENERS = (
    "caller_listen",
    "operator_listen",
    "peer_listen",
    "ready_listen",
    "directory_listen",
)
PLATFORM_SERVICES = ("table", "objects", "origin", "weight_store", "membership", "store")
ADDRESSES = {*LISTENERS, *PLATFORM_SERVICES, "caller_address", "target", "entries"}
CHOICES = {
    "log_format": ("json", "text"),
    "log_level": ("debug", "info", "warning", "error"),
    "target_kind": ("engine", "plain"),
    "policy": tuple(policy.value for policy in Policy),
}


@dataclass(frozen=True)
class Key:
    """One key of a section, derived from the field table of the generated struct."""

    section: str
    field: str
    kind: int
    default: Value | None

    @property
    def name(self) -> str:
        """Key as written in the file: the field name without the unit suffix."""
        return split_field(self.field)[0]

    @property
    def measure(self) -> Measure | None:
        """Measure given by the suffix of the field name, or None without a suffix."""
        return split_field(self.field)[1]

    @property
    def required(self) -> bool:
        """Whether the file must contain the key: it has no default and is not a list."""
        return self.default is None and self.kind != TType.LIST

    @property
    def empty(self) -> Value:
        """Value used when the file does not contain the key."""
        if self.kind == TType.LIST:
            return []
        return "" if self.default is None else self.default


def section_names() -> list[str]:
    """Return the names of all sections, in the schema's order."""
    return [spec[2] for spec in Settings.thrift_spec if spec is not None]


def section_keys(section: str) -> list[Key]:
    """Return the keys of a section, in the schema's order."""
    struct = section_class(section)
    return [
        Key(section, name, kind, default)
        for _, kind, name, _, default in filter(None, struct.thrift_spec)
    ]


def section_class(section: str) -> Any:
    """Return the generated struct of a section."""
    specs = (spec for spec in Settings.thrift_spec if spec is not None)
    return next(spec[3][0] for spec in specs if spec[2] == section)
