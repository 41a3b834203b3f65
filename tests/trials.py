"""Runs of a whole fleet in memory, in virtual time, for scenarios, mutants and state machines."""

import hashlib
from collections.abc import Awaitable, Callable

from virtual import run_virtual

from lacewinggw.decisions.revisions import FleetState
from lacewinggw.ids import HostId
from lacewinggw.lab.history import Applied
from lacewinggw.lab.memoryfleet import MemoryFleet, MemoryPlan
from lacewinggw.lab.observed import ObservedFleet
from lacewinggw.lab.standin import now
from lacewinggw.lab.trial import Trial, TrialPlan, Verdict
from lacewinggw.log import LogFormat, configure_log
from lacewinggw.wire.frames import encode_struct

Story = Callable[[Trial], Awaitable[None]]

SMALL = TrialPlan(callers=3, pause_s=0.15, deadline_s=5.0, settle_s=7.0)


def make_trial(fleet_plan: MemoryPlan | None = None, plan: TrialPlan = SMALL) -> Trial:
    """Return a trial of a fleet that records each configuration state in the history."""
    fleet = MemoryFleet(fleet_plan or MemoryPlan())
    observed = ObservedFleet(fleet, plan.seed, samples=False)

    def note_state(host: HostId, state: FleetState) -> None:
        digest = hashlib.sha256(encode_struct(state.to_snapshot())).hexdigest()
        incarnation = observed.incarnation(host)
        observed.recorder.record(Applied(now(), host, incarnation, state.revision, digest))

    fleet.on_state = note_state
    return Trial(observed, plan)


def run_story(
    story: Story, fleet_plan: MemoryPlan | None = None, plan: TrialPlan = SMALL
) -> Verdict:
    """Run a trial with a scenario between its start and its end, and return the verdict."""

    configure_log(LogFormat.TEXT, "error")

    async def run() -> Verdict:
        trial = make_trial(fleet_plan, plan)
        try:
            await trial.begin()
            await story(trial)
            return await trial.finish()
        finally:
            await trial.close()

    return run_virtual(run(), plan.seed)
