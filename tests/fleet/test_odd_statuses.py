"""Targets whose answers have a status that HTTP does not define.

Guards against a status outside of 100 to 599 that reaches a caller as an answer.
"""

import asyncio

import pytest
from declared_fleet import SETTLE_S, running_fleet
from platform_standins import DESK, LLM
from raw_targets import RawTarget

from lacewinggw.lab.memory import MemoryNetwork
from lacewinggw.wire.http import HttpClient, HttpError

pytestmark = pytest.mark.looptime

UNDEFINED = ["000", "001", "099", "600", "700", "999", "20", "2000", "+200", "-200", "2x0", ""]
INTERIM = ["100", "101", "150", "199"]  # of a response that precedes the answer, which is missing
ODD = [*UNDEFINED, *INTERIM]
BAD_GATEWAY = 502


def odd_target(status: str, is_sealed: bool) -> RawTarget:
    """Return a target that answers all requests with a status."""

    async def answer(stream, request) -> None:
        seal = "X-Response-Seal: seal\r\n" if is_sealed else ""
        stream.write(
            f"HTTP/1.1 {status} Answer\r\nX-Attempt-Id: {request.attempt_id}\r\n{seal}"
            "Content-Length: 5\r\n\r\nwrong".encode()
        )

    return RawTarget("i-odd", answer)


@pytest.mark.parametrize("is_sealed", [True, False])
@pytest.mark.parametrize("status", ODD)
async def test_an_odd_status_is_no_answer(status, is_sealed):
    async with running_fleet(desks=0, engines=0) as fleet:
        for service, ip, path in ((DESK, "10.4.0.1", "/sheet/1"), (LLM, "10.4.0.2", "/report/1")):
            target = odd_target(status, is_sealed)
            await target.start(fleet, service, ip)
            await asyncio.sleep(SETTLE_S)
            reply = await fleet.ask(path, X_Model="market")
            assert target.requests
            assert reply.status == BAD_GATEWAY and reply.whole
            assert b"wrong" not in reply.body


@pytest.mark.parametrize("status", ODD)
async def test_a_request_that_may_be_repeated_is_answered_by_another_target(status):
    async with running_fleet(desks=1, engines=0) as fleet:
        target = odd_target(status, is_sealed=True)
        await target.start(fleet, DESK, "10.4.0.1")
        await asyncio.sleep(SETTLE_S)
        replies = [await fleet.ask("/tally/1") for _ in range(8)]
        assert target.requests
        assert {reply.status for reply in replies} == {200}


@pytest.mark.parametrize("status", ODD)
async def test_no_reader_of_a_service_takes_an_odd_status(status):
    network = MemoryNetwork()

    async def accept(stream) -> None:
        await stream.read(1000)
        stream.write(f"HTTP/1.1 {status} Answer\r\nContent-Length: 2\r\n\r\n{{}}".encode())

    listener = await network.listen("10.0.0.1:80", accept)
    client = HttpClient(network)
    with pytest.raises((HttpError, ConnectionResetError)) as raised:
        await client.request(listener.address, "GET", "/report")
    if status in UNDEFINED:
        assert raised.type is HttpError and raised.value.status == BAD_GATEWAY
    await client.close()
    await listener.close()
