"""The agent process of a declared fleet: weights for the target beside it, and news of its work."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from lacewinggw.agent.downloads import WeightSource
from lacewinggw.agent.manifests import check_named
from lacewinggw.agent.views import DueRelease
from lacewinggw.agent.weights import Spreader
from lacewinggw.background import Background
from lacewinggw.clients.membership import Member, MemberRole
from lacewinggw.clock import Clock, read_boot_clock
from lacewinggw.decisions.knowledge import Knowledge
from lacewinggw.decisions.routes import Repeat, RouteTable, Service
from lacewinggw.decisions.targetlist import DueVersion, TargetEntry
from lacewinggw.decisions.upgrades import (
    EMPTYING_S,
    FIRST_VERSION,
    Progress,
    Upgrade,
    UpgradePlan,
    UpgradeRules,
)
from lacewinggw.errors import PlatformUnavailable, TargetUnreachable
from lacewinggw.fleet.bounds import knowledge_rules
from lacewinggw.fleet.feed import Drop, FleetFeed, News, Put, Topic
from lacewinggw.fleet.follower import TopicFollower, Wait
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.generated.settings.ttypes import Settings
from lacewinggw.health import Health, Readiness
from lacewinggw.ids import (
    Address,
    Digest,
    HostId,
    ModelName,
    ServiceName,
    TargetId,
    new_incarnation,
)
from lacewinggw.loader.keeper import StagedChunks, TargetLoader
from lacewinggw.loader.releases import release_of
from lacewinggw.loader.target import LoadableReport, LoadableTarget, Switch
from lacewinggw.log import configure_process_log, get_logger
from lacewinggw.metrics import Metrics
from lacewinggw.service import run_until_signalled
from lacewinggw.wire.http import HttpServer
from lacewinggw.wire.network import Network, TcpNetwork
from lacewinggw.wire.pages import HealthPages
from lacewinggw.wire.peers import Exchange, Identity, PeerLink, PeerNode

MS_PER_S = 1000.0
COPY_FACTOR = 1.3  # a copy takes that much longer than over a link of its own
REPORT_S = 0.1  # the target is asked for its state so often: free from its own host
NEWS_S = 0.2  # between news of the target's work: a border between regions is narrow and priced
CONFIGURATION_WAIT = Wait(for_news_s=4.0, after_news_s=0.3)
# Leaving targets concern an agent only as neighbours in the spread.
LIST_WAIT = Wait(for_news_s=8.0, after_news_s=1.0)

log = get_logger(__name__)

MakeOrigin = Callable[[Address], WeightSource]


@dataclass(frozen=True)
class LoaderAdapter:
    """How the operators' platform speaks: its store, its targets and its origin of weights."""

    feed: FleetFeed
    target: LoadableTarget
    make_origin: MakeOrigin


class _NamedOrigin:
    """The origin that the routes name, which may change."""

    def __init__(self, make: MakeOrigin) -> None:
        self._make = make
        self._address: Address | None = None
        self._origin: WeightSource | None = None

    def point_to(self, address: Address) -> None:
        """Ask this address from now on."""
        if address != self._address:
            self._address = address
            self._origin = self._make(address)

    async def manifest_by_digest(self, digest: Digest) -> messages.Manifest:
        """Return the manifest of a release."""
        return await self._known().manifest_by_digest(digest)

    async def fetch(self, manifest: messages.Manifest, index: int) -> bytes:
        """Return the bytes that the origin sends for a chunk, unchecked."""
        return await self._known().fetch(manifest, index)

    def _known(self) -> WeightSource:
        if self._origin is None:
            raise PlatformUnavailable("the routes name no origin of weights yet")
        return self._origin


class LoaderProcess:
    """Everything that runs in the slot on one target host of a declared fleet.

    agent = LoaderProcess.from_config(settings, adapter)
    await agent.start()
    ...
    await agent.close()
    """

    def __init__(
        self,
        settings: Settings,
        adapter: LoaderAdapter,
        network: Network,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        process, agent = settings.process, settings.agent
        self.metrics = Metrics()
        self.knowledge = Knowledge(knowledge_rules(settings))
        self.incarnation = new_incarnation(rng)
        self._settings = settings
        self._clock = clock
        self._host = HostId(process.host)
        self._target = adapter.target
        self._origin = _NamedOrigin(adapter.make_origin)
        identity = Identity(process.host, messages.Role.AGENT, process.place, self.incarnation)
        self._node = PeerNode(network, identity, process.fleet_key, self._handle)
        self.spreader = Spreader.from_config(
            settings,
            self._node,
            self._origin,
            None,  # there is no second source of weights
            self.metrics,
            rng,
            check_named,
            StagedChunks(adapter.target),
        )
        self._loader = TargetLoader(adapter.target, self.spreader, self.metrics)
        self._listeners: set[PeerLink] = set()
        self._report: LoadableReport | None = None
        self._told_at = 0.0
        self._emptying_since: float | None = None
        self._was_heard = False
        self._told: messages.TargetNews | None = None
        pages = HealthPages(Health(self.metrics, self._readiness))
        self._server = HttpServer(network, agent.operator_listen, pages.handle)
        feed, metrics = adapter.feed, self.metrics
        self._followers = [
            TopicFollower(
                Topic.CONFIGURATION,
                feed,
                self._apply_configuration,
                CONFIGURATION_WAIT,
                clock,
                metrics,
                rng,
            ),
            TopicFollower(Topic.TARGETS, feed, self._apply_targets, LIST_WAIT, clock, metrics, rng),
        ]
        self._reports = Background("target reports", self._watch_target)
        self._loads = Background("loading", self._keep_loaded)

    @classmethod
    def from_config(cls, settings: Settings, adapter: LoaderAdapter) -> "LoaderProcess":
        """Build the process that the settings describe."""
        return cls(settings, adapter, TcpNetwork(), read_boot_clock, random.SystemRandom())

    # ---- life -----------------------------------------------------------------------------

    async def start(self) -> None:
        """Begin to follow the store, to exchange weights and to look after the target."""
        for follower in self._followers:
            await follower.start()
        await self._node.start(self._settings.agent.peer_listen)
        await self._server.start()
        await self.spreader.start()
        self._reports.start()
        self._loads.start()

    async def drain(self) -> None:
        """Leave at once: nothing runs here that a caller waits for."""

    async def close(self) -> None:
        """Stop."""
        await self._loads.close()
        await self._reports.close()
        for follower in self._followers:
            await follower.close()
        await self.spreader.close()
        await self._server.close()
        await self._node.close()

    def _readiness(self) -> Readiness:
        ready = self._report is not None
        return Readiness(ready, "" if ready else "the target has not answered yet")

    # ---- what is due ----------------------------------------------------------------------

    def _apply_configuration(self, news: News, _: float) -> None:
        for change in news.changes:
            match change:
                case Put(RouteTable() as table) if self.knowledge.take_routes(table):
                    log.info("routes_taken", version=table.version)
                case Put(DueVersion() as due) if self.knowledge.take_due(
                    due, self._clock(), news.whole
                ):
                    log.info("version_due", model=due.model, version=due.version)
        self._set_due()

    def _apply_targets(self, news: News, _: float) -> None:
        now = self._clock()
        items = [change.item for change in news.changes if isinstance(change, Put)]
        entries = [item for item in items if isinstance(item, TargetEntry)]
        if news.whole:
            self.knowledge.take_whole_list(entries, now)
        for entry in entries:
            self.knowledge.take_target(entry)
        for change in news.changes:
            match change:
                case Drop(key):
                    self.knowledge.drop_target(TargetId(key), now)
        self._set_due()

    @property
    def _service(self) -> Service | None:
        routes = self.knowledge.routes
        name = ServiceName(self._settings.agent.service_name)
        return routes.services.get(name) if routes else None

    @property
    def _rules(self) -> UpgradeRules:
        """The time that is allowed, and that a copy takes by this host's link."""
        figures = self._service.weights if self._service else None
        size = figures.chunks * figures.chunk_bytes if figures else 0
        copy_s = COPY_FACTOR * size / self._settings.agent.link_bytes_per_s
        return UpgradeRules(self._settings.fleet.version_ms / MS_PER_S, copy_s)

    @property
    def _model(self) -> ModelName | None:
        """The model that the target beside this process is to serve."""
        service = self._service
        return service.models[0] if service is not None and service.models else None

    def _upgrade(self, model: ModelName) -> Upgrade:
        """Return what is to be done for the target; one that does not answer counts as empty."""
        report = self._report
        current = report.weights.get(model) if report else None
        due = self.knowledge.due_versions(model)
        versions = {FIRST_VERSION, *(each.version for each in due)}
        shares = {each: self.spreader.share_held(release_of(model, each)) for each in versions}
        plan = UpgradePlan(self._rules, self._host, self._hosts_due())
        return plan.decide(current, due, Progress(shares), self._clock())

    def _hosts_due(self) -> list[HostId]:
        """Return the hosts whose targets are to have the version, this one included."""
        name = self._settings.agent.service_name
        hosts = {
            _host_of(entry)
            for entry in self.knowledge.targets.values()
            if entry.service == name and entry.target not in self.knowledge.leaving
        }
        return sorted(hosts | {self._host})

    def _set_due(self) -> None:
        """Have the spread bring what is to be fetched, and keep what others may still want."""
        routes, model = self.knowledge.routes, self._model
        if routes is None or model is None:
            return
        for service in routes.services.values():
            if service.origin is not None:
                self._origin.point_to(service.origin)
                self.spreader.set_origin_rate(service.origin_bytes_per_s)
        hosts = self._hosts_due()
        self.spreader.set_members(self._neighbours(hosts))
        versions = self._upgrade(model).fetch or self._kept_version(model)
        prefer = messages.Prefer.ORIGIN_BYTES
        if self._awaits_first_report:
            versions = ()
        releases = [release_of(model, version) for version in versions]
        due = {each: DueRelease(each, each, tuple(hosts), prefer) for each in releases}
        self.spreader.set_due(due)

    @property
    def _awaits_first_report(self) -> bool:
        """Whether the target may come with weights, at the first start of the whole fleet."""
        return self._settings.fleet.first_start and not self._was_heard

    def _kept_version(self, model: ModelName) -> tuple[int, ...]:
        """Return the version that the target serves: others fetch its pieces from here."""
        report = self._report
        current = report.weights.get(model) if report else None
        return () if current is None else (current,)

    def _neighbours(self, hosts: list[HostId]) -> list[Member]:
        port = self._settings.agent.peer_listen.rpartition(":")[2]
        places = {_host_of(entry): entry.place for entry in self.knowledge.targets.values()}
        return [
            Member(host, places[host], MemberRole.AGENT, Address(f"{host}:{port}"))
            for host in hosts
            if host in places
        ]

    # ---- the target -----------------------------------------------------------------------

    async def _watch_target(self) -> None:
        while True:
            try:
                self._report = await self._target.report()
                self._loader.note_report(self._report)
                self._was_heard = True
            except TargetUnreachable as error:
                if self._report is not None:
                    log.warning("target_lost", error=error)
                self._report = None
            self._tell_entries()
            await asyncio.sleep(REPORT_S)

    async def _keep_loaded(self) -> None:
        while True:
            await asyncio.sleep(REPORT_S)
            self._set_due()
            model, report = self._model, self._report
            if model is None or report is None or report.busy or self._loader.is_loading:
                continue
            try:
                await self._advance(model, report)
            except TargetUnreachable as error:
                log.info("load_step_failed", error=error)

    async def _advance(self, model: ModelName, report: LoadableReport) -> None:
        upgrade = self._upgrade(model)
        if upgrade.load is None:
            self._emptying_since = None
            if upgrade.fetch:
                await self._loader.stage(model, upgrade.fetch[0])
            return
        switch = Switch.CUT if upgrade.may_cut and self._all_resume() else Switch.FINISH
        if switch is Switch.FINISH and not self._is_emptied(report):
            return
        await self._loader.load(model, upgrade.load, switch, report)
        self._emptying_since = None
        self._tell_entries()

    def _is_emptied(self, report: LoadableReport) -> bool:
        """Tell whether what runs on the target has had its time; entries send nothing meanwhile."""
        now = self._clock()
        if self._emptying_since is None:
            self._emptying_since = now
            self._tell_entries()
        return not report.running or now - self._emptying_since >= EMPTYING_S

    def _all_resume(self) -> bool:
        """Tell whether every request that the target may run can go on at another one."""
        routes = self.knowledge.routes
        name = ServiceName(self._settings.agent.service_name)
        return routes is not None and all(
            route.repeat is Repeat.RESUMABLE
            for route in routes.routes
            if any(share.service == name for share in route.shares)
        )

    # ---- entries --------------------------------------------------------------------------

    async def _handle(self, exchange: Exchange) -> None:
        match exchange.message:
            case messages.Watch() as watch:
                if watch.stop:
                    self._listeners.discard(exchange.link)
                else:
                    self._listeners.add(exchange.link)
                    self._told = None
            case _:
                await self.spreader.handle(exchange)

    def _tell_entries(self) -> None:
        """Send news of the target's work to the entries that listen, when it has changed."""
        now = self._clock()
        news = self._compose()
        if news is None or news == self._told:
            return
        urgent = self._told is None or news.loading != self._told.loading
        if not urgent and now - self._told_at < NEWS_S:
            return
        self._told, self._told_at = news, now
        self._listeners = {link for link in self._listeners if not link.closed.is_set()}
        for link in self._listeners:
            link.notify(news)

    def _compose(self) -> messages.TargetNews | None:
        report, target = self._report, self._own_target()
        if report is None or target is None:
            return None
        return messages.TargetNews(
            target_id=target.target,
            running=report.running,
            queued=report.queued,
            leaving=target.target in self.knowledge.leaving,
            held=[_held(model, version) for model, version in report.weights.items()],
            loading=self._loader.is_loading or self._emptying_since is not None,
        )

    def _own_target(self) -> TargetEntry | None:
        address = self._settings.agent.target
        mine = [each for each in self.knowledge.targets.values() if each.address == address]
        return mine[-1] if mine else None


def _host_of(entry: TargetEntry) -> HostId:
    return HostId(entry.address.rpartition(":")[0])


def _held(model: ModelName, version: int) -> messages.HeldWeights:
    return messages.HeldWeights(model, version)


async def run_loader(settings: Settings, adapter: LoaderAdapter) -> None:
    """Run an agent until it is asked to leave."""
    process = LoaderProcess.from_config(settings, adapter)
    configure_process_log(settings.process, "agent", process.incarnation)
    await run_until_signalled(process.start, process.drain, process.close)
