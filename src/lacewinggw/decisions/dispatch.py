"""Which target of a service takes a request, and whether any can start it soon.

What is ahead of a request at a target is this entry's own calls there, known exactly, and those of
other entries by the target's last report, discounted by its age. A target takes requests up to its
slots; what is beyond waits here, where it can still go to whichever target is free first.
"""

import math
import random
from collections.abc import Callable, Iterable, Mapping, Sequence, Set
from dataclasses import dataclass

from lacewinggw.decisions.ejection import EjectionRules, note_failed_call
from lacewinggw.decisions.targetlist import TargetEntry
from lacewinggw.decisions.targetload import InFlightRequest, TargetLoad
from lacewinggw.ids import ModelName, Place, RequestDigest, ServiceName, TargetId

# A target in another place counts as that much fuller. Borders are narrow and priced. And the fewer
# entries choose among the same targets by the same updates, the fewer meet at one.
REMOTE_COST = 0.6
LOADING_TIMEOUT_S = (
    2.5  # a target that began to load and is not heard of again is tried after so long
)
TIMEOUT_PAUSE_S = 1.0  # a target that fell silent gets nothing more for so long: what is sent waits
# Connecting takes a way and back over the link of a target, the first part of the answer another:
# with 0.1 s each, half of the usual objective is gone. That counts as much as 0.8 of the slots.
LINK_COST_PER_S = 8.0
# An engine reads prompts between the tokens of the others, so what it has yet to read delays the
# first event of the next request, while requests that are being answered hardly do: 0.1 s of
# reading counts as much as 0.8 of the slots.
PREFILL_COST_PER_S = 8.0
MAX_UNLISTED = 1000  # targets that are off the list, of which what is known is kept


@dataclass(frozen=True)
class TargetRequirements:
    """What a request needs of a target.

    `least_version` is the oldest version of `model` that may still be begun on, `only_version` the
    one that an answer has begun with; `avoid` are the targets that have had the request already.
    Reading its prompt takes a target `reading_s` seconds. A `suspect` may end the target.
    """

    service: ServiceName
    model: ModelName | None = None
    min_version: int = 0
    exact_version: int | None = None
    excluded: frozenset[TargetId] = frozenset()
    prefill_s: float = 0.0
    suspect: RequestDigest | None = None


@dataclass(frozen=True)
class SampleSizes:
    """How many targets are drawn at random, of this place and of others; the best of them is taken.

    Other entries choose at the same moment by the same updates: all would take the least busy one.
    """

    near: int = 2
    far: int = 1


class TargetPool:
    """The targets of all services, with their work as this entry knows it.

    `leaving` is the set of those that take no new work, kept up to date by its owner.
    `connections_of` tells how many connections this entry may have to each target of a service.

    pool.sync(knowledge.targets)
    load = pool.choose(Wish(service), now)
    claim = pool.begin(load, now)
    pool.note_read(claim)
    pool.succeeded(load)
    pool.end(claim)
    """

    def __init__(
        self,
        place: Place,
        rules: EjectionRules,
        rng: random.Random,
        draw: SampleSizes | None = None,
        leaving: Set[TargetId] = frozenset(),
        connections_of: Callable[[ServiceName], float] = lambda service: math.inf,
    ) -> None:
        self._place = place
        self._draw = draw or SampleSizes()
        self._rules = rules
        self._rng = rng
        self._leaving = leaving
        self._connections_of = connections_of
        self._loads: dict[TargetId, TargetLoad] = {}
        self._unlisted: dict[TargetId, TargetLoad] = {}  # the oldest first

    @property
    def loads(self) -> Mapping[TargetId, TargetLoad]:
        """Every target, by its id."""
        return self._loads

    def sync(self, entries: Mapping[TargetId, TargetEntry]) -> None:
        """Take the list of targets; what is known of each start is kept, also while it is off it.

        A row can lapse while the store is away; what its target asked for still holds.
        """
        for target in self._loads.keys() - entries.keys():
            self._unlisted[target] = self._loads.pop(target)
        for target, entry in entries.items():
            if target not in self._loads:
                self._loads[target] = self._unlisted.pop(target, TargetLoad(entry))
            self._loads[target].entry = entry
        while len(self._unlisted) > MAX_UNLISTED:
            del self._unlisted[next(iter(self._unlisted))]

    def eligible(self, wish: TargetRequirements) -> list[TargetLoad]:
        """Return the targets that may run a request, however busy they are."""
        return [
            load for load in self._loads.values() if self._fits(load, wish) and self._stays(load)
        ]

    def may_begin(self, load: TargetLoad, now: float) -> bool:
        """Return whether one more request of this entry may begin at a target, if it has room.

        The target is there and stays, the back-off that it asked for is over, and its limits on the
        rate and on connections allow one more. All that may have changed while a request waited in
        line, so it is asked again then.
        """
        if not (self.may_send(load, now) and load.is_allowed(now)):
            return False
        return load.in_flight < self._connections_of(load.entry.service)

    def may_send(self, load: TargetLoad, now: float) -> bool:
        """Return whether a request that has begun may still be sent to a target.

        While a connection was opened for it the target may have said that it takes nothing.
        """
        return self._stays(load) and load.backoff.is_over(now)

    def _stays(self, load: TargetLoad) -> bool:
        target = load.entry.target
        return target not in self._leaving and self._loads.get(target) is load

    def choose(
        self, fitting: Iterable[TargetLoad], now: float, is_late: bool = False
    ) -> TargetLoad | None:
        """Return the one of `fitting` targets in which a request starts soonest, or None.

        One that `is_late` starts only where there is room left over.
        """
        fitting = list(fitting)
        # If none can be reached, the cause is this entry's: then all are as good as before.
        reachable = [load for load in fitting if load.is_reachable(now)] or fitting
        usable = [
            load
            for load in reachable
            if self.may_begin(load, now) and load.has_free_slot(now, is_late)
        ]
        healthy = [load for load in usable if load.health.may_call(now)]
        if not healthy:
            # All are failing, so the cause may not be theirs: any is better than none.
            healthy = usable
        candidates = self._candidates(healthy, now)
        return min(candidates, key=lambda load: self._cost(load, now), default=None)

    def choose_for_slot(
        self, fitting: Iterable[TargetLoad], now: float, asked: Set[TargetId]
    ) -> TargetLoad | None:
        """Return the one of `fitting` targets whose agent is asked for a slot next, or None.

        However busy it is by the updates: the agent knows better, and keeps a line.
        """
        open_ = [
            load
            for load in fitting
            if load.entry.target not in asked
            and load.may_ask_agent(now)
            and load.takes_requests(now)
            and load.is_reachable(now)
            and self.may_begin(load, now)
        ]
        healthy = [load for load in open_ if load.health.may_call(now)] or open_
        candidates = self._candidates(healthy, now)
        return min(candidates, key=lambda load: self._cost(load, now), default=None)

    def reachability_changes(self, now: float) -> list[TargetLoad]:
        """Return the targets that can be reached by now and could not, or the other way round."""
        changed = [
            load for load in self._loads.values() if load.is_reachable(now) != load.was_reachable
        ]
        for load in changed:
            load.was_reachable = not load.was_reachable
        return changed

    def begin(self, load: TargetLoad, now: float, prefill_s: float = 0.0) -> InFlightRequest:
        """Note that a request goes to a target, which reads its prompt in `reading_s` seconds."""
        if load.in_flight == 0:
            load.busy_since = now
        load.in_flight += 1
        load.begun += 1
        if load.allowance is not None:
            load.allowance.spend(now)
        load.prefill_s += prefill_s
        load.health.note_begin(now)
        return InFlightRequest(load, prefill_s, load.backoff.begin_trial())

    def note_prompt_read(self, claim: InFlightRequest) -> None:
        """Note that a request's prompt is read, or will not be."""
        claim.load.prefill_s -= claim.prefill_s
        claim.prefill_s = 0.0

    def end(self, claim: InFlightRequest) -> None:
        """Note that a request is over, however it ended."""
        self.note_prompt_read(claim)
        claim.load.in_flight -= 1
        if claim.is_trial:
            claim.load.backoff.end_trial()

    def note_backoff(self, load: TargetLoad, retry_after_s: float, now: float) -> None:
        """Note that a target asked this entry to back off for some seconds."""
        load.backoff.note_requested(retry_after_s, now, self._rng.random())

    def note_accepted(self, load: TargetLoad, sent_at: float) -> None:
        """Note that a target took a request that was sent at a moment, however it ended."""
        load.refusals.note_accepted()
        load.backoff.note_accepted(sent_at, load.entry.slots)

    def note_success(self, load: TargetLoad) -> None:
        """Note that a target served a request."""
        load.health.note_success()

    def note_failure(self, load: TargetLoad, now: float) -> bool:
        """Note that a target failed a request; return whether it is left out by it."""
        same = [each for each in self._loads.values() if each.entry.service == load.entry.service]
        out_now = sum(each.health.ejected_until is not None for each in same)
        return note_failed_call(load.health, now, out_now, len(same), self._rules)

    def note_full(self, load: TargetLoad, sent_at: float, now: float) -> None:
        """Note that a target refused a request, sent at a moment, because it is full."""
        load.full_until = max(load.full_until, now + load.refusals.note_refused(sent_at, now))
        load.health.note_inconclusive()

    def note_timeout(self, load: TargetLoad, now: float) -> None:
        """Note that a target did not answer in time: it, or the link to it, is stuck."""
        load.full_until = max(load.full_until, now + TIMEOUT_PAUSE_S)

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
            load.update_delay.note(sent_s, at)
        load.loading_until = at + LOADING_TIMEOUT_S if loading else 0.0
        load.reported = running
        load.reported_own = load.in_flight
        load.reported_at = at

    def _fits(self, load: TargetLoad, wish: TargetRequirements) -> bool:
        entry = load.entry
        if entry.service != wish.service or entry.target in wish.excluded:
            return False
        if wish.model is None:
            return True
        held = entry.weights.get(wish.model, -1)
        if wish.exact_version is not None and held != wish.exact_version:
            return False
        return held >= wish.min_version

    def _candidates(self, loads: Sequence[TargetLoad], now: float) -> list[TargetLoad]:
        near = [load for load in loads if load.entry.place == self._place]
        far = [load for load in loads if load.entry.place != self._place]
        # Of another place only those are taken whose agents are heard, if there are any: nothing
        # is known of the others' work.
        far = [load for load in far if load.has_fresh_report(now)] or far
        return self._sample(near, self._draw.near) + self._sample(far, self._draw.far)

    def _sample(self, loads: list[TargetLoad], count: int) -> list[TargetLoad]:
        return loads if len(loads) <= count else self._rng.sample(loads, count)

    def _cost(self, load: TargetLoad, now: float) -> tuple[float, float]:
        remote = 0.0 if load.entry.place == self._place else REMOTE_COST
        link = LINK_COST_PER_S * load.link_delay(now)
        reading = PREFILL_COST_PER_S * load.prefill_s
        return (load.occupancy(now) + remote + link + reading, self._rng.random())
