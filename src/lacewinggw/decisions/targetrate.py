"""Rate limits that targets name in their answers, and the share of them that an entry may use.

The load it answers: many entries before one target that limits all of them together. If each entry
kept the limit by itself, the target would get as many times as much as there are entries; if each
of 98 entries had a share, none of them could send a whole request in a minute. So a few entries
hold the limit, more of them for a larger one, with an equal share each. Every entry works out from
the list of entries whether it is one of them: nobody is asked, and no clocks are compared.

Answers overtake each other: one without a limit ends it only if its request was sent after the
limit was seen.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from lacewinggw.decisions.peerselection import rendezvous_order
from lacewinggw.decisions.routereaders import PeerEntry
from lacewinggw.ids import HostId, Place, TargetId

# Each holder may have one request saved up. With two holders for each request a second and three
# more, all that is saved, spent at one moment, is half of what the target asks for in four seconds
# and three requests.
HOLDERS_PER_RATE = 2
MIN_HOLDERS = 3
# A target that allows less still gets this much, as only an answer tells that the limit is over.
MIN_RATE_PER_S = 0.2
# An update of the same limit counts once it is so much newer: each is a little older on arrival
# than it looks, and would go back and forth.
REFRESH_S = 0.25


class LimitSource(Enum):
    """How this entry knows of a limit."""

    ANSWER = "answer"  # by an answer of the target itself
    NEAR = "near"  # an entry of this place has had such an answer
    FAR = "far"  # by an entry that was told so itself


@dataclass
class TargetRate:
    """The rate limit that a target has named last; `per_s` is None where there is none.

    `seen_at` is when the last answer came that named or ended a limit, in seconds of a clock that
    goes on while a host is suspended.
    """

    per_s: float | None = None
    seen_at: float = -math.inf
    source: LimitSource = LimitSource.ANSWER

    def note_answer(self, per_s: float | None, sent_at: float, now: float) -> bool:
        """Take what an answer to a request sent at `asked_at` says; return whether it is new."""
        if per_s is None and (self.per_s is None or sent_at < self.seen_at):
            return False
        return self._take(per_s, now, LimitSource.ANSWER)

    def note_update(self, per_s: float | None, seen_at: float, source: LimitSource) -> bool:
        """Take what another entry saw at `seen_at`; return whether it is new."""
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
    """A token bucket for one request: what an entry may send to a target that limits its rate.

    It fills by `share_per_s`, and is empty at first. Times are in seconds of the caller's clock.

        allowance = Allowance(share_per_s=0.5, filled_at=now)
        if allowance.is_open(now):
            allowance.spend(now)
    """

    share_per_s: float
    filled_at: float
    _saved: float = 0.0

    def is_open(self, now: float) -> bool:
        """Return whether one more request may be sent."""
        return now >= self.opens_at(now)

    def opens_at(self, now: float) -> float:
        """Return when the next request may be sent; never, for an entry without a share."""
        self._fill(now)
        if self._saved >= 1.0:
            return now
        return now + (1.0 - self._saved) / self.share_per_s if self.share_per_s else math.inf

    def spend(self, now: float) -> None:
        """Note that a request is sent."""
        self._fill(now)
        self._saved = max(0.0, self._saved - 1.0)

    def set_share(self, share_per_s: float, now: float) -> None:
        """Go on with another share; an entry that loses its share loses what it had saved."""
        self._fill(now)
        self.share_per_s = share_per_s
        if not share_per_s:
            self._saved = 0.0

    def _fill(self, now: float) -> None:
        earned = self.share_per_s * max(0.0, now - self.filled_at)
        self._saved = min(1.0, self._saved + earned)
        self.filled_at = max(self.filled_at, now)


def entry_share(
    me: HostId, target: TargetId, place: Place, per_s: float, entries: Iterable[PeerEntry]
) -> float:
    """Return how many requests a second an entry may send to a target in `place`; mostly 0."""
    holders = choose_holders(target, place, per_s, entries)
    return max(per_s, MIN_RATE_PER_S) / len(holders) if me in holders else 0.0


def choose_holders(
    target: TargetId, place: Place, per_s: float, entries: Iterable[PeerEntry]
) -> list[HostId]:
    """Return the entries that may send to a target: those of its place before others.

    They hear the agent beside the target, and what they send crosses no border.
    """
    known = list(entries)
    near = rendezvous_order(
        f"limit of {target}", (each.host for each in known if each.place == place)
    )
    far = rendezvous_order(
        f"limit of {target}", (each.host for each in known if each.place != place)
    )
    count = MIN_HOLDERS + math.floor(HOLDERS_PER_RATE * per_s)
    return [HostId(host) for host in [*near, *far][:count]]
