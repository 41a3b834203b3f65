"""The targets that this entry deals with: what they last said, and which one a request goes to."""

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
from lacewinggw.wire.soundness import require_sound_heartbeat

MILLISECONDS = 1000.0
TYPICAL_TIME_CACHE_S = 0.25  # for so long a service's median time per request is kept
IDLE_HEARTBEATS_PER_S = 50  # idle heartbeats, of hosts watched for routing
ROLLOUT_HEARTBEATS_PER_S = 50  # the same, of hosts watched only while they change over
PERCENT = 100.0
SPARE_SUBSET = "spare"  # hosts without a service are watched too, for placement and display

log = get_logger(__name__)


class ConfigurationView(Protocol):
    """What is read of the configuration."""

    placements: dict[str, dict[str, str]]
    upcoming: dict[str, dict[str, str]]
    draining: set[str]


class CallOutcome(Enum):
    """How a call to a target ended, as far as the target's health goes."""

    ANSWERED = "answered"
    REFUSED = "refused"  # the agent said that it did not run: busy, draining, moved
    FAILED = "failed"  # the target failed, or the connection to its agent was lost
    ABANDONED = "abandoned"  # the caller left: this says nothing of the target


@dataclass(frozen=True)
class CallResult:
    """The end of a call: its outcome, and the load told with it."""

    outcome: CallOutcome
    load: messages.Load | None = None


@dataclass
class ServiceTargets:
    """The targets of one service that may be offered requests."""

    targets: list[TargetStats] = field(default_factory=list)
    typical_s: float = 1.0
    typical_at: float = -math.inf


def idle_interval_ms(watched: int) -> int:
    """Return the interval between idle heartbeats that keeps those of all hosts within a budget.

    It is in whole seconds, so that a host more or less seldom changes what was asked of the others;
    0 leaves it to the agents. Load rides on replies, so a busy target is known no later.
    """
    return watched // IDLE_HEARTBEATS_PER_S * int(MILLISECONDS)


class TargetDirectory:
    """Keeps watch on a bounded subset of targets and chooses among them.

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
        self._slow_start_s = routing.slow_start_ms / MILLISECONDS
        self._dead_after_s = routing.dead_after_ms / MILLISECONDS
        self._rules = EjectionRules(
            routing.eject_after,
            routing.eject_ms / MILLISECONDS,
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
        self._watched_since: dict[HostId, float] = {}  # since when
        self._intervals_ms: dict[HostId, int] = {}  # 0 where the agent's own is not too often
        self._heartbeats: dict[HostId, messages.Heartbeat] = {}
        self._last_seen_at: dict[HostId, float] = {}
        self._facts: dict[HostId, TargetStats] = {}
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
        """Build the directory as [routing] says."""
        return cls(settings, node, state, metrics, rng)

    async def start(self) -> None:
        """Begin to watch the targets known so far."""
        self._watches.start()
        self.refresh()

    async def close(self) -> None:
        """Stop watching."""
        await self._watches.close()

    def set_members(self, members: Sequence[Member]) -> None:
        """Take a new list of hosts."""
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
        """Work out anew which targets this entry deals with, after a change."""
        now = self._now()
        wanted = set(self._pick_hosts())
        changing = self._pick_rollout_hosts(wanted)
        self._intervals_ms = {**dict.fromkeys(wanted, idle_interval_ms(len(wanted))), **changing}
        wanted.update(changing)
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
        """Take in a heartbeat; raise `ProtocolViolation` for one that cannot be reckoned with."""
        heartbeat: messages.Heartbeat = exchange.message
        require_sound_heartbeat(heartbeat)
        if exchange.link.remote.host != heartbeat.host:
            return
        self.note_heartbeat(heartbeat)

    def note_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Take in what an agent says of its target."""
        host = HostId(heartbeat.host)
        if host not in self._watched_since:
            return
        before = self._heartbeats.get(host)
        if before is not None and _is_older(heartbeat, before):
            return
        now = self._now()
        self._heartbeats[host] = heartbeat
        self._last_seen_at[host] = now
        self._update_facts(host, heartbeat, now)

    def candidates(self, service: ServiceName | str) -> list[TargetStats]:
        """Return the targets of a service that may be offered requests now."""
        now = self._now()
        return [facts for facts in self._targets_of(service).targets if self._usable(facts, now)]

    def choose(
        self,
        service: ServiceName | str,
        head: messages.RequestHead,
        exclude: frozenset[str] = frozenset(),
    ) -> Choice | None:
        """Return the target that a request should go to, or none when none may take it."""
        now = self._now()
        known = self._targets_of(service)
        urgent = head.priority == Priority.URGENT
        moment = RoutingContext(now, self._typical_time_s(known, now), self._slow_start_s, urgent)

        def fits(facts: TargetStats) -> bool:
            if facts.host in exclude or (head.digest and facts.digest != head.digest):
                return False
            return self._usable(facts, now)

        if self._policy is not Policy.COST:
            usable = list(filter(fits, known.targets))
            chosen = choose_target(usable, moment, self._rng, self._policy)
        else:
            chosen = self._choose_by_cost(known.targets, head.prefix_blocks or (), moment, fits)
        if chosen is None:
            return None
        return Choice(chosen.host, chosen.address, chosen.incarnation, chosen.digest)

    def _choose_by_cost(
        self,
        targets: Sequence[TargetStats],
        blocks: Sequence[str],
        moment: RoutingContext,
        fits: Callable[[TargetStats], bool],
    ) -> TargetStats | None:
        """Choose by prefix, else by cost; look at all targets only where a few do not do."""
        if not blocks:
            few = draw_candidates(targets, moment, self._rng)
            if few and all(map(fits, few)):
                return cheapest(few, moment, self._rng)
        usable = list(filter(fits, targets))
        chosen = preferred_target(usable, blocks, self._prefixes, moment)
        if chosen is None:
            chosen = choose_target(usable, moment, self._rng)
        if chosen is not None:
            self._prefixes.note(chosen.digest, blocks, chosen.host)
        return chosen

    def _typical_time_s(self, known: ServiceTargets, now: float) -> float:
        if now - known.typical_at > TYPICAL_TIME_CACHE_S:
            known.typical_s = median_request_time(known.targets)
            known.typical_at = now
        return known.typical_s

    def begin(self, host: HostId | str) -> None:
        """Note that a call goes to a target."""
        self._budget.note_call(self._now())
        facts = self._facts.get(HostId(host))
        if facts is not None:
            facts.in_flight += 1
            facts.last_call = next(self._call_numbers)
            facts.health.note_begin(self._now())

    def end(self, host: HostId | str, result: CallResult) -> None:
        """Note how a call that was begun ended."""
        facts = self._facts.get(HostId(host))
        if facts is None:
            return
        now = self._now()
        facts.in_flight = max(0, facts.in_flight - 1)
        if result.load is not None:
            note_report(facts, _read_load(result.load), now)
            self._last_seen_at[facts.host] = now
        match result.outcome:
            case CallOutcome.ABANDONED | CallOutcome.REFUSED:
                facts.health.note_inconclusive()
            case CallOutcome.ANSWERED | CallOutcome.FAILED:
                self._note_health(facts, result.outcome is CallOutcome.FAILED, now)

    def acquire_retry(self) -> bool:
        """Return whether the budget allows a retry now, and pay for it."""
        return self._budget.take(self._now())

    def heartbeats(self) -> dict[str, messages.Heartbeat]:
        """Return the last heartbeat of each host that is watched."""
        return {str(host): heartbeat for host, heartbeat in self._heartbeats.items()}

    def last_seen(self) -> dict[str, float]:
        """Return when each watched host was last heard of, on this loop's clock."""
        return {str(host): at for host, at in self._last_seen_at.items()}

    def fresh_heartbeats(self) -> dict[str, messages.Heartbeat]:
        """Return the last heartbeat of each watched host that came when it was due."""
        now = self._now()
        return {
            str(host): heartbeat
            for host, heartbeat in self._heartbeats.items()
            if now - self._last_seen_at[host] <= self._allowed_silence_s(host)
        }

    def unresponsive_hosts(self, now: float | None = None) -> set[str]:
        """Return the watched hosts that were not heard of for longer than `dead_after`."""
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
        """Return the other hosts of services that change over, if this entry coordinates it.

        The more there are, the longer the interval between the heartbeats of each: what changes is
        told at once in any case.
        """
        if not is_coordinator(self._own_host, self._entries):
            return {}
        state = self._state()
        changing = (hosts for name, hosts in state.placements.items() if state.upcoming.get(name))
        others = {HostId(host) for hosts in changing for host in hosts} - picked
        interval_ms = int(len(others) * MILLISECONDS / ROLLOUT_HEARTBEATS_PER_S)
        return dict.fromkeys((host for host in others if host in self._members), interval_ms)

    def _pick(self, hosts: Iterable[str]) -> Iterable[HostId]:
        live = [self._members[HostId(host)] for host in hosts if host in self._members]
        facts = [TargetHost(member.host, member.place, member.address) for member in live]
        picked = pick_subset(self._own_host, self._place, self._position, facts, self._subset)
        return [each.host for each in picked]

    def _targets_of(self, service: ServiceName | str) -> ServiceTargets:
        known = self._services.get(ServiceName(service))
        if known is None:
            placed = self._state().placements.get(service, {})
            found = [self._facts[HostId(host)] for host in placed if host in self._facts]
            targets = [facts for facts in found if self._serves(facts, service)]
            known = ServiceTargets(targets)
            self._services[ServiceName(service)] = known
        return known

    def _serves(self, facts: TargetStats, service: str) -> bool:
        member = self._members.get(facts.host)
        if member is None or member.state is not MemberState.LIVE:
            return False
        if facts.host in self._state().draining:
            return False
        heartbeat = self._heartbeats[facts.host]
        return facts.service == service and heartbeat.state == TargetState.SERVING

    def _usable(self, facts: TargetStats, now: float) -> bool:
        return facts.health.may_call(now) and not self._is_silent(facts.host, now)

    def _is_silent(self, host: HostId, now: float) -> bool:
        heard_at = self._last_seen_at.get(host, self._watched_since.get(host, now))
        return now - heard_at > self._allowed_silence_s(host)

    def _allowed_silence_s(self, host: HostId) -> float:
        return self._dead_after_s + self._intervals_ms.get(host, 0) / MILLISECONDS

    def _update_facts(self, host: HostId, heartbeat: messages.Heartbeat, now: float) -> None:
        facts = self._facts.get(host)
        serving = heartbeat.state == TargetState.SERVING
        if facts is None or facts.incarnation != heartbeat.incarnation:
            facts = self._new_facts(host, heartbeat, now)
            self._facts[host] = facts
            self._services.clear()
        key = (facts.service, facts.digest, facts.serving)
        if serving and not facts.serving:
            facts.serving_since = now
        facts.service = ServiceName(heartbeat.service_name)
        facts.release = ReleaseName(heartbeat.release)
        facts.digest = Digest(heartbeat.digest)
        facts.serving = serving
        if key != (facts.service, facts.digest, facts.serving):
            self._services.clear()
        if heartbeat.load is not None:
            note_report(facts, _read_load(heartbeat.load), now)

    def _new_facts(self, host: HostId, heartbeat: messages.Heartbeat, now: float) -> TargetStats:
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

    def _note_health(self, facts: TargetStats, failed: bool, now: float) -> None:
        if not failed:
            facts.health.note_success()
            return
        targets = self._targets_of(facts.service).targets
        out = sum(each.health.state(now) is EjectionState.EJECTED for each in targets)
        if note_failed_call(facts.health, now, out, len(targets), self._rules):
            self._metrics.count("targets_ejected")
            log.warning(
                "target_ejected",
                target=facts.host,
                failures=facts.health.consecutive_failures,
            )

    def _drop_host(self, host: HostId) -> None:
        """Offer nothing to a host whose link broke, until it is heard of again."""
        if self._facts.pop(host, None) is not None:
            self._services.clear()
        self._heartbeats.pop(host, None)

    def _forget(self, host: HostId) -> None:
        self._drop_host(host)
        self._last_seen_at.pop(host, None)


def _is_older(heartbeat: messages.Heartbeat, before: messages.Heartbeat) -> bool:
    same = heartbeat.incarnation == before.incarnation
    return same and heartbeat.sequence < before.sequence


def _read_load(load: messages.Load) -> LoadReport:
    return LoadReport(
        running=load.running,
        queued=load.queued,
        capacity=load.capacity,
        urgent=load.urgent,
        age_s=load.age_ms / MILLISECONDS,
        request_s=load.request_ms / MILLISECONDS if load.request_ms > 0 else None,
    )


__all__ = ["CallOutcome", "CallResult", "Choice", "TargetDirectory", "TargetStats"]
