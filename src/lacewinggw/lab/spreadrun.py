"""One measured spread of a release over a fleet of real processes, with faults."""

import asyncio
import os
import re
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

from lacewinggw.ids import HostId
from lacewinggw.lab.baselines import Baseline
from lacewinggw.lab.fleet import Fleet, FleetHost, FleetPlan
from lacewinggw.lab.spreadload import LiveLoad, LiveResult
from lacewinggw.wire.http import HttpError

SERVICE = "bulletin-writer"
OLD, NEW = "market-6", "market-7"
ORIGIN_LINKS = 2  # the origin's link carries four copies while a host's carries two
POLL_S = 0.25
STALL_S = 4.0
LAG_S = 4.0
STRIKE_SHARE = 1 / 3
HOSTS_STRUCK = 0.1
LIMIT_BOUNDS = 40
CALM_S = 8.0  # of live requests before the weights move
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class SpreadFault(Enum):
    """What goes wrong while the release spreads."""

    KILL = "kill"
    STALL = "stall"
    CORRUPT = "corrupt"
    ORIGIN_DOWN = "origin-down"
    LAG = "lag"
    REPLACE = "replace"


@dataclass(frozen=True)
class SpreadPlan:
    """What to measure; `bound_s` is the time in which a host's link carries one copy."""

    hosts: int
    places: int
    prefer: str
    chunks: int
    chunk_bytes: int
    bound_s: float
    faults: tuple[SpreadFault, ...] = ()
    entries: int = 2
    seed: int = 1
    baseline: Baseline | None = None
    callers: int = 0

    @property
    def size_bytes(self) -> int:
        """Bytes of the release."""
        return self.chunks * self.chunk_bytes

    @property
    def link_bytes_per_s(self) -> int:
        """A host's link, in each direction."""
        return int(self.size_bytes / self.bound_s)

    def with_baseline(self, baseline: Baseline) -> "SpreadPlan":
        """Return the same plan for another policy, without faults."""
        return replace(self, baseline=baseline, faults=())

    def fleet_plan(self) -> FleetPlan:
        """Return the fleet to start: without callers the whole of each link is for weights."""
        return FleetPlan(
            entries=self.entries,
            engines=self.hosts,
            places=[f"place-{number + 1}" for number in range(self.places)],
            seed=self.seed,
            origin_bytes_per_s=ORIGIN_LINKS * self.link_bytes_per_s,
            store_bytes_per_s=self.link_bytes_per_s,
            link_bytes_per_s=self.link_bytes_per_s,
            overrides={} if self.callers else {"agent": {"weights_share_percent": 100}},
        )


@dataclass(frozen=True)
class SpreadResult:
    """What one run measured.

    Times are in seconds and as multiples of the lower bound, bytes in copies of the release. What
    an agent spends is its processor time in seconds, and the bytes it sent besides chunks.
    """

    policy: str
    hosts: int
    places: int
    chunks: int
    prefer: str
    faults: list[str]
    seed: int
    live_hosts: int
    served: int
    time_to_n_s: float
    time_ratio: float
    time_ratio_half: float
    outage_s: float
    origin_copies: float
    store_copies: float
    max_upload_copies: float
    cross_place_copies: float
    corrupt_loaded: int
    corrupt_chunks: int
    stalls: int
    agent_cpu_s: float
    agent_control_bytes: float
    live: LiveResult


class VariantFleet(Fleet):
    """A fleet in which some agents are variants, given by the options they run with."""

    def __init__(self, plan: FleetPlan) -> None:
        super().__init__(plan)
        self.variants: dict[HostId, list[str]] = {}

    async def launch(self, host: FleetHost) -> None:
        """Start the product's process on a host, or the variant of it."""
        options = self.variants.get(host.member.host)
        if options is None:
            await super().launch(host)
            return
        command = ["-m", "lacewinggw.lab.variant", "--settings", str(host.settings_path), *options]
        host.process = await self._spawn(str(host.member.host), command)


class SpreadRun:
    """One run on one fleet."""

    def __init__(self, plan: SpreadPlan) -> None:
        self._plan = plan
        self._fleet = VariantFleet(plan.fleet_plan())
        self._served_at: dict[HostId, float] = {}
        self._struck: set[HostId] = set()
        self._replaced: set[HostId] = set()
        self._lost = AgentCounts()
        self._digests: dict[str, str] = {}

    async def measure(self) -> SpreadResult:
        """Start the fleet, spread, and stop it."""
        try:
            return await self._measure()
        finally:
            await self._fleet.close()

    async def _measure(self) -> SpreadResult:
        plan, fleet = self._plan, self._fleet
        self._choose_variants()
        await fleet.start()
        release = OLD if SpreadFault.REPLACE in plan.faults else NEW
        for name in (OLD, NEW):
            await self._publish(name)
        clause = f"replicas {plan.hosts} prefer {plan.prefer}"
        if plan.callers:
            await fleet.ask(f"create service {SERVICE} release {OLD} {clause}")
            await self._wait_active(self._digests[OLD], {})
            command = f"set service {SERVICE} release {NEW}"
        else:
            command = f"create service {SERVICE} release {release} {clause}"
        live = LiveLoad(fleet, SERVICE, plan.callers)
        live.start()
        await asyncio.sleep(CALM_S if plan.callers else 0.0)
        before = await self._count_agents()
        started_at = asyncio.get_running_loop().time()
        await fleet.ask(command)
        outages = asyncio.gather(*(self._strike(fault) for fault in plan.faults))
        await self._wait_active(self._digests[NEW], self._served_at)
        ended_at = asyncio.get_running_loop().time()
        outage_s = sum(await outages)
        after = await self._count_agents()
        await live.stop()
        told = live.conclude(started_at, ended_at, set(self._digests.values()))
        return await self._conclude(started_at, outage_s, before, after, told)

    def _choose_variants(self) -> None:
        plan, fleet = self._plan, self._fleet
        names = [HostId(f"host-{number + 1:03}") for number in range(plan.hosts)]
        if plan.baseline is not None:
            options = [f"--baseline={plan.baseline.value}"]
            fleet.variants = dict.fromkeys(names, options)
        if SpreadFault.CORRUPT in plan.faults:
            fleet.variants[fleet.rng.choice(names)] = ["--corrupt"]

    async def _publish(self, name: str) -> None:
        plan, fleet = self._plan, self._fleet
        await fleet.publish(name, plan.size_bytes, plan.chunk_bytes, seed=plan.seed)
        await fleet.ask(f"create release {name}")
        address = fleet.platform["origin"]
        response = await fleet.http.request(address, "GET", f"/releases/{name}/manifest")
        self._digests[name] = response.json()["digest"]

    # ---- faults ---------------------------------------------------------------------------

    async def _strike(self, fault: SpreadFault) -> float:
        """Bring a fault about a third of the way through; return how long an outage it was."""
        if fault is not SpreadFault.CORRUPT:
            await asyncio.sleep(STRIKE_SHARE * self._plan.bound_s)
        match fault:
            case SpreadFault.KILL:
                await asyncio.gather(*(self._replace_host(host) for host in self._pick_hosts()))
            case SpreadFault.STALL:
                return await self._stall(self._pick_hosts())
            case SpreadFault.ORIGIN_DOWN:
                return await self._lose_origin(self._plan.bound_s / 3)
            case SpreadFault.LAG:
                await self._fleet.control(self._fleet.platform["membership"], lag_s=LAG_S)
            case SpreadFault.REPLACE:
                await self._fleet.ask(f"set service {SERVICE} release {NEW}")
        return 0.0

    def _pick_hosts(self) -> list[FleetHost]:
        """Return a tenth of the hosts that no fault has struck yet."""
        free = [host for host in self._fleet.agents if host.member.host not in self._struck]
        count = max(1, round(HOSTS_STRUCK * self._plan.hosts))
        chosen = self._fleet.rng.sample(free, count)
        self._struck.update(host.member.host for host in chosen)
        return chosen

    async def _replace_host(self, host: FleetHost) -> None:
        """Kill a host; an empty one with the same name and address takes its place."""
        self._replaced.add(host.member.host)
        self._lost += await read_counts(self._fleet, host)
        await self._fleet.kill(host)
        await self._fleet.restart(host)

    async def _stall(self, hosts: list[FleetHost]) -> float:
        for host in hosts:
            self._fleet.pause(host)
        await asyncio.sleep(STALL_S)
        for host in hosts:
            self._fleet.resume(host)
        return STALL_S

    async def _lose_origin(self, seconds: float) -> float:
        parts = [self._fleet.platform[name] for name in ("origin", "weight_store")]
        for part in parts:
            await self._fleet.control(part, outage="refuse")
        await asyncio.sleep(seconds)
        for part in parts:
            await self._fleet.control(part, outage="none")
        return seconds

    # ---- measuring ------------------------------------------------------------------------

    async def _wait_active(self, wanted: str, at: dict[HostId, float]) -> None:
        """Note when each engine reports a digest as active, until all do or the limit passes."""
        loop = asyncio.get_running_loop()
        limit_at = loop.time() + LIMIT_BOUNDS * self._plan.bound_s
        while loop.time() < limit_at:
            late = [host for host in self._fleet.agents if host.member.host not in at]
            actives = await asyncio.gather(*(self._active(host) for host in late))
            for host, active in zip(late, actives, strict=True):
                if active == wanted:
                    at[host.member.host] = loop.time()
            if len(at) == self._plan.hosts:
                return
            await asyncio.sleep(POLL_S)

    async def _active(self, host: FleetHost) -> str:
        response = await self._fleet.http.request(host.target, "GET", "/state")
        return str(response.json()["active"])

    async def _count_agents(self) -> "list[AgentCounts]":
        hosts = self._fleet.agents
        return list(await asyncio.gather(*(read_counts(self._fleet, host) for host in hosts)))

    async def _conclude(
        self,
        started_at: float,
        outage_s: float,
        before: "list[AgentCounts]",
        after: "list[AgentCounts]",
        live: LiveResult,
    ) -> SpreadResult:
        plan = self._plan
        size = plan.size_bytes
        times = sorted(at - started_at for at in self._served_at.values())
        taken = times[-1] if times else 0.0
        spent = self._spent(before, after)
        total = sum(spent, start=self._lost)
        control = total.sent_bytes - total.uploaded_bytes
        return SpreadResult(
            policy=plan.baseline.value if plan.baseline else "lacewinggw",
            hosts=plan.hosts,
            places=plan.places,
            chunks=plan.chunks,
            prefer=plan.prefer,
            faults=[fault.value for fault in plan.faults],
            seed=plan.seed,
            live_hosts=sum(1 for host in self._fleet.agents if host.running),
            served=len(times),
            time_to_n_s=taken,
            time_ratio=taken / plan.bound_s,
            time_ratio_half=times[len(times) // 2] / plan.bound_s if times else 0.0,
            outage_s=outage_s,
            origin_copies=await self._copies("origin"),
            store_copies=await self._copies("weight_store"),
            max_upload_copies=max(each.uploaded_bytes for each in spent) / size,
            cross_place_copies=total.cross_place_bytes / size,
            corrupt_loaded=await self._corrupt_loaded(),
            corrupt_chunks=int(total.corrupt_chunks),
            stalls=int(total.stalls),
            agent_cpu_s=total.cpu_s / plan.hosts,
            agent_control_bytes=control / plan.hosts,
            live=live,
        )

    def _spent(
        self, before: "list[AgentCounts]", after: "list[AgentCounts]"
    ) -> "list[AgentCounts]":
        """Return what each agent counted from then to now; a replaced one began at nothing."""
        counts = []
        for host, was, now in zip(self._fleet.agents, before, after, strict=True):
            counts.append(now if host.member.host in self._replaced else now - was)
        return counts

    async def _copies(self, part: str) -> float:
        stats = await self._fleet.stats(self._fleet.platform[part])
        return float(stats["releases"][NEW]["copies"])

    async def _corrupt_loaded(self) -> int:
        """Count engines that have loaded anything but a whole published release."""
        known = set(self._digests.values())
        states = await asyncio.gather(
            *(self._fleet.http.request(host.target, "GET", "/state") for host in self._fleet.agents)
        )
        loaded = [set(state.json()["loaded"]) for state in states]
        return sum(1 for digests in loaded if digests - known)


@dataclass(frozen=True)
class AgentCounts:
    """What one agent counted since it started; bytes and seconds."""

    uploaded_bytes: float = 0.0
    sent_bytes: float = 0.0
    cross_place_bytes: float = 0.0
    corrupt_chunks: float = 0.0
    stalls: float = 0.0
    cpu_s: float = 0.0

    def __add__(self, other: "AgentCounts") -> "AgentCounts":
        mine, theirs = vars(self), vars(other)
        return AgentCounts(**{name: mine[name] + theirs[name] for name in mine})

    def __sub__(self, other: "AgentCounts") -> "AgentCounts":
        mine, theirs = vars(self), vars(other)
        return AgentCounts(**{name: mine[name] - theirs[name] for name in mine})


async def read_counts(fleet: Fleet, host: FleetHost) -> AgentCounts:
    """Read an agent's counters off its metrics page; one that cannot be read counts nothing."""
    try:
        response = await fleet.http.request(host.member.operator_address, "GET", "/metrics")
    except (OSError, TimeoutError, HttpError):
        return AgentCounts()
    text = response.content.decode()
    return AgentCounts(
        uploaded_bytes=_value(text, "weights_sent_bytes_total"),
        sent_bytes=_value(text, "peer_sent_bytes"),
        cross_place_bytes=_value(text, 'weights_bytes_total{source="other-place"}'),
        corrupt_chunks=_value(text, 'retries_total{reason="chunk-corrupt"}'),
        stalls=_value(text, 'retries_total{reason="chunk-stalled"}'),
        cpu_s=_cpu_s(host),
    )


def _value(text: str, series: str) -> float:
    found = re.search(rf"^lacewinggw_{re.escape(series)} (\S+)$", text, re.MULTILINE)
    return float(found[1]) if found else 0.0


def _cpu_s(host: FleetHost) -> float:
    if host.process is None:
        return 0.0
    stat = f"/proc/{host.process.process.pid}/stat"
    try:
        with open(stat, encoding="ascii") as file:
            fields: list[Any] = file.read().rpartition(")")[2].split()
    except OSError:
        return 0.0
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


async def measure(plan: SpreadPlan) -> SpreadResult:
    """Run one measurement."""
    return await SpreadRun(plan).measure()
