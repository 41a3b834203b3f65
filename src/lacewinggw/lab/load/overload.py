"""Load below and above capacity, with one target of three slowed tenfold, beside baselines.

Capacity is what the three targets, the slow one included, answered at saturation in the same run.
"""

import random
from dataclasses import asdict, dataclass
from typing import Any

from lacewinggw.decisions.routing import Policy
from lacewinggw.lab.fleet import Fleet, FleetPlan
from lacewinggw.lab.load.offers import Offer, OpenLoad, Sample, Summary, summarize
from lacewinggw.lab.load.stage import SERVICE, serving_fleet, sum_metric

ACCOUNT = "saleyard"
TARGETS = 3
ENTRIES = 3
TOKEN_S = 0.01
PIECES = 10
SLOWDOWN = 10.0
URGENT_SHARE = 0.1
DEADLINE_S = 5.0
SATURATION_S = 6.0
SATURATION_FACTOR = 1.6
UNLOADED_PER_S = 6.0
UNLOADED_S = 8.0
WARM_UP_S = 2.0
LOADS = (0.7, 1.5)
HEALTHY_PER_S = TARGETS * 8 / (0.02 + PIECES * TOKEN_S * 1.35)
PRESENT_SHARE = (TARGETS - 1 + 1 / SLOWDOWN) / TARGETS


@dataclass(frozen=True)
class LoadRun:
    """One policy at one load; retries are counted from the start of the fleet."""

    load: float
    offered_per_s: float
    all: Summary
    urgent: Summary
    normal: Summary
    retries: int
    retry_share: float
    urgent_p95_ratio: float


@dataclass(frozen=True)
class PolicyRun:
    """One policy at all loads, on a fleet of its own."""

    policy: str
    unloaded_urgent_p95_ms: float
    runs: list[LoadRun]


class Overload:
    """One fleet under one policy."""

    def __init__(self, fleet: Fleet, policy: Policy, seed: int, seconds: float) -> None:
        self._fleet = fleet
        self._policy = policy
        self._seconds = seconds
        self._load = OpenLoad(fleet.http, random.Random(seed))

    async def measure_capacity(self) -> float:
        """Return the answers a second at saturation, one target slowed."""
        await self._slow_one()
        rate = HEALTHY_PER_S * PRESENT_SHARE * SATURATION_FACTOR
        await self._send(rate, WARM_UP_S)
        samples = await self._send(rate, SATURATION_S)
        return summarize(samples, SATURATION_S).answered_per_s

    async def run(self, capacity_per_s: float) -> PolicyRun:
        """Measure the unloaded fleet, then each load."""
        await self._slow_one()
        await self._send(UNLOADED_PER_S, WARM_UP_S)
        unloaded = await self._send(UNLOADED_PER_S, UNLOADED_S, urgent_share=1.0)
        base_ms = summarize(unloaded, UNLOADED_S).p95_ms
        runs = [await self._run_load(load, capacity_per_s, base_ms) for load in LOADS]
        return PolicyRun(self._policy.value, base_ms, runs)

    async def _run_load(self, load: float, capacity_per_s: float, base_ms: float) -> LoadRun:
        rate = load * capacity_per_s
        await self._send(rate, WARM_UP_S)
        samples = await self._send(rate, self._seconds)
        retries = int(await sum_metric(self._fleet, "retries"))
        urgent = summarize([each for each in samples if each.urgent], self._seconds)
        normal = summarize([each for each in samples if not each.urgent], self._seconds)
        return LoadRun(
            load=load,
            offered_per_s=round(rate, 1),
            all=summarize(samples, self._seconds),
            urgent=urgent,
            normal=normal,
            retries=retries,
            retry_share=round(retries / len(self._load.samples), 4),
            urgent_p95_ratio=round(urgent.p95_ms / base_ms, 3),
        )

    async def _slow_one(self) -> None:
        await self._fleet.control(self._fleet.engines[0], slowdown=SLOWDOWN)

    async def _send(
        self, rate_per_s: float, seconds: float, urgent_share: float = URGENT_SHARE
    ) -> list[Sample]:
        offer = Offer(
            account=ACCOUNT,
            service=SERVICE,
            rate_per_s=rate_per_s,
            entries=[host.member.caller_address for host in self._fleet.entries],
            headers=self._fleet.caller_headers(ACCOUNT),
            urgent_share=urgent_share,
            pieces=PIECES,
            deadline_s=DEADLINE_S,
        )
        return await self._load.run([offer], seconds)


def make_plan(policy: Policy, seed: int) -> FleetPlan:
    """Return the fleet: three engines, each in a process of its own."""
    return FleetPlan(
        entries=ENTRIES,
        engines=TARGETS,
        accounts=(ACCOUNT,),
        seed=seed,
        token_s=TOKEN_S,
        engines_per_process=1,
        overrides={"routing": {"policy": policy.value}, "entry": {"address_ttl_ms": 500}},
    )


async def measure_overload(seed: int, seconds: float) -> dict[str, Any]:
    """Run every policy and return the results; the capacity is measured under the first one."""
    capacity = 0.0
    found = []
    for policy in Policy:
        async with serving_fleet(make_plan(policy, seed)) as fleet:
            bench = Overload(fleet, policy, seed, seconds)
            if not capacity:
                capacity = await bench.measure_capacity()
            found.append(await bench.run(capacity))
    return {
        "capacity_per_s": capacity,
        "slowdown": SLOWDOWN,
        "policies": [asdict(each) for each in found],
    }
