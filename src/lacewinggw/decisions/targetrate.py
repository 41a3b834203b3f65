"""Rate limits that targets set in their answers, and the share of them that an entry may use.

The load it handles: many entries send to one target whose limit applies to all of them together. If
each entry applied the whole limit by itself, the target would receive a multiple of it, once per
entry. If each of 98 entries had a share, none of them could send a whole request in a minute. So a
few entries hold the limit with an equal share each, and more of them for a larger limit. Every
entry computes from the list of entries whether it is a holder, without messages and without
comparing clocks.

Answers may arrive out of order: an answer without a limit ends the limit only if its request was
sent after the limit was seen.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from lacewinggw.decisions.peerselection import rendezvous_order
from lacewinggw.decisions.routereaders import PeerEntry
from lacewinggw.ids import HostId, Place, TargetId

# Each holder accumulates at most one request. With two holders per request a second and three more,
# a burst of all accumulated requests is half of what the limit allows in four seconds, plus three.
HOLDERS_PER_RATE = 2
MIN_HOLDERS = 3
# A target with a lower limit still gets this rate, as only an answer shows that the limit is over.
MIN_RATE_PER_S = 0.2
# A report of the same limit is taken only if it is newer by this much: reports are slightly older
# on arrival than they say, and would otherwise be passed back and forth.
REFRESH_S = 0.25


class LimitSource(Enum):
    """Where this entry learned a limit from."""

    ANSWER = "answer"  # an answer of the target itself
    NEAR = "near"  # an entry of this place that got such an answer
    FAR = "far"  # an entry that got the limit from another entry, or is in another place


@dataclass
class TargetRate:
    """The last rate limit of a target, in requests a second; `per_s` is None without a limit.

    `seen_at` is when the last answer arrived that set or ended a limit, in seconds of a clock that
    continues while a host is suspended.
    """

    per_s: float | None = None
    seen_at: float = -math.inf
    source: LimitSource = LimitSource.ANSWER

    def note_answer(self, per_s: float | None, sent_at: float, now: float) -> bool:
        """Take the limit in an answer to a request sent at `sent_at`; return whether it changed."""
        if per_s is None and (self.per_s is None or sent_at < self.seen_at):
            return False
        return self._take(per_s, now, LimitSource.ANSWER)

    def note_update(self, per_s: float | None, seen_at: float, source: LimitSource) -> bool:
        """Take a limit that another entry saw at `seen_at`; return whether it changed."""
        margin_s = REFRESH_S if per_s == self.per_s else 0.0
        if seen_at <= self.seen_at + margin_s:
            return False
        return self._take(per_s, seen_at, source)

    def _take(self, per_s: float | None, seen_at: float, source: LimitSource) -> bool:
        is_new = per_s != self.per_s
        self.per_s, self.seen_at, self.source = per_s, seen_at, source
        return is_new


@dataclass
class Allowance:
    """A token bucket for the requests of one process to a target that limits its rate.

    It holds up to `burst` requests, fills at `share_per_s` and starts empty. Times are in seconds
    of the caller's clock.

        allowance = Allowance(share_per_s=0.5, filled_at=now)
        if allowance.is_open(now):
            allowance.spend(now)
    """

    share_per_s: float
    filled_at: float
    burst: float = 1.0
    _tokens: float = 0.0

    def is_open(self, now: float) -> bool:
        """Return whether one more request may be sent."""
        return now >= self.opens_at(now)

    def opens_at(self, now: float, requests: int = 1) -> float:
        """Return when so many requests may have been sent, infinite for one without a share.

        Those beyond the burst are taken to be sent as the bucket fills.
        """
        self._fill(now)
        if self._tokens >= requests:
            return now
        lacking = requests - self._tokens
        return now + lacking / self.share_per_s if self.share_per_s else math.inf

    def starts_by(self, until: float, now: float) -> int:
        """Return how many requests may be sent by `until` if each is sent as soon as it may be."""
        self._fill(now)
        return math.floor(self._tokens + self.share_per_s * max(0.0, until - now))

    def spend(self, now: float) -> None:
        """Note that a request is sent."""
        self._fill(now)
        self._tokens = max(0.0, self._tokens - 1.0)

    def set_share(self, share_per_s: float, now: float) -> None:
        """Change the share; an entry that loses its share also loses its accumulated token."""
        self._fill(now)
        self.share_per_s = share_per_s
        if not share_per_s:
            self._tokens = 0.0

    def _fill(self, now: float) -> None:
        earned = self.share_per_s * max(0.0, now - self.filled_at)
        self._tokens = min(self.burst, self._tokens + earned)
        self.filled_at = max(self.filled_at, now)


def entry_share(
    own_host: HostId, target: TargetId, place: Place, per_s: float, entries: Iterable[PeerEntry]
) -> float:
    """Return the rate at which an entry may send to a target in `place`, 0 unless it is a holder.

    The rate is in requests a second.
    """
    holders = choose_holders(target, place, per_s, entries)
    return max(per_s, MIN_RATE_PER_S) / len(holders) if own_host in holders else 0.0


def choose_holders(
    target: TargetId, place: Place, per_s: float, entries: Iterable[PeerEntry]
) -> list[HostId]:
    """Return the entries that hold a limit of `per_s` requests a second to a target."""
    count = MIN_HOLDERS + math.floor(HOLDERS_PER_RATE * per_s)
    return rank_entries(target, place, entries)[:count]


def rank_entries(target: TargetId, place: Place, entries: Iterable[PeerEntry]) -> list[HostId]:
    """Return the entries in the order in which they hold limits, those of its place first.

    They receive the reports of the target's agent, and their requests stay within the place.
    """
    candidates = list(entries)
    near = rendezvous_order(
        f"limit of {target}", (each.host for each in candidates if each.place == place)
    )
    far = rendezvous_order(
        f"limit of {target}", (each.host for each in candidates if each.place != place)
    )
    return [HostId(host) for host in [*near, *far]]
