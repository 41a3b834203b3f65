"""How fast chunks come in over this host's link, and whether the link or one source is to blame.

Whatever is on its way stands before live requests in the link's queue, so a link that turns out to
be narrow gets fewer chunks at once. A source that is slow by itself (its own link is narrow, its
host is short of processor time) must not count as that: its chunks are late while those of others
come as usual, and the link has room for more of these.
"""

from collections.abc import Collection, Hashable
from dataclasses import dataclass, field

LATE_FACTOR = 3.0  # a chunk may meet a busy sender; over this it is the link or the source
SLOW_FACTOR = 1.8  # a chunk usually shares the link with as many as may be on their way
SMOOTHING_WEIGHT = 0.2  # weight of a new chunk in the smoothed time of its source
PROBE_LIMIT = 2  # chunks while one source alone is waited for: the second tells link from source


@dataclass(frozen=True)
class ChunkInFlight:
    """A chunk that was asked of a source, in seconds of the loop's clock."""

    source: Hashable
    requested_at: float


@dataclass
class LinkPacer:
    """What chunks that came tell of the link.

    `limit` chunks may be on their way over a link of the expected width, and each then takes
    `usual_s` at most.

        pace = LinkPace(usual_s=0.25, limit=3)
        pace.note_arrival(fetch, now)
        pace.limit_now(on_their_way, now)
    """

    expected_s: float
    limit: int
    _times: dict[Hashable, float] = field(default_factory=dict)  # of a chunk, from each source
    _arrived_at: float = 0.0

    @property
    def fastest_s(self) -> float:
        """How long a chunk takes from the quickest source; 0 before the first has come."""
        return min(self._times.values(), default=0.0)

    def record_arrival(self, fetch: ChunkInFlight, now: float) -> None:
        """Note that a chunk came."""
        took_s = now - fetch.requested_at
        known_s = self._times.get(fetch.source, took_s)
        self._times[fetch.source] = known_s + SMOOTHING_WEIGHT * (took_s - known_s)
        self._arrived_at = now

    def record_superseded(self, fetch: ChunkInFlight, now: float) -> None:
        """Note that a chunk came from elsewhere before this source gave it."""
        known_s = self._times.get(fetch.source, 0.0)
        self._times[fetch.source] = max(known_s, now - fetch.requested_at)

    def is_late(self, fetch: ChunkInFlight, now: float) -> bool:
        """Return whether a chunk takes longer than a busy sender explains."""
        return now - fetch.requested_at > LATE_FACTOR * self.expected_s

    def is_source_slow(self, source: Hashable) -> bool:
        """Return whether chunks of a source are usually late."""
        return self._times.get(source, 0.0) > LATE_FACTOR * self.expected_s

    def current_limit(self, fetches: Collection[ChunkInFlight], now: float) -> int:
        """Return how many chunks may be on their way, late ones of slow sources left out."""
        if self._is_quiet(fetches, now):
            return PROBE_LIMIT if len(_sources(fetches)) == 1 else 1
        if self.fastest_s <= SLOW_FACTOR * self.expected_s:
            return self.limit
        return max(1, round(self.limit * self.expected_s / self.fastest_s))

    def is_link_slow(self, fetches: Collection[ChunkInFlight], now: float) -> bool:
        """Return whether the link is to blame for what is late, not one source."""
        if self._is_quiet(fetches, now) and len(_sources(fetches)) > 1:
            return True
        return self.fastest_s > SLOW_FACTOR * self.expected_s

    def count_using_link(self, fetches: Collection[ChunkInFlight], now: float) -> int:
        """Return how many chunks fill the link: late ones do not while others come as usual."""
        if self._is_quiet(fetches, now):
            return len(fetches)
        return sum(not self.is_late(fetch, now) for fetch in fetches)

    def _is_quiet(self, fetches: Collection[ChunkInFlight], now: float) -> bool:
        """Return whether nothing came since the last chunk that is late by now was asked for."""
        newest_at = max((fetch.requested_at for fetch in fetches), default=now)
        return now - max(newest_at, self._arrived_at) > LATE_FACTOR * self.expected_s


def _sources(fetches: Collection[ChunkInFlight]) -> set[Hashable]:
    return {fetch.source for fetch in fetches}
