"""Load patterns replayed on the model of a fleet, with the decisions that the product takes.

Bounds lie between what was reached without a decision and with it, over the seeds tried; they are
for the whole of the policy, as parts of it answer the same patterns.
"""

import statistics

import pytest

from lacewinggw.lab.fleetmodel.profile import (
    PATTERNS,
    LoadPattern,
    Window,
    grown_fleet,
    small_fleet,
)
from lacewinggw.lab.patterns import play, run

CALLS_PER_S = 75.0
SEEDS = (0, 1)
BY_NAME = {pattern.name: pattern for pattern in PATTERNS}


def mean_over_seeds(pattern, measure):
    results = [play(small_fleet(CALLS_PER_S), BY_NAME[pattern], seed) for seed in SEEDS]
    return statistics.fmean(getattr(result, measure) for result in results)


@pytest.mark.parametrize(
    ("pattern", "measure", "least"),
    [
        ("steady", "on_time", 0.94),
        ("burst", "on_time", 0.78),
        ("half out", "on_time", 0.70),
        ("all out", "on_time", 0.58),
        ("impatient", "on_time", 0.80),
        ("slow engines", "on_time", 0.85),
        ("power loss", "on_time", 0.70),
    ],
)
def test_an_overload_ends_when_its_cause_ends(pattern, measure, least):
    assert mean_over_seeds(pattern, measure) >= least


def test_many_entries_share_a_fleet_without_meeting_at_the_same_engines():
    pattern = LoadPattern("steady", length_s=6.0, counted=Window(2.0, 5.5))
    assert play(grown_fleet(), pattern, 0).on_time >= 0.85


def test_the_command_tells_each_share_and_refuses_what_it_does_not_know(capsys):
    assert run(["burst", "--seeds", "1", "--calls", "20"]) == 0
    assert "on_time" in capsys.readouterr().out
    assert run(["no such pattern"]) == 2
    assert "burst" in capsys.readouterr().err
    assert run(["burst", "--calls", "many"]) == 2
