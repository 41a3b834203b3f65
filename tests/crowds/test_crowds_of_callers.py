"""Callers that stay inside no limits, at the listener for callers of an entry.

Guards against a process that ends or hangs, or exceeds the memory or the descriptors of its
machine, and against ordinary callers that get no answer beside or after such a crowd.
"""

import asyncio
from collections import Counter

import pytest
from crowd import Member, ask_slowly, ask_until_answered, crowd_of
from fleets import BODY_BYTES, crowded_entry, request

pytestmark = pytest.mark.crowd

HALF_MB = 512 << 10
CHUNKED = "Transfer-Encoding: chunked\r\n"
FIRST_LINE = b"POST /tally/1 HTTP/1.1\r\n"
ENDLESS = b"x" * (1 << 18)


def body_request(path: str, size: int, key: str | None = None) -> bytes:
    """Return a request with a body of a stated length."""
    named = {} if key is None else {"key": key}
    return request(path, body=b"x" * size, **named)


def chunked_request(path: str, size: int) -> bytes:
    """Return a request with a body in one chunk."""
    return request(path, fields=CHUNKED, body=b"%x\r\n%s\r\n0\r\n\r\n" % (size, b"x" * size))


def announced_request(size: int) -> bytes:
    """Return the head of a request with a body of a length."""
    return request("/tally/1", fields=f"Content-Length: {size}\r\n")


def answers_ahead(size: int, count: int = 500, route: str = "tally") -> Member:
    """Return a caller that sends many requests and reads none of the answers."""
    return Member(request(f"/{route}/{size}") * count, reads=False)


# The number of clients, and what each does.
CROWDS = {
    "bodies one byte short": (64, Member(body_request("/tally/1", BODY_BYTES)[:-1])),
    "bodies one byte short that return": (
        64,
        Member(body_request("/tally/1", BODY_BYTES)[:-1], returns=True),
    ),
    "chunked bodies one byte short": (64, Member(chunked_request("/tally/1", BODY_BYTES)[:-8])),
    "bodies of requests that run once": (64, Member(body_request("/sheet/1", BODY_BYTES)[:-1])),
    "bodies of prompts": (64, Member(body_request("/report/1", BODY_BYTES)[:-1])),
    "bodies without a route": (64, Member(body_request("/unknown/1", BODY_BYTES)[:-1])),
    "bodies without a key": (64, Member(body_request("/tally/1", BODY_BYTES, "none")[:-1])),
    "small bodies one byte short": (800, Member(body_request("/tally/1", 30_000)[:-1])),
    "half megabytes one byte short": (450, Member(body_request("/tally/1", HALF_MB)[:-1])),
    "whole bodies": (64, Member(body_request("/tally/1", BODY_BYTES))),
    "whole bodies that return": (64, Member(body_request("/tally/1", BODY_BYTES), returns=True)),
    "whole bodies of requests that run once": (64, Member(body_request("/sheet/1", BODY_BYTES))),
    "whole bodies of prompts": (64, Member(body_request("/report/1", BODY_BYTES))),
    "a length over the limit": (64, Member(announced_request(1 << 30), ENDLESS, 32)),
    "chunks without end": (
        64,
        Member(request("/tally/1", fields=CHUNKED), b"40000\r\n" + ENDLESS + b"\r\n", 32),
    ),
    "answers of 8 MiB unread": (32, answers_ahead(8 << 20)),
    "answers of 1 MiB unread": (200, answers_ahead(1 << 20)),
    "small answers unread": (450, answers_ahead(2000)),
    "streams unread": (200, answers_ahead(1 << 20, route="report")),
    "refusals unread": (450, Member(request("/unknown/1") * 8000, reads=False)),
    "heads without end": (
        450,
        Member(FIRST_LINE + b"Host: notes.example\r\n" + b"a: b\r\n" * 2500),
    ),
}


@pytest.mark.parametrize("kind", CROWDS)
async def test_a_crowd_of_callers_stays_within_the_machine(kind, tmp_path):
    size, member = CROWDS[kind]
    async with crowded_entry(tmp_path) as fleet:
        async with crowd_of(size, member, fleet.callers) as crowd:
            assert crowd.connected
            await fleet.require_service()
        await fleet.require_service()
        fleet.require_bounds()


# While their target neither reads nor answers. Decoded, a head takes many times its size.
WAITING_CROWDS = {
    "bodies": (64, Member(body_request("/tally/1", BODY_BYTES))),
    "heads of many lines": (450, Member(request("/tally/1", fields="a:b\r\n" * 900))),
}


@pytest.mark.parametrize("kind", WAITING_CROWDS)
async def test_a_crowd_that_waits_for_a_target_stays_within_the_machine(kind, tmp_path):
    size, member = WAITING_CROWDS[kind]
    async with crowded_entry(tmp_path) as fleet:
        fleet.targets[0].is_deaf = True
        async with crowd_of(size, member, fleet.callers):
            fleet.targets[0].is_deaf = False
            await fleet.require_service()
        await fleet.require_service()
        fleet.require_bounds()


async def test_a_single_body_of_legal_size_is_served_in_calm(tmp_path):
    async with crowded_entry(tmp_path) as fleet:
        for path in ("/tally/300", "/sheet/300", "/report/1"):
            async with crowd_of(1, Member(body_request(path, BODY_BYTES)), fleet.callers):
                pass
        assert [target.served for target in fleet.targets] == [3, 1]
        fleet.require_bounds()


async def test_a_burst_of_sound_callers_with_large_bodies_is_served(tmp_path):
    """They exceed the memory together; each returns when it is told to."""
    size = 2 << 20
    asked = body_request("/tally/300", size)

    def is_served(reply) -> bool:
        return reply.status == 200 and reply.whole

    async with crowded_entry(tmp_path) as fleet:
        replies = await asyncio.gather(
            *(ask_until_answered(fleet.callers, asked, is_served) for _ in range(60))
        )
        assert all(is_served(tries[-1]) for tries in replies)
        statuses = Counter(each.status for tries in replies for each in tries)
        print(dict(statuses))
        assert statuses.keys() <= {200, 503}
        fleet.require_bounds()


SLOW_S = 4.0  # within the time limit of the route


@pytest.mark.parametrize("size", [8 << 10, 1 << 20])
async def test_a_slow_sound_caller_is_served_in_calm(size, tmp_path):
    async with crowded_entry(tmp_path) as fleet:
        reply = await ask_slowly(fleet.callers, body_request("/report/1", size), SLOW_S)
        assert reply.status == 200 and reply.whole
        fleet.require_bounds()


async def test_a_slow_sound_caller_is_served_beside_a_crowd(tmp_path):
    size, member = CROWDS["bodies one byte short that return"]
    async with crowded_entry(tmp_path) as fleet, crowd_of(size, member, fleet.callers):
        reply = await ask_slowly(fleet.callers, body_request("/report/1", 8 << 10), SLOW_S)
        assert reply.status == 200 and reply.whole
        fleet.require_bounds()
