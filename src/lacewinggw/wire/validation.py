"""Validation of reports from other processes before they are stored.

A process of the fleet may be faulty or run another version. Its reports are later read by unrelated
requests and queries, so an invalid report is rejected as a whole on arrival.
"""

import math
from functools import cache
from typing import Any

from lacewinggw.errors import ProtocolViolation
from lacewinggw.generated.messages.ttypes import Heartbeat, TargetState


def require_valid(report: Any) -> None:
    """Raise `ProtocolViolation` unless each field is set and each number is finite and >= 0.

    Nested structs are checked as well. Use it only for reports whose fields are all required.

        require_valid(heartbeat)
    """
    kind: Any = type(report)
    for name in _field_names(kind):
        _require_valid_value(getattr(report, name), kind.__name__, name)


def require_valid_heartbeat(heartbeat: Heartbeat) -> None:
    """Raise `ProtocolViolation` for an invalid heartbeat, or one with an unknown state."""
    require_valid(heartbeat)
    if heartbeat.state not in set(TargetState):
        raise ProtocolViolation(f"a Heartbeat has the unknown state {heartbeat.state}")


def _require_valid_value(value: Any, kind: str, name: str) -> None:
    match value:
        case None:
            raise ProtocolViolation(f"a {kind} lacks the field {name}")
        case int() | float():
            if not (math.isfinite(value) and value >= 0):
                raise ProtocolViolation(
                    f"a {kind} has a field {name} with the invalid value {value}"
                )
        case list():
            for each in value:
                _require_valid_value(each, kind, name)
        case str() | bytes():
            return
        case struct:
            require_valid(struct)


@cache
def _field_names(kind: type[Any]) -> tuple[str, ...]:
    return tuple(spec[2] for spec in kind.thrift_spec if spec is not None)
