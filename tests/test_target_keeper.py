"""Reconciliation of an engine that does not execute its orders correctly."""

import asyncio
from typing import Any

import pytest
from trials import run_story

from lacewinggw.agent.target import TargetStatus
from lacewinggw.lab.checkers import describe
from lacewinggw.lab.engine import EngineStandIn
from lacewinggw.lab.history import NotRun, WeightsActivated
from lacewinggw.lab.loading import EngineWeights
from lacewinggw.lab.memoryfleet import MemoryHost
from lacewinggw.lab.standin import refused
from lacewinggw.lab.trial import MODEL, SECOND, Trial
from lacewinggw.wire.http import Response

ORDERS_LIMIT = 100


async def move_to_the_second_release(trial: Trial) -> None:
    await trial.fleet.command(f"set service {MODEL} release {SECOND} replicas 6")
    await asyncio.sleep(10.0)


def test_old_release_keeps_serving_while_the_next_cannot_be_loaded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    carry_out = EngineStandIn._carry_out
    first: set[str] = set()

    async def load_one_release_only(self: EngineStandIn, order: dict[str, Any]) -> Response:
        if order["order"] == "load":
            first.add(order["digest"])
            if len(first) > 1:
                return refused(500, "out of memory")
        return await carry_out(self, order)

    monkeypatch.setattr(EngineStandIn, "_carry_out", load_one_release_only)
    verdict = run_story(move_to_the_second_release)
    assert not verdict.violations, describe(verdict.violations)
    assert verdict.outcomes["answered"] > 50
    assert not [event for event in verdict.history if isinstance(event, NotRun)]


def test_order_that_changes_nothing_is_not_repeated_without_a_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    orders = 0
    unload = EngineWeights.unload

    def keep_loaded(self: EngineWeights, digest: str) -> None:
        nonlocal orders
        orders += 1
        if self.active_digest == digest:
            unload(self, digest)

    monkeypatch.setattr(EngineWeights, "unload", keep_loaded)
    verdict = run_story(move_to_the_second_release)
    activated = [event for event in verdict.history if isinstance(event, WeightsActivated)]
    assert len(activated) == 12
    assert 6 < orders < ORDERS_LIMIT * 6


@pytest.mark.parametrize("kept", [True, False])
def test_a_target_configured_to_check_fences_is_reported_when_it_does_not(
    kept: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    counted: list[int] = []

    async def watch_counts(trial: Trial) -> None:
        await move_to_the_second_release(trial)
        for host in trial.fleet.fleet.hosts.values():
            assert isinstance(host, MemoryHost) and host.process is not None
            counters = host.process.metrics.snapshot().counters
            counted.append(counters.get("target_fences_unkept", 0))

    build = TargetStatus.__init__

    def build_fencing(self: TargetStatus, *values: Any, **named: Any) -> None:
        build(self, *values, **{**named, "fences": True})

    answer = EngineStandIn._describe

    def describe_fence(self: EngineStandIn) -> dict[str, Any]:
        return {**answer(self), **({} if kept else {"fence": 0})}

    monkeypatch.setattr(TargetStatus, "__init__", build_fencing)
    monkeypatch.setattr(EngineStandIn, "_describe", describe_fence)
    verdict = run_story(watch_counts)
    assert not verdict.violations, describe(verdict.violations)
    assert (sum(counted) == 0) is kept
