"""The entry process of a declared fleet: its view of the fleet, its queue and its sockets."""

import asyncio
import math
import random
from collections.abc import Callable, Sequence, Set
from dataclasses import dataclass

from lacewinggw.clients.membership import Member, MemberRole
from lacewinggw.clock import Clock, read_boot_clock
from lacewinggw.decisions.dispatch import TargetPool
from lacewinggw.decisions.ejection import EjectionRules
from lacewinggw.decisions.locality import ReadyEntry, choose_entries
from lacewinggw.decisions.routereaders import LocalEntry, PeerEntry
from lacewinggw.decisions.routes import CallerLimits
from lacewinggw.decisions.routingview import RoutingView
from lacewinggw.decisions.storeposition import StorePosition
from lacewinggw.errors import MalformedHttp
from lacewinggw.fleet.announcer import Announcer
from lacewinggw.fleet.bounds import cold_tolerance, knowledge_rules
from lacewinggw.fleet.feed import FleetFeed
from lacewinggw.fleet.ownrows import OwnRows
from lacewinggw.fleet.running import run_process
from lacewinggw.frontend.agents import AgentLinks
from lacewinggw.frontend.agentslots import AgentSlots
from lacewinggw.frontend.attempts import RelayDependencies
from lacewinggw.frontend.callers import CallerConnection, CallerListener
from lacewinggw.frontend.calls import Call, CallCodec
from lacewinggw.frontend.coldtargets import ColdTargets
from lacewinggw.frontend.crashes import CrashMonitor
from lacewinggw.frontend.dispatchqueue import DispatchQueue
from lacewinggw.frontend.entryupdates import (
    PackedRoutes,
    apply_difference,
    apply_evacuated,
    compose_differences,
    compose_entry_update,
)
from lacewinggw.frontend.evacuations import EvacuationMonitor, EvacuationSource
from lacewinggw.frontend.fetching import DecodeRoutes, RoutesFetcher
from lacewinggw.frontend.freshness import FreshnessChecker
from lacewinggw.frontend.leavingtargets import LeavingSource, LeavingTargets
from lacewinggw.frontend.neighbours import EntryNeighbours
from lacewinggw.frontend.offers import Offers
from lacewinggw.frontend.operatorpages import OperatorPages
from lacewinggw.frontend.readpolicy import StoreReadPolicy
from lacewinggw.frontend.relay import RequestRelay
from lacewinggw.frontend.requesthomes import RequestHomes
from lacewinggw.frontend.requestplacer import RequestPlacer, RetryLimits
from lacewinggw.frontend.routeslog import RoutesLog
from lacewinggw.frontend.signal import Signal
from lacewinggw.frontend.storefollower import StoreFollower
from lacewinggw.frontend.targetanswers import TargetAnswers
from lacewinggw.frontend.targetrates import TargetRates
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.generated.settings.ttypes import Settings
from lacewinggw.health import Health, Readiness
from lacewinggw.ids import Address, HostId, Place, ServiceName, TargetId, new_incarnation
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics
from lacewinggw.wire.clients import Clients
from lacewinggw.wire.frames import Message
from lacewinggw.wire.http import PAGE_LIMITS, Handler, HeaderList, HttpClient
from lacewinggw.wire.httpserver import HttpServer
from lacewinggw.wire.network import Network, TcpNetwork
from lacewinggw.wire.peers import Exchange, Identity, PeerLink, PeerNode
from lacewinggw.wire.validation import require_valid

MS_PER_S = 1000.0
PERCENT = 100.0
EXTRA_RETRIES_SHARE = 0.8  # of the fleet's limit, since entries may miscount each other for a while
# The first update after a change of the routes tells what it has changed. Entries that miss it, or
# have older routes, ask.
ANNOUNCE_CHANGE_S = 0.2
# While the entry leaves, for at most this share of the grace period, callers with a cached
# directory answer still connect.
ACCEPT_WHILE_LEAVING_S = 2.5
ACCEPT_SHARE = 1 / 3
# Before the process is killed, to close what is left in order, and at most this share of the grace
# period: until its last sixth, operators expect requests to be served.
CLOSE_MARGIN_S = 0.7
CLOSE_SHARE = 1 / 8

log = get_logger(__name__)

Resolve = Callable[[str, Place], Sequence[Address]]


@dataclass(frozen=True)
class FrontendAdapter:
    """The operators' platform: its store, its request headers, and its two pages."""

    feed: FleetFeed
    rows: OwnRows
    codec: CallCodec
    ready_page: Callable[[Callable[[], bool]], Handler]
    directory_page: Callable[[Resolve, Callable[[], float]], Handler]
    decode_routes: DecodeRoutes


class FrontendProcess:
    """Runs all components of one entry of a declared fleet.

    entry = FrontendProcess.from_config(settings, adapter)
    await entry.start()
    ...
    await entry.drain()
    await entry.close()
    """

    def __init__(
        self,
        settings: Settings,
        adapter: FrontendAdapter,
        network: Network,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        fleet, process, entry = settings.fleet, settings.process, settings.entry
        self.metrics = Metrics()
        self._clients = Clients.from_config(process, self.metrics)
        self.knowledge = RoutingView(knowledge_rules(settings), clock())
        self._settings = settings
        self._adapter = adapter
        self._network = network
        self._clock = clock
        self._rng = rng
        self._host = HostId(process.host)
        self._place = Place(process.place)
        self._local_entry = LocalEntry(self._host, self._place)
        self._is_leaving = False
        self._packed_routes = PackedRoutes(self.knowledge)
        self._homes = RequestHomes(
            self.knowledge, fleet.regions, lambda: self.queue.drop_closed_targets()
        )
        self.incarnation = new_incarnation(rng)
        identity = Identity(process.host, messages.Role.ENTRY, process.place, self.incarnation)
        self._node = PeerNode(
            network,
            identity,
            process.fleet_key,
            self._handle,
            on_notification=self._handle_notice,
            admission=self._clients.page_admission("peers"),
        )
        self._neighbours = self._make_neighbours()
        self._leaving_targets = LeavingTargets(
            self.knowledge,
            lambda: self.queue.drop_closed_targets(),
            self._neighbours.schedule_update,
            self.metrics,
        )
        self.pool = TargetPool(
            self._place,
            _ejection_rules(settings),
            rng,
            leaving=self.knowledge.leaving,
            evacuated=self.knowledge.evacuations.places,
            regions=self._homes.regions,
            connections_of=self._connections_of,
        )
        self._evacuations = EvacuationMonitor(
            self.knowledge.evacuations,
            self.pool,
            self._on_evacuations_changed,
            clock,
            self.metrics,
        )
        self._routes_changed = Signal()
        self._routes_version = 0
        self._routes_taken_at = -math.inf
        self._routes_log = RoutesLog(clock, self.metrics)
        self._fetcher = self._make_fetcher()
        self._freshness = self._make_freshness_checker()
        self._read_policy = StoreReadPolicy(
            self._local_entry,
            self.knowledge,
            self._neighbours.active_entries,
            self._listed_entries,
            lambda: self._fetcher.is_fetching,
            clock,
        )
        self._rates = self._make_rates()
        self._cold = self._make_cold()
        self._answers = TargetAnswers(
            self.pool,
            self._rates,
            self._leaving_targets,
            self._cold,
            lambda: self.queue.drop_closed_targets(),
            self.metrics,
        )
        self._agents = self._make_agents()
        self._store = self._make_store_follower()
        self._slots = AgentSlots(self._node, self._agent_port)
        self.queue = DispatchQueue(self.pool, self.metrics, self._slots.ask, rng)
        self._http = HttpClient(network, idle_connections=0)
        self._crashes = self._make_crashes()
        self.relay = self._make_relay()
        self._callers = CallerListener(
            network,
            entry.caller_listen,
            self._serve,
            self._limits,
            self._read_id,
            self.relay.find_refusal,
            self._clients.caller_admission("callers"),
        )
        self._servers = self._make_servers()
        self._announcer = Announcer(adapter.rows, self._member(), rng)
        self._register_gauges()

    @classmethod
    def from_config(cls, settings: Settings, adapter: FrontendAdapter) -> "FrontendProcess":
        """Return the process that the settings describe."""
        return cls(settings, adapter, TcpNetwork(), read_boot_clock, random.SystemRandom())

    @property
    def is_ready(self) -> bool:
        """Whether the directory may direct callers to this entry."""
        is_loaded = self.knowledge.can_accept_keys(self._clock()) and self._store.has_targets
        return is_loaded and self.knowledge.evacuations.is_known and not self._is_leaving

    # ---- components ----------------------------------------------------------------------------

    @property
    def _agent_port(self) -> str:
        """The port on which agents listen, which is the same as that of entries."""
        return self._settings.entry.peer_listen.rpartition(":")[2]

    def _make_neighbours(self) -> EntryNeighbours:
        return EntryNeighbours(
            self._node,
            self._host,
            self._place,
            self._compose_notification,
            self._apply_update,
            lambda: self._crashes.compose_full_update(),
            lambda: self._read_policy.is_reader,
            self._clock,
            self._rng,
        )

    def _make_fetcher(self) -> RoutesFetcher:
        return RoutesFetcher(
            self._node,
            self._local_entry,
            self.knowledge,
            self._adapter.decode_routes,
            self._evacuations,
            self._neighbours.active_entries,
            lambda: self._store.cancel_routes_read(),
            self._on_difference,
            self._on_routes_fetched,
            self._routes_log,
            self._clock,
            self.metrics,
        )

    def _make_freshness_checker(self) -> FreshnessChecker:
        return FreshnessChecker(
            self._node,
            self._local_entry,
            self.knowledge,
            self._leaving_targets,
            self._evacuations,
            self._neighbours.active_entries,
            self._apply_answer,
            self._clock,
            self.metrics,
        )

    def _make_rates(self) -> TargetRates:
        return TargetRates(
            self.pool,
            self._local_entry,
            self._listed_entries,
            lambda: self._read_policy.is_reader,
            self._neighbours.schedule_update,
            self._clock,
            self.metrics,
        )

    def _make_cold(self) -> ColdTargets:
        return ColdTargets(
            self.pool,
            self.knowledge,
            self._local_entry,
            self._listed_entries,
            lambda: cold_tolerance(self._settings),
            self._neighbours.schedule_update,
            self._on_cold_change,
            self._clock,
            self.metrics,
        )

    def _make_agents(self) -> AgentLinks:
        return AgentLinks(
            self._node,
            self._host,
            self._place,
            self._agent_port,
            self.knowledge,
            self.pool,
            self._leaving_targets,
            self._cold,
            self._ready_hosts,
            self._clock,
            self._rng,
        )

    def _make_store_follower(self) -> StoreFollower:
        return StoreFollower(
            self._adapter.feed,
            self.knowledge,
            self.pool,
            self._clock,
            self.metrics,
            self._rng,
            self._read_policy.is_frequent_reader,
            self._read_policy.should_read_routes,
            self._read_policy.is_list_confirmed,
            self._on_store_update,
            self._on_members_changed,
            self._leaving_targets,
            self._evacuations,
            self._neighbours.schedule_update,
            lambda change: self._crashes.apply_store_change(change),
            self._on_store_restored,
            self._cold.apply_rows,
            self._routes_log,
        )

    def _make_crashes(self) -> CrashMonitor:
        return CrashMonitor(
            self._http,
            self._adapter.rows,
            self._neighbours.broadcast,
            lambda: self._read_policy.is_reader,
            self._clock,
            self.metrics,
            self._rng,
        )

    def _make_relay(self) -> RequestRelay:
        placing = RequestPlacer(
            self.knowledge,
            self.queue,
            self._clock,
            self._retry_limits,
            self._count_entries,
            self._extra_retries_from(),
            self._crashes.suspicion_of,
            self._homes.rule_for,
        )
        return RequestRelay(
            RelayDependencies(
                codec=self._adapter.codec,
                knowledge=self.knowledge,
                pool=self.pool,
                queue=self.queue,
                placer=placing,
                offers=Offers(self._http, self._adapter.codec, self.pool, self._answers),
                crashes=self._crashes,
                clock=self._clock,
                metrics=self.metrics,
                rng=self._rng,
                leaving_targets=self._leaving_targets,
                report_gap=self._slots.report_gap,
                routes_changed=self._routes_changed,
            )
        )

    def _make_servers(self) -> list[HttpServer]:
        ready = self._adapter.ready_page(lambda: self.is_ready)
        directory = self._adapter.directory_page(self.resolve, self._address_ttl_s)
        pages = OperatorPages(Health(self.metrics, self._readiness), self._evacuations)
        entry = self._settings.entry
        listeners = [
            ("ready", entry.ready_listen, ready),
            ("directory", entry.directory_listen, directory),
            ("operators", entry.operator_listen, pages.handle),
        ]
        return [
            HttpServer(
                self._network, address, handler, PAGE_LIMITS, self._clients.page_admission(name)
            )
            for name, address, handler in listeners
        ]

    # ---- life cycle -----------------------------------------------------------------------------

    async def start(self) -> None:
        """Start following the store, then accept callers."""
        self._read_policy.note_start()
        await self._store.start()
        await self._node.start(self._settings.entry.peer_listen)
        for server in self._servers:
            await server.start()
        await self._callers.start()
        await self._neighbours.start()
        await self._freshness.start()
        await self._fetcher.start()
        await self._agents.start(self._store)
        await self.queue.start()
        await self._crashes.start()
        await self._announcer.start()

    async def drain(self) -> None:
        """Report not ready, accept late callers for a while, and finish the running requests."""
        self._is_leaving = True
        self._neighbours.schedule_update()
        self._callers.disable_keep_alive()
        began_at = asyncio.get_running_loop().time()
        grace_s = self._settings.fleet.grace_ms / MS_PER_S
        accept_s = min(ACCEPT_WHILE_LEAVING_S, ACCEPT_SHARE * grace_s)
        margin_s = min(CLOSE_MARGIN_S, CLOSE_SHARE * grace_s)
        await asyncio.sleep(accept_s)
        # The wait above takes longer if the event loop is busy; the grace period does not.
        await self._callers.close(grace_s - accept_s - margin_s, began_at + accept_s)

    async def close(self) -> None:
        """Stop immediately."""
        await self._callers.close()
        await self._announcer.close()
        await self._store.close()
        await self.queue.close()
        await self._crashes.close()
        await self._freshness.close()
        await self._fetcher.close()
        await self._neighbours.close()
        await self._agents.close()
        for server in self._servers:
            await server.close()
        await self._node.close()
        await self._http.close()

    def _member(self) -> Member:
        entry = self._settings.entry
        return Member(
            host=self._host,
            place=self._place,
            role=MemberRole.ENTRY,
            address=Address(entry.peer_listen),
            caller_address=Address(entry.caller_address or entry.caller_listen),
        )

    def _retry_limits(self) -> RetryLimits:
        fleet = self._settings.fleet
        return RetryLimits(
            share=fleet.retry_percent / PERCENT,
            extra=EXTRA_RETRIES_SHARE * fleet.extra_retries,
            window_s=fleet.retry_window_ms / MS_PER_S,
        )

    def _extra_retries_from(self) -> float:
        """Return from when this process may make extra retries.

        Its predecessor may have used its part until it ended, which counts for a window from then
        on. The predecessor's other retries were covered by its own requests.
        """
        if self._settings.fleet.first_start:
            return -math.inf
        return self._clock() + self._retry_limits().window_s

    def apply(self, settings: Settings) -> None:
        """Apply changed settings: the bounds of the fleet and the lifetime of directory answers.

        The regions of places are applied as well. Changed addresses take effect at the next start.
        """
        self._settings.fleet = settings.fleet
        self._settings.entry.address_ttl_ms = settings.entry.address_ttl_ms
        self.knowledge.rules = knowledge_rules(settings)
        self._homes.apply_regions(settings.fleet.regions)

    def _register_gauges(self) -> None:
        knowledge, metrics = self.knowledge, self.metrics
        metrics.read_gauge("routes_age", lambda: knowledge.routes_age_s(self._clock()))
        metrics.read_gauge("targets_slow", self._count_slow_targets)
        metrics.read_gauge("targets_known", lambda: len(knowledge.targets))
        metrics.read_gauge(
            "routes_version", lambda: knowledge.routes.version if knowledge.routes else 0
        )

    def _count_slow_targets(self) -> int:
        now = asyncio.get_running_loop().time()
        return sum(load.speed.factor(now) > 1.0 for load in self.pool.loads.values())

    def _count_entries(self) -> int:
        """Return the number of entries; 0 until the list has been read."""
        return len(self._store.members)

    def _connections_of(self, service: ServiceName) -> float:
        """Return this entry's share of the connections that each target of a service allows.

        The share is at least one: with more entries than connections, few entries use the same
        target at a time.
        """
        routes = self.knowledge.routes
        declared = routes.services.get(service) if routes else None
        if declared is None or not declared.connection_limit:
            return math.inf
        return max(1, declared.connection_limit // max(1, self._count_entries()))

    def _ready_hosts(self) -> Sequence[HostId]:
        return [self._host, *(entry.host for entry in self._neighbours.ready_entries())]

    def _listed_entries(self) -> Sequence[PeerEntry] | None:
        """Return the entries that the store lists; None until the list has been read."""
        if not self._store.has_members:
            return None
        return [
            PeerEntry(member.host, member.place, member.address)
            for member in self._store.members.values()
            if member.role is MemberRole.ENTRY
        ]

    def _on_routes_fetched(self, position: StorePosition) -> None:
        """Continue from the position of fetched routes, and notify the entries of this place."""
        self._store.advance_routes(position)
        self._on_store_update()
        if self._read_policy.is_reader:
            self._neighbours.schedule_update()

    def _on_difference(self) -> None:
        """Wake requests that wait for newer routes, and pass on what these change."""
        self._routes_changed.send()
        self._neighbours.schedule_update()

    def _on_store_update(self) -> None:
        """Apply changed routes, home regions and rates of cold targets, and notify the agents."""
        self._note_routes()
        self._homes.note_routes()
        self._agents.schedule_update()
        self._cold.update_shares()

    def _note_routes(self) -> None:
        """Record a new version of the routes, and wake the requests that wait for it."""
        routes = self.knowledge.routes
        if routes is not None and routes.version != self._routes_version:
            self._routes_version, self._routes_taken_at = routes.version, self._clock()
            self._routes_changed.send()

    def _on_evacuations_changed(self, before: Set[Place], after: Set[Place]) -> None:
        """Have waiting requests search elsewhere, and notify agents and other entries."""
        self.queue.apply_evacuation(before, after)
        self._agents.schedule_update()
        if self._read_policy.is_reader:
            self._neighbours.schedule_update()

    def _on_cold_change(self) -> None:
        """Notify the agents, and refuse requests that wait for a cold target in vain."""
        self._agents.schedule_update()
        self.queue.drop_closed_targets()

    def _on_store_restored(self, keys: Set[str]) -> None:
        """Rewrite this process's rows that a store restored from an older copy lacks."""
        if self._host not in keys:
            self._announcer.announce_again()
        self._crashes.rewrite_missing(keys)

    def _on_members_changed(self) -> None:
        self._neighbours.set_members(self._store.members.values())
        self._rates.update_shares()
        self._cold.update_shares()

    def _readiness(self) -> Readiness:
        version = self.knowledge.routes.version if self.knowledge.routes else 0
        reason = (
            "" if self.is_ready else "routes or targets are not loaded, or the entry is leaving"
        )
        return Readiness(self.is_ready, reason, version)

    # ---- callers --------------------------------------------------------------------------

    def _limits(self) -> CallerLimits:
        return self.knowledge.routes.limits if self.knowledge.routes else CallerLimits()

    async def _serve(self, call: Call, caller: CallerConnection) -> None:
        await self.relay.serve(call, caller)

    def _read_id(self, headers: HeaderList) -> str:
        """Return the id of a request; empty if its head has none, or has not been read."""
        try:
            return self._adapter.codec.read_call(headers).call_id
        except MalformedHttp:
            return ""

    def _address_ttl_s(self) -> float:
        return self._settings.entry.address_ttl_ms / MS_PER_S

    def resolve(self, domain: str, place: Place) -> Sequence[Address]:
        """Return the addresses of entries that a caller in `place` may use."""
        entries = list(self._neighbours.ready_entries())
        if self.is_ready:
            member = self._member()
            entries.append(ReadyEntry(self._host, self._place, member.caller_address))
        return choose_entries(entries, place, self._homes.regions, self._homes.is_declared)

    # ---- other processes ------------------------------------------------------------------

    async def _handle(self, exchange: Exchange) -> None:
        match exchange.message:
            case messages.AskUpdate() as question:
                differences = self._compose_differences(question)
                if question.wants_routes:
                    for difference in differences:
                        exchange.reply(difference)
                    for part in self._packed_routes.parts_for(question.routes_version):
                        exchange.reply(messages.RoutesPart(part))
                update = self._compose_update()
                update.differences = differences
                exchange.finish(update)

    def _handle_notice(self, link: PeerLink, message: Message) -> bool:
        match message:
            case messages.Watch() as watch:
                self._neighbours.apply_watch(link, watch)
            case messages.EntryUpdate() as update:
                require_valid(update)
                self._neighbours.apply_update(link, update)
            case messages.TargetUpdate() as update:
                self._agents.apply_update(update)
            case messages.CrashUpdate() as update:
                self._crashes.apply_update(update)
        return True

    def _compose_differences(self, question: messages.AskUpdate) -> list[messages.RoutesDifference]:
        if not question.wants_difference:
            return []
        return compose_differences(self.knowledge, question.routes_version, self._clock())

    def _compose_notification(self) -> messages.EntryUpdate:
        """Return an update for all subscribed entries, with what newer routes change.

        A reader tells it together with the version. The version itself may arrive much later, as it
        is large. An entry that waits for the version passes on what it changes, as other entries of
        its place may wait for the same one.
        """
        update, now = self._compose_update(), self._clock()
        versions = [update.routes_version]
        if self._read_policy.is_reader and now - self._routes_taken_at < ANNOUNCE_CHANGE_S:
            versions += self.knowledge.replaced_versions[-1:]
        update.differences = [
            difference
            for version in versions
            for difference in compose_differences(self.knowledge, version, now)
        ]
        return update

    def _compose_update(self) -> messages.EntryUpdate:
        return compose_entry_update(
            self.knowledge,
            self._store.routes_position,
            self._store.targets_age(self._clock()),
            self._member().caller_address,
            self.is_ready,
            self._rates.compose_updates(),
            self._cold.compose_updates(),
            self._clock(),
        )

    def _apply_update(self, entry: PeerEntry, update: messages.EntryUpdate) -> None:
        """Apply an update that another entry pushed.

        The age of the routes in it is ignored: it is only valid in an answer to a question.
        """
        self._store.era.note(update.store_era)
        for target in update.leaving:
            self._leaving_targets.mark_leaving(TargetId(target), LeavingSource.ENTRY)
        if apply_evacuated(self.knowledge, update, self._clock()):
            self._evacuations.publish_new(EvacuationSource.ENTRY)
        self._rates.apply_updates(entry, update.limits)
        self._cold.apply_updates(update.cold)
        for difference in update.differences:
            apply_difference(self.knowledge, difference)
            self._routes_changed.send()
        self._fetcher.note_update(entry, update)
        self._freshness.note_announced(entry)

    def _apply_answer(self, entry: PeerEntry, update: messages.EntryUpdate) -> None:
        """Apply an answer on the routes: wake requests that wait for them, and fetch newer ones."""
        self._routes_changed.send()
        self._fetcher.note_update(entry, update)


def _ejection_rules(settings: Settings) -> EjectionRules:
    routing = settings.routing
    out_s, limit = routing.eject_ms / MS_PER_S, routing.eject_limit_percent / PERCENT
    return EjectionRules(routing.eject_after, out_s, limit)


async def run_frontend(
    settings: Settings, adapter: FrontendAdapter, path: str, load: Callable[[], Settings]
) -> None:
    """Run an entry until it is signalled to stop; `load` rereads the settings file at `path`."""
    process = FrontendProcess.from_config(settings, adapter)
    await run_process(process, settings, "entry", path, load)
