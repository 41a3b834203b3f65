"""Stand-in of a plain service: it answers every call and remembers each run."""

import asyncio
import hashlib
from collections import Counter
from dataclasses import asdict, dataclass
from typing import Any

from lacewinggw.lab.standin import LOOPBACK, Faults, StandIn, now, refused
from lacewinggw.platform.targets import KEY_HEADER, REQUEST_ID_HEADER
from lacewinggw.wire.http import Request, Response, json_response
from lacewinggw.wire.network import Network

RAN = "/ran/"


@dataclass
class PlainFaults(Faults):
    """Faults of a plain service: seconds that a call takes, and shares that fail.

    `refuse_share` is refused with 503 before it runs; `fail_share` runs and then answers 500.
    """

    latency_s: float = 0.005
    refuse_share: float = 0.0
    fail_share: float = 0.0


@dataclass(frozen=True)
class PlainRun:
    """One run of one call."""

    request_id: str
    key: str
    path: str
    body_digest: str
    started_at: float


class PlainStandIn(StandIn):
    """A plain service whose answer tells which call it belongs to."""

    faults: PlainFaults

    def __init__(self, network: Network, address: str = LOOPBACK, seed: int = 0) -> None:
        super().__init__(network, address, seed)
        self.faults = PlainFaults()
        self.runs: list[PlainRun] = []
        self._by_request: Counter[str] = Counter()
        self._by_key: Counter[str] = Counter()

    def stats(self) -> dict[str, Any]:
        """Return how many runs there were, and which request ids and keys ran more than once."""
        return {
            "runs": len(self.runs),
            "doubled_requests": [name for name, count in self._by_request.items() if count > 1],
            "doubled_keys": [name for name, count in self._by_key.items() if count > 1],
        }

    async def answer(self, request: Request) -> Response:
        """Run a call, or tell of runs."""
        match request.method, request.path:
            case "GET", "/runs":
                return json_response(200, {"runs": [asdict(run) for run in self.runs]})
            case "GET", path if path.startswith(RAN):
                count = self._by_request[path.removeprefix(RAN)]
                return json_response(200, {"ran": count})
        if self.happens(self.faults.refuse_share):
            return refused(503, "busy", 1.0)
        return await self._run(request)

    async def _run(self, request: Request) -> Response:
        run = PlainRun(
            request_id=request.headers.get(REQUEST_ID_HEADER, ""),
            key=request.headers.get(KEY_HEADER, ""),
            path=request.path,
            body_digest=hashlib.sha256(request.body).hexdigest(),
            started_at=now(),
        )
        self._record(run)
        await asyncio.sleep(self.faults.latency_s)
        if self.happens(self.faults.fail_share):
            return refused(500, "failed after it ran")
        answer = {"request_id": run.request_id, "path": run.path, "body_digest": run.body_digest}
        return self.written(json_response(200, answer))

    def _record(self, run: PlainRun) -> None:
        self.runs.append(run)
        if run.request_id:
            self._by_request[run.request_id] += 1
        if run.key:
            self._by_key[run.key] += 1
