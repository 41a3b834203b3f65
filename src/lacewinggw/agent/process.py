"""The agent process, which combines weights, target and requests on one host."""

import random
from collections.abc import Sequence

from lacewinggw.agent.follower import ConfigurationFollower
from lacewinggw.agent.heartbeats import HeartbeatSender
from lacewinggw.agent.reconciler import TargetReconciler
from lacewinggw.agent.requests import RequestService
from lacewinggw.agent.target import TargetKind, TargetStatus
from lacewinggw.agent.topologies import DueRelease
from lacewinggw.agent.weights import Spreader
from lacewinggw.clients.engine import EngineClient
from lacewinggw.clients.membership import Member, MemberState
from lacewinggw.clients.plain import PlainClient
from lacewinggw.clients.platform import PlatformClients
from lacewinggw.clients.watch import MemberList, MemberWatch
from lacewinggw.configuration.candidates import entry_candidates
from lacewinggw.decisions.lifecycle import DesiredState
from lacewinggw.decisions.revisions import FleetState, declares_any, may_change_placements
from lacewinggw.errors import LacewingError, UnsupportedMessage
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.generated.settings.ttypes import Settings
from lacewinggw.health import Health, Readiness
from lacewinggw.ids import Digest, HostId, new_incarnation
from lacewinggw.log import configure_process_log, get_logger
from lacewinggw.logstream import LogStream
from lacewinggw.metrics import Metrics
from lacewinggw.service import run_until_signalled
from lacewinggw.wire.clients import Clients
from lacewinggw.wire.http import PAGE_LIMITS
from lacewinggw.wire.httpserver import HttpServer
from lacewinggw.wire.network import Network, TcpNetwork
from lacewinggw.wire.pages import HealthPages
from lacewinggw.wire.peers import Exchange, Identity, PeerNode

MS_PER_S = 1000.0

log = get_logger(__name__)


def desired_state(state: FleetState, host: str) -> DesiredState | None:
    """Return the desired state of the target on `host`, or None if it is to run nothing.

    A draining host gets None at once, even before the log entry that removes its replicas arrives,
    for example while the platform's table is unavailable.
    """
    if host in state.draining:
        return None
    for service, release in state.assignments_of(host):
        next_release = state.next_releases_of(service).get(host, "")
        declared = state.services[service]
        return DesiredState(
            service,
            release,
            state.release_digest(release),
            next_release,
            state.release_digest(next_release),
            messages.EngineRole(declared.role).name.lower(),
            frozenset(declared.adapters or ()),
        )
    return None


def due_releases(state: FleetState, host: str) -> dict[Digest, DueRelease]:
    """Return the releases that `host` must hold, each with all the hosts that must hold it."""
    due: dict[Digest, DueRelease] = {}
    for service, current in state.assignments_of(host):
        prefer = messages.Prefer(state.services[service].prefer)
        for release in (current, state.next_releases_of(service).get(host, "")):
            if not release:
                continue
            digest = Digest(state.release_digest(release))
            due[digest] = DueRelease(release, digest, hosts_due(state, service, release), prefer)
    return due


def hosts_due(state: FleetState, service: str, release: str) -> tuple[HostId, ...]:
    """Return the hosts of a service that must hold a release, as their current or next one."""
    named = (state.hosts_of(service), state.next_releases_of(service))
    return tuple(
        HostId(host)
        for host in sorted(state.hosts_of(service))
        if any(each.get(host) == release for each in named)
    )


class AgentProcess:
    """Everything that runs on one target host.

    agent = AgentProcess.from_config(settings)
    await agent.start()
    ...
    await agent.drain()
    await agent.close()
    """

    def __init__(self, settings: Settings, network: Network, rng: random.Random) -> None:
        agent, process = settings.agent, settings.process
        self.metrics = Metrics()
        clients = Clients.from_config(process, self.metrics)
        self._settings = settings
        self._platform = platform = PlatformClients.from_settings(network, settings.platform)
        self._engine = EngineClient(network, agent.target)
        self._plain = PlainClient(network, agent.target)
        self.watch = MemberWatch.from_config(
            settings, platform.membership, agent.membership_poll_ms
        )
        self.incarnation = new_incarnation(rng)
        identity = Identity(process.host, messages.Role.AGENT, process.place, self.incarnation)
        self.node = PeerNode(
            network,
            identity,
            process.fleet_key,
            self._handle,
            revision=lambda: self.follower.revision,
            on_revision=lambda link, revision: self.follower.catch_up_if_behind(link, revision),
            admission=clients.page_admission("peers"),
        )
        self.follower = ConfigurationFollower.from_config(
            settings.configuration,
            self.node,
            lambda: entry_candidates(self.watch.members),
            self.metrics,
            rng,
        )
        self.target_status = TargetStatus(
            TargetKind(agent.target_kind),
            agent.target,
            agent.service_name,
            fences=agent.target_fences,
        )
        self.spreader = Spreader.from_config(
            settings, self.node, platform.origin, platform.weight_store, self.metrics, rng
        )
        self.requests = RequestService.from_config(
            settings, self.target_status, self._engine, identity, self.metrics, rng, self._plain
        )
        live = self.spreader.live_traffic
        self.requests.set_live_callbacks(live.note_latency, live.note_bytes)
        self.heartbeats = HeartbeatSender(self._compose, agent.heartbeat_ms / MS_PER_S)
        self.reconciler = TargetReconciler(
            network,
            self.target_status,
            self._engine,
            self.spreader,
            self.requests,
            wanted=lambda: desired_state(self.follower.state, process.host),
            fence=lambda: self.follower.revision,
            is_current=lambda: self.follower.is_current,
            on_change=self.heartbeats.note_change,
            metrics=self.metrics,
        )
        pages = HealthPages(Health(self.metrics, self._readiness))
        self._operator_server = HttpServer(
            network,
            agent.operator_listen,
            pages.handle,
            PAGE_LIMITS,
            clients.page_admission("operators"),
        )
        self.draining = False
        self._listed_as_leaving = False  # only a drain for this reason can be undone

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        network: Network | None = None,
        rng: random.Random | None = None,
    ) -> "AgentProcess":
        """Build an agent from its settings, with TCP unless another network is given."""
        return cls(settings, network or TcpNetwork(), rng or random.SystemRandom())

    async def start(self) -> None:
        """Listen, fetch the member list and the configuration, and start following them."""
        await self.node.start(self._settings.agent.peer_listen)
        await self._operator_server.start()
        self.watch.on_change(self._on_members)
        self.follower.on_change(self._on_changes)
        self.spreader.on_chunk(lambda digest, index: self.reconciler.wake())
        await self.watch.start()
        await self.spreader.start()
        await self.requests.start()
        await self.heartbeats.start()
        await self.follower.start()
        await self.reconciler.start()
        log.info("agent_started", address=self.node.address)

    async def drain(self) -> None:
        """Refuse new requests and wait for those in progress; uploads to other hosts continue."""
        self._listed_as_leaving = False
        self.begin_drain()
        limit_s = self._settings.agent.drain_limit_ms / MS_PER_S
        await self.requests.wait_drained(limit_s)
        log.info("agent_drained")

    def begin_drain(self) -> None:
        """Start refusing new requests."""
        if self.draining:
            return
        self.draining = True
        self.requests.begin_drain()
        self.heartbeats.note_change()
        log.info("agent_draining")

    def _end_drain(self) -> None:
        """Accept requests again: the lagging list showed this host's previous incarnation."""
        self._listed_as_leaving = False
        self.draining = False
        self.requests.end_drain()
        self.heartbeats.note_change()
        log.info("agent_drain_ended")

    async def leave(self) -> None:
        """Drain, then close."""
        await self.drain()
        await self.close()

    async def close(self) -> None:
        """Stop everything; no task is left pending."""
        await self.reconciler.close()
        await self.follower.close()
        await self.heartbeats.close()
        await self.requests.close()
        await self.spreader.close()
        await self.watch.close()
        await self.node.close()
        await self._operator_server.close()
        await self._engine.close()
        await self._plain.close()
        await self._platform.close()
        log.info("agent_closed")

    def _readiness(self) -> Readiness:
        reason = "" if self.follower.ready else "no configuration yet"
        return Readiness(self.follower.ready, reason, self.follower.revision)

    def _on_members(self, members: MemberList) -> None:
        self.spreader.set_members(members)
        own_member = self._find_own_member(members)
        if own_member is None:
            return
        if own_member.state is MemberState.LEAVING:
            self._listed_as_leaving = not self.draining or self._listed_as_leaving
            self.begin_drain()
        elif self._listed_as_leaving:
            self._end_drain()

    def _find_own_member(self, members: MemberList) -> Member | None:
        host = self._settings.process.host
        return next((member for member in members if member.host == host), None)

    def _on_changes(self, state: FleetState, entries: Sequence[messages.LogEntry]) -> None:
        """Apply only changes that can concern this host: most are about other services."""
        own_services = {service for service, _ in state.assignments_of(self._settings.process.host)}
        if may_change_placements(entries) or declares_any(entries, own_services):
            self._apply_state(state)

    def _apply_state(self, state: FleetState) -> None:
        host = self._settings.process.host
        self.spreader.set_due(due_releases(state, host))
        self.reconciler.wake()

    def _compose(self, sequence: int) -> messages.Heartbeat:
        target_status = self.target_status
        process = self._settings.process
        state = messages.TargetState.DRAINING if self.draining else target_status.state
        return messages.Heartbeat(
            host=process.host,
            place=process.place,
            incarnation=self.incarnation,
            service_name=target_status.service if target_status.serving else "",
            release=target_status.release if target_status.serving else "",
            digest=target_status.active_digest if target_status.serving else "",
            state=state,
            load=self.requests.load(),
            spreads=self.spreader.reports(),
            sequence=sequence,
            ready_digest=target_status.ready_digest,
        )

    async def _handle(self, exchange: Exchange) -> None:
        match exchange.message:
            case messages.Offer() | messages.Reserve() | messages.Start() | messages.Withdraw():
                await self._handle_request(exchange)
            case (
                messages.FetchManifest()
                | messages.Have()
                | messages.FetchChunk()
                | messages.CancelChunk()
            ):
                await self.spreader.handle(exchange)
            case messages.LogNews() | messages.FetchLog() | messages.FetchSnapshot():
                await self.follower.handle(exchange)
            case messages.Watch() as watch:
                self.heartbeats.handle_watch(exchange.link, watch)
            case _:
                kind = type(exchange.message).__name__
                raise UnsupportedMessage(f"an agent does not handle {kind}")

    async def _handle_request(self, exchange: Exchange) -> None:
        try:
            await self.requests.handle(exchange)
        except LacewingError as error:
            self.metrics.count_refusal_error(error)
            raise


async def run_agent(settings: Settings) -> None:
    """Run an agent until a signal asks it to leave, then drain it."""
    agent = AgentProcess.from_config(settings)
    stream = LogStream.for_stderr()
    configure_process_log(settings.process, "agent", agent.incarnation, stream)
    agent.metrics.read_gauge("log_lines_dropped", lambda: stream.dropped)
    await run_until_signalled(agent.start, agent.drain, agent.close)
