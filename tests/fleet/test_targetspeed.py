"""Targets that run slower than declared: measured, passed over, and used again."""

import asyncio
import random

import pytest
from declared_fleet import running_fleet

from lacewinggw.decisions.dispatch import SampleSizes, TargetPool, TargetRequirements
from lacewinggw.decisions.ejection import EjectionRules
from lacewinggw.decisions.slots import SlotAllocator, SlotRequest
from lacewinggw.decisions.targetlist import TargetEntry
from lacewinggw.decisions.targetspeed import (
    MAX_FACTOR,
    OWN_SLOW_FACTOR,
    SLOW_FACTOR,
    BatchSpeed,
    StreamSpeed,
    TargetSpeed,
    event_gap_s,
)
from lacewinggw.lab.fleetmodel.profile import BULLETIN_FIGURES

GAP_S = event_gap_s(BULLETIN_FIGURES)
RULES = EjectionRules(after_failures=3, ejection_s=1.0, max_ejected_share=0.5)


def note_gaps(speed, factors, now=0.0):
    for factor in factors:
        now += factor * GAP_S
        speed.note_gap(factor, now)
    return now


def make_pool():
    pool = TargetPool("hall", RULES, random.Random(1), SampleSizes(near=9, far=9))
    names = ("a", "b", "c")
    pool.sync({name: TargetEntry(name, "writer", f"h{name}:1", "hall", slots=4) for name in names})
    return pool


def choose_and_begin(pool, now, count):
    chosen = []
    for _ in range(count):
        load = pool.choose(pool.eligible(TargetRequirements("writer")), now)
        if load is not None:
            pool.begin(load, now)
            chosen.append(load.entry.target)
    return chosen


# Guards against a changed choice in fleets whose targets run as declared: prompts that are read
# between the steps make single gaps several times as long.
def test_targets_at_their_declared_speed_are_chosen_as_before():
    measured, plain = make_pool(), make_pool()
    now = 1.0
    for name, load in measured.loads.items():
        now = note_gaps(load.speed, [1.0, 3.5, 1.0, 1.9, 1.9, 1.0, 2.8, 0.9], now)
        measured.note_report(name, 0, now, slowness=1.0)
        plain.note_report(name, 0, now)
    assert choose_and_begin(measured, now, 12) == choose_and_begin(plain, now, 12)


# Guards against sending requests to a target that is slow for half a second because it looks least
# busy, and against leaving it unused, or sending it everything at once, when it is fast again.
def test_a_slow_target_is_passed_over_for_as_long_as_it_is_slow():
    pool = make_pool()
    load = pool.loads["a"]
    now = note_gaps(load.speed, [1.0, 2.5, 2.5])
    assert load.speed.factor(now) == 2.5
    assert "a" not in choose_and_begin(pool, now, 4)
    now = note_gaps(load.speed, [1.0], now)
    assert load.speed.factor(now) == 1.0
    assert set(choose_and_begin(pool, now, 2)) == {"a"}


# Guards against idle slots of a target that is slow for many seconds while the others are full.
def test_a_slow_target_takes_what_the_others_have_no_slots_for():
    pool = make_pool()
    note_gaps(pool.loads["a"].speed, [2.5, 2.5])
    assert choose_and_begin(pool, 0.3, 12).count("a") == 4


def test_a_factor_without_new_gaps_falls_back_to_one():
    speed = TargetSpeed()
    now = note_gaps(speed, [2.5, 2.5])
    assert OWN_SLOW_FACTOR <= speed.factor(now + 0.3) < 2.5
    assert speed.factor(now + 0.5) == 1.0
    speed.note_report(2.5, now + 0.5)
    assert speed.factor(now + 1.3) > SLOW_FACTOR
    assert speed.factor(now + 1.5) == 1.0


# Guards against trusting late reports of an agent more than what streams show at the moment.
def test_own_measurements_count_when_reports_are_late_or_stop():
    speed = TargetSpeed()
    speed.note_report(2.5, now=0.0)
    assert speed.factor(0.1) > SLOW_FACTOR
    now = note_gaps(speed, [1.0], 0.1)
    assert speed.factor(now) == 1.0
    now = note_gaps(speed, [3.0, 3.0], now)
    assert speed.factor(now) == 3.0


@pytest.mark.parametrize("value", [0.0, 1.5, 1e300])
def test_an_implausible_report_is_bounded(value):
    speed = TargetSpeed()
    speed.note_report(value, now=0.0)
    assert 1.0 <= speed.factor(0.0) <= MAX_FACTOR


# Guards against taking an engine for slow that reads the prompts that were just sent to it.
def test_prompts_explain_a_long_gap_to_the_agent():
    speed = BatchSpeed()
    speed.note_prompt(0.06, now=1.0)
    speed.note_gap(GAP_S + 0.06, GAP_S, now=1.01 + GAP_S + 0.06)
    assert speed.factor(1.2) == 1.0
    speed.note_gap(2.5 * GAP_S, GAP_S, now=2.0)
    assert speed.factor(2.0) == pytest.approx(2.5)


# Guards against a target that gets few requests for two seconds after a pause of one.
def test_a_single_pause_does_not_count_as_slowness():
    speed = BatchSpeed()
    for ended_at in (2.0, 2.01, 2.1):  # streams of several entries
        speed.note_gap(1.2, GAP_S, now=ended_at)
    assert speed.factor(2.1) == 1.0
    speed.note_gap(2.5 * GAP_S, GAP_S, now=2.3)
    assert speed.factor(2.3) == pytest.approx(2.5)


def test_a_target_that_pauses_before_each_event_counts_as_slow():
    speed = BatchSpeed()
    speed.note_gap(0.6, GAP_S, now=2.0)
    speed.note_gap(0.6, GAP_S, now=2.62)
    assert speed.factor(2.62) == MAX_FACTOR


def test_only_long_gaps_are_reported_and_only_to_agents_that_take_them():
    speed = TargetSpeed()
    stream = StreamSpeed(speed, GAP_S)
    assert stream.note_events(1, 0.0) is None
    assert stream.note_events(1, 0.2) is None  # an older build would close the link
    speed.hears_gaps = True
    assert stream.note_events(1, 0.2 + GAP_S) is None
    assert stream.note_events(2, 0.4 + GAP_S) == pytest.approx(0.1)
    assert stream.note_events(1, 0.48 + GAP_S) is None  # too soon after the last one
    assert stream.note_events(1, 0.68 + GAP_S, link_s=0.15) is None  # the link was late
    undeclared = StreamSpeed(speed, 0.0)
    assert [undeclared.note_events(1, at) for at in (1.0, 9.0)] == [None, None]


# Guards against gaps of running streams that become too long because prompts are let in at the
# declared speed: at 2.5 times its time an engine reads in 0.15 s what it otherwise reads in 0.06 s.
@pytest.mark.parametrize(("is_slow", "started"), [(False, 3), (True, 2)])
def test_fewer_prompts_start_at_once_on_a_slow_target(is_slow, started):
    allocator = SlotAllocator(slots=8)
    allocator.open()
    if is_slow:
        allocator.speed.note_gap(2.5 * GAP_S, GAP_S, now=1.0)
    for lease in range(8):
        allocator.enqueue(lease, SlotRequest(1, False, 1.0, prefill_s=0.06), 1.0)
    assert len(allocator.grant(1.0)) == started


# Guards against entries that do not learn of a slow engine because none of its streams is theirs.
@pytest.mark.looptime
async def test_all_entries_learn_of_a_slow_engine_from_the_streams_of_one():
    async with running_fleet(engines=1, entries=2) as fleet:
        await fleet.add_agent("engine0")
        await asyncio.sleep(1.5)
        loads = fleet.entries[1].pool.loads.values()
        other = next(load for load in loads if load.entry.service == "writer")
        assert (await fleet.ask("/report/1", X_Model="market")).status == 200
        assert other.speed.factor(asyncio.get_running_loop().time()) == 1.0
        fleet.targets["engine0"].behaviour.pause_s = 0.3
        assert (await fleet.ask("/report/1", X_Model="market")).status == 200
        assert other.speed.factor(asyncio.get_running_loop().time()) > SLOW_FACTOR
        await asyncio.sleep(3.0)
        assert other.speed.factor(asyncio.get_running_loop().time()) == 1.0
