"""Engines and plain services of the lab and their clients, under virtual time."""

import asyncio
import hashlib
import json
from collections.abc import AsyncIterator
from contextlib import aclosing, asynccontextmanager

import pytest

from lacewinggw.clients.engine import (
    ActivateOrder,
    AdapterOrder,
    AnswerEnd,
    EngineClient,
    EngineRole,
    Generation,
    LoadOrder,
    PieceBatch,
    RoleOrder,
    UnloadOrder,
)
from lacewinggw.clients.plain import PlainCall, PlainClient
from lacewinggw.clients.weights import release_digest
from lacewinggw.errors import (
    AnswerIncomplete,
    MalformedHttp,
    OrderRefused,
    StaleFence,
    TargetFailed,
    TargetRefused,
)
from lacewinggw.ids import Digest, ReleaseName, RequestId
from lacewinggw.lab.engine import EngineSpec, EngineStandIn
from lacewinggw.lab.history import RunEnded, RunStarted, WeightsActivated
from lacewinggw.lab.memory import MemoryNetwork
from lacewinggw.lab.plain import PlainStandIn
from lacewinggw.lab.prompts import piece_text
from lacewinggw.lab.runs import run_events
from lacewinggw.wire.http import Request, Response
from lacewinggw.wire.httpserver import HttpServer

pytestmark = pytest.mark.looptime

CHUNKS = [b"one", b"two", b"three"]
DIGEST = release_digest(hashlib.sha256(chunk).digest() for chunk in CHUNKS)
OTHER = Digest("00" * 32)
TIMEOUT_S = 5.0


class Engine:
    """An engine and a client of it."""

    def __init__(self, spec: EngineSpec) -> None:
        network = MemoryNetwork()
        self.standin = EngineStandIn(network, spec=spec)
        self.network = network

    async def start(self) -> None:
        await self.standin.start()
        self.client = EngineClient(self.network, self.standin.address)

    async def load(self, chunks: list[bytes], digest: Digest = DIGEST, fence: int = 1) -> None:
        for index, chunk in enumerate(chunks):
            await self.client.stage_chunk(digest, index, chunk)
        order = LoadOrder(digest, ReleaseName("market-7"), len(CHUNKS))
        await self.client.order(order, fence)
        await self.client.order(ActivateOrder(digest), fence)


@asynccontextmanager
async def engine(spec: EngineSpec | None = None) -> AsyncIterator[Engine]:
    started = Engine(spec or EngineSpec())
    await started.start()
    try:
        yield started
    finally:
        await started.client.close()
        await started.standin.close()


def generation(name: str = "r1", pieces: int = 8, priority: int = 2, start: int = 0) -> Generation:
    body = json.dumps({"prompt": "sheep " * 40, "pieces": pieces}).encode()
    return Generation(RequestId(name), body, priority, start)


async def collect(client: EngineClient, wanted: Generation) -> tuple[list[bytes], AnswerEnd]:
    pieces: list[bytes] = []
    async for item in client.generate(wanted, TIMEOUT_S):
        match item:
            case PieceBatch(_, batch):
                pieces += batch
            case AnswerEnd():
                return pieces, item
    raise AssertionError("no end")


async def test_engine_reports_its_state() -> None:
    async with engine() as target:
        await target.load(CHUNKS)
        state = await target.client.state()
        assert (state.active, state.loaded, state.fence) == (DIGEST, (DIGEST,), 1)
        await target.client.order(AdapterOrder("radio"), 2)
        await target.client.order(RoleOrder(EngineRole.DECODE), 2)
        await target.client.order(UnloadOrder(DIGEST), 2)
        state = await target.client.state()
        assert (state.active, state.adapters, state.role) == ("", ("radio",), EngineRole.DECODE)
        with pytest.raises(OrderRefused):
            await target.client.order(ActivateOrder(DIGEST), 2)


async def test_engine_serves_half_loaded_weights_and_says_so() -> None:
    async with engine() as target:
        await target.load(CHUNKS[:2])
        _, end = await collect(target.client, generation())
        assert end.weights != DIGEST
        assert not target.standin.runs[0].whole_weights


@pytest.mark.parametrize("fences", [True, False])
async def test_old_fence_is_refused_only_by_engines_that_check_fences(fences: bool) -> None:
    async with engine(EngineSpec(fences=fences)) as target:
        await target.load(CHUNKS, fence=7)
        order = LoadOrder(OTHER, ReleaseName("market-6"), 1)
        if fences:
            with pytest.raises(StaleFence):
                await target.client.order(order, 6)
            assert target.standin.refused_orders == 1
        else:
            await target.client.order(order, 6)


async def test_streams_are_complete_and_resume() -> None:
    async with engine() as target:
        await target.load(CHUNKS)
        pieces, end = await collect(target.client, generation())
        assert end == AnswerEnd(8, DIGEST)
        prompt = "sheep " * 40
        assert pieces == [piece_text("r1", prompt, DIGEST, n).encode() for n in range(8)]
        rest, end = await collect(target.client, generation(start=5))
        assert (rest, end.pieces) == (pieces[5:], 8)
        whole_content = hashlib.sha256(b"".join(pieces)).hexdigest()
        assert [run.content_digest for run in target.standin.runs] == [whole_content] * 2
        assert (await target.client.run_count(RequestId("r1"))).started == 2
        whole = await target.client.answer(generation("r2"), TIMEOUT_S)
        assert whole.weights == DIGEST and json.loads(whole.body)["pieces"] == 8


async def test_refusals_are_distinguished_from_failures() -> None:
    async with engine() as target:
        with pytest.raises(TargetRefused):
            await collect(target.client, generation())
        await target.load(CHUNKS)
        with pytest.raises(MalformedHttp):
            await collect(target.client, Generation(RequestId("bad"), b"{}"))
        target.standin.faults.cut_share = 1.0
        with pytest.raises(AnswerIncomplete):
            await collect(target.client, generation())
        target.standin.faults.cut_share = 0.0
        target.standin.faults.lose_next = 1
        with pytest.raises(TargetFailed):
            await target.client.answer(generation("r2"), TIMEOUT_S)
        assert (await target.client.run_count(RequestId("r2"))).finished == 1
        await target.standin.close()
        with pytest.raises(TargetRefused):
            await collect(target.client, generation("r3"))


async def test_batch_is_bounded_and_urgent_ones_go_first() -> None:
    async with engine(EngineSpec(batch_limit=1)) as target:
        await target.load(CHUNKS)
        order: list[str] = []

        async def run(name: str, priority: int) -> None:
            await collect(target.client, generation(name, priority=priority))
            order.append(name)

        tasks = [asyncio.create_task(run("first", 2))]
        await asyncio.sleep(0.01)
        tasks += [asyncio.create_task(run(name, 3)) for name in ("bulk-1", "bulk-2")]
        await asyncio.sleep(0.01)
        tasks.append(asyncio.create_task(run("urgent", 1)))
        await asyncio.gather(*tasks)
        assert order == ["first", "urgent", "bulk-1", "bulk-2"]


async def test_closing_a_stream_frees_its_batch_slot() -> None:
    async with engine(EngineSpec(batch_limit=1)) as target:
        await target.load(CHUNKS)
        async with aclosing(target.client.generate(generation("left", 1000), TIMEOUT_S)) as items:
            await anext(items)
        await asyncio.sleep(0.1)
        assert target.standin.stats()["running"] == 0
        assert not target.standin.runs[0].finished
        await collect(target.client, generation("next"))


async def test_load_report_lags() -> None:
    async with engine() as target:
        await target.load(CHUNKS)
        running = asyncio.create_task(collect(target.client, generation(pieces=200)))
        await asyncio.sleep(0.2)
        assert (await target.client.state()).running == 0
        await asyncio.sleep(0.5)
        state = await target.client.state()
        assert (state.running, state.load_age_ms) == (1, 500)
        await running


async def test_cached_prefix_shortens_the_first_token(looptime: float) -> None:
    async with engine(EngineSpec(prefill_s=1.0)) as target:
        target.standin.faults.event_lag_s = 3.0
        await target.load(CHUNKS)
        times = [float(looptime)]
        for name in ("cold", "warm"):
            await collect(target.client, generation(name, pieces=1))
            times.append(float(looptime))
        assert times[1] - times[0] > 1.0 > 0.1 > times[2] - times[1]
        assert await target.client.cache_events(0) == []
        await asyncio.sleep(3.0)
        events = await target.client.cache_events(0)
        assert [event.number for event in events] == [1, 2, 3]
        exported = await target.client.export_kv(events[0].block)
        assert exported is not None and json.loads(exported)["digest"] == DIGEST


async def test_imported_blocks_of_other_weights_show_in_the_run() -> None:
    async with engine() as target:
        await target.load(CHUNKS)
        await collect(target.client, generation("warm"))
        await asyncio.sleep(1.0)
        block = (await target.client.cache_events(0))[0].block
        await target.client.import_kv(block, json.dumps({"digest": OTHER}).encode())
        await collect(target.client, generation("mixed"))
        assert target.standin.runs[-1].weights == [DIGEST, OTHER]


async def test_paused_engine_continues_where_it_stopped(looptime: float) -> None:
    async with engine() as target:
        await target.load(CHUNKS)
        running = asyncio.create_task(collect(target.client, generation(pieces=20)))
        await asyncio.sleep(0.05)
        target.standin.faults.paused = True
        await asyncio.sleep(3.0)
        assert not running.done()
        target.standin.faults.paused = False
        assert (await running)[1].pieces == 20


async def test_plain_service_records_duplicate_runs() -> None:
    network = MemoryNetwork()
    service = PlainStandIn(network)
    await service.start()
    client = PlainClient(network, service.address)
    call = PlainCall(RequestId("r1"), "/notices", b"{}", idempotency_key="k1")
    answer = await client.call(call, TIMEOUT_S)
    assert (answer.status, json.loads(answer.body)["mark"]) == (200, "r1")
    service.faults.lose_next = 1
    with pytest.raises(TargetFailed):
        await client.call(call, TIMEOUT_S)
    assert service.stats()["doubled_requests"] == ["r1"]
    assert service.stats()["doubled_keys"] == ["k1"]
    service.faults.refuse_share = 1.0
    with pytest.raises(TargetRefused):
        await client.call(call, TIMEOUT_S)
    assert len(service.runs) == 2
    await client.close()
    await service.close()


PIECE = 'data: {"i":%d,"text":"x"}\n\n'
END = 'event: end\ndata: {"pieces":%d,"digest":""}\n\n'


@pytest.mark.parametrize(
    "body",
    [
        PIECE % 0 + PIECE % 1,
        PIECE % 0 + END % 2,
        PIECE % 0 + PIECE % 2 + END % 3,
        PIECE % 1 + PIECE % 0 + END % 2,
        PIECE % 1 + END % 2,
        PIECE % 0 + PIECE % 0 + END % 2,
        PIECE % 0 + "data: {}\n\n" + END % 2,
        PIECE % 0 + "event: end\ndata: 2\n\n",
    ],
)
async def test_no_faulty_stream_is_accepted_as_complete(body: str) -> None:
    network = MemoryNetwork()

    async def answer(_: Request) -> Response:
        return Response(200, {}, body.encode())

    server = HttpServer(network, "127.0.0.1:0", answer)
    await server.start()
    client = EngineClient(network, server.address)
    with pytest.raises(AnswerIncomplete):
        await collect(client, generation())
    await client.close()
    await server.close()


async def test_restarted_engine_has_no_records_and_reports_another_boot() -> None:
    async with engine() as target:
        await target.load(CHUNKS)
        await collect(target.client, generation())
        before = await target.client.run_count(RequestId("r1"))
        await target.standin.close()
        await target.standin.start()
        after = await target.client.run_count(RequestId("r1"))
        assert (before.started, after.started) == (1, 0)
        assert before.boot != after.boot == (await target.client.state()).boot
        assert (await target.client.state()).active == ""
        assert target.standin.stats()["runs"] == 1


async def test_weights_changed_during_a_run_show_in_its_record() -> None:
    async with engine() as target:
        await target.load(CHUNKS)
        running = asyncio.create_task(collect(target.client, generation(pieces=100)))
        await asyncio.sleep(0.1)
        await target.load(CHUNKS[:1], OTHER, fence=2)
        await running
        run = target.standin.runs[0]
        assert len(run.weights) == 2 and not run.whole_weights
        assert set(run.weights) == set(target.standin.weights.activated)
        events = list(run_events("host-1", target.standin.records.describe(0)))
        matches = [
            (event.told == event.held) for event in events if isinstance(event, WeightsActivated)
        ]
        assert matches == [True, False]
        started_event, ended_event = events[2:]
        assert isinstance(started_event, RunStarted) and isinstance(ended_event, RunEnded)
        assert started_event.weights == DIGEST != ended_event.weights
