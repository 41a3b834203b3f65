"""Each checker detects an implementation that violates its property, in a run of a whole fleet.

Each fault is a patch in this file. The same scenario without the patch has no violations.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, replace
from typing import Any

import pytest
from trials import Story, run_story

from lacewinggw.agent.chunks import ChunkStore
from lacewinggw.agent.reconciler import TargetReconciler
from lacewinggw.clients import engine, membership
from lacewinggw.clients.engine import ActivateOrder, AnswerEnd, EngineClient, PieceBatch
from lacewinggw.clients.membership import MemberState, member_from_json
from lacewinggw.configuration.replica import Replica
from lacewinggw.decisions import outcomes
from lacewinggw.decisions.lifecycle import DesiredState
from lacewinggw.entry import requests
from lacewinggw.entry.process import EntryProcess
from lacewinggw.errors import AnswerIncomplete, TargetRefused
from lacewinggw.generated.messages.ttypes import LogEntry
from lacewinggw.ids import Digest
from lacewinggw.lab.checkers import Property, count_by_property, describe
from lacewinggw.lab.trial import MODEL, SECOND, Trial

Patch = Callable[[pytest.MonkeyPatch], None]

# ---- patches that break a property ---------------------------------------------------------


def relay_and_serve_unverified_chunks(monkeypatch: pytest.MonkeyPatch) -> None:
    """Skip the check of chunks, and activate whatever the engine reports as loaded."""
    load = TargetReconciler._load

    async def put(self: ChunkStore, chunk_hash: bytes, data: bytes) -> bool:
        self._chunks[chunk_hash] = data
        return True

    async def load_and_activate(
        self: TargetReconciler, wanted: DesiredState, digest: Digest
    ) -> None:
        await load(self, wanted, digest)
        await self._order(ActivateOrder(digest))
        await asyncio.sleep(1.0)

    monkeypatch.setattr(ChunkStore, "put", put)
    monkeypatch.setattr(TargetReconciler, "_load", load_and_activate)


def accept_cut_answers_as_complete(monkeypatch: pytest.MonkeyPatch) -> None:
    generate = EngineClient.generate

    async def generate_without_errors(self: EngineClient, *args: Any) -> AsyncIterator[Any]:
        pieces = 0
        try:
            async for item in generate(self, *args):
                pieces += len(item.pieces) if isinstance(item, PieceBatch) else 0
                yield item
        except AnswerIncomplete:
            yield AnswerEnd(pieces, (await self.state()).active)

    monkeypatch.setattr(EngineClient, "generate", generate_without_errors)


def report_cut_answers_as_not_run(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(engine, "lost_within_answer", lambda error: TargetRefused(str(error)))


def retry_after_a_lost_reply(monkeypatch: pytest.MonkeyPatch) -> None:
    def next_step(error: Any, situation: outcomes.AttemptContext) -> outcomes.Step:
        return outcomes.next_step(error, replace(situation, repeatable=True))

    monkeypatch.setattr(requests, "next_step", next_step)


def ignore_leaving_members(monkeypatch: pytest.MonkeyPatch) -> None:
    def read_member(value: dict[str, Any]) -> membership.Member:
        return replace(member_from_json(value), state=MemberState.LIVE)

    monkeypatch.setattr(membership, "member_from_json", read_member)


def close_without_draining(monkeypatch: pytest.MonkeyPatch) -> None:
    async def drain(self: EntryProcess) -> None:
        return

    monkeypatch.setattr(EntryProcess, "drain", drain)


def apply_out_of_order(monkeypatch: pytest.MonkeyPatch) -> None:
    def offer(self: Replica, entries: list[LogEntry]) -> bool:
        fresh = [entry for entry in entries if entry.revision > self.revision]
        for entry in reversed(fresh):
            self.state.revision = entry.revision - 1
            self.state.apply(entry)
            self._tail.append(entry)
        if fresh:
            self._changed(fresh)
            self._publish(fresh)
        return False

    monkeypatch.setattr(Replica, "offer", offer)


# ---- scenarios that reveal the broken property ---------------------------------------------


async def spread_from_a_corrupting_origin(trial: Trial) -> None:
    await trial.fleet.disturb("origin", corrupt_share=0.3)
    await trial.fleet.command(f"set service {MODEL} release {SECOND} replicas 6")
    await asyncio.sleep(3.0)


async def cut_engines(trial: Trial, share: float, seconds: float) -> None:
    engines = [name for name in trial.fleet.agents if name <= "host-006"]
    for name in engines:
        await trial.fleet.begin_target_fault(name, cut_share=share)
    await asyncio.sleep(seconds)
    for name in engines:
        await trial.fleet.end_target_fault(name, cut_share=0.0)


async def cut_some_answers(trial: Trial) -> None:
    await cut_engines(trial, 0.5, 10.0)


async def cut_every_answer(trial: Trial) -> None:
    await cut_engines(trial, 1.0, 4.0)


async def list_a_host_as_leaving(trial: Trial) -> None:
    await trial.fleet.set_leaving("host-002")
    await asyncio.sleep(12.0)


async def shut_down_an_entry(trial: Trial) -> None:
    for name in trial.fleet.agents:
        await trial.fleet.slow_target(name, 10.0)
    while "entry-1" not in trial.fleet.attempts_at_entries():  # noqa: ASYNC110
        await asyncio.sleep(0.1)
    await trial.fleet.terminate("entry-1")


async def replace_an_entry(trial: Trial) -> None:
    await trial.fleet.command(f"set service {MODEL} release {SECOND} replicas 5")
    await trial.fleet.kill("entry-2")
    await asyncio.sleep(1.0)
    await trial.fleet.restart("entry-2")
    await asyncio.sleep(4.0)


@dataclass(frozen=True)
class Case:
    """A property, a patch that breaks it, and the scenario that reveals the violation."""

    property: Property
    patch: Patch
    story: Story


CASES = [
    Case(
        Property.WHOLE_WEIGHTS, relay_and_serve_unverified_chunks, spread_from_a_corrupting_origin
    ),
    Case(Property.WHOLE_ANSWERS, accept_cut_answers_as_complete, cut_some_answers),
    Case(Property.NOT_RUN, report_cut_answers_as_not_run, cut_every_answer),
    Case(Property.AT_MOST_ONCE, retry_after_a_lost_reply, cut_some_answers),
    Case(Property.LEAVING, ignore_leaving_members, list_a_host_as_leaving),
    Case(Property.GRACEFUL_SHUTDOWN, close_without_draining, shut_down_an_entry),
    Case(Property.CONFIGURATION, apply_out_of_order, replace_an_entry),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.patch.__name__)
def test_mutant_is_detected(case: Case, monkeypatch: pytest.MonkeyPatch) -> None:
    case.patch(monkeypatch)
    verdict = run_story(case.story)
    assert count_by_property(verdict.violations)[case.property.value] > 0


@pytest.mark.parametrize("story", dict.fromkeys(case.story for case in CASES))
def test_scenario_without_the_mutant_has_no_violations(story: Story) -> None:
    verdict = run_story(story)
    assert not verdict.violations, describe(verdict.violations)
    assert verdict.outcomes["answered"] > 0


def test_every_property_has_a_mutant() -> None:
    assert {case.property for case in CASES} == set(Property)
