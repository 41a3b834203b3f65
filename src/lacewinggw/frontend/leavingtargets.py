"""Record which targets are leaving, once per target, and log which source reported it."""

from collections.abc import Callable
from enum import Enum

from lacewinggw.decisions.routingview import RoutingView
from lacewinggw.ids import TargetId
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics

log = get_logger(__name__)


class LeavingSource(Enum):
    """The source that reported a target as leaving."""

    LIST = "list"  # the operators' store
    AGENT = "agent"  # the agent process of the target
    ENTRY = "entry"  # another entry
    ANSWER = "answer"  # the target itself
    ADDRESS = "address"  # another target answers at its address


# Sources whose reports are sent to other entries at once. Reports of another entry, or of an agent,
# which notifies all nearby entries, go out with the periodic updates. If each entry forwarded them
# at once, every entry would notify every other one of each leaving target.
URGENT_SOURCES = frozenset({LeavingSource.LIST, LeavingSource.ANSWER, LeavingSource.ADDRESS})


class LeavingTargets:
    """Records which targets are leaving in this entry's view of the fleet.

    `on_leaving` is called when there are new ones, and `on_urgent` when other entries must be
    notified at once.

        leaving_targets.mark_leaving(target, LeavingSource.ENTRY)
    """

    def __init__(
        self,
        view: RoutingView,
        on_leaving: Callable[[], None],
        on_urgent: Callable[[], None],
        metrics: Metrics,
    ) -> None:
        self._view = view
        self._on_leaving = on_leaving
        self._on_urgent = on_urgent
        self._logged: frozenset[TargetId] = frozenset()
        self._counts = {
            source: metrics.counter("targets_left", source=source.value) for source in LeavingSource
        }

    def mark_leaving(self, target: TargetId, source: LeavingSource) -> None:
        """Record that a target accepts no new requests."""
        if target in self._view.leaving:
            return
        self._view.mark_leaving(target)
        self.publish_new(source)

    def publish_new(self, source: LeavingSource) -> None:
        """Log and report the targets that have newly become leaving, as reported by `source`."""
        leaving = frozenset(self._view.leaving)
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
