"""Exchange updates with the agents of model engines."""

import asyncio
import random
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass

from lacewinggw.background import Background
from lacewinggw.clock import Clock
from lacewinggw.decisions.dispatch import TargetPool
from lacewinggw.decisions.locality import choose_agents
from lacewinggw.decisions.peerselection import rendezvous_rank
from lacewinggw.decisions.routingview import RoutingView
from lacewinggw.decisions.targetlist import TargetEntry, make_target_id
from lacewinggw.entry.watches import AgentWatches, WatchedAgent
from lacewinggw.fleet.agentupdates import FleetContent, compose_update, content_of
from lacewinggw.frontend.coldtargets import ColdTargets
from lacewinggw.frontend.leavingtargets import LeavingSource, LeavingTargets
from lacewinggw.frontend.storefollower import StoreFollower
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.ids import Address, HostId, ModelName, Place, ServiceName, TargetName
from lacewinggw.wire.peers import PeerNode
from lacewinggw.wire.validation import require_valid

FLEET_UPDATE_INTERVAL_S = 1.5  # between updates for agents without a change
COALESCE_S = 0.02  # changes within this time are sent in one update
MS_PER_S = 1000.0
NOTIFIERS_PER_AGENT = 2  # if a single notifier died, the agent would have to read the store


@dataclass(frozen=True)
class _SentUpdate:
    """The content of the last update sent to agents, and when it was sent."""

    content: FleetContent
    at: float


class AgentLinks:
    """Keeps links to agents of model engines: nearby ones, a few others, and those it notifies.

    Each agent is notified by only a few entries: those that rank first for it among `notifiers`,
    the entries that are ready. Agents listen on the same port as entries.
    """

    def __init__(
        self,
        node: PeerNode,
        own_host: HostId,
        place: Place,
        port: str,
        view: RoutingView,
        pool: TargetPool,
        leaving_targets: LeavingTargets,
        cold: ColdTargets,
        notifiers: Callable[[], Sequence[HostId]],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._node = node
        self._own_host = own_host
        self._place = place
        self._port = port
        self._view = view
        self._pool = pool
        self._leaving_targets = leaving_targets
        self._cold = cold
        self._notifiers = notifiers
        self._clock = clock
        self._store: StoreFollower | None = None
        self._watches = AgentWatches(node, own_host, cold.note_agent_lost, rng)
        self._sent: dict[ServiceName, _SentUpdate] = {}
        # Whether this entry notifies an agent, for the notifiers of the last call.
        self._notified: dict[HostId, bool] = {}
        self._notified_by: frozenset[HostId] = frozenset()
        self._changed = asyncio.Event()
        self._loop = Background("fleet updates", self._run)

    async def start(self, store: StoreFollower) -> None:
        """Start watching agents, and sending them what `store` receives."""
        self._store = store
        self._watches.start()
        self._loop.start()

    async def close(self) -> None:
        """Stop."""
        await self._loop.close()
        await self._watches.close()

    def schedule_update(self) -> None:
        """Watch the agents of the current targets, and send an update soon."""
        self._watch()
        self._changed.set()

    def _watch(self) -> None:
        routes = self._view.routes
        if routes is None:
            return
        engines = {name for name, each in routes.services.items() if each.engine is not None}
        entries = [entry for entry in self._view.targets.values() if entry.service in engines]
        agents = {self._agent_of(entry): entry.place for entry in entries}
        places = {agent.host: place for agent, place in agents.items()}
        wanted = choose_agents(self._own_host, self._place, places)
        notifiers = self._current_notifiers()
        self._watches.set_targets(
            {a for a in agents if a.host in wanted or self._notifies(a.host, notifiers)}
        )

    def apply_update(self, update: messages.TargetUpdate) -> None:
        """Apply an agent's update about its target."""
        require_valid(update)
        name = TargetName(update.name)
        self._view.record_incarnation(name, update.born_ms)
        self._leaving_targets.publish_new(LeavingSource.AGENT)
        target = make_target_id(name, update.born_ms)
        now = asyncio.get_running_loop().time()
        sent_s = update.sent_ms / MS_PER_S
        running = update.running + update.queued
        self._pool.note_report(
            target, running, now, update.loading, sent_s, update.slowness, update.hears_gaps
        )
        self._cold.note_agent(target, update.cold_ms)
        if update.leaving:
            self._leaving_targets.mark_leaving(target, LeavingSource.AGENT)
        if self._store is not None:
            held = {ModelName(each.model): each.version for each in update.held}
            self._store.note_weights(target, held)

    def _agent_of(self, entry: TargetEntry) -> WatchedAgent:
        host = entry.address.rpartition(":")[0]
        return WatchedAgent(HostId(host), Address(f"{host}:{self._port}"))

    async def _run(self) -> None:
        while True:
            self._watch()  # the agents to notify change as entries come and go
            self._send_updates()
            with suppress(TimeoutError):
                async with asyncio.timeout(FLEET_UPDATE_INTERVAL_S):
                    await self._changed.wait()
            self._changed.clear()
            await asyncio.sleep(COALESCE_S)

    def _send_updates(self) -> None:
        routes, store = self._view.routes, self._store
        if routes is None or store is None or not store.has_targets:
            return
        notifiers = self._current_notifiers()
        for service in routes.services.values():
            position = store.targets_position
            cold = self._cold.reports(service.name)
            update = compose_update(self._view, service, position, self._clock(), cold)
            if update is None or not self._is_due(service.name, update):
                continue
            for entry in self._view.targets.values():
                agent = self._agent_of(entry)
                if entry.service == service.name and self._notifies(agent.host, notifiers):
                    self._node.notify_if_open(agent.address, update)

    def _is_due(self, service: ServiceName, update: messages.FleetUpdate) -> bool:
        """Return whether an update is due: its content is new, or the interval has passed.

        Rows of targets change every second, mostly in ways that do not concern agents.
        """
        now, content = self._clock(), content_of(update)
        last_sent = self._sent.get(service)
        if (
            last_sent is not None
            and last_sent.content == content
            and now - last_sent.at < FLEET_UPDATE_INTERVAL_S
        ):
            return False
        self._sent[service] = _SentUpdate(content, now)
        return True

    def _current_notifiers(self) -> Sequence[HostId]:
        """Return the entries that notify agents; drop the cached ranks if they have changed."""
        notifiers = self._notifiers()
        if self._notified_by != (current := frozenset(notifiers)):
            self._notified_by = current
            self._notified.clear()
        return notifiers

    def _notifies(self, agent: HostId, notifiers: Sequence[HostId]) -> bool:
        """Return whether this entry notifies an agent.

        Ranks are cached, as they are needed several times a second and computing them takes time
        in proportion to the number of entries times the number of agents.
        """
        if agent not in self._notified:
            rank = rendezvous_rank(f"fleet news/{agent}", self._own_host, notifiers)
            self._notified[agent] = rank < NOTIFIERS_PER_AGENT
        return self._notified[agent]
