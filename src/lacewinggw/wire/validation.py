"""Checks of what other processes report, before it is kept and reckoned with.

A process of the fleet may be broken, or of another version. What it reports is read again and again
later, by requests and queries that have nothing to do with it, so it is refused as a whole here.
"""

import math
from functools import cache
from typing import Any

from lacewinggw.errors import ProtocolViolation
from lacewinggw.generated.messages.ttypes import Heartbeat, TargetState


def require_valid(report: Any) -> None:
    """Raise `ProtocolViolation` unless each field is there, and each number finite and not below 0.

    Structs within the report are checked as well. It is for reports whose every field must be told.

        require_sound(heartbeat)
    """
    kind: Any = type(report)
    for name in _field_names(kind):
        _require_sound_value(getattr(report, name), kind.__name__, name)


def require_valid_heartbeat(heartbeat: Heartbeat) -> None:
    """Raise `ProtocolViolation` for a heartbeat that is not sound, or tells of an unknown state."""
    require_valid(heartbeat)
    if heartbeat.state not in set(TargetState):
        raise ProtocolViolation(f"a Heartbeat of the unknown state {heartbeat.state}")


def _require_sound_value(value: Any, kind: str, name: str) -> None:
    match value:
        case None:
            raise ProtocolViolation(f"a {kind} without its {name}")
        case int() | float():
            if not (math.isfinite(value) and value >= 0):
                raise ProtocolViolation(f"a {kind} whose {name} is {value}")
        case list():
            for each in value:
                _require_sound_value(each, kind, name)
        case str() | bytes():
            return
        case struct:
            require_valid(struct)


@cache
def _field_names(kind: type[Any]) -> tuple[str, ...]:
    return tuple(spec[2] for spec in kind.thrift_spec if spec is not None)
