"""Which target of a service takes a request, and whether any can start it soon.

What is ahead of a request at a target is this entry's own calls there, known exactly, and those of
other entries by the target's last report, discounted by its age. A target takes requests up to its
slots; what is beyond waits here, where it can still go to whichever target is free first.
"""

import random
from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass

from lacewinggw.decisions.ejection import EjectionRules, end_failed_call
from lacewinggw.decisions.targetlist import TargetEntry
from lacewinggw.decisions.targetload import TargetLoad
from lacewinggw.ids import ModelName, Place, ServiceName, TargetId

REMOTE_COST = 0.3  # a target in another place counts as that much fuller: borders are priced
LOADING_S = 2.5  # a target that began to load and is not heard of again is tried after so long
SILENT_PAUSE_S = 1.0  # a target that fell silent gets nothing more for so long: what is sent waits
# Connecting takes a way and back over the link of a target, the first part of the answer another:
# with 0.1 s each, half of the usual objective is gone. That counts as much as 0.8 of the slots.
LINK_COST_PER_S = 8.0
FULL_PAUSE_S = 0.05  # a target that said it is full is left alone so long


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

    def reach_changes(self, now: float) -> list[TargetLoad]:
        """Return the targets that can be reached by now and could not, or the other way round."""
        changed = [
            load for load in self._loads.values() if load.is_reachable(now) != load.was_reachable
        ]
        for load in changed:
            load.was_reachable = not load.was_reachable
        return changed

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
