"""Which target of a service takes a request, and whether any can start it soon.

What is ahead of a request at a target is this entry's own calls there, known exactly, and those of
other entries by the target's last report, discounted by its age. A target takes requests up to its
slots; what is beyond waits here, where it can still go to whichever target is free first.
"""

import math
import random
from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass, field

from lacewinggw.decisions.ejection import EjectionRules, Health, end_failed_call
from lacewinggw.decisions.linkdelay import LinkDelay
from lacewinggw.decisions.targetlist import TargetEntry
from lacewinggw.ids import ModelName, Place, ServiceName, TargetId

REPORT_DECAY_S = 2.0  # a report this old counts for 1/e: news without a change is rare
BATCH_SHARE = 0.75  # of a model engine's slots: in a fuller batch prompts wait for one another
REMOTE_COST = 0.3  # a target in another place counts as that much fuller: borders are priced
LOADING_S = 2.5  # a target that began to load and is not heard of again is tried after so long
SILENT_PAUSE_S = 1.0  # a target that fell silent gets nothing more for so long: what is sent waits
# Of a target with work of this entry, after which it gets no more: events of one stream or another
# come every 0.1 s, and in an overload every 0.3 s. Callers give up after two seconds.
STALLED_S = 0.5
# Connecting takes a way and back over the link of a target, the first part of the answer another:
# with 0.1 s each, half of the usual objective is gone. That counts as much as 0.8 of the slots.
LINK_COST_PER_S = 8.0
QUEUE_S = 0.4  # before a target's link: a request behind it has its first event too late
CLOGGED_S = 0.2  # what did not open within it was not refused: it stands in a queue
CLOGGED_PAUSE_S = 0.4  # a target behind such a link is left alone so long: about what a queue holds
FULL_PAUSE_S = 0.05  # a target that said it is full is left alone so long


@dataclass
class TargetLoad:
    """What is known of one target's work; times in seconds by the caller's clock."""

    entry: TargetEntry
    in_flight: int = 0
    reported: int = 0  # running and queued, by the last report
    reported_own: int = 0  # of those, own ones when the report came
    reported_at: float = -math.inf
    full_until: float = 0.0
    loading_until: float = 0.0
    heard_at: float = -math.inf
    busy_since: float = -math.inf
    connects: LinkDelay = field(default_factory=LinkDelay)
    news: LinkDelay = field(default_factory=LinkDelay)
    health: Health = field(default_factory=Health)

    def ahead(self, now: float) -> float:
        """Return how many requests are ahead of one more."""
        others = max(0, self.reported - self.reported_own)
        age_s = max(0.0, now - self.reported_at)
        return self.in_flight + others * math.exp(-age_s / REPORT_DECAY_S)

    def note_connect(self, took_s: float, now: float) -> None:
        """Note how long connecting took: it shows the queue of the target's link."""
        self.connects.note_wait(took_s, now)

    def note_unconnected(self, waited_s: float, now: float) -> None:
        """Note that connecting failed, refused at once or given up after a wait."""
        self.note_connect(waited_s, now)
        if waited_s >= CLOGGED_S:
            self.full_until = max(self.full_until, now + CLOGGED_PAUSE_S)

    def note_heard(self, now: float) -> None:
        """Note that part of an answer came."""
        self.heard_at = now

    def is_stalled(self, now: float) -> bool:
        """Tell whether nothing of what this entry waits for has come for long."""
        return self.in_flight > 0 and now - max(self.heard_at, self.busy_since) > STALLED_S

    def link_delay(self, now: float) -> float:
        """Return how long the queue before the target's link is, as far as is known, in seconds."""
        return max(self.connects.now(now), self.news.now(now))

    def is_reachable(self, now: float) -> bool:
        """Tell whether a request would get through to the target in time."""
        return not self.is_stalled(now) and self.link_delay(now) < QUEUE_S

    def has_room(self, now: float) -> bool:
        """Tell whether one more request would start soon."""
        slots = self.entry.slots * (BATCH_SHARE if self.entry.weights else 1.0)
        if max(self.full_until, self.loading_until) > now:
            return False
        return self.ahead(now) < slots

    def occupancy(self, now: float) -> float:
        """Return the share of the slots that would be taken with one more request."""
        return (self.ahead(now) + 1.0) / self.entry.slots


@dataclass(frozen=True)
class Wish:
    """What a request needs of a target.

    `least_version` is the oldest version of `model` that may still be begun on, `only_version` the
    one that an answer has begun with; `avoid` are the targets that have had the request already.
    """

    service: ServiceName
    model: ModelName | None = None
    least_version: int = 0
    only_version: int | None = None
    avoid: frozenset[TargetId] = frozenset()


class TargetPool:
    """The targets of all services, with their work as this entry knows it.

    pool.sync(knowledge.targets)
    load = pool.choose(Wish(service), now)
    pool.begin(load, now)
    pool.succeeded(load)
    """

    def __init__(self, place: Place, rules: EjectionRules, rng: random.Random) -> None:
        self._place = place
        self._rules = rules
        self._rng = rng
        self._loads: dict[TargetId, TargetLoad] = {}

    @property
    def loads(self) -> Mapping[TargetId, TargetLoad]:
        """Every target, by its id."""
        return self._loads

    def sync(self, entries: Mapping[TargetId, TargetEntry]) -> None:
        """Take the list of targets; what is known of those that stay is kept."""
        for target in self._loads.keys() - entries.keys():
            del self._loads[target]
        for target, entry in entries.items():
            known = self._loads.get(target)
            if known is None:
                self._loads[target] = TargetLoad(entry)
            else:
                known.entry = entry

    def fitting(self, wish: Wish, leaving: Set[TargetId] = frozenset()) -> list[TargetLoad]:
        """Return the targets that may run a request, however busy they are."""
        return [
            load
            for target, load in self._loads.items()
            if target not in leaving and self._fits(load, wish)
        ]

    def choose(self, fitting: Iterable[TargetLoad], now: float) -> TargetLoad | None:
        """Return the one of `fitting` targets in which a request starts soonest, or None."""
        fitting = list(fitting)
        # If none can be reached, the cause is this entry's: then all are as good as before.
        reachable = [load for load in fitting if load.is_reachable(now)] or fitting
        usable = [load for load in reachable if load.has_room(now)]
        healthy = [load for load in usable if load.health.may_take(now)]
        if not healthy:
            # All are failing, so the cause may not be theirs: any is better than none.
            healthy = usable
        return min(healthy, key=lambda load: self._cost(load, now), default=None)

    def begin(self, load: TargetLoad, now: float) -> None:
        """Note that a request goes to a target."""
        if load.in_flight == 0:
            load.busy_since = now
        load.in_flight += 1
        load.health.note_begin(now)

    def end(self, load: TargetLoad) -> None:
        """Note that a request is over, however it ended."""
        load.in_flight -= 1

    def succeeded(self, load: TargetLoad) -> None:
        """Note that a target served a request."""
        load.health.note_success()

    def failed(self, load: TargetLoad, now: float) -> bool:
        """Note that a target failed a request; return whether it is left out by it."""
        same = [each for each in self._loads.values() if each.entry.service == load.entry.service]
        out_now = sum(each.health.out_until is not None for each in same)
        return end_failed_call(load.health, now, out_now, len(same), self._rules)

    def note_full(self, load: TargetLoad, now: float) -> None:
        """Note that a target refused a request because it is full."""
        load.full_until = max(load.full_until, now + FULL_PAUSE_S)
        load.health.note_nothing()

    def note_silent(self, load: TargetLoad, now: float) -> None:
        """Note that a target did not answer in time: it, or the link to it, is stuck."""
        load.full_until = max(load.full_until, now + SILENT_PAUSE_S)

    def note_report(
        self,
        target: TargetId,
        running: int,
        at: float,
        loading: bool = False,
        sent_s: float | None = None,
    ) -> None:
        """Take what a target said of its own work: requests running and queued.

        One that is `loading` begins nothing until it says so again. `sent_s` is when it said so, by
        its own clock.
        """
        load = self._loads.get(target)
        if load is None or at < load.reported_at:
            return
        if sent_s is not None:
            load.news.note(sent_s, at)
        load.loading_until = at + LOADING_S if loading else 0.0
        load.reported = running
        load.reported_own = load.in_flight
        load.reported_at = at

    def _fits(self, load: TargetLoad, wish: Wish) -> bool:
        entry = load.entry
        if entry.service != wish.service or entry.target in wish.avoid:
            return False
        if wish.model is None:
            return True
        held = entry.weights.get(wish.model, -1)
        if wish.only_version is not None and held != wish.only_version:
            return False
        return held >= wish.least_version

    def _cost(self, load: TargetLoad, now: float) -> tuple[float, float]:
        remote = 0.0 if load.entry.place == self._place else REMOTE_COST
        link = LINK_COST_PER_S * load.link_delay(now)
        return (load.occupancy(now) + remote + link, self._rng.random())
