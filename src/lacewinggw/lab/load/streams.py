"""Streams at the size to design for: 16,000 pieces a second through one entry, 2,300 an agent.

The same streams are read straight from the engines too, so that what the engines' own pace and the
machine do to the gaps between pieces can be told from what the entry and the agents add.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from lacewinggw.lab.fleet import Fleet, FleetHost, FleetPlan
from lacewinggw.lab.load.stage import SERVICE, processor_seconds, serving_fleet
from lacewinggw.lab.load.worker import Job, Tally, describe_times, merge, run_worker

ACCOUNT = "saleyard"
AGENTS = 7
STREAMS_PER_AGENT = 58
WORKERS = 4
TOKEN_S = 0.0065  # 25 ms a piece in a batch of 58
PIECES_PER_S = 40
WARM_UP_S = 5.0
GAP_GOAL_MS = 30.0


@dataclass(frozen=True)
class Cost:
    """Processor time of a process as a share of a core."""

    entry: float
    agent: float


async def measure_cost(
    fleet: Fleet, wait_s: float, seconds: float, work: Callable[[], Awaitable[list[Tally]]]
) -> tuple[list[Tally], Cost]:
    """Do the work and measure the processes over `seconds`, from `wait_s` after its start."""
    running = asyncio.ensure_future(work())
    await asyncio.sleep(wait_s)
    before = {host.member.host: processor_seconds(host) for host in fleet.hosts.values()}
    await asyncio.sleep(seconds)
    used = {
        host.member.host: processor_seconds(host) - before[host.member.host]
        for host in fleet.hosts.values()
    }
    tallies = await running

    def mean_share(hosts: list[FleetHost]) -> float:
        return round(sum(used[host.member.host] for host in hosts) / len(hosts) / seconds, 4)

    return tallies, Cost(mean_share(fleet.entries), mean_share(fleet.agents))


async def measure_streams(seed: int, seconds: float) -> dict[str, Any]:
    """Read the streams through an entry, then straight from the engines."""
    plan = FleetPlan(
        entries=1,
        engines=AGENTS,
        accounts=(ACCOUNT,),
        seed=seed,
        token_s=TOKEN_S,
        batch_limit=STREAMS_PER_AGENT + 22,
        engines_per_process=1,
        overrides={
            "agent": {"concurrency": STREAMS_PER_AGENT + 22},
            "entry": {"address_ttl_ms": 500},
        },
    )
    async with serving_fleet(plan) as fleet:
        entry = fleet.entries[0].member.caller_address
        headers = {
            **fleet.caller_headers(ACCOUNT),
            "content-type": "application/json",
            "idempotent": "true",
            "deadline-ms": "120000",
        }
        path = f"/v1/services/{SERVICE}/requests"
        through, cost = await _read(fleet, [entry], path, headers, seconds)
        direct, _ = await _read(fleet, list(fleet.engines), "/generate", {}, seconds)
    return {
        "streams": AGENTS * STREAMS_PER_AGENT,
        "agents": AGENTS,
        "gap_goal_ms": GAP_GOAL_MS,
        "through_entry": _describe(through, seconds),
        "straight_from_engines": _describe(direct, seconds),
        "entry_core_share": cost.entry,
        "agent_core_share": cost.agent,
        "entry_us_per_piece": round(cost.entry * seconds * 1e6 / max(1, through.pieces), 2),
        "agent_us_per_piece": round(
            cost.agent * seconds * 1e6 * AGENTS / max(1, through.pieces), 2
        ),
    }


async def _read(
    fleet: Fleet, addresses: list[str], path: str, headers: dict[str, str], seconds: float
) -> tuple[Tally, Cost]:
    job = Job(
        path=path,
        addresses=addresses,
        headers=headers,
        callers=AGENTS * STREAMS_PER_AGENT // WORKERS,
        seconds=seconds,
        warm_up_s=WARM_UP_S,
        pieces=int(PIECES_PER_S * (seconds + WARM_UP_S) * 2),
        stream=True,
    )

    async def work() -> list[Tally]:
        return list(await asyncio.gather(*(run_worker(job) for _ in range(WORKERS))))

    tallies, cost = await measure_cost(fleet, WARM_UP_S + 1.0, seconds - 1.0, work)
    return merge(tallies), cost


def _describe(tally: Tally, seconds: float) -> dict[str, Any]:
    within = sum(gap <= GAP_GOAL_MS for gap in tally.gaps_ms)
    return {
        "pieces_per_s": round(tally.pieces / seconds, 1),
        "pieces_per_chunk": round(tally.pieces / max(1, tally.chunks), 3),
        "gap": describe_times(tally.gaps_ms),
        "within_goal": round(within / max(1, len(tally.gaps_ms)), 4),
        "first_piece": describe_times(tally.first_ms),
        "failed": tally.failed,
    }
