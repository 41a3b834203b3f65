"""Where a chunk may come from, and what is known of each source."""

from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias

from lacewinggw.decisions.holdings import ChunkSet
from lacewinggw.ids import HostId, Incarnation, Place


@dataclass(frozen=True)
class Neighbour:
    """Another host that is due the release."""

    host: HostId


@dataclass(frozen=True)
class Origin:
    """The origin of weights."""


@dataclass(frozen=True)
class Store:
    """The rate-limited weight store."""


Source: TypeAlias = Neighbour | Origin | Store

ORIGIN = Origin()
STORE = Store()


class FetchFailure(Enum):
    """Why a chunk did not come from a source."""

    LOST = "lost"
    BUSY = "busy"
    STALLED = "stalled"
    REFUSED = "refused"
    CORRUPT = "corrupt"


@dataclass
class NeighbourState:
    """What is known of a linked neighbour; times are in seconds of the loop's clock.

    `offers` are those of its chunks that are missing here and not on their way. `left` is whether
    it gave too many corrupt chunks to be asked again.
    """

    place: Place
    incarnation: Incarnation
    left: bool = False
    chunks: set[int] = field(default_factory=set)
    offers: ChunkSet = field(default_factory=ChunkSet)
    asked: set[int] = field(default_factory=set)
    corrupt: int = 0
    told: bool = False
    waiting: int = 0
    heard_at: float = 0.0
    avoid_until: float = 0.0


@dataclass
class SourceState:
    """How the origin or the weight store has been doing."""

    failures: int = 0
    avoid_until: float = 0.0
    corrupt: int = 0


@dataclass
class Fetch:
    """One chunk on its way from one source."""

    source: Source
    asked_at: float
    moved_at: float


@dataclass(frozen=True)
class SpreadRules:
    """The constants of the policy; times in seconds, sizes in bytes, rates in bytes per second.

    `in_flight` bounds the chunks asked of one neighbour, `in_flight_total` of all together.
    """

    link_bytes_per_s: float
    in_flight: int = 2
    in_flight_total: int = 8
    patience_s: float = 0.4
    stall_s: float = 2.0
    corrupt_limit: int = 3
    silence_s: float = 15.0
    source_backoff_s: float = 0.5
    source_backoff_limit_s: float = 8.0
