"""The queue of requests that wait at an entry for a target of one service.

The load it handles: more requests than the targets can start. An unbounded queue makes every answer
late. A queue bounded by waiting time serves as many requests on time as the targets can run, and
refuses the others at once with a time to retry. The order is by priority, then requests that can
still be on time, newest first, then late requests, oldest first. Within a priority, accounts that
are ahead of their fair share go after the others (`fairness.py`), and a burst of urgent requests
leaves a part to less urgent ones (`rankshares.py`).

Requests that can be on time are served newest first because in the order of arrival each would
start when its time has nearly run out: an overload of one second would make all of them late, and
keep them late.
"""

import heapq
import itertools
from collections import defaultdict
from collections.abc import Iterator, Set
from dataclasses import dataclass, field

from lacewinggw.decisions.fairness import AccountShares
from lacewinggw.decisions.rankshares import RankShares
from lacewinggw.ids import Account

# Retried requests go before all others: targets have already worked on them, and their callers may
# have received part of the answer.
RETRY_PRIORITY = -1
NO_ACCOUNT = Account("")  # of all requests that name none
START_GAP_WEIGHT = 0.1  # weight of a new sample in the smoothed time between starts
LATE_SHARE_WEIGHT = 0.1  # weight of one late request in the share of them that started
MIN_LATE_SHARE = 0.1  # above 0, so that some late requests still wait and provide samples
MAX_START_GAP_S = 0.5  # a longer gap is a pause in demand, not the rate at which targets start work


@dataclass(order=True)
class Waiter:
    """A queued request; `until` is when it is refused, in seconds of the loop's clock."""

    rank: tuple[int, int, float, int]
    until: float = field(compare=False)
    is_removed: bool = field(default=False, compare=False)
    account: Account = field(default=NO_ACCOUNT, compare=False)
    service_s: float = field(default=0.0, compare=False)

    @property
    def priority(self) -> int:
        """The priority of the request; the lowest number goes first."""
        return self.rank[0]

    @property
    def share(self) -> tuple[int, Account]:
        """The priority and the account, among which targets are shared."""
        return self.rank[0], self.account

    @property
    def is_late(self) -> bool:
        """Whether the request can no longer be on time."""
        return self.rank[1] > 0


class WaitQueue:
    """The waiting requests of one service.

    queue = WaitQueue()
    if queue.expected_wait(priority, is_late=False) <= budget.wait_s:
        waiter = queue.add(priority, is_late=False, until=now + budget.wait_s)
    """

    def __init__(self, first_priority: int = RETRY_PRIORITY) -> None:
        self.ranks = RankShares(first_priority)
        self._accounts: dict[int, AccountShares] = defaultdict(AccountShares)  # by priority
        self._heap: list[Waiter] = []
        self._numbers = itertools.count()
        self._waiting = 0
        self._start_gap_s = 0.0
        self._started_at: float | None = None
        self._late_share = 1.0

    def __len__(self) -> int:
        return self._waiting

    @property
    def late_share(self) -> float:
        """The share of late requests that recently started, from `MIN_LATE_SHARE` to 1.

        Late requests start after a burst, but hardly ever during a lasting overload.
        """
        return max(MIN_LATE_SHARE, self._late_share)

    def note_late_outcome(self, started: bool) -> None:
        """Note whether a late request that waited has started."""
        self._late_share += LATE_SHARE_WEIGHT * (float(started) - self._late_share)

    def expected_wait(self, priority: int, is_late: bool) -> float:
        """Return the expected wait of one more request, in seconds."""
        rank = (priority, int(is_late))
        ahead = sum(1 for each in self._heap if not each.is_removed and each.rank[:2] < rank)
        if is_late:
            ahead += sum(1 for each in self._heap if not each.is_removed and each.rank[:2] == rank)
        return ahead * self._start_gap_s

    def add(
        self,
        priority: int,
        is_late: bool,
        until: float,
        arrived_at: float | None = None,
        account: Account = NO_ACCOUNT,
        service_s: float = 0.0,
    ) -> Waiter:
        """Add a request; a late one is queued behind those that can be on time.

        Its position is by `arrived_at` if given, then by the order of the calls. It takes an
        estimated `service_s` of a target's time.
        """
        order = (arrived_at or 0.0, next(self._numbers))
        age, number = order if is_late else (-order[0], -order[1])
        rank = (priority, int(is_late), age, number)
        waiter = Waiter(rank, until, False, account, service_s)
        heapq.heappush(self._heap, waiter)
        self._waiting += 1
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Remove a request that starts, is refused, or whose caller has disconnected."""
        if waiter.is_removed:
            return
        waiter.is_removed = True
        self._waiting -= 1
        while self._heap and self._heap[0].is_removed:
            heapq.heappop(self._heap)

    def in_order(self) -> Iterator[Waiter]:
        """Yield the queued requests, the next one first."""
        excess = self.excess()
        waiting = sorted(self._live(), key=_rank_of)
        if not excess and (not waiting or waiting[0].priority == waiting[-1].priority):
            yield from waiting
            return
        by_priority: dict[int, list[Waiter]] = defaultdict(list)
        for waiter in waiting:
            by_priority[waiter.priority].append(waiter)
        for priority in self.ranks.order(by_priority):
            if excess:
                by_priority[priority].sort(key=lambda each: each.share in excess)
            yield from by_priority[priority]

    def excess(self) -> Set[tuple[int, Account]]:
        """Return the accounts that are ahead of their share while others of a priority wait."""
        shares = {(waiter.rank[0], waiter.account) for waiter in self._live()}
        if len(shares) < 2:
            return frozenset()
        ahead = {share for share in shares if self._accounts[share[0]].is_ahead(share[1])}
        if not ahead:
            return frozenset()
        contended = {priority for priority, _ in shares - ahead}
        return {share for share in ahead if share[0] in contended}

    def is_excess(self, priority: int, account: Account) -> bool:
        """Return whether one more request would go after those of other accounts that wait."""
        shares = self._accounts[priority]
        if not shares.is_ahead(account):
            return False
        return any(
            waiter.priority == priority and not shares.is_ahead(waiter.account)
            for waiter in self._live()
        )

    def note_request(self, priority: int, account: Account, now: float) -> None:
        """Note a request before it is queued."""
        self._accounts[priority].note_request(account, now, is_idle=not self._waiting)

    def note_served(self, priority: int, account: Account, service_s: float, now: float) -> None:
        """Note whose request starts, once it is no longer queued."""
        self.ranks.note_start(priority, {waiter.priority for waiter in self._live()}, now)
        self._accounts[priority].note_start(account, service_s, now)

    def _live(self) -> list[Waiter]:
        return [waiter for waiter in self._heap if not waiter.is_removed]

    def scale_start_gap(self, factor: float) -> None:
        """Adjust the expected time between starts to slots that were added or taken away."""
        self._start_gap_s = min(MAX_START_GAP_S, factor * self._start_gap_s)

    def note_start(self, now: float) -> None:
        """Note that a request started at a target, with or without a wait."""
        last, self._started_at = self._started_at, now
        if last is None or not self._waiting:
            return
        gap_s = min(MAX_START_GAP_S, now - last)
        self._start_gap_s += START_GAP_WEIGHT * (gap_s - self._start_gap_s)


def _rank_of(waiter: Waiter) -> tuple[int, int, float, int]:
    return waiter.rank
