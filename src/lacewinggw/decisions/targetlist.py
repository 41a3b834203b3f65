"""What the operators' list says of targets and of the weights that are due on them."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property

from lacewinggw.ids import Address, ModelName, Place, ServiceName, TargetId, TargetName


class TargetPhase(Enum):
    """Whether a target takes new work."""

    READY = "ready"
    LEAVING = "leaving"


def make_target_id(name: TargetName, born_ms: int) -> TargetId:
    """Return the id of one start of a target, from its name and when that start was born.

    >>> start_of(TargetName("i-7f3a"), 1764700000000)
    'i-7f3a/1764700000000'
    >>> start_of(TargetName("i-7f3a"), 0)  # it does not tell: the name is taken for one start
    'i-7f3a'
    """
    return TargetId(f"{name}/{born_ms}" if born_ms else name)


@dataclass(frozen=True)
class TargetEntry:
    """One start of a target, as the list of targets has it.

    A target may start again under its `name`; it then holds and knows nothing of before, so all
    that is believed of it goes by `target`, the start. `born_ms` is when it started, in Unix
    milliseconds by its own clock; 0 where it does not tell. `weights` are the versions of models
    that it serves whole; `slots` how many requests it runs at once; `cold_s` how much longer it is
    slow after its start.
    """

    name: TargetName
    service: ServiceName
    address: Address
    place: Place
    phase: TargetPhase = TargetPhase.READY
    slots: int = 1
    cold_s: float = 0.0
    weights: Mapping[ModelName, int] = field(default_factory=dict)
    born_ms: int = 0

    @cached_property
    def target(self) -> TargetId:
        """The id of this start."""
        return make_target_id(self.name, self.born_ms)


@dataclass(frozen=True)
class DueVersion:
    """The version of a model's weights that its operators want served."""

    model: ModelName
    version: int
