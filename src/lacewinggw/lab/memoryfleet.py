"""A whole fleet in one process: the product's own processes on in-memory streams.

It starts what `lab.fleet.Fleet` starts, with the same methods, but on a `MemoryNetwork`, so that
virtual time makes a run of minutes take seconds and the same on every run. A killed process reaches
nobody any more; a paused one hears and says everything late.

    fleet = MemoryFleet(MemoryPlan(entries=3, engines=6, plains=2, seed=7))
    await fleet.start()
    ...
    await fleet.close()
"""

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from lacewinggw.agent.process import AgentProcess
from lacewinggw.clients.membership import Member, MemberRole
from lacewinggw.decisions.revisions import FleetState
from lacewinggw.entry.process import EntryProcess
from lacewinggw.generated.settings.ttypes import Settings
from lacewinggw.ids import Address, HostId, Place, ServiceName
from lacewinggw.lab.engine import EngineSpec, EngineStandIn
from lacewinggw.lab.memory import MemoryNetwork
from lacewinggw.lab.plain import PlainStandIn
from lacewinggw.lab.releases import SyntheticRelease
from lacewinggw.lab.standins import PlatformStandIns
from lacewinggw.settings import default_settings
from lacewinggw.wire.http import Headers, HttpClient, HttpError
from lacewinggw.wire.network import Network

PLATFORM_IP = "10.9.0.1"
PEER_PORT = 7000
OPERATOR_PORT = 7001
CALLER_PORT = 7002
TARGET_PORT = 9000
FLEET_KEY = "lab-fleet-key"
OPERATOR_TOKEN = "lab-operator"
CALLER_TOKEN = "lab-caller"
FENCING_EVERY = 3
NO_SERVICE = ServiceName("")
READY_STEP_S = 0.1
READY_LIMIT_S = 60.0


@dataclass(frozen=True)
class MemoryPlan:
    """What to start; `overrides` sets settings by section and key."""

    entries: int = 3
    engines: int = 6
    plains: int = 2
    plain_service: str = "legacy-ledger"
    places: Sequence[str] = ("kgn-hall-a", "mbj-hall-b", "mdv-hall-c")
    accounts: Sequence[str] = ("saleyard", "radio-desk")
    account_rate: int = 10000
    account_concurrency: int = 1000
    origin_bytes_per_s: float = 0.0
    token_s: float = 0.005
    seed: int = 1
    overrides: Mapping[str, Mapping[str, Any]] = field(default_factory=dict)


Process = EntryProcess | AgentProcess
OnState = Callable[[HostId, FleetState], None]  # called with each state that a process comes to


@dataclass
class MemoryHost:
    """A host of the product: its settings, its target if it has one, and its present process."""

    member: Member
    settings: Settings
    network: Network
    target: Address = Address("")
    process: Process | None = None
    launches: int = 0

    @property
    def running(self) -> bool:
        """Whether its process runs."""
        return self.process is not None

    def make_process(self, seed: int) -> Process:
        """Return a fresh process, which knows nothing of the one before."""
        self.launches += 1
        rng = random.Random(f"{seed}/{self.member.host}/{self.launches}")
        if self.member.role is MemberRole.ENTRY:
            return EntryProcess.from_config(self.settings, self.network, rng)
        return AgentProcess.from_config(self.settings, self.network, rng)


class MemoryFleet:
    """Start, disturb and stop a fleet in memory."""

    def __init__(self, plan: MemoryPlan) -> None:
        self.plan = plan
        self.network = MemoryNetwork()
        self.http = HttpClient(self.network)
        self.stand_ins = PlatformStandIns(
            self.network.view(PLATFORM_IP), PLATFORM_IP, plan.seed, plan.origin_bytes_per_s
        )
        self.hosts: dict[HostId, MemoryHost] = {}
        self.targets: dict[HostId, EngineStandIn | PlainStandIn] = {}
        self.platform: dict[str, Address] = {}
        self.on_state: OnState = lambda host, state: None
        self.operator_headers = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
        self._ending: dict[HostId, asyncio.Task[None]] = {}
        for number in range(plan.entries):
            self._add_entry(number)
        for number in range(plan.engines + plan.plains):
            self._add_agent(number)

    @property
    def accounts(self) -> Sequence[str]:
        """Names of the client accounts."""
        return self.plan.accounts

    async def start(self) -> None:
        """Start everything and wait until each process is ready."""
        await self.stand_ins.start()
        parts = self.stand_ins.parts
        self.platform = {name: Address(part.address) for name, part in parts.items()}
        for host in self.hosts.values():
            host.settings.platform = self.stand_ins.addresses
        for target in self.targets.values():
            await target.start()
        for host in self.hosts.values():
            self.stand_ins.membership.put(host.member)
        await asyncio.gather(*(self.launch(host) for host in self.hosts.values()))
        await self.wait_ready()

    async def close(self) -> None:
        """End everything; nothing is left pending."""
        running = [host.process for host in self.hosts.values() if host.process is not None]
        await asyncio.gather(*self._ending.values(), *(process.close() for process in running))
        for target in self.targets.values():
            await target.close()
        await self.http.close()
        await self.stand_ins.close()

    async def wait_ready(self) -> None:
        """Wait until each running process has a configuration."""
        end = asyncio.get_running_loop().time() + READY_LIMIT_S
        while not all([await self._is_ready(host) for host in self.hosts.values()]):
            if asyncio.get_running_loop().time() > end:
                raise TimeoutError("the fleet did not get ready")
            await asyncio.sleep(READY_STEP_S)

    # ---- hosts ----

    async def launch(self, host: MemoryHost) -> None:
        """Start the product's process on a host."""
        process = host.make_process(self.plan.seed)
        host.process = process
        replica = process.ledger if isinstance(process, EntryProcess) else process.follower
        replica.on_change(lambda state, _: self.on_state(host.member.host, state))
        await process.start()

    async def kill(self, host: MemoryHost, unlist: bool = True) -> None:
        """Lose a host at once, as on power loss; its target goes on."""
        process, host.process = host.process, None
        self.network.lose(self._ip(host))
        if process is not None:
            closing = asyncio.get_running_loop().create_task(process.close())
            self._ending[host.member.host] = closing
        if unlist:
            await self.unlist_host(host)

    async def terminate(self, host: MemoryHost) -> None:
        """Ask a process to leave, and wait until it has."""
        process = host.process
        if process is not None:
            await process.leave()
        host.process = None

    async def restart(self, host: MemoryHost) -> None:
        """Start a fresh process, with nothing kept, at the same address."""
        ending = self._ending.pop(host.member.host, None)
        if ending is not None:
            await ending
        self.stand_ins.membership.put(host.member)
        await self.launch(host)

    def pause(self, host: MemoryHost) -> None:
        """Keep back all that a host hears and says."""
        self.network.hold(self._ip(host))

    def resume(self, host: MemoryHost) -> None:
        """Let it all through."""
        self.network.let_go(self._ip(host))

    def part(self, one: MemoryHost, other: MemoryHost) -> None:
        """Part two hosts from each other."""
        self.network.cut(self._ip(one), self._ip(other))

    def heal(self, one: MemoryHost, other: MemoryHost) -> None:
        """Let two hosts see each other again."""
        self.network.heal(self._ip(one), self._ip(other))

    async def set_leaving(self, host: MemoryHost) -> None:
        """Mark a host as leaving on the platform's list."""
        self.stand_ins.membership.set_leaving(host.member.host)

    async def unlist_host(self, host: MemoryHost) -> None:
        """Take a host off the platform's list."""
        self.stand_ins.membership.remove(host.member.host)

    # ---- stand-ins and callers ----

    async def control(self, address: Address | str, **values: Any) -> None:
        """Set faults of a stand-in."""
        stand_ins = (*self.stand_ins.parts.values(), *self.targets.values())
        next(each for each in stand_ins if each.address == address).control(values)

    async def publish(self, name: str, size_bytes: int, chunk_bytes: int, seed: int = 0) -> None:
        """Make a release at the origin and the weight store."""
        self.stand_ins.add_release(SyntheticRelease(name, size_bytes, chunk_bytes, seed))

    def caller_headers(self, account: str) -> Headers:
        """Return the headers by which a client account shows itself."""
        return {"authorization": f"Bearer {CALLER_TOKEN}-{account}"}

    # ---- internals ----

    def _ip(self, host: MemoryHost) -> str:
        return host.member.address.rpartition(":")[0]

    async def _is_ready(self, host: MemoryHost) -> bool:
        try:
            answer = await self.http.request(host.member.operator_address, "GET", "/healthz")
        except (OSError, TimeoutError, HttpError):
            return not host.running
        return answer.status == 200

    def _add_entry(self, number: int) -> None:
        plan = self.plan
        member = self._member(HostId(f"entry-{number + 1}"), MemberRole.ENTRY, number)
        settings = self._base_settings(member)
        settings.entry.caller_listen = member.caller_address
        settings.entry.operator_listen = member.operator_address
        settings.entry.peer_listen = member.address
        settings.entry.operator_tokens = [f"lab:{OPERATOR_TOKEN}"]
        limits = f"{plan.account_rate}:{plan.account_concurrency}"
        settings.entry.accounts = [
            f"{account}:{CALLER_TOKEN}-{account}:{limits}" for account in plan.accounts
        ]
        self._override(settings)
        self.hosts[member.host] = MemoryHost(member, settings, self._view(member))

    def _add_agent(self, number: int) -> None:
        plan = self.plan
        is_plain = number >= plan.engines
        service = ServiceName(plan.plain_service) if is_plain else NO_SERVICE
        host = HostId(f"host-{number + 1:03}")
        member = self._member(host, MemberRole.AGENT, number, service)
        target = self._make_target(host, number, is_plain)
        settings = self._base_settings(member)
        settings.agent.peer_listen = member.address
        settings.agent.operator_listen = member.operator_address
        settings.agent.target = target
        settings.agent.target_kind = "plain" if is_plain else "engine"
        settings.agent.service_name = service
        self._override(settings)
        self.hosts[host] = MemoryHost(member, settings, self._view(member), target)

    def _make_target(self, host: HostId, number: int, is_plain: bool) -> Address:
        ip = f"10.3.0.{number + 1}"
        address = Address(f"{ip}:{TARGET_PORT}")
        network, seed = self.network.view(ip), self.plan.seed * 1000 + number
        if is_plain:
            self.targets[host] = PlainStandIn(network, address, seed)
        else:
            fences = number % FENCING_EVERY == 0
            spec = EngineSpec(fences=fences, token_s=self.plan.token_s)
            self.targets[host] = EngineStandIn(network, address, seed, spec)
        return address

    def _member(
        self, host: HostId, role: MemberRole, number: int, service: ServiceName = NO_SERVICE
    ) -> Member:
        ip = f"10.{1 if role is MemberRole.ENTRY else 2}.0.{number + 1}"
        caller = Address(f"{ip}:{CALLER_PORT}") if role is MemberRole.ENTRY else Address("")
        return Member(
            host,
            Place(self.plan.places[number % len(self.plan.places)]),
            role,
            Address(f"{ip}:{PEER_PORT}"),
            Address(f"{ip}:{OPERATOR_PORT}"),
            caller,
            service=service,
        )

    def _view(self, member: Member) -> Network:
        return self.network.view(member.address.rpartition(":")[0])

    def _base_settings(self, member: Member) -> Settings:
        settings = default_settings()
        settings.process.host = member.host
        settings.process.place = member.place
        settings.process.fleet_key = FLEET_KEY
        return settings

    def _override(self, settings: Settings) -> None:
        for section, values in self.plan.overrides.items():
            for key, value in values.items():
                setattr(getattr(settings, section), key, value)
