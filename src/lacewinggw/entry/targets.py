"""The targets that this entry watches: their last reported state, and the choice among them."""

import asyncio
import itertools
import math
import random
from collections.abc import Callable, Iterable, Sequence, Set
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from lacewinggw.clients.membership import Member, MemberRole, MemberState
from lacewinggw.decisions.affinity import PrefixIndex, preferred_target
from lacewinggw.decisions.ejection import EjectionRules, EjectionState, note_failed_call
from lacewinggw.decisions.retries import RetryBudget
from lacewinggw.decisions.routing import (
    Choice,
    LoadReport,
    Policy,
    RoutingContext,
    TargetStats,
    cheapest,
    choose_target,
    draw_candidates,
    median_request_time,
    note_report,
)
from lacewinggw.decisions.subsets import TargetHost, pick_subset, ring_position
from lacewinggw.decisions.waves import is_coordinator
from lacewinggw.entry.watches import AgentWatches, WatchedAgent
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.generated.messages.ttypes import Priority, TargetState
from lacewinggw.generated.settings.ttypes import Settings
from lacewinggw.ids import (
    Address,
    Digest,
    HostId,
    Incarnation,
    Place,
    ReleaseName,
    ServiceName,
)
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics
from lacewinggw.wire.peers import Exchange, PeerNode
from lacewinggw.wire.validation import require_valid_heartbeat

MS_PER_S = 1000.0
TYPICAL_TIME_CACHE_S = 0.25  # a service's median time per request is recomputed after this
IDLE_HEARTBEATS_PER_S = 50  # budget for idle heartbeats of hosts watched for routing
ROLLOUT_HEARTBEATS_PER_S = 50  # the same, for hosts watched only during a rollout
PERCENT = 100.0
SPARE_SUBSET = "spare"  # hosts without a service, also watched for placement and display

log = get_logger(__name__)


class ConfigurationView(Protocol):
    """The parts of the configuration that are read here."""

    placements: dict[str, dict[str, str]]
    upcoming: dict[str, dict[str, str]]
    draining: set[str]


class CallOutcome(Enum):
    """How a call to a target ended, with regard to the target's health."""

    ANSWERED = "answered"
    REFUSED = "refused"  # not run, according to the agent: busy, draining or moved
    FAILED = "failed"  # the target failed, or the connection to its agent was lost
    ABANDONED = "abandoned"  # the caller disconnected: no information about the target


@dataclass(frozen=True)
class CallResult:
    """The result of a call: its outcome, and the load reported with it."""

    outcome: CallOutcome
    load: messages.Load | None = None


@dataclass
class ServiceTargets:
    """The targets of one service that may receive requests, and their cached median time."""

    targets: list[TargetStats] = field(default_factory=list)
    typical_s: float = 1.0
    typical_at: float = -math.inf


def idle_interval_ms(watched: int) -> int:
    """Return the interval in ms that keeps the idle heartbeats of all hosts within their budget.

    It is a whole number of seconds, so that one host more or less rarely changes the interval
    requested from the others; 0 leaves it to the agents. Replies carry load too, so a longer
    interval does not delay the load of a busy target.
    """
    return watched // IDLE_HEARTBEATS_PER_S * int(MS_PER_S)


class TargetDirectory:
    """Watches a bounded subset of targets and chooses among them.

    choice = targets.choose(service, head)
    targets.begin(choice.host)
    ...
    targets.end(choice.host, CallResult(CallOutcome.ANSWERED, load=finish.load))
    """

    def __init__(
        self,
        settings: Settings,
        node: PeerNode,
        state: Callable[[], ConfigurationView],
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        routing = settings.routing
        self._own_host = HostId(settings.process.host)
        self._place = Place(settings.process.place)
        self._state = state
        self._metrics = metrics
        self._rng = rng
        self._subset = routing.subset
        self._slow_start_s = routing.slow_start_ms / MS_PER_S
        self._dead_after_s = routing.dead_after_ms / MS_PER_S
        self._rules = EjectionRules(
            routing.eject_after,
            routing.eject_ms / MS_PER_S,
            routing.eject_limit_percent / PERCENT,
        )
        self._budget = RetryBudget(routing.retry_percent / PERCENT)
        self._policy = Policy(routing.policy)
        self._call_numbers = itertools.count(1)
        self._prefixes = PrefixIndex()
        self._watches = AgentWatches(node, self._own_host, self._drop_host, rng)
        self._members: dict[HostId, Member] = {}
        self._entries: list[HostId] = []
        self._position = 0.0
        self._watched_since: dict[HostId, float] = {}  # start, in loop time
        self._intervals_ms: dict[HostId, int] = {}  # 0 leaves it to the agent
        self._heartbeats: dict[HostId, messages.Heartbeat] = {}
        self._last_seen_at: dict[HostId, float] = {}
        self._stats: dict[HostId, TargetStats] = {}
        self._services: dict[ServiceName, ServiceTargets] = {}

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        node: PeerNode,
        state: Callable[[], ConfigurationView],
        metrics: Metrics,
        rng: random.Random,
    ) -> "TargetDirectory":
        """Return a directory with the settings of [routing]."""
        return cls(settings, node, state, metrics, rng)

    async def start(self) -> None:
        """Start watching the targets known so far."""
        self._watches.start()
        self.refresh()

    async def close(self) -> None:
        """Stop watching."""
        await self._watches.close()

    def set_members(self, members: Sequence[Member]) -> None:
        """Set the list of hosts, and refresh the targets."""
        self._entries = [
            member.host
            for member in members
            if member.role is MemberRole.ENTRY and member.state is MemberState.LIVE
        ]
        self._position = ring_position(self._own_host, self._entries)
        self._members = {
            member.host: member for member in members if member.role is MemberRole.AGENT
        }
        self.refresh()

    def refresh(self) -> None:
        """Recompute which targets to watch, after a change of hosts or configuration."""
        now = self._now()
        wanted = set(self._pick_hosts())
        rollout_intervals_ms = self._pick_rollout_hosts(wanted)
        self._intervals_ms = {
            **dict.fromkeys(wanted, idle_interval_ms(len(wanted))),
            **rollout_intervals_ms,
        }
        wanted.update(rollout_intervals_ms)
        self._watched_since = {host: self._watched_since.get(host, now) for host in wanted}
        for host in [host for host in self._heartbeats if host not in wanted]:
            self._forget(host)
        self._watches.set_targets(
            frozenset(
                WatchedAgent(host, self._members[host].address, self._intervals_ms.get(host, 0))
                for host in wanted
            )
        )
        self._services.clear()

    async def handle(self, exchange: Exchange) -> None:
        """Apply a heartbeat if it is its sender's own; raise `ProtocolViolation` if invalid."""
        heartbeat: messages.Heartbeat = exchange.message
        require_valid_heartbeat(heartbeat)
        if exchange.link.remote.host != heartbeat.host:
            return
        self.note_heartbeat(heartbeat)

    def note_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Apply a heartbeat of a watched host, unless it is older than the last one."""
        host = HostId(heartbeat.host)
        if host not in self._watched_since:
            return
        previous = self._heartbeats.get(host)
        if previous is not None and _is_older(heartbeat, previous):
            return
        now = self._now()
        self._heartbeats[host] = heartbeat
        self._last_seen_at[host] = now
        self._update_stats(host, heartbeat, now)

    def candidates(self, service: ServiceName | str) -> list[TargetStats]:
        """Return the targets of a service that may receive requests now."""
        now = self._now()
        return [stats for stats in self._targets_of(service).targets if self._is_usable(stats, now)]

    def choose(
        self,
        service: ServiceName | str,
        head: messages.RequestHead,
        exclude: frozenset[str] = frozenset(),
    ) -> Choice | None:
        """Return the target for a request, or None if no target may receive it."""
        now = self._now()
        service_targets = self._targets_of(service)
        urgent = head.priority == Priority.URGENT
        context = RoutingContext(
            now, self._typical_time_s(service_targets, now), self._slow_start_s, urgent
        )

        def fits(stats: TargetStats) -> bool:
            if stats.host in exclude or (head.digest and stats.digest != head.digest):
                return False
            return self._is_usable(stats, now)

        if self._policy is not Policy.COST:
            usable = list(filter(fits, service_targets.targets))
            chosen = choose_target(usable, context, self._rng, self._policy)
        else:
            chosen = self._choose_by_cost(
                service_targets.targets, head.prefix_blocks or (), context, fits
            )
        if chosen is None:
            return None
        return Choice(chosen.host, chosen.address, chosen.incarnation, chosen.digest)

    def _choose_by_cost(
        self,
        targets: Sequence[TargetStats],
        blocks: Sequence[str],
        context: RoutingContext,
        fits: Callable[[TargetStats], bool],
    ) -> TargetStats | None:
        """Choose by prefix, else by cost; scan all targets only if a few candidates do not fit."""
        if not blocks:
            few = draw_candidates(targets, context, self._rng)
            if few and all(map(fits, few)):
                return cheapest(few, context, self._rng)
        usable = list(filter(fits, targets))
        chosen = preferred_target(usable, blocks, self._prefixes, context)
        if chosen is None:
            chosen = choose_target(usable, context, self._rng)
        if chosen is not None:
            self._prefixes.note(chosen.digest, blocks, chosen.host)
        return chosen

    def _typical_time_s(self, service_targets: ServiceTargets, now: float) -> float:
        if now - service_targets.typical_at > TYPICAL_TIME_CACHE_S:
            service_targets.typical_s = median_request_time(service_targets.targets)
            service_targets.typical_at = now
        return service_targets.typical_s

    def begin(self, host: HostId | str) -> None:
        """Record the start of a call to a target."""
        self._budget.note_call(self._now())
        stats = self._stats.get(HostId(host))
        if stats is not None:
            stats.in_flight += 1
            stats.last_call = next(self._call_numbers)
            stats.health.note_begin(self._now())

    def end(self, host: HostId | str, result: CallResult) -> None:
        """Record the end of a call and its result."""
        stats = self._stats.get(HostId(host))
        if stats is None:
            return
        now = self._now()
        stats.in_flight = max(0, stats.in_flight - 1)
        if result.load is not None:
            note_report(stats, _read_load(result.load), now)
            self._last_seen_at[stats.host] = now
        match result.outcome:
            case CallOutcome.ABANDONED | CallOutcome.REFUSED:
                stats.health.note_inconclusive()
            case CallOutcome.ANSWERED | CallOutcome.FAILED:
                self._note_health(stats, result.outcome is CallOutcome.FAILED, now)

    def acquire_retry(self) -> bool:
        """Return whether the budget allows a retry now, and charge it if so."""
        return self._budget.take(self._now())

    def heartbeats(self) -> dict[str, messages.Heartbeat]:
        """Return the last heartbeat of each watched host."""
        return {str(host): heartbeat for host, heartbeat in self._heartbeats.items()}

    def last_seen(self) -> dict[str, float]:
        """Return the time of the last message from each watched host, in loop time."""
        return {str(host): at for host, at in self._last_seen_at.items()}

    def fresh_heartbeats(self) -> dict[str, messages.Heartbeat]:
        """Return the last heartbeat of each watched host whose heartbeats are not overdue."""
        now = self._now()
        return {
            str(host): heartbeat
            for host, heartbeat in self._heartbeats.items()
            if now - self._last_seen_at[host] <= self._allowed_silence_s(host)
        }

    def unresponsive_hosts(self, now: float | None = None) -> set[str]:
        """Return the watched hosts that sent nothing for `dead_after_ms` plus their interval."""
        at = self._now() if now is None else now
        return {host for host in self._watched_since if self._is_silent(host, at)}

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _pick_hosts(self) -> Iterable[HostId]:
        placed: set[str] = set()
        state = self._state()
        for hosts in state.placements.values():
            placed.update(hosts)
            yield from self._pick(hosts)
        yield from self._pick(host for host in self._members if host not in placed)

    def _pick_rollout_hosts(self, picked: Set[HostId]) -> dict[HostId, int]:
        """Return other hosts of services in a rollout, if this entry coordinates the rollout.

        The values are heartbeat intervals in ms, which grow with the number of hosts. Agents report
        state changes at once, whatever the interval.
        """
        if not is_coordinator(self._own_host, self._entries):
            return {}
        state = self._state()
        placements = (hosts for name, hosts in state.placements.items() if state.upcoming.get(name))
        others = {HostId(host) for hosts in placements for host in hosts} - picked
        interval_ms = int(len(others) * MS_PER_S / ROLLOUT_HEARTBEATS_PER_S)
        return dict.fromkeys((host for host in others if host in self._members), interval_ms)

    def _pick(self, hosts: Iterable[str]) -> Iterable[HostId]:
        live = [self._members[HostId(host)] for host in hosts if host in self._members]
        candidates = [TargetHost(member.host, member.place, member.address) for member in live]
        picked = pick_subset(self._own_host, self._place, self._position, candidates, self._subset)
        return [each.host for each in picked]

    def _targets_of(self, service: ServiceName | str) -> ServiceTargets:
        cached = self._services.get(ServiceName(service))
        if cached is None:
            placed = self._state().placements.get(service, {})
            found = [self._stats[HostId(host)] for host in placed if host in self._stats]
            targets = [stats for stats in found if self._serves(stats, service)]
            cached = ServiceTargets(targets)
            self._services[ServiceName(service)] = cached
        return cached

    def _serves(self, stats: TargetStats, service: str) -> bool:
        member = self._members.get(stats.host)
        if member is None or member.state is not MemberState.LIVE:
            return False
        if stats.host in self._state().draining:
            return False
        heartbeat = self._heartbeats[stats.host]
        return stats.service == service and heartbeat.state == TargetState.SERVING

    def _is_usable(self, stats: TargetStats, now: float) -> bool:
        return stats.health.may_call(now) and not self._is_silent(stats.host, now)

    def _is_silent(self, host: HostId, now: float) -> bool:
        last_seen_at = self._last_seen_at.get(host, self._watched_since.get(host, now))
        return now - last_seen_at > self._allowed_silence_s(host)

    def _allowed_silence_s(self, host: HostId) -> float:
        return self._dead_after_s + self._intervals_ms.get(host, 0) / MS_PER_S

    def _update_stats(self, host: HostId, heartbeat: messages.Heartbeat, now: float) -> None:
        stats = self._stats.get(host)
        serving = heartbeat.state == TargetState.SERVING
        if stats is None or stats.incarnation != heartbeat.incarnation:
            stats = self._new_stats(host, heartbeat, now)
            self._stats[host] = stats
            self._services.clear()
        key = (stats.service, stats.digest, stats.serving)
        if serving and not stats.serving:
            stats.serving_since = now
        stats.service = ServiceName(heartbeat.service_name)
        stats.release = ReleaseName(heartbeat.release)
        stats.digest = Digest(heartbeat.digest)
        stats.serving = serving
        if key != (stats.service, stats.digest, stats.serving):
            self._services.clear()
        if heartbeat.load is not None:
            note_report(stats, _read_load(heartbeat.load), now)

    def _new_stats(self, host: HostId, heartbeat: messages.Heartbeat, now: float) -> TargetStats:
        return TargetStats(
            host=host,
            place=Place(heartbeat.place),
            address=Address(self._members[host].address),
            incarnation=Incarnation(heartbeat.incarnation),
            service=ServiceName(heartbeat.service_name),
            release=ReleaseName(heartbeat.release),
            digest=Digest(heartbeat.digest),
            near=heartbeat.place == self._place,
            serving_since=now,
        )

    def _note_health(self, stats: TargetStats, failed: bool, now: float) -> None:
        if not failed:
            stats.health.note_success()
            return
        targets = self._targets_of(stats.service).targets
        ejected = sum(each.health.state(now) is EjectionState.EJECTED for each in targets)
        if note_failed_call(stats.health, now, ejected, len(targets), self._rules):
            self._metrics.count("targets_ejected")
            log.warning(
                "target_ejected",
                target=stats.host,
                failures=stats.health.consecutive_failures,
            )

    def _drop_host(self, host: HostId) -> None:
        """Send nothing to a host whose link broke, until its next heartbeat."""
        if self._stats.pop(host, None) is not None:
            self._services.clear()
        self._heartbeats.pop(host, None)

    def _forget(self, host: HostId) -> None:
        self._drop_host(host)
        self._last_seen_at.pop(host, None)


def _is_older(heartbeat: messages.Heartbeat, previous: messages.Heartbeat) -> bool:
    same = heartbeat.incarnation == previous.incarnation
    return same and heartbeat.sequence < previous.sequence


def _read_load(load: messages.Load) -> LoadReport:
    return LoadReport(
        running=load.running,
        queued=load.queued,
        capacity=load.capacity,
        urgent=load.urgent,
        age_s=load.age_ms / MS_PER_S,
        request_s=load.request_ms / MS_PER_S if load.request_ms > 0 else None,
    )


__all__ = ["CallOutcome", "CallResult", "Choice", "TargetDirectory", "TargetStats"]
