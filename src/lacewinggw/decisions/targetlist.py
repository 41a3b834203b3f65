"""What the operators' list says of targets and of the weights that are due on them."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from lacewinggw.ids import Address, ModelName, Place, ServiceName, TargetId


class TargetPhase(Enum):
    """Whether a target takes new work."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True)
class TargetEntry:
    """One start of a target, as the list of targets has it.

    `weights` are the versions of models that it serves whole; `slots` how many requests it runs at
    once; `cold_s` how much longer it is slow after its start.
    """

    target: TargetId
    service: ServiceName
    address: Address
    place: Place
    phase: TargetPhase = TargetPhase.READY
    slots: int = 1
    cold_s: float = 0.0
    weights: Mapping[ModelName, int] = field(default_factory=dict)


@dataclass(frozen=True)
class DueVersion:
    """The version of a model's weights that its operators want served."""

    model: ModelName
    version: int
