"""What real processes cost: an entry and an agent, idle beside many hosts and under requests.

Processor time is the scheduler's own count in nanoseconds, memory is what is resident. One fleet is
idle while its list of hosts grows: while all hosts on it are watched, the slope is that of a target
watched; once the subset is full, that of a host listed.
"""

import asyncio
import json
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from lacewinggw.lab.configfigures import read_usage
from lacewinggw.lab.crowd import Crowd
from lacewinggw.lab.fleet import Fleet, FleetHost, FleetPlan
from lacewinggw.lab.load.stage import SERVICE, serving_fleet
from lacewinggw.lab.measuring import MICROSECONDS, Point, Slope, Slopes

SUBSET = 256
WATCHED = (16, 64, 256)
LISTED = (256, 1000, 6200)
SETTLE_S = 3.0
IDLE_S = 8.0
ACCOUNT = "saleyard"
PIECES = (1, 16, 64)
REQUESTS = 240
CALLERS = 8
NANOSECONDS = 1e9


@dataclass(frozen=True)
class Idle:
    """What idle processes cost at one size: a second's worth, and bytes resident."""

    hosts: int
    watched: int
    entry_cpu_us: float
    agent_cpu_us: float
    entry_memory: float
    agent_memory: float
    heartbeat_bytes: float


async def measure_processes(seed: int) -> Slopes:
    """Return the slopes of real processes; takes about a minute and a half."""
    idle = await _measure_idle(seed)
    return {**_slopes_of(idle), **await _measure_requests(seed)}


def processor_s(host: FleetHost) -> float:
    """Return the processor time that a host's process has used, to the nanosecond."""
    assert host.process is not None, "the host runs"
    told = Path(f"/proc/{host.process.process.pid}/schedstat").read_text()
    return int(told.split()[0]) / NANOSECONDS


def memory_bytes(host: FleetHost) -> float:
    """Return the bytes that a host's process has resident."""
    assert host.process is not None, "the host runs"
    return read_usage(host.process.process.pid).memory_bytes


# ---- idle ----------------------------------------------------------------------------------


async def _measure_idle(seed: int) -> list[Idle]:
    plan = FleetPlan(entries=1, engines=1, seed=seed, overrides={"routing": {"subset": SUBSET}})
    fleet = Fleet(plan)
    crowd = Crowd(fleet)
    try:
        await fleet.start()
        return [await _idle_at(fleet, crowd, hosts) for hosts in sorted({*WATCHED, *LISTED})]
    finally:
        await fleet.close()
        await crowd.close()


async def _idle_at(fleet: Fleet, crowd: Crowd, hosts: int) -> Idle:
    entry, agent = fleet.entries[0], fleet.agents[0]
    await crowd.grow(hosts)
    await asyncio.sleep(SETTLE_S)
    entry_s, agent_s, sent = processor_s(entry), processor_s(agent), crowd.sent_bytes
    await asyncio.sleep(IDLE_S)
    return Idle(
        hosts,
        crowd.watched,
        (processor_s(entry) - entry_s) / IDLE_S * MICROSECONDS,
        (processor_s(agent) - agent_s) / IDLE_S * MICROSECONDS,
        memory_bytes(entry),
        memory_bytes(agent),
        (crowd.sent_bytes - sent) / IDLE_S,
    )


def _slopes_of(idle: Sequence[Idle]) -> Slopes:
    watched = [each for each in idle if each.hosts in WATCHED]
    listed = [each for each in idle if each.hosts in LISTED]
    return {
        "idle_entry_us_per_s_watched": _fit("us/s", "target watched", watched, "entry_cpu_us"),
        "idle_entry_memory_watched": _fit("bytes", "target watched", watched, "entry_memory"),
        "idle_entry_bytes_per_s_watched": _fit("B/s", "target watched", watched, "heartbeat_bytes"),
        "idle_entry_us_per_s_listed": _fit("us/s", "host listed", listed, "entry_cpu_us"),
        "idle_entry_memory_listed": _fit("bytes", "host listed", listed, "entry_memory"),
        "idle_agent_us_per_s_listed": _fit("us/s", "host listed", listed, "agent_cpu_us"),
        "idle_agent_memory_listed": _fit("bytes", "host listed", listed, "agent_memory"),
    }


def _fit(unit: str, per: str, measured: Sequence[Idle], cost: str) -> Slope:
    """Fit a cost to the targets watched while all are, or to the hosts listed."""
    size = "watched" if per == "target watched" else "hosts"
    points = [Point(getattr(each, size), round(getattr(each, cost), 1)) for each in measured]
    return Slope.fit(unit, per, points)


# ---- requests ------------------------------------------------------------------------------


async def _measure_requests(seed: int) -> Slopes:
    plan = FleetPlan(entries=1, engines=1, accounts=(ACCOUNT,), seed=seed)
    async with serving_fleet(plan) as fleet:
        await _send(fleet, CALLERS, 1)
        costs = [await _request_cost(fleet, pieces) for pieces in PIECES]
    per = "piece of the answer"
    entry = [Point(pieces, cost[0]) for pieces, cost in zip(PIECES, costs, strict=True)]
    agent = [Point(pieces, cost[1]) for pieces, cost in zip(PIECES, costs, strict=True)]
    return {
        "request_entry_us": Slope.fit("us", per, entry),
        "request_agent_us": Slope.fit("us", per, agent),
    }


async def _request_cost(fleet: Fleet, pieces: int) -> tuple[float, float]:
    """Return the processor time that one request takes of the entry and of the agent, in us."""
    hosts = (fleet.entries[0], fleet.agents[0])
    before = [processor_s(host) for host in hosts]
    await _send(fleet, REQUESTS, pieces)
    after = [processor_s(host) for host in hosts]
    entry, agent = (
        round((late - early) / REQUESTS * MICROSECONDS, 1)
        for early, late in zip(before, after, strict=True)
    )
    return entry, agent


async def _send(fleet: Fleet, count: int, pieces: int) -> None:
    """Send requests, some at a time, and read each answer to its end."""
    room = asyncio.Semaphore(CALLERS)
    await asyncio.gather(*(_send_one(fleet, room, number, pieces) for number in range(count)))


async def _send_one(fleet: Fleet, room: asyncio.Semaphore, number: int, pieces: int) -> None:
    headers = {
        **fleet.caller_headers(ACCOUNT),
        "content-type": "application/json",
        "accept": "text/event-stream",
        "idempotent": "true",
        "deadline-ms": "60000",
    }
    body = json.dumps({"prompt": f"slope-{pieces}-{number}", "pieces": pieces}).encode()
    address = fleet.entries[0].member.caller_address
    async with room:
        response = await fleet.http.stream(
            address, "POST", f"/v1/services/{SERVICE}/requests", headers, body
        )
        try:
            async for _ in response.pieces():
                pass
        finally:
            await response.aclose()
        if response.status != 200:
            raise RuntimeError(f"a request was answered {response.status}")
