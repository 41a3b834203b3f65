"""Choice of a target by cost: of two sampled candidates, the one that would finish first.

The cost of a target is the time in which it would finish one more request. It consists of the time
that a request runs there, longer in a fuller batch, and the wait for the requests ahead once its
slots are full. The requests ahead are this entry's own calls in flight, whose number is exact, and
those of other entries as the target last reported, discounted by the report's age. An urgent
request goes to the head of the queue, so only urgent ones are ahead of it.
"""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from lacewinggw.decisions.ejection import TargetHealth
from lacewinggw.ids import Address, Digest, HostId, Incarnation, Place, ReleaseName, ServiceName

CANDIDATES = 2
URGENT_CANDIDATES = 4  # few enough that concurrent urgent requests do not all choose one target
REPORT_DECAY_S = 1.0  # a report this old counts for 1/e
TIME_DECAY_S = 10.0  # decay of a target's own request time towards the median of its service
MIN_SLOW_START_SHARE = 0.1
BATCH_FACTOR = 0.5  # a full batch makes a request take this much longer
REMOTE_FACTOR = 1.2  # a target in another place costs this much more


class Policy(Enum):
    """How a target is chosen. All but `COST` are baselines for comparison."""

    COST = "cost"
    IN_FLIGHT = "in-flight"  # fewest calls of this entry in flight
    ROUND_ROBIN = "round-robin"
    RANDOM = "random"


@dataclass
class TargetStats:
    """An entry's view of one target. Times in seconds, by the entry's own clock."""

    host: HostId
    place: Place
    address: Address
    incarnation: Incarnation
    service: ServiceName
    release: ReleaseName
    digest: Digest
    near: bool = True
    in_flight: int = 0
    last_call: int = 0  # number of the last call sent here, counted over all calls of this entry
    capacity: int = 1
    reported: int = 0  # running and queued, by the last report
    reported_own: int = 0  # this entry's own calls when the report arrived
    reported_urgent: int = 0  # urgent requests among the reported ones
    reported_at: float = 0.0
    serving: bool = False
    serving_since: float = 0.0
    request_s: float | None = None  # time that one request runs, smoothed by the target's agent
    sampled_at: float = 0.0
    health: TargetHealth = field(default_factory=TargetHealth)


@dataclass(frozen=True)
class RoutingContext:
    """The inputs of a choice besides the targets: the time and typical values of the service."""

    now: float
    typical_s: float = 1.0  # time that one request runs
    slow_start_s: float = 0.0
    urgent: bool = False


@dataclass(frozen=True)
class LoadReport:
    """A load report of a target's agent, `age_s` seconds old on arrival."""

    running: int
    queued: int
    capacity: int
    urgent: int = 0
    age_s: float = 0.0
    request_s: float | None = None


@dataclass(frozen=True)
class Choice:
    """The target that a request is sent to."""

    host: HostId
    address: Address
    incarnation: Incarnation
    digest: Digest


def note_report(stats: TargetStats, report: LoadReport, now: float) -> None:
    """Record a load report.

    An unchanged time per request is not a new sample, so it continues to decay.
    """
    stats.reported = report.running + report.queued
    stats.reported_own = stats.in_flight
    stats.reported_urgent = report.urgent
    stats.reported_at = now - report.age_s
    stats.capacity = max(1, report.capacity)
    if report.request_s is not None and report.request_s != stats.request_s:
        stats.request_s = report.request_s
        stats.sampled_at = now


def work_ahead(stats: TargetStats, now: float) -> float:
    """Return how many requests are ahead of one more: own calls, and others' by the report."""
    others = stats.reported - stats.reported_own
    if others <= 0:
        return stats.in_flight
    return stats.in_flight + others * _freshness(stats, now)


def _freshness(stats: TargetStats, now: float) -> float:
    return math.exp(-max(0.0, now - stats.reported_at) / REPORT_DECAY_S)


def slow_start_share(stats: TargetStats, context: RoutingContext) -> float:
    """Return the share of its capacity that a newly serving target gets, rising to 1."""
    if context.slow_start_s <= 0:
        return 1.0
    share = (context.now - stats.serving_since) / context.slow_start_s
    return min(1.0, max(MIN_SLOW_START_SHARE, share))


def occupancy(stats: TargetStats, context: RoutingContext) -> float:
    """Return the occupancy of a target with one more request, as a share of its capacity."""
    share = slow_start_share(stats, context)
    return (1.0 + work_ahead(stats, context.now)) / (stats.capacity * share)


def request_time(stats: TargetStats, context: RoutingContext) -> float:
    """Return the time one request runs, which decays to the typical time without new samples."""
    if stats.request_s is None:
        return context.typical_s
    weight = math.exp(-max(0.0, context.now - stats.sampled_at) / TIME_DECAY_S)
    return context.typical_s + (stats.request_s - context.typical_s) * weight


def cost(stats: TargetStats, context: RoutingContext) -> float:
    """Return the time in which a target would finish one more request, in seconds."""
    slots = max(1.0, stats.capacity * slow_start_share(stats, context))
    ahead = work_ahead(stats, context.now)
    batch = BATCH_FACTOR * min(ahead, slots) / slots
    if context.urgent:
        full = ahead >= slots
        ahead = stats.reported_urgent * _freshness(stats, context.now) + (slots if full else 0.0)
    wait = max(0.0, ahead + 1.0 - slots) / slots
    place = 1.0 if stats.near else REMOTE_FACTOR
    return request_time(stats, context) * (1.0 + batch + wait) * place


def median_request_time(targets: Sequence[TargetStats]) -> float:
    """Return the median time per request of the targets in seconds, 1.0 while none is known."""
    known = sorted(stats.request_s for stats in targets if stats.request_s is not None)
    return known[len(known) // 2] if known else 1.0


def sample_targets(
    targets: Sequence[TargetStats], count: int, rng: random.Random
) -> Sequence[TargetStats]:
    """Return `count` different targets at random, or all if there are no more."""
    if len(targets) <= count:
        return targets
    return rng.sample(targets, count)


def choose_target(
    targets: Sequence[TargetStats],
    context: RoutingContext,
    rng: random.Random,
    policy: Policy = Policy.COST,
) -> TargetStats | None:
    """Return the target that the policy chooses, or None if there is no target."""
    if not targets:
        return None
    match policy:
        case Policy.COST:
            return cheapest(draw_candidates(targets, context, rng), context, rng)
        case Policy.IN_FLIGHT:
            return min(targets, key=lambda stats: (stats.in_flight, rng.random()))
        case Policy.ROUND_ROBIN:
            return min(targets, key=lambda stats: (stats.last_call, stats.host))
        case Policy.RANDOM:
            return rng.choice(targets)


def draw_candidates(
    targets: Sequence[TargetStats], context: RoutingContext, rng: random.Random
) -> Sequence[TargetStats]:
    """Return a random sample of the targets, from which the cheapest is chosen."""
    return sample_targets(targets, URGENT_CANDIDATES if context.urgent else CANDIDATES, rng)


def cheapest(
    targets: Sequence[TargetStats], context: RoutingContext, rng: random.Random
) -> TargetStats:
    """Return the target with the least cost, with ties broken at random."""
    return min(targets, key=lambda stats: (cost(stats, context), rng.random()))
