"""A complete declared fleet in one event loop: platform stand-ins, entries and agents."""

import asyncio
import random
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import h11
from lacewinggw_platform.engine import PlatformEngine
from lacewinggw_platform.fleet import decode_routes
from lacewinggw_platform.heads import PlatformCallCodec
from lacewinggw_platform.origin import PlatformOrigin
from lacewinggw_platform.pages import directory_page, ready_page
from lacewinggw_platform.store import PlatformStore
from platform_standins import (
    DESK,
    KEY,
    LLM,
    STORE,
    OriginStandIn,
    StoreStandIn,
    TargetStandIn,
    manifest,
    target_row,
)

from lacewinggw.frontend.process import FrontendAdapter, FrontendProcess
from lacewinggw.generated.settings.ttypes import Settings
from lacewinggw.lab.memory import MemoryNetwork
from lacewinggw.loader.process import LoaderAdapter, LoaderProcess
from lacewinggw.settings import default_settings
from lacewinggw.wire.http import HttpClient
from lacewinggw.wire.network import Network, Stream

SETTLE_S = 1.0
LINK_BYTES_PER_S = 475_000


@dataclass
class Reply:
    """The answer that a caller received; `whole` is true if it was complete."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False


class DeclaredFleet:
    """Entries, agents and stand-ins; times are by the virtual event loop."""

    link_bytes_per_s = LINK_BYTES_PER_S  # of agents
    is_first_start = True  # of the entries that are added
    target_type: type[TargetStandIn] = TargetStandIn

    def __init__(self) -> None:
        self.network = MemoryNetwork()
        self.store = StoreStandIn(self.network.view("10.9.0.1"))
        self.origin = OriginStandIn(self.network.view("10.9.0.2"))
        self.entries: list[FrontendProcess] = []
        self.agents: dict[str, LoaderProcess] = {}
        self.targets: dict[str, TargetStandIn] = {}
        self._closers = []

    async def start(self) -> None:
        await self.store.start()
        await self.origin.start()
        self.store.put("op", "config", manifest(2))

    async def close(self) -> None:
        for process in [*self.entries, *self.agents.values()]:
            await process.close()
        for target in self.targets.values():
            await target.close()
        await self.origin.close()
        await self.store.close()
        for close in self._closers:
            await close()

    async def add_target(self, name: str, service: str, ip: str, **row: object) -> TargetStandIn:
        target = self.target_type(self.network.view(ip), f"i-{name}", f"{ip}:8080")
        await target.start()
        self.targets[name] = target
        self._list(target, service, row)
        target.on_start = lambda: self._list(target, service, row)
        return target

    def _list(self, target: TargetStandIn, service: str, row: dict[str, object]) -> None:
        """List the current incarnation of a target and remove the previous one."""
        number = len(target.ended_at)
        if number:
            name = target.target_id.partition(".")[0]
            self.store.put("servers", f"{name}.{number - 1}" if number > 1 else name, None)
        born = {} if "born" in row else {"born": target.born_ms}
        listed = target_row(service, target.address, **row, **born)
        self.store.put("servers", target.target_id, listed)

    async def add_entry(self, number: int = 1, place: str = "hall") -> FrontendProcess:
        ip = f"10.1.0.{number}"
        settings = self._settings(f"entry-{number}", place)
        entry = settings.entry
        entry.caller_listen, entry.operator_listen = f"{ip}:8005", f"{ip}:7715"
        entry.ready_listen, entry.directory_listen = f"{ip}:8002", f"{ip}:8009"
        entry.peer_listen, entry.address_ttl_ms = f"{ip}:7700", 2000
        settings.fleet.first_start = self.is_first_start
        network = self.entry_network(ip)
        store = PlatformStore(self._client(network), STORE)
        heads = PlatformCallCodec()
        adapter = FrontendAdapter(store, store, heads, ready_page, directory_page, decode_routes)
        rng = random.Random(self.entry_seed(number))
        process = FrontendProcess(settings, adapter, network, _loop_time, rng)
        await process.start()
        self.entries.append(process)
        return process

    def entry_network(self, ip: str) -> Network:
        """Return the network as an entry sees it."""
        return self.network.view(ip)

    def entry_seed(self, number: int) -> int | str:
        """Return the seed of an entry's random generator."""
        return number

    async def add_agent(self, name: str, place: str = "hall") -> LoaderProcess:
        target = self.targets[name]
        ip = target.address.rpartition(":")[0]
        settings = self._settings(ip, place)
        agent = settings.agent
        agent.target, agent.service_name = target.address, LLM
        agent.peer_listen, agent.operator_listen = f"{ip}:7700", f"{ip}:7715"
        agent.link_bytes_per_s = self.link_bytes_per_s
        network = self.network.view(ip)
        client = self._client(network)
        adapter = LoaderAdapter(
            PlatformStore(client, STORE),
            PlatformEngine(client, target.address),
            lambda address: PlatformOrigin(self._client(network, 0), address),
        )
        process = LoaderProcess(settings, adapter, network, _loop_time, random.Random(name))
        await process.start()
        self.agents[name] = process
        return process

    def _client(self, network: Network, idle: int = 32) -> HttpClient:
        client = HttpClient(network, idle_connections=idle)
        self._closers.append(client.close)
        return client

    def _settings(self, host: str, place: str) -> Settings:
        settings = default_settings()
        settings.process.host, settings.process.place = host, place
        settings.process.fleet_key = "fleet"
        settings.fleet.regions = ["hall:north", "room:south"]
        settings.fleet.version_ms = 8000
        settings.spread.patience_ms = 100
        return settings

    # ---- callers --------------------------------------------------------------------------

    async def ask(
        self,
        path: str,
        method: str = "POST",
        entry: int = 0,
        left_ms: int = 6000,
        leave_after_s: float | None = None,
        body: bytes = b"",
        **headers: str,
    ) -> Reply:
        """Send a request to an entry on a new connection; disconnect after `leave_after_s`."""
        fields = {
            "Host": "notes.example",
            "X-Attempt-Id": f"attempt-{random.random()}",
            "X-Deadline-Remaining": str(left_ms),
            "X-Key": KEY,
            "Content-Length": str(len(body)),
        }
        fields.update({name.replace("_", "-"): value for name, value in headers.items()})
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items() if value)
        sent = f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body
        return await self.send(sent, entry, leave_after_s)

    async def send(self, sent: bytes, entry: int = 0, leave_after_s: float | None = None) -> Reply:
        """Send bytes to an entry and return the answer, complete or not."""
        address = f"10.1.0.{entry + 1}:8005"
        stream = await self.network.view("10.200.0.1").connect(address)
        stream.write(sent)
        return await self.receive(stream, leave_after_s)

    async def receive(self, stream: Stream, leave_after_s: float | None = None) -> Reply:
        """Return the answer to a request that was sent, complete or not, and disconnect."""
        return await receive_reply(stream, leave_after_s)

    async def get(self, address: str, path: str) -> tuple[int, bytes]:
        """Return the status and body of one of the platform's pages."""
        client = HttpClient(self.network.view("10.200.0.2"), idle_connections=0)
        response = await client.request(address, "GET", path)
        return response.status, response.content


async def receive_reply(stream: Stream, leave_after_s: float | None = None) -> Reply:
    """Return the answer to a request that was sent, complete or not, and disconnect."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    connection.send(h11.EndOfMessage())
    reply = Reply(0)
    try:
        async with asyncio.timeout(leave_after_s):
            await _read_reply(stream, connection, reply)
    except (TimeoutError, OSError, h11.RemoteProtocolError):
        pass
    finally:
        stream.close()
    return reply


async def _read_reply(stream, connection: h11.Connection, reply: Reply) -> None:
    while True:
        event = connection.next_event()
        match event:
            case h11.NEED_DATA:
                connection.receive_data(await stream.read(1 << 16))
            case h11.Response():
                reply.status = event.status_code
                reply.headers = {
                    name.decode(): value.decode("latin-1") for name, value in event.headers
                }
            case h11.Data():
                reply.body += bytes(event.data)
            case h11.EndOfMessage():
                reply.whole = True
                return
            case h11.ConnectionClosed():
                return


def _loop_time() -> float:
    return asyncio.get_running_loop().time()


def store_reads(topic: str, process: FrontendProcess | LoaderProcess) -> float:
    """Return how often a process has read a topic from the store."""
    wanted = f'lacewinggw_store_reads_total{{topic="{topic}"}}'
    lines = [line for line in process.metrics.render().splitlines() if line.startswith(wanted)]
    assert lines, f"nothing is counted as {wanted}"
    return sum(float(line.rpartition(" ")[2]) for line in lines)


@asynccontextmanager
async def running_fleet(desks: int = 2, engines: int = 2, entries: int = 1):
    """Run a fleet whose targets have the first version of the weights."""
    fleet = DeclaredFleet()
    await fleet.start()
    try:
        for number in range(desks):
            await fleet.add_target(f"desk{number}", DESK, f"10.3.0.{number + 1}")
        for number in range(engines):
            await fleet.add_target(f"engine{number}", LLM, f"10.2.0.{number + 1}")
        for number in range(entries):
            await fleet.add_entry(number + 1)
        await asyncio.sleep(SETTLE_S)
        yield fleet
    finally:
        await fleet.close()
