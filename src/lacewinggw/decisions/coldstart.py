"""How many requests a cold target gets, and until when it is cold.

The load it handles: a target that has just started, or is cold for another reason, works slowly for
some seconds and tolerates only some requests a second from all entries together. Ten of twenty
targets may be cold at once while a burst arrives, and 6 to 98 entries have requests for them. A
cold target looks idle, so without a limit all entries would choose it first.

The tolerated requests of any second are divided in advance, without messages. The agent beside the
target paces the slots that it grants by the larger part. The rest is for entries that send without
a slot because they do not hear the agent: a few entries hold it, those that hold rate limits of
targets too. Both parts may be used up at once, so neither side needs to know whether the other is
alive. A service without agents leaves everything to the entries.

Reports of how long a target stays cold come from its row, its answers, its agent and other entries.
The report with the newest observation counts; it may lengthen or shorten the period.
"""

import math
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from lacewinggw.decisions.targetrate import Allowance

# The spread between the times that requests take from their slot to the target. An entry gives up
# a connection that takes longer than this to open.
ARRIVAL_SPREAD_S = 0.25
# Requests that start within this time may arrive within one second.
WINDOW_S = 1.0 + ARRIVAL_SPREAD_S
# Entries learn of a new entry within about a second, and may count on different holders until then.
# A new holder starts without a token and earns one a second, so this many requests are in excess.
LIST_MARGIN = 1
DIRECT_HOLDERS = 3  # one of them may fail, and another may be cut off from the target
MIN_AGENT_SHARE = 0.75  # of the tolerated requests: entries without the agent are the exception
RATE_MARGIN = 0.99  # keeps an exact multiple of the window from counting once more
# After the cold period the target's caches are warm, but its slots are free at all entries at once.
# The rate rises to a multiple of the cold one before the limit ends: with a usual one of some 14
# requests a second to more than a warm target starts.
RAMP_S = 2.0
RAMP_FACTOR = 4.0
# A request that a cold target would start later than this is sent elsewhere. Objectives are some
# tenths of a second, and asking the next agent takes a few milliseconds.
MAX_LIMITED_WAIT_S = 0.1
# A report that does not change whether a target is cold is only taken if it is newer, or its period
# longer, by this much: reports that are passed on take some time to arrive.
REFRESH_S = 0.25


class ColdSource(Enum):
    """Where a process learned from that a target is cold or not."""

    ROW = "row"  # the target's row in the store
    ANSWER = "answer"  # an answer of the target
    AGENT = "agent"  # the agent beside the target
    ENTRY = "entry"  # another entry
    START = "start"  # the target's own report shows a new start


@dataclass(frozen=True)
class ColdReport:
    """A report that a target stays cold for `remaining_s` more, 0 for one that is not cold.

    `seen_at` is when that was observed, in seconds of a clock that continues while a host is
    suspended.
    """

    remaining_s: float
    seen_at: float
    source: ColdSource


@dataclass
class ColdPeriod:
    """Until when one start of a target is cold, in seconds of the loop's clock.

    if period.note(ColdReport(3.0, seen_at, ColdSource.ROW), now): ...  # it has become cold
    factor = period.limit_factor(now)
    """

    until: float = -math.inf
    seen_at: float = -math.inf
    source: ColdSource = ColdSource.ROW

    def note(self, report: ColdReport, now: float) -> bool:
        """Take a report if it is the newest; return whether the target became cold or warm."""
        was_cold, is_cold = self.is_cold(now), report.remaining_s > 0
        if not self._is_news(report, now):
            return self._extend_start(report, now)
        self.seen_at, self.source = report.seen_at, report.source
        if is_cold:
            self.until = now + report.remaining_s
        elif was_cold:
            self.until = now
        return is_cold != was_cold

    def is_cold(self, now: float) -> bool:
        """Return whether the target is cold."""
        return now < self.until

    def is_limited(self, now: float) -> bool:
        """Return whether the target is cold, or was until recently."""
        return math.isfinite(self.limit_factor(now))

    def remaining_s(self, now: float) -> float:
        """Return for how long the target stays cold."""
        return max(0.0, self.until - now)

    def limit_factor(self, now: float) -> float:
        """Return the permitted rate as a multiple of the cold one, infinite without a limit."""
        since_s = now - self.until
        if since_s < 0:
            return 1.0
        if since_s >= RAMP_S:
            return math.inf
        return 1.0 + (RAMP_FACTOR - 1.0) * since_s / RAMP_S

    def _extend_start(self, report: ColdReport, now: float) -> bool:
        """Lengthen a period that was assumed from a start by an older report; return if it began.

        An agent that has started itself takes its target for new, and does not know for how long
        the target had been cold already or stays so.
        """
        if self.source is not ColdSource.START or report.remaining_s <= self.remaining_s(now):
            return False
        was_cold = self.is_cold(now)
        self.until = now + report.remaining_s
        return not was_cold

    def _is_news(self, report: ColdReport, now: float) -> bool:
        if report.seen_at <= self.seen_at:
            return False
        match report.source:
            case ColdSource.AGENT:
                # The agent knows starts before the list does. Of an end it learns from entries.
                return report.remaining_s > self.remaining_s(now) + REFRESH_S
            case ColdSource.ENTRY if self.is_cold(now) == (report.remaining_s > 0):
                return report.seen_at > self.seen_at + REFRESH_S
            case _:
                return True


@dataclass(frozen=True)
class ColdTolerance:
    """What all entries together may send a cold target of a service, beyond its `per_s`.

    In any second that is `per_s` times `overshoot`, plus `slack` requests.
    """

    overshoot: float = 1.0
    slack: float = 0.0


@dataclass(frozen=True)
class ColdLimit:
    """The division of the requests that one cold target tolerates.

    The agent grants `agent_per_s`, up to `agent_burst` at once, and at most `agent_requests` in any
    `WINDOW_S`. Entries send `direct_per_s` without a slot and at most `direct_requests` in any
    `WINDOW_S`, all together.
    """

    agent_per_s: float
    agent_burst: int
    agent_requests: int
    direct_per_s: float
    direct_requests: int

    def share_direct(self, holders: int) -> float:
        """Return the rate at which each of some holders may send, with a burst of one request."""
        if not holders or holders > self.direct_requests:
            return 0.0
        most = self.direct_requests // holders
        return min(self.direct_per_s / holders, RATE_MARGIN * most / WINDOW_S)

    def count_holders(self) -> int:
        """Return how many entries may send without a slot.

        Each may send twice in a second where the limit allows it; a small limit has one holder.
        """
        if self.direct_requests <= DIRECT_HOLDERS:
            return self.direct_requests
        return max(DIRECT_HOLDERS, self.direct_requests // 2)


def divide_limit(per_s: float, tolerance: ColdTolerance, has_agents: bool) -> ColdLimit:
    """Divide what a cold target tolerates; `has_agents` for a service whose targets have agents.

    >>> limit = divide_limit(14.0, ColdTolerance(1.5, 5.0), has_agents=True)
    >>> limit.agent_per_s, limit.agent_burst, limit.agent_requests, limit.direct_requests
    (14.0, 5, 22, 3)
    """
    whole = max(1, math.floor(per_s * tolerance.overshoot + tolerance.slack) - LIST_MARGIN)
    if not has_agents:
        return ColdLimit(0.0, 0, 0, per_s, whole)
    direct = min(DIRECT_HOLDERS, math.floor((1.0 - MIN_AGENT_SHARE) * whole))
    requests = whole - direct
    rate = min(per_s, RATE_MARGIN * requests / WINDOW_S)
    burst = max(1, requests - math.floor(rate * WINDOW_S))
    return ColdLimit(rate, burst, requests, per_s, direct)


@dataclass
class ColdLimiter:
    """Paces the slots that an agent grants while its target is cold, and for a while after it.

    Slots that were granted before the agent knew that the target is cold count as well. Without a
    limit of the service nothing is paced or counted.

        limiter.note_report(report, now)
        if limiter.opens_at(now) <= now:
            limiter.note_start(now)
    """

    period: ColdPeriod = field(default_factory=ColdPeriod)
    _limit: ColdLimit | None = None
    _bucket: Allowance | None = None
    _starts: deque[float] = field(default_factory=deque)

    @property
    def has_limit(self) -> bool:
        """Whether the service limits the requests to cold targets."""
        return self._limit is not None

    def set_limit(self, limit: ColdLimit | None) -> None:
        """Set the limit of the service, None if it has none."""
        if limit != self._limit:
            self._limit, self._bucket = limit, None

    def begin_start(self) -> None:
        """Forget everything about the target, because it has started anew."""
        self.period = ColdPeriod()
        self._bucket = None
        self._starts.clear()

    def note_report(self, report: ColdReport, now: float) -> bool:
        """Take a report of the cold period; return whether the target became cold or warm."""
        has_changed = self.period.note(report, now)
        self._refresh(now)
        return has_changed

    def opens_at(self, now: float, requests: int = 1) -> float:
        """Return when so many more requests may have started; now if nothing limits them."""
        bucket = self._refresh(now)
        if bucket is None or self._limit is None:
            return now
        opens_at = bucket.opens_at(now, requests)
        most = self._limit.agent_requests
        if self.period.is_cold(now) and len(self._starts) >= most:
            opens_at = max(opens_at, self._starts[-most] + WINDOW_S)
        return opens_at

    def note_start(self, now: float) -> None:
        """Note that a slot is granted."""
        if self._limit is None:
            return
        self._starts.append(now)
        while self._starts[0] <= now - WINDOW_S:
            self._starts.popleft()
        if self._bucket is not None:
            self._bucket.spend(now)

    def _refresh(self, now: float) -> Allowance | None:
        """Return the bucket with the rate of now; it begins empty when the target turns cold."""
        factor = self.period.limit_factor(now)
        if self._limit is None or math.isinf(factor):
            self._bucket = None
            return None
        if self._bucket is None:
            self._bucket = Allowance(self._limit.agent_per_s, now, self._limit.agent_burst)
        self._bucket.set_share(factor * self._limit.agent_per_s, now)
        return self._bucket


@dataclass
class DirectAllowance:
    """What one entry may send a cold target without a slot.

    allowance = DirectAllowance(load.cold, share_per_s=0.8, now=now)
    if allowance.opens_at(now) <= now:
        allowance.spend(now)
    """

    _period: ColdPeriod
    _share_per_s: float
    _bucket: Allowance

    @classmethod
    def from_share(cls, period: ColdPeriod, share_per_s: float, now: float) -> "DirectAllowance":
        """Return an allowance that starts empty."""
        return cls(period, share_per_s, Allowance(share_per_s, now))

    @property
    def share_per_s(self) -> float:
        """The rate of this entry while the target is cold."""
        return self._share_per_s

    def is_limited(self, now: float) -> bool:
        """Return whether the target is cold, or was until recently."""
        return self._period.is_limited(now)

    def set_share(self, share_per_s: float, now: float) -> None:
        """Change the share of this entry."""
        self._share_per_s = share_per_s
        self._bucket.set_share(share_per_s, now)

    def opens_at(self, now: float, ahead: int = 0) -> float:
        """Return when one more request may be sent behind `ahead` others, which are sent first."""
        factor = self._period.limit_factor(now)
        if math.isinf(factor):
            return now
        self._bucket.set_share(factor * self._share_per_s, now)
        opens_at = self._bucket.opens_at(now, 1 + ahead)
        # An entry without a share may send once the limit ends.
        return min(opens_at, self._period.until + RAMP_S)

    def spend(self, now: float) -> None:
        """Note that a request is sent."""
        self._bucket.spend(now)


@dataclass
class StartDetector:
    """Finds new starts of a target in its own reports, for the agent beside it.

    The first report shows a new start, except at the `is_first_start` of a fleet, whose targets
    are not cold. A target that does not report its birth counts as started anew when it answers
    again.
    """

    is_first_start: bool
    _has_answered: bool = False
    _was_lost: bool = False
    _born_ms: int = 0

    def note_lost(self) -> None:
        """Note that the target does not answer."""
        self._was_lost = True

    def note_report(self, born_ms: int) -> bool:
        """Note a report of the target; return whether it shows a new start."""
        has_answered, self._has_answered = self._has_answered, True
        was_lost, self._was_lost = self._was_lost, False
        born_before_ms, self._born_ms = self._born_ms, born_ms
        if not has_answered:
            return not self.is_first_start
        return born_ms != born_before_ms if born_ms else was_lost
