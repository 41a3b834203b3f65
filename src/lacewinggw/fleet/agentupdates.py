"""Compose the updates that entries send to agents.

An agent needs the structure of its service's weights, the required versions and their ages, the
address of the origin, and the participating targets. Times are sent as ages at the time of sending,
so no clocks are compared; the transfer time of a message is well within the margins of a change of
weights.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from lacewinggw.decisions.coldstart import ColdReport
from lacewinggw.decisions.routes import RetryPolicy, RouteTable, Service
from lacewinggw.decisions.routingview import RoutingView
from lacewinggw.decisions.storeposition import StorePosition
from lacewinggw.decisions.targetlist import TargetEntry
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.ids import ServiceName, TargetId

MS_PER_S = 1000.0
MAX_AGE_MS = 3_600_000  # the age that stands for no report; it is the default of the message
NO_COLD_REPORTS: Mapping[TargetId, ColdReport] = {}


def compose_update(
    view: RoutingView,
    service: Service,
    position: StorePosition,
    now: float,
    cold: Mapping[TargetId, ColdReport] = NO_COLD_REPORTS,
) -> messages.FleetUpdate | None:
    """Return the update for the agents of a service; None while required data is missing.

    `cold` has the reports of how long targets stay cold, if the service limits cold targets.
    """
    table = view.routes
    if table is None or service.weights is None or not service.models:
        return None
    model = service.models[0]
    origin = next((each for each in table.services.values() if each.origin is not None), None)
    return messages.FleetUpdate(
        service_name=service.name,
        routes_version=table.version,
        model=model,
        layers=service.weights.layers,
        chunks=service.weights.chunks,
        chunk_bytes=service.weights.chunk_bytes,
        warmup_ms=round(service.weights.warmup_s * MS_PER_S),
        origin=origin.origin if origin else "",
        origin_bytes_per_s=round(origin.origin_bytes_per_s) if origin else 0,
        resumable=are_all_resumable(table, service.name),
        named=[
            messages.NamedVersion(due.version, round((now - due.received_at) * MS_PER_S))
            for due in view.required_versions(model)
        ],
        targets_position=position.revision,
        store_era=position.era,
        targets=[
            _encode_target(each, cold.get(each.target), now)
            for each in _remaining_targets(view, service.name)
        ],
        cold_per_s=service.cold_per_s,
        cold_start_ms=round(service.cold_start_s * MS_PER_S),
        evacuated=sorted(view.evacuations.listed),
        evacuated_position=view.evacuations.evidence.revision,
        evacuated_era=view.evacuations.evidence.era,
    )


@dataclass(frozen=True)
class FleetContent:
    """The parts of an update that decide whether it is new: all but ages and store position."""

    store_era: int
    routes_version: int
    versions: tuple[int, ...]
    targets: tuple[messages.ServiceTarget, ...]
    evacuated: tuple[str, ...] = ()
    cold: frozenset[str] = frozenset()


def content_of(update: messages.FleetUpdate) -> FleetContent:
    """Return the content of an update; data from the routes is represented by their version."""
    versions = tuple(named.version for named in update.named)
    targets = tuple(
        messages.ServiceTarget(each.name, each.address, each.place, each.born_ms)
        for each in update.targets
    )
    cold = frozenset(each.name for each in update.targets if each.cold_ms)
    return FleetContent(
        update.store_era,
        update.routes_version,
        versions,
        targets,
        tuple(update.evacuated),
        cold,
    )


def are_all_resumable(table: RouteTable, name: ServiceName) -> bool:
    """Return whether every request of a service can be resumed at another target."""
    return all(
        route.retry_policy is RetryPolicy.RESUMABLE
        for route in table.routes
        if any(share.service == name for share in route.shares)
    )


def _remaining_targets(view: RoutingView, name: ServiceName) -> Sequence[TargetEntry]:
    return [
        entry
        for entry in view.targets.values()
        if entry.service == name and entry.target not in view.leaving
    ]


def _encode_target(
    entry: TargetEntry, cold: ColdReport | None, now: float
) -> messages.ServiceTarget:
    target = messages.ServiceTarget(entry.name, entry.address, entry.place, entry.born_ms)
    if cold is not None:
        target.cold_ms = math.ceil(cold.remaining_s * MS_PER_S)
        target.cold_age_ms = min(MAX_AGE_MS, round((now - cold.seen_at) * MS_PER_S))
    return target
