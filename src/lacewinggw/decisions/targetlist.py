"""Targets, and the model versions due on them, as the operators' list has them."""

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
    """Return the id of one start of a target, from its name and the time of the start.

    >>> make_target_id(TargetName("i-7f3a"), 1764700000000)
    'i-7f3a/1764700000000'
    >>> make_target_id(TargetName("i-7f3a"), 0)  # no start time: the name stands for a single start
    'i-7f3a'
    """
    return TargetId(f"{name}/{born_ms}" if born_ms else name)


@dataclass(frozen=True)
class TargetEntry:
    """One start of a target, as the list of targets has it.

    A target may restart under the same `name`. It then has none of its earlier state, so all cached
    state about it is kept by `target`, the id of the start. `born_ms` is when it started, in Unix
    milliseconds by its own clock, or 0 if unknown. `weights` holds the version of each model that
    it serves whole. `slots` is how many requests it runs concurrently, and `cold_s` for how many
    more seconds it is slow after its start.
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
    """The version of a model's weights that its operators want targets to serve."""

    model: ModelName
    version: int
