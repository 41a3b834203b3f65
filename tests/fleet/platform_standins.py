"""Stand-ins for the platform's services with their published calls: store, engine, origin.

Tests set how they fail. Outages, delays and lost replies are implemented by the lab's `StandIn`.
Everything runs on an in-memory network.
"""

import asyncio
import base64
import hashlib
import json
import math
import random
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

from lacewinggw.lab.memory import MemoryNetwork
from lacewinggw.lab.standin import StandIn, wait_while
from lacewinggw.wire.http import Request, Response, json_response

STORE = "10.9.0.1:8007"
ORIGIN = "10.9.0.2:8006"
MODEL = "market"
LLM = "writer"
DESK = "desk"
KEY = "key-of-growers"
CHUNKS = 8
CHUNK_BYTES = 1024
STEADY_START_MS = 7_300_000  # the store's clock when the loop's clock is 0
PAUSE_STEP_S = 0.01
BORN_MS = 1_764_700_000_000  # start time of each target's first incarnation


def manifest(version: int, **changes: object) -> dict:
    """Return the routes in the platform's format, as operators write them."""
    route = {
        "TimeoutMs": 6000,
        "TargetLatencyMs": 400,
        "Priority": 1,
        "Attempts": 2,
        "AllowAnonymous": False,
    }
    engine = {
        "Slots": 4,
        "KvCapacityTokens": 100000,
        "Stride": 6,
        "Models": [{"Name": MODEL, "WarmupS": 0.1}],
        "step_ms": 6.73,
        "per_seq_ms": 0.02,
        "context_per_k": 0.0068,
        "read_per_s": 30600.0,
        "pairs_per_m": 0.647,
        "chunk": 2048,
        "layers": 4,
        "Chunks": CHUNKS,
        "ChunkBytes": CHUNK_BYTES,
    }
    return {
        "Version": version,
        "Routes": [
            {
                **route,
                "Name": "report",
                "Host": "notes.example",
                "Prefix": "/report/",
                "Kind": "streaming",
                "ResumeStreams": True,
                "TargetGapMs": 300,
                "Service": LLM,
            },
            {
                **route,
                "Name": "sheet",
                "Host": "notes.example",
                "Prefix": "/sheet/",
                "Kind": "non_idempotent",
                "TimeoutMs": 1200,
                "Service": DESK,
            },
            {
                **route,
                "Name": "tally",
                "Host": "notes.example",
                "Prefix": "/tally/",
                "Kind": "idempotent",
                "TimeoutMs": 1200,
                "Service": DESK,
            },
        ],
        "Services": [
            {"Name": LLM, "HealthPath": "/health", "ConnectionLimit": 50, "Engine": engine},
            {"Name": DESK, "HealthPath": "/health", "ConnectionLimit": 50},
            {"Name": "ledger", "Origin": ORIGIN, "Zone": "hall", "LinkMbps": 9.9},
        ],
        "Limits": {
            "MaxHeaderBytes": 4096,
            "MaxBodyBytes": 10000,
            "HeaderTimeoutMs": 1000,
            "IdleTimeoutMs": 5000,
        },
        "Tenants": [{"Name": "growers", "ApiKeys": [KEY], "Priority": 1}],
        **changes,
    }


@dataclass
class Row:
    """A row of a table and the version that wrote it; `value` is None once it is removed."""

    table: str
    key: str
    value: bytes | None
    version: int


class StoreStandIn(StandIn):
    """The store: rows, feeds, transactions."""

    def __init__(self, network: MemoryNetwork) -> None:
        super().__init__(network, STORE)
        self.calls: list[str] = []
        self.forgotten = 0  # the history up to this version is discarded
        self.deaf = False  # feeds miss all changes and wait until they time out
        self.era = 1
        self._rows: dict[tuple[str, str], Row] = {}
        self._written: list[tuple[float, Row]] = []  # the writes of this era and their times
        self._version = 0
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: dict | None) -> None:
        self._version += 1
        data = None if value is None else json.dumps(value).encode()
        row = Row(table, key, data, self._version)
        self._rows[table, key] = row
        self._written.append((asyncio.get_running_loop().time(), row))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def drill(self, age_s: float, away_s: float = 0.5) -> list[Row]:
        """Stop for `away_s`, restart from an older copy, and return the rows that were lost."""
        await self.close()
        await asyncio.sleep(away_s)
        copied_at = asyncio.get_running_loop().time() - away_s - age_s
        lost = [row for at, row in self._written if at > copied_at]
        self._written = [(at, row) for at, row in self._written if at <= copied_at]
        self._rows = {(row.table, row.key): row for _, row in self._written}
        self._version = max((row.version for _, row in self._written), default=0)
        self.era += 1
        await self.start()
        return lost

    def write_again(self, lost: list[Row], *tables: str) -> None:
        """Rewrite lost rows of some tables, as operators and targets do after a restore."""
        newest = {(row.table, row.key): row for row in lost if row.table in tables}
        for row in newest.values():
            self.put(row.table, row.key, None if row.value is None else json.loads(row.value))

    async def _handle(self, request: Request) -> Response:
        response = await super()._handle(request)
        response.headers["store-era"] = str(self.era)
        return response

    def forget_history(self) -> None:
        self.forgotten = self._version

    def rows(self, table: str) -> dict[str, dict]:
        return {
            row.key: json.loads(row.value)
            for row in self._rows.values()
            if row.table == table and row.value is not None
        }

    async def answer(self, request: Request) -> Response:
        self.calls.append(request.path)
        match request.path:
            case "/rows-get":
                rows = [row for row in self._in(request.query["Table"]) if row.value is not None]
                return self._answer(rows)
            case "/rows-feed":
                return await self._feed(request.query)
            case "/rows-tx":
                change = json.loads(request.body)
                for row in change["Write"]:
                    self.put(row["Table"], row["Key"], json.loads(base64.b64decode(row["Value"])))
                for row in change["Remove"]:
                    self.put(row["Table"], row["Key"], None)
                body = {"SchemaVersion": self._version, "CurrentTimeMs": self._time_ms()}
                return self.written(json_response(200, body))
        return Response(404)

    async def _feed(self, query: dict[str, str]) -> Response:
        after, wait_s = int(query["AfterRevision"]), int(query["WaitMs"]) / 1000
        if after < self.forgotten or after > self._version:
            return Response(410)
        end = asyncio.get_running_loop().time() + wait_s
        while self.deaf or not self._after(query["Table"], after):
            try:
                async with asyncio.timeout_at(end):
                    await self._changed.wait()
            except TimeoutError:
                break
        rows = [] if self.deaf else self._after(query["Table"], after)
        return self._answer(rows)

    def _time_ms(self) -> float:
        return STEADY_START_MS + 1000 * asyncio.get_running_loop().time()

    def _in(self, table: str) -> list[Row]:
        return sorted(
            (row for row in self._rows.values() if row.table == table), key=lambda row: row.key
        )

    def _after(self, table: str, version: int) -> list[Row]:
        return [row for row in self._in(table) if row.version > version]

    def _answer(self, rows: list[Row]) -> Response:
        encoded = [
            {
                "Table": row.table,
                "part": "",
                "Key": row.key,
                "SchemaVersion": row.version,
                **(
                    {"Deleted": True}
                    if row.value is None
                    else {"Value": base64.b64encode(row.value).decode()}
                ),
            }
            for row in rows
        ]
        body = {
            "Rows": encoded,
            "HasMore": False,
            "SchemaVersion": self._version,
            "CurrentTimeMs": self._time_ms(),
        }
        return json_response(200, body)


def target_row(service: str, address: str, zone: str = "hall", **changes: object) -> dict:
    """Return the row that a target writes about itself."""
    models = [{"Name": MODEL, "Version": 1, "Adapters": []}] if service == LLM else []
    return {
        "Service": service,
        "Address": address,
        "Zone": zone,
        "Version": "v1",
        "Slots": 4,
        "State": "ready",
        "ColdRemainingMs": 0,
        "Models": models,
        "born": BORN_MS,
        **changes,
    }


@dataclass
class Behaviour:
    """How a target answers; counts apply to its next requests."""

    shed: int = 0  # number of requests to refuse as not run
    errors: int = 0  # number of requests to answer with 500
    first_s: float = 0.0  # time from the head of a stream to the run's start, its first event
    cut_after: int | None = None  # number of events after which a stream breaks
    silent_after: int | None = None  # number of events after which a stream stalls and stays open
    silent: int = 0  # number of requests to leave unanswered
    pause_s: float = 0.01
    events: int = 5
    body_pieces: int = 1  # parts of an answer that is not a stream, each sent after `pause_s`
    wrong_id: bool = False
    limit_per_s: float | None = None  # the rate limit sent in its answers
    cold_ms: int | None = None  # the time that it stays cold, sent in its answers
    leaving: bool = False  # all answers state that it is leaving; it continues serving
    retry_after: str | None = None  # the raw header value sent with refusals
    shed_share: float = 0.0  # share of requests refused at random
    room: int = 1000  # concurrent requests; more are refused
    crashes_on: frozenset[bytes] = frozenset()  # bodies whose first event crashes it
    crashes_on_parts: frozenset[str] = frozenset()  # ids of prompt parts, likewise
    crash_after_s: float = 0.0  # time from that event to the crash, while the request runs
    back_s: float = 2.5  # time until it returns under another id
    read_s: float = 0.0  # time to answer each read of a staged piece


class TargetStandIn(StandIn):
    """A target: answers, streams and, for a model engine, report, staging area and load orders."""

    def __init__(self, network: MemoryNetwork, target_id: str, address: str) -> None:
        super().__init__(network, address)
        self.target_id = target_id
        self.behaviour = Behaviour()
        self.seen: list[Request] = []
        self.seen_at: list[float] = []
        self.ended_at: list[float] = []
        self.most_at_once = 0  # concurrent requests, without those only sending events
        self._at_once = 0
        self.turned_away: list[tuple[float, str]] = []  # time, and entry that it came from
        self._rng = random.Random(target_id)
        self.on_start: Callable[[], None] = lambda: None
        self.on_read: Callable[[int], None] = lambda _: None  # a staged piece is read
        self.reads = asyncio.Semaphore(1000)  # reads of staged pieces that are served at once
        self.on_order_received: Callable[[], None] = lambda: None
        self.on_order: Callable[[], None] = lambda: None  # an order is accepted
        self.order_delay_s = 0.0  # the next order is accepted so late, and gets no response
        self._ending: asyncio.Task[None] | None = None
        self.abandoned = 0
        self.running = 0
        self.weights: dict[str, int] = {MODEL: 1}
        self.staged: dict[int, bytes] = {}
        self.begun: list[tuple[float, int]] = []  # streams: when they started, on which version
        self.orders: list[dict] = []
        self.loaded: list[bytes] = []
        self.busy = False
        self.born_ms = BORN_MS
        self.paused_until = 0.0

    def pause(self, seconds: float) -> None:
        """Send nothing for a time, neither heads nor events nor reports, and then go on."""
        until = asyncio.get_running_loop().time() + seconds
        self.paused_until = max(self.paused_until, until)

    async def _wait_while_paused(self) -> None:
        loop = asyncio.get_running_loop()
        await wait_while(lambda: loop.time() < self.paused_until, PAUSE_STEP_S)

    def crash(self) -> None:
        """Stop at once, abort all requests, and return later under another id."""
        if self._ending is None:
            self.ended_at.append(asyncio.get_running_loop().time())
            self._ending = asyncio.get_running_loop().create_task(self._end_and_return())

    async def _end_and_return(self) -> None:
        await self.close()
        await asyncio.sleep(self.behaviour.back_s)
        self.target_id = f"{self.target_id.partition('.')[0]}.{len(self.ended_at)}"
        self.born_ms += 60_000
        self.orders = []
        self.busy = False
        self.paused_until = 0.0
        await self.start()
        self._ending = None
        self.on_start()

    def restart(self) -> None:
        """Restart under the same id without weights or orders."""
        self.born_ms += 60_000
        self.weights = {}
        self.orders = []
        self.busy = False

    async def answer(self, request: Request) -> Response:
        await self._wait_while_paused()
        response = await self._serve(request)
        await self._wait_while_paused()
        if self.behaviour.leaving:
            response.headers["server-leaving"] = "1"
        return response

    async def _serve(self, request: Request) -> Response:
        match request.path.split("/")[1:]:
            case ["report"]:
                return self._report()
            case ["stage-put", _]:
                self.staged[int(request.query["ItemCount"])] = request.body
                return Response(200)
            case ["stage-get", _]:
                response = self._staged(request)
                if "ItemCount" in request.query:
                    self.on_read(int(request.query["ItemCount"]))
                    async with self.reads:
                        await asyncio.sleep(self.behaviour.read_s)
                return response
            case ["order"]:
                return await self._receive_order(json.loads(request.body))
        self.seen.append(request)
        self.seen_at.append(asyncio.get_running_loop().time())
        self._at_once += 1
        self.most_at_once = max(self.most_at_once, self._at_once)
        try:
            return await self._answer(request)
        finally:
            self._at_once -= 1

    async def _answer(self, request: Request) -> Response:
        behaviour = self.behaviour
        if "x-attempt-id" not in request.headers:
            return Response(400, {"x-not-executed": "1"})
        headers = {
            "x-attempt-id": "other" if behaviour.wrong_id else request.headers["x-attempt-id"],
            "x-response-seal": f"seal-of-{self.target_id}",
        }
        if behaviour.limit_per_s is not None:
            headers["server-limit"] = f"{behaviour.limit_per_s:g}"
        if behaviour.cold_ms is not None:
            headers["x-cold-remaining"] = str(behaviour.cold_ms)
        if request.headers.get("x-expected-instance") != self.target_id:
            return Response(421, {"x-instance-id": self.target_id})
        if behaviour.shed > 0:
            behaviour.shed -= 1
            return self._turn_away(request)
        if self._rng.random() < behaviour.shed_share or self._at_once > behaviour.room:
            return self._turn_away(request)
        if behaviour.silent > 0:
            behaviour.silent -= 1
            await asyncio.sleep(3600)
        if behaviour.errors > 0:
            behaviour.errors -= 1
            return Response(500, headers, b"failed")
        if request.path.startswith("/report"):
            headers["content-type"] = "text/event-stream"
            headers["x-weight-versions"] = str(self.weights.get(MODEL, 0))
            first = int(request.headers.get("last-event-id", 0)) + 1
            return Response(200, headers, self._stream(first, self._crashes_on(request)))
        body = b"answer of " + self.target_id.encode()
        if behaviour.body_pieces > 1:
            return Response(200, headers, self._in_pieces(body))
        await asyncio.sleep(behaviour.pause_s)
        return Response(200, headers, body)

    async def _in_pieces(self, body: bytes) -> AsyncIterator[bytes]:
        yield body
        for _ in range(self.behaviour.body_pieces - 1):
            await asyncio.sleep(self.behaviour.pause_s)
            yield b"."

    def _turn_away(self, request: Request) -> Response:
        at = asyncio.get_running_loop().time()
        self.turned_away.append((at, request.headers.get("x-via", "")))
        retry_after = self.behaviour.retry_after
        rest = {} if retry_after is None else {"retry-after": retry_after}
        return Response(503, {"x-not-executed": "1", **rest})

    def _crashes_on(self, request: Request) -> bool:
        prefix = request.headers.get("x-prompt-prefix", "")
        parts = {part.partition(":")[0] for part in prefix.split(",")}
        behaviour = self.behaviour
        return request.body in behaviour.crashes_on or bool(parts & behaviour.crashes_on_parts)

    async def _stream(self, first: int, crashes: bool) -> AsyncIterator[bytes]:
        behaviour = self.behaviour
        self.running += 1
        loop = asyncio.get_running_loop()
        crash_at = math.inf
        try:
            await asyncio.sleep(behaviour.first_s)
            for sent, number in enumerate(range(first, behaviour.events + 1)):
                if sent == 1 and crashes:
                    crash_at = loop.time() + behaviour.crash_after_s
                if loop.time() >= crash_at:
                    self.crash()
                if behaviour.cut_after == sent:
                    behaviour.cut_after = None
                    yield b"id: 99\nda"
                    raise ConnectionResetError
                if behaviour.silent_after == sent:
                    behaviour.silent_after = None
                    await asyncio.sleep(3600)
                await asyncio.sleep(behaviour.pause_s)
                await self._wait_while_paused()
                begun = (loop.time(), self.weights.get(MODEL, 0))
                yield f"id: {number}\ndata: piece {number}\n\n".encode()
                if not sent:  # the connection was open
                    self.begun.append(begun)
        except (asyncio.CancelledError, GeneratorExit):
            self.abandoned += 1
            raise
        finally:
            self.running -= 1

    def _report(self) -> Response:
        models = [{"Name": name, "Version": held} for name, held in self.weights.items()]
        return json_response(
            200,
            {
                "Models": models,
                "Busy": self.busy,
                "Sequence": len(self.orders),
                "QueuedRequests": 0,
                "ActiveRequests": self.running,
                "born": self.born_ms,
            },
        )

    def _staged(self, request: Request) -> Response:
        if "ItemCount" not in request.query:
            return json_response(200, {"held": sorted(self.staged)})
        data = self.staged.get(int(request.query["ItemCount"]))
        return Response(404) if data is None else Response(200, {}, data)

    async def _receive_order(self, order: dict) -> Response:
        if not self.order_delay_s:
            return self._order(order)
        self.on_order_received()
        delay_s, self.order_delay_s = self.order_delay_s, 0.0
        asyncio.get_running_loop().call_later(delay_s, self._order, order)
        await asyncio.sleep(3600)
        raise AssertionError("the caller waits for an hour")

    def _order(self, order: dict) -> Response:
        if order["Precondition"] != len(self.orders):
            return Response(409)
        self.on_order()
        self.orders.append(order)
        self.loaded = [self.staged.get(index, b"") for index in range(CHUNKS)]
        self.busy = True
        asyncio.get_running_loop().call_later(0.2, self._finish, order)
        return Response(202)

    def _finish(self, order: dict) -> None:
        self.busy = False
        self.weights[order["Model"]] = order["Version"]


def piece(version: int, index: int) -> bytes:
    """Return a piece of a version's weights."""
    seed = f"{version}/{index}".encode()
    return hashlib.sha256(seed).digest() * (CHUNK_BYTES // 32)


class OriginStandIn(StandIn):
    """The origin of weights; records the pieces it sent. Pieces in `corrupt` are corrupted once."""

    def __init__(self, network: MemoryNetwork) -> None:
        super().__init__(network, ORIGIN)
        self.piece_s = 0.0  # time to send a piece
        self.corrupt: set[int] = set()
        self.sent: list[int] = []

    async def answer(self, request: Request) -> Response:
        version = int(request.query.get("Version", 1))
        if request.path.startswith("/manifest/"):
            hashes = [hashlib.sha256(piece(version, index)).hexdigest() for index in range(CHUNKS)]
            body = {
                "Model": MODEL,
                "Version": version,
                "ChunkBytes": CHUNK_BYTES,
                "Digests": hashes,
            }
            return json_response(200, body)
        index = int(request.query["ItemCount"])
        self.sent.append(index)
        await asyncio.sleep(self.piece_s)
        data = piece(version, index)
        if index in self.corrupt:
            self.corrupt.discard(index)
            data = b"\0" + data[1:]
        return Response(200, {}, data)
