"""How long an entry backs off from a target that turned a request away, and how it comes back.

The load it answers: overloaded targets that turn requests away, and may ask to be left alone for
some seconds. Each offer in that time costs its caller time, and the fleet one of its retries.

A back-off that was asked for ends at one moment for all that wait, and at nearly the same for other
entries. So its end is spread, and then one request at a time goes there until one is taken, then
two, then four.
"""

import math
from dataclasses import dataclass

JITTER_SHARE = 0.1  # of a back-off, by which it ends later at most
MAX_JITTER_S = 0.5
FIRST_PAUSE_S = 0.05  # after the first refusal: a request ends about as often at a full target
MAX_REFUSALS = 5  # that count, so that a target that is well again is found out within 0.8 s


@dataclass
class RefusalBackoff:
    """How long a target that turned a request away, and asked for nothing, is left alone.

    It doubles with each refusal of a request that was sent after the last one, and begins anew with
    each request taken: a target without room for the moment is asked again soon, one that turns
    nearly everything away only now and then.

        pause_s = refusals.note_refused(sent_at, now)
    """

    _refusals: int = 0
    _refused_at: float = -math.inf

    def note_refused(self, sent_at: float, now: float) -> float:
        """Note a refusal of a request sent at a moment; return how long to send nothing."""
        if sent_at >= self._refused_at:
            self._refusals = min(MAX_REFUSALS, self._refusals + 1)
            self._refused_at = now
        return FIRST_PAUSE_S * 2.0 ** (self._refusals - 1)

    def note_accepted(self) -> None:
        """Note that the target took a request."""
        self._refusals = 0


@dataclass
class RequestedBackoff:
    """The back-off that a target asked this entry for; times in seconds of the caller's clock.

    backoff.note_asked(3.0, now, drawn=rng.random())
    if backoff.is_over(now) and backoff.has_trial():
        backoff.begin_trial()
    """

    until: float = -math.inf
    _trials: int | None = None  # requests it may have at a time; None once it has taken enough
    _on_trial: int = 0

    def note_requested(self, retry_after_s: float, now: float, jitter: float) -> None:
        """Note that a target asks for a back-off; `drawn` is a share, drawn at random.

        The longest of what is known holds: answers overtake each other.
        """
        spread_s = min(JITTER_SHARE * retry_after_s, MAX_JITTER_S)
        self.until = max(self.until, now + retry_after_s + jitter * spread_s)
        self._trials = 1

    def is_over(self, now: float) -> bool:
        """Return whether the target may be sent requests."""
        return self.until <= now

    def has_trial(self) -> bool:
        """Return whether one more request may be on its way, if it is over."""
        return self._trials is None or self._on_trial < self._trials

    def begin_trial(self) -> bool:
        """Note that a request is sent; return whether it is one of those that show what comes."""
        is_trial = self._trials is not None
        self._on_trial += is_trial
        return is_trial

    def end_trial(self) -> None:
        """Note that such a request is over."""
        self._on_trial -= 1

    def note_accepted(self, sent_at: float, slots: int) -> None:
        """Note that the target took a request; one that was sent before says nothing."""
        if self._trials is None or sent_at < self.until:
            return
        self._trials = None if self._trials >= slots else 2 * self._trials
