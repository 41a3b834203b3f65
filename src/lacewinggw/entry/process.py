"""The entry process: connects the configuration, targets, callers and operators."""

import random
from collections.abc import Sequence

from lacewinggw.clients.platform import PlatformClients
from lacewinggw.clients.watch import MemberList, MemberWatch
from lacewinggw.configuration.candidates import entry_candidates
from lacewinggw.decisions.hostfailures import HeartbeatTimes
from lacewinggw.decisions.revisions import FleetState, may_change_placements
from lacewinggw.entry.callers import CallerService
from lacewinggw.entry.ledger import Ledger
from lacewinggw.entry.limits import AccountLimits
from lacewinggw.entry.operators import OperatorService
from lacewinggw.entry.placer import Placer
from lacewinggw.entry.targets import TargetDirectory
from lacewinggw.entry.view import ProcessView
from lacewinggw.errors import UnsupportedMessage
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.generated.settings.ttypes import Settings
from lacewinggw.health import Health, Readiness
from lacewinggw.ids import new_command_id, new_incarnation
from lacewinggw.log import configure_process_log, get_logger
from lacewinggw.logstream import LogStream
from lacewinggw.metrics import Metrics
from lacewinggw.service import run_until_signalled
from lacewinggw.wire.clients import Clients
from lacewinggw.wire.http import HttpLimits, Request, Response
from lacewinggw.wire.httpserver import HttpServer
from lacewinggw.wire.network import Network, TcpNetwork
from lacewinggw.wire.pages import HealthPages
from lacewinggw.wire.peers import Exchange, Identity, PeerNode

MS_PER_S = 1000.0

log = get_logger(__name__)


class EntryProcess:
    """The components of one entry process.

    entry = EntryProcess.from_config(settings)
    await entry.start()
    ...
    await entry.drain()
    await entry.close()
    """

    def __init__(self, settings: Settings, network: Network, rng: random.Random) -> None:
        process = settings.process
        self.metrics = Metrics()
        clients = Clients.from_config(settings.process, self.metrics)
        self._settings = settings
        self._platform = platform = PlatformClients.from_settings(network, settings.platform)
        self.watch = MemberWatch.from_config(
            settings, platform.membership, settings.platform.membership_poll_ms
        )
        self.incarnation = new_incarnation(rng)
        identity = Identity(process.host, messages.Role.ENTRY, process.place, self.incarnation)
        self.node = PeerNode(
            network,
            identity,
            process.fleet_key,
            self._handle,
            revision=lambda: self.ledger.revision,
            on_revision=lambda link, revision: self.ledger.catch_up_if_behind(link, revision),
            admission=clients.page_admission("peers"),
        )
        self.ledger = Ledger.from_config(
            settings.configuration,
            platform.table,
            platform.objects,
            self.metrics,
            self.node,
            lambda: entry_candidates(self.watch.members),
            rng,
        )
        self.targets = TargetDirectory.from_config(
            settings, self.node, self._state, self.metrics, rng
        )
        self.limits = AccountLimits.from_config(settings, self.node, self._members, self.metrics)
        self.placer = Placer.from_config(
            settings.configuration,
            self.ledger,
            self.node,
            self._members,
            lambda: HeartbeatTimes(self.targets.last_seen()),
            self.targets.fresh_heartbeats,
            self.metrics,
            rng,
        )
        self.callers = CallerService.from_config(
            settings,
            self._state,
            self.targets,
            self.limits,
            self.node,
            platform.table,
            platform.objects,
            self._members,
            self.metrics,
            rng,
        )
        view = ProcessView(self.ledger, self.targets, self.placer, self.watch, self.metrics)
        self.operators = OperatorService.from_config(
            settings.entry,
            self.ledger,
            view,
            platform.origin,
            self.metrics,
            lambda: new_command_id(rng),
            self.node,
        )
        self._pages = HealthPages(Health(self.metrics, self._readiness))
        limits = HttpLimits(body_bytes=settings.entry.body_limit_bytes)
        self._caller_server = HttpServer(
            network,
            settings.entry.caller_listen,
            self.callers.handle,
            limits,
            clients.caller_admission("callers"),
        )
        self._operator_server = HttpServer(
            network,
            settings.entry.operator_listen,
            self._answer_operator,
            limits,
            clients.page_admission("operators"),
        )

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        network: Network | None = None,
        rng: random.Random | None = None,
    ) -> "EntryProcess":
        """Return an entry built from its settings, on TCP unless another network is given."""
        return cls(settings, network or TcpNetwork(), rng or random.SystemRandom())

    @property
    def caller_address(self) -> str:
        """The bound address for callers."""
        return self._caller_server.address

    @property
    def operator_address(self) -> str:
        """The bound address for operators."""
        return self._operator_server.address

    async def start(self) -> None:
        """Listen to peers and operators, load a configuration, then accept callers."""
        await self.node.start(self._settings.entry.peer_listen)
        await self._operator_server.start()
        self.watch.on_change(self.targets.set_members)
        self.ledger.on_change(self._apply_changes)
        await self.watch.start()
        await self.ledger.start()
        await self.targets.start()
        await self.limits.start()
        await self.placer.start()
        await self.callers.start()
        await self._caller_server.start()
        log.info("entry_started", address=self.node.address, callers=self.caller_address)

    async def drain(self) -> None:
        """Leave the address answers, serve while callers may cache them, and finish all requests.

        Other entries may return this one's address for longer, so requests can still arrive until
        it stops listening; these are finished as well.
        """
        limit_s = self._settings.entry.drain_limit_ms / MS_PER_S
        self.callers.begin_drain()
        self.limits.begin_drain()
        log.info("entry_draining")
        await self.callers.drained(limit_s)
        await self._caller_server.close(limit_s)
        log.info("entry_drained")

    async def leave(self) -> None:
        """Drain, then close."""
        await self.drain()
        await self.close()

    async def close(self) -> None:
        """Close all components; no task stays pending."""
        await self._caller_server.close()
        await self.callers.close()
        await self.placer.close()
        await self.limits.close()
        await self.targets.close()
        await self.ledger.close()
        await self.watch.close()
        await self.node.close()
        await self._operator_server.close()
        await self._platform.close()
        log.info("entry_closed")

    def _apply_changes(self, _: FleetState, entries: Sequence[messages.LogEntry]) -> None:
        """Refresh the targets, which scans the whole fleet, only if placements changed."""
        if may_change_placements(entries):
            self.targets.refresh()

    def _readiness(self) -> Readiness:
        reason = "" if self.ledger.ready else "no configuration yet"
        return Readiness(self.ledger.ready, reason, self.ledger.revision)

    def _state(self) -> FleetState:
        return self.ledger.state

    def _members(self) -> MemberList:
        return self.watch.members

    async def _answer_operator(self, request: Request) -> Response:
        page = self._pages.find(request)
        return page if page is not None else await self.operators.handle(request)

    async def _handle(self, exchange: Exchange) -> None:
        match exchange.message:
            case messages.Heartbeat():
                await self.targets.handle(exchange)
            case (
                messages.FetchLog()
                | messages.FetchSnapshot()
                | messages.Subscribe()
                | messages.LogNews()
            ):
                await self.ledger.handle(exchange)
            case messages.FetchHeard():
                self.operators.answer_peer(exchange)
            case messages.AskOutcome():
                self.callers.answer_peer(exchange)
            case messages.Demand():
                await self.limits.handle(exchange)
            case _:
                kind = type(exchange.message).__name__
                raise UnsupportedMessage(f"an entry does not handle {kind}")


async def run_entry(settings: Settings) -> None:
    """Run an entry until a signal requests its shutdown, then drain it."""
    entry = EntryProcess.from_config(settings)
    stream = LogStream.for_stderr()
    configure_process_log(settings.process, "entry", entry.incarnation, stream)
    entry.metrics.read_gauge("log_lines_dropped", lambda: stream.dropped)
    await run_until_signalled(entry.start, entry.drain, entry.close)
