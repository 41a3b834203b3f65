"""Guards against requests and prompt parts that crash targets long after the first event.

Events for 0.3 s were taken for proof that a target survives a request, so each run of such a
request cleared it of its earlier crashes, and it was never quarantined.
"""

import asyncio
import random

import pytest
from crashing import (
    ALLOWED_LATER,
    CRASHING_PART,
    SHARED_PARTS,
    Played,
    add_engines,
    count_quarantined,
    count_quarantined_parts,
    crash_times,
    late_arrivals,
    late_part_arrivals,
    play,
    served_share,
)
from declared_fleet import DeclaredFleet, running_fleet
from platform_standins import manifest

from lacewinggw.decisions.contents import make_part_content
from lacewinggw.decisions.crashes import SAME_FAILURE_S, CrashTracker, SurvivedRun
from lacewinggw.decisions.crashrecords import Crash

pytestmark = pytest.mark.looptime

EVENTS = 40
EVENT_S = 0.1  # so that answers take 4 s
MIN_SERVED_SHARE = 0.95  # of sound requests
PART = make_part_content("market", CRASHING_PART)


class RandomTime:
    """A time in seconds that is drawn anew each time that it is added to another one."""

    def __init__(self, low_s: float, high_s: float) -> None:
        self._low_s, self._high_s = low_s, high_s
        self._rng = random.Random(2)

    def __radd__(self, other: float) -> float:
        return other + self._rng.uniform(self._low_s, self._high_s)


def set_up(
    fleet: DeclaredFleet, crash_after_s: float | tuple[float, float], events: int = EVENTS
) -> None:
    """Set the length of answers, and when targets crash: after a time, or drawn from a range."""
    is_random = isinstance(crash_after_s, tuple)
    after_s = RandomTime(*crash_after_s) if is_random else crash_after_s
    for target in fleet.targets.values():
        target.behaviour.events, target.behaviour.pause_s = events, EVENT_S
        target.behaviour.crash_after_s = after_s


def assert_others_served(fleet: DeclaredFleet, played: Played) -> None:
    """Check that the other requests were served, and none was refused as quarantined."""
    assert served_share(fleet, played) >= MIN_SERVED_SHARE
    assert not any(b"quarantined" in reply.body for reply in played.others)


fleet_sizes = pytest.mark.parametrize(("entries", "engines"), [(2, 6), (6, 9)])
crash_times_after = pytest.mark.parametrize("crash_after_s", [0.5, 1.3, 3.4, (0.2, 3.8)])


@fleet_sizes
@crash_times_after
async def test_a_request_that_crashes_targets_late_is_quarantined(entries, engines, crash_after_s):
    async with running_fleet(desks=0, engines=0, entries=entries) as fleet:
        await add_engines(fleet, engines)
        set_up(fleet, crash_after_s)
        played = await play(fleet, 25.0, 0.5, 4.0)
        assert len(late_arrivals(fleet)) <= ALLOWED_LATER, crash_times(fleet)
        assert [count_quarantined(entry) for entry in fleet.entries] == [1] * entries
        assert_others_served(fleet, played)


@fleet_sizes
@crash_times_after
async def test_a_part_that_crashes_targets_late_is_quarantined(entries, engines, crash_after_s):
    async with running_fleet(desks=0, engines=0, entries=entries) as fleet:
        await add_engines(fleet, engines)
        set_up(fleet, crash_after_s)
        played = await play(fleet, 30.0, 0.5, 4.0, part_at=1)
        assert len(late_part_arrivals(fleet)) <= ALLOWED_LATER, crash_times(fleet)
        assert [count_quarantined_parts(entry) for entry in fleet.entries] == [1] * entries
        assert_others_served(fleet, played)


# Guards against sound parts that are quarantined since no answer with them ever ends.
@pytest.mark.parametrize("crash_after_s", [0.5, 3.4])
async def test_callers_that_leave_early_are_not_taken_for_those_who_crash_targets(crash_after_s):
    async with running_fleet(desks=0, engines=0, entries=2) as fleet:
        await add_engines(fleet, 6)
        set_up(fleet, crash_after_s)
        played = await play(fleet, 25.0, 2.0, 4.0, seed=2, part_at=1, leave_after_s=2.0)
        assert len(late_part_arrivals(fleet)) <= ALLOWED_LATER, crash_times(fleet)
        assert_others_served(fleet, played)


# Guards against sound parts that are quarantined since targets that crash for other reasons end
# each stream with them before it is complete.
async def test_long_streams_on_targets_that_crash_for_other_reasons_are_not_quarantined():
    async with running_fleet(desks=0, engines=0, entries=2) as fleet:
        routes = manifest(3)
        for route in routes["Routes"]:
            route["TimeoutMs"] = 120_000
        fleet.store.put("op", "config", routes)
        await add_engines(fleet, 9)
        set_up(fleet, 0.0, events=600)
        rng = random.Random(1)

        async def ask(number: int) -> bytes:
            prompt = ",".join([*SHARED_PARTS, f"{number:08x}:30"])
            reply = await fleet.ask(
                "/report/1",
                entry=number % 2,
                left_ms=120_000,
                body=f"long {number}".encode(),
                X_Model="market",
                X_Prompt_Prefix=prompt,
                X_Token_Counts="730,600",
            )
            return reply.body

        asks = []
        for number in range(90):
            asks.append(asyncio.ensure_future(ask(number)))
            await asyncio.sleep(1.0)
            if number % 4 == 3:
                rng.choice(list(fleet.targets.values())).crash()
        assert not any(b"quarantined" in body for body in await asyncio.gather(*asks))
        assert len(crash_times(fleet)) > 15


def test_a_shorter_run_does_not_clear_a_request():
    """The rest of a stream may end before the time at which the request crashes its target."""
    tracker = CrashTracker()
    tracker.note_crash(Crash("c", "a", 0.0, 3.4), 3.4)
    assert not tracker.note_survived("c", SurvivedRun(0.6, 5.0, is_whole=False))
    assert not tracker.note_survived("c", SurvivedRun(2.0, 8.0, is_whole=True))
    assert tracker.crash_count("c") == 1
    assert tracker.note_survived("c", SurvivedRun(4.0, 12.0, is_whole=True))
    assert tracker.crash_count("c") == 0


def test_runs_that_were_left_count_against_one_crash_each():
    tracker = CrashTracker()
    for number, target in enumerate("abd"):
        tracker.note_crash(Crash("c", target, number, number + 1.0), number + 1.0)
    left = [tracker.note_survived("c", SurvivedRun(1.5, 4.0 + n, False)) for n in range(3)]
    assert left == [False, False, True]


def test_an_older_run_does_not_clear_a_newer_crash():
    tracker = CrashTracker()
    tracker.note_crash(Crash("c", "a", 5.0, 6.0), 6.0)
    assert not tracker.note_survived("c", SurvivedRun(4.0, 5.5, is_whole=True))
    assert tracker.crash_count("c") == 1


def test_targets_that_crash_one_after_the_other_under_runs_at_the_same_time_all_count():
    """A request that crashes targets late runs on several before the first one crashes."""
    tracker = CrashTracker()
    for number, target in enumerate("abd"):
        at = 3.4 + number * SAME_FAILURE_S
        tracker.note_crash(Crash("c", target, at - 3.4, at), at)
    assert tracker.quarantine_culprits(10.0) == ["c"]


def test_targets_that_crash_together_count_once():
    tracker = CrashTracker()
    for number, target in enumerate("abd"):
        tracker.note_crash(Crash("c", target, number, 3.4 + 0.1 * number), 4.0)
    assert tracker.quarantine_culprits(10.0) == []


def test_a_part_with_short_answers_is_not_taken_for_served():
    """Otherwise a part that crashes targets late needs five crashes in place of three."""
    tracker = CrashTracker()
    tracker.note_crash(Crash("r", "a", 0.0, 3.4, (PART,)), 3.4)
    assert not tracker.note_survived(PART, SurvivedRun(2.0, 4.0, is_whole=True))
    assert not tracker.records.was_served(PART)
