"""Compose the updates that an entry sends to others, and the routes for entries with older ones."""

import math
from collections.abc import Sequence

import xxhash

from lacewinggw.decisions.routechanges import RoutePath, RoutesChange, RoutesDifference
from lacewinggw.decisions.routingview import RoutingView
from lacewinggw.decisions.storeposition import StorePosition
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.ids import Address, Place
from lacewinggw.log import get_logger
from lacewinggw.wire.packing import pack_routes, split_parts
from lacewinggw.wire.validation import require_valid

MS_PER_S = 1000.0
MAX_AGE_S = 3600.0  # sent for data that was never confirmed

log = get_logger(__name__)


def compose_entry_update(
    view: RoutingView,
    routes_position: StorePosition,
    targets_age_s: float,
    caller_address: Address,
    ready: bool,
    limits: Sequence[messages.TargetLimit],
    cold: Sequence[messages.ColdTarget],
    now: float,
) -> messages.EntryUpdate:
    """Return the update of an entry.

    `routes_position` is the store position up to which it knows routes and versions. Its list of
    targets was current in the store `targets_age_s` ago. `limits` are the rate limits of targets,
    and `cold` has the targets that stay cold for some time.
    """
    routes = view.routes
    return messages.EntryUpdate(
        caller_address=caller_address,
        ready=ready,
        routes_version=routes.version if routes else 0,
        routes_age_ms=_to_age_ms(view.routes_age_s(now)),
        routes_seen_age_ms=_to_age_ms(view.routes_observed_age_s(now)),
        leaving=sorted(view.leaving & view.targets.keys()),
        named=[
            messages.NamedModelVersion(
                model, due.version, round((now - due.received_at) * MS_PER_S), due.is_guess
            )
            for model, due in view.all_required_versions
        ],
        routes_position=routes_position.revision,
        store_era=routes_position.era,
        targets_age_ms=_to_age_ms(targets_age_s),
        targets_digest=digest_targets(view),
        limits=list(limits),
        evacuated=[
            messages.EvacuatedPlace(place, _to_age_ms(now - since))
            for place, since in sorted(view.evacuations.listed.items())
        ],
        evacuated_position=view.evacuations.evidence.revision,
        evacuated_era=view.evacuations.evidence.era,
        cold=list(cold),
    )


def compose_differences(
    view: RoutingView, version: int, now: float
) -> list[messages.RoutesDifference]:
    """Return the difference from a version of the routes to the newest one, if it is known."""
    change = view.changes_since(version)
    if change is None:
        return []
    difference = change.difference
    return [
        messages.RoutesDifference(
            base_version=difference.base_version,
            version=difference.version,
            base_seen_age_ms=_to_age_ms(now - change.base_observed_at),
            paths=[messages.RoutePath(*path) for path in sorted(difference.paths)],
            keys=sorted(difference.keys),
            is_total=difference.is_total,
            version_age_ms=_to_age_ms(now - change.confirmed_at),
            version_seen_age_ms=_to_age_ms(now - change.observed_at),
        )
    ]


def apply_difference(
    view: RoutingView, message: messages.RoutesDifference, sent_at: float = -math.inf
) -> None:
    """Record a difference that another entry sent.

    It answers a question sent at `sent_at`. Without a question its ages are not used, as it may
    have been delayed.

    Raise `ProtocolViolation` if it is invalid.
    """
    require_valid(message)
    difference = RoutesDifference(
        message.base_version,
        message.version,
        frozenset(RoutePath(path.domain, path.prefix) for path in message.paths),
        frozenset(message.keys),
        message.is_total,
    )
    change = RoutesChange(
        difference,
        base_observed_at=sent_at - message.base_seen_age_ms / MS_PER_S,
        confirmed_at=sent_at - message.version_age_ms / MS_PER_S,
        observed_at=sent_at - message.version_seen_age_ms / MS_PER_S,
    )
    if view.note_difference(change):
        log.info(
            "routes_difference",
            base=difference.base_version,
            version=difference.version,
            paths=len(difference.paths),
            keys=len(difference.keys),
            all=difference.is_total,
        )


def apply_evacuated(view: RoutingView, update: messages.EntryUpdate, now: float) -> bool:
    """Adopt another entry's evacuated zones if they are newer; return whether they were.

    The ages in the update count from `now`.
    """
    since = {Place(each.place): now - each.age_ms / MS_PER_S for each in update.evacuated}
    evidence = StorePosition(update.evacuated_era, update.evacuated_position)
    return view.evacuations.adopt(since, evidence, now)


def digest_targets(view: RoutingView) -> int:
    """Return a digest that is equal for equal sets of targets and of leaving targets."""
    leaving = view.leaving
    lines = (f"{target} {target in leaving}" for target in sorted(view.targets))
    return xxhash.xxh3_64_intdigest("\n".join(lines).encode()) >> 1  # fits a signed 64-bit integer


def _to_age_ms(age_s: float) -> int:
    return math.ceil(min(age_s, MAX_AGE_S) * MS_PER_S)


class PackedRoutes:
    """The routes in the form sent to other entries: packed once per version and split in parts."""

    def __init__(self, view: RoutingView) -> None:
        self._view = view
        self._version = 0
        self._parts: Sequence[bytes] = ()

    def parts_for(self, known_version: int) -> Sequence[bytes]:
        """Return the parts of the routes; empty if `known_version` is not older than ours."""
        routes = self._view.routes
        if routes is None or routes.version <= known_version:
            return ()
        if self._version != routes.version:
            self._version, self._parts = routes.version, split_parts(pack_routes(routes.source))
        return self._parts
