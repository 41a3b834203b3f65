"""Targets that leave: noted once, whoever says so, with a log line that says who."""

from collections.abc import Callable
from enum import Enum

from lacewinggw.decisions.routingview import RoutingView
from lacewinggw.ids import TargetId
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics

log = get_logger(__name__)


class LeavingSource(Enum):
    """Who said that a target leaves."""

    LIST = "list"  # the operators' store
    AGENT = "agent"  # the process beside the target
    ENTRY = "entry"  # another entry
    ANSWER = "answer"  # the target itself
    ADDRESS = "address"  # another start of a target answers there


# What came from another entry, or from an agent that tells all entries near, goes on with the usual
# updates: if each entry passed it on at once, all would tell all others of each target that leaves.
URGENT_SOURCES = frozenset({LeavingSource.LIST, LeavingSource.ANSWER, LeavingSource.ADDRESS})


class LeavingTargets:
    """Notes which targets leave, in the knowledge of this entry.

    `on_leaving` is called whenever there are new ones, `on_urgent` when other entries are to be
    told at once.

        departures.note(target, LeavingSource.ENTRY)
    """

    def __init__(
        self,
        knowledge: RoutingView,
        on_leaving: Callable[[], None],
        on_urgent: Callable[[], None],
        metrics: Metrics,
    ) -> None:
        self._knowledge = knowledge
        self._on_leaving = on_leaving
        self._on_urgent = on_urgent
        self._logged: frozenset[TargetId] = frozenset()
        self._counts = {
            source: metrics.counter("targets_left", source=source.value) for source in LeavingSource
        }

    def mark_leaving(self, target: TargetId, source: LeavingSource) -> None:
        """Note that a target takes no new work."""
        if target in self._knowledge.leaving:
            return
        self._knowledge.mark_leaving(target)
        self.publish_new(source)

    def publish_new(self, source: LeavingSource) -> None:
        """Log and pass on what the knowledge has just taken from a source."""
        leaving = frozenset(self._knowledge.leaving)
        new = leaving - self._logged
        self._logged = leaving
        for target in sorted(new):
            self._counts[source].add()
            log.info("target_leaving", target=target, source=source.value)
        if not new:
            return
        self._on_leaving()
        if source in URGENT_SOURCES:
            self._on_urgent()
