"""An entry of a declared fleet answers correctly whatever bytes callers and targets send to it."""

import asyncio

import pytest
from declared_fleet import Reply, running_fleet
from hypothesis import given, settings
from hypothesis import strategies as st
from platform_standins import DESK, KEY, target_row
from virtual import run_virtual

EXAMPLES = 30
PROPER = (
    f"POST /sheet/1 HTTP/1.1\r\nHost: notes.example\r\nX-Attempt-Id: a1\r\nX-Key: {KEY}\r\n"
    "X-Deadline-Remaining: 500\r\nContent-Length: 3\r\n\r\nabc"
).encode()
ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Seal: s\r\nContent-Length: 4\r\n\r\nfine"
)


@st.composite
def damaged(draw, whole):
    """Return the bytes with a part removed, doubled or replaced."""
    start = draw(st.integers(0, len(whole)))
    end = draw(st.integers(start, min(len(whole), start + 20)))
    middle = draw(st.sampled_from([b"", whole[start:end] * 2, draw(st.binary(max_size=20))]))
    return whole[:start] + middle + whole[end:]


async def ask_with(sent: bytes) -> tuple[Reply, list[bytes]]:
    """Send bytes to an entry; return its reply and the bodies that reached the target."""
    async with running_fleet(desks=1, engines=0) as fleet:
        reply = await fleet.send(sent, leave_after_s=5.0)
        return reply, [request.body for request in fleet.targets["desk0"].seen]


async def answered_with(answer: bytes) -> Reply:
    """Return the answer that a caller gets if a target answers with the given bytes."""
    async with running_fleet(desks=0, engines=0) as fleet:

        async def respond(stream):
            await stream.read(1 << 16)
            stream.write(answer)
            await asyncio.sleep(0.05)
            stream.close()

        await fleet.network.view("10.3.0.1").listen("10.3.0.1:8080", respond)
        fleet.store.put("servers", "i-raw", target_row(DESK, "10.3.0.1:8080"))
        await asyncio.sleep(1.0)
        return await fleet.send(PROPER, leave_after_s=5.0)


@settings(max_examples=EXAMPLES)
@given(st.one_of(st.binary(max_size=300), damaged(PROPER)))
def test_arbitrary_bytes_of_a_caller_are_served_or_refused(sent):
    reply, bodies = run_virtual(ask_with(sent))
    if reply.status == 200:
        assert reply.whole and len(bodies) >= 1
    else:
        assert reply.status in (0, 400, 401, 404, 405, 408, 413, 431, 501, 502, 503, 504, 505)
    if not bodies:
        assert reply.status != 200


@settings(max_examples=EXAMPLES)
@given(st.one_of(st.binary(max_size=300), damaged(ANSWER)))
def test_arbitrary_bytes_of_a_target_never_become_another_answer(answer):
    reply = run_virtual(answered_with(answer))
    if reply.status == 200:
        assert b"HTTP/1.1 200" in answer and reply.whole
        assert "x-response-seal" in reply.headers
        assert reply.headers.get("x-attempt-id", "a1") == "a1"
        assert answer.endswith(reply.body) or reply.body in answer
    else:
        assert 300 <= reply.status < 600


@pytest.mark.parametrize(
    ("answer", "status"),
    [
        (ANSWER, 200),
        (ANSWER + ANSWER, 200),
        (ANSWER[:-2], 502),
        (ANSWER.replace(b"a1", b"b2"), 502),
        (ANSWER.replace(b"X-Response-Seal: s\r\n", b""), 502),
        (
            ANSWER.replace(b"200 OK", b"503 Busy").replace(b"X-Res", b"X-Not-Executed: 1\r\nX-Res"),
            503,
        ),
        (ANSWER.replace(b"HTTP/1.1", b"HTTP/0.0"), 502),
        (b"NONSENSE\r\n\r\n", 502),
        (b"", 502),
    ],
    ids=[
        "whole",
        "doubled",
        "cut",
        "of another",
        "unmarked",
        "not run",
        "other protocol",
        "nonsense",
        "nothing",
    ],
)
def test_each_kind_of_broken_answer_gets_its_status(answer, status):
    reply = run_virtual(answered_with(answer))
    assert reply.status == status
    assert (reply.body == b"fine") is (status == 200)
