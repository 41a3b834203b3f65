"""Clients that stay inside no limits, at each listener of an entry and of an agent.

Guards against connections that take all descriptors, so that the process reaches neither its
targets nor its store, and against a log that grows with each of them.
"""

import asyncio

import pytest
from crowd import Member, crowd_of
from fleets import ORDINARY, PAGE, crowded_agent, crowded_entry

pytestmark = pytest.mark.crowd

CONNECTIONS = 800  # more than the process may have descriptors
PAGE_BODY_BYTES = 64 << 10
RETURNING_S = 10.0
LISTENERS = ("frontend", "ready", "directory", "operators", "peers")
AGENT_LISTENERS = ("operators", "peers")
TOO_LONG_BYTES = 1 << 30
BODY = b"x" * PAGE_BODY_BYTES
CHUNK = b"%x\r\n%s\r\n" % (len(BODY), BODY)


def post(framing: str) -> bytes:
    """Return the head of a request whose body is framed so."""
    return f"POST /resolve HTTP/1.1\r\nHost: x\r\n{framing}\r\n\r\n".encode()


POST = post(f"Content-Length: {PAGE_BODY_BYTES}")
POST_CHUNKS = post("Transfer-Encoding: chunked")

MEMBERS = {
    "idle": Member(b""),
    "the first line of a head": Member(b"GET /resolve HTTP/1.1\r\n"),
    "a body one byte short": Member(POST + BODY[:-1]),
    "a whole body": Member(POST + BODY),
    "a chunked body one byte short": Member(POST_CHUNKS + CHUNK[:-3]),
    "a length over the limit": Member(post(f"Content-Length: {TOO_LONG_BYTES}"), BODY, 8),
    "chunks without end": Member(POST_CHUNKS, CHUNK, 8),
    "answers unread": Member(PAGE * 500, reads=False),
    "endless bytes": Member(b"", b"x" * 4096, 64),
}
RETURNING = Member(b"GET /resolve HTTP/1.1\r\n", returns=True)


@pytest.mark.parametrize("kind", MEMBERS)
@pytest.mark.parametrize("listener", LISTENERS)
async def test_a_crowd_at_a_listener_of_an_entry_stays_within_the_machine(listener, kind, tmp_path):
    async with crowded_entry(tmp_path) as fleet:
        async with crowd_of(CONNECTIONS, MEMBERS[kind], fleet.listeners[listener]):
            await fleet.require_service()
            fleet.require_bounds()
        await fleet.require_service()
        await fleet.require_page()
        fleet.require_bounds()


@pytest.mark.parametrize("kind", MEMBERS)
@pytest.mark.parametrize("listener", AGENT_LISTENERS)
async def test_a_crowd_at_a_listener_of_an_agent_stays_within_the_machine(listener, kind, tmp_path):
    async with crowded_agent(tmp_path) as fleet:
        async with crowd_of(CONNECTIONS, MEMBERS[kind], fleet.listeners[listener]):
            await asyncio.sleep(0)
            fleet.require_bounds()
        await fleet.require_page()
        fleet.require_bounds()


@pytest.mark.parametrize("kind", MEMBERS)
async def test_the_page_of_operators_is_served_beside_a_crowd(kind, tmp_path):
    async with (
        crowded_entry(tmp_path) as fleet,
        crowd_of(CONNECTIONS, MEMBERS[kind], fleet.operators),
    ):
        await fleet.require_page()
        fleet.require_bounds()


@pytest.mark.parametrize("listener", LISTENERS)
async def test_a_crowd_that_returns_leaves_an_entry_that_serves(listener, tmp_path):
    async with crowded_entry(tmp_path) as fleet:
        async with crowd_of(CONNECTIONS, RETURNING, fleet.listeners[listener]):
            await asyncio.sleep(RETURNING_S)
            fleet.require_bounds()
        await fleet.require_service()
        await fleet.require_page()
        fleet.require_bounds()


async def test_crowds_at_all_listeners_at_once_leave_an_entry_that_serves(tmp_path):
    async with crowded_entry(tmp_path) as fleet:
        crowds = [
            crowd_of(CONNECTIONS // 2, RETURNING, listener) for listener in fleet.listeners.values()
        ]
        for crowd in crowds:
            await crowd.__aenter__()
        await asyncio.sleep(RETURNING_S)
        fleet.require_bounds()
        for crowd in crowds:
            await crowd.__aexit__(None, None, None)
        await fleet.require_service()
        await fleet.require_page()
        fleet.require_bounds()


async def test_connections_that_callers_keep_are_served_beside_a_crowd(tmp_path):
    """A caller may reuse a connection that has been idle for less than the limit."""
    async with crowded_entry(tmp_path) as fleet:
        kept = Member(ORDINARY)
        async with crowd_of(20, kept, fleet.callers) as callers:
            served = fleet.targets[0].served
            async with crowd_of(CONNECTIONS, MEMBERS["the first line of a head"], fleet.callers):
                await callers.send_again(ORDINARY)
                assert fleet.targets[0].served == served + 20
