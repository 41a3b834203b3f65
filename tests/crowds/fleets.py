"""One entry or agent as a process, with a store and targets, for a crowd to meet."""

import asyncio
import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from crowd import ask_until_answered
from declared_fleet import Reply
from machines import (
    AGENT_LIMITS,
    ENTRY_LIMITS,
    LISTENERS,
    OPERATOR_PORT,
    PEER_PORT,
    ProductProcess,
    fleet_process,
)
from platform_standins import DESK, KEY, LLM, StoreStandIn, manifest, target_row
from targets import SizedTarget

from lacewinggw.wire.network import TcpNetwork

BODY_BYTES = 4 << 20  # the longest legal body
CALLER_LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": BODY_BYTES,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}
READY_S = 30.0
READY_STEP_S = 0.1
ORDINARY_BYTES = 300
LOG_BYTES = 8_000_000  # a bounded log for a minute at most: 400 lines/s of 300 bytes


def request(path: str, key: str = KEY, body: bytes = b"", fields: str = "") -> bytes:
    """Return a request of a caller; its body has a length unless `fields` says otherwise."""
    length = "" if fields or not body else f"Content-Length: {len(body)}\r\n"
    head = (
        f"POST {path} HTTP/1.1\r\nHost: notes.example\r\nX-Attempt-Id: attempt\r\n"
        f"X-Deadline-Remaining: 6000\r\nX-Key: {key}\r\n{length}{fields}\r\n"
    )
    return head.encode() + body


ORDINARY = request(f"/tally/{ORDINARY_BYTES}", body=b"ordinary")
PAGE = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"


@dataclass
class CrowdedFleet:
    """A process of the product and what stands around it."""

    process: ProductProcess
    ip: str
    targets: list[SizedTarget]

    @property
    def callers(self) -> str:
        """The address for callers."""
        return f"{self.ip}:{LISTENERS['Frontend']}"

    @property
    def listeners(self) -> dict[str, str]:
        """All addresses at which an entry listens, by what is served there."""
        named = {name.lower(): f"{self.ip}:{port}" for name, port in LISTENERS.items()}
        return {**named, "operators": self.operators, "peers": f"{self.ip}:{PEER_PORT}"}

    @property
    def operators(self) -> str:
        """The address of the operators' pages."""
        return f"{self.ip}:{OPERATOR_PORT}"

    async def require_service(self) -> None:
        """Check that an ordinary caller gets its whole answer."""
        replies = await ask_until_answered(self.callers, ORDINARY, _is_served)
        assert _is_served(
            replies[-1]
        ), f"an ordinary request got {[each.status for each in replies]}"

    async def require_page(self) -> None:
        """Check that the operators' page is served."""
        replies = await ask_until_answered(self.operators, PAGE, lambda reply: reply.status == 200)
        assert replies[-1].whole, f"the page got {[each.status for each in replies]}"

    def require_bounds(self) -> None:
        """Check that the process lives within its machine."""
        process, limits = self.process, self.process.limits
        assert process.is_alive, "the process has ended"
        usage, log_bytes = process.usage, process.log_path.stat().st_size
        print(f"{usage}, {log_bytes} bytes of log")
        assert usage.peak_mb < limits.memory_mb
        assert usage.sockets <= limits.sockets
        assert log_bytes < LOG_BYTES


def _is_served(reply: Reply) -> bool:
    return reply.status == 200 and reply.whole and len(reply.body) == ORDINARY_BYTES


@asynccontextmanager
async def crowded_entry(folder: Path) -> AsyncIterator[CrowdedFleet]:
    """Run an entry with a plain service and an engine within the block."""
    prefix = f"127.{1 + os.getpid() % 200}"
    store = await _start_store(prefix)
    targets = [
        SizedTarget("i-desk", f"{prefix}.2.1:8080"),
        SizedTarget("i-writer", f"{prefix}.2.2:8080", streams=True),
    ]
    for target, service in zip(targets, (DESK, LLM), strict=True):
        await target.start()
        store.put("servers", target.name, target_row(service, target.address, Slots=40))
    ip = f"{prefix}.1.1"
    process = fleet_process("entry", ip, store.address, ENTRY_LIMITS, folder)
    fleet = CrowdedFleet(process, ip, targets)
    try:
        await process.start()
        await _wait_until_served(fleet)
        yield fleet
    finally:
        await process.close()
        for target in targets:
            await target.close()
        await store.close()


async def _start_store(prefix: str) -> StoreStandIn:
    store = StoreStandIn(TcpNetwork())
    store._address = f"{prefix}.9.1:8007"
    await store.start()
    store.put("op", "config", manifest(2, Limits=CALLER_LIMITS))
    return store


async def _wait_until_served(fleet: CrowdedFleet) -> None:
    async with asyncio.timeout(READY_S):
        while True:
            try:
                replies = await ask_until_answered(fleet.callers, ORDINARY, lambda _: True)
            except OSError:
                replies = []
            if replies and _is_served(replies[-1]):
                return
            await asyncio.sleep(READY_STEP_S)


@asynccontextmanager
async def crowded_agent(folder: Path) -> AsyncIterator[CrowdedFleet]:
    """Run an agent within the block; its target is away."""
    prefix = f"127.{1 + os.getpid() % 200}"
    store = await _start_store(prefix)
    ip = f"{prefix}.3.1"
    target = f"{prefix}.3.1:8001"
    process = fleet_process("agent", ip, store.address, AGENT_LIMITS, folder, target)
    fleet = CrowdedFleet(process, ip, [])
    try:
        await process.start()
        async with asyncio.timeout(READY_S):
            replies = await ask_until_answered(fleet.operators, PAGE, lambda each: each.whole)
            assert replies[-1].whole, "the agent does not start"
        yield fleet
    finally:
        await process.close()
        await store.close()
