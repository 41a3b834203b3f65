"""The agent process of a declared fleet: weights for its target, and updates of its load."""

import asyncio
import math
import random
from collections.abc import Callable, Mapping, Sequence
from copy import copy
from dataclasses import dataclass

from lacewinggw.agent.downloads import WeightSource
from lacewinggw.agent.manifests import check_named_manifest
from lacewinggw.agent.topologies import DueRelease
from lacewinggw.agent.weights import Spreader
from lacewinggw.background import Background
from lacewinggw.clients.membership import Member, MemberRole
from lacewinggw.clock import Clock, read_boot_clock
from lacewinggw.decisions.chunkscheduler import FetchMode
from lacewinggw.decisions.storeclock import StoreClock
from lacewinggw.decisions.targetlist import TargetEntry
from lacewinggw.decisions.targetsilence import SilenceMonitor, TargetPresence
from lacewinggw.decisions.upgrades import (
    DRAIN_S,
    FIRST_VERSION,
    SourceDelays,
    UpgradePlanner,
    UpgradeRules,
    UpgradeStep,
    VersionProgress,
)
from lacewinggw.decisions.weightbandwidth import live_traffic_share
from lacewinggw.errors import PlatformUnavailable, TargetUnreachable
from lacewinggw.fleet.access import StoreAccess
from lacewinggw.fleet.bounds import cold_tolerance, knowledge_rules
from lacewinggw.fleet.era import StoreEra
from lacewinggw.fleet.feed import FleetFeed, Topic
from lacewinggw.fleet.follower import Apply, PollTimes, TopicFollower
from lacewinggw.fleet.running import run_process
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.generated.settings.ttypes import Settings
from lacewinggw.health import Health, Readiness
from lacewinggw.ids import (
    Address,
    Digest,
    HostId,
    ModelName,
    Place,
    ServiceName,
    new_incarnation,
)
from lacewinggw.loader.assignment import Assignment
from lacewinggw.loader.coldtarget import OwnColdTarget
from lacewinggw.loader.progress import ProgressLog
from lacewinggw.loader.releases import release_of
from lacewinggw.loader.slots import AgentSlotService
from lacewinggw.loader.target import LoadableReport, LoadableTarget, SwitchMode
from lacewinggw.loader.targetloader import StagedChunks, TargetLoader
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics
from lacewinggw.wire.clients import Clients
from lacewinggw.wire.frames import Message
from lacewinggw.wire.http import PAGE_LIMITS
from lacewinggw.wire.httpserver import HttpServer
from lacewinggw.wire.network import Network, TcpNetwork
from lacewinggw.wire.pages import HealthPages
from lacewinggw.wire.peers import Exchange, Identity, PeerLink, PeerNode

MS_PER_S = 1000.0
COPY_TIME_FACTOR = 1.3  # a copy takes this many times as long as over a dedicated link
REPORT_INTERVAL_S = 0.1  # between reads of the target's state, which cost nothing from its own host
# The same while the target has no work and loads nothing: a change then concerns no request yet.
IDLE_REPORT_INTERVAL_S = 0.25
UNCHANGED_INTERVAL_S = 0.6  # between updates without a change
# Between updates of the target's load: links between regions are narrow and charged for. Entries
# use the updates to choose which target to ask for a slot first, so a much longer interval would
# send more requests to busy targets.
UPDATE_INTERVAL_S = 0.2
# Random wait before a starting agent reads the store: entries send all that it needs in some
# hundred bytes, while agents that start together and read routes would saturate a link between
# regions.
ENTRY_WAIT_RANGE_S = (0.5, 1.0)
# Used only while no entry sends updates.
STORE_WAIT = PollTimes(for_update_s=4.0, after_update_s=0.5)

log = get_logger(__name__)

MakeOrigin = Callable[[Address], WeightSource]


@dataclass(frozen=True)
class LoaderAdapter:
    """Access to the operators' platform: its store, its target and its origin of weights."""

    feed: FleetFeed
    target: LoadableTarget
    make_origin: MakeOrigin


@dataclass(frozen=True)
class _SpreadInputs:
    """The versions to distribute, their origin, and the hosts that exchange them.

    The `fetched` versions are for this target. Of the `imported` ones this host brings in what
    others wait for, and the `kept` ones are only sent to others.
    """

    model: ModelName
    fetched: tuple[int, ...]
    imported: tuple[int, ...]
    kept: tuple[int, ...]
    hosts: Mapping[HostId, Place]
    origin: Address | None
    origin_bytes_per_s: float


class _ConfiguredOrigin:
    """The origin that the routes name; its address may change."""

    def __init__(self, make: MakeOrigin) -> None:
        self._make = make
        self._address: Address | None = None
        self._origin: WeightSource | None = None

    def set_address(self, address: Address) -> None:
        """Use this address from now on."""
        if address != self._address:
            self._address = address
            self._origin = self._make(address)

    async def manifest_by_digest(self, digest: Digest) -> messages.Manifest:
        """Return the manifest of a release."""
        return await self._require_origin().manifest_by_digest(digest)

    async def fetch(self, manifest: messages.Manifest, index: int) -> bytes:
        """Return the bytes that the origin sends for a chunk, without checking their hash."""
        return await self._require_origin().fetch(manifest, index)

    def _require_origin(self) -> WeightSource:
        if self._origin is None:
            raise PlatformUnavailable("the routes name no origin of weights yet")
        return self._origin


class LoaderProcess:
    """The agent process on one target host of a declared fleet.

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
        clients = Clients.from_config(process, self.metrics)
        self.assignment = Assignment(
            ServiceName(agent.service_name),
            Address(agent.target),
            knowledge_rules(settings),
            clock,
        )
        self.incarnation = new_incarnation(rng)
        self._settings = settings
        self._clock = clock
        self._host = HostId(process.host)
        self._target = adapter.target
        self._origin = _ConfiguredOrigin(adapter.make_origin)
        identity = Identity(process.host, messages.Role.AGENT, process.place, self.incarnation)
        self._node = PeerNode(
            network,
            identity,
            process.fleet_key,
            self._handle,
            on_notification=self._handle_notice,
            admission=clients.page_admission("peers"),
        )
        self._staged = StagedChunks(adapter.target)
        self.spreader = Spreader.from_config(
            settings,
            self._node,
            self._origin,
            None,  # there is no second source of weights
            self.metrics,
            rng,
            check_named_manifest,
            self._staged,
        )
        self._loader = TargetLoader(adapter.target, self.spreader, self.metrics, clock)
        self._cold = OwnColdTarget(settings.fleet.first_start, clock)
        self._slots = AgentSlotService(self.metrics, self._cold.limiter)
        self._progress = ProgressLog(self.spreader)
        self._source_delays = SourceDelays()
        self._watchers: dict[PeerLink, None] = {}  # in order of subscription
        self._report: LoadableReport | None = None
        self._silence = SilenceMonitor()
        self._updated_at = 0.0
        self._draining_since: float | None = None
        self._has_answered = False
        self._was_evacuated = False
        self._store_read_from = clock() + rng.uniform(*ENTRY_WAIT_RANGE_S)
        self._last_update: messages.TargetUpdate | None = None
        self._spread_inputs: _SpreadInputs | None = None
        self._plan: tuple[UpgradeRules, frozenset[HostId], UpgradePlanner] | None = None
        pages = HealthPages(Health(self.metrics, self._readiness))
        self._server = HttpServer(
            network,
            agent.operator_listen,
            pages.handle,
            PAGE_LIMITS,
            clients.page_admission("operators"),
        )
        assignment = self.assignment
        self._store_clock = StoreClock()
        self._access = StoreAccess()
        self._era = StoreEra(self.metrics)
        self._era.subscribe(self._store_clock.reset)
        self._era.subscribe(lambda: assignment.note_store_regained(clock()))
        self._followers = [
            self._follow(Topic.CONFIGURATION, adapter, assignment.apply_configuration, rng),
            self._follow(Topic.TARGETS, adapter, assignment.apply_targets, rng),
        ]
        self._report_loop = Background("target reports", self._poll_target)
        self._load_loop = Background("loading", self._reconcile)

    @classmethod
    def from_config(cls, settings: Settings, adapter: LoaderAdapter) -> "LoaderProcess":
        """Build the process that the settings describe."""
        return cls(settings, adapter, TcpNetwork(), read_boot_clock, random.SystemRandom())

    def _follow(
        self, topic: Topic, adapter: LoaderAdapter, apply: Apply, rng: random.Random
    ) -> TopicFollower:
        return TopicFollower(
            topic,
            adapter.feed,
            apply,
            lambda: STORE_WAIT,
            self._clock,
            self.metrics,
            rng,
            self._store_clock,
            self._era,
            self._access,
            is_needed=self._needs_store,
            on_regained=self.assignment.note_store_regained,
        )

    # ---- lifecycle ------------------------------------------------------------------------

    async def start(self) -> None:
        """Start following the store, exchanging weights and managing the target."""
        for follower in self._followers:
            await follower.start()
        await self._node.start(self._settings.agent.peer_listen)
        await self._server.start()
        await self.spreader.start()
        self._report_loop.start()
        self._load_loop.start()

    async def drain(self) -> None:
        """Do nothing: no caller waits for anything that runs here."""

    async def close(self) -> None:
        """Stop."""
        await self._load_loop.close()
        await self._report_loop.close()
        self._slots.close()
        for follower in self._followers:
            await follower.close()
        await self.spreader.close()
        await self._server.close()
        await self._node.close()

    def apply(self, settings: Settings) -> None:
        """Apply the changed bounds of the fleet; other settings apply at the next start."""
        self._settings.fleet = settings.fleet
        self.assignment.apply_rules(knowledge_rules(settings))

    def _readiness(self) -> Readiness:
        ready = self._report is not None
        return Readiness(ready, "" if ready else "the target has not answered yet")

    def _needs_store(self) -> bool:
        """Return whether the store must be read because no entry sends updates."""
        return not self.assignment.has_recent_update and self._clock() >= self._store_read_from

    # ---- due versions ---------------------------------------------------------------------

    @property
    def _rules(self) -> UpgradeRules:
        """The time that an upgrade may take, and that a copy takes over this host's link."""
        figures = self.assignment.figures
        size = figures.chunks * figures.chunk_bytes if figures else 0
        copy_s = COPY_TIME_FACTOR * size / self._settings.agent.link_bytes_per_s
        rate = self.assignment.origin_bytes_per_s
        source_copy_s = size / rate if rate else 0.0
        allowed_s = self._settings.fleet.version_ms / MS_PER_S
        return UpgradeRules(allowed_s, copy_s, source_copy_s)

    def _upgrade(self, model: ModelName) -> UpgradeStep:
        """Return the next upgrade step of the target; one that does not answer counts as empty."""
        current = self._current_version(model)
        due = self.assignment.due_versions
        versions = {FIRST_VERSION, *(each.version for each in due)}
        releases = {each: release_of(model, each) for each in versions}
        reachable = {
            each: self.spreader.reachable_fraction(release) for each, release in releases.items()
        }
        now = self._clock()
        self._source_delays.note(due, reachable, self._rules.source_copy_s, now)
        progress = VersionProgress(
            {each: self.spreader.held_fraction(release) for each, release in releases.items()},
            reachable,
            has_source=not self.spreader.is_source_failing,
            sent_in_time=self._source_delays.sent_in_time,
        )
        return self._upgrade_plan().decide(current, due, progress, now)

    def _upgrade_plan(self) -> UpgradePlanner:
        """Return the plan for the current hosts, cached as ranking 150 of them takes 0.2 ms."""
        rules, hosts = self._rules, frozenset((*self.assignment.hosts, self._host))
        if self._plan is None or self._plan[:2] != (rules, hosts):
            self._plan = rules, hosts, UpgradePlanner(rules, self._host, hosts)
        return self._plan[2]

    def _current_version(self, model: ModelName) -> int | None:
        return self._report.weights.get(model) if self._report else None

    def _update_spread(self) -> None:
        """Set the versions to fetch, and those to keep because other hosts may request them."""
        assignment = self.assignment
        if assignment.model is None:
            return
        current = self._current_version(assignment.model)
        step = self._next_step(assignment.model)
        fetched = step.fetch or (() if current is None else (current,))
        if step.fetch:
            self._progress.note(assignment.model, current, step.fetch, self._clock())
        inputs = _SpreadInputs(
            assignment.model,
            fetched,
            step.imports,
            tuple(self._versions_to_keep(current, (*fetched, *step.imports))),
            assignment.hosts,
            assignment.origin,
            assignment.origin_bytes_per_s,
        )
        # This runs ten times a second, mostly without a change, and is costly with many hosts.
        if inputs != self._spread_inputs:
            self._spread_inputs = inputs
            self._apply_spread_inputs(inputs)

    def _apply_spread_inputs(self, inputs: "_SpreadInputs") -> None:
        if inputs.origin is not None:
            self._origin.set_address(inputs.origin)
            self.spreader.set_origin_rate(inputs.origin_bytes_per_s)
        self.spreader.set_members(self._neighbours(inputs.hosts))
        hosts = tuple(sorted({*inputs.hosts, self._host}))
        prefer = messages.Prefer.ORIGIN_BYTES
        modes = {
            release_of(inputs.model, version): mode
            for versions, mode in (
                (inputs.fetched, FetchMode.ALL),
                (inputs.imported, FetchMode.IMPORTS),
                (inputs.kept, FetchMode.NONE),
            )
            for version in versions
        }
        due = {each: DueRelease(each, each, hosts, prefer) for each in modes}
        self.spreader.set_due(due, modes)
        # The versions that this target still fetches precede what is imported ahead, and both
        # precede the version that it already serves.
        self.spreader.uploader.set_order(list(modes))

    def _next_step(self, model: ModelName) -> UpgradeStep:
        """Return the next step; nothing is fetched before the report of a target that has weights.

        At the first start of a fleet the targets already client weights, so wait for their report.
        """
        if self._settings.fleet.first_start and not self._has_answered:
            return UpgradeStep()
        return self._upgrade(model)

    def _versions_to_keep(self, current: int | None, fetched: Sequence[int]) -> Sequence[int]:
        """Return the named versions of which chunks are kept for others, though none is fetched.

        A version that is put off for another one may be fetched again, and hosts that are slower
        than this one still fetch the version that this target already serves. The manifest of the
        version that is fetched next is looked up meanwhile.
        """
        oldest = current or FIRST_VERSION
        named = {each.version for each in self.assignment.due_versions if each.version >= oldest}
        return sorted(named.difference(fetched))

    def _neighbours(self, hosts: Mapping[HostId, Place]) -> list[Member]:
        port = self._settings.agent.peer_listen.rpartition(":")[2]
        return [
            Member(host, place, MemberRole.AGENT, Address(f"{host}:{port}"))
            for host, place in sorted(hosts.items())
        ]

    # ---- the target -----------------------------------------------------------------------

    async def _poll_target(self) -> None:
        while True:
            asked_at = self._clock()
            try:
                self._report = await self._target.report()
                self._silence.note_answer(self._clock())
                self._loader.note_report(self._report)
                self._has_answered = True
                self._reserve_answer_bandwidth(self._report)
            except TargetUnreachable as error:
                self._note_no_answer(asked_at, error)
            self._cold.note_report(self._report.born_ms if self._report else None)
            self._update_cold()
            self._update_slots()
            self._notify_entries()
            await asyncio.sleep(IDLE_REPORT_INTERVAL_S if self._is_idle else REPORT_INTERVAL_S)

    def _note_no_answer(self, asked_at: float, error: TargetUnreachable) -> None:
        """Keep the last report of a target that is silent for a moment, and drop it otherwise."""
        was_present = self._is_present
        presence = self._silence.note_no_answer(self._clock() - asked_at, self._clock())
        if presence is TargetPresence.LOST:
            if self._report is not None:
                log.warning("target_lost", error=error)
            self._report = None
        elif was_present:
            log.info("target_silent", error=error)

    @property
    def _is_present(self) -> bool:
        """Whether the target answered the last call for its report."""
        return self._silence.presence is TargetPresence.PRESENT

    @property
    def _is_idle(self) -> bool:
        """Whether the target answers, has no requests, and serves the newest named version."""
        report = self._report
        if report is None or not self._is_present:
            return False
        if report.running or report.queued or report.busy:
            return False
        if self._slots.taken or self._slots.waiting or self._is_changing_weights:
            return False
        model, due = self.assignment.model, self.assignment.due_versions
        newest = due[-1].version if due else FIRST_VERSION
        return model is not None and report.weights.get(model) == newest

    def _reserve_answer_bandwidth(self, report: LoadableReport) -> None:
        """Reserve the answers' share of the link while the target is generating any."""
        if report.running:
            link_bytes_per_s = self._settings.agent.link_bytes_per_s
            share = live_traffic_share(report.running)
            self.spreader.live_traffic.note_bytes(
                round(share * link_bytes_per_s * REPORT_INTERVAL_S)
            )

    async def _reconcile(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self._update_spread()
            model, report = self.assignment.model, self._report
            if model is None or report is None or report.busy or self._loader.is_loading:
                continue
            if not self._is_present:
                continue  # an order would go unanswered
            if report.leaving:
                continue  # it gets no new requests that would use the weights
            try:
                if self._staged.read_failed:
                    # The target was not up yet. Pieces staged there need not be downloaded.
                    await self.spreader.add_local_chunks()
                await self._loader.read_back_loaded(model, report.weights.get(model))
                await self._advance(model, report)
            except TargetUnreachable as error:
                log.info("load_step_failed", error=error)

    async def _advance(self, model: ModelName, report: LoadableReport) -> None:
        upgrade = self._upgrade(model)
        if upgrade.load is None:
            self._draining_since = None
            if upgrade.fetch:
                await self._loader.stage(model, upgrade.fetch[0])
            return
        switch = (
            SwitchMode.CUT
            if upgrade.may_interrupt and self.assignment.resumable
            else SwitchMode.FINISH
        )
        if switch is SwitchMode.FINISH and not self._is_drained(report, upgrade.load_deadline):
            return
        if not await self._loader.load(model, upgrade.load, switch, report):
            return
        self._draining_since = None
        self._notify_entries()

    def _is_drained(self, report: LoadableReport, order_by: float) -> bool:
        """Return whether running requests ended or had their time; none are sent meanwhile."""
        now = self._clock()
        if self._draining_since is None:
            self._draining_since = now
            self._notify_entries()
        waited_s = now - self._draining_since
        return not report.running or waited_s >= DRAIN_S or now >= order_by

    def _update_cold(self) -> None:
        """Apply what is known of how long the target stays cold, and of the limit meanwhile."""
        assignment = self.assignment
        tolerance = cold_tolerance(self._settings)
        self._cold.update(assignment.cold_service, tolerance, assignment.listed_cold_time)

    def _update_slots(self) -> None:
        report = self._report
        self._note_evacuation()
        if report is None:
            self._slots.update_target(None, accepts_work=False)
            return
        begins = bool(report.weights) and not (self._is_changing_weights or report.leaving)
        begins = begins and not self._was_evacuated
        if begins and not self._is_present:
            self._slots.pause()
        else:
            self._slots.update_target(report.running + report.queued, begins)

    @property
    def _target_place(self) -> Place:
        target = self.assignment.own_target
        return target.place if target else Place(self._settings.process.place)

    @property
    def _is_evacuated(self) -> bool:
        """Whether the target's zone is evacuated."""
        return self.assignment.is_evacuated(self._target_place)

    def _note_evacuation(self) -> None:
        """Note and log whether the target's zone is evacuated."""
        if self._is_evacuated == self._was_evacuated:
            return
        self._was_evacuated = not self._was_evacuated
        if not self._was_evacuated:
            self._cold.note_evacuation_end()
            self._update_cold()
        log.info(
            "evacuation_started" if self._was_evacuated else "evacuation_ended",
            place=self._target_place,
            running=self._report.running if self._report else None,
        )

    @property
    def _is_changing_weights(self) -> bool:
        """Whether the target loads weights, is drained to load them, or may client bad ones."""
        if self._loader.is_loading or self._draining_since is not None:
            return True
        model = self.assignment.model
        return model is not None and not self._loader.is_usable(self._current_version(model))

    # ---- entries --------------------------------------------------------------------------

    async def _handle(self, exchange: Exchange) -> None:
        match exchange.message:
            case messages.AskSlot() as ask:
                await self._slots.serve(exchange, ask)
            case _:
                await self.spreader.handle(exchange)

    def _handle_notice(self, link: PeerLink, message: Message) -> bool:
        match message:
            case messages.Watch() as watch:
                if watch.stop:
                    self._watchers.pop(link, None)
                else:
                    self._watchers[link] = None
                    self._last_update = None
            case messages.TargetGap() as gap:
                if self._slots.note_gap(gap):
                    self._notify_entries()
            case messages.FleetUpdate() as update:
                had_update = self.assignment.has_recent_update
                self._era.note(update.store_era)
                self.assignment.apply_update(update)
                if self._is_evacuated != self._was_evacuated:
                    self._update_slots()
                self._update_cold()
                if self.assignment.has_recent_update and not had_update:
                    self._interrupt_store_reads()
            case _:
                return False  # chunks and have maps, which may wait for capacity
        return True

    def _interrupt_store_reads(self) -> None:
        """Interrupt reads made unnecessary by an update: routes can take a second on this link."""
        for follower in self._followers:
            follower.interrupt()

    def _notify_entries(self) -> None:
        """Send the target's load to the watching entries, on change and at an interval."""
        if self._is_changing_weights:
            self._update_slots()
        now = self._clock()
        update = self._make_update()
        if update is None:
            return
        urgent = self._last_update is None or _is_urgent(update, self._last_update)
        pause_s = UNCHANGED_INTERVAL_S if update == self._last_update else UPDATE_INTERVAL_S
        if not urgent and now - self._updated_at < pause_s:
            return
        self._last_update, self._updated_at = update, now
        self._watchers = {link: None for link in self._watchers if not link.closed.is_set()}
        stamped_update = copy(update)
        stamped_update.sent_ms = round(now * MS_PER_S)
        self._node.notify_all(self._watchers, stamped_update)

    def _make_update(self) -> messages.TargetUpdate | None:
        report, target = self._report, self.assignment.own_target
        if report is None or target is None:
            return None
        return messages.TargetUpdate(
            name=target.name,
            running=max(report.running + report.queued, self._slots.taken),
            queued=self._slots.waiting,
            leaving=report.leaving or self.assignment.is_leaving(target.target),
            held=[_held_weights(model, version) for model, version in report.weights.items()],
            loading=self._is_changing_weights,
            sent_ms=0,
            born_ms=_birth_ms(target, report),
            cold_ms=math.ceil(self._cold.remaining_s * MS_PER_S),
            slowness=round(self._slots.slowness, 1),
            hears_gaps=True,
        )


def _is_urgent(update: messages.TargetUpdate, last: messages.TargetUpdate) -> bool:
    """Return whether entries are to be notified at once of what changed since the last update."""
    if update.slowness > last.slowness == 1.0:
        return True
    return (update.loading, update.leaving, update.cold_ms > 0) != (
        last.loading,
        last.leaving,
        last.cold_ms > 0,
    )


def _birth_ms(target: TargetEntry, report: LoadableReport) -> int:
    """Return the start time that the target reports, or 0 if entries know none from the list."""
    return (report.born_ms or target.born_ms) if target.born_ms else 0


def _held_weights(model: ModelName, version: int) -> messages.HeldWeights:
    return messages.HeldWeights(model, version)


async def run_loader(
    settings: Settings, adapter: LoaderAdapter, path: str, load: Callable[[], Settings]
) -> None:
    """Run an agent until it is asked to leave; `load` reloads the settings file at `path`."""
    process = LoaderProcess.from_config(settings, adapter)
    await run_process(process, settings, "agent", path, load)
