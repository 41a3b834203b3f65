"""What an entry knows of one target: its work, its weights, and how well it is reached.

Of the work its own calls are known exactly, and those of others by the target's last report, which
counts for less as it ages.
"""

import math
from dataclasses import dataclass, field

from lacewinggw.decisions.ejection import TargetHealth
from lacewinggw.decisions.linkdelay import LinkDelay
from lacewinggw.decisions.targetbackoff import RefusalBackoff, RequestedBackoff
from lacewinggw.decisions.targetlist import TargetEntry
from lacewinggw.decisions.targetrate import Allowance, TargetRate

REPORT_FRESH_S = 3.0  # agents tell the same again after 0.6 s; some of it is lost or late
REPORT_DECAY_S = 2.0  # a report this old counts for 1/e: an update without a change is rare
# Of the slots of a target, for requests that are late already. What is left lets those that can be
# on time start at once while late ones are caught up on.
LATE_SLOT_SHARE = 0.8
# Of a target with work of this entry, after which it gets no more: events of one stream or another
# come every 0.1 s, and in an overload every 0.3 s. Callers give up after two seconds.
STALL_TIMEOUT_S = 0.5
MAX_LINK_DELAY_S = 0.4  # before a target's link: a request behind it has its first event too late
CONGESTED_CONNECT_S = 0.2  # what did not open within it was not refused: it stands in a queue
# An agent that did not answer at once is asked for slots again after so long: frozen ones stay
# silent for seconds, and each costs whoever asks it a tenth of its objective.
AGENT_PAUSE_S = 0.5
CONGESTION_PAUSE_S = (
    0.4  # a target behind such a link is left alone so long: about what a queue holds
)


@dataclass
class InFlightRequest:
    """Room that was taken at a target, and how long reading the prompt there takes, in seconds.

    One that `is_trial` shows whether a target takes requests again after a back-off.
    """

    load: "TargetLoad"
    prefill_s: float = 0.0
    is_trial: bool = False


@dataclass
class TargetLoad:
    """What is known of one target's work; times in seconds by the caller's clock."""

    entry: TargetEntry
    in_flight: int = 0
    begun: int = 0  # requests of this entry, in all
    prefill_s: float = 0.0  # that it takes to read the prompts of own calls that have no event yet
    reported: int = 0  # running and queued, by the last report
    reported_own: int = 0  # of those, own ones when the report came
    reported_at: float = -math.inf
    full_until: float = 0.0
    agent_paused_until: float = 0.0  # its agent did not answer, and is not asked until then
    loading_until: float = 0.0
    last_data_at: float = -math.inf
    busy_since: float = -math.inf
    connect_delay: LinkDelay = field(default_factory=LinkDelay)
    update_delay: LinkDelay = field(default_factory=LinkDelay)
    was_reachable: bool = True  # when it was last looked at
    health: TargetHealth = field(default_factory=TargetHealth)
    refusals: RefusalBackoff = field(default_factory=RefusalBackoff)
    backoff: RequestedBackoff = field(default_factory=RequestedBackoff)
    rate: TargetRate = field(default_factory=TargetRate)
    allowance: Allowance | None = None  # of this entry; None while the target names no limit

    def ahead(self, now: float) -> float:
        """Return how many requests are ahead of one more."""
        others = max(0, self.reported - self.reported_own)
        age_s = max(0.0, now - self.reported_at)
        return self.in_flight + others * math.exp(-age_s / REPORT_DECAY_S)

    def has_fresh_report(self, now: float) -> bool:
        """Return whether the target's agent told of its work lately."""
        return now - self.reported_at < REPORT_FRESH_S

    def note_connect(self, took_s: float, now: float) -> None:
        """Note how long connecting took: it shows the queue of the target's link."""
        self.connect_delay.note_wait(took_s, now)

    def note_connect_failure(self, waited_s: float, now: float) -> None:
        """Note that connecting failed, refused at once or given up after a wait."""
        self.note_connect(waited_s, now)
        if waited_s >= CONGESTED_CONNECT_S:
            self.full_until = max(self.full_until, now + CONGESTION_PAUSE_S)

    def note_agent_timeout(self, now: float) -> None:
        """Note that the target's agent does not answer."""
        self.agent_paused_until = now + AGENT_PAUSE_S

    def may_ask_agent(self, now: float) -> bool:
        """Return whether the target's agent may be asked for a slot."""
        return self.has_fresh_report(now) and self.agent_paused_until <= now

    def takes_requests(self, now: float) -> bool:
        """Return whether the target begins requests, as far as it has slots.

        It neither loads nor just said "full".
        """
        return max(self.full_until, self.loading_until) <= now

    def is_allowed(self, now: float) -> bool:
        """Return whether the back-off and the limit that the target asks for allow one more."""
        if not (self.backoff.is_over(now) and self.backoff.has_trial()):
            return False
        return self.allowance is None or self.allowance.is_open(now)

    def allowed_at(self, now: float) -> float:
        """Return from when on they allow one more request, as far as is known."""
        opens_at = now if self.allowance is None else self.allowance.opens_at(now)
        return max(opens_at, self.backoff.until)

    def note_data(self, now: float) -> None:
        """Note that part of an answer came."""
        self.last_data_at = now

    def is_stalled(self, now: float) -> bool:
        """Return whether nothing of what this entry waits for has come for long."""
        return (
            self.in_flight > 0 and now - max(self.last_data_at, self.busy_since) > STALL_TIMEOUT_S
        )

    def link_delay(self, now: float) -> float:
        """Return how long the queue before the target's link is, as far as is known, in seconds."""
        return max(self.connect_delay.now(now), self.update_delay.now(now))

    def is_reachable(self, now: float) -> bool:
        """Return whether a request would get through to the target in time."""
        return not self.is_stalled(now) and self.link_delay(now) < MAX_LINK_DELAY_S

    def has_free_slot(self, now: float, is_late: bool = False) -> bool:
        """Return whether one more request would start soon; an `is_late` one leaves room."""
        if not self.takes_requests(now):
            return False
        return self.ahead(now) < self.entry.slots * (LATE_SLOT_SHARE if is_late else 1.0)

    def occupancy(self, now: float) -> float:
        """Return the share of the slots that would be taken with one more request."""
        return (self.ahead(now) + 1.0) / self.entry.slots
