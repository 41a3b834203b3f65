"""The sources of chunks, the state of each, and the back-off after failures."""

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias

from lacewinggw.decisions.chunkavailability import ChunkSet
from lacewinggw.decisions.linkpacing import ChunkInFlight
from lacewinggw.ids import HostId, Incarnation, Place


@dataclass(frozen=True)
class Neighbour:
    """Another host that is to hold the release."""

    host: HostId


@dataclass(frozen=True)
class Origin:
    """The origin of weights."""


@dataclass(frozen=True)
class Store:
    """The rate-limited weight store."""


Source: TypeAlias = Neighbour | Origin | Store

# After the end of its back-off, a failed source that is not asked again counts as available.
FAILURE_KNOWN_S = 1.0
MAX_BACKOFF_DOUBLINGS = 10  # limit on the exponent, applied before the limit of the back-off

ORIGIN = Origin()
STORE = Store()
SOURCE_NAMES: Mapping[Source, str] = {ORIGIN: "origin", STORE: "weight-store"}


class FetchFailure(Enum):
    """The reason why a source did not deliver a chunk."""

    LOST = "lost"
    BUSY = "busy"
    STALLED = "stalled"
    REFUSED = "refused"
    CORRUPT = "corrupt"


@dataclass
class NeighbourState:
    """The state of a connected neighbour; times are in seconds of the loop's clock.

    `requestable` holds those of its chunks that are missing here and not in flight. `is_excluded`
    is set after it has sent too many corrupt chunks.
    """

    place: Place
    incarnation: Incarnation
    is_excluded: bool = False
    chunks: set[int] = field(default_factory=set)
    requestable: ChunkSet = field(default_factory=ChunkSet)
    requested: set[int] = field(default_factory=set)
    corrupt: int = 0
    has_reported: bool = False
    upload_queue_length: int = 0
    last_received_at: float = 0.0
    backoff_until: float = 0.0


@dataclass
class SourceState:
    """Recent failures of the origin or the weight store."""

    failures: int = 0
    backoff_until: float = 0.0
    corrupt: int = 0


@dataclass
class Fetch:
    """One chunk in flight from one source."""

    source: Source
    requested_at: float
    progress_at: float

    def to_in_flight(self) -> ChunkInFlight:
        """Return the fields that `LinkPacer` needs."""
        return ChunkInFlight(self.source, self.requested_at)


@dataclass(frozen=True)
class SpreadRules:
    """Parameters of chunk scheduling; times in seconds, rates in bytes per second.

    `in_flight` limits the chunks requested from one neighbour, `in_flight_total` those from all
    neighbours. `has_store` is whether a weight store exists in addition to the origin.
    `origin_bytes_per_s` is the rate of the origin's link, None if unknown.
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
    has_store: bool = True
    origin_bytes_per_s: float | None = None


class PlatformSources:
    """Choose between the origin and the weight store, with back-off after failures."""

    def __init__(self, rules: SpreadRules, rng: random.Random) -> None:
        self._rules = rules
        self._rng = rng
        self.failure_count = 0  # of all sources, since the download began
        self._states: dict[Source, SourceState] = {ORIGIN: SourceState()}
        if rules.has_store:
            self._states[STORE] = SourceState()

    @property
    def failures(self) -> int:
        """The number of failures since each last sent a chunk."""
        return sum(state.failures for state in self._states.values())

    def is_failing(self, now: float) -> bool:
        """Return whether every source failed when it was last asked, which was recently."""
        return all(
            state.failures and now < state.backoff_until + FAILURE_KNOWN_S
            for state in self._states.values()
        )

    @property
    def corrupt_sources(self) -> list[str]:
        """The names of those that have sent too many corrupt chunks."""
        limit = self._rules.corrupt_limit
        return [
            SOURCE_NAMES[source] for source, state in self._states.items() if state.corrupt >= limit
        ]

    def pick(self, now: float) -> Source | None:
        """Return the source to use: the origin if it is not in back-off; None if both are."""
        usable = (source for source, state in self._states.items() if state.backoff_until <= now)
        return next(usable, None)

    def record_success(self, source: Source) -> None:
        """Record a delivered chunk, which resets the back-off."""
        self._states[source].failures = 0

    def record_available(self) -> None:
        """End all back-offs."""
        for state in self._states.values():
            state.failures = 0
            state.backoff_until = 0.0

    def record_failure(self, source: Source, corrupt: bool, now: float) -> None:
        """Back off from a source, longer with each consecutive failure."""
        state = self._states[source]
        state.failures += 1
        self.failure_count += 1
        state.corrupt += int(corrupt)
        rules = self._rules
        backoff_s = rules.source_backoff_s * 2 ** min(state.failures - 1, MAX_BACKOFF_DOUBLINGS)
        backoff_s = min(backoff_s, rules.source_backoff_limit_s)
        state.backoff_until = now + backoff_s * (0.5 + self._rng.random())
