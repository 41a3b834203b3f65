"""A whole fleet in memory under drawn faults, and single faults that were found that way."""

import asyncio

import pytest
from trials import make_trial, run_story
from virtual import run_virtual

from lacewinggw.lab.checkers import describe
from lacewinggw.lab.faultplan import draw_lanes
from lacewinggw.lab.faults import OVERRIDES, try_faults
from lacewinggw.lab.memoryfleet import MemoryPlan
from lacewinggw.lab.trial import Trial, TrialPlan
from lacewinggw.log import LogFormat, configure_log

FAULT_SECONDS = 12.0


@pytest.mark.parametrize("seed", [1, 2])
def test_every_property_holds_under_all_faults_and_the_fleet_gets_well(seed: int) -> None:
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


def test_agent_that_a_lagging_list_calls_leaving_serves_once_it_is_listed_anew() -> None:
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
