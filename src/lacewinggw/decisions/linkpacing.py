"""Limit the chunks in flight over this host's link, and detect a slow link or a slow source.

Chunks in flight precede live requests in the queue of the link, so a link that is slower than
expected gets fewer of them. A slow source (a slow link of its own, too little processor time) must
not count as a slow link: its chunks are late while those of other sources arrive in the expected
time, and the link has capacity for more of the latter.
"""

from collections.abc import Collection, Hashable
from dataclasses import dataclass, field

LATE_FACTOR = 3.0  # a busy sender may delay a chunk; beyond this the link or the source is slow
SLOW_FACTOR = 1.8  # a chunk usually shares the link with all others in flight
SMOOTHING_WEIGHT = 0.2  # of a new sample in the moving average of its source
# In flight while only one source is pending; the second shows which of the two is slow.
PROBE_LIMIT = 2


@dataclass(frozen=True)
class ChunkInFlight:
    """A requested chunk; `requested_at` is in seconds of the loop's clock."""

    source: Hashable
    requested_at: float


@dataclass
class LinkPacer:
    """Estimate the speed of the link from the transfer times of chunks.

    `limit` chunks may be in flight over a link of the expected bandwidth; each then takes
    `expected_s` at most. `_times` are smoothed transfer times of a chunk, by source.

        pacer = LinkPacer(expected_s=0.25, limit=3)
        pacer.record_arrival(fetch, now)
        pacer.current_limit(in_flight, now)
    """

    expected_s: float
    limit: int
    _times: dict[Hashable, float] = field(default_factory=dict)
    _arrived_at: float = 0.0

    @property
    def fastest_s(self) -> float:
        """The transfer time of a chunk from the fastest source; 0 before the first arrival."""
        return min(self._times.values(), default=0.0)

    def record_arrival(self, fetch: ChunkInFlight, now: float) -> None:
        """Record the transfer time of a chunk that has arrived."""
        took_s = now - fetch.requested_at
        smoothed_s = self._times.get(fetch.source, took_s)
        self._times[fetch.source] = smoothed_s + SMOOTHING_WEIGHT * (took_s - smoothed_s)
        self._arrived_at = now

    def record_superseded(self, fetch: ChunkInFlight, now: float) -> None:
        """Record that another source delivered a chunk before this one did."""
        smoothed_s = self._times.get(fetch.source, 0.0)
        self._times[fetch.source] = max(smoothed_s, now - fetch.requested_at)

    def is_late(self, fetch: ChunkInFlight, now: float) -> bool:
        """Return whether a chunk takes longer than a busy sender accounts for."""
        return now - fetch.requested_at > LATE_FACTOR * self.expected_s

    def is_source_slow(self, source: Hashable) -> bool:
        """Return whether the smoothed transfer time of a source counts as late."""
        return self._times.get(source, 0.0) > LATE_FACTOR * self.expected_s

    def current_limit(self, fetches: Collection[ChunkInFlight], now: float) -> int:
        """Return how many chunks may be in flight, late ones of slow sources not counted."""
        if self._has_no_arrivals(fetches, now):
            return PROBE_LIMIT if len(_sources(fetches)) == 1 else 1
        if self.fastest_s <= SLOW_FACTOR * self.expected_s:
            return self.limit
        return max(1, round(self.limit * self.expected_s / self.fastest_s))

    def is_link_slow(self, fetches: Collection[ChunkInFlight], now: float) -> bool:
        """Return whether the link, not a single source, is slow."""
        if self._has_no_arrivals(fetches, now) and len(_sources(fetches)) > 1:
            return True
        return self.fastest_s > SLOW_FACTOR * self.expected_s

    def count_using_link(self, fetches: Collection[ChunkInFlight], now: float) -> int:
        """Return how many chunks in flight use the link.

        Late chunks do not count while chunks of other sources arrive in time.
        """
        if self._has_no_arrivals(fetches, now):
            return len(fetches)
        return sum(not self.is_late(fetch, now) for fetch in fetches)

    def _has_no_arrivals(self, fetches: Collection[ChunkInFlight], now: float) -> bool:
        """Return whether the newest request is late and nothing arrived after it was sent."""
        newest_at = max((fetch.requested_at for fetch in fetches), default=now)
        return now - max(newest_at, self._arrived_at) > LATE_FACTOR * self.expected_s


def _sources(fetches: Collection[ChunkInFlight]) -> set[Hashable]:
    return {fetch.source for fetch in fetches}
