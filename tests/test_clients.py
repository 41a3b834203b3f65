"""Clients that wait for memory, and those that give way for it, in virtual time."""

import asyncio

import pytest

from lacewinggw.decisions.clientload import STALL_S, ClientState
from lacewinggw.errors import Overloaded
from lacewinggw.generated.settings.ttypes import ProcessSettings
from lacewinggw.metrics import Metrics
from lacewinggw.wire.clients import WAIT_S, WAIT_STEP_S, ClientLimits, Clients

pytestmark = pytest.mark.looptime

MB = 1_000_000
LIMITS = ClientLimits(held_bytes=40 * MB, callers=100, page_clients=10)
LARGE = 10 * MB


class Crowd:
    """Connections at one admission, and which of them were closed for others."""

    def __init__(self, limits: ClientLimits = LIMITS) -> None:
        self.clients = Clients(limits, Metrics())
        self.admission = self.clients.caller_admission("callers")
        self.closed = []

    def connect(self, name: str = ""):
        return self.admission.admit(lambda reason: self.closed.append((name, reason.value)))

    @property
    def used(self) -> int:
        return self.clients._memory.used_bytes


async def test_a_client_waits_until_memory_is_given_back():
    crowd = Crowd()
    first = [crowd.connect() for _ in range(3)]
    for client in first:
        client.enter(ClientState.SERVED)
        await client.reserve(LARGE)
    waiting = asyncio.ensure_future(crowd.connect().reserve(LARGE))
    await asyncio.sleep(WAIT_S / 2)
    assert not waiting.done()
    first[0].release()
    await waiting
    assert crowd.used == 3 * LARGE and not crowd.closed


async def test_a_client_is_refused_if_no_memory_is_given_back():
    crowd = Crowd()
    for _ in range(3):
        client = crowd.connect()
        client.enter(ClientState.SERVED)
        await client.reserve(LARGE)
    with pytest.raises(Overloaded) as refused:
        await crowd.connect().reserve(LARGE)
    assert refused.value.retry_after_ms
    assert crowd.used == 3 * LARGE


async def test_clients_that_stopped_sending_give_way_to_one_that_waits():
    crowd = Crowd()
    for number in range(3):
        await crowd.connect(str(number)).reserve(LARGE)
        await asyncio.sleep(0.1)
    await asyncio.sleep(STALL_S)
    await crowd.connect("new").reserve(LARGE)
    assert crowd.closed == [("0", "memory")]
    assert crowd.used == 3 * LARGE


async def test_small_requests_pass_large_ones_that_wait():
    crowd = Crowd()
    for _ in range(3):
        await crowd.connect().reserve(LARGE)
    waiting = asyncio.ensure_future(crowd.connect().reserve(LARGE))
    await asyncio.sleep(0)
    async with asyncio.timeout(0.01):
        await crowd.connect().reserve(4000)
    waiting.cancel()
    await asyncio.wait([waiting])


async def test_a_client_that_leaves_while_it_waits_takes_nothing():
    crowd = Crowd()
    first = [crowd.connect() for _ in range(3)]
    for client in first:
        await client.reserve(LARGE)
    waiting = asyncio.ensure_future(crowd.connect().reserve(LARGE))
    await asyncio.sleep(0)
    waiting.cancel()
    await asyncio.wait([waiting])
    for client in first:
        client.release()
    await asyncio.sleep(2 * WAIT_S)
    assert crowd.used == 0


async def test_a_slow_small_request_does_not_give_way_to_a_large_one():
    crowd = Crowd()
    await crowd.connect("slow").reserve(4000)
    await asyncio.sleep(STALL_S)
    served = crowd.connect()
    served.enter(ClientState.SERVED)
    await served.reserve(2 * LARGE)
    with pytest.raises(Overloaded):
        await crowd.connect().reserve(2 * LARGE)
    assert ("slow", "memory") not in crowd.closed


async def test_answers_that_nobody_reads_give_way():
    crowd = Crowd()
    for number in range(3):
        client = crowd.connect(str(number))
        client.enter(ClientState.SERVED)
        await client.reserve(LARGE, is_answer=True)
        if number == 1:
            client.enter(ClientState.UNREAD)
    await asyncio.sleep(STALL_S)
    await crowd.connect("new").reserve(LARGE)
    assert crowd.closed == [("1", "memory")]


async def test_a_connection_over_the_limit_closes_the_one_that_waits_longest():
    crowd = Crowd(ClientLimits(MB, callers=3, page_clients=1))
    for number in range(3):
        crowd.connect(str(number))
    assert crowd.connect("new") is not None
    assert crowd.closed == [("0", "connections")]


async def test_a_connection_is_refused_if_all_others_are_served():
    crowd = Crowd(ClientLimits(MB, callers=3, page_clients=1))
    for _ in range(3):
        crowd.connect().enter(ClientState.SERVED)
    assert crowd.connect() is None
    assert crowd.closed == []


@pytest.mark.parametrize(
    ("memory_mb", "descriptors"), [(152, 1535), (168, 1124), (200, 4100), (300, 4100), (552, 8192)]
)
def test_limits_leave_room_on_each_machine(memory_mb, descriptors):
    """What clients may client at most, with the process itself, is within the machine."""
    settings = ProcessSettings("host", "hall", "key")
    settings.memory_bytes, settings.descriptors = memory_mb * MB, descriptors
    limits = ClientLimits.from_config(settings)
    connections = limits.callers + 4 * limits.page_clients
    assert 80 * MB + limits.held_bytes + 48_000 * connections <= memory_mb * MB
    assert connections <= 0.75 * (descriptors - 200)
    assert limits.held_bytes >= 2 * 2 * (4 << 20)  # two bodies of the longest length


# A connection that gave way for memory is told so, and keeps its place until it has read that.
async def test_a_connection_may_give_way_for_memory_and_then_for_another():
    crowd = Crowd(ClientLimits(40 * MB, callers=4, page_clients=1))
    for number in range(3):
        await crowd.connect(str(number)).reserve(LARGE)
    await asyncio.sleep(STALL_S)
    await crowd.connect("new").reserve(LARGE)
    assert crowd.connect("last") is not None
    assert crowd.closed == [("0", "memory"), ("0", "connections")]


# Each client that waits had all connections searched for stalled ones again and again, apart from
# the others.
async def test_many_clients_that_wait_are_served_by_one_timer():
    crowd = Crowd()
    for _ in range(3):
        await crowd.connect().reserve(LARGE)
    served, serve_waiting = 0, crowd.clients._serve_waiting

    def count() -> None:
        nonlocal served
        served += 1
        serve_waiting()

    crowd.clients._serve_waiting = count
    clients = [crowd.connect() for _ in range(30)]
    waiting = [asyncio.ensure_future(client.reserve(LARGE)) for client in clients]
    await asyncio.sleep(WAIT_S / 2)
    assert served <= len(clients) + WAIT_S / 2 / WAIT_STEP_S + 1
    for task in waiting:
        task.cancel()
    await asyncio.wait(waiting)
