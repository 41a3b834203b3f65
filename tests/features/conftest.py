"""Steps of the scenarios: faults of a whole fleet in memory, and the checkers' verdict on it.

Each `When` is a fault that begins, and ends some seconds later together with the others of its
scenario. The first `Then` runs the trial; the rest read what it came to.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import pytest
from pytest_bdd import given, parsers, then, when
from trials import run_story

from lacewinggw.ids import HostId
from lacewinggw.lab.checkers import Property, describe
from lacewinggw.lab.history import CommandAccepted, Returned
from lacewinggw.lab.memoryfleet import MemoryFleet, MemoryPlan
from lacewinggw.lab.standin import now
from lacewinggw.lab.trial import FIRST, MODEL, SECOND, Trial, TrialPlan, Verdict

Fault = Callable[[Trial], AbstractAsyncContextManager[None]]

TOGETHER_S = 4.0
LEAVING_S = 6.0
SERVED_LIMIT_S = 60.0
ENGINES = ("host-001", "host-002", "host-003")
PLAN = TrialPlan(callers=2, pause_s=0.5, deadline_s=5.0, settle_s=7.0)
FLEET = MemoryPlan(entries=3, engines=3, plains=1, origin_bytes_per_s=30_000.0)
SLOWNESS = 10.0

PROPERTIES = {
    "no answer came from partial or mixed weights": Property.WHOLE_WEIGHTS,
    "every answer was whole and its caller's own": Property.WHOLE_ANSWERS,
    "nothing ran that was told as not run": Property.NOT_RUN,
    "nothing ran twice that must not": Property.AT_MOST_ONCE,
    "no leaving target took new work": Property.LEAVING,
    "no shutdown cut a request off": Property.GRACEFUL_SHUTDOWN,
    "every accepted command is in force and stayed so": Property.CONFIGURATION,
}


@dataclass
class Scene:
    """What a scenario does, and what it came to once it was run."""

    faults: list[Fault] = field(default_factory=list)
    served: bool = False
    verdict: Verdict | None = None

    async def play(self, trial: Trial) -> None:
        """Let the faults begin, one after the other, last a while and end at once."""
        begun = [fault(trial) for fault in self.faults]
        for each in begun:
            await each.__aenter__()
        await asyncio.sleep(TOGETHER_S)
        await asyncio.gather(*(each.__aexit__(None, None, None) for each in begun))
        self.served = await trial.fleet.wait_until("wait all", SERVED_LIMIT_S)

    def come_to(self) -> Verdict:
        """Return the verdict; run the trial for it the first time."""
        if self.verdict is None:
            self.verdict = run_story(self.play, FLEET, PLAN)
        return self.verdict


FAULTS: dict[str, Fault] = {}


def fault(words: str) -> Callable[[Callable[[Trial], AsyncIterator[None]]], None]:
    """Make a step of what begins a fault, yields and ends it."""

    def register(story: Callable[[Trial], AsyncIterator[None]]) -> None:
        FAULTS[words] = asynccontextmanager(story)

    return register


# ---- what operators do ---------------------------------------------------------------------


async def accept(trial: Trial, words: str) -> None:
    """Give a command until it is accepted, as an operator would who knows that it must be."""
    for _ in range(20):
        if isinstance(await trial.fleet.command(words), CommandAccepted):
            return
        await asyncio.sleep(1.0)
    raise AssertionError(f"{words!r} was never accepted")


@fault("an operator moves the service to the new release")
async def move_on(trial: Trial) -> AsyncIterator[None]:
    await accept(trial, f"set service {MODEL} release {SECOND}")
    await asyncio.sleep(0.5)
    yield


@fault("the operator goes back to the old release in the middle of it")
async def move_back(trial: Trial) -> AsyncIterator[None]:
    await asyncio.sleep(1.0)
    await accept(trial, f"set service {MODEL} release {FIRST}")
    yield


@fault("two operators give conflicting commands at once")
async def conflict(trial: Trial) -> AsyncIterator[None]:
    fleet = trial.fleet
    told = await asyncio.gather(
        fleet.command(f"set service {MODEL} release {SECOND} replicas 2", "entry-1"),
        fleet.command(f"set service {MODEL} release {SECOND} replicas 3", "entry-2"),
    )
    assert sum(isinstance(each, CommandAccepted) for each in told) <= 1, told
    yield
    await accept(trial, f"set service {MODEL} replicas 3")


@fault("operators keep giving commands")
async def keep_commanding(trial: Trial) -> AsyncIterator[None]:
    async def command() -> None:
        for number in range(100):
            await trial.fleet.command(f"set service {MODEL} floor {number % 2 * 10 + 20}%")
            await asyncio.sleep(0.4)

    task = asyncio.get_running_loop().create_task(command())
    yield
    task.cancel()


@fault("an operator drains a target's host")
async def drain(trial: Trial) -> AsyncIterator[None]:
    await accept(trial, f"set service {MODEL} floor 0%")
    await accept(trial, f"set service {MODEL} replicas 2")
    await accept(trial, "drain host host-002")
    yield


# ---- hosts ---------------------------------------------------------------------------------


@fault("a target's host is killed")
async def kill_agent(trial: Trial) -> AsyncIterator[None]:
    await trial.fleet.kill("host-002")
    yield
    await trial.fleet.restart("host-002")


@fault("an entry is killed")
async def kill_entry(trial: Trial) -> AsyncIterator[None]:
    await trial.fleet.kill("entry-2")
    yield
    await trial.fleet.restart("entry-2")


@fault("a target's host is paused and resumes")
async def pause_agent(trial: Trial) -> AsyncIterator[None]:
    trial.fleet.pause("host-001")
    yield
    trial.fleet.resume("host-001")


@fault("an entry is paused and resumes")
async def pause_entry(trial: Trial) -> AsyncIterator[None]:
    trial.fleet.pause("entry-3")
    yield
    trial.fleet.resume("entry-3")


@fault("a target's host is listed as leaving")
async def list_leaving(trial: Trial) -> AsyncIterator[None]:
    await trial.fleet.set_leaving("host-003")
    await asyncio.sleep(LEAVING_S)
    yield
    fleet = trial.fleet.fleet
    assert isinstance(fleet, MemoryFleet)
    fleet.stand_ins.membership.put(fleet.hosts[HostId("host-003")].member)
    trial.fleet.recorder.record(Returned(now(), "host-003"))


@fault("an entry is shut down under load")
async def shut_entry_down(trial: Trial) -> AsyncIterator[None]:
    await trial.fleet.terminate("entry-1")
    yield
    await trial.fleet.restart("entry-1")


@fault("a target's process is shut down under load")
async def shut_agent_down(trial: Trial) -> AsyncIterator[None]:
    await trial.fleet.terminate("host-001")
    yield
    await trial.fleet.restart("host-001")


# ---- targets -------------------------------------------------------------------------------


@fault("the targets are slow")
async def slow_targets(trial: Trial) -> AsyncIterator[None]:
    for name in trial.fleet.agents:
        await trial.fleet.slow_target(name, SLOWNESS)
    await asyncio.sleep(1.0)
    yield
    for name in trial.fleet.agents:
        await trial.fleet.slow_target(name, 1.0)


@fault("the engines break off half of their answers")
async def cut_answers(trial: Trial) -> AsyncIterator[None]:
    for name in ENGINES:
        await trial.fleet.begin_target_fault(name, cut_share=0.5)
    yield
    for name in ENGINES:
        await trial.fleet.end_target_fault(name, cut_share=0.0)


@fault("the engines refuse half of their requests")
async def refuse(trial: Trial) -> AsyncIterator[None]:
    for name in ENGINES:
        await trial.fleet.begin_target_fault(name, refuse_share=0.5)
    yield
    for name in ENGINES:
        await trial.fleet.end_target_fault(name, refuse_share=0.0)


# ---- the platform --------------------------------------------------------------------------


def platform_fault(words: str, part: str, sound: dict[str, Any], **faults: Any) -> None:
    """Make a step of a fault of a service of the platform."""

    @fault(words)
    async def story(trial: Trial) -> AsyncIterator[None]:
        await trial.fleet.begin_outage(part, **faults)
        yield
        await trial.fleet.end_outage(part, **sound)


WELL = {"outage": "none"}
platform_fault("the origin is down", "origin", WELL, outage="refuse")
platform_fault("the link of the origin stalls", "origin", {"stall": False}, stall=True)
platform_fault("the table is down", "table", WELL, outage="refuse")
platform_fault("the table does not answer", "table", WELL, outage="hang")
platform_fault("the table is slow", "table", {"delay_s": 0.0}, delay_s=1.0)
platform_fault(
    "the table takes writes and loses half of its replies",
    "table",
    {"lose_share": 0.0},
    lose_share=0.5,
)
platform_fault("the object store is down", "objects", WELL, outage="cut")
platform_fault("the list of hosts is down", "membership", WELL, outage="refuse")
platform_fault("the list of hosts lags by 3 seconds", "membership", {"lag_s": 0.0}, lag_s=3.0)


@fault("the origin sends corrupt chunks")
async def corrupt(trial: Trial) -> AsyncIterator[None]:
    await trial.fleet.begin_outage("origin", corrupt_share=0.4)
    yield
    fleet = trial.fleet.fleet
    assert isinstance(fleet, MemoryFleet)
    assert fleet.stand_ins.origin.corrupted > 0
    await trial.fleet.end_outage("origin", corrupt_share=0.0)


# ---- steps ---------------------------------------------------------------------------------


@pytest.fixture
def scene() -> Scene:
    return Scene()


@given("a fleet that serves the old release to callers of every kind")
def fleet_serves() -> None:
    """Every trial begins so."""


@when(parsers.re(f"(?P<words>{'|'.join(FAULTS)})$"))
def begin_fault(scene: Scene, words: str) -> None:
    scene.faults.append(FAULTS[words])


@then(parsers.re(f"(?P<words>{'|'.join(PROPERTIES)})$"))
def property_holds(scene: Scene, words: str) -> None:
    broken = [each for each in scene.come_to().violations if each.property is PROPERTIES[words]]
    assert not broken, describe(broken)


@then("all else that must always hold did so")
def all_hold(scene: Scene) -> None:
    violations = scene.come_to().violations
    assert not violations, describe(violations)


@then("callers got answers")
def callers_got_answers(scene: Scene) -> None:
    assert scene.come_to().outcomes["answered"] > 0


@then("the fleet comes to serve what is declared")
def fleet_serves_as_declared(scene: Scene) -> None:
    scene.come_to()
    assert scene.served
