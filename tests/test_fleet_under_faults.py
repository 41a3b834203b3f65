"""A whole fleet in memory under random faults, and regressions for faults found that way."""

import asyncio

import pytest
from trials import make_trial, run_story
from virtual import run_virtual

from lacewinggw.entry.callers import CallerService
from lacewinggw.lab.checkers import describe
from lacewinggw.lab.faultplan import draw_lanes
from lacewinggw.lab.faults import OVERRIDES, try_faults
from lacewinggw.lab.history import ProcessEnded, ShutdownAsked
from lacewinggw.lab.memoryfleet import MemoryPlan
from lacewinggw.lab.requesters import Mix
from lacewinggw.lab.trial import MODEL, Trial, TrialPlan
from lacewinggw.log import LogFormat, configure_log

FAULT_SECONDS = 12.0


@pytest.mark.parametrize("seed", [1, 2])
def test_all_properties_hold_under_all_faults_and_the_fleet_recovers(seed: int) -> None:
    configure_log(LogFormat.TEXT, "error")
    plan = TrialPlan(callers=3, pause_s=0.15, seed=seed)
    trial = make_trial(MemoryPlan(seed=seed, overrides=OVERRIDES), plan)
    result = run_virtual(try_faults(trial, seed, FAULT_SECONDS), seed)
    assert not result.verdict.violations, describe(result.verdict.violations)
    assert result.well_after_s is not None, result.held_up_by
    assert result.verdict.outcomes["answered"] > 0


def test_same_seed_draws_the_same_faults() -> None:
    hosts = [f"host-{number}" for number in range(4)]

    def draw(seed: int) -> list[str]:
        lanes = draw_lanes(seed, ["entry-1", "entry-2"], hosts, hosts)
        return [str(next(lane)) for lane in lanes.values() for _ in range(20)]

    assert draw(1) == draw(1)
    assert draw(1) != draw(2)


def test_agent_listed_as_leaving_by_a_lagging_list_serves_once_listed_again() -> None:
    async def story(trial: Trial) -> None:
        await trial.fleet.disturb("membership", lag_s=5.0)
        await trial.fleet.set_leaving("host-002")
        await trial.fleet.terminate("host-002")
        await trial.fleet.restart("host-002")
        await asyncio.sleep(8.0)
        await trial.fleet.disturb("membership", lag_s=0.0)
        assert await trial.fleet.wait_until("wait all", 30.0), await trial.fleet.hold_ups()

    verdict = run_story(story)
    assert not verdict.violations, describe(verdict.violations)


def test_request_that_arrives_at_the_end_of_a_drain_is_finished(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def skip_the_wait(self: CallerService, limit_s: float) -> bool:
        return True

    async def story(trial: Trial) -> None:
        await trial.stop_callers()
        for name in trial.fleet.agents:
            await trial.fleet.slow_target(name, 10.0)
        caller = trial.fleet.requester(9, "saleyard", Mix(MODEL, pieces=(20, 20)))
        pending = asyncio.create_task(caller.request())
        while not trial.fleet.attempts_at_entries():  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        await trial.fleet.terminate(trial.fleet.attempts_at_entries()[-1])
        await pending

    monkeypatch.setattr(CallerService, "drained", skip_the_wait)
    verdict = run_story(story)
    assert not verdict.violations, describe(verdict.violations)


def test_entry_that_shuts_down_is_soon_omitted_from_addresses() -> None:
    async def story(trial: Trial) -> None:
        await asyncio.sleep(1.0)
        await trial.fleet.terminate("entry-1")

    plan = TrialPlan(callers=6, pause_s=0.1, settle_s=2.0)
    verdict = run_story(story, MemoryPlan(overrides=OVERRIDES), plan)
    times = {type(event): event.at for event in verdict.history}
    assert not verdict.violations, describe(verdict.violations)
    assert times[ProcessEnded] - times[ShutdownAsked] < 10.0
