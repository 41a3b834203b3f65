"""Gauges of the declared, placed and serving replicas of each service."""

from collections.abc import Sequence
from enum import Enum

from lacewinggw.decisions.revisions import FleetState
from lacewinggw.entry.ledger import Ledger
from lacewinggw.generated.messages.ttypes import LogEntry
from lacewinggw.metrics import Metrics
from lacewinggw.operators.progress import progress_of
from lacewinggw.operators.view import FleetView


class ReplicaKind(Enum):
    """The kinds of replicas; SERVING counts only targets whose heartbeats this entry receives."""

    DECLARED = "declared"
    PLACED = "placed"
    SERVING = "serving"


class ServiceGauges:
    """Gauges of service replicas, computed on each read."""

    def __init__(self, view: FleetView, metrics: Metrics) -> None:
        self._view = view
        self._metrics = metrics
        self._known: set[str] = set()

    def follow(self, ledger: Ledger) -> None:
        """Add gauges for each service that appears in the configuration."""
        ledger.on_change(self._add_new)

    def _add_new(self, state: FleetState, _: Sequence[LogEntry]) -> None:
        for name in [each for each in state.services if each not in self._known]:
            self._known.add(name)
            for kind in ReplicaKind:
                self._add(name, kind)

    def _add(self, name: str, kind: ReplicaKind) -> None:
        def read() -> float:
            return float(self._count(name, kind))

        self._metrics.read_gauge("service_replicas", read, service=name, kind=kind)

    def _count(self, name: str, kind: ReplicaKind) -> int:
        service = self._view.state().services.get(name)
        if service is None:
            return 0
        progress = progress_of(service, self._view)
        match kind:
            case ReplicaKind.DECLARED:
                return progress.declared
            case ReplicaKind.PLACED:
                return progress.placed
            case ReplicaKind.SERVING:
                return progress.serving
