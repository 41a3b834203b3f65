"""Two versions of weights and an origin that is unavailable, replayed on a whole in-memory fleet.

Entries, agents, targets, store and origin run under virtual time. Each host has a link of its own,
each direction a queue of limited rate. Version 2 is announced, the origin becomes unavailable 2.5 s
later for 6 s, and version 3 is announced 3 s after version 2. Without `outage`, the origin stays
available.
"""

import asyncio
import hashlib
import math
import random
from collections import Counter
from dataclasses import dataclass, field

from declared_fleet import DeclaredFleet
from platform_standins import LLM, MODEL, ORIGIN, STORE, OriginStandIn, TargetStandIn, manifest

from lacewinggw.generated.settings.ttypes import Settings
from lacewinggw.lab.border import Arrive, Border
from lacewinggw.lab.memory import MemoryNetwork
from lacewinggw.lab.standin import Outage
from lacewinggw.loader.releases import release_of
from lacewinggw.wire.http import Request, Response, json_response

BITS_PER_BYTE = 8
BITS_PER_MBIT = 1_000_000
PLACES = ("hall", "room", "shed")
WIDE_BYTES_PER_S = 12_500_000  # links of entries and the store, which weights do not use
SQUEEZED_BYTES_PER_S = BITS_PER_MBIT / BITS_PER_BYTE
RUNNING_REQUESTS = 10  # at each target, which reserves bandwidth for their answers
REQUEST_S = 1.0  # most requests end within it
LOAD_S = 0.4
SAMPLE_S = 0.1
FIRST_AT_S = 3.0  # after the start of the fleet
AWAY_S = (2.5, 8.5)  # after the first announcement, like all times below
NEXT_AT_S = 3.0
KILL_AT_S = 0.5
CORRUPT_AT_S = 4.0
ADD_AT_S = 1.5
KILLED_SHARE = 0.1
CORRUPT_SHARE = 0.06  # of the stored chunks of a host
CORRUPT_HOSTS_SHARE = 1 / 3


@dataclass(frozen=True)
class Deployment:
    """One deployment of the page on hard load."""

    hosts: int
    chunks: int
    chunk_bytes: int
    link_mbit: float
    origin_mbit: float
    version_s: float

    @property
    def link_bytes_per_s(self) -> int:
        return round(self.link_mbit * BITS_PER_MBIT / BITS_PER_BYTE)


A = Deployment(20, 96, 24_576, 3.65, 4.38, 13.4)
B = Deployment(26, 48, 49_152, 4.7, 9.0, 9.7)
C = Deployment(16, 64, 32_768, 3.8, 9.9, 8.0)  # two versions 4 s apart, without an outage


class _Path:
    """The uplink of a sender and the downlink of a receiver, one after the other."""

    def __init__(self, up: Border, down: Border) -> None:
        self._up = up
        self._down = down

    def send(self, connection: object, size: int, arrive: Arrive) -> None:
        self._up.send(connection, size, lambda: self._down.send(connection, size, arrive))

    def drop(self, connection: object) -> int:
        return self._up.drop(connection)


class LinkedNetwork(MemoryNetwork):
    """An in-memory network in which each host has a link with a rate of its own."""

    def __init__(self, ip: str = "10.255.0.1", links: dict | None = None) -> None:
        super().__init__(ip=ip)
        self.links: dict[str, tuple[Border, Border]] = {} if links is None else links

    def view(self, ip: str) -> "LinkedNetwork":
        other = LinkedNetwork(ip, self.links)
        other._fabric = self._fabric
        return other

    def limit(self, ip: str, bytes_per_s: float) -> None:
        """Set the rate of each direction of a host's link."""
        for border in self._link(ip):
            border.bytes_per_s = bytes_per_s

    def _link(self, ip: str) -> tuple[Border, Border]:
        if ip not in self.links:
            self.links[ip] = Border(WIDE_BYTES_PER_S), Border(WIDE_BYTES_PER_S)
        return self.links[ip]

    def _border(self, sender: str, receiver: str):
        if sender == receiver:
            return None
        return _Path(self._link(sender)[0], self._link(receiver)[1])


class Origin(OriginStandIn):
    """An origin whose pieces have the size of a deployment's; `sent` has version and index."""

    def __init__(self, network: MemoryNetwork, deployment: Deployment) -> None:
        super().__init__(network)
        self.deployment = deployment
        self.requested: list[tuple[float, int, int]] = []

    def piece(self, version: int, index: int) -> bytes:
        seed = hashlib.sha256(f"{version}/{index}".encode()).digest()
        return seed * (self.deployment.chunk_bytes // len(seed))

    def pieces(self, version: int) -> dict[int, bytes]:
        return {index: self.piece(version, index) for index in range(self.deployment.chunks)}

    async def answer(self, request: Request) -> Response:
        version = int(request.query.get("Version", 1))
        if request.path.startswith("/manifest/"):
            pieces = self.pieces(version).values()
            body = {
                "Model": MODEL,
                "Version": version,
                "ChunkBytes": self.deployment.chunk_bytes,
                "Digests": [hashlib.sha256(each).hexdigest() for each in pieces],
            }
            return json_response(200, body)
        index = int(request.query["ItemCount"])
        self.requested.append((asyncio.get_running_loop().time(), version, index))
        return Response(200, {}, self.piece(version, index))


class Target(TargetStandIn):
    """A target that records when it served which version, and loads only what is complete."""

    def __init__(self, network: MemoryNetwork, target_id: str, address: str, origin: Origin):
        super().__init__(network, target_id, address)
        self.origin = origin
        self.running = RUNNING_REQUESTS
        self.served_at = 0.0
        self.loads: list[tuple[float, int]] = []
        self.incomplete_loads = 0

    def _order(self, order: dict) -> Response:
        if order["Precondition"] != len(self.orders):
            return Response(409)
        self.orders.append(order)
        self.incomplete_loads += self.staged != self.origin.pieces(order["Version"])
        self.busy = True
        asyncio.get_running_loop().call_later(LOAD_S, self._finish, order)
        return Response(202)

    def _finish(self, order: dict) -> None:
        super()._finish(order)
        self.loads.append((asyncio.get_running_loop().time(), order["Version"]))


@dataclass
class Sample:
    """One moment of the replay: share of targets in use by version, and what the hosts hold."""

    at_s: float
    serving: int  # targets that may start requests
    versions: Counter
    held: dict[int, tuple[float, int, int]]  # mean share; chunks on one host, on at least one
    origin_share: float  # of the origin's link, since the last sample
    origin_busy: int


@dataclass
class Result:
    """What a replay showed; times are after the first announcement."""

    deployment: Deployment
    samples: list[Sample] = field(default_factory=list)
    loads: dict[str, list[tuple[float, int]]] = field(default_factory=dict)
    incomplete_loads: int = 0
    origin_copies: dict[int, float] = field(default_factory=dict)
    held_at: dict[int, dict[str, float]] = field(default_factory=dict)  # by version and host

    def held_by(self, version: int, share: float) -> float:
        """Return when a share of the hosts held a version completely."""
        times = sorted(self.held_at.get(version, {}).values())
        needed = round(share * len(self.loads))
        return times[needed - 1] if len(times) >= needed else math.inf

    def in_use_at(self, version: int, share: float = 1.0) -> float:
        """Return when a share of the targets had loaded at least this version."""
        times = sorted(
            min((at for at, each in loads if each >= version), default=float("inf"))
            for loads in self.loads.values()
        )
        return times[max(0, round(share * len(times)) - 1)]

    def loaded_exactly(self, version: int) -> float:
        """Return the share of the targets that loaded this very version."""
        return sum(
            any(each == version for _, each in loads) for loads in self.loads.values()
        ) / len(self.loads)

    def outage_s(self, share: float = 0.0, until_s: float = math.inf) -> float:
        """Return how long at most this share of the targets could start requests."""
        limit = share * len(self.loads)
        moments = [each for each in self.samples if each.at_s < until_s]
        return SAMPLE_S * sum(each.serving <= limit for each in moments)


class Replay(DeclaredFleet):
    """A deployment during the load that the module describes."""

    def __init__(
        self,
        deployment: Deployment,
        seed: int = 1,
        faults: bool = True,
        silent: bool = False,
        returns: bool = True,
        added: int = 0,
        outage: bool = True,
        next_at_s: float = NEXT_AT_S,
    ) -> None:
        super().__init__()
        self._outage = outage
        self._next_at_s = next_at_s  # infinite if version 2 is the last one
        self._returns = returns
        self._added = added  # engines without weights, while version 2 is distributed
        self.deployment = deployment
        self.link_bytes_per_s = deployment.link_bytes_per_s
        self.rng = random.Random(seed)
        self._faults = faults
        self._silent = silent  # the origin does not answer, instead of refusing connections
        self._seed = seed
        self.network = LinkedNetwork()
        self.store = type(self.store)(self.network.view(STORE.partition(":")[0]))
        self.origin = Origin(self.network.view(ORIGIN.partition(":")[0]), deployment)
        self.result = Result(deployment)
        self._named: dict[int, float] = {}
        self._origin_sent = 0
        self.killed: set[str] = set()

    async def run(self, until_s: float = 22.0) -> Result:
        """Replay the load, and return what it showed."""
        await self.start()
        await asyncio.sleep(FIRST_AT_S)
        loop = asyncio.get_running_loop()
        begun = loop.time()
        self._name_version(2)
        plan = [(self._next_at_s, lambda: self._name_version(3)), (ADD_AT_S, self._add_engines)]
        if self._outage:
            plan.append((AWAY_S[0], self._origin_goes))
        if self._outage and self._returns:
            plan.append((AWAY_S[1], self._origin_returns))
        if self._faults:
            plan += [(KILL_AT_S, self._kill_agents), (CORRUPT_AT_S, self._corrupt_chunks)]
            self._squeeze_link()
        plan.sort(key=lambda each: each[0])
        while loop.time() - begun < until_s:
            while plan and loop.time() - begun >= plan[0][0] - 1e-6:
                step = plan.pop(0)[1]()
                if step is not None:
                    await step
            self._sample(loop.time() - begun)
            await asyncio.sleep(SAMPLE_S)
        self._conclude(begun)
        return self.result

    async def start(self) -> None:
        await self.store.start()
        await self.origin.start()
        self.store.put("op", "config", self._routes())
        deployment = self.deployment
        origin_ip = ORIGIN.partition(":")[0]
        self.network.limit(origin_ip, deployment.origin_mbit * BITS_PER_MBIT / BITS_PER_BYTE)
        for number, place in enumerate(PLACES):
            await self.add_entry(number + 1, place)
        await asyncio.sleep(1.0)
        for number in range(deployment.hosts):
            await self._add_engine(number, self.origin.pieces(1))

    async def _add_engines(self) -> None:
        for number in range(self._added):
            target = await self._add_engine(self.deployment.hosts + number, {})
            target.weights = {}

    async def _add_engine(self, number: int, staged: dict[int, bytes]) -> Target:
        name, ip = f"engine{number}", f"10.2.0.{number + 1}"
        place = PLACES[number % len(PLACES)]
        self.network.limit(ip, self.deployment.link_bytes_per_s)
        target = Target(self.network.view(ip), f"i-{name}", f"{ip}:8080", self.origin)
        target.staged = staged
        await target.start()
        self.targets[name] = target
        self._list(target, LLM, {"Zone": place})
        await self.add_agent(name, place)
        return target

    def _settings(self, host: str, place: str) -> Settings:
        settings = super()._settings(host, place)
        settings.fleet.regions = [f"{each}:{each}" for each in PLACES]
        settings.fleet.version_ms = round(self.deployment.version_s * 1000)
        settings.agent.weights_share_percent = 97
        settings.spread.gateways = 8
        settings.spread.patience_ms = 100
        settings.spread.origin_backoff_ms = 130
        settings.spread.in_flight = 1
        settings.spread.in_flight_total = 4
        return settings

    def _routes(self) -> dict:
        routes = manifest(2)
        for service in routes["Services"]:
            if "Engine" in service:
                service["Engine"]["Chunks"] = self.deployment.chunks
                service["Engine"]["ChunkBytes"] = self.deployment.chunk_bytes
            if "Origin" in service:
                service["LinkMbps"] = self.deployment.origin_mbit
        return routes

    # ---- events ---------------------------------------------------------------------------

    def _name_version(self, version: int) -> None:
        self._named[version] = asyncio.get_running_loop().time()
        self.store.put("op", f"version/{MODEL}", {"Model": MODEL, "Version": version})

    def _origin_goes(self) -> None:
        ip = ORIGIN.partition(":")[0]
        if self._silent:
            self.network.hold(ip)
            return
        self.origin.faults.outage = Outage.CUT
        for stream in [each for each in self.network._fabric.streams if ip in each.ends]:
            stream.break_off()

    def _origin_returns(self) -> None:
        self.network.let_go(ORIGIN.partition(":")[0])
        self.origin.faults.outage = Outage.NONE

    async def _kill_agents(self) -> None:
        count = max(1, round(KILLED_SHARE * len(self.agents)))
        for name in self.rng.sample(sorted(self.agents), count):
            self.killed.add(name)
            await self.agents.pop(name).close()

    def _corrupt_chunks(self) -> None:
        names = sorted(self.targets)
        for name in self.rng.sample(names, round(CORRUPT_HOSTS_SHARE * len(names))):
            staged = self.targets[name].staged
            for index in self.rng.sample(sorted(staged), round(CORRUPT_SHARE * len(staged))):
                staged[index] = b"\0" + staged[index][1:]

    def _squeeze_link(self) -> None:
        name = self.rng.choice(sorted(self.agents))
        self.network.limit(self.targets[name].address.partition(":")[0], SQUEEZED_BYTES_PER_S)

    # ---- what it shows --------------------------------------------------------------------

    def _min_version(self, now: float) -> int:
        due = [v for v, at in self._named.items() if now - at >= self.deployment.version_s]
        return max(due, default=1)

    def _sample(self, at_s: float) -> None:
        now = asyncio.get_running_loop().time()
        least = self._min_version(now)
        targets = [self.targets[name] for name in self.agents]
        for each in targets:
            if each.weights.get(MODEL, 0) >= least:
                each.served_at = now
            each.running = RUNNING_REQUESTS if now - each.served_at < REQUEST_S else 0
        serving = sum(not each.busy and each.weights.get(MODEL, 0) >= least for each in targets)
        sent = self.network._link(ORIGIN.partition(":")[0])[0].sent_bytes
        rate = self.deployment.origin_mbit * BITS_PER_MBIT / BITS_PER_BYTE
        share = (sent - self._origin_sent) / (rate * SAMPLE_S)
        self._origin_sent = sent
        versions = Counter(each.weights.get(MODEL, 0) for each in targets)
        held = {version: self._held(version) for version in self._named}
        for version in self._named:
            held_at = self.result.held_at.setdefault(version, {})
            for name, agent in self.agents.items():
                if agent.spreader.held_fraction(release_of(MODEL, version)) >= 1.0:
                    held_at.setdefault(name, at_s)
        status = [
            agent.spreader.status(release_of(MODEL, version))
            for agent in self.agents.values()
            for version in self._named
        ]
        busy = sum(each.from_origin for each in status if each is not None)
        self.result.samples.append(Sample(at_s, serving, versions, held, share, busy))

    def _held(self, version: int) -> tuple[float, int, int]:
        release = release_of(MODEL, version)
        held = [agent.spreader.held(release) for agent in self.agents.values()]
        holders = Counter(index for each in held for index in each)
        mean = sum(holders.values()) / (len(held) * self.deployment.chunks)
        return mean, sum(count == 1 for count in holders.values()), len(holders)

    def _conclude(self, begun: float) -> None:
        result = self.result
        for name in self.agents:
            target = self.targets[name]
            result.loads[name] = [(at - begun, version) for at, version in target.loads]
            result.incomplete_loads += target.incomplete_loads
        sent = Counter(version for _, version, _ in self.origin.requested)
        result.origin_copies = {
            version: count / self.deployment.chunks for version, count in sent.items()
        }


async def replay(deployment: Deployment, until_s: float = 22.0, **options) -> Result:
    """Replay the load on a deployment."""
    fleet = Replay(deployment, **options)
    try:
        return await fleet.run(until_s)
    finally:
        await fleet.close()


def describe(result: Result) -> str:
    """Return the samples as text, one line each."""
    lines = []
    for each in result.samples:
        held = " ".join(
            f"v{v}={mean:.2f}({single},{some})" for v, (mean, single, some) in each.held.items()
        )
        versions = dict(sorted(each.versions.items()))
        lines.append(
            f"{each.at_s:5.1f} serving={each.serving:2} {versions} {held} "
            f"origin={each.origin_share:.2f}/{each.origin_busy}"
        )
    return "\n".join(lines)
