"""How the ranks of requests share a target whose capacity is short.

The load it handles: requests of several ranks, together more than the target can start. The most
urgent go first. Callers of the least urgent wait longer, so without more rules theirs are the
requests that are still queued when a slot becomes free, while urgent ones were refused because
newer urgent ones arrived. Three rules follow:

- After `MAX_URGENT_IN_ROW` starts of a rank, a waiting request of a less urgent one goes next, so
  that a burst of urgent requests leaves a quarter to all less urgent ranks together.
- While less urgent ranks have recently started here, an urgent request that can be on time stays
  queued longer: it is not refused for others ahead of it that also wait at other targets.
- A less urgent request that can wait for further slots leaves free as many as urgent requests are
  expected until the next one becomes free, unless less urgent ones hold less than a quarter.

Rank `first` is that of requests that targets have already worked on. They go before all others,
and none of these rules counts them: with one other rank, everything is as without the rules.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

LOWER_SHARE = 0.25  # of the starts and slots, for all ranks below another one together
MAX_URGENT_IN_ROW = round(1 / LOWER_SHARE) - 1
# Starts count for this long. Urgent requests wait for some tenths of a second, and a target starts
# several in that time; over two seconds the share of each rank is more than chance.
RECENT_S = 2.0


@dataclass
class RankShares:
    """The recent starts of each rank at one target, or at the targets of one queue.

    ranks = RankShares(first=0)
    for rank in ranks.order(waiting_ranks): ...
    ranks.note_start(rank, waiting_ranks, now)
    """

    first: int
    _in_row: dict[int, int] = field(default_factory=dict)  # while less urgent ones waited
    _started_at: dict[int, float] = field(default_factory=dict)
    _rates: dict[int, float] = field(default_factory=dict)  # starts in the last RECENT_S, decayed

    def order(self, waiting: Iterable[int]) -> list[int]:
        """Return the ranks in the order in which their requests start."""
        ranks = sorted(set(waiting))
        if len(ranks) < 2:
            return ranks
        urgent, lower = ranks[0], self.order(ranks[1:])
        if urgent != self.first and self._in_row.get(urgent, 0) >= MAX_URGENT_IN_ROW:
            return [lower[0], urgent, *lower[1:]]
        return [urgent, *lower]

    def note_start(self, rank: int, waiting: Iterable[int], now: float) -> None:
        """Note that a request of a rank starts while requests of `waiting` ranks wait."""
        if rank == self.first:
            return
        for urgent in [each for each in self._in_row if each < rank]:
            del self._in_row[urgent]
        if any(each > rank for each in waiting):
            self._in_row[rank] = self._in_row.get(rank, 0) + 1
        self._rates[rank] = self._recent_starts(rank, now) + 1.0
        self._started_at[rank] = now

    def displaces(self, rank: int, now: float) -> bool:
        """Return whether a rank may displace others: less urgent ones have recently started."""
        if rank == self.first:
            return False
        return any(lower > rank and now - at < RECENT_S for lower, at in self._started_at.items())

    def urgent_rate(self, rank: int, now: float) -> float:
        """Return how many requests of more urgent ranks recently started per second."""
        urgent = [each for each in self._rates if each < rank]
        return sum(self._recent_starts(each, now) for each in urgent) / RECENT_S

    def _recent_starts(self, rank: int, now: float) -> float:
        if rank not in self._started_at:
            return 0.0
        age_s = now - self._started_at[rank]
        return self._rates[rank] * math.exp(-age_s / RECENT_S)
