"""A bounded queue, ordered by priority and then by weighted fair share between client accounts.

Higher priorities go first, but after several of them in a row one lower request is served, so that
none starves. Within a priority, accounts share by weight (start-time fair queueing): an account
that offers ten times as much gets no more than its share while others wait. When the queue is full,
the newest request of the account furthest over its share is evicted, so that no account can crowd
out the others.

`AccountShares` applies the same rule to queues that have an order of their own, those for the slots
of targets. The load it handles: some accounts ask for more than their share of a target while all
accounts together ask for more than it can do. An account that asks for less than its share keeps
the order that the queue has without accounts. The share is of the target's time, since a long
request costs as much as several short ones.
"""

import itertools
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from lacewinggw.generated.messages.ttypes import Priority
from lacewinggw.ids import Account

MAX_HIGHER_IN_ROW = 9  # requests of higher priority served in a row while a lower one waits

# Target time by which an account may be ahead of its share, its last request not counted: about two
# requests of typical size. Requests of an account that asks for less than its share also arrive in
# groups, and one request may be long; neither is passed over for that.
MAX_LEAD_S = 0.25
# No account is further ahead than this, so that one that asks for less again is soon treated like
# the others.
LEAD_LIMIT_S = 1.2
# Share of the time without waiting requests that counts as served to every account. A lead is
# forgiven within two seconds in which nobody waits: what is used then is taken from nobody.
IDLE_CREDIT = 0.6
# No account is to be served less than a quarter as often as all together. One that is served less
# than this part as often is treated as if it were within its share, as few requests tell little.
MIN_SERVED_PART = 0.5
SERVED_WEIGHT = 0.05  # weight of one request in the smoothed share of requests that started
ACTIVE_S = 4.0  # after its last request an account has a share for this long
MAX_ACCOUNTS = 4096  # accounts whose state is kept; those that asked least recently are dropped

Payload = TypeVar("Payload")


@dataclass(eq=False)
class QueueItem(Generic[Payload]):
    """One waiting request. Times in seconds, by the process's own clock."""

    payload: Payload | None  # None for an item that is only checked for admission
    account: Account
    priority: Priority
    weight: float
    arrived: float
    deadline: float
    finish_tag: float = 0.0

    def require_payload(self) -> Payload:
        """Return the payload of a queued item."""
        assert self.payload is not None, "only checked for admission, never queued"
        return self.payload


@dataclass
class _Lane(Generic[Payload]):
    """The waiting requests of one priority, by account."""

    by_account: dict[Account, deque[QueueItem[Payload]]] = field(default_factory=dict)
    last_tags: dict[Account, float] = field(default_factory=dict)
    virtual_time: float = 0.0
    length: int = 0
    passed_over: int = 0

    def append(self, item: QueueItem[Payload]) -> None:
        item.finish_tag = self.next_tag(item)
        self.last_tags[item.account] = item.finish_tag
        self.by_account.setdefault(item.account, deque()).append(item)
        self.length += 1

    def next_tag(self, item: QueueItem[Payload]) -> float:
        start = max(self.virtual_time, self.last_tags.get(item.account, 0.0))
        return start + 1.0 / item.weight

    def head(self) -> QueueItem[Payload] | None:
        heads = (waiting[0] for waiting in self.by_account.values())
        return min(heads, key=lambda item: item.finish_tag, default=None)

    def pop(self) -> QueueItem[Payload]:
        item = self.head()
        assert item is not None, "pop() from an empty lane"
        self.virtual_time = max(self.virtual_time, item.finish_tag - 1.0 / item.weight)
        self.remove(item)
        return item

    def remove(self, item: QueueItem[Payload]) -> None:
        waiting = self.by_account[item.account]
        if waiting[0] is item:
            waiting.popleft()
        else:
            waiting.remove(item)
        self.length -= 1
        if not waiting:
            del self.by_account[item.account]
        if not self.length:
            self.last_tags.clear()
            self.virtual_time = 0.0

    def evict_newest(self, account: Account) -> QueueItem[Payload]:
        item = self.by_account[account][-1]
        self.remove(item)
        if account in self.last_tags:
            self.last_tags[account] -= 1.0 / item.weight
        return item

    def most_over_share(self, extra: QueueItem[Payload] | None = None) -> Account:
        """Return the account with the most waiting requests by weight, `extra` included."""
        overshoot = {
            account: len(waiting) / waiting[0].weight
            for account, waiting in self.by_account.items()
        }
        if extra is not None:
            overshoot[extra.account] = overshoot.get(extra.account, 0.0) + 1.0 / extra.weight
        return max(overshoot, key=lambda account: (overshoot[account], account))


class FairQueue(Generic[Payload]):
    """A queue of at most `limit` requests.

    queue = FairQueue(64)
    evicted = queue.push(item)  # the item itself if it does not fit
    item = queue.pop()
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._lanes: dict[Priority, _Lane[Payload]] = {each: _Lane() for each in Priority}

    def __len__(self) -> int:
        return sum(lane.length for lane in self._lanes.values())

    def length_of(self, priority: Priority) -> int:
        """Return how many requests of a priority are queued."""
        return self._lanes[priority].length

    def push(self, item: QueueItem[Payload]) -> QueueItem[Payload] | None:
        """Add a request; return the evicted one, which may be the same, or None."""
        self._lanes[item.priority].append(item)
        if len(self) <= self.limit:
            return None
        lowest = max(priority for priority, lane in self._lanes.items() if lane.length)
        lane = self._lanes[lowest]
        return lane.evict_newest(lane.most_over_share())

    def pop(self, least: Priority = Priority.BULK) -> QueueItem[Payload] | None:
        """Remove and return the next request of priority `least` or higher, or None."""
        waiting = [each for each in Priority if each <= least and self._lanes[each].length]
        if not waiting:
            return None
        chosen = next(
            (each for each in waiting if self._lanes[each].passed_over >= MAX_HIGHER_IN_ROW),
            waiting[0],
        )
        for each in waiting:
            self._lanes[each].passed_over += each > chosen
        self._lanes[chosen].passed_over = 0
        return self._lanes[chosen].pop()

    def remove(self, item: QueueItem[Payload]) -> None:
        """Remove a request that no longer waits."""
        self._lanes[item.priority].remove(item)

    def count_ahead(self, item: QueueItem[Payload]) -> int:
        """Return how many queued requests would be served before an item."""
        lane = self._lanes[item.priority]
        tag = lane.next_tag(item)
        same = sum(each.finish_tag <= tag for each in _items(lane))
        return same + sum(self._lanes[each].length for each in Priority if each < item.priority)

    def would_accept(self, item: QueueItem[Payload]) -> bool:
        """Return whether an item would stay in the queue if pushed now."""
        if len(self) < self.limit:
            return True
        lowest = max(priority for priority, lane in self._lanes.items() if lane.length)
        if item.priority != lowest:
            return item.priority < lowest
        return self._lanes[lowest].most_over_share(item) != item.account

    def remove_expired(self, now: float) -> list[QueueItem[Payload]]:
        """Remove and return the requests whose deadline has passed."""
        late = [item for item in self if item.deadline <= now]
        for item in late:
            self.remove(item)
        return late

    def __iter__(self) -> Iterator[QueueItem[Payload]]:
        return itertools.chain.from_iterable(_items(lane) for lane in self._lanes.values())


def _items(lane: _Lane[Payload]) -> Iterator[QueueItem[Payload]]:
    return itertools.chain.from_iterable(lane.by_account.values())


@dataclass
class _AccountState:
    """The share of one account: the virtual times at which its last request started and ended."""

    served: float  # smoothed share of its requests that started
    start_tag: float = 0.0
    finish_tag: float = 0.0
    is_underserved: bool = False
    asked_at: float = 0.0


@dataclass
class AccountShares:
    """How far each client account is ahead of its fair share of a target; times in seconds.

    Start-time fair queueing: each start adds the estimated target time of the request to the tag of
    its account. Virtual time grows by the equal share of an active account, and no tag stays behind
    it, so an account that asks for less than its share is never ahead.

        shares.note_request(account, now, is_idle=not waiting)
        if shares.is_ahead(account): ...
        shares.note_start(account, service_s, now)
    """

    _states: dict[Account, _AccountState] = field(default_factory=dict)  # by their last request
    _virtual_time: float = 0.0
    _changed_at: float = 0.0
    _served: float = 1.0  # smoothed share of all requests that started

    def note_request(self, account: Account, now: float, is_idle: bool) -> None:
        """Note a request; `is_idle` if none has waited since the previous call."""
        if is_idle:
            self._virtual_time += IDLE_CREDIT * (now - self._changed_at)
        self._changed_at = now
        state = self._states.pop(account, None) or _AccountState(self._served)
        self._states[account] = state
        state.asked_at = now
        state.is_underserved = state.served < MIN_SERVED_PART * self._served
        state.served *= 1 - SERVED_WEIGHT
        self._served *= 1 - SERVED_WEIGHT
        self._drop_inactive(now)

    def note_start(self, account: Account, service_s: float, now: float) -> None:
        """Note that a request of an account starts, which takes the target `service_s`."""
        self._changed_at = now
        self._served += SERVED_WEIGHT
        state = self._states.get(account)
        if state is not None:
            state.served += SERVED_WEIGHT
            state.start_tag = max(state.finish_tag, self._virtual_time)
            limit = self._virtual_time + LEAD_LIMIT_S
            state.finish_tag = min(state.start_tag + service_s, limit)
        self._virtual_time += service_s / max(1, len(self._states))

    def is_ahead(self, account: Account) -> bool:
        """Return whether the requests of an account go after those of the others."""
        state = self._states.get(account)
        if state is None or state.is_underserved:
            return False
        return state.start_tag - self._virtual_time > MAX_LEAD_S

    def _drop_inactive(self, now: float) -> None:
        while len(self._states) > 1:
            oldest = next(iter(self._states))
            if len(self._states) <= MAX_ACCOUNTS and self._states[oldest].asked_at > now - ACTIVE_S:
                return
            del self._states[oldest]
