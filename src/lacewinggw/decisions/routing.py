"""Which target a request goes to: two candidates, the one that will be done first.

The cost of a target is the time in which it would be done with one more request: the time that a
request runs there, longer with others beside it in the batch, and the wait for those ahead once its
slots are full. What is ahead is this entry's own calls in flight, known exactly, and those of
others as the target last reported, discounted by the report's age. An urgent request goes to the
head of the queue, so only urgent ones are ahead of it.
"""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from lacewinggw.decisions.ejection import Health
from lacewinggw.ids import Address, Digest, HostId, Incarnation, Place, ReleaseName, ServiceName

CANDIDATES = 2
URGENT_CANDIDATES = 4  # few enough that a closer look does not send them all to one target
REPORT_DECAY_S = 1.0  # a report this old counts for 1/e
TIME_MEMORY_S = 10.0  # a target's own time per request fades towards its service's over this
SLOW_START_LEAST = 0.1
BATCH_FACTOR = 0.5  # a full batch makes a request take this much longer
REMOTE_FACTOR = 1.2  # a target in another place costs this much more


class Policy(Enum):
    """How a target is chosen. All but the first are there to compare with."""

    COST = "cost"
    IN_FLIGHT = "in-flight"  # fewest calls of this entry in flight
    ROUND_ROBIN = "round-robin"
    RANDOM = "random"


@dataclass
class TargetFacts:
    """What an entry knows of one target. Times in seconds, by the entry's own clock."""

    host: HostId
    place: Place
    address: Address
    incarnation: Incarnation
    service: ServiceName
    release: ReleaseName
    digest: Digest
    near: bool = True
    in_flight: int = 0
    last_turn: int = 0  # number of the last call that went here, of all calls of this entry
    capacity: int = 1
    reported: int = 0  # running and queued, by the last report
    reported_own: int = 0  # of those, this entry's own when the report came
    reported_urgent: int = 0  # of those, urgent ones
    reported_at: float = 0.0
    serving: bool = False
    serving_since: float = 0.0
    request_s: float | None = None  # time that one request runs, as the target's agent smooths it
    sampled_at: float = 0.0
    health: Health = field(default_factory=Health)


@dataclass(frozen=True)
class Moment:
    """What a choice is made by, beside the targets: the time, and what is usual of the service."""

    now: float
    usual_s: float = 1.0  # time that one request runs
    slow_start_s: float = 0.0
    urgent: bool = False


@dataclass(frozen=True)
class LoadReport:
    """What a target's agent says of its load, `age_s` seconds old when it comes."""

    running: int
    queued: int
    capacity: int
    urgent: int = 0
    age_s: float = 0.0
    request_s: float | None = None


@dataclass(frozen=True)
class Choice:
    """The target that a request goes to."""

    host: HostId
    address: Address
    incarnation: Incarnation
    digest: Digest


def note_report(facts: TargetFacts, report: LoadReport, now: float) -> None:
    """Take in a load report.

    A time per request that is told again unchanged is no new sample: it goes on fading.
    """
    facts.reported = report.running + report.queued
    facts.reported_own = facts.in_flight
    facts.reported_urgent = report.urgent
    facts.reported_at = now - report.age_s
    facts.capacity = max(1, report.capacity)
    if report.request_s is not None and report.request_s != facts.request_s:
        facts.request_s = report.request_s
        facts.sampled_at = now


def work_ahead(facts: TargetFacts, now: float) -> float:
    """Return the requests ahead of one more: own ones, and others' by the discounted report."""
    others = facts.reported - facts.reported_own
    if others <= 0:
        return facts.in_flight
    return facts.in_flight + others * _freshness(facts, now)


def _freshness(facts: TargetFacts, now: float) -> float:
    return math.exp(-max(0.0, now - facts.reported_at) / REPORT_DECAY_S)


def slow_start_share(facts: TargetFacts, moment: Moment) -> float:
    """Return the share of its capacity that a fresh target is given, rising to 1."""
    if moment.slow_start_s <= 0:
        return 1.0
    share = (moment.now - facts.serving_since) / moment.slow_start_s
    return min(1.0, max(SLOW_START_LEAST, share))


def occupancy(facts: TargetFacts, moment: Moment) -> float:
    """Return how full a target would be with one more request; 1 is full."""
    share = slow_start_share(facts, moment)
    return (1.0 + work_ahead(facts, moment.now)) / (facts.capacity * share)


def request_time(facts: TargetFacts, moment: Moment) -> float:
    """Return the time one request runs, fading to the usual of the service without samples."""
    if facts.request_s is None:
        return moment.usual_s
    weight = math.exp(-max(0.0, moment.now - facts.sampled_at) / TIME_MEMORY_S)
    return moment.usual_s + (facts.request_s - moment.usual_s) * weight


def cost(facts: TargetFacts, moment: Moment) -> float:
    """Return the time in which a target would be done with one more request, in seconds."""
    slots = max(1.0, facts.capacity * slow_start_share(facts, moment))
    ahead = work_ahead(facts, moment.now)
    batch = BATCH_FACTOR * min(ahead, slots) / slots
    if moment.urgent:
        full = ahead >= slots
        ahead = facts.reported_urgent * _freshness(facts, moment.now) + (slots if full else 0.0)
    wait = max(0.0, ahead + 1.0 - slots) / slots
    place = 1.0 if facts.near else REMOTE_FACTOR
    return request_time(facts, moment) * (1.0 + batch + wait) * place


def usual_time(targets: Sequence[TargetFacts]) -> float:
    """Return the median time per request among targets, 1.0 while none is known."""
    known = sorted(facts.request_s for facts in targets if facts.request_s is not None)
    return known[len(known) // 2] if known else 1.0


def pick_some(
    targets: Sequence[TargetFacts], count: int, rng: random.Random
) -> Sequence[TargetFacts]:
    """Return `count` different targets at random, or all when there are no more."""
    if len(targets) <= count:
        return targets
    return rng.sample(targets, count)


def choose_target(
    targets: Sequence[TargetFacts],
    moment: Moment,
    rng: random.Random,
    policy: Policy = Policy.COST,
) -> TargetFacts | None:
    """Return the target that the policy gives, or none when there is no target."""
    if not targets:
        return None
    match policy:
        case Policy.COST:
            return cheapest(draw_candidates(targets, moment, rng), moment, rng)
        case Policy.IN_FLIGHT:
            return min(targets, key=lambda facts: (facts.in_flight, rng.random()))
        case Policy.ROUND_ROBIN:
            return min(targets, key=lambda facts: (facts.last_turn, facts.host))
        case Policy.RANDOM:
            return rng.choice(targets)


def draw_candidates(
    targets: Sequence[TargetFacts], moment: Moment, rng: random.Random
) -> Sequence[TargetFacts]:
    """Return the few targets at random that a choice by cost is made among."""
    return pick_some(targets, URGENT_CANDIDATES if moment.urgent else CANDIDATES, rng)


def cheapest(targets: Sequence[TargetFacts], moment: Moment, rng: random.Random) -> TargetFacts:
    """Return the target with the least cost, one of them at random when several have it."""
    return min(targets, key=lambda facts: (cost(facts, moment), rng.random()))
