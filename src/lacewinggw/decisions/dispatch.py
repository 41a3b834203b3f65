"""Choice of the target of a service that takes a request, if one can start it soon.

The requests ahead of one more at a target are this entry's own calls, whose number is exact, and
those of other entries by the target's last report, discounted by its age. A target is sent requests
up to its slots. Further requests wait at the entry, where each can still go to the first target
that becomes free.
"""

import math
import random
from collections.abc import Callable, Iterable, Mapping, Sequence, Set
from dataclasses import dataclass, field

from lacewinggw.decisions.addresses import rendezvous_weight
from lacewinggw.decisions.ejection import EjectionRules, note_failed_call
from lacewinggw.decisions.homeregions import Homes, anywhere
from lacewinggw.decisions.targetlist import TargetEntry
from lacewinggw.decisions.targetload import InFlightRequest, TargetLoad
from lacewinggw.decisions.waitqueue import NO_ACCOUNT
from lacewinggw.ids import Account, ModelName, Place, Region, ServiceName, SuspectGroup, TargetId

# Share of the slots by which a target in another place counts as fuller. Links between places are
# narrow and billed. Also, the fewer entries choose among the same targets by the same reports, the
# fewer choose the same target at once.
REMOTE_COST = 0.6
# A target that reported loading and sends no further report is tried again after this time.
LOADING_TIMEOUT_S = 2.5
TIMEOUT_PAUSE_S = 1.0  # no requests to a target that did not answer in time: they would wait there
# Connecting takes one round trip over the target's link, and the first part of the answer another:
# with 0.1 s each, half of the typical objective is used up. A delay of 0.1 s therefore counts as
# much as 0.8 of the slots.
LINK_COST_PER_S = 8.0
# An engine interleaves prefill with the tokens of running requests, so pending prefill delays the
# first event of the next request, while requests in decode hardly do. 0.1 s of prefill counts as
# much as 0.8 of the slots.
PREFILL_COST_PER_S = 8.0
# Share of the slots by which a cold target counts as fuller. It looks idle and answers late, so it
# is used once the others are half full.
COLD_COST = 0.5
# A first event takes about 0.12 s at the declared speed. Twice that time delays it by as much
# again, which counts like pending prefill of 0.12 s: as all of the slots.
SLOW_COST = 1.0
MAX_UNLISTED = 1000  # targets that left the list and whose state is kept


@dataclass(frozen=True)
class Suspicion:
    """What is known of a request that may crash targets.

    All requests of its `group` go to one target at a time. `ended_targets` have crashed, and may
    still be listed.
    """

    group: SuspectGroup
    ended_targets: frozenset[TargetId] = frozenset()


@dataclass(frozen=True)
class TargetRequirements:
    """What a request requires of a target.

    `min_version` is the oldest version of `model` on which a request may still start;
    `exact_version` is the version with which its answer has already begun. `excluded` holds the
    targets that were sent the request before. Its prefill takes a target `prefill_s` seconds.
    `suspect` is set for a request that may crash targets: all requests of one such group are sent
    to one target at a time. It belongs to `account` and takes an
    estimated `service_s` of a target's time in all. `homes` returns the regions in which it may
    run; they change with the routes while the request waits.
    """

    service: ServiceName
    model: ModelName | None = None
    min_version: int = 0
    exact_version: int | None = None
    excluded: frozenset[TargetId] = frozenset()
    prefill_s: float = 0.0
    suspect: SuspectGroup | None = None
    account: Account = NO_ACCOUNT
    service_s: float = 0.0
    homes: Callable[[], Homes] = field(default=anywhere, compare=False)


@dataclass(frozen=True)
class SampleSizes:
    """How many targets of this place and of others are sampled; the best of them is chosen.

    Entries choose concurrently by the same reports: without sampling, all would choose the least
    busy target.
    """

    near: int = 2
    far: int = 1


@dataclass(frozen=True)
class PlaceLoad:
    """The load of the listed targets of a place.

    `in_flight` are this entry's own requests. `reported` are the requests of all entries that the
    agents of model engines last reported; it does not include targets without an agent.
    """

    targets: int
    in_flight: int
    reported: int


class TargetPool:
    """The targets of all services, with this entry's view of their load.

    `leaving` is the set of targets that take no new work, and `evacuated` the set of places whose
    targets get no requests; their owners keep both up to date. `regions` has the region of each
    place. `connections_of` returns how many connections this entry may have to each target of a
    service.

    pool.sync(view.targets)
    load = pool.choose(pool.eligible(TargetRequirements(service)), now)
    request = pool.begin(load, now)
    pool.note_prompt_read(request)
    pool.note_success(load)
    pool.end(request)
    """

    def __init__(
        self,
        place: Place,
        rules: EjectionRules,
        rng: random.Random,
        sample_sizes: SampleSizes | None = None,
        leaving: Set[TargetId] = frozenset(),
        evacuated: Set[Place] = frozenset(),
        regions: Mapping[Place, Region] | None = None,
        connections_of: Callable[[ServiceName], float] = lambda service: math.inf,
    ) -> None:
        self._place = place
        self._sample_sizes = sample_sizes or SampleSizes()
        self._rules = rules
        self._rng = rng
        self._leaving = leaving
        self._evacuated = evacuated
        self._regions = {} if regions is None else regions
        self._connections_of = connections_of
        self._loads: dict[TargetId, TargetLoad] = {}
        self._unlisted: dict[TargetId, TargetLoad] = {}  # the oldest first

    @property
    def loads(self) -> Mapping[TargetId, TargetLoad]:
        """The load of every listed target, by target id."""
        return self._loads

    def sync(self, entries: Mapping[TargetId, TargetEntry]) -> None:
        """Replace the list of targets; the state of each is kept, also while it is not listed.

        A row can expire while the store is unavailable, and a back-off that its target asked for
        still applies.
        """
        for target in self._loads.keys() - entries.keys():
            self._unlisted[target] = self._loads.pop(target)
        for target, entry in entries.items():
            if target not in self._loads:
                self._loads[target] = self._unlisted.pop(target, TargetLoad(entry))
            self._loads[target].entry = entry
        while len(self._unlisted) > MAX_UNLISTED:
            del self._unlisted[next(iter(self._unlisted))]

    def eligible(self, requirements: TargetRequirements) -> list[TargetLoad]:
        """Return the targets that meet the requirements, however busy they are."""
        homes = requirements.homes()
        eligible = [
            load
            for load in self._loads.values()
            if self._meets(load, requirements)
            and self._is_usable(load)
            and self.is_home(load, homes)
        ]
        group = requirements.suspect
        if group is None or not eligible:
            return eligible
        # Every entry chooses the same target, so that the next crash costs one target only.
        return [max(eligible, key=lambda load: rendezvous_weight(group, load.entry.target))]

    def is_home(self, load: TargetLoad, homes: Homes) -> bool:
        """Return whether a request with these home regions may run at a target."""
        return homes is None or self._regions.get(load.entry.place) in homes

    def may_begin(self, load: TargetLoad, now: float) -> bool:
        """Return whether one more request of this entry may begin at a target with a free slot.

        The target is listed and not leaving, its place is not evacuated, the back-off that it asked
        for is over, and its limits on the rate and on connections allow one more. Any of this may
        change while a request is queued, so check again after a wait.
        """
        if not (self.may_send(load, now) and load.is_allowed(now)):
            return False
        return load.in_flight < self._connections_of(load.entry.service)

    def may_send(self, load: TargetLoad, now: float) -> bool:
        """Return whether a request that has begun may still be sent to a target.

        The target may have left or asked for a back-off, or its place may have been evacuated,
        while the connection was opened.
        """
        return self._is_usable(load) and load.backoff.is_over(now)

    def _is_usable(self, load: TargetLoad) -> bool:
        target = load.entry.target
        if target in self._leaving or load.entry.place in self._evacuated:
            return False
        return self._loads.get(target) is load

    def is_evacuated(self, service: ServiceName) -> bool:
        """Return whether a service has targets, and all of them are in evacuated places."""
        places = {
            load.entry.place for load in self._loads.values() if load.entry.service == service
        }
        return bool(places) and places <= self._evacuated

    def slots_outside(self, service: ServiceName, places: Set[Place]) -> int:
        """Return the slots of a service's targets that are not leaving and not in `places`."""
        return sum(
            load.entry.slots
            for target, load in self._loads.items()
            if load.entry.service == service
            and target not in self._leaving
            and load.entry.place not in places
        )

    def load_in(self, place: Place) -> PlaceLoad:
        """Return the load of the targets of a place."""
        loads = [load for load in self._loads.values() if load.entry.place == place]
        return PlaceLoad(
            targets=len(loads),
            in_flight=sum(load.in_flight for load in loads),
            reported=sum(load.reported for load in loads),
        )

    def choose(
        self, eligible: Iterable[TargetLoad], now: float, is_late: bool = False
    ) -> TargetLoad | None:
        """Return the eligible target on which a request starts soonest, or None.

        A request that `is_late` leaves a share of the slots to requests that can be on time.
        """
        eligible = list(eligible)
        # If no target is reachable, the cause is on this entry's side, so reachability is ignored.
        reachable = [load for load in eligible if load.is_reachable(now)] or eligible
        usable = [
            load
            for load in reachable
            if self.may_begin(load, now)
            and load.silent_until <= now
            and load.has_free_slot(now, is_late)
            and load.direct_at(now) <= now
        ]
        healthy = [load for load in usable if load.health.may_call(now)]
        if not healthy:
            # If all are failing, the cause may be elsewhere: any target is better than none.
            healthy = usable
        candidates = self._candidates(healthy, now)
        return min(candidates, key=lambda load: self._cost(load, now), default=None)

    def choose_for_slot(
        self, eligible: Iterable[TargetLoad], now: float, asked: Set[TargetId]
    ) -> TargetLoad | None:
        """Return the eligible target whose agent to ask for a slot next, or None.

        The reported load does not exclude a target: its agent has the exact count and a queue.
        """
        eligible = list(eligible)
        # If all targets are silent, requests queue at the agents all the same. Without the agents,
        # entries would each fill the slots by themselves, with more requests than there are slots.
        reachable = [load for load in eligible if load.is_reachable(now)] or [
            load for load in eligible if load.has_fast_link(now)
        ]
        open_targets = [
            load
            for load in reachable
            if load.entry.target not in asked
            and load.may_ask_agent(now)
            and load.takes_requests(now)
            and self.may_begin(load, now)
        ]
        healthy = [load for load in open_targets if load.health.may_call(now)] or open_targets
        candidates = self._candidates(healthy, now)
        return min(candidates, key=lambda load: self._cost(load, now), default=None)

    def reachability_changes(self, now: float) -> list[TargetLoad]:
        """Return the targets whose reachability changed since the last call."""
        changed = [
            load for load in self._loads.values() if load.is_reachable(now) != load.was_reachable
        ]
        for load in changed:
            load.was_reachable = not load.was_reachable
        return changed

    def begin(
        self, load: TargetLoad, now: float, prefill_s: float = 0.0, has_slot: bool = False
    ) -> InFlightRequest:
        """Count a request as sent to a target, where its prefill takes `prefill_s` seconds.

        A request that `has_slot` was granted a slot by the target's agent, which limits its rate
        while it is cold.
        """
        if load.in_flight == 0:
            load.busy_since = now
        load.in_flight += 1
        load.begun += 1
        if load.allowance is not None:
            load.allowance.spend(now)
        if load.direct is not None and not has_slot:
            load.direct.spend(now)
        load.prefill_s += prefill_s
        is_health_trial = load.health.note_begin(now)
        return InFlightRequest(load, prefill_s, load.backoff.begin_trial(), is_health_trial)

    def note_prompt_read(self, request: InFlightRequest) -> None:
        """Note that the prefill of a request is over, or will not take place."""
        request.load.prefill_s -= request.prefill_s
        request.prefill_s = 0.0

    def end(self, request: InFlightRequest) -> None:
        """Note that a request has ended, whatever its outcome."""
        self.note_prompt_read(request)
        request.load.in_flight -= 1
        if request.is_trial:
            request.load.backoff.end_trial()
        if request.is_health_trial:
            request.load.health.note_inconclusive()

    def note_backoff(self, load: TargetLoad, retry_after_s: float, now: float) -> None:
        """Note that a target asked this entry to back off for `retry_after_s` seconds."""
        load.backoff.note_requested(retry_after_s, now, self._rng.random())

    def note_accepted(self, load: TargetLoad, sent_at: float) -> None:
        """Note that a target accepted a request sent at `sent_at`, whatever its outcome."""
        load.refusals.note_accepted()
        load.backoff.note_accepted(sent_at, load.entry.slots)

    def note_success(self, load: TargetLoad) -> None:
        """Note that a target served a request."""
        load.health.note_success()

    def note_failure(self, load: TargetLoad, now: float) -> bool:
        """Note that a target failed a request; return whether this ejects it."""
        same_service = [
            each for each in self._loads.values() if each.entry.service == load.entry.service
        ]
        ejected_now = sum(each.health.ejected_until is not None for each in same_service)
        return note_failed_call(load.health, now, ejected_now, len(same_service), self._rules)

    def note_full(self, load: TargetLoad, sent_at: float, now: float) -> None:
        """Note that a target refused a request sent at `sent_at` because it is full."""
        load.full_until = max(load.full_until, now + load.refusals.note_refused(sent_at, now))
        load.health.note_inconclusive()

    def note_timeout(self, load: TargetLoad, now: float) -> None:
        """Note that a target did not answer in time: it, or the link to it, is stalled.

        It gets no requests for a while, or until part of an answer arrives.
        """
        load.silent_until = max(load.silent_until, now + TIMEOUT_PAUSE_S)

    def note_report(
        self,
        target: TargetId,
        running: int,
        at: float,
        loading: bool = False,
        sent_s: float | None = None,
        slowness: float = 1.0,
        hears_gaps: bool = False,
    ) -> None:
        """Take a target's report of its running and queued requests, received at `at`.

        A target that is `loading` begins nothing until it reports again. `sent_s` is when the
        report was sent, by the sender's clock. `slowness` is how many times its declared time the
        target takes; the agent takes reports of gaps if it `hears_gaps`.
        """
        load = self._loads.get(target)
        if load is None or at < load.reported_at:
            return
        if sent_s is not None:
            load.update_delay.note_message(sent_s, at)
        load.loading_until = at + LOADING_TIMEOUT_S if loading else 0.0
        load.speed.note_report(slowness, at)
        load.speed.hears_gaps = hears_gaps
        load.reported = running
        load.reported_own = load.in_flight
        load.is_agent_new = False
        load.reported_at = at

    def _meets(self, load: TargetLoad, requirements: TargetRequirements) -> bool:
        entry = load.entry
        if entry.service != requirements.service or entry.target in requirements.excluded:
            return False
        if requirements.model is None:
            return True
        held_version = entry.weights.get(requirements.model, -1)
        if requirements.exact_version is not None and held_version != requirements.exact_version:
            return False
        return held_version >= requirements.min_version

    def _candidates(self, loads: Sequence[TargetLoad], now: float) -> list[TargetLoad]:
        near = [load for load in loads if load.entry.place == self._place]
        far = [load for load in loads if load.entry.place != self._place]
        # Of other places, prefer targets with recent reports: the load of the others is unknown.
        far = [load for load in far if load.has_fresh_report(now)] or far
        return self._sample(near, self._sample_sizes.near) + self._sample(
            far, self._sample_sizes.far
        )

    def _sample(self, loads: list[TargetLoad], count: int) -> list[TargetLoad]:
        return loads if len(loads) <= count else self._rng.sample(loads, count)

    def _cost(self, load: TargetLoad, now: float) -> tuple[float, float]:
        remote = 0.0 if load.entry.place == self._place else REMOTE_COST
        link = LINK_COST_PER_S * load.link_delay(now)
        slowness = load.speed.factor(now)
        prefill = PREFILL_COST_PER_S * load.prefill_s * slowness
        cold = COLD_COST if load.is_cold(now) else 0.0
        occupancy = load.occupancy(now)
        # Requests for a full target wait for a slot first, wherever they go.
        slow = SLOW_COST * (slowness - 1.0) if occupancy <= 1.0 else 0.0
        return (occupancy + remote + link + prefill + cold + slow, self._rng.random())
