"""Assignment of an agent: its model, the versions named, and the hosts of its service.

Entries send it, since they read the store anyway; while none of them does, the agent reads the
store. Either way versions only rise, and the list of targets with the higher position is used.
"""

from collections.abc import Mapping, Sequence

from lacewinggw.clock import Clock
from lacewinggw.decisions.coldstart import ColdSource
from lacewinggw.decisions.routes import RouteTable, WeightsProfile
from lacewinggw.decisions.routingview import RequiredVersion, RoutingView, RoutingViewRules
from lacewinggw.decisions.storeclock import AnswerTimes
from lacewinggw.decisions.storeposition import NO_POSITION, StorePosition
from lacewinggw.decisions.targetlist import DueVersion, TargetEntry
from lacewinggw.fleet.agentupdates import MAX_AGE_MS, are_all_resumable
from lacewinggw.fleet.feed import FeedUpdate, ItemChanged, listed_targets
from lacewinggw.fleet.listing import apply_evacuations, apply_target_list
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.ids import Address, HostId, ModelName, Place, ServiceName, TargetId, TargetName
from lacewinggw.loader.coldtarget import ColdService, ListedColdTime
from lacewinggw.log import get_logger
from lacewinggw.wire.validation import require_valid

MS_PER_S = 1000.0
# Entries send updates every 1.5 s; after more than two missing ones, the store is read.
UPDATE_TIMEOUT_S = 4.0

log = get_logger(__name__)


class Assignment:
    """The assignment of the agent for the target at `address`, of the service `name`."""

    def __init__(
        self, name: ServiceName, address: Address, rules: RoutingViewRules, clock: Clock
    ) -> None:
        self.model: ModelName | None = None
        self.figures: WeightsProfile | None = None
        self.origin: Address | None = None
        self.origin_bytes_per_s = 0.0
        self.resumable = False
        self.cold_service: ColdService | None = None  # None until known
        self.listed_cold_time: ListedColdTime | None = None  # None until reported
        self._name = name
        self._address = address
        self._clock = clock
        self._routing_view = RoutingView(rules)
        self._routes_version = 0
        self._position = NO_POSITION
        self._updated_at = float("-inf")
        self._hosts: Mapping[HostId, Place] | None = None  # None: to be computed again

    @property
    def has_recent_update(self) -> bool:
        """Whether an entry sent an update recently, so that the store need not be read."""
        return self._clock() - self._updated_at < UPDATE_TIMEOUT_S

    @property
    def due_versions(self) -> Sequence[RequiredVersion]:
        """The versions that were named, oldest first."""
        return self._routing_view.required_versions(self.model) if self.model else ()

    @property
    def hosts(self) -> Mapping[HostId, Place]:
        """The hosts of the service's targets, except targets that are leaving."""
        if self._hosts is None:
            self._hosts = {
                HostId(entry.address.rpartition(":")[0]): entry.place
                for entry in self._routing_view.targets.values()
                if entry.service == self._name and entry.target not in self._routing_view.leaving
            }
        return self._hosts

    @property
    def own_target(self) -> TargetEntry | None:
        """The current incarnation of the agent's target, None until it is listed."""
        own_entries = [
            entry for entry in self._routing_view.targets.values() if entry.address == self._address
        ]
        return max(own_entries, key=lambda entry: entry.born_ms, default=None)

    def is_leaving(self, target: TargetId) -> bool:
        """Return whether a target accepts no new work."""
        return target in self._routing_view.leaving

    def is_evacuated(self, place: Place) -> bool:
        """Return whether the targets of a place get no requests."""
        evacuations = self._routing_view.evacuations
        evacuations.expire(self._clock())
        return place in evacuations.places

    def apply_rules(self, rules: RoutingViewRules) -> None:
        """Apply changed bounds."""
        self._routing_view.rules = rules

    def note_store_regained(self, now: float) -> None:
        """Record that the store answers again."""
        self._routing_view.record_outage_end(now)

    # ---- from the store -------------------------------------------------------------------

    def apply_configuration(self, update: FeedUpdate, _: AnswerTimes) -> None:
        """Apply routes, versions and evacuations read from the store."""
        apply_evacuations(self._routing_view.evacuations, update, self._clock())
        for change in update.changes:
            match change:
                case ItemChanged(RouteTable() as table):
                    self._apply_routes(table)
                case ItemChanged(DueVersion() as due):
                    self._add_due_version(due, self._clock(), update.whole)

    def apply_targets(self, update: FeedUpdate, times: AnswerTimes) -> None:
        """Apply targets read from the store."""
        for entry in listed_targets(update):
            if entry.address == self._address and (entry.cold_s or not update.restored):
                self.listed_cold_time = ListedColdTime(
                    entry.born_ms,
                    self._clock() + entry.cold_s,
                    times.composed_at,
                    ColdSource.ROW,
                )
        self._hosts = None
        now = self._clock()
        self._routing_view.expire(now)
        self._position = max(self._position, update.position)
        apply_target_list(self._routing_view, update, now)

    def _apply_routes(self, table: RouteTable) -> None:
        if not self._routing_view.update_routes(table):
            return
        service = table.services.get(self._name)
        if service is not None:
            self.cold_service = ColdService(service.cold_per_s, service.cold_start_s)
        if service is None or service.weights is None or not service.models:
            return
        self.model, self.figures = service.models[0], service.weights
        self.resumable = are_all_resumable(table, self._name)
        for each in table.services.values():
            if each.origin is not None:
                self.origin, self.origin_bytes_per_s = each.origin, each.origin_bytes_per_s

    def _add_due_version(self, due: DueVersion, now: float, is_old: bool) -> None:
        if self._routing_view.require_version(due, now, is_old):
            log.info("version_due", model=due.model, version=due.version, old=is_old)

    # ---- from entries ---------------------------------------------------------------------

    def apply_update(self, update: messages.FleetUpdate) -> None:
        """Apply an update that an entry sent."""
        require_valid(update)
        if update.service_name != self._name:
            return
        now = self._clock()
        self._hosts = None
        self._routing_view.expire(now)
        self._updated_at = now
        if update.routes_version >= self._routes_version:
            self._routes_version = update.routes_version
            self._apply_figures(update)
        self._note_cold_time(update.targets, now)
        model = ModelName(update.model)
        for named in update.named:
            named_at = now - named.age_ms / MS_PER_S
            self._add_due_version(DueVersion(model, named.version), named_at, is_old=False)
        evidence = StorePosition(update.evacuated_era, update.evacuated_position)
        evacuated = {Place(place): now for place in update.evacuated}
        self._routing_view.evacuations.adopt(evacuated, evidence, now)
        position = StorePosition(update.store_era, update.targets_position)
        if position >= self._position:
            self._position = position
            listed = [self._target_entry(each) for each in update.targets]
            self._routing_view.replace_targets(listed, now)

    def _note_cold_time(self, targets: Sequence[messages.ServiceTarget], now: float) -> None:
        """Take what an entry knows of how long the own target stays cold."""
        for each in targets:
            if each.address != self._address or each.cold_age_ms >= MAX_AGE_MS:
                continue
            self.listed_cold_time = ListedColdTime(
                each.born_ms,
                now + each.cold_ms / MS_PER_S,
                now - each.cold_age_ms / MS_PER_S,
                ColdSource.ENTRY,
            )

    def _apply_figures(self, update: messages.FleetUpdate) -> None:
        self.model = ModelName(update.model)
        self.figures = WeightsProfile(
            update.layers, update.chunks, update.chunk_bytes, update.warmup_ms / MS_PER_S
        )
        self.resumable = update.resumable
        self.cold_service = ColdService(update.cold_per_s, update.cold_start_ms / MS_PER_S)
        self.origin = Address(update.origin) if update.origin else None
        self.origin_bytes_per_s = float(update.origin_bytes_per_s)

    def _target_entry(self, listed_target: messages.ServiceTarget) -> TargetEntry:
        return TargetEntry(
            TargetName(listed_target.name),
            self._name,
            Address(listed_target.address),
            Place(listed_target.place),
            born_ms=listed_target.born_ms,
        )
