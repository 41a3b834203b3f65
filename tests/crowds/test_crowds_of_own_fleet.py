"""Clients that stay inside no limits, at the listeners of an entry and an agent of our own fleet.

Guards against a process that ends or hangs, or exceeds the memory or the descriptors of its
machine, and against ordinary callers that get no answer beside or after such a crowd.
"""

from contextlib import asynccontextmanager

import pytest
from crowd import Member, ask_until_answered, crowd_of
from declared_fleet import Reply
from machines import AGENT_LIMITS, ENTRY_LIMITS, MB, MachineLimits, limit_descriptors, usage_of

from lacewinggw.lab.fleet import CALLER_TOKEN, Fleet, FleetHost, FleetPlan

pytestmark = pytest.mark.crowd

BODY_BYTES = 4 << 20
CONNECTIONS = 800  # more than the process may have descriptors
SERVICE = "desk"
AGENTS = 2
PAGE = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"
LOG_BYTES = 20_000_000
PLAN = FleetPlan(
    entries=1,
    engines=0,
    plain_services={SERVICE: AGENTS},
    overrides={
        "process": {
            "memory_bytes": ENTRY_LIMITS.memory_mb * MB,
            "descriptors": ENTRY_LIMITS.descriptors,
        }
    },
)


def request(body: bytes = b"", fields: str = "", token: str = f"{CALLER_TOKEN}-saleyard") -> bytes:
    """Return a request of a caller; its body has a length unless `fields` says otherwise."""
    fields = fields or f"Content-Length: {len(body)}\r\n"
    head = (
        f"POST /v1/services/{SERVICE}/requests HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {token}\r\n{fields}\r\n"
    )
    return head.encode() + body


ORDINARY = request(b"ordinary")
WHOLE = request(b"x" * BODY_BYTES)
CHUNKS = b"%x\r\n%s" % (BODY_BYTES, b"x" * (BODY_BYTES - 1))
TOO_LONG = f"Content-Length: {1 << 30}\r\n"
ENDLESS = b"x" * (1 << 18)
ENDLESS_CHUNK = b"%x\r\n%s\r\n" % (len(ENDLESS), ENDLESS)
FIRST_LINE = b"POST / HTTP/1.1\r\n"
CROWDS = {
    "bodies one byte short": (64, Member(WHOLE[:-1])),
    "chunked bodies one byte short": (64, Member(request(CHUNKS, CHUNKED))),
    "whole bodies": (64, Member(WHOLE)),
    "a length over the limit": (64, Member(request(fields=TOO_LONG), ENDLESS, 32)),
    "chunks without end": (64, Member(request(fields=CHUNKED), ENDLESS_CHUNK, 32)),
    "whole bodies without a token": (64, Member(request(b"x" * BODY_BYTES, token="none"))),
    "answers unread": (200, Member(ORDINARY * 500, reads=False)),
    "first lines of heads": (CONNECTIONS, Member(FIRST_LINE)),
    "first lines of heads again": (CONNECTIONS, Member(FIRST_LINE, returns=True)),
}
LISTENERS = ("operators", "peers")


def address_of(host: FleetHost, listener: str) -> str:
    """Return the address of a host at which operators or peers are served."""
    return host.member.operator_address if listener == "operators" else host.member.address


def is_served(reply: Reply) -> bool:
    """Return whether a caller got the whole answer."""
    return reply.status == 200 and reply.whole


@asynccontextmanager
async def own_fleet():
    """Run an entry and two agents of a plain service within the block."""
    fleet = Fleet(PLAN)
    try:
        await fleet.start()
        await fleet.ask(f"create service {SERVICE} plain replicas {AGENTS}")
        await fleet.ask(f"wait service {SERVICE}")
        for host in fleet.hosts.values():
            limit_descriptors(host.process.process.pid, ENTRY_LIMITS)
        await require_service(fleet)
        yield fleet
    finally:
        for host in fleet.hosts.values():
            await fleet.kill(host, unlist=False)
        await fleet.close()


async def require_service(fleet: Fleet) -> None:
    """Check that an ordinary caller gets its whole answer."""
    address = fleet.entries[0].member.caller_address
    replies = await ask_until_answered(address, ORDINARY, is_served)
    assert is_served(replies[-1]), f"an ordinary request got {[each.status for each in replies]}"


async def require_page(host: FleetHost) -> None:
    """Check that the operators' page of a host is served."""
    replies = await ask_until_answered(host.member.operator_address, PAGE, is_served)
    assert is_served(replies[-1]), f"the page got {[each.status for each in replies]}"


def require_bounds(fleet: Fleet) -> None:
    """Check that all processes live within their machines."""
    for host in fleet.hosts.values():
        limits = ENTRY_LIMITS if host in fleet.entries else AGENT_LIMITS
        require_bounds_of(host, limits)


def require_bounds_of(host: FleetHost, limits: MachineLimits) -> None:
    """Check that one process lives within its machine."""
    assert host.running, f"{host.member.host} has ended"
    usage = usage_of(host.process.process.pid)
    log_bytes = host.process.log_path.stat().st_size
    print(f"{host.member.host}: {usage}, {log_bytes} bytes of log")
    assert usage.peak_mb < limits.memory_mb
    assert usage.sockets <= limits.sockets
    assert log_bytes < LOG_BYTES


@pytest.mark.parametrize("kind", CROWDS)
async def test_a_crowd_of_callers_stays_within_the_machines(kind):
    size, member = CROWDS[kind]
    async with own_fleet() as fleet:
        async with crowd_of(size, member, fleet.entries[0].member.caller_address):
            await require_service(fleet)
            require_bounds(fleet)
        await require_service(fleet)
        for host in fleet.hosts.values():
            await require_page(host)
        require_bounds(fleet)


@pytest.mark.parametrize("role", ["entry", "agent"])
@pytest.mark.parametrize("listener", LISTENERS)
async def test_a_crowd_at_a_listener_stays_within_the_machines(listener, role):
    async with own_fleet() as fleet:
        host = fleet.entries[0] if role == "entry" else fleet.agents[0]
        for kind in ("first lines of heads", "first lines of heads again", "bodies one byte short"):
            size, member = CROWDS[kind]
            async with crowd_of(size, member, address_of(host, listener)):
                await require_service(fleet)
                require_bounds(fleet)
        await require_service(fleet)
        await require_page(host)
        require_bounds(fleet)
