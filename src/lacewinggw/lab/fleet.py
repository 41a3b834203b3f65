"""A fleet of real processes on loopback: platform, targets, entries and agents.

Every host has an address of its own in 127.0.0.0/8 and the same three ports; stand-ins run in lab
processes apart from the product's, and are told their faults over HTTP. Only processes started here
are ever signalled, each by its id.
"""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
from collections.abc import Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from lacewinggw.clients.membership import Member, MemberRole, member_to_json
from lacewinggw.generated.settings.ttypes import Settings
from lacewinggw.ids import Address, HostId, Place, ServiceName
from lacewinggw.settings import default_settings, write_settings
from lacewinggw.wire.http import Headers, HttpClient, HttpError, Response
from lacewinggw.wire.network import TcpNetwork

PEER_PORT = 7000
OPERATOR_PORT = 7001
CALLER_PORT = 7002
HOSTS_PER_BLOCK = 200
READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 20.0
POLL_S = 0.1
OPERATOR_TOKEN = "lab-operator"
CALLER_TOKEN = "lab-caller"
READING_WORDS = frozenset({"show", "explain", "wait"})
ASK_TIMEOUT_S = 15.0
FLEET_KEY = "lab-fleet-key"

Overrides = Mapping[str, Mapping[str, Any]]


@dataclass(frozen=True)
class FleetPlan:
    """What to start. Link rates are in bytes a second, 0 for no limit.

    `account_limits` gives some accounts another rate than `account_rate`.
    `overrides` sets settings by section and key, as {"spread": {"ranks": 2}}; every third engine
    refuses old fencing numbers, the others ignore them.
    """

    entries: int = 3
    engines: int = 8
    plain_services: Mapping[str, int] = field(default_factory=dict)
    places: Sequence[str] = ("lautoka-hall", "labasa-hall", "lakeba-room")
    accounts: Sequence[str] = ("saleyard", "radio-desk", "stock-agents")
    account_rate: int = 10000
    account_concurrency: int = 1000
    account_limits: Mapping[str, int] = field(default_factory=dict)
    seed: int = 1
    origin_bytes_per_s: int = 0
    store_bytes_per_s: int = 0
    link_bytes_per_s: int = 125_000_000
    token_s: float = 0.002
    batch_limit: int = 8
    overrides: Overrides = field(default_factory=dict)
    engines_per_process: int = 32


@dataclass
class LabProcess:
    """One process that this fleet started, and where its log goes."""

    name: str
    process: asyncio.subprocess.Process
    log_path: Path

    @property
    def running(self) -> bool:
        """Whether it has not ended yet."""
        return self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless it has ended."""
        if self.running:
            with suppress(ProcessLookupError):
                self.process.send_signal(number)


@dataclass
class FleetHost:
    """A host of the product: its address, settings and present process."""

    member: Member
    settings_path: Path
    target: Address = Address("")
    process: LabProcess | None = None

    @property
    def running(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.running


def choose_block(rng: random.Random) -> str:
    """Return the first two numbers of a free block of loopback addresses, "127.x"."""
    for _ in range(100):
        block = f"127.{rng.randint(10, 250)}"
        with socket.socket() as probe, suppress(OSError):
            probe.bind((f"{block}.1.1", PEER_PORT))
            return block
    raise RuntimeError("no free block of loopback addresses was found; end other fleets first")


class Fleet:
    """Start, disturb and stop a fleet.

    fleet = Fleet(FleetPlan(entries=3, engines=8))
    await fleet.start()
    await fleet.publish("market-7", size_bytes=8 << 20, chunk_bytes=1 << 20)
    await fleet.ask("create release market-7")
    ...
    await fleet.close()
    """

    def __init__(self, plan: FleetPlan) -> None:
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.network = TcpNetwork()
        self.http = HttpClient(self.network)
        self.hosts: dict[HostId, FleetHost] = {}
        self.platform: dict[str, Address] = {}
        self.engines: list[Address] = []
        self.plain: dict[Address, str] = {}
        self._folder = tempfile.TemporaryDirectory(prefix="lacewinggw-lab-")
        self._block = choose_block(random.Random())
        self._stand_ins: list[LabProcess] = []

    @property
    def folder(self) -> Path:
        """Where settings and logs of this fleet lie until it is closed."""
        return Path(self._folder.name)

    @property
    def accounts(self) -> Sequence[str]:
        """Names of the client accounts."""
        return self.plan.accounts

    @property
    def operator_headers(self) -> Headers:
        """The headers by which an operator shows itself."""
        return {"authorization": f"Bearer {OPERATOR_TOKEN}"}

    @property
    def entries(self) -> list[FleetHost]:
        """Hosts of the entry role."""
        return [host for host in self.hosts.values() if host.member.role is MemberRole.ENTRY]

    @property
    def agents(self) -> list[FleetHost]:
        """Hosts of the agent role."""
        return [host for host in self.hosts.values() if host.member.role is MemberRole.AGENT]

    async def start(self) -> None:
        """Start everything and wait until each process says that it is ready."""
        await self._start_stand_ins()
        for number in range(self.plan.entries):
            self._add_entry(number)
        targets = [(address, "") for address in self.engines] + list(self.plain.items())
        for number, (target, service) in enumerate(targets):
            self._add_agent(number, target, service)
        for host in self.hosts.values():
            await self.list_host(host)
        for host in self.hosts.values():
            await self.launch(host)
        await self.wait_ready(self.hosts.values())

    async def close(self) -> None:
        """End every process still running, and remove settings and logs."""
        running = [host.process for host in self.hosts.values() if host.process is not None]
        for process in running:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        for process in self._stand_ins:
            process.signal(signal.SIGCONT)
        await asyncio.gather(*(self._end(process) for process in running))
        for process in self._stand_ins:
            process.signal(signal.SIGTERM)
        await asyncio.gather(*(self._end(process) for process in self._stand_ins))
        await self.http.close()
        self._folder.cleanup()

    # ---- hosts ----

    async def launch(self, host: FleetHost) -> None:
        """Start the product's process on a host."""
        role = host.member.role.value
        command = ["-m", "lacewinggw", role, "--settings", str(host.settings_path)]
        host.process = await self._spawn(str(host.member.host), command)

    async def kill(self, host: FleetHost, unlist: bool = True) -> None:
        """Lose a host at once, as on power loss."""
        if host.process is not None:
            host.process.signal(signal.SIGKILL)
            await host.process.process.wait()
        if unlist:
            await self.unlist_host(host)

    async def terminate(self, host: FleetHost) -> None:
        """Ask a host's process to leave, and wait until it has."""
        if host.process is not None:
            host.process.signal(signal.SIGTERM)
            await host.process.process.wait()

    async def restart(self, host: FleetHost) -> None:
        """Start a fresh process, with nothing kept, at the same address."""
        await self.list_host(host)
        await self.launch(host)

    def pause(self, host: FleetHost) -> None:
        """Freeze a host's process."""
        if host.process is not None:
            host.process.signal(signal.SIGSTOP)

    def resume(self, host: FleetHost) -> None:
        """Let a frozen process go on."""
        if host.process is not None:
            host.process.signal(signal.SIGCONT)

    async def list_host(self, host: FleetHost) -> None:
        """Put a host on the platform's list."""
        await self._change_list("PUT", host, "", member_to_json(host.member))

    async def unlist_host(self, host: FleetHost) -> None:
        """Take a host off the platform's list."""
        await self._change_list("DELETE", host, "", None)

    async def set_leaving(self, host: FleetHost) -> None:
        """Mark a host as leaving on the platform's list."""
        await self._change_list("POST", host, "/leaving", None)

    async def wait_ready(self, hosts: Any, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until each host's /healthz says ready; raise `TimeoutError` naming the late ones."""
        waiting = list(hosts)
        deadline = asyncio.get_running_loop().time() + timeout_s
        while waiting:
            answers = await asyncio.gather(*(self._is_ready(host) for host in waiting))
            waiting = [host for host, ready in zip(waiting, answers, strict=True) if not ready]
            if waiting and asyncio.get_running_loop().time() > deadline:
                names = ", ".join(str(host.member.host) for host in waiting)
                raise TimeoutError(f"not ready after {timeout_s:g} s: {names}; see {self.folder}")
            if waiting:
                await asyncio.sleep(POLL_S)

    async def move_address(self, host: FleetHost, address: str) -> None:
        """List another peer address for a host, such as that of a relay before it."""
        host.member = replace(host.member, address=Address(address))
        await self.list_host(host)

    # ---- stand-ins ----

    async def control(self, address: Address | str, **values: Any) -> None:
        """Set faults of a stand-in."""
        await self._call(address, "POST", "/control", values)

    async def get(self, address: Address | str, path: str) -> Any:
        """Return what a stand-in tells at a path, as JSON."""
        return (await self._call(address, "GET", path)).json()

    async def put(self, address: Address | str, path: str, value: Any) -> None:
        """Put a value, as JSON, at a path of a stand-in."""
        await self._call(address, "PUT", path, value)

    async def stats(self, address: Address | str) -> dict[str, Any]:
        """Return a stand-in's counts."""
        response = await self._call(address, "GET", "/stats")
        found: dict[str, Any] = response.json()
        return found

    async def publish(
        self, name: str, size_bytes: int, chunk_bytes: int, seed: int = 0, **more: Any
    ) -> None:
        """Make a synthetic release at the origin and the weight store."""
        release = {
            "name": name,
            "size_bytes": size_bytes,
            "chunk_bytes": chunk_bytes,
            "seed": seed,
            **more,
        }
        for part in ("origin", "weight_store"):
            await self._call(self.platform[part], "POST", "/releases", release)

    # ---- operators and callers ----

    async def ask(self, words: str, entry: FleetHost | None = None) -> Any:
        """Give a command or query in the operators' language; return the JSON answer."""
        host = entry or self._running_entry()
        reads = words.split(maxsplit=1)[0] in READING_WORDS
        path = "/v1/query" if reads else "/v1/commands"
        headers = {**self.operator_headers, "content-type": "application/json"}
        body = json.dumps({"words": words}).encode()
        response = await self.http.request(
            host.member.operator_address, "POST", path, headers, body, timeout_s=ASK_TIMEOUT_S
        )
        if response.status >= 400:
            raise RuntimeError(f"{words!r} was answered {response.status}: {response.content!r}")
        return response.json()

    def caller_headers(self, account: str) -> dict[str, str]:
        """Return the headers by which a client account shows itself."""
        return {"authorization": f"Bearer {CALLER_TOKEN}-{account}"}

    # ---- internals ----

    def _running_entry(self) -> FleetHost:
        return next(host for host in self.entries if host.running)

    async def _start_stand_ins(self) -> None:
        plan = self.plan
        options = [
            f"--ip={self._block}.0.1",
            f"--seed={plan.seed}",
            f"--origin-rate={plan.origin_bytes_per_s}",
            f"--store-rate={plan.store_bytes_per_s}",
        ]
        told = await self._spawn_stand_in("platform", ["standins", *options])
        self.platform = told
        left = plan.engines
        while left > 0:
            count = min(left, plan.engines_per_process)
            await self._start_targets("engine", count)
            left -= count
        for service, count in plan.plain_services.items():
            for address in await self._start_targets("plain", count):
                self.plain[address] = service

    async def _start_targets(self, kind: str, count: int) -> list[Address]:
        number = len(self._stand_ins)
        options = [
            f"--ip={self._block}.0.{number + 1}",
            f"--kind={kind}",
            f"--count={count}",
            f"--seed={self.plan.seed + number * 1000}",
            f"--token-time={self.plan.token_s}",
            f"--batch={self.plan.batch_limit}",
        ]
        told = await self._spawn_stand_in(f"targets-{number}", ["targets", *options])
        addresses: list[Address] = told["targets"]
        if kind == "engine":
            self.engines.extend(addresses)
        return addresses

    async def _spawn_stand_in(self, name: str, options: list[str]) -> Any:
        started = await self._spawn(name, ["-m", "lacewinggw.lab.cli", *options], pipe=True)
        self._stand_ins.append(started)
        assert started.process.stdout is not None
        line = await asyncio.wait_for(started.process.stdout.readline(), READY_TIMEOUT_S)
        if not line:
            raise RuntimeError(f"{name} did not start: {started.log_path.read_text()[-2000:]}")
        return json.loads(line)

    async def _spawn(self, name: str, command: list[str], pipe: bool = False) -> LabProcess:
        log_path = self.folder / f"{name}.log"
        with log_path.open("ab") as log_file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *command,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE if pipe else log_file,
                stderr=log_file,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )
        return LabProcess(name, process, log_path)

    async def _end(self, process: LabProcess) -> None:
        try:
            await asyncio.wait_for(process.process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            process.signal(signal.SIGKILL)
            await process.process.wait()

    def _add_entry(self, number: int) -> None:
        ip = f"{self._block}.1.{number + 1}"
        host = HostId(f"entry-{number + 1}")
        member = self._member(host, MemberRole.ENTRY, ip, number)
        settings = self._base_settings(member)
        settings.entry.caller_listen = member.caller_address
        settings.entry.operator_listen = member.operator_address
        settings.entry.peer_listen = member.address
        settings.entry.operator_tokens = [f"lab:{OPERATOR_TOKEN}"]
        settings.entry.accounts = [self._declare(account) for account in self.plan.accounts]
        self._add_host(member, settings, ("process", "platform", "entry"))

    def _declare(self, account: str) -> str:
        rate = self.plan.account_limits.get(account, self.plan.account_rate)
        return f"{account}:{CALLER_TOKEN}-{account}:{rate}:{self.plan.account_concurrency}"

    def _add_agent(self, number: int, target: Address, service: str) -> None:
        ip = f"{self._block}.{2 + number // HOSTS_PER_BLOCK}.{number % HOSTS_PER_BLOCK + 1}"
        host = HostId(f"host-{number + 1:03}")
        member = self._member(host, MemberRole.AGENT, ip, number, service)
        settings = self._base_settings(member)
        settings.agent.peer_listen = member.address
        settings.agent.operator_listen = member.operator_address
        settings.agent.target = target
        settings.agent.target_kind = "plain" if service else "engine"
        settings.agent.service_name = service
        settings.agent.link_bytes_per_s = self.plan.link_bytes_per_s
        settings.agent.target_fences = bool(not service and number % 3 == 0)
        self._add_host(member, settings, ("process", "platform", "agent"), target)

    def _member(
        self, host: HostId, role: MemberRole, ip: str, number: int, service: str = ""
    ) -> Member:
        place = Place(self.plan.places[number % len(self.plan.places)])
        caller = Address(f"{ip}:{CALLER_PORT}") if role is MemberRole.ENTRY else Address("")
        return Member(
            host,
            place,
            role,
            Address(f"{ip}:{PEER_PORT}"),
            Address(f"{ip}:{OPERATOR_PORT}"),
            caller,
            service=ServiceName(service),
        )

    def _base_settings(self, member: Member) -> Settings:
        settings = default_settings()
        settings.process.host = member.host
        settings.process.place = member.place
        settings.process.fleet_key = FLEET_KEY
        for part, address in self.platform.items():
            setattr(settings.platform, part, address)
        for section, values in self.plan.overrides.items():
            for key, value in values.items():
                setattr(getattr(settings, section), key, value)
        return settings

    def _add_host(
        self,
        member: Member,
        settings: Settings,
        sections: Sequence[str],
        target: Address | None = None,
    ) -> None:
        for name in ("entry", "agent"):
            if name not in sections:
                setattr(settings, name, None)
        settings.operator = None  # type: ignore[assignment]
        path = self.folder / f"{member.host}.ini"
        path.write_text(write_settings(settings))
        self.hosts[member.host] = FleetHost(member, path, target or Address(""))

    async def _is_ready(self, host: FleetHost) -> bool:
        if host.process is not None and not host.process.running:
            log_text = host.process.log_path.read_text()[-3000:]
            raise RuntimeError(f"{host.member.host} ended by itself:\n{log_text}")
        try:
            answer = await self.http.request(
                host.member.operator_address, "GET", "/healthz", timeout_s=2.0
            )
        except (OSError, TimeoutError, HttpError):
            return False
        return answer.status == 200

    async def _change_list(self, method: str, host: FleetHost, suffix: str, body: Any) -> None:
        path = f"/hosts/{host.member.host}{suffix}"
        await self._call(self.platform["membership"], method, path, body)

    async def _call(
        self, address: Address | str, method: str, path: str, body: Any = None
    ) -> Response:
        data = b"" if body is None else json.dumps(body).encode()
        response = await self.http.request(address, method, path, None, data, timeout_s=10.0)
        if response.status >= 400:
            raise RuntimeError(f"{method} {path} was answered {response.status}")
        return response
