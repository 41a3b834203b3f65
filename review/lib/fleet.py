"""Model engines in processes of their own, and clients that call them through the entries."""

import asyncio
import json
import random
import re
import sys
from pathlib import Path

from world import Channel, Handler, Request, Server, World, call

LIB = Path(__file__).resolve().parent
CALLS_PER_S = 24
GAP_S = 2.4  # after which clients abandon a stream: eight times the longest pause, 300 ms
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\d+)/(\d+)\n\n")


class EngineProcess:
    """A model engine in a process of its own, and its entry in the store."""

    def __init__(self, world: World, at: int, options: tuple[str, ...]) -> None:
        self._world, self._at, self._starts = world, at, 0
        self._options = options
        self.name = ""
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start it; each start has a new id, and holds no layers but at first."""
        world, weights = self._world, self._world.weights
        self._starts += 1
        self.name = f"i-{self._at:02x}{self._starts:02x}"
        address = f"{world.sides[self._at]}:{world.app_port}"
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, str(LIB / "engine_process.py"), "--name", self.name,
            "--address", address, "--service", "writer", "--zone", world.zone(self._at),
            "--record", str(world.record.path), "--began", repr(world.record.began),
            "--model", weights.model, "--shape", str(weights.pieces), str(weights.piece_bytes),
            str(weights.layers), *self._options, *(["--empty"] if self._starts > 1 else []),
        )  # fmt: skip

    async def kill(self) -> None:
        """Kill it."""
        assert self._process is not None
        if self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    async def row(self) -> dict | None:
        """Return its entry in the store, if it is up."""
        address = f"{self._world.sides[self._at]}:{self._world.app_port}"
        answer = await call(address, "GET", "/report", {"Host": address}, limit_s=0.5)
        if answer.status != 200:
            return None
        report = json.loads(answer.body)
        return {
            "Service": "writer", "Address": address, "Zone": self._world.zone(self._at),
            "Version": "v1", "Slots": 16, "State": "ready", "ColdRemainingMs": 0,
            "Stage": "prefill_decode", "Models": report["Models"], "Sequence": report["Sequence"],
        }  # fmt: skip


class Engines:
    """The engines, and their check-ins; an entry goes after three intervals of silence."""

    def __init__(self, world: World, *options: tuple[str, ...]) -> None:
        self._world = world
        self.all = [EngineProcess(world, at, each) for at, each in enumerate(options)]
        self._seen: dict[str, float] = {}

    async def check_in(self) -> None:
        """Have each engine that is up write its entry."""
        now = self._world.record.now()
        for engine in self.all:
            row = await engine.row()
            if row is not None:
                self._world.store.put("servers", engine.name, row)
                self._seen[engine.name] = now
        for name in [name for name, at in self._seen.items() if now - at > 3.6]:
            self._world.store.put("servers", name, None)
            del self._seen[name]

    async def keep_checking_in(self) -> None:
        """Check in at the interval."""
        while True:
            await asyncio.sleep(1.2)
            await self.check_in()


class Clients:
    """Clients that call for streams, and what they got."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_stopped = False
        self.whole = self.short = self.unsealed = 0

    async def _call(self, attempt: str, entry: str) -> None:
        world = self._world
        headers = {
            "Host": "notes.example", "X-Attempt-Id": attempt, "X-Model": world.weights.model,
            "X-Token-Counts": "900,144", "X-Prompt-Prefix": f"aa01:40,{attempt}:860",
            "X-Deadline-Remaining": "6000", "X-Key": "key-of-growers",
        }  # fmt: skip
        address = f"{entry}:{world.caller_port}"
        answer = await call(address, "POST", "/report/a", headers, b"{}", 6.0, GAP_S)
        numbers = [int(found.group(1)) for found in EVENT.finditer(answer.body)]
        totals = [int(found.group(4)) for found in EVENT.finditer(answer.body)]
        seal = answer.headers.get("x-response-seal", "none")
        told = f"{answer.status}, seal {seal}, {len(numbers)} events"
        ended = "ends as complete" if answer.complete else "does not end as complete"
        is_short = answer.status == 200 and answer.complete
        is_short = is_short and numbers != list(range(1, (totals or [24])[0] + 1))
        self.short += is_short
        is_unsealed = answer.status == 200 and answer.complete and seal == "none"
        self.unsealed += is_unsealed
        self.whole += answer.status == 200 and answer.complete and not (is_short or is_unsealed)
        mark = "  <-- BROKEN: the engine's body is longer" if is_short else ""
        mark += "  <-- BROKEN: a success without a seal" if is_unsealed else ""
        world.record(f"client: {attempt} at {entry} gets {told}, {ended}{mark}")

    def stop(self) -> None:
        """Make no further calls."""
        self._is_stopped = True

    async def run(self) -> None:
        """Call at a steady rate until stopped, and wait for all answers."""
        world, number = self._world, 0
        while not self._is_stopped:
            number += 1
            entry = world.edges[number % len(world.edges)]
            self._tasks.add(asyncio.create_task(self._call(f"{number:016x}", entry)))
            await asyncio.sleep(1 / CALLS_PER_S)
        await asyncio.wait(self._tasks)


class PlainService:
    """Servers of a plain service, which may fail a part of the requests that they run.

    A server that fails answers with `status`, and without X-Not-Executed: it has run the request.
    """

    def __init__(self, world: World, name: str, work_s: float) -> None:
        self._world, self.name, self._work_s = world, name, work_s
        self._random = random.Random(name)
        self.fail_share = [0.0] * 3
        self.status = 503
        self.ran: dict[str, list[str]] = {}  # the attempts that ran, by the client's order
        self.attempts: set[str] = set()
        self._servers = []
        for at, ip in enumerate(world.spare_hosts(3)):
            server_id = f"i-d{at:03x}"
            server = Server(f"{ip}:{world.app_port}", self._handler(at, server_id))
            self._servers.append((server_id, server, world.zone(at)))

    async def start(self) -> None:
        """Start the servers."""
        for _, server, _ in self._servers:
            await server.start()

    async def stop(self) -> None:
        """Stop them."""
        for _, server, _ in self._servers:
            await server.stop()

    def check_in(self) -> None:
        """Write their entries."""
        for server_id, server, zone in self._servers:
            row = {"Service": self.name, "Address": server.address, "Zone": zone, "Version": "v1"}
            row |= {"Slots": 6, "State": "ready", "ColdRemainingMs": 0, "Sequence": 0}
            self._world.store.put("servers", server_id, row)

    def _handler(self, at: int, server_id: str) -> Handler:
        record = self._world.record

        async def handle(request: Request, channel: Channel) -> None:
            headers = request.headers
            attempt = headers.get("x-attempt-id", "")
            if headers.get("x-expected-instance", server_id) != server_id:
                channel.answer(421, {"X-Instance-Id": server_id, "X-Attempt-Id": attempt})
                return
            order = request.body.decode()
            self.attempts.add(attempt)
            self.ran.setdefault(order, []).append(attempt)
            record(f"{server_id}: runs {attempt}, which carries out {order}")
            await asyncio.sleep(self._work_s)
            told = {"X-Attempt-Id": attempt, "X-Response-Seal": f"seal.{server_id}.{attempt}"}
            if self._random.random() < self.fail_share[at]:
                record(f"{server_id}: fails {attempt} with {self.status}, after it has run")
                channel.answer(self.status, told, b"failed")
            else:
                channel.answer(200, told, b"done " + request.body)

        return handle
