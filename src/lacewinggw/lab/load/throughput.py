"""Requests a second and core of one entry, and the time that entry and agent add to a request."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.lab.fleet import FLEET_KEY, Fleet, FleetPlan
from lacewinggw.lab.load.offers import MS_PER_S
from lacewinggw.lab.load.stage import SERVICE, serving_fleet
from lacewinggw.lab.load.streams import measure_cost
from lacewinggw.lab.load.worker import Job, Tally, describe_times, merge, run_worker
from lacewinggw.wire.peers import Exchange, Identity, PeerNode

ACCOUNT = "saleyard"
AGENTS = 4
WORKERS = 4
CALLERS_PER_WORKER = 24
TOKEN_S = 0.0002
BATCH = 64
WARM_UP_S = 2.0
SEQUENTIAL = 400

Send = Callable[[int], Awaitable[None]]


async def measure_throughput(seed: int, seconds: float) -> dict[str, Any]:
    """Saturate one entry, then send one request at a time each way."""
    plan = FleetPlan(
        entries=1,
        engines=AGENTS,
        accounts=(ACCOUNT,),
        seed=seed,
        token_s=TOKEN_S,
        batch_limit=BATCH,
        engines_per_process=1,
        overrides={"agent": {"concurrency": BATCH}, "entry": {"address_ttl_ms": 500}},
    )
    async with serving_fleet(plan) as fleet:
        saturated = await _saturate(fleet, seconds)
        latencies = await _compare_ways(fleet)
    return {**saturated, **latencies}


def _headers(fleet: Fleet) -> dict[str, str]:
    told = {"content-type": "application/json", "idempotent": "true", "deadline-ms": "10000"}
    return {**fleet.caller_headers(ACCOUNT), **told}


async def _saturate(fleet: Fleet, seconds: float) -> dict[str, Any]:
    job = Job(
        path=f"/v1/services/{SERVICE}/requests",
        addresses=[fleet.entries[0].member.caller_address],
        headers=_headers(fleet),
        callers=CALLERS_PER_WORKER,
        seconds=seconds,
        warm_up_s=WARM_UP_S,
    )

    async def work() -> list[Tally]:
        return list(await asyncio.gather(*(run_worker(job) for _ in range(WORKERS))))

    tallies, cost = await measure_cost(fleet, WARM_UP_S + 1.0, seconds - 1.0, work)
    whole = merge(tallies)
    per_s = whole.requests / seconds
    return {
        "requests_per_s": round(per_s, 1),
        "failed": whole.failed,
        "entry_core_share": cost.entry,
        "agent_core_share": cost.agent,
        "requests_per_s_per_entry_core": round(per_s / cost.entry, 1),
        "requests_per_s_per_agent_core": round(per_s / AGENTS / cost.agent, 1),
        "latency": describe_times(whole.latencies_ms),
    }


async def _compare_ways(fleet: Fleet) -> dict[str, Any]:
    """Send one request at a time to an engine, to an agent before it, and to the entry."""
    agent = fleet.agents[0]
    identity = Identity("lab", messages.Role.ENTRY, "lab", "lab-1")
    node = PeerNode(fleet.network, identity, FLEET_KEY, _ignore)
    link = await node.link(agent.member.address)
    entry, headers = fleet.entries[0].member.caller_address, _headers(fleet)

    def body(number: int) -> bytes:
        return json.dumps({"prompt": f"way-{number}", "pieces": 1}).encode()

    async def to_engine(number: int) -> None:
        told = {"accept": "text/event-stream", "x-request-id": f"d-{number}"}
        response = await fleet.http.stream(agent.target, "POST", "/generate", told, body(number))
        await response.read(1 << 20)

    async def to_agent(number: int) -> None:
        head = messages.RequestHead(
            request_id=f"a-{number}",
            service_name=SERVICE,
            account=ACCOUNT,
            deadline_ms=10000,
            repeatable=True,
            stream=True,
            method="POST",
            content_type="application/json",
        )
        call = link.start_call(messages.Offer(head, body(number), ""))
        async for _ in call.replies():
            pass

    async def to_entry(number: int) -> None:
        path = f"/v1/services/{SERVICE}/requests"
        response = await fleet.http.request(entry, "POST", path, headers, body(number))
        assert response.status == 200, response.content

    try:
        engine_ms = await _time_each(to_engine)
        agent_ms = await _time_each(to_agent)
        entry_ms = await _time_each(to_entry)
    finally:
        await node.close()
    engine, by_agent, by_entry = (describe_times(each) for each in (engine_ms, agent_ms, entry_ms))
    return {
        "engine": engine,
        "agent_and_engine": by_agent,
        "entry_agent_and_engine": by_entry,
        "agent_added_us": round((by_agent["p50_ms"] - engine["p50_ms"]) * MS_PER_S),
        "entry_added_us": round((by_entry["p50_ms"] - by_agent["p50_ms"]) * MS_PER_S),
    }


async def _time_each(send: Send) -> list[float]:
    loop = asyncio.get_running_loop()
    taken = []
    for number in range(SEQUENTIAL):
        sent_at = loop.time()
        await send(number)
        taken.append((loop.time() - sent_at) * MS_PER_S)
    return taken[SEQUENTIAL // 10 :]


async def _ignore(exchange: Exchange) -> None:
    """Take no messages."""
