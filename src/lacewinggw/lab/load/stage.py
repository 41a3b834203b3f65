"""What the load experiments have in common: a fleet that serves one model, and its figures."""

import asyncio
import os
import re
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from lacewinggw.lab.fleet import Fleet, FleetHost, FleetPlan

SERVICE = "bulletin-writer"
RELEASE = "market-6"
RELEASE_BYTES = 1 << 20
CHUNK_BYTES = 1 << 18
SERVED_LIMIT_S = 60.0
POLL_S = 0.1
SLOW_START_S = 5.5
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
METRIC_LINE = re.compile(r"^lacewinggw_(\S+) (\S+)$", re.MULTILINE)


@asynccontextmanager
async def serving_fleet(plan: FleetPlan) -> AsyncIterator[Fleet]:
    """Start a fleet whose engines all serve one model; stop it in the end."""
    fleet = Fleet(plan)
    try:
        await fleet.start()
        await fleet.publish(RELEASE, RELEASE_BYTES, CHUNK_BYTES)
        await fleet.ask(f"create release {RELEASE}")
        replicas = len(fleet.agents)
        await fleet.ask(f"create service {SERVICE} release {RELEASE} replicas {replicas}")
        await _wait_served(fleet)
        yield fleet
    finally:
        await fleet.close()


async def _wait_served(fleet: Fleet) -> None:
    deadline = asyncio.get_running_loop().time() + SERVED_LIMIT_S
    while asyncio.get_running_loop().time() < deadline:
        states = await asyncio.gather(
            *(fleet.http.request(host.target, "GET", "/state") for host in fleet.agents)
        )
        if all(state.json()["active"] for state in states):
            await asyncio.sleep(SLOW_START_S)
            return
        await asyncio.sleep(POLL_S)
    raise TimeoutError(f"the model was not served everywhere after {SERVED_LIMIT_S:g} s")


def processor_seconds(host: FleetHost) -> float:
    """Return the processor time that a host's process has used so far."""
    assert host.process is not None, "the host runs"
    stat = Path(f"/proc/{host.process.process.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


async def read_metrics(fleet: Fleet, host: FleetHost) -> dict[str, float]:
    """Return the metrics of a process by their names and labels."""
    response = await fleet.http.request(host.member.operator_address, "GET", "/metrics")
    return {name: float(value) for name, value in METRIC_LINE.findall(response.content.decode())}


async def sum_metric(fleet: Fleet, name: str) -> float:
    """Return a counter summed over its labels and all running entries."""
    total = 0.0
    for host in fleet.entries:
        if host.running:
            metrics = await read_metrics(fleet, host)
            total += sum(
                value for key, value in metrics.items() if key.partition("{")[0] == f"{name}_total"
            )
    return total
