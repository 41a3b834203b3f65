"""The entry process of a declared fleet: its knowledge, its queue and its sockets."""

import asyncio
import math
import random
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass

from lacewinggw.background import Background
from lacewinggw.clients.membership import Member, MemberRole
from lacewinggw.clock import Clock, read_boot_clock
from lacewinggw.decisions.dispatch import TargetPool
from lacewinggw.decisions.ejection import EjectionRules
from lacewinggw.decisions.knowledge import Knowledge
from lacewinggw.decisions.nearby import ReadyEntry, choose_entries
from lacewinggw.decisions.pollers import rank_of
from lacewinggw.decisions.routes import CallerLimits, RouteTable
from lacewinggw.decisions.targetlist import DueVersion, TargetEntry
from lacewinggw.entry.watches import Watched, Watches
from lacewinggw.fleet.announcer import Announcer
from lacewinggw.fleet.bounds import knowledge_rules
from lacewinggw.fleet.feed import Drop, FleetFeed, MemberEntry, MemberRegister, News, Put, Topic
from lacewinggw.fleet.follower import TopicFollower, Wait
from lacewinggw.fleet.newsletter import compose_news
from lacewinggw.fleet.running import run_process
from lacewinggw.frontend.callers import Caller, CallerListener
from lacewinggw.frontend.calls import Call, CallCodec
from lacewinggw.frontend.neighbours import EntryNeighbours
from lacewinggw.frontend.offers import Offers
from lacewinggw.frontend.queue import RequestQueue
from lacewinggw.frontend.relay import Relay, RelayParts, RetryLimits
from lacewinggw.frontend.vouching import VOUCHED_S, DecodeRoutes, Self, Voucher, is_reader
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.generated.settings.ttypes import Settings
from lacewinggw.health import Health, Readiness
from lacewinggw.ids import Address, HostId, ModelName, Place, TargetId, new_incarnation
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics
from lacewinggw.wire.http import Handler, HttpClient, HttpServer
from lacewinggw.wire.network import Network, TcpNetwork
from lacewinggw.wire.pages import HealthPages
from lacewinggw.wire.peers import Exchange, Identity, PeerNode

MS_PER_S = 1000.0
PERCENT = 100.0
# The age of the routes stays within half of the shortest bound on keys: a few entries read often,
# and the others ask them; who gets no answer reads often itself.
READER_WAIT = Wait(for_news_s=1.2, after_news_s=0.4)
ASKER_WAIT = Wait(for_news_s=2.4, after_news_s=0.4)
# A silent connection is noticed within the bound on leaving targets and a window of stability.
LIST_WAIT = Wait(for_news_s=4.0, after_news_s=0.3)
MEMBERS_WAIT = Wait(for_news_s=15.0, after_news_s=0.5)
EXPIRE_S = 0.1
LONGEST_AGE_S = 3600.0  # of knowledge that was never proved
FLEET_NEWS_S = 1.5  # between news for agents without a change
GATHER_S = 0.02  # changes that come together are told together
SPEAKERS = 2  # entries that tell one agent; with one, its death would leave the agent to the store
EXTRA_SHARE = 0.8  # of the fleet's extra retries: entries may count one another wrongly for a while
ACCEPT_WHILE_LEAVING_S = (
    2.5  # callers that hold an old answer still come; told to go elsewhere then
)
LAST_MARGIN_S = 0.7  # before the kill, for what is left to be closed in order

log = get_logger(__name__)

Resolve = Callable[[str, Place], Sequence[Address]]


@dataclass(frozen=True)
class FrontendAdapter:
    """How the operators' platform speaks: its store, its heads of requests, and its two pages."""

    feed: FleetFeed
    register: MemberRegister
    codec: CallCodec
    ready_page: Callable[[Callable[[], bool]], Handler]
    directory_page: Callable[[Resolve, Callable[[], float]], Handler]
    decode_routes: DecodeRoutes


class FrontendProcess:
    """Everything that runs on one entry host of a declared fleet.

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
        self.knowledge = Knowledge(knowledge_rules(settings))
        self._settings = settings
        self._adapter = adapter
        self._clock = clock
        self._regions = dict(_split_regions(fleet.regions))
        self._host = HostId(process.host)
        self._place = Place(process.place)
        self._leaving = False
        self._has_list = False
        self._members: dict[HostId, Member] = {}
        self.incarnation = new_incarnation(rng)
        identity = Identity(process.host, messages.Role.ENTRY, process.place, self.incarnation)
        self._node = PeerNode(network, identity, process.fleet_key, self._handle)
        self._neighbours = EntryNeighbours(
            self._node, self._host, self._place, self._compose_news, self._take_news, clock, rng
        )
        self._voucher = Voucher(
            self._node,
            Self(self._host, self._place),
            self.knowledge,
            adapter.decode_routes,
            self._neighbours.known,
            clock,
        )
        self._agents = Watches(self._node, self._host, lambda host: None, rng)
        routing = settings.routing
        self.pool = TargetPool(
            self._place,
            EjectionRules(
                routing.eject_after,
                routing.eject_ms / MS_PER_S,
                routing.eject_limit_percent / PERCENT,
            ),
            rng,
        )
        self.queue = RequestQueue(self.knowledge, self.pool, self.metrics)
        self._http = HttpClient(network, idle_connections=0)
        self.relay = Relay(
            RelayParts(
                codec=adapter.codec,
                knowledge=self.knowledge,
                pool=self.pool,
                queue=self.queue,
                offers=Offers(self._http, adapter.codec),
                clock=clock,
                metrics=self.metrics,
                rng=rng,
                retries=self._retry_limits,
                count_entries=self._count_entries,
            )
        )
        self._callers = CallerListener(network, entry.caller_listen, self._serve, self._limits)
        ready = adapter.ready_page(lambda: self.is_ready)
        directory = adapter.directory_page(self.resolve, self._address_ttl_s)
        pages = HealthPages(Health(self.metrics, self._readiness))
        self._servers = [
            HttpServer(network, entry.ready_listen, ready),
            HttpServer(network, entry.directory_listen, directory),
            HttpServer(network, entry.operator_listen, pages.handle),
        ]
        self._targets_follower = self._follow(Topic.TARGETS, lambda: LIST_WAIT, rng)
        self._followers = [
            self._follow(Topic.CONFIGURATION, self._routes_wait, rng),
            self._targets_follower,
            self._follow(Topic.MEMBERS, lambda: MEMBERS_WAIT, rng),
        ]
        self._announcer = Announcer(adapter.register, self._member(), rng)
        self._fleet_changed = asyncio.Event()
        self._fleet_news = Background("fleet news", self._tell_agents)
        self._expiry = Background("expiry", self._expire)
        self._show_knowledge()

    @classmethod
    def from_config(cls, settings: Settings, adapter: FrontendAdapter) -> "FrontendProcess":
        """Build the process that the settings describe."""
        return cls(settings, adapter, TcpNetwork(), read_boot_clock, random.SystemRandom())

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        knows = self.knowledge.covers_keys(self._clock()) and self._has_list
        return knows and not self._leaving

    # ---- life -----------------------------------------------------------------------------

    async def start(self) -> None:
        """Begin to follow the store, then to take callers."""
        for follower in self._followers:
            await follower.start()
        await self._node.start(self._settings.entry.peer_listen)
        for server in self._servers:
            await server.start()
        await self._callers.start()
        await self._neighbours.start()
        await self._voucher.start()
        self._agents.start()
        await self.queue.start()
        self._expiry.start()
        self._fleet_news.start()
        await self._announcer.start()

    async def drain(self) -> None:
        """Be ready no more, take callers that still come for a while, and end what is running."""
        self._leaving = True
        self._neighbours.note_change()
        self._callers.leave()
        await asyncio.sleep(ACCEPT_WHILE_LEAVING_S)
        grace_s = self._settings.fleet.grace_ms / MS_PER_S
        await self._callers.close(grace_s - ACCEPT_WHILE_LEAVING_S - LAST_MARGIN_S)

    async def close(self) -> None:
        """Stop at once."""
        await self._callers.close()
        await self._announcer.close()
        await self._fleet_news.close()
        await self._expiry.close()
        for follower in self._followers:
            await follower.close()
        await self.queue.close()
        await self._voucher.close()
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
        return RetryLimits(fleet.retry_percent / PERCENT, EXTRA_SHARE * fleet.extra_retries)

    def apply(self, settings: Settings) -> None:
        """Take in changed settings: the bounds of the fleet, and what a caller is told.

        Addresses stay as they are until the next start.
        """
        self._settings.fleet = settings.fleet
        self._settings.entry.address_ttl_ms = settings.entry.address_ttl_ms
        self.knowledge.rules = knowledge_rules(settings)

    def _show_knowledge(self) -> None:
        knowledge, metrics = self.knowledge, self.metrics
        metrics.read_gauge("routes_age", lambda: knowledge.routes_age(self._clock()))
        metrics.read_gauge("targets_known", lambda: len(knowledge.targets))
        metrics.read_gauge(
            "routes_version", lambda: knowledge.routes.version if knowledge.routes else 0
        )

    def _count_entries(self) -> int:
        """Return how many entries there are; 0 while that is not known."""
        return len(self._members)

    def _readiness(self) -> Readiness:
        version = self.knowledge.routes.version if self.knowledge.routes else 0
        reason = "" if self.is_ready else "the routes or the targets are not known, or it leaves"
        return Readiness(self.is_ready, reason, version)

    # ---- callers --------------------------------------------------------------------------

    def _limits(self) -> CallerLimits:
        return self.knowledge.routes.limits if self.knowledge.routes else CallerLimits()

    async def _serve(self, call: Call, caller: Caller) -> None:
        await self.relay.serve(call, caller)

    def _address_ttl_s(self) -> float:
        return self._settings.entry.address_ttl_ms / MS_PER_S

    def resolve(self, domain: str, place: Place) -> Sequence[Address]:
        """Return the addresses at which a caller in `place` may ask."""
        entries = list(self._neighbours.ready())
        if self.is_ready:
            mine = self._member()
            entries.append(ReadyEntry(self._host, self._place, mine.caller_address))
        return choose_entries(entries, place, self._regions)

    # ---- the store ------------------------------------------------------------------------

    def _follow(self, topic: Topic, wait: Callable[[], Wait], rng: random.Random) -> TopicFollower:
        feed, clock, metrics = self._adapter.feed, self._clock, self.metrics

        def apply(news: News, proved_at: float) -> None:
            self._apply(topic, news, proved_at)

        regained = self.knowledge.note_outage_end
        return TopicFollower(topic, feed, apply, wait, clock, metrics, rng, on_regained=regained)

    def _routes_wait(self) -> Wait:
        vouched = self.knowledge.routes_age(self._clock()) < VOUCHED_S
        me = Self(self._host, self._place)
        return (
            ASKER_WAIT if vouched and not is_reader(me, self._neighbours.known()) else READER_WAIT
        )

    def _apply(self, topic: Topic, news: News, proved_at: float) -> None:
        match topic:
            case Topic.CONFIGURATION:
                self._apply_configuration(news, proved_at)
            case Topic.TARGETS:
                self._apply_targets(news)
            case Topic.MEMBERS:
                self._apply_members(news)

    def _apply_configuration(self, news: News, proved_at: float) -> None:
        for change in news.changes:
            match change:
                case Put(RouteTable() as table) if self.knowledge.take_routes(table):
                    log.info("routes_taken", version=table.version, routes=len(table.routes))
                case Put(DueVersion() as due) if self.knowledge.take_due(
                    due, self._clock(), news.whole
                ):
                    log.info("version_due", model=due.model, version=due.version)
                    self._fleet_changed.set()
        self.knowledge.prove_routes(proved_at)

    def _apply_targets(self, news: News) -> None:
        now = self._clock()
        if news.whole:
            listed = [
                change.item
                for change in news.changes
                if isinstance(change, Put) and isinstance(change.item, TargetEntry)
            ]
            self.knowledge.take_whole_list(listed, now)
            self._has_list = True
        else:
            for change in news.changes:
                match change:
                    case Put(TargetEntry() as entry):
                        self.knowledge.take_target(entry)
                    case Drop(key):
                        self.knowledge.drop_target(TargetId(key), now)
        self._sync_targets()

    def _sync_targets(self) -> None:
        self.pool.sync(self.knowledge.targets)
        self._agents.set_targets(self._agents_wanted())
        self._fleet_changed.set()

    def _agents_wanted(self) -> set[Watched]:
        """Return the agents beside the model engines."""
        routes = self.knowledge.routes
        if routes is None:
            return set()
        engines = {name for name, each in routes.services.items() if each.engine is not None}
        targets = self.knowledge.targets.values()
        return {self._agent_of(entry) for entry in targets if entry.service in engines}

    def _apply_members(self, news: News) -> None:
        if news.whole:
            self._members.clear()
        for change in news.changes:
            match change:
                case Put(MemberEntry(member)):
                    self._members[member.host] = member
                case Drop(key):
                    self._members.pop(HostId(key), None)
        self._neighbours.set_members(self._members.values())

    async def _tell_agents(self) -> None:
        """Tell agents what concerns their service, on change and now and then."""
        while True:
            self._send_fleet_news()
            with suppress(TimeoutError):
                async with asyncio.timeout(FLEET_NEWS_S):
                    await self._fleet_changed.wait()
            self._fleet_changed.clear()
            await asyncio.sleep(GATHER_S)

    def _send_fleet_news(self) -> None:
        routes = self.knowledge.routes
        if routes is None or not self._has_list:
            return
        speakers = [self._host, *(entry.host for entry in self._neighbours.ready())]
        for service in routes.services.values():
            news = compose_news(
                self.knowledge, service, self._targets_follower.position, self._clock()
            )
            if news is None:
                continue
            for entry in self.knowledge.targets.values():
                agent = self._agent_of(entry)
                if entry.service == service.name and self._speaks_to(agent.host, speakers):
                    self._node.notify_open(agent.address, news)

    def _speaks_to(self, agent: HostId, speakers: Sequence[HostId]) -> bool:
        return rank_of(f"fleet news/{agent}", self._host, speakers) < SPEAKERS

    def _agent_of(self, entry: TargetEntry) -> Watched:
        """Return the agent beside a target; agents listen on the port on which entries do."""
        port = self._settings.entry.peer_listen.rpartition(":")[2]
        host = entry.address.rpartition(":")[0]
        return Watched(HostId(host), Address(f"{host}:{port}"))

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_S)
            known = len(self.knowledge.targets)
            self.knowledge.expire(self._clock())
            if len(self.knowledge.targets) != known:
                self._sync_targets()

    # ---- other processes ------------------------------------------------------------------

    async def _handle(self, exchange: Exchange) -> None:
        match exchange.message:
            case messages.Watch() as watch:
                self._neighbours.take_watch(exchange.link, watch)
            case messages.AskNews() as question:
                exchange.finish(self._compose_news(question.routes_version))
            case messages.EntryNews() as news:
                self._neighbours.take_news(exchange.link, news)
            case messages.TargetNews() as news:
                self._take_target_news(news)

    def _compose_news(self, known_version: int | None = None) -> messages.EntryNews:
        """Return the news of this entry, with the routes for one that knows older ones."""
        routes, now = self.knowledge.routes, self._clock()
        age_s = min(self.knowledge.routes_age(now), LONGEST_AGE_S)
        return messages.EntryNews(
            caller_address=self._member().caller_address,
            ready=self.is_ready,
            routes_version=routes.version if routes else 0,
            routes_age_ms=math.ceil(age_s * MS_PER_S),
            leaving=sorted(self.knowledge.leaving & self.knowledge.targets.keys()),
            named=[
                messages.NamedModelVersion(model, due.version, round((now - due.learned_at) * 1000))
                for model, due in self.knowledge.named
            ],
            routes=_newer_source(routes, known_version),
        )

    def _take_news(self, news: messages.EntryNews) -> None:
        """Take what other entries push; the age of the routes counts only when it was asked for."""
        for target in news.leaving:
            self.knowledge.note_leaving(TargetId(target))

    def _take_target_news(self, news: messages.TargetNews) -> None:
        now = asyncio.get_running_loop().time()
        target = TargetId(news.target_id)
        self.pool.note_report(target, news.running + news.queued, now, news.loading)
        if news.leaving:
            self.knowledge.note_leaving(target)
        held = {ModelName(each.model): each.version for each in news.held}
        if self.knowledge.note_weights(target, held):
            self.pool.sync(self.knowledge.targets)


def _newer_source(routes: RouteTable | None, known_version: int | None) -> bytes:
    if routes is None or known_version is None or routes.version <= known_version:
        return b""
    return routes.source


def _split_regions(items: Sequence[str]) -> Sequence[tuple[Place, str]]:
    pairs = [item.partition(":") for item in items]
    return [(Place(place), region) for place, _, region in pairs]


async def run_frontend(
    settings: Settings, adapter: FrontendAdapter, path: str, load: Callable[[], Settings]
) -> None:
    """Run an entry until it is asked to leave; `load` reads the file at `path` again."""
    process = FrontendProcess.from_config(settings, adapter)
    await run_process(process, settings, "entry", path, load)
