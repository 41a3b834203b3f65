"""A whole fleet of 3 entries and 8 agents in memory, under any order of faults and commands."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import looptime
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule
from trials import SMALL, make_trial

from lacewinggw.lab.checkers import describe
from lacewinggw.lab.faults import OVERRIDES
from lacewinggw.lab.memoryfleet import MemoryPlan
from lacewinggw.lab.trial import FIRST, MODEL, SECOND, Trial
from lacewinggw.log import LogFormat, configure_log

ENGINES, PLAINS, ENTRIES = 6, 2, 3

agents = st.integers(1, ENGINES + PLAINS).map(lambda number: f"host-{number:03}")
entries = st.integers(1, ENTRIES).map(lambda number: f"entry-{number}")
hosts = st.one_of(agents, entries)
seconds = st.floats(0.1, 5.0)


class FleetMachine(RuleBasedStateMachine):
    """Disturb the fleet in any order; at the end undo everything, and judge the history."""

    @initialize(seed=st.integers(0, 1000))
    def begin(self, seed: int) -> None:
        configure_log(LogFormat.TEXT, "error")
        self.loop = looptime.new_event_loop(start=1.0, noop_cycles=1)
        plan = MemoryPlan(ENTRIES, ENGINES, PLAINS, seed=seed, overrides=OVERRIDES)
        self.trial: Trial = make_trial(plan, SMALL)
        self.fleet = self.trial.fleet
        self.lost: list[str] = []
        self.paused: list[str] = []
        self.parted: list[tuple[str, str]] = []
        self.out: list[str] = []
        self.run(self.trial.begin())

    def run(self, step: Coroutine[Any, Any, Any]) -> Any:
        return self.loop.run_until_complete(step)

    def is_away(self, host: str) -> bool:
        return host in self.lost or host in self.paused

    @rule(for_s=seconds)
    def let_time_pass(self, for_s: float) -> None:
        self.run(asyncio.sleep(for_s))

    @rule(host=hosts)
    def kill(self, host: str) -> None:
        if len(self.lost) < 2 and not self.is_away(host):
            self.lost.append(host)
            self.run(self.fleet.kill(host))

    @precondition(lambda self: self.lost)
    @rule()
    def replace(self) -> None:
        self.run(self.fleet.restart(self.lost.pop(0)))

    @rule(host=hosts)
    def pause(self, host: str) -> None:
        if len(self.paused) < 2 and not self.is_away(host):
            self.paused.append(host)
            self.run(self.call(self.fleet.pause, host))

    @precondition(lambda self: self.paused)
    @rule()
    def resume(self) -> None:
        self.run(self.call(self.fleet.resume, self.paused.pop(0)))

    @rule(one=hosts, other=hosts)
    def part(self, one: str, other: str) -> None:
        if one != other and len(self.parted) < 2:
            self.parted.append((one, other))
            self.run(self.call(self.fleet.part, one, other))

    @precondition(lambda self: self.parted)
    @rule()
    def heal(self) -> None:
        self.run(self.call(self.fleet.heal, *self.parted.pop(0)))

    @rule(
        part=st.sampled_from(["table", "objects", "origin"]),
        kind=st.sampled_from(["refuse", "cut"]),
    )
    def begin_outage(self, part: str, kind: str) -> None:
        if part not in self.out:
            self.out.append(part)
            self.run(self.fleet.begin_outage(part, outage=kind))

    @precondition(lambda self: self.out)
    @rule()
    def end_outage(self) -> None:
        self.run(self.fleet.end_outage(self.out.pop(0), outage="none"))

    @rule(share=st.sampled_from([0.0, 0.5]))
    def lose_replies_of_the_table(self, share: float) -> None:
        self.run(self.fleet.disturb("table", lose_share=share))

    @rule(share=st.sampled_from([0.0, 0.3]))
    def corrupt_chunks_of_the_origin(self, share: float) -> None:
        self.run(self.fleet.disturb("origin", corrupt_share=share))

    @rule(release=st.sampled_from([FIRST, SECOND]), replicas=st.integers(2, ENGINES))
    def move_the_service(self, release: str, replicas: int) -> None:
        if self.fleet.running_entries():
            words = f"set service {MODEL} release {release} replicas {replicas}"
            self.run(self.fleet.command(words))

    async def call(self, step: Any, *given: str) -> None:
        step(*given)

    def undo_everything(self) -> None:
        while self.parted:
            self.heal()
        while self.paused:
            self.resume()
        while self.lost:
            self.replace()
        while self.out:
            self.end_outage()
        self.lose_replies_of_the_table(0.0)
        self.corrupt_chunks_of_the_origin(0.0)

    def teardown(self) -> None:
        if not hasattr(self, "loop"):
            return
        try:
            self.undo_everything()
            well = self.run(self.fleet.wait_until("wait all", 60.0))
            assert well, self.run(self.fleet.hold_ups())
            verdict = self.run(self.trial.finish())
            assert not verdict.violations, describe(verdict.violations)
        finally:
            self.run(self.trial.close())
            self.loop.close()


TestFleetMachine = FleetMachine.TestCase
TestFleetMachine.settings = settings(max_examples=6, stateful_step_count=12, deadline=None)
