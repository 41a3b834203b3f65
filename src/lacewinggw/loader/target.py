"""What the loader asks of the target beside it, whatever the target speaks."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from lacewinggw.ids import ModelName


@dataclass(frozen=True)
class LoadableReport:
    """What a target says of itself now.

    `weights` are the versions of models that it holds whole; `orders` counts the orders it has
    taken since its start, by which one that went unanswered is told from one that was lost.
    `born_ms` tells that start from others, in Unix milliseconds; 0 where it is not told.
    One that is `leaving` takes no new work any more.
    """

    running: int
    queued: int
    busy: bool
    orders: int
    weights: Mapping[ModelName, int] = field(default_factory=dict)
    born_ms: int = 0
    leaving: bool = False


class SwitchMode(Enum):
    """What becomes of running requests when a target takes other weights."""

    FINISH = "finish"  # they end first, and nothing new begins meanwhile
    CUT = "cut"  # they are broken off


@dataclass(frozen=True)
class StagedLoadOrder:
    """Take what is staged as a version of a model.

    The target refuses it unless it has taken exactly `orders` orders, and when it has seen a higher
    `fence`.
    """

    model: ModelName
    version: int
    switch: SwitchMode
    fence: int
    orders: int


class OrderOutcome(Enum):
    """What a target said of an order."""

    BEGUN = "begun"
    DONE = "done"  # in effect already
    REFUSED = "refused"  # its state is another than the order expects: read it again


class LoadableTarget(Protocol):
    """A target that loads weights staged on its host.

    Calls raise `TargetUnreachable` when there is no answer; an order may then have been taken.
    """

    async def report(self) -> LoadableReport:
        """Return what the target says of itself."""

    async def staged(self, model: ModelName) -> frozenset[int]:
        """Return the indexes of the pieces staged."""

    async def read_piece(self, model: ModelName, index: int) -> bytes | None:
        """Return a staged piece as it lies there, None when there is none."""

    async def stage_piece(self, model: ModelName, index: int, data: bytes) -> None:
        """Stage a piece in place of what was there."""

    async def order(self, order: StagedLoadOrder) -> OrderOutcome:
        """Give an order."""
