"""Back-off of an entry from a target that rejected a request, and the return to it.

The load it handles: overloaded targets that reject requests and may ask for a back-off of some
seconds. Each offer during that time costs its caller time, and the fleet one of its retries.

A requested back-off ends at the same time for all waiting requests, and at nearly the same time for
other entries. So its end has jitter, and after it one request at a time is sent until one is
accepted, then two at a time, then four.
"""

import math
from dataclasses import dataclass

JITTER_SHARE = 0.1  # of a back-off: the most by which its end is delayed
MAX_JITTER_S = 0.5
FIRST_PAUSE_S = 0.05  # after the first refusal; a full target ends a request about this often
MAX_REFUSALS = 5  # that count, so that a recovered target is tried again within 0.8 s


@dataclass
class RefusalBackoff:
    """The pause after a target rejects a request without asking for a back-off.

    The pause doubles with each refusal of a request sent after the previous refusal, and is reset
    by each accepted request. So a target that is full for a moment is tried again soon, and a
    target that rejects nearly everything only now and then.

        pause_s = refusals.note_refused(sent_at, now)
    """

    _refusals: int = 0
    _refused_at: float = -math.inf

    def note_refused(self, sent_at: float, now: float) -> float:
        """Note a refusal of a request sent at `sent_at`; return the pause in seconds."""
        if sent_at >= self._refused_at:
            self._refusals = min(MAX_REFUSALS, self._refusals + 1)
            self._refused_at = now
        return FIRST_PAUSE_S * 2.0 ** (self._refusals - 1)

    def note_accepted(self) -> None:
        """Note that the target accepted a request."""
        self._refusals = 0


@dataclass
class RequestedBackoff:
    """The back-off that a target asked this entry for; times in seconds of the caller's clock.

    backoff.note_requested(3.0, now, jitter=rng.random())
    if backoff.is_over(now) and backoff.has_trial():
        backoff.begin_trial()
    """

    until: float = -math.inf
    _max_trials: int | None = None  # concurrent requests allowed; None for no limit
    _on_trial: int = 0

    @property
    def limits_trials(self) -> bool:
        """Whether only some requests at a time may be sent, as the back-off has just ended."""
        return self._max_trials is not None

    def note_requested(self, retry_after_s: float, now: float, jitter: float) -> None:
        """Note that a target asks for a back-off; `jitter` is a random share from 0 to 1.

        The latest end applies, as answers may arrive out of order.
        """
        max_jitter_s = min(JITTER_SHARE * retry_after_s, MAX_JITTER_S)
        self.until = max(self.until, now + retry_after_s + jitter * max_jitter_s)
        self._max_trials = 1

    def is_over(self, now: float) -> bool:
        """Return whether the back-off is over."""
        return self.until <= now

    def has_trial(self) -> bool:
        """Return whether one more request may be in flight after the back-off."""
        return self._max_trials is None or self._on_trial < self._max_trials

    @property
    def is_limiting(self) -> bool:
        """Whether the number of concurrent requests is limited since a back-off."""
        return self._max_trials is not None

    def starts_by(self, until: float, now: float, trials_only: bool) -> float:
        """Return how many waiting requests can begin by `until`, infinity if that is open.

        At the end of a back-off only the trials begin; what follows depends on their answers, for
        which a request does not wait that takes `trials_only`.
        """
        if self.until > until:
            return 0.0
        if self._max_trials is None or self.is_over(now) or not trials_only:
            return math.inf
        return float(self._max_trials)

    def begin_trial(self) -> bool:
        """Note that a request is sent; return whether it is a trial."""
        is_trial = self._max_trials is not None
        self._on_trial += is_trial
        return is_trial

    def end_trial(self) -> None:
        """Note that a trial request has ended."""
        self._on_trial -= 1

    def note_accepted(self, sent_at: float, slots: int) -> None:
        """Note that the target accepted a request; ignore one sent before the back-off ended."""
        if self._max_trials is None or sent_at < self.until:
            return
        self._max_trials = None if self._max_trials >= slots else 2 * self._max_trials
