"""Requests on connections that callers keep: none is dropped or judged by limits of the past."""

import asyncio
import random
import socket
import time

import pytest
from declared_fleet import running_fleet
from kept_callers import KeptCaller, Wanted
from platform_standins import KEY, manifest

from lacewinggw.decisions.routes import CallerLimits
from lacewinggw.frontend.callers import CallerConnection, CallerListener
from lacewinggw.frontend.calls import Call
from lacewinggw.wire.network import TcpNetwork

IDLE_S = 0.2
ANSWER_S = 0.05


def head(path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: notes.example\r\n\r\n".encode()


class Listening:
    """A listener on loopback that records the requests it serves."""

    def __init__(self) -> None:
        self.begun: list[str] = []
        self.answered: list[str] = []
        self.listener = CallerListener(
            TcpNetwork(), "127.0.0.1:0", self._serve, lambda: CallerLimits(idle_s=IDLE_S)
        )

    async def _serve(self, call: Call, caller: CallerConnection) -> None:
        self.begun.append(call.target)
        await asyncio.sleep(ANSWER_S if call.target == "/first" else 4 * ANSWER_S)
        await caller.answer(200, [], b"served")
        self.answered.append(call.target)

    def connect(self) -> socket.socket:
        ip, _, port = self.listener.address.rpartition(":")
        return socket.create_connection((ip, int(port)))


# A request that arrived in time was dropped if the loop was busy when the idle limit expired.
async def test_a_request_that_arrives_before_the_idle_limit_is_served_after_a_busy_loop():
    served = Listening()
    await served.listener.start()
    with served.connect() as connection:
        await asyncio.sleep(ANSWER_S)
        connection.sendall(head("/first"))
        time.sleep(2 * IDLE_S)  # noqa: ASYNC251 - the loop is to be busy
        await asyncio.sleep(4 * ANSWER_S)
        assert served.answered == ["/first"]
    await served.listener.close()


# A connection accepted while the listener closed was not waited for, so its answer was cut.
@pytest.mark.parametrize("is_busy", [False, True])
@pytest.mark.parametrize("turns", range(9))
async def test_a_request_that_is_read_while_the_listener_closes_is_answered(turns, is_busy):
    served = Listening()
    await served.listener.start()
    with served.connect() as first:
        if is_busy:
            first.sendall(head("/first"))
            await asyncio.sleep(ANSWER_S / 2)
        with served.connect() as late:
            late.sendall(head("/late"))
            for _ in range(turns):
                await asyncio.sleep(0)
            await served.listener.close(20 * ANSWER_S)
            # The process ends now: what it has begun must be answered, and it must not begin more.
            assert served.begun == served.answered
            await asyncio.sleep(ANSWER_S)
            assert served.begun == served.answered


# A kept connection used the size limits of the routes that were in force when it was opened.
@pytest.mark.looptime
async def test_a_kept_connection_has_the_limits_of_the_newest_routes():
    async with running_fleet() as fleet:
        lengths = iter([100, 20_000, 0])

        def draw() -> Wanted:
            return Wanted("POST", "/tally/1", 1.0, 60.0, {"X-Key": KEY}, next(lengths))

        def connect(entry: int):
            return fleet.network.view("10.200.0.1").connect(f"10.1.0.{entry + 1}:8005")

        caller = KeptCaller(connect, "caller", 1, random.Random(1), draw, lambda: 3.5)
        run = asyncio.ensure_future(caller.run(asyncio.get_running_loop().time() + 4.0))
        await asyncio.sleep(0.5)
        limits = {**manifest(3)["Limits"], "MaxBodyBytes": 50_000}
        fleet.store.put("op", "config", manifest(3, Limits=limits))
        await run
        assert [attempt.place_on_connection for attempt in caller.attempts[:2]] == [0, 1]
        assert [attempt.status for attempt in caller.attempts[:2]] == [200, 200]
