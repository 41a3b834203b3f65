"""Stand-in of a plain service: it answers every call and remembers each run."""

import asyncio
from dataclasses import dataclass
from typing import Any

from lacewinggw.clients.targets import IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER
from lacewinggw.lab.runs import RunRecords, TargetRun, mark_of, text_digest
from lacewinggw.lab.standin import LOOPBACK, Faults, StandIn, refused
from lacewinggw.wire.http import Request, Response, json_response
from lacewinggw.wire.network import Network

RAN = "/ran/"


@dataclass
class PlainFaults(Faults):
    """Faults of a plain service: seconds that a call takes, and shares that fail.

    `refuse_share` is refused with 503 before it runs; `fail_share` runs and then answers
    `fail_status`, without the statement that it was not run.
    """

    latency_s: float = 0.005
    refuse_share: float = 0.0
    fail_share: float = 0.0
    fail_status: int = 500


class PlainStandIn(StandIn):
    """A plain service whose answer tells which call it belongs to."""

    faults: PlainFaults

    def __init__(self, network: Network, address: str = LOOPBACK, seed: int = 0) -> None:
        super().__init__(network, address, seed)
        self.faults = PlainFaults()
        self.records = RunRecords(f"{self.rng.getrandbits(64):x}")

    @property
    def runs(self) -> list[TargetRun]:
        """Every run."""
        return self.records.runs

    def stats(self) -> dict[str, Any]:
        """Return how many runs there were, and which request ids and keys ran more than once."""
        return {
            "runs": len(self.runs),
            "finished": sum(run.finished for run in self.runs),
            "doubled_requests": self.records.doubled_requests(),
            "doubled_keys": self.records.doubled_keys(),
        }

    async def answer(self, request: Request) -> Response:
        """Run a call, or tell of runs."""
        match request.method, request.path:
            case "GET", "/runs":
                return json_response(200, self.records.describe(int(request.query.get("after", 0))))
            case "GET", path if path.startswith(RAN):
                request_id = path.removeprefix(RAN)
                count = sum(run.request_id == request_id for run in self.runs)
                return json_response(200, {"ran": count})
        if self.happens(self.faults.refuse_share):
            return refused(503, "busy", 1.0)
        return await self._run(request)

    async def _run(self, request: Request) -> Response:
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        mark = mark_of(request.body, request_id)
        key = request.headers.get(IDEMPOTENCY_KEY_HEADER, "")
        run = self.records.begin(request_id, mark, key=key, path=request.path)
        await asyncio.sleep(self.faults.latency_s)
        if self.happens(self.faults.fail_share):
            return json_response(self.faults.fail_status, {"reason": "failed after it ran"})
        answer = {"mark": mark, "path": run.path, "body_digest": text_digest(request.body)}
        response = json_response(200, answer)
        run.end(text_digest(response.content))
        return self.written(response)
