"""Targets that send bytes without end which are no answer, in a head or a body.

Guards against taking them until the request's deadline: interim responses took 79 MB a request,
and no other target was tried.
"""

import asyncio

import pytest
from declared_fleet import Reply, running_fleet
from endless_peers import ENDLESS_ANSWERS, OK_HEAD
from platform_standins import DESK, LLM
from raw_targets import RawRequest, RawTarget

from lacewinggw.decisions.clientload import SMALL_BYTES, ClientUse, MemoryLimit
from lacewinggw.wire.network import Stream

pytestmark = pytest.mark.looptime

REQUESTS = 4
FAST_WRITE_BYTES = 1 << 16
FAST_S = 0.001
SLOW_S = 0.05  # for each byte
ANSWER_S = 0.2  # so that sound targets are listed by the time of the first answer
MAX_TAKEN_BYTES = 20 << 20  # of one answer
FAULTY_S = 0.7  # by then each answer has ended, and been repeated where it may be


def endless_target(first: bytes, repeated: bytes, is_slow: bool = False) -> RawTarget:
    """Return a target that answers with endless bytes; its head has the seal, if it is one."""
    sealed = b"HTTP/1.1 200 OK\r\nX-Response-Seal: seal\r\nX-Weight-Versions: 1\r\n"
    first = first.replace(OK_HEAD, sealed)

    async def answer(stream: Stream, request: RawRequest) -> None:
        await asyncio.sleep(ANSWER_S)
        stream.write(first)
        data = repeated * (FAST_WRITE_BYTES // len(repeated))
        position = 0
        while not stream.ended:
            if is_slow:
                stream.write(repeated[position : position + 1])
                position = (position + 1) % len(repeated)
                await asyncio.sleep(SLOW_S)
            else:
                target.sent_bytes.append(len(data))
                stream.write(data)
                await asyncio.sleep(FAST_S)
                await stream.drain()

    target = RawTarget("i-endless", answer)
    return target


async def ask_all(path: str, service: str, target: RawTarget) -> list[tuple[Reply, float]]:
    """Return replies to concurrent requests, with the time each took, at a faulty target."""
    async with running_fleet(desks=0, engines=0) as fleet:
        await target.start(fleet, service, "10.4.0.1")
        await asyncio.sleep(2.0)
        loop = asyncio.get_running_loop()

        async def ask() -> tuple[Reply, float]:
            began = loop.time()
            reply = await fleet.ask(path, X_Model="market")
            return reply, loop.time() - began

        asked = [asyncio.ensure_future(ask()) for _ in range(REQUESTS)]
        while not target.requests:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
        for number in range(2):
            await fleet.add_target(f"sound{number}", service, f"10.4.0.{number + 2}")
        replies = await asyncio.gather(*asked)
        rendered = fleet.entries[0].metrics.render()
        assert 'lacewinggw_invalid_answers_total{fault="malformed"}' in rendered
        return replies


FAULTY_ANSWERS = [
    "interim responses",
    "headers",
    "chunks of one byte",
    "chunks with extensions",
    "trailers",
    "one event",
    "a body",
]


@pytest.mark.parametrize("kind", FAULTY_ANSWERS)
@pytest.mark.parametrize(("path", "service"), [("/report/1", LLM), ("/tally/1", DESK)])
async def test_a_request_that_may_be_repeated_is_answered_by_another_target(kind, path, service):
    target = endless_target(*ENDLESS_ANSWERS[kind])
    for reply, _ in await ask_all(path, service, target):
        assert (reply.status, reply.whole) == (200, True)
    assert target.sent_bytes and sum(target.sent_bytes) < REQUESTS * MAX_TAKEN_BYTES


@pytest.mark.parametrize("kind", FAULTY_ANSWERS)
async def test_a_request_that_runs_once_fails_at_once(kind):
    target = endless_target(*ENDLESS_ANSWERS[kind])
    for reply, took_s in await ask_all("/sheet/1", DESK, target):
        assert reply.status in (200, 502) and reply.whole
        assert took_s < FAULTY_S


# A trickle counts as silence: other targets are tried beside it.
@pytest.mark.parametrize("kind", ["headers", "one header", "one event", "a body"])
async def test_a_stream_whose_target_sends_byte_by_byte_is_answered_by_another(kind):
    target = endless_target(*ENDLESS_ANSWERS[kind], is_slow=True)
    async with running_fleet(desks=0, engines=2) as fleet:
        await target.start(fleet, LLM, "10.4.0.1")
        await asyncio.sleep(2.0)
        replies = [await fleet.ask("/report/1", X_Model="market") for _ in range(6)]
        assert target.requests
        assert [(reply.status, reply.whole) for reply in replies] == [(200, True)] * 6


# Guards against answers that fill the memory of an entry together, each within its own limit.
def test_large_answers_share_a_limit():
    limit = MemoryLimit(8 * SMALL_BYTES)
    first, second, small = ClientUse(), ClientUse(), ClientUse()
    assert limit.take(first, 5 * SMALL_BYTES)
    assert limit.take(second, SMALL_BYTES)
    assert not limit.take(second, 1)
    assert limit.take(small, SMALL_BYTES)
    limit.release(first)
    assert limit.take(second, 4 * SMALL_BYTES)
    limit.release(small)
    limit.release(second)
    assert limit.used_bytes == 0
    assert limit.take(second, 10 * SMALL_BYTES)  # the only large one
