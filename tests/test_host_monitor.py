"""Attempts at hosts without heartbeats fail, but not while their answers keep arriving."""

import asyncio
from dataclasses import dataclass, field

import pytest

from lacewinggw.entry.hostmonitor import HostMonitor

pytestmark = pytest.mark.looptime


@dataclass(eq=False)
class StandInAttempt:
    received_at: float = -float("inf")
    failures: list[str] = field(default_factory=list)

    def fail_connection(self, reason: str) -> None:
        self.failures.append(reason)


async def test_an_answer_that_keeps_arriving_is_not_ended_for_missing_heartbeats():
    monitor = HostMonitor(lambda: {"t0"})
    receiving, silent = StandInAttempt(), StandInAttempt()
    for attempt in (receiving, silent):
        monitor.add("t0", attempt)
    await monitor.start()
    for _ in range(20):
        await asyncio.sleep(0.2)
        receiving.received_at = asyncio.get_running_loop().time()
    assert silent.failures and not receiving.failures
    await asyncio.sleep(3.0)
    assert receiving.failures
    await monitor.close()
