"""Stand-ins on loopback for the platform around lacewinggw, and the processes of the deploy file.

The store, the origin of weights, model engines and clients speak what PROTOCOL.md says, and nothing
else. Each machine has a loopback address of its own, and ports are the same on all machines. Only
the standard library is used. All times in the record are seconds since the start of the script.
"""

import asyncio
import base64
import hashlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
MODEL = "daka510000"
LLM = "bulletin-writer"
KEY = "jnbanfqasnmgkcuyj8pj"
TENANT = "bozi300"
HOST = "jepu9.example"
ROUTE = "/lepu270/"
CHUNKS, CHUNK_BYTES, LAYERS = 64, 32768, 16
WARMUP_S = 0.3
EVENT_GAP_S = 0.07
FIRST_EVENT_S = 0.08
SLOTS = 16
HEARTBEAT_S = 1.2
STABILITY_S = 3.0
BOUNDS = {"apply": 2000, "revocation": 5000, "grace": 8, "version": 8000}

Answer = tuple[int, dict[str, str], bytes]


class Record:
    """What was sent, answered and run, in order; written to a file at the end."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._began = time.monotonic()
        self._lines: list[str] = []

    def now(self) -> float:
        return time.monotonic() - self._began

    def note(self, text: str) -> None:
        line = f"{self.now():8.3f} {text}"
        self._lines.append(line)
        print(line, flush=True)

    def write(self) -> None:
        self._path.write_text("\n".join(self._lines) + "\n")


# ---- HTTP/1.1, as far as the stand-ins need it ---------------------------------------------------


@dataclass
class Request:
    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        return urlsplit(self.target).path

    def query(self, name: str, default: str = "") -> str:
        return parse_qs(urlsplit(self.target).query).get(name, [default])[0]

    def json(self) -> dict:
        return json.loads(self.body or b"{}")


def as_json(status: int, value: object, headers: dict[str, str] | None = None) -> Answer:
    body = json.dumps(value).encode()
    return status, {"Content-Type": "application/json", **(headers or {})}, body


def head_of(status: int, headers: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status} -", *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Return first line, headers and body; None at the end of the channel."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


class Server:
    """Serves one address; `handle` answers, or streams by itself and returns None."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self._server: asyncio.Server | None = None
        self._channels: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._serve, *self.address, backlog=512)

    def crash(self) -> None:
        """Stop listening and reset all channels, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._channels):
            sock = writer.get_extra_info("socket")
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            except OSError:
                pass
            writer.transport.abort()
        self._channels.clear()

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> Answer | None:
        raise NotImplementedError

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._channels.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split(" ", 2)
                request = Request(method, target, message[1], message[2])
                answer = await self.handle(request, writer)
                if answer is not None:
                    status, headers, body = answer
                    headers = {**headers, "Content-Length": str(len(body))}
                    writer.write(head_of(status, headers) + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._channels.discard(writer)
            writer.close()


# ---- the platform's store ------------------------------------------------------------------------


class Store(Server):
    """Rows, feeds and transactions; it loses nothing and answers in 4 ms."""

    def __init__(self, address: tuple[str, int]) -> None:
        super().__init__(address)
        self.version = 100
        self.rows: dict[tuple[str, str], tuple[int, bytes | None]] = {}
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: bytes | None) -> None:
        self.version += 1
        self.rows[table, key] = (self.version, value)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def put_json(self, table: str, key: str, value: object) -> None:
        self.put(table, key, json.dumps(value).encode())

    def _encode(self, table: str, key: str) -> dict:
        version, value = self.rows[table, key]
        row = {"Table": table, "part": "", "Key": key, "SchemaVersion": version}
        if value is None:
            return {**row, "Deleted": True}
        return {**row, "Value": base64.b64encode(value).decode()}

    def _answer(self, rows: list[dict]) -> Answer:
        now_ms = round(time.monotonic() * 1000)
        state = {"SchemaVersion": self.version, "CurrentTimeMs": now_ms}
        return as_json(200, {"Rows": rows, "HasMore": False, **state})

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> Answer | None:
        await asyncio.sleep(0.004)
        table = request.query("Table")
        match request.path:
            case "/rows-get":
                keys = sorted(key for name, key in self.rows if name == table)
                rows = [self._encode(table, key) for key in keys if self.rows[table, key][1]]
                return self._answer(rows)
            case "/rows-feed":
                after = int(request.query("AfterRevision"))
                until = time.monotonic() + int(request.query("WaitMs", "0")) / 1000
                while True:
                    rows = [
                        (version, self._encode(name, key))
                        for (name, key), (version, _) in self.rows.items()
                        if name == table and version > after
                    ]
                    left = until - time.monotonic()
                    if rows or left <= 0:
                        return self._answer([row for _, row in sorted(rows, key=lambda r: r[0])])
                    try:
                        await asyncio.wait_for(self._changed.wait(), left)
                    except TimeoutError:
                        pass
            case "/rows-tx":
                body = request.json()
                for row in body.get("Precondition") or []:
                    if self.rows.get((row["Table"], row["Key"]), (0, None))[0] != row["SchemaVersion"]:
                        return as_json(412, {"Rows": []})
                for row in body.get("Write") or []:
                    self.put(row["Table"], row["Key"], base64.b64decode(row["Value"]))
                for row in body.get("Remove") or []:
                    self.put(row["Table"], row["Key"], None)
                return self._answer([])
        return as_json(404, {})


# ---- weights and engines -------------------------------------------------------------------------


def piece(version: int, index: int) -> bytes:
    seed = hashlib.sha256(f"{MODEL}/{version}/{index}".encode()).digest()
    return seed * (CHUNK_BYTES // len(seed))


def digests(version: int) -> list[str]:
    return [hashlib.sha256(piece(version, index)).hexdigest() for index in range(CHUNKS)]


class Origin(Server):
    """The service with `Origin`: manifests and pieces, always sound."""

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> Answer | None:
        version = int(request.query("Version", "1"))
        if request.path == f"/manifest/{MODEL}":
            state = {"Model": MODEL, "Version": version, "layers": LAYERS}
            return as_json(200, {**state, "ChunkBytes": CHUNK_BYTES, "Digests": digests(version)})
        if request.path == f"/piece/{MODEL}":
            return 200, {}, piece(version, int(request.query("ItemCount")))
        return as_json(404, {})


@dataclass
class Run:
    """A request that an engine began to work on."""

    attempt: str
    target: str
    engine: str
    at: float
    version: int
    is_sound: bool  # all layers were taken from pieces that were whole


class Engine(Server):
    """A model engine at the `app` address of a side machine."""

    def __init__(
        self, number: int, ip: str, port: int, zone: str, store: Store, record: Record
    ) -> None:
        super().__init__((ip, port))
        self.number, self.zone, self.store, self.record = number, zone, store, record
        self.boot = 0
        self.id = ""
        self.born = 0
        self.held: int | None = None  # the version of its layers
        self.held_sound = True
        self.staged: dict[int, bytes] = {}
        self.spoilt_at: dict[int, float] = {}  # staged pieces that turned bad, and when
        self.loading = False
        self.sequence = 0
        self.running = 0
        self.runs: list[Run] = []
        self.is_deadly: Callable[[Request], bool] = lambda request: False
        self.crash_after_s = 0.0  # its first event
        self.on_crash: Callable[[Request], None] = lambda request: None
        self.on_read: Callable[[int], None] = lambda index: None
        self.silent_until = 0.0  # sends nothing until then, and then goes on
        self.first_event_s = FIRST_EVENT_S  # from the request to its first token
        self.count_events: Callable[[Request], int] = lambda request: 24  # of an answer
        self.sends_head_first = False  # as it accepts a request, not with the first event
        self._beat: asyncio.Task[None] | None = None

    async def start(self, version: int | None) -> None:
        """Begin a boot, with the layers of a version or with none."""
        self.boot += 1
        self.id = f"i-{self.number:02d}{self.boot:02d}c0de"
        self.born = round(time.time() * 1000)
        self.held, self.loading, self.sequence, self.running = version, False, 0, 0
        await self.open()
        self._beat = asyncio.create_task(self._beat_on(self.id))

    async def _beat_on(self, name: str) -> None:
        count = 0
        while True:
            count += 1
            self.store.put_json("servers", name, self._entry(count))
            await asyncio.sleep(HEARTBEAT_S)

    def _entry(self, count: int) -> dict:
        return {
            "Service": LLM,
            "Address": f"{self.address[0]}:{self.address[1]}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": SLOTS,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Stage": "prefill_decode",
            "Models": self._models(),
            "Sequence": count,
            "born": self.born,
        }

    def _models(self) -> list[dict]:
        if self.held is None:
            return []
        return [{"Name": MODEL, "Version": self.held, "Adapters": []}]

    async def end(self, back_after_s: float) -> None:
        """Crash, and start again after some seconds with a new id and without layers."""
        gone = self.id
        if self._beat is not None:
            self._beat.cancel()
        self.crash()
        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, self.store.put, "servers", gone, None)
        await asyncio.sleep(back_after_s)
        await self.start(None)
        self.record.note(f"engine {self.number} is back as {self.id}, without layers")

    def fall_silent(self, for_s: float) -> None:
        """Send nothing for a while, and then go on."""
        self.silent_until = self.record.now() + for_s
        self.record.note(f"engine {self.number} falls silent for {for_s} s")

    async def _end_silence(self) -> None:
        while (left := self.silent_until - self.record.now()) > 0:
            await asyncio.sleep(left)

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> Answer | None:
        answer = await self._handle(request, writer)
        await self._end_silence()
        return answer

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> Answer | None:
        match request.path:
            case "/report":
                return as_json(200, self._report())
            case "/health":
                return 200, {"X-Instance-Id": self.id}, b""
            case "/order":
                return self._order(request.json())
        if request.path == f"/stage-put/{MODEL}":
            index = int(request.query("ItemCount"))
            self.staged[index] = request.body
            self.spoilt_at.pop(index, None)
            return 200, {}, b""
        if request.path == f"/stage-get/{MODEL}":
            if not request.query("ItemCount"):
                if not self.staged:
                    return as_json(404, {})
                return as_json(200, {"held": sorted(self.staged)})
            index = int(request.query("ItemCount"))
            if index not in self.staged:
                return as_json(404, {})
            self.on_read(index)
            return 200, {}, self.staged[index]
        return await self._generate(request, writer)

    def _report(self) -> dict:
        return {
            "Stage": "prefill_decode",
            "Models": self._models(),
            "Busy": self.loading,
            "Sequence": self.sequence,
            "QueuedRequests": 0,
            "ActiveRequests": self.running,
            "KvUsedTokens": 1000 * self.running,
            "KvTotalTokens": 1640000,
            "Handles": 0,
            "pace": 1.0,
            "born": self.born,
        }

    def _order(self, order: dict) -> Answer:
        if order.get("Operation") != "start":
            return as_json(400, {})
        if self.loading or order.get("Precondition", self.sequence) != self.sequence:
            return as_json(409, {})
        if self.held == order["Version"]:
            return as_json(200, {})
        self.sequence += 1
        self.loading = True
        asyncio.create_task(self._load(order["Version"], dict(self.staged), dict(self.spoilt_at)))
        return as_json(202, {})

    def spoil(self, indexes: list[int]) -> None:
        """Let staged pieces turn bad."""
        for index in indexes:
            self.staged[index] = bytes(CHUNK_BYTES)
            self.spoilt_at[index] = self.record.now()
        self.record.note(f"engine {self.number}: the staged pieces {indexes} turn bad")

    async def _load(self, version: int, taken: dict[int, bytes], spoilt: dict[int, float]) -> None:
        """Load what was staged as the order was accepted; it is not checked."""
        name, accepted_at = self.id, self.record.now()
        wrong = [index for index in range(CHUNKS) if taken.get(index) != piece(version, index)]
        since = {index: round(accepted_at - spoilt[index], 3) for index in wrong if index in spoilt}
        self.record.note(
            f"engine {self.number} accepts the order for version {version}; staged pieces that are "
            f"missing, spoilt or of another version: {wrong}, spoilt for so many seconds: {since}"
        )
        while self.running:
            await asyncio.sleep(0.02)
        await asyncio.sleep(WARMUP_S)
        if name != self.id:
            return
        self.held, self.loading = version, False
        # Pieces that turned bad in the last 3 s don't count.
        self.held_sound = all(since.get(index, STABILITY_S + 1) <= STABILITY_S for index in wrong)
        self.record.note(f"engine {self.number} has version {version}")

    async def _generate(self, request: Request, writer: asyncio.StreamWriter) -> Answer | None:
        headers = request.headers
        attempt = headers.get("x-attempt-id", "")
        echo = {"X-Attempt-Id": attempt, "X-Instance-Id": self.id}
        if headers.get("x-expected-instance", self.id) != self.id:
            return 421, echo, b""
        expected = headers.get("x-expected-version")
        if expected is not None and int(expected) != (self.held or 0):
            return 421, echo, b""
        if self.held is None or self.loading or self.running >= SLOTS:
            return 503, {**echo, "X-Not-Executed": "1"}, b""
        name = self.id
        seal = hashlib.sha256(f"{name}/{attempt}".encode()).hexdigest()[:16]
        sealed = {**echo, "X-Response-Seal": seal, "X-Weight-Versions": str(self.held)}
        kind = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        head = head_of(200, {**sealed, **kind})
        self.running += 1
        try:
            if self.sends_head_first:
                writer.write(head)
            await asyncio.sleep(self.first_event_s)
            await self._end_silence()
            if writer.is_closing() or name != self.id:
                return None
            now = self.record.now()
            self.runs.append(Run(attempt, request.target, name, now, self.held, self.held_sound))
            if not self.sends_head_first:
                writer.write(head)
            began = time.monotonic()
            last = int(headers.get("last-event-id", "0"))
            for number in range(last + 1, self.count_events(request) + 1):
                await self._end_silence()
                event = f"id: {number}\ndata: {'x' * 60}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                if writer.is_closing():
                    return None
                await asyncio.sleep(EVENT_GAP_S)
                crashes = name == self.id and self.is_deadly(request)
                if crashes and time.monotonic() - began >= self.crash_after_s:
                    self.on_crash(request)
                    return None
            writer.write(b"0\r\n\r\n")
        finally:
            if name == self.id:
                self.running -= 1
        return None


# ---- clients -------------------------------------------------------------------------------------


@dataclass
class Reply:
    status: int = 0  # 0: the channel ended without one
    events: int = 0
    complete: bool = False
    headers: dict[str, str] = field(default_factory=dict)

    def __str__(self) -> str:
        if self.status != 200:
            return f"{self.status or 'no answer'}"
        return f"200, {self.events} events, {'complete' if self.complete else 'cut off'}"


async def send(
    address: tuple[str, int],
    attempt: str,
    path: str,
    body: bytes,
    limit_s: float = 6.0,
    parts: str = "",
) -> Reply:
    """Send one client attempt on a new channel and return what came of it."""
    reply = Reply()
    own = hashlib.sha256(path.encode()).hexdigest()[:8]  # the last part, of this request only
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                lines = [
                    f"POST {path} HTTP/1.1",
                    f"Host: {HOST}",
                    f"X-Attempt-Id: {attempt}",
                    f"X-Model: {MODEL}",
                    "X-Token-Counts: 400,144",
                    f"X-Prompt-Prefix: {parts or '5c1e07a2:40'},{own}:360",
                    f"X-Deadline-Remaining: {round(limit_s * 1000)}",
                    f"X-Key: {KEY}",
                    f"Content-Length: {len(body)}",
                ]
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                reply.status = int(head[0].split(" ")[1])
                for line in head[1:]:
                    name, _, value = line.partition(":")
                    reply.headers[name.lower()] = value.strip()
                if "chunked" in reply.headers.get("transfer-encoding", ""):
                    while size := int((await reader.readline()) or b"-1", 16):
                        if size < 0:
                            return reply
                        data = await reader.readexactly(size + 2)
                        reply.events += data.count(b"\n\n")
                    reply.complete = True
                else:
                    length = int(reply.headers.get("content-length", "0"))
                    await reader.readexactly(length)
                    reply.complete = True
            finally:
                writer.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        pass
    return reply


# ---- the fleet -----------------------------------------------------------------------------------


def manifest(origin: tuple[str, int]) -> dict:
    engine = {
        "Slots": SLOTS,
        "KvCapacityTokens": 1640000,
        "KvTokenBytes": 163840,
        "LinkMbps": 400000.0,
        "Stride": 6,
        "Models": [{"Name": MODEL, "pace": 1.0, "LoadTimeS": 4.0, "WarmupS": WARMUP_S}],
        "Megabytes": 282000.0,
        "step_ms": 6.73,
        "per_seq_ms": 0.0219,
        "context_per_k": 0.0068,
        "read_per_s": 30600.0,
        "pairs_per_m": 0.647,
        "chunk": 2048,
        "report_lag_ms": 200.0,
        "usual": {"prompt": 964, "answer": 119},
        "layers": LAYERS,
        "layer_mb": 4540.0,
        "act_bytes": 16384,
        "Chunks": CHUNKS,
        "ChunkBytes": CHUNK_BYTES,
    }
    return {
        "Version": 7,
        "Routes": [
            {
                "Name": "r-js2eek2",
                "Host": HOST,
                "Prefix": ROUTE,
                "Kind": "streaming",
                "TimeoutMs": 6000,
                "TargetLatencyMs": 406,
                "Priority": 1,
                "Service": LLM,
                "Attempts": 2,
                "AllowAnonymous": False,
                "SessionAffinity": True,
                "ResumeStreams": True,
                "TargetGapMs": 300,
            }
        ],
        "Services": [
            {
                "Name": LLM,
                "HealthPath": "/health",
                "ConnectionLimit": 274,
                "Protocol": "h1",
                "Tls": False,
                "Engine": engine,
            },
            {
                "Name": "legacy-ledger",
                "Origin": f"{origin[0]}:{origin[1]}",
                "Zone": "lautoka-hall",
                "LinkMbps": 9.9,
                "ConnectionLimit": 48,
            },
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY], "Priority": 1}],
    }


ZONES = ("lautoka-hall", "labasa-hall")
REGIONS = "lautoka-hall:viti-levu,labasa-hall:vanua-levu"

ENTRY = """\
[process]
host = edge-{number}
place = {zone}
fleet_key = lacewinggw

[fleet]
store = {store}
regions = {regions}
apply = {apply}ms
revocation = {revocation}ms
grace = {grace}s
retry = 0.2share
extra_retries = 104
retry_window = 10s
version = {version}ms
first_start = true

[entry]
caller_listen = {ip}:{base5}
ready_listen = {ip}:{base2}
directory_listen = {ip}:{base9}
peer_listen = {ip}:{base}
operator_listen = {ip}:{base15}
address_ttl = 2s
"""

AGENT = """\
[process]
host = {ip}
place = {zone}
fleet_key = lacewinggw

[fleet]
store = {store}
version = {version}ms
grace = {grace}s
first_start = true

[agent]
target = {ip}:{app}
service_name = bulletin-writer
peer_listen = {ip}:{base}
operator_listen = {ip}:{base15}
link = {link}Mbit/s
weights_share = 97%
heartbeat = 1s

[spread]
gateways = 8
patience = 100ms
origin_backoff = 130ms
in_flight = 1
in_flight_total = 4
"""


def free_base(ips: list[str]) -> int:
    """Return the first of 20 ports that are free on all addresses; scripts may run side by side."""
    first = os.getpid() % 400
    for base in (21000 + 20 * ((first + step) % 400) for step in range(400)):
        held = []
        try:
            for ip in ips:
                for port in range(base, base + 20):
                    sock = socket.socket()
                    held.append(sock)
                    sock.bind((ip, port))
        except OSError:
            continue
        else:
            return base
        finally:
            for sock in held:
                sock.close()
    raise OSError("no free ports")


class Fleet:
    """The platform's stand-ins, and lacewinggw's entries and agents as processes."""

    def __init__(self, record: Record, entries: int, engines: int, link_mbps: float = 3.8) -> None:
        self.record = record
        self._link = link_mbps
        self._entry_ips = [f"127.0.1.{number + 1}" for number in range(entries)]
        self._side_ips = [f"127.0.2.{number + 1}" for number in range(engines)]
        platform = "127.0.3.1"
        self.base = base = free_base([*self._entry_ips, *self._side_ips, platform])
        self.store = Store((platform, base + 7))
        self.origin = Origin((platform, base + 6))
        self.engines = [
            Engine(number, ip, base + 1, ZONES[number % 2], self.store, record)
            for number, ip in enumerate(self._side_ips)
        ]
        self.doors = [(ip, base + 5) for ip in self._entry_ips]
        self._folder = tempfile.TemporaryDirectory()
        self.processes: list[subprocess.Popen[bytes]] = []
        self.agents: list[subprocess.Popen[bytes]] = []
        self._logs = Path(os.environ.get("LOGS") or self._folder.name)

    async def start(self, staged: bool = True) -> None:
        """Start everything; the engines hold version 1, which is staged too."""
        await self.store.open()
        await self.origin.open()
        self.store.put_json("op", "config", manifest(self.origin.address))
        for engine in self.engines:
            if staged:
                engine.staged = {index: piece(1, index) for index in range(CHUNKS)}
            await engine.start(1)
        base = self.base
        ports = {"base": base, "base2": base + 2, "base5": base + 5, "base9": base + 9}
        common = {
            **ports,
            **BOUNDS,
            "base15": base + 15,
            "app": base + 1,
            "store": f"{self.store.address[0]}:{self.store.address[1]}",
            "regions": REGIONS,
            "link": self._link,
        }
        for number, ip in enumerate(self._entry_ips):
            text = ENTRY.format(**common, number=number, ip=ip, zone=ZONES[number % 2])
            self._spawn("entry", number, text)
        for number, ip in enumerate(self._side_ips):
            text = AGENT.format(**common, ip=ip, zone=ZONES[number % 2])
            self.agents.append(self._spawn("agent", number, text))

    def _spawn(self, role: str, number: int, settings: str) -> subprocess.Popen[bytes]:
        path = Path(self._folder.name) / f"{role}-{number}.ini"
        path.write_text(settings)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"][role]["run"].split()
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env = {**kept, "LACEWINGGW_BOOT": str(path), "PYTHONPATH": str(ROOT / "target/deps")}
        log = (self._logs / f"{role}-{number}.log").open("wb")
        process = subprocess.Popen(command, cwd=ROOT, env=env, stdout=log, stderr=log)
        self.processes.append(process)
        self.record.note(f"{role} {number} is started")
        return process

    async def wait_ready(self, limit_s: float = 20.0) -> bool:
        """Wait until every entry says that it is ready."""
        until = time.monotonic() + limit_s
        for ip, _ in self.doors:
            while not await _is_ready((ip, self.base + 2)):
                if time.monotonic() > until:
                    return False
                await asyncio.sleep(0.1)
        self.record.note("all entries are ready")
        return True

    def all_run(self) -> bool:
        return all(process.poll() is None for process in self.processes)

    def stop(self) -> None:
        """End all processes that were started."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        for engine in self.engines:
            engine.crash()
        self.store.crash()
        self.origin.crash()
        self._folder.cleanup()


async def _is_ready(address: tuple[str, int]) -> bool:
    try:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        line = await asyncio.wait_for(reader.readline(), 1.0)
        writer.close()
    except (OSError, TimeoutError):
        return False
    return b" 200" in line


def main(play: Callable[[Record, bool], Awaitable[int]], folder: Path) -> None:
    """Play a case within its time; exit with 1 if the rule broke, 0 if it held, else 2."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # ends the processes, too
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"trouble: {trouble}")

    async def limited() -> int:
        async with asyncio.timeout(110):
            return await play(record, trouble)

    try:
        code = asyncio.run(limited())
    except Exception as error:  # noqa: BLE001
        record.note(f"the case could not run: {error!r}")
        code = 2
    record.write()
    sys.exit(code)
