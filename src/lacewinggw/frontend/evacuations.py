"""Publish changes of the evacuated zones: log them, count them, and act on waiting requests."""

from collections.abc import Callable, Set
from dataclasses import dataclass
from enum import Enum

from lacewinggw.clock import Clock
from lacewinggw.decisions.dispatch import PlaceLoad, TargetPool
from lacewinggw.decisions.evacuation import Evacuations
from lacewinggw.ids import Place
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics

log = get_logger(__name__)


class EvacuationSource(Enum):
    """The source from which a change of the evacuated zones was learned."""

    STORE = "store"  # the operators' store
    ENTRY = "entry"  # another entry


@dataclass(frozen=True)
class EvacuatedZone:
    """An evacuated zone as an operator sees it at one entry."""

    place: Place
    since_s: float  # for how long this entry has known of the evacuation
    source: EvacuationSource
    load: PlaceLoad


class EvacuationMonitor:
    """Compares the evacuated zones with those published before, and publishes each change once.

    The pool of targets applies a change at once. `on_change` is called with the zones before and
    after it, so that waiting requests search elsewhere and other processes are notified.

        monitor.publish_new(EvacuationSource.STORE)
    """

    def __init__(
        self,
        evacuations: Evacuations,
        pool: TargetPool,
        on_change: Callable[[Set[Place], Set[Place]], None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._evacuations = evacuations
        self._pool = pool
        self._on_change = on_change
        self._clock = clock
        self._published: dict[Place, EvacuationSource] = {}
        self._started_at: dict[Place, float] = {}
        self._counts = {
            source: metrics.counter("evacuations", source=source.value)
            for source in EvacuationSource
        }
        metrics.read_gauge("places_evacuated", lambda: len(evacuations.places))
        metrics.read_gauge(
            "requests_running_evacuated",
            lambda: sum(pool.load_in(place).in_flight for place in evacuations.places),
        )

    @property
    def zones(self) -> list[EvacuatedZone]:
        """The evacuated zones with the requests that still run there, in order of their names."""
        now = self._clock()
        return [
            EvacuatedZone(place, now - self._started_at[place], source, self._pool.load_in(place))
            for place, source in sorted(self._published.items())
        ]

    def publish_new(self, source: EvacuationSource) -> None:
        """Publish the zones whose evacuation has started or ended, as learned from `source`."""
        places = self._evacuations.places
        if places == self._published.keys():
            return
        before, now = frozenset(self._published), self._clock()
        for place in sorted(places - before):
            self._published[place] = source
            self._started_at[place] = self._evacuations.since(place) or now
            self._counts[source].add()
            self._log_started(place, source)
        for place in sorted(before - places):
            del self._published[place]
            lasted_s = now - self._started_at.pop(place)
            log.info(
                "evacuation_ended",
                place=place,
                source=source.value,
                running=self._pool.load_in(place).in_flight,
                lasted_s=round(lasted_s, 3),
            )
        self._on_change(before, frozenset(places))

    def _log_started(self, place: Place, source: EvacuationSource) -> None:
        load = self._pool.load_in(place)
        log.info(
            "evacuation_started",
            place=place,
            source=source.value,
            running=load.in_flight,
            targets=load.targets,
        )
        if self._pool.loads and not load.targets:
            log.warning("evacuated_place_without_targets", place=place)
