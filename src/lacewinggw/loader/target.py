"""Interface between the loader and its target, independent of the target's protocol."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from lacewinggw.ids import ModelName


@dataclass(frozen=True)
class LoadableReport:
    """The current state that a target reports.

    `weights` are the versions of models that it holds completely. `orders` counts the orders that
    it has accepted since its start, which distinguishes an order without a response from one that
    was lost. `born_ms` is the time of that start in Unix milliseconds, 0 if not reported; it
    distinguishes incarnations. A target that is `leaving` accepts no new work.
    """

    running: int
    queued: int
    busy: bool
    orders: int
    weights: Mapping[ModelName, int] = field(default_factory=dict)
    born_ms: int = 0
    leaving: bool = False


class SwitchMode(Enum):
    """What happens to running requests when a target switches to other weights."""

    FINISH = "finish"  # they finish first, and no new one starts meanwhile
    CUT = "cut"  # they are interrupted


@dataclass(frozen=True)
class StagedLoadOrder:
    """An order to load the staged pieces as a version of a model.

    The target refuses it unless it has accepted exactly `orders` orders, and also if it has seen a
    higher `fence`.
    """

    model: ModelName
    version: int
    switch: SwitchMode
    fence: int
    orders: int


class OrderOutcome(Enum):
    """The response of a target to an order."""

    BEGUN = "begun"
    DONE = "done"  # already in effect
    REFUSED = "refused"  # its state differs from what the order expects: read it again
    OUTDATED = "outdated"  # not sent, as what it relies on is outdated


class LoadableTarget(Protocol):
    """A target that loads weights staged on its host.

    Calls raise `TargetUnreachable` without a response; an order may still have been accepted.
    """

    async def report(self) -> LoadableReport:
        """Return the target's current report."""

    async def staged(self, model: ModelName) -> frozenset[int]:
        """Return the indexes of the staged pieces."""

    async def read_piece(self, model: ModelName, index: int) -> bytes | None:
        """Return a staged piece as it is stored, or None if there is none."""

    async def stage_piece(self, model: ModelName, index: int, data: bytes) -> None:
        """Stage a piece, replacing what was stored at its index."""

    async def order(self, order: StagedLoadOrder, may_send: Callable[[], bool]) -> OrderOutcome:
        """Give an order, and return the target's response.

        `may_send` is called immediately before the order is sent, once a connection is open.
        """
