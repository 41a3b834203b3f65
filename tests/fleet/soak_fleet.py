"""A declared fleet that records what its entries have read and what its targets have run."""

import asyncio
import re
from collections.abc import AsyncIterator
from contextlib import aclosing
from dataclasses import dataclass
from enum import Enum

from declared_fleet import DeclaredFleet
from platform_standins import LLM, MODEL, TargetStandIn

from lacewinggw.frontend.callers import CallerConnection
from lacewinggw.frontend.calls import Call
from lacewinggw.frontend.process import FrontendProcess
from lacewinggw.generated.settings.ttypes import Settings
from lacewinggw.lab.memory import MemoryNetwork, MemoryStream
from lacewinggw.wire.http import Request, Response
from lacewinggw.wire.network import Accept, Listener, Stream

MS_PER_S = 1000
CALLERS_IP = "10.200.0.1"
CALLER_PORT = ":8005"
SCRIBE = "scribe"  # a second service of model engines
BENCH = "bench"  # a second plain service
STREAM_SERVICES = (LLM, SCRIBE)
END_MARKER = re.compile(rb"end of ([\w-]+)\.")


class RunEnd(Enum):
    """How a run ended at its target."""

    WHOLE = "whole"
    LEFT = "the entry closed the connection"
    BROKEN = "the target broke it off or ended"


@dataclass
class Run:
    """One request that a target began to work on; times by the loop's clock."""

    call_id: str
    target: TargetStandIn
    target_id: str
    begun_at: float
    end: RunEnd | None = None
    ended_at: float = 0.0
    events: int = 0
    event_at: float = 0.0  # of the last event that the connection took


class SoakTarget(TargetStandIn):
    """A target that records its runs and, as model engines do, checks the version of its weights.

    An engine that loads weights accepts no requests meanwhile. An order to switch at once breaks
    off its streams.
    """

    def __init__(self, network: MemoryNetwork, target_id: str, address: str) -> None:
        super().__init__(network, target_id, address)
        self.runs: list[Run] = []
        self._switches = 0

    async def _answer(self, request: Request) -> Response:
        is_stream = request.path.startswith("/report")
        if request.headers.get("x-expected-instance") == self.target_id and is_stream:
            expected = request.headers.get("x-expected-version")
            if expected is not None and int(expected) != self.weights.get(MODEL):
                return Response(421, {"x-instance-id": self.target_id, "x-not-executed": "1"})
            if self.busy or MODEL not in self.weights:
                return Response(503, {"x-not-executed": "1"})
        if request.headers.get("x-expected-instance") != self.target_id:
            return await super()._answer(request)
        run = Run(request.headers["x-attempt-id"], self, self.target_id, _now())
        self.runs.append(run)
        try:
            response = await super()._answer(request)
        except asyncio.CancelledError:
            self._end_run(run, RunEnd.BROKEN)
            raise
        if isinstance(response.body, bytes):
            self._end_run(run, RunEnd.WHOLE)
        else:
            response = Response(response.status, response.headers, self._follow(run, response.body))
        return response

    async def _follow(self, run: Run, body: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
        switches = self._switches
        try:
            async with aclosing(body):
                async for part in body:
                    if switches != self._switches:
                        self._end_run(run, RunEnd.BROKEN)
                        raise ConnectionResetError("switched to other weights")
                    sent_at = _now()
                    yield part
                    run.events, run.event_at = run.events + 1, sent_at
            self._end_run(run, RunEnd.WHOLE)
        finally:
            is_ended = self._ending is not None
            self._end_run(run, RunEnd.BROKEN if is_ended else RunEnd.LEFT)

    def _end_run(self, run: Run, end: RunEnd) -> None:
        if run.end is None:
            run.end, run.ended_at = end, _now()

    def _order(self, order: dict) -> Response:
        response = super()._order(order)
        if response.status == 202 and order.get("SwitchMode") == "cancel":
            self._switches += 1
        return response


class _RecordedStream:
    """A connection of a caller; notes each request of which the entry has read the last byte."""

    def __init__(self, stream: MemoryStream, read_at: dict[str, float]) -> None:
        self._stream = stream
        self._read_at = read_at
        self._received = b""

    def __getattr__(self, name: str) -> object:
        return getattr(self._stream, name)

    async def read(self, limit: int) -> bytes:
        data = await self._stream.read(limit)
        self._received += data
        for match in END_MARKER.finditer(self._received):
            self._read_at.setdefault(match[1].decode(), _now())
            self._received = self._received[match.end() :]
        return data


class _RecordingNetwork:
    """The network of an entry, with the connections of its callers recorded."""

    def __init__(self, network: MemoryNetwork, read_at: dict[str, float]) -> None:
        self._network = network
        self._read_at = read_at

    async def listen(self, address: str, accept: Accept) -> Listener:
        if not address.endswith(CALLER_PORT):
            return await self._network.listen(address, accept)

        async def accept_recorded(stream: Stream) -> None:
            await accept(_RecordedStream(stream, self._read_at))

        return await self._network.listen(address, accept_recorded)

    async def connect(self, address: str) -> Stream:
        return await self._network.connect(address)


@dataclass(frozen=True)
class Admission:
    """What an entry knew when it began to serve a request."""

    routes_version: int
    timeout_s: float | None  # of the route; None if the entry knew none
    attempts: int = 1  # of the route: the most targets that may run the request


class SoakFleet(DeclaredFleet):
    """A fleet that records, by request, when an entry had read it, and its route's timeout."""

    target_type = SoakTarget

    def __init__(self) -> None:
        super().__init__()
        self.read_at: dict[str, float] = {}
        self.admissions: dict[str, Admission] = {}
        self.signalled: list[tuple[int, float]] = []  # entry and time of each SIGTERM
        self._starts = 0

    @property
    def grace_s(self) -> float:
        """The time between SIGTERM of an entry and its kill."""
        return self._settings("", "").fleet.grace_ms / MS_PER_S

    async def connect(self, entry: int) -> Stream:
        """Open a connection of a caller to an entry."""
        return await self.network.view(CALLERS_IP).connect(f"10.1.0.{entry + 1}{CALLER_PORT}")

    def entry_settings(self, number: int) -> Settings:
        """Return the settings that entries start with, to be changed and applied to one."""
        return self._settings(f"entry-{number}", "")

    def entry_network(self, ip: str) -> _RecordingNetwork:
        return _RecordingNetwork(self.network.view(ip), self.read_at)

    def entry_seed(self, number: int) -> int | str:
        self._starts += 1
        return f"{number}/{self._starts}"

    async def add_entry(self, number: int = 1, place: str = "hall") -> FrontendProcess:
        entry = await super().add_entry(number, place)
        serve = entry.relay.serve

        async def serve_recorded(call: Call, caller: CallerConnection) -> None:
            call_id = next(value for name, value in call.headers if name.lower() == "x-attempt-id")
            routes = entry.knowledge.routes
            route = routes.find(call.domain, call.path) if routes else None
            self.admissions[call_id] = Admission(
                routes.version if routes else 0,
                route.timeout_s if route else None,
                route.attempts if route else 0,
            )
            await serve(call, caller)

        entry.relay.serve = serve_recorded
        return entry

    def _list(self, target: TargetStandIn, service: str, row: dict[str, object]) -> None:
        models = [{"Name": MODEL, "Version": held} for held in target.weights.values()]
        if service in STREAM_SERVICES:
            row = {**row, "Models": models}
        super()._list(target, service, row)

    def list_leaving(self, target: TargetStandIn) -> None:
        """List a target as leaving, which it does some seconds before it ends."""
        row = self.store.rows("servers").get(target.target_id)
        if row is not None:
            self.store.put("servers", target.target_id, {**row, "State": "draining"})

    @property
    def runs(self) -> list[Run]:
        """All runs of all targets in order."""
        runs = [run for target in self.targets.values() for run in target.runs]
        return sorted(runs, key=lambda run: run.begun_at)


def _now() -> float:
    return asyncio.get_running_loop().time()
