"""Tests of clients and stand-ins over loopback sockets, which can differ from memory streams."""

import asyncio
import gc
import hashlib
import json
from contextlib import aclosing

from lacewinggw.clients.engine import ActivateOrder, EngineClient, Generation, LoadOrder
from lacewinggw.clients.weights import ORIGIN, WeightsClient
from lacewinggw.ids import Digest, ReleaseName, RequestId
from lacewinggw.lab.engine import EngineStandIn
from lacewinggw.lab.releases import SyntheticRelease
from lacewinggw.lab.standin import wait_while
from lacewinggw.lab.weights import WeightsStandIn
from lacewinggw.wire.network import TcpNetwork

DIGEST = Digest("00" * 32)
WAIT_TIMEOUT_S = 10.0


async def test_closing_a_stream_cancels_its_run_without_garbage_collection() -> None:
    network = TcpNetwork()
    engine = EngineStandIn(network)
    await engine.start()
    client = EngineClient(network, engine.address)
    await client.stage_chunk(DIGEST, 0, b"chunk")
    await client.order(LoadOrder(DIGEST, ReleaseName("market-7"), 1), 1)
    await client.order(ActivateOrder(DIGEST), 1)
    body = json.dumps({"prompt": "", "pieces": 10_000}).encode()
    gc.disable()
    try:
        async with aclosing(client.generate(Generation(RequestId("r1"), body), 5.0)) as items:
            await anext(items)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            await wait_while(lambda: engine.stats()["running"] > 0)
    finally:
        gc.enable()
    assert not engine.runs[0].finished
    await client.close()
    await engine.close()


async def test_all_chunks_of_a_release_are_downloaded_once() -> None:
    network = TcpNetwork()
    origin = WeightsStandIn(network, bytes_per_s=50e6)
    await origin.start()
    manifest = origin.add_release(SyntheticRelease("market-7", 3 << 20))
    client = WeightsClient(network, origin.address, ORIGIN, 5.0)
    chunks = await asyncio.gather(
        *[client.chunk(chunk_hash.hex()) for chunk_hash in manifest.chunk_hashes]
    )
    assert [hashlib.sha256(chunk).digest() for chunk in chunks] == manifest.chunk_hashes
    assert origin.copies("market-7") == 1.0
    await client.close()
    await origin.close()
