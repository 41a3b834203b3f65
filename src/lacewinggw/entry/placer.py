"""Placement by any entry: find missing replicas, wait by rank, and commit a placement to the log.

There is no leader and no lease. The entry ranked first acts at once, each other one only if the
placement is still needed after a delay that grows with its rank. The log refuses a second commit
of the same placement. It also refuses a placement that was computed before the acceptance of a
change it depends on, so that an entry that was paused cannot restore an old placement.
"""

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress

from lacewinggw.background import Background
from lacewinggw.clients.membership import Member, MemberRole, MemberState
from lacewinggw.decisions.hostfailures import HeartbeatTimes, HostFailureDetector
from lacewinggw.decisions.peerselection import rendezvous_rank
from lacewinggw.decisions.placement import (
    HostInfo,
    PlacementPlan,
    Shortfall,
    is_fully_placed,
    plan_placement,
)
from lacewinggw.decisions.revisions import ChangeContent, FleetState, change_of, content_of
from lacewinggw.decisions.waves import PLACER_PURPOSE, choose_wave, measure_progress
from lacewinggw.entry.ledger import Ledger
from lacewinggw.errors import (
    ConfigurationConflict,
    LacewingError,
    NoConfiguration,
    UnsupportedMessage,
)
from lacewinggw.generated.messages.ttypes import (
    Assignment,
    CreateRelease,
    FetchLog,
    Heartbeat,
    LogEntry,
    Place,
    PutService,
    SetDrain,
    WithdrawRelease,
)
from lacewinggw.generated.settings.ttypes import ConfigurationSettings
from lacewinggw.ids import Address, HostId, new_command_id
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics
from lacewinggw.wire.peers import PeerNode

TICK_S = 0.25
PROBE_TIMEOUT_S = 1.0
BACK_OFF_S = 2.0
MS_PER_S = 1000

log = get_logger(__name__)

Members = Callable[[], Sequence[Member]]
LastSeen = Callable[[], HeartbeatTimes]
Heartbeats = Callable[[], Mapping[str, Heartbeat]]


class Placer:
    """Computes and commits placements on behalf of one entry.

    `members` returns the list of hosts as last polled, `last_seen` the time of the last message
    from each target host to this entry, and `heartbeats` the last heartbeats of the hosts whose
    heartbeats are not overdue.
    """

    def __init__(
        self,
        settings: ConfigurationSettings,
        ledger: Ledger,
        node: PeerNode,
        members: Members,
        last_seen: LastSeen,
        heartbeats: Heartbeats,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._ledger = ledger
        self._node = node
        self._members = members
        self._last_seen = last_seen
        self._heartbeats = heartbeats
        self._ready_since: dict[str, float] = {}
        self._metrics = metrics
        self._rng = rng
        self._failure_detector = HostFailureDetector(settings.dead_host_ms / MS_PER_S)
        self._addresses: dict[HostId, Address] = {}
        self._needed_since: float | None = None
        self._not_before = 0.0
        self._plan = PlacementPlan()
        self._hosts: dict[str, HostInfo] = {}
        self._cached_members: Sequence[Member] = ()
        self._lost: set[str] = set()
        self._changed_services: set[str] | None = None  # services to check; None for all
        self._hosts_changed = True
        ledger.on_change(self._note_changes)
        self._loop = Background("placement", self._run)

    @classmethod
    def from_config(
        cls,
        settings: ConfigurationSettings,
        ledger: Ledger,
        node: PeerNode,
        members: Members,
        last_seen: LastSeen,
        heartbeats: Heartbeats,
        metrics: Metrics,
        rng: random.Random | None = None,
    ) -> "Placer":
        """Return the placer of an entry."""
        generator = rng or random.Random()
        return cls(settings, ledger, node, members, last_seen, heartbeats, metrics, generator)

    @property
    def shortfalls(self) -> list[Shortfall]:
        """Replicas that cannot be placed because there are too few hosts."""
        return self._plan.shortfalls

    @property
    def missing_hosts(self) -> frozenset[str]:
        """Placed hosts that are missing from the list, whether or not they count as dead yet."""
        return self._failure_detector.missing

    async def start(self) -> None:
        """Start the placement loop."""
        self._loop.start()

    async def close(self) -> None:
        """Stop the placement loop."""
        await self._loop.close()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_S * self._rng.uniform(0.8, 1.2))
            try:
                await self.reconcile()
            except LacewingError as error:
                log.warning("placement_failed", error=error)
                self._not_before = self._now() + BACK_OFF_S * self._rng.uniform(0.5, 1.0)

    async def reconcile(self) -> None:
        """Check once; commit a placement if one is needed and this entry's delay has passed."""
        members = self._members()
        if not self._ledger.ready or not members:
            return
        now = self._now()
        self._set_members(members)
        placed = self._ledger.state.placed_hosts()
        if self._hosts_changed:
            self._failure_detector.update_listed(self._hosts, placed, now)
            self._hosts_changed = False
        lost = self._failure_detector.find_dead(self._last_seen(), placed, now)
        plan = self._update_plan(lost)
        if not plan.places and not self._plan_rollouts(now):
            self._needed_since = None
            return
        if self._needed_since is None:
            self._needed_since = now
        if now >= max(self._needed_since + self._delay_s(members), self._not_before):
            await self._commit(lost)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _note_changes(self, state: FleetState, entries: Sequence[LogEntry]) -> None:
        """Record the services that changes affect; a state without entries (a snapshot), all."""
        self._hosts_changed = True
        if not entries:
            self._changed_services = None
        for entry in entries:
            for change in entry.changes:
                self._note_content(state, content_of(change))

    def _note_content(self, state: FleetState, content: ChangeContent) -> None:
        if self._changed_services is None:
            return
        match content:
            case PutService():
                self._changed_services.add(content.declared.name)
            case Place() if not content.released:
                self._changed_services.add(content.service_name)
            case SetDrain(draining=True):
                self._changed_services.update(
                    name for name, _ in state.assignments_of(content.host)
                )
            case CreateRelease() | WithdrawRelease():
                return
            case _:  # hosts became free, which any service may need
                self._changed_services = None

    def _set_members(self, members: Sequence[Member]) -> None:
        """Store a new list of hosts; return at once if it is the same object as before."""
        if members is self._cached_members:
            return
        hosts: dict[str, HostInfo] = {}
        for member in members:
            if member.role is not MemberRole.AGENT:
                continue
            self._addresses[member.host] = member.address
            leaving = member.state is MemberState.LEAVING
            hosts[member.host] = HostInfo(member.host, member.place, member.service, leaving)
        self._hosts = hosts
        self._cached_members = members
        self._changed_services = None
        self._hosts_changed = True

    def _update_plan(self, lost: set[str]) -> PlacementPlan:
        """Return the plan, recomputed only if something that it depends on has changed."""
        state, changed = self._ledger.state, self._changed_services
        if lost != self._lost:
            changed = None
        self._lost, self._changed_services = lost, set()
        if changed is None or any(
            not is_fully_placed(state, name, self._hosts, lost) for name in changed
        ):
            self._plan = plan_placement(state, self._hosts, lost)
        elif changed:
            places = [each for each in self._plan.places if each.service_name not in changed]
            shortfalls = [each for each in self._plan.shortfalls if each.service not in changed]
            self._plan = PlacementPlan(places, shortfalls)
        return self._plan

    def _delay_s(self, members: Sequence[Member]) -> float:
        own = self._node.identity.host
        entries = [
            member.host
            for member in members
            if member.role is MemberRole.ENTRY and member.state is MemberState.LIVE
        ]
        rank = rendezvous_rank(PLACER_PURPOSE, own, [host for host in entries if host != own])
        return rank * self._settings.placement_delay_ms / MS_PER_S

    async def _commit(self, lost: set[str]) -> None:
        dead = {host for host, alive in await self._probe(lost) if not alive}
        revision = self._ledger.revision
        places = plan_placement(self._ledger.state, self._hosts, dead).places
        places = places or self._plan_rollouts(self._now())
        self._needed_since = None
        if not places:
            self._not_before = self._now() + BACK_OFF_S
            return
        try:
            entry = await self._ledger.accept(
                [change_of(place) for place in places],
                words=describe_places(places),
                author=f"entry {self._node.identity.host}",
                read_revision=revision,
                command_id=new_command_id(random.SystemRandom()),
            )
        except ConfigurationConflict:
            self._metrics.count("placements", outcome="overtaken")
            return
        self._metrics.count("placements", outcome="accepted")
        log.info("placement_accepted", revision=entry.revision, words=entry.words)

    def _plan_rollouts(self, now: float) -> list[Place]:
        """Return the next rollout wave of each service that has one due."""
        state = self._ledger.state
        places = []
        for service in [name for name, hosts in state.upcoming.items() if hosts]:
            progress = measure_progress(state, service, self._heartbeats())
            waiting = any(each.is_changing_over and each.is_ready for each in progress.values())
            since = self._ready_since.setdefault(service, now) if waiting else now
            if not waiting:
                self._ready_since.pop(service, None)
            floor = state.services[service].floor_percent
            wave = choose_wave(service, progress, floor, now - since)
            if wave:
                places.append(_rollout_place(state, service, wave))
        return places

    async def _probe(self, lost: set[str]) -> list[tuple[str, bool]]:
        """Return for each host that seems dead whether it replies at its last known address."""
        replies = await asyncio.gather(*(self._is_reachable(host) for host in sorted(lost)))
        return list(zip(sorted(lost), replies, strict=True))

    async def _is_reachable(self, host: str) -> bool:
        address = self._addresses.get(HostId(host))
        if address is None:
            return False
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                link = await self._node.link(address)
                # These error replies prove that the host is alive.
                with suppress(UnsupportedMessage, NoConfiguration):
                    await link.call(FetchLog(self._ledger.revision, 1), PROBE_TIMEOUT_S)
        except (LacewingError, TimeoutError):
            return False
        self._metrics.count("placement_probes_answered")
        return link.remote.host == host


def _rollout_place(state: FleetState, service: str, wave: Sequence[str]) -> Place:
    upcoming = state.next_releases_of(service)
    assignments = [Assignment(host, service, upcoming[host]) for host in sorted(wave)]
    return Place(service, assignments, "their turn to change over", [])


def _describe_assignment(assignment: Assignment) -> str:
    if assignment.next_release:
        return f"{assignment.host} to go to {assignment.next_release}"
    if assignment.release:
        return f"{assignment.host} on {assignment.release}"
    return assignment.host


def describe_places(places: Sequence[Place]) -> str:
    """Return a description of a placement, for `show history`."""
    parts = []
    for place in places:
        added = ", ".join(_describe_assignment(each) for each in place.assignments)
        removed = ", ".join(place.released or [])
        words = f"place {place.service_name}:"
        if added:
            words += f" {added}"
        if removed:
            words += f" without {removed}"
        parts.append(f"{words} ({place.cause})")
    return "; ".join(parts)
