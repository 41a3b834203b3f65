"""A whole fleet in memory under drawn faults, and single faults that were found that way."""

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


def test_request_that_comes_at_the_very_end_of_a_drain_is_seen_to_its_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def consider_it_quiet(self: CallerService, limit_s: float) -> bool:
        return True

    async def story(trial: Trial) -> None:
        await trial.stop_callers()
        for name in trial.fleet.agents:
            await trial.fleet.slow_target(name, 10.0)
        caller = trial.fleet.requester(9, "saleyard", Mix(MODEL, pieces=(20, 20)))
        asking = asyncio.create_task(caller.request())
        while not trial.fleet.attempts_at_entries():  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        await trial.fleet.terminate(trial.fleet.attempts_at_entries()[-1])
        await asking

    monkeypatch.setattr(CallerService, "drained", consider_it_quiet)
    verdict = run_story(story)
    assert not verdict.violations, describe(verdict.violations)


def test_entry_that_shuts_down_is_soon_named_to_callers_no_more() -> None:
    async def story(trial: Trial) -> None:
        await asyncio.sleep(1.0)
        await trial.fleet.terminate("entry-1")

    plan = TrialPlan(callers=6, pause_s=0.1, settle_s=2.0)
    verdict = run_story(story, MemoryPlan(overrides=OVERRIDES), plan)
    times = {type(event): event.at for event in verdict.history}
    assert not verdict.violations, describe(verdict.violations)
    assert times[ProcessEnded] - times[ShutdownAsked] < 10.0
