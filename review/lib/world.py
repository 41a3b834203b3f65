"""A small deployment on loopback addresses: the project's processes, and stand-ins around them.

The stand-ins are the platform (starts, signals and settings of processes), its store, model
engines, a plain service and the origin of weights, as the users' pages describe them. They use the
standard library only. Everything that they see goes into a record with the time since the start.
"""

import asyncio
import base64
import contextlib
import hashlib
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl

REPOSITORY = Path(__file__).resolve().parents[2]
BEATS_MS = 1200
READ_BYTES = 1 << 16

# ---- record -------------------------------------------------------------------------------------


class Record:
    """Lines of what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path, began: float | None = None) -> None:
        """Begin a record, or with `began` continue that of another process."""
        self.path, self.began = path, time.monotonic() if began is None else began
        if began is None:
            path.write_text("")
        self._file = path.open("a")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began

    def __call__(self, text: str) -> None:
        """Add a line."""
        self._file.write(f"{self.now():9.3f}  {text}\n")
        self._file.flush()


# ---- HTTP ---------------------------------------------------------------------------------------


@dataclass
class Request:
    """A request as received; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The decoded query."""
        return dict(parse_qsl(self.target.partition("?")[2]))


class Channel:
    """One channel of a caller; a handler writes the answer to it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.must_close = False

    def write(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)

    def answer(self, status: int, headers: dict[str, str], body: bytes = b"") -> None:
        """Send a complete answer with a length."""
        fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        head = f"HTTP/1.1 {status} X\r\n{fields}Content-Length: {len(body)}\r\n\r\n"
        self.writer.write(head.encode("latin-1") + body)

    def answer_json(self, status: int, value: Any, headers: dict[str, str] | None = None) -> None:
        """Send a JSON answer."""
        fields = {"Content-Type": "application/json", **(headers or {})}
        self.answer(status, fields, json.dumps(value).encode())

    def reset(self) -> None:
        """Reset the channel."""
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        with contextlib.suppress(OSError):
            sock = self.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.writer.transport.abort()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return first, headers


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return a chunked body."""
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readline()
    return body


Handler = Callable[[Request, Channel], Awaitable[None]]


class Server:
    """An HTTP/1.1 server that passes each request to a handler."""

    def __init__(self, address: str, handler: Handler) -> None:
        self.address = address
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._channels: set[Channel] = set()

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), backlog=512)

    async def stop(self, reset: bool = True) -> None:
        """Stop listening and end all channels, as a process that ends does."""
        assert self._server is not None
        self._server.close()
        for channel in list(self._channels):
            if reset:
                channel.reset()
            else:
                channel.writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        channel = Channel(reader, writer)
        self._channels.add(channel)
        try:
            while not channel.must_close:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = b""
                if "chunked" in headers.get("transfer-encoding", ""):
                    body = await read_chunks(reader)
                elif "content-length" in headers:
                    body = await reader.readexactly(int(headers["content-length"]))
                await self._handler(Request(method, target, headers, body), channel)
                await writer.drain()
        except (OSError, EOFError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self._channels.discard(channel)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()


@dataclass
class Answer:
    """What a client got: `status` 0 and `complete` false if the channel ended without a head."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    limit_s: float = 10.0,
    gap_s: float = 60.0,
) -> Answer:
    """Make one request on a channel of its own and return what came back within the limit.

    A stream is abandoned after a gap of `gap_s`.
    """
    answer = Answer(0)
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            host, _, port = address.rpartition(":")
            async with asyncio.timeout(min(1.0, limit_s)):
                reader, writer = await asyncio.open_connection(host, int(port))
            fields = {**headers, "Content-Length": str(len(body))} if body else headers
            lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode("latin-1") + body)
            first, answer.headers = await read_head(reader)
            answer.status = int(first.split(" ")[1])
            if "chunked" in answer.headers.get("transfer-encoding", ""):
                while size := int((await asyncio.wait_for(reader.readline(), gap_s)), 16):
                    answer.body += await reader.readexactly(size)
                    await reader.readexactly(2)
                await reader.readline()
                answer.complete = True
            elif "content-length" in answer.headers:
                answer.body = await reader.readexactly(int(answer.headers["content-length"]))
                answer.complete = True
            else:
                answer.body = await reader.read()
                answer.complete = True
    except (OSError, EOFError, TimeoutError, ValueError, IndexError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


# ---- the platform's store -----------------------------------------------------------------------


@dataclass
class Row:
    """A row of a table; `value` is None once it is removed."""

    table: str
    key: str
    value: bytes | None
    version: int


class Store:
    """The store of tables: reads, feeds and transactions."""

    def __init__(self, address: str, record: Record) -> None:
        self.server = Server(address, self._handle)
        self.record = record
        self._rows: dict[tuple[str, str], Row] = {}
        self._version = 1
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row, or remove it with None."""
        self._version += 1
        data = None if value is None else json.dumps(value).encode()
        self._rows[table, key] = Row(table, key, data, self._version)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle(self, request: Request, channel: Channel) -> None:
        await asyncio.sleep(0.004)
        query = request.query
        match request.path:
            case "/rows-get":
                rows = [row for row in self._of(query["Table"]) if row.value is not None]
                self._send(channel, rows)
            case "/rows-feed":
                end = time.monotonic() + int(query["WaitMs"]) / 1000
                after = int(query["AfterRevision"])
                while not (rows := [r for r in self._of(query["Table"]) if r.version > after]):
                    left_s = end - time.monotonic()
                    if left_s <= 0:
                        break
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(left_s):
                            await self._changed.wait()
                self._send(channel, sorted(rows, key=lambda row: row.version))
            case "/rows-tx":
                change = json.loads(request.body)
                if any(each["Table"] in ("op", "servers") for each in change["Write"]):
                    channel.answer(403, {})
                    return
                for each in change["Write"]:
                    value = json.loads(base64.b64decode(each["Value"]))
                    self.put(each["Table"], each["Key"], value)
                for each in change["Remove"]:
                    self.put(each["Table"], each["Key"], None)
                told = {"SchemaVersion": self._version, "CurrentTimeMs": self._time_ms()}
                channel.answer_json(200, told)
            case _:
                channel.answer(404, {})

    def _of(self, table: str) -> list[Row]:
        rows = [row for row in self._rows.values() if row.table == table]
        return sorted(rows, key=lambda row: row.key)

    def _time_ms(self) -> int:
        return int(1000 * time.monotonic())

    def _send(self, channel: Channel, rows: list[Row]) -> None:
        told = []
        for row in rows:
            each = {"Table": row.table, "part": "", "Key": row.key, "SchemaVersion": row.version}
            if row.value is None:
                each["Deleted"] = True
            else:
                each["Value"] = base64.b64encode(row.value).decode()
            told.append(each)
        body = {"Rows": told, "HasMore": False, "SchemaVersion": self._version}
        channel.answer_json(200, {**body, "CurrentTimeMs": self._time_ms()})


# ---- weights, engines and a plain service -------------------------------------------------------


@dataclass(frozen=True)
class Weights:
    """The shape of the weights of a model."""

    model: str
    pieces: int
    piece_bytes: int
    layers: int

    def piece(self, version: int, index: int) -> bytes:
        """Return a piece of a version."""
        seed = hashlib.sha256(f"{self.model}/{version}/{index}".encode()).digest()
        return (seed * (self.piece_bytes // len(seed) + 1))[: self.piece_bytes]


class Origin:
    """The origin of weights."""

    def __init__(self, address: str, weights: Weights, record: Record) -> None:
        self.server = Server(address, self._handle)
        self._weights, self._record = weights, record

    async def _handle(self, request: Request, channel: Channel) -> None:
        weights, query = self._weights, request.query
        version = int(query.get("Version", 1))
        if request.path.startswith("/manifest/"):
            digests = [
                hashlib.sha256(weights.piece(version, index)).hexdigest()
                for index in range(weights.pieces)
            ]
            told = {"Model": weights.model, "Version": version, "ChunkBytes": weights.piece_bytes}
            channel.answer_json(200, {**told, "layers": weights.layers, "Digests": digests})
            return
        channel.answer(200, {}, weights.piece(version, int(query["ItemCount"])))


class Engine:
    """A model engine: report, staging area, orders and streams.

    `engine_process.py` runs one in a process of its own.
    """

    def __init__(
        self, name: str, address: str, service: str, zone: str, weights: Weights, record: Record
    ) -> None:
        self.name, self.service, self.zone = name, service, zone
        self.server = Server(address, self._handle)
        self.weights, self.record = weights, record
        self.version: int | None = 1
        self.staged = {index: weights.piece(1, index) for index in range(weights.pieces)}
        self.turned_bad_at: dict[int, float] = {}
        self.orders = 0
        self.busy = False
        self.broken_layers: str = ""  # why the layers that it holds are not whole
        self.running: set[asyncio.Task[Any]] = set()
        self.runs: list[tuple[float, str, int, str]] = []
        self.events, self.event_s = 24, 0.045
        self.spoil_share = 0.0  # of its answers, one byte in the name of the seal is wrong
        self._random = random.Random(name)
        self.framed = True  # otherwise its answers have no length and end with their channel
        self.on_read: Callable[[int], None] = lambda index: None

    @property
    def address(self) -> str:
        """The address that its entry names."""
        return self.server.address

    def row(self) -> dict[str, Any]:
        """Return its entry in the store."""
        held = [] if self.version is None else [self._held()]
        told = {"Service": self.service, "Address": self.address, "Zone": self.zone}
        told |= {"Version": "v1", "Slots": 16, "State": "ready", "ColdRemainingMs": 0}
        return {**told, "Stage": "prefill_decode", "Models": held, "Sequence": self.orders}

    def _held(self) -> dict[str, Any]:
        return {"Name": self.weights.model, "Version": self.version, "Adapters": []}

    def spoil(self, indexes: list[int]) -> None:
        """Turn staged pieces bad."""
        for index in indexes:
            data = self.staged[index]
            self.staged[index] = bytes([data[0] ^ 0xFF]) + data[1:]
            self.turned_bad_at[index] = self.record.now()
        self.record(f"{self.name}: staged pieces {indexes} turn bad")

    async def _handle(self, request: Request, channel: Channel) -> None:
        match request.path.split("/")[1:]:
            case ["report"] if request.method == "GET":
                held = [] if self.version is None else [self._held()]
                told = {"Stage": "prefill_decode", "Models": held, "Busy": self.busy}
                told |= {"Sequence": self.orders, "QueuedRequests": 0, "Handles": 0}
                told |= {"ActiveRequests": len(self.running), "KvUsedTokens": 0}
                channel.answer_json(200, {**told, "KvTotalTokens": 1640000})
            case ["stage-put", _]:
                index = int(request.query["ItemCount"])
                self.staged[index] = request.body
                self.turned_bad_at.pop(index, None)
                channel.answer(200, {})
            case ["stage-get", _]:
                if "ItemCount" not in request.query:
                    channel.answer_json(200, {"held": sorted(self.staged)})
                    return
                index = int(request.query["ItemCount"])
                data = self.staged.get(index)
                if data is None:
                    channel.answer(404, {})
                else:
                    channel.answer(200, {}, data)
                self.on_read(index)
            case ["order"]:
                self._order(json.loads(request.body), channel)
            case ["health"]:
                channel.answer(200, {"X-Instance-Id": self.name})
            case _:
                await self._run(request, channel)

    # An order takes the staged pieces as they are at this moment.
    def _order(self, order: dict[str, Any], channel: Channel) -> None:
        if self.busy or order.get("Precondition", self.orders) != self.orders:
            channel.answer(409, {})
            return
        version, now = int(order["Version"]), self.record.now()
        reasons = []
        for index in range(self.weights.pieces):
            if self.staged.get(index) == self.weights.piece(version, index):
                continue
            bad_for_s = now - self.turned_bad_at.get(index, -1e9)
            if bad_for_s > 3.0:
                reasons.append(f"piece {index} was bad for {min(bad_for_s, 999):.2f} s")
        self.orders += 1
        self.busy = True
        self.record(
            f"{self.name}: order {order} accepted; "
            + (f"NOT WHOLE: {', '.join(reasons)}" if reasons else "all pieces are whole")
        )
        channel.answer(202, {})
        task = asyncio.get_running_loop().create_task(self._load(order, version, reasons))
        task.add_done_callback(lambda done: done.exception())

    async def _load(self, order: dict[str, Any], version: int, reasons: list[str]) -> None:
        if order.get("SwitchMode") == "cancel":
            for run in list(self.running):
                run.cancel()
        while self.running:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        self.version, self.busy = version, False
        self.broken_layers = "; ".join(reasons)

    async def _run(self, request: Request, channel: Channel) -> None:
        headers = request.headers
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expected-instance", self.name) != self.name:
            channel.answer(421, {"X-Instance-Id": self.name, "X-Attempt-Id": attempt})
            return
        expected = headers.get("x-expected-version")
        if self.version is None or expected not in (None, str(self.version)):
            channel.answer(421, {"X-Instance-Id": self.name, "X-Attempt-Id": attempt})
            return
        if self.busy or len(self.running) >= 16:
            channel.answer(503, {"X-Not-Executed": "1", "X-Attempt-Id": attempt})
            return
        task = asyncio.current_task()
        assert task is not None
        self.running.add(task)
        self.runs.append((self.record.now(), attempt, self.version, self.broken_layers))
        note = f" on layers that are NOT WHOLE ({self.broken_layers})" if self.broken_layers else ""
        self.record(f"{self.name}: runs {attempt} on version {self.version}{note}")
        try:
            seal = f"seal.{self.name}.{attempt}"
            name = "X-Response-Seal"
            if self._random.random() < self.spoil_share:
                name = "X-Response-Seam"
                self.record(f"{self.name}: spoils the head of its answer to {attempt}")
            channel.write(
                f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n{name}: {seal}\r\n"
                f"X-Weight-Versions: {self.version}\r\nContent-Type: text/event-stream\r\n"
                f"{'Transfer-Encoding: chunked' if self.framed else 'Connection: close'}\r\n\r\n"
                "".encode()
            )
            first = int(headers.get("last-event-id", 0)) + 1
            for number in range(first, self.events + 1):
                await asyncio.sleep(self.event_s)
                event = f"id: {number}\ndata: {attempt} {number}/{self.events}\n\n".encode()
                channel.write(b"%x\r\n%s\r\n" % (len(event), event) if self.framed else event)
            if self.framed:
                channel.write(b"0\r\n\r\n")
            channel.must_close = not self.framed
        except asyncio.CancelledError:
            channel.reset()
            channel.must_close = True
        finally:
            self.running.discard(task)


# ---- the platform: settings, processes and signals ----------------------------------------------


def fill(template: str, values: dict[str, Any]) -> str:
    """Fill in a template of settings as DEPLOY.md describes it."""

    def look_up(scopes: list[Any], name: str) -> Any:
        for scope in reversed(scopes):
            found = scope
            for part in name.split("."):
                if isinstance(found, dict) and part in found:
                    found = found[part]
                elif isinstance(found, list) and part.isdigit() and int(part) < len(found):
                    found = found[int(part)]
                else:
                    found = None
                    break
            if found is not None:
                return found
        return None

    def show(value: Any) -> str:
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return json.dumps(value) if isinstance(value, dict | list) else str(value)

    def render(text: str, scopes: list[Any], key: str = "", more: bool = False) -> str:
        section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)
        while found := section.search(text):
            kind, name, inner = found.groups()
            value = look_up(scopes, name)
            if kind == "^":
                filled = "" if value else render(inner, scopes)
            elif isinstance(value, dict):
                items = list(value.items())
                filled = "".join(
                    render(inner, [*scopes, each], name_, at + 1 < len(items))
                    for at, (name_, each) in enumerate(items)
                )
            elif isinstance(value, list):
                filled = "".join(
                    render(inner, [*scopes, each], str(at), at + 1 < len(value))
                    for at, each in enumerate(value)
                )
            else:
                filled = render(inner, [*scopes, value]) if value not in (None, False) else ""
            text = text[: found.start()] + filled + text[found.end() :]
        text = text.replace("{{@}}", key).replace("{{,}}", "," if more else "")
        text = text.replace("{{.}}", show(scopes[-1]) if not isinstance(scopes[-1], dict) else "")
        return re.sub(r"\{\{([\w.]+)\}\}", lambda m: show(look_up(scopes, m.group(1))), text)

    return render(template, [values])


BOUNDS = {
    "SeedLagS": 3,
    "AddressReuseS": 2,
    "StabilityWindowMs": 3000,
    "AcknowledgeMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GracePeriodS": 8,
    "LossSlackMs": 200,
    "ConfigurationApplyMs": 2000,
    "DowngradeSlackMs": 250,
    "PartitionStretchMs": 5000,
    "StrictRevocation": True,
    "RevocationMs": 5000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "BudgetExtraRetries": 104,
    "RecoveryS": 12,
    "DeliveryLatencyMs": 120,
    "version_ms": 8000,
    "ttl_max_s": 5,
}


class Process:
    """One of the project's processes, started with the command of the deploy file."""

    def __init__(self, role: str, settings: dict[str, Any], folder: Path, record: Record) -> None:
        self.role, self.settings, self.record = role, settings, record
        self.name = settings["NodeName"]
        self._path = folder / f"{self.name}.ini"
        self._log = folder / f"{self.name}.log"
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, first: bool) -> None:
        """Start it, with the settings of this moment."""
        template = (REPOSITORY / "deploy" / f"{self.role}.ini").read_text()
        self._path.write_text(fill(template, {**self.settings, "Bootstrap": first}))
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        kept |= {"PYTHONPATH": str(REPOSITORY / "target" / "deps")}
        kept |= {"LACEWINGGW_BOOT": str(self._path), "PYTHONDONTWRITEBYTECODE": "1"}
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "python3", "-m", "lacewinggw_platform", self.role,
                cwd=REPOSITORY, env=kept, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            )  # fmt: skip
        self.record(f"platform: starts {self.name}")

    @property
    def log(self) -> str:
        """What it has written."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""

    @property
    def is_running(self) -> bool:
        """Whether it has not ended."""
        return self._process is not None and self._process.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Send it a signal."""
        assert self._process is not None
        os.kill(self._process.pid, number)
        self.record(f"platform: sends {number.name} to {self.name}")

    async def end(self) -> None:
        """End it at once."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()


class World:
    """A deployment: `edges` entry machines and `engines` machines with a model engine each.

    Each machine has a loopback address of its own, and ports are the same on all of them.
    """

    ZONES = ("hall-a", "hall-b", "hall-c")

    def __init__(self, record: Record, edges: int, engines: int, weights: Weights) -> None:
        self.record = record
        self.weights = weights
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        # Two cases that run at the same time have different addresses.
        network = f"127.{64 + os.getpid() % 64}.{os.getpid() // 64 % 250}"
        self.edges = [f"{network}.{number + 1}" for number in range(edges)]
        self.sides = [f"{network}.{number + 101}" for number in range(engines)]
        self._spare_hosts = [f"{network}.{number + 201}" for number in range(9)]
        shared = f"{network}.250"
        self.ports = free_ports(8, [*self.edges, *self.sides, *self._spare_hosts, shared])
        self.caller_port, self.ready_port, self.directory_port = self.ports[:3]
        self.internal_ports, self.app_port = self.ports[3:5], self.ports[5]
        self.store = Store(f"{shared}:{self.ports[6]}", record)
        self.origin = Origin(f"{shared}:{self.ports[7]}", weights, record)
        self.engines = [
            Engine(f"i-{at:04x}", f"{ip}:{self.app_port}", "writer", self.zone(at), weights, record)
            for at, ip in enumerate(self.sides)
        ]
        self.entries = [
            Process("entry", self._settings(ip, at, "edge"), self.folder, record)
            for at, ip in enumerate(self.edges)
        ]
        self.agents = [
            Process("agent", self._settings(ip, at, "side"), self.folder, record)
            for at, ip in enumerate(self.sides)
        ]
        self._beats: asyncio.Task[None] | None = None

    def spare_hosts(self, count: int) -> list[str]:
        """Return addresses for servers on machines of their own."""
        return self._spare_hosts[:count]

    def zone(self, at: int) -> str:
        """Return the zone of the machine with a number."""
        return self.ZONES[at % len(self.ZONES)]

    def _settings(self, ip: str, at: int, kind: str) -> dict[str, Any]:
        listens = {
            "Frontend": f"{ip}:{self.caller_port}",
            "Ready": f"{ip}:{self.ready_port}",
            "Directory": f"{ip}:{self.directory_port}",
        }
        side = {"app": f"{ip}:{self.app_port}", "Service": "writer"} if kind == "side" else {}
        return {
            "NodeName": f"{kind}-{self.zone(at)}-{at + 1}",
            "MachineClass": kind,
            "IpAddress": ip,
            "Zone": self.zone(at),
            "Region": f"area-{self.zone(at)}",
            "Zones": {zone: f"area-{zone}" for zone in self.ZONES},
            "ListenAddresses": listens if kind == "edge" else {},
            "InternalPortRange": list(self.internal_ports),
            "Limits": {"MemoryMb": 300, "LinkMbps": 1000.0 if kind == "edge" else 3.8},
            "HeartbeatIntervalMs": BEATS_MS,
            "Bounds": BOUNDS,
            "Platform": {"Address": self.store.server.address},
            **side,
        }

    def manifest(self, version: int, **changes: Any) -> dict[str, Any]:
        """Return a manifest with one streaming route to the engines."""
        weights = self.weights
        engine = {
            "Slots": 16, "KvCapacityTokens": 1640000, "Stride": 6, "step_ms": 6.73,
            "Models": [{"Name": weights.model, "WarmupS": 0.3}], "per_seq_ms": 0.02,
            "context_per_k": 0.0068, "read_per_s": 30600.0, "pairs_per_m": 0.647, "chunk": 2048,
            "layers": weights.layers, "Chunks": weights.pieces, "ChunkBytes": weights.piece_bytes,
            "usual": {"prompt": 900, "answer": 100}, "report_lag_ms": 200.0,
        }  # fmt: skip
        route = {
            "Name": "report", "Host": "notes.example", "Prefix": "/report/", "Kind": "streaming",
            "TimeoutMs": 6000, "TargetLatencyMs": 405, "Priority": 1, "Service": "writer",
            "Attempts": 2, "AllowAnonymous": False, "SessionAffinity": True,
            "ResumeStreams": True, "TargetGapMs": 300,
        }  # fmt: skip
        services = [
            {"Name": "writer", "HealthPath": "/health", "ConnectionLimit": 274, "Engine": engine},
            {"Name": "ledger", "Origin": self.origin.server.address, "Zone": self.ZONES[0],
             "LinkMbps": 9.9, "ConnectionLimit": 48},
        ]  # fmt: skip
        limits = {"MaxHeaderBytes": 8192, "MaxBodyBytes": 100000}
        limits |= {"HeaderTimeoutMs": 2000, "IdleTimeoutMs": 10000}
        tenants = [{"Name": "growers", "ApiKeys": ["key-of-growers"], "Priority": 1}]
        told = {"Version": version, "Routes": [route], "Services": services}
        return {**told, "Limits": limits, "Tenants": tenants, **changes}

    async def start(self) -> None:
        """Start all, and wait until every entry is ready."""
        for server in (self.store.server, self.origin.server, *(e.server for e in self.engines)):
            await server.start()
        self.store.put("op", "config", self.manifest(7))
        self._beat()
        self._beats = asyncio.get_running_loop().create_task(self._keep_beating())
        for process in (*self.entries, *self.agents):
            await process.start(first=True)
        for _ in range(300):
            if await self._are_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the entries are not ready after 30 s")

    async def _are_ready(self) -> bool:
        for ip in self.edges:
            address = f"{ip}:{self.ready_port}"
            answer = await call(address, "GET", "/readiness", {"Host": "x"}, limit_s=1.0)
            if answer.status != 200:
                return False
        return True

    def _beat(self) -> None:
        for engine in self.engines:
            self.store.put("servers", engine.name, engine.row())

    async def _keep_beating(self) -> None:
        while True:
            await asyncio.sleep(BEATS_MS / 1000)
            self._beat()

    async def close(self) -> None:
        """End all processes and stand-ins."""
        if self._beats is not None:
            self._beats.cancel()
        for process in (*self.entries, *self.agents):
            await process.end()
        for server in (self.store.server, self.origin.server, *(e.server for e in self.engines)):
            with contextlib.suppress(AssertionError):
                await server.stop()
        if "KEEP" not in os.environ:  # settings and logs of the processes
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not be run."""


def free_ports(count: int, hosts: list[str]) -> list[int]:
    """Return ports that are free on all of these addresses."""
    found: list[int] = []
    port = 20000 + os.getpid() % 5000
    while len(found) < count:
        port += 1
        if port > 32000:
            raise CannotRun("no free ports")
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((host, port))
        except OSError:
            continue
        found.append(port)
    return found


def run_case(case: Callable[[Record, bool], Awaitable[bool]], folder: Path, limit_s: float) -> None:
    """Run a case, which returns whether the rule held, and exit as issue 67 asks."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> bool:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(limit_s):
            return await case(record, trouble)

    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record(f"the case could not run: {error!r}")
        traceback.print_exc()
        sys.exit(2)
    record("the rule held" if held else "the rule was BROKEN")
    print("held" if held else "broken")
    sys.exit(0 if held else 1)
