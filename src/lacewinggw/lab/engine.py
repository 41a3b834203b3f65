"""Stand-in of a model engine: batches, streams, prefix cache, orders, and a record of each run.

It does whatever it is told, half-loaded weights and all, and records for each answer which weights
it came from, so that a checker can catch what the product should have prevented.
"""

import asyncio
import hashlib
import json
from collections import Counter
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing
from dataclasses import dataclass
from typing import Any

from lacewinggw.clients.engine import EVENT_STREAM, STALE_FENCE_REASON, EngineRole
from lacewinggw.lab.batch import BatchSlots
from lacewinggw.lab.loading import EngineWeights
from lacewinggw.lab.prefixes import PrefixCache, prefix_blocks
from lacewinggw.lab.prompts import Prompt, piece_text
from lacewinggw.lab.runs import Activation, RunRecords, TargetRun
from lacewinggw.lab.standin import LOOPBACK, Faults, Lagged, StandIn, now, refused, wait_while
from lacewinggw.wire.http import Request, Response, json_response
from lacewinggw.wire.network import Network

MS_PER_S = 1000
LOAD_KEPT_S = 10.0
STAGING = "/staging/"
RAN = "/ran/"
KV = "/kv/"
REFUSED_RETRY_S = 0.5


@dataclass(frozen=True)
class EngineSpec:
    """What an engine is like: sizes, and times in seconds.

    A token takes `token_s`, and `batch_cost` of that more for each other request in the batch.
    The first one takes `prefill_s` less the share of the prompt found in the prefix cache.
    """

    fences: bool = True
    batch_limit: int = 8
    queue_limit: int = 256
    cache_blocks: int = 512
    token_s: float = 0.005
    batch_cost: float = 0.05
    prefill_s: float = 0.02
    load_s: float = 0.1
    activate_s: float = 0.05


@dataclass
class EngineFaults(Faults):
    """Faults of an engine.

    `slowdown` multiplies its times; `refuse_share` of requests are refused, `cut_share` are cut
    after their first pieces; `paused` freezes everything until it is lifted. The load report lags
    `load_lag_s`, cache events `event_lag_s`, and `event_gap_share` of them are lost.
    """

    slowdown: float = 1.0
    refuse_share: float = 0.0
    cut_share: float = 0.0
    paused: bool = False
    load_lag_s: float = 0.5
    event_lag_s: float = 1.0
    event_gap_share: float = 0.0


@dataclass(frozen=True)
class LoadReport:
    """How many requests ran and waited at some moment."""

    running: int = 0
    queued: int = 0


class EngineStandIn(StandIn):
    """A model engine of the lab."""

    faults: EngineFaults

    def __init__(
        self,
        network: Network,
        address: str = LOOPBACK,
        seed: int = 0,
        spec: EngineSpec | None = None,
    ) -> None:
        super().__init__(network, address, seed)
        self.spec = spec or EngineSpec()
        self.faults = EngineFaults()
        self.weights = EngineWeights()
        self.records = RunRecords(f"{self.rng.getrandbits(64):x}")
        self.refused_orders = 0
        self.fence = 0
        self.adapters: set[str] = set()
        self.role = EngineRole.BOTH
        self.boot = f"{self.rng.getrandbits(64):x}"
        self.cache = PrefixCache(self.spec.cache_blocks, self.rng)
        self._started: Counter[str] = Counter()
        self._finished: Counter[str] = Counter()
        self._load = Lagged(LoadReport(), LOAD_KEPT_S)
        self._slots = BatchSlots(self.spec.batch_limit, self._record_load)

    @property
    def runs(self) -> list[TargetRun]:
        """Every run, over all starts."""
        return self.records.runs

    def stats(self) -> dict[str, Any]:
        """Return counts of runs, and which request ids ran more than once, over all starts."""
        return {
            "runs": len(self.runs),
            "finished": sum(run.finished for run in self.runs),
            "doubled_requests": self.records.doubled_requests(),
            "running": self._slots.running,
            "queued": self._slots.queued,
            "refused_orders": self.refused_orders,
            "staged_bytes": self.weights.staged_bytes,
            "cache_hits": self.cache.hits,
            "cache_misses": self.cache.misses,
            **self.weights.describe(),
        }

    async def close(self) -> None:
        """Stop at once; what is started again later is a fresh process that knows of nothing."""
        await super().close()
        self.boot = f"{self.rng.getrandbits(64):x}"
        self.weights.forget()
        self.cache = PrefixCache(self.spec.cache_blocks, self.rng)
        self.adapters.clear()
        self.role = EngineRole.BOTH
        self.fence = 0
        self._started.clear()
        self._finished.clear()

    async def answer(self, request: Request) -> Response:
        """Answer one request, once the engine is not paused."""
        await wait_while(lambda: self.faults.paused)
        match request.method, request.path:
            case "POST", "/generate":
                return await self._answer_generate(Prompt.from_request(request))
            case "POST", "/orders":
                return await self._answer_order(json.loads(request.body))
            case "GET", "/state":
                return json_response(200, self._describe())
            case "GET", "/runs":
                return json_response(200, self.records.describe(int(request.query.get("after", 0))))
            case "GET", "/events":
                after = int(request.query.get("after", 0))
                events = self.cache.events(after, self.faults.event_lag_s)
                return json_response(200, {"events": events})
            case method, path if path.startswith(STAGING):
                return self._answer_staging(method, path.removeprefix(STAGING), request.body)
            case method, path if path.startswith(KV):
                return self._answer_kv(method, path.removeprefix(KV), request.body)
            case "GET", path if path.startswith(RAN):
                return self._answer_ran(path.removeprefix(RAN))
        return refused(404, f"no {request.method} {request.path}")

    # Weights and orders

    def _answer_staging(self, method: str, path: str, body: bytes) -> Response:
        digest, _, index = path.partition("/chunks/")
        if method == "PUT" and index:
            self.weights.stage(digest, int(index), body)
            return json_response(200, {})
        return json_response(200, {"chunks": self.weights.staging.get(digest, {})})

    async def _answer_order(self, order: dict[str, Any]) -> Response:
        fence = int(order.get("fence", 0))
        if self.spec.fences and fence < self.fence:
            self.refused_orders += 1
            return json_response(409, {"reason": STALE_FENCE_REASON, "highest": self.fence})
        self.fence = max(self.fence, fence)
        return self.written(await self._carry_out(order))

    async def _carry_out(self, order: dict[str, Any]) -> Response:
        match order:
            case {"order": "load", "digest": str(digest), "chunk_count": int(count)}:
                await self._spend(self.spec.load_s)
                self.weights.load(digest, count)
            case {"order": "activate", "digest": str(digest)}:
                await self._spend(self.spec.activate_s)
                if not self.weights.activate(digest):
                    return refused(409, f"nothing is loaded by the digest {digest}")
                held = self.weights.active_digest
                self.records.activations.append(Activation(now(), digest, held))
            case {"order": "unload", "digest": str(digest)}:
                self.weights.unload(digest)
            case {"order": "adapter", "adapter": str(adapter), "loaded": bool(loaded)}:
                (self.adapters.add if loaded else self.adapters.discard)(adapter)
            case {"order": "role", "role": str(role)}:
                self.role = EngineRole(role)
            case _:
                return refused(400, "no such order")
        return json_response(200, {})

    def _describe(self) -> dict[str, Any]:
        load = self._load.read(self.faults.load_lag_s)
        return {
            **self.weights.describe(),
            "running": load.running,
            "queued": load.queued,
            "capacity": self.spec.batch_limit,
            "load_age_ms": int(self.faults.load_lag_s * MS_PER_S),
            "adapters": sorted(self.adapters),
            "role": self.role.value,
            "fence": self.fence,
            "boot": self.boot,
        }

    def _record_load(self, running: int, queued: int) -> None:
        self._load.set(LoadReport(running, queued))

    # Prefix blocks

    def _answer_kv(self, method: str, block: str, body: bytes) -> Response:
        weights = self.weights.active_digest
        if method == "PUT":
            computed_by = str(json.loads(body)["digest"])
            self.cache.store(weights, block, computed_by, self.faults.event_gap_share)
            return json_response(200, {})
        found = self.cache.computed_by(weights, block)
        if found is None:
            return refused(404, f"block {block} is not cached")
        return json_response(200, {"digest": found, "block": block})

    # Requests

    def _answer_ran(self, request_id: str) -> Response:
        started, finished = self._started[request_id], self._finished[request_id]
        counts = {"started": started, "finished": finished, "boot": self.boot}
        return json_response(200, counts)

    async def _answer_generate(self, prompt: Prompt) -> Response:
        if self.weights.active is None:
            return refused(503, "no weights are active", REFUSED_RETRY_S)
        if prompt.adapter and prompt.adapter not in self.adapters:
            return refused(409, f"adapter {prompt.adapter} is not loaded")
        if self._slots.queued >= self.spec.queue_limit:
            return refused(429, "the queue is full", REFUSED_RETRY_S)
        if self.happens(self.faults.refuse_share):
            return refused(503, "busy", REFUSED_RETRY_S)
        if prompt.streamed:
            return Response(200, {"content-type": EVENT_STREAM}, self._stream(prompt))
        texts = [text async for _, text in self._run(prompt)]
        answer = {"mark": prompt.mark, "text": "".join(texts), "pieces": prompt.pieces}
        return self.written(json_response(200, {**answer, "digest": self.weights.active_digest}))

    async def _stream(self, prompt: Prompt) -> AsyncIterator[bytes]:
        async with aclosing(self._run(prompt)) as pieces:
            async for index, text in pieces:
                yield b'data: {"i":%d,"text":"%s"}\n\n' % (index, text.encode())
        end = {"pieces": prompt.pieces, "digest": self.weights.active_digest}
        yield f"event: end\ndata: {json.dumps(end)}\n\n".encode()

    async def _run(self, prompt: Prompt) -> AsyncGenerator[tuple[int, str], None]:
        """Run a request in the batch, yielding its pieces; closing it early cancels the run."""
        await self._slots.acquire(prompt.priority)
        try:
            run = self._begin(prompt)
            await self._prefill(prompt, run)
            content = self._content_before(prompt)
            is_cut = self.happens(self.faults.cut_share)
            for index in range(prompt.resume_from, prompt.pieces):
                await self._spend(self._token_s())
                if is_cut and run.sent > 0:
                    raise ConnectionAbortedError("cut on purpose")
                text = piece_text(prompt.mark, prompt.text, self._use_weights(run), index)
                content.update(text.encode())
                yield index, text
            run.end(content.hexdigest())
            self._finished[prompt.request_id] += 1
        finally:
            self._slots.release()

    def _begin(self, prompt: Prompt) -> TargetRun:
        self._started[prompt.request_id] += 1
        run = self.records.begin(
            prompt.request_id,
            prompt.mark,
            pieces=prompt.pieces,
            resume_from=prompt.resume_from,
        )
        if self.weights.active is not None:
            run.use_weights(self.weights.active.digest, self.weights.active.whole)
        return run

    def _content_before(self, prompt: Prompt) -> "hashlib._Hash":
        """Return a hash over the pieces that a resumed answer already has."""
        content = hashlib.sha256()
        for index in range(prompt.resume_from):
            text = piece_text(prompt.mark, prompt.text, self.weights.active_digest, index)
            content.update(text.encode())
        return content

    def _use_weights(self, run: TargetRun) -> str:
        """Compute one piece: record which weights did, and return their digest."""
        if self.weights.active is None:
            raise ConnectionAbortedError("the weights were unloaded during a run")
        digest = self.weights.active.digest
        run.use_weights(digest, self.weights.active.whole)
        run.sent += 1
        return digest

    async def _prefill(self, prompt: Prompt, run: TargetRun) -> None:
        blocks = prefix_blocks(prompt.text)
        gap_share = self.faults.event_gap_share
        cached, computed_by = self.cache.use(self.weights.active_digest, blocks, gap_share)
        for digest in sorted(computed_by):
            run.use_weights(digest)
        share_left = 1 - cached / len(blocks) if blocks else 1.0
        await self._spend(self.spec.prefill_s * share_left)

    def _token_s(self) -> float:
        return self.spec.token_s * (1 + self.spec.batch_cost * (self._slots.running - 1))

    async def _spend(self, seconds: float) -> None:
        await asyncio.sleep(seconds * self.faults.slowdown)
        await wait_while(lambda: self.faults.paused)
