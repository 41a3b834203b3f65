"""The platform's services and engines that answer with bytes without end, over loopback sockets.

Guards against a reader that keeps them all: each call ends with an error within its time, and takes
no more than its limit.
"""

import asyncio
import resource

import pytest
from endless_peers import ENDLESS_ANSWERS, measured_loop, socket_peer
from lacewinggw_platform.engine import PlatformEngine
from lacewinggw_platform.origin import PlatformOrigin
from lacewinggw_platform.store import PlatformStore

from lacewinggw.decisions.clientload import ClientState
from lacewinggw.decisions.storeposition import StorePosition
from lacewinggw.errors import LacewingError, TargetUnreachable
from lacewinggw.fleet.feed import Topic
from lacewinggw.frontend.calls import AnswerFacts
from lacewinggw.frontend.offers import Answer, read_whole
from lacewinggw.generated.messages.ttypes import Manifest
from lacewinggw.loader.target import StagedLoadOrder, SwitchMode
from lacewinggw.metrics import Metrics
from lacewinggw.wire.clients import ClientLimits, Clients
from lacewinggw.wire.http import HttpClient, HttpError
from lacewinggw.wire.network import TcpNetwork

LONGEST_TURN_S = 0.05
CALL_S = 8.0  # the longest time limit of these calls, and its margin
MAX_TAKEN_BYTES = 40 << 20  # sent by the peer, with what the kernel buffers
MANIFEST = Manifest("market@2", "market@2", [b"h" * 32], [1024])
ORDER = StagedLoadOrder("market", 2, SwitchMode.FINISH, 1, 0)
AFTER = StorePosition(0, 1)
HELD_BYTES = 48 << 20
CONNECTION_BYTES = 512 << 10  # of a connection, for what is received and not read

READERS = {
    "report": lambda http, at: PlatformEngine(http, at).report(),
    "staged pieces": lambda http, at: PlatformEngine(http, at).staged("market"),
    "a staged piece": lambda http, at: PlatformEngine(http, at).read_piece("market", 1),
    "an order": lambda http, at: PlatformEngine(http, at).order(ORDER, lambda: True),
    "rows": lambda http, at: PlatformStore(http, at).snapshot(Topic.TARGETS),
    "changes": lambda http, at: PlatformStore(http, at).changes(Topic.TARGETS, AFTER, 1.0),
    "a manifest": lambda http, at: PlatformOrigin(http, at).manifest_by_digest("market@2"),
    "a piece": lambda http, at: PlatformOrigin(http, at).fetch(MANIFEST, 0),
}
KINDS = ["interim responses", "headers", "one header", "no answer", "chunks of one byte", "a body"]


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("reader", READERS)
async def test_endless_bytes_end_a_call_of_a_service(reader, kind):
    async with socket_peer(*ENDLESS_ANSWERS[kind]) as peer:
        client = HttpClient(TcpNetwork(), idle_connections=0)
        with measured_loop() as gauge:
            async with asyncio.timeout(CALL_S):
                with pytest.raises((LacewingError, TargetUnreachable)):
                    await READERS[reader](client, peer.address)
        await client.close()
        assert gauge.longest_turn_s < LONGEST_TURN_S
        assert peer.sent_bytes < MAX_TAKEN_BYTES


def peak_bytes() -> int:
    """Return the largest resident size of this process so far."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


# Guards against many faulty targets at once whose answers fill the memory of an entry together.
async def test_endless_answers_of_many_targets_take_a_limited_amount_of_memory():
    answers_at_once = 64
    clients = Clients(ClientLimits(HELD_BYTES, answers_at_once, 1), Metrics())
    admission = clients.caller_admission("callers")
    facts = AnswerFacts("call", not_run=False, sealed=True)
    async with socket_peer(*ENDLESS_ANSWERS["a body"]) as peer:
        client = HttpClient(TcpNetwork(), idle_connections=0)

        async def read() -> str:
            response = await client.stream(peer.address, "GET", "/", timeout_s=CALL_S)
            caller = admission.admit(lambda _: None)
            caller.enter(ClientState.SERVED)
            answer = Answer(response.status, response.headers, facts, response, caller)
            try:
                await read_whole(answer, lambda: None)
            except (LacewingError, HttpError) as error:
                caller.release()
                return str(error)
            return "complete"

        before = peak_bytes()
        endings = await asyncio.gather(*(read() for _ in range(answers_at_once)))
        await client.close()
        limit = HELD_BYTES + answers_at_once * CONNECTION_BYTES
        assert "complete" not in endings
        assert peak_bytes() - before < limit
