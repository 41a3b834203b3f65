"""Cold targets: learned from rows, answers, agents and other entries, and this entry's share."""

import asyncio
import math
from collections.abc import Callable, Iterable, Mapping, Sequence

from lacewinggw.clock import Clock
from lacewinggw.decisions.coldstart import (
    ColdLimit,
    ColdReport,
    ColdSource,
    ColdTolerance,
    DirectAllowance,
    divide_limit,
)
from lacewinggw.decisions.dispatch import TargetPool
from lacewinggw.decisions.routereaders import LocalEntry, PeerEntry
from lacewinggw.decisions.routes import Service
from lacewinggw.decisions.routingview import RoutingView
from lacewinggw.decisions.storeclock import AnswerTimes
from lacewinggw.decisions.targetload import TargetLoad
from lacewinggw.decisions.targetrate import rank_entries
from lacewinggw.fleet.feed import FeedUpdate, listed_targets
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.ids import HostId, ServiceName, TargetId
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics

MS_PER_S = 1000.0
# How long updates include a target whose cold period has ended; entries send updates twice a
# second.
END_ANNOUNCED_S = 5.0
# Observations that are sent to other entries at once. What another entry observed it sends itself,
# and an agent reports to the entries that ask it for slots.
OWN_SOURCES = frozenset({ColdSource.ROW, ColdSource.ANSWER})

log = get_logger(__name__)


class ColdTargets:
    """Keeps what this entry sends cold targets without a slot within its share of their limit.

    `listed_entries` returns the entries in the store's list, or None until it has been read.
    `on_own_change` is called when the other entries must be notified at once, and `on_change` for
    each target that became cold or warm.

        cold.apply_rows(update, times)
        cold.note_answer(load, facts.cold_s, asked_at)
    """

    def __init__(
        self,
        pool: TargetPool,
        view: RoutingView,
        local_entry: LocalEntry,
        listed_entries: Callable[[], Sequence[PeerEntry] | None],
        tolerance: Callable[[], ColdTolerance],
        on_own_change: Callable[[], None],
        on_change: Callable[[], None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._pool = pool
        self._view = view
        self._local_entry = local_entry
        self._listed_entries = listed_entries
        self._tolerance = tolerance
        self._on_own_change = on_own_change
        self._on_change = on_change
        self._clock = clock
        self._periods = {
            source: metrics.counter("target_cold_periods", source=source.value)
            for source in (*OWN_SOURCES, ColdSource.AGENT, ColdSource.ENTRY)
        }
        metrics.read_gauge("targets_cold", self._count_cold)

    def apply_rows(self, update: FeedUpdate, times: AnswerTimes) -> None:
        """Apply how long targets stay cold by their rows, counted from now.

        A store that was restored from an older copy does not show that a cold period has ended.
        """
        for entry in listed_targets(update):
            load = self._pool.loads.get(entry.target)
            if load is not None and (entry.cold_s or not update.restored):
                self._note(load, ColdReport(entry.cold_s, times.composed_at, ColdSource.ROW))

    def note_answer(self, load: TargetLoad, cold_s: float | None, asked_at: float) -> None:
        """Apply how long a target stays cold by its answer to a request sent at `asked_at`."""
        if cold_s is not None:
            self._note(load, ColdReport(cold_s, asked_at, ColdSource.ANSWER))

    def note_agent(self, target: TargetId, cold_ms: int) -> None:
        """Apply how long a target stays cold by its agent."""
        load = self._pool.loads.get(target)
        if load is not None and cold_ms:
            self._note(load, ColdReport(cold_ms / MS_PER_S, self._clock(), ColdSource.AGENT))

    def note_agent_lost(self, host: HostId) -> None:
        """Ask an agent for slots only once it has reported, after the link to it broke.

        An agent that has restarted does not know that its service limits cold targets until it has
        received what it needs for a report.
        """
        for load in self._pool.loads.values():
            is_beside = load.entry.address.rpartition(":")[0] == host
            if is_beside and self._is_limited(load.entry.service):
                load.is_agent_new = True

    def apply_updates(self, updates: Iterable[messages.ColdTarget]) -> None:
        """Apply cold targets from another entry; unknown ones are skipped and sent again."""
        for update in updates:
            load = self._pool.loads.get(TargetId(update.target))
            if load is not None:
                seen_at = self._clock() - update.age_ms / MS_PER_S
                remaining_s = update.remaining_ms / MS_PER_S
                self._note(load, ColdReport(remaining_s, seen_at, ColdSource.ENTRY))

    def compose_updates(self) -> list[messages.ColdTarget]:
        """Return the targets that this entry itself saw to be cold, or to be so no longer."""
        now, clock_now = _now(), self._clock()
        return [
            messages.ColdTarget(
                load.entry.target,
                round(load.cold.remaining_s(now) * MS_PER_S),
                round((clock_now - load.cold.seen_at) * MS_PER_S),
            )
            for load in self._pool.loads.values()
            if load.cold.source in OWN_SOURCES
            and now - load.cold.until < END_ANNOUNCED_S
            and self._is_limited(load.entry.service)
        ]

    def reports(self, service: ServiceName) -> Mapping[TargetId, ColdReport]:
        """Return what is known of a service's targets, for their agents; empty without a limit.

        What an agent reported itself is not sent back to it.
        """
        if not self._is_limited(service):
            return {}
        now = _now()
        return {
            target: ColdReport(load.cold.remaining_s(now), load.cold.seen_at, load.cold.source)
            for target, load in self._pool.loads.items()
            if load.entry.service == service
            and math.isfinite(load.cold.seen_at)
            and load.cold.source is not ColdSource.AGENT
        }

    def update_shares(self) -> None:
        """Recompute this entry's shares after a change of the routes or the list of entries."""
        now = _now()
        for load in self._pool.loads.values():
            self._share(load, now)

    def _note(self, load: TargetLoad, report: ColdReport) -> None:
        now = _now()
        if not load.cold.note(report, now):
            return
        self._share(load, now)
        if not self._is_limited(load.entry.service):
            return
        is_cold = load.cold.is_cold(now)
        if is_cold:
            self._periods[report.source].add()
        log.info(
            "target_cold" if is_cold else "target_warm",
            target=load.entry.target,
            remaining_ms=round(report.remaining_s * MS_PER_S),
            source=report.source.value,
            share_per_s=load.direct.share_per_s if load.direct else None,
            begun=load.begun,
            in_flight=load.in_flight,
        )
        self._on_change()
        if report.source in OWN_SOURCES:
            self._on_own_change()

    def _share(self, load: TargetLoad, now: float) -> None:
        """Compute how many requests per second this entry may send a target without a slot."""
        limit = self._limit_of(load.entry.service) if load.cold.is_limited(now) else None
        if limit is None:
            load.direct = None
            return
        share_per_s = self._own_share(load, limit)
        if load.direct is None:
            load.direct = DirectAllowance.from_share(load.cold, share_per_s, now)
        load.direct.set_share(share_per_s, now)

    def _own_share(self, load: TargetLoad, limit: ColdLimit) -> float:
        entries = self._listed_entries() or ()
        ranked = rank_entries(load.entry.target, load.entry.place, entries)
        holders = ranked[: limit.count_holders()]
        return limit.share_direct(len(holders)) if self._local_entry.host in holders else 0.0

    def _limit_of(self, name: ServiceName) -> ColdLimit | None:
        service = self._find_service(name)
        if service is None or not service.cold_per_s:
            return None
        has_agents = service.engine is not None
        return divide_limit(service.cold_per_s, self._tolerance(), has_agents)

    def _is_limited(self, name: ServiceName) -> bool:
        service = self._find_service(name)
        return service is not None and service.cold_per_s > 0

    def _find_service(self, name: ServiceName) -> Service | None:
        routes = self._view.routes
        return routes.services.get(name) if routes else None

    def _count_cold(self) -> int:
        now = _now()
        return sum(
            load.cold.is_cold(now) and self._is_limited(load.entry.service)
            for load in self._pool.loads.values()
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
