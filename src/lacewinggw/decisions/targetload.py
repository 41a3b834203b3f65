"""An entry's view of one target: its load, its health and its reachability.

The number of the entry's own calls is exact. The load by other entries comes from the target's last
report, which counts for less as it ages.
"""

import math
from dataclasses import dataclass, field

from lacewinggw.decisions.coldstart import MAX_LIMITED_WAIT_S, ColdPeriod, DirectAllowance
from lacewinggw.decisions.ejection import TargetHealth
from lacewinggw.decisions.linkdelay import LinkDelay
from lacewinggw.decisions.targetbackoff import RefusalBackoff, RequestedBackoff
from lacewinggw.decisions.targetlist import TargetEntry
from lacewinggw.decisions.targetrate import Allowance, TargetRate
from lacewinggw.decisions.targetspeed import TargetSpeed

REPORT_FRESH_S = 3.0  # agents repeat an unchanged report after 0.6 s; some are lost or late
REPORT_DECAY_S = 2.0  # a report this old counts for 1/e: reports without a change are rare
# Share of a target's slots open to requests that are late already. The rest lets requests that can
# be on time start at once while the backlog of late ones is worked off.
LATE_SLOT_SHARE = 0.8
# A target with calls of this entry that sends no data for this long gets no more requests. Over all
# its streams an event arrives every 0.1 s, in an overload every 0.3 s. Callers give up after two
# seconds.
STALL_TIMEOUT_S = 0.5
MAX_LINK_DELAY_S = 0.4  # beyond this queueing delay the first event of a request is too late
CONGESTED_CONNECT_S = 0.2  # a connection attempt this long was queued at the link, not refused
# Pause before an agent that did not answer at once is asked for slots again. A frozen agent stays
# silent for seconds, and each attempt costs a request a tenth of its objective.
AGENT_PAUSE_S = 0.5
CONGESTION_PAUSE_S = 0.4  # after such an attempt; about the delay of a full queue


@dataclass
class InFlightRequest:
    """A request counted at a target, and how long its prefill there takes, in seconds.

    A request that `is_trial` shows whether the target accepts requests again after a back-off, and
    one that `is_health_trial` whether it serves them again after it was ejected.
    """

    load: "TargetLoad"
    prefill_s: float = 0.0
    is_trial: bool = False
    is_health_trial: bool = False


@dataclass
class TargetLoad:
    """The load and state of one target; times in seconds by the caller's clock."""

    entry: TargetEntry
    in_flight: int = 0
    begun: int = 0  # all requests of this entry so far
    prefill_s: float = 0.0  # total prefill time of own calls that have no event yet
    reported: int = 0  # running and queued, by the last report
    reported_own: int = 0  # own calls when the report arrived
    reported_at: float = -math.inf
    full_until: float = 0.0
    silent_until: float = 0.0  # an answer did not come in time
    is_agent_new: bool = False  # the link to the agent broke, and it has not reported since
    agent_paused_until: float = 0.0  # the agent did not answer, and is not asked until then
    loading_until: float = 0.0
    last_data_at: float = -math.inf
    busy_since: float = -math.inf
    connect_delay: LinkDelay = field(default_factory=LinkDelay)
    update_delay: LinkDelay = field(default_factory=LinkDelay)
    speed: TargetSpeed = field(default_factory=TargetSpeed)
    was_reachable: bool = True  # at the last check
    health: TargetHealth = field(default_factory=TargetHealth)
    refusals: RefusalBackoff = field(default_factory=RefusalBackoff)
    backoff: RequestedBackoff = field(default_factory=RequestedBackoff)
    rate: TargetRate = field(default_factory=TargetRate)
    allowance: Allowance | None = None  # this entry's share; None while the target sets no limit
    cold: ColdPeriod = field(default_factory=ColdPeriod)
    # For requests without a slot from the agent; None if the service limits no cold targets.
    direct: DirectAllowance | None = None

    def ahead(self, now: float) -> float:
        """Return how many requests are ahead of one more, other entries' discounted by age."""
        others = max(0, self.reported - self.reported_own)
        age_s = max(0.0, now - self.reported_at)
        return self.in_flight + others * math.exp(-age_s / REPORT_DECAY_S)

    def has_fresh_report(self, now: float) -> bool:
        """Return whether a recent report of the target's agent is available."""
        return now - self.reported_at < REPORT_FRESH_S

    def note_connect(self, took_s: float, now: float) -> None:
        """Note how long connecting took, which shows the queueing delay of the target's link."""
        self.connect_delay.note_wait(took_s, now)

    def note_connect_failure(self, waited_s: float, now: float) -> None:
        """Note that connecting was refused, or given up after `waited_s`."""
        self.note_connect(waited_s, now)
        if waited_s >= CONGESTED_CONNECT_S:
            self.full_until = max(self.full_until, now + CONGESTION_PAUSE_S)

    def note_agent_timeout(self, now: float) -> None:
        """Note that the target's agent does not answer."""
        self.agent_paused_until = now + AGENT_PAUSE_S

    def note_declined(self, now: float) -> None:
        """Note that the target's agent declined to grant a slot, now or soon.

        An agent declines for a cold target what it cannot start within this time.
        """
        if self.is_cold(now):
            self.agent_paused_until = max(self.agent_paused_until, now + MAX_LIMITED_WAIT_S)

    def may_ask_agent(self, now: float) -> bool:
        """Return whether the target's agent may be asked for a slot."""
        if self.is_agent_new:
            return False
        return self.has_fresh_report(now) and self.agent_paused_until <= now

    def may_move_to_agent(self, now: float) -> bool:
        """Return whether requests that wait at this entry may all move to the agent's queue.

        They may not if this entry may send the target only some of them, or if the agent has not
        reported since it last left a question unanswered.
        """
        if self.allowance is not None or self.backoff.limits_trials or self.is_cold(now):
            return False
        return self.reported_at >= self.agent_paused_until - AGENT_PAUSE_S

    def takes_requests(self, now: float) -> bool:
        """Return whether the target begins requests, subject to free slots.

        It does not while it loads, or in a pause after it was full or congested.
        """
        return max(self.full_until, self.loading_until) <= now

    def is_allowed(self, now: float) -> bool:
        """Return whether the target's back-off and rate limit allow one more request."""
        if not (self.backoff.is_over(now) and self.backoff.has_trial()):
            return False
        return self.allowance is None or self.allowance.is_open(now)

    def allowed_at(self, now: float) -> float:
        """Return when the target's back-off and rate limit next allow one more request."""
        opens_at = now if self.allowance is None else self.allowance.opens_at(now)
        return max(opens_at, self.backoff.until)

    def direct_at(self, now: float, ahead: int = 0) -> float:
        """Return when a request without a slot from the target's agent is next allowed.

        While the target is cold, `ahead` requests that wait are sent before it.
        """
        allowed_at = self.allowed_at(now)
        if self.direct is None:
            return allowed_at
        return max(allowed_at, self.direct.opens_at(now, ahead))

    @property
    def limits_starts(self) -> bool:
        """Whether the target limits its rate, or its concurrent requests since a back-off."""
        return self.allowance is not None or self.backoff.is_limiting

    def starts_by(self, until: float, now: float, trials_only: bool = False) -> float:
        """Return how many waiting requests its back-off and rate limit let begin by `until`.

        With `trials_only` not those that begin if the trials after a back-off are accepted.
        """
        starts = self.backoff.starts_by(until, now, trials_only)
        return (
            starts if self.allowance is None else min(starts, self.allowance.starts_by(until, now))
        )

    def is_cold(self, now: float) -> bool:
        """Return whether the target is cold, or was until recently, and limited for it."""
        return self.direct is not None and self.direct.is_limited(now)

    def note_data(self, now: float) -> None:
        """Note that part of an answer arrived."""
        self.last_data_at = now
        self.silent_until = 0.0

    def is_stalled(self, now: float) -> bool:
        """Return whether the target has calls of this entry and sent no data for too long."""
        return (
            self.in_flight > 0 and now - max(self.last_data_at, self.busy_since) > STALL_TIMEOUT_S
        )

    def link_delay(self, now: float) -> float:
        """Return the estimated queueing delay of the target's link, in seconds."""
        return max(self.connect_delay.estimate(now), self.update_delay.estimate(now))

    def has_fast_link(self, now: float) -> bool:
        """Return whether the queueing delay of the target's link is acceptable."""
        return self.link_delay(now) < MAX_LINK_DELAY_S

    def is_reachable(self, now: float) -> bool:
        """Return whether a request would reach the target in time."""
        is_silent = self.is_stalled(now) or self.silent_until > now
        return not is_silent and self.has_fast_link(now)

    def has_free_slot(self, now: float, is_late: bool = False) -> bool:
        """Return whether one more request would start soon.

        A request that `is_late` leaves a share of the slots to requests that can be on time.
        """
        if not self.takes_requests(now):
            return False
        return self.ahead(now) < self.entry.slots * (LATE_SLOT_SHARE if is_late else 1.0)

    def occupancy(self, now: float) -> float:
        """Return the share of the slots that would be taken with one more request."""
        return (self.ahead(now) + 1.0) / self.entry.slots
