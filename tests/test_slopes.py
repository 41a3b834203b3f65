"""Slopes: the arithmetic, and that what is measured is measured."""

import json
from pathlib import Path

import pytest

from lacewinggw.lab.measuring import Point, Slope, allocated_bytes
from lacewinggw.lab.slopemessages import FAMILIES
from lacewinggw.lab.slopes import as_table, describe, run

KEPT = Path(__file__).resolve().parent.parent / "bench" / "results" / "slopes.json"


def test_a_line_through_exact_points_is_found() -> None:
    slope = Slope.fit("bytes", "target", [Point(1, 30), Point(2, 50), Point(4, 90)])
    assert (slope.slope, slope.intercept) == (20, 10)
    assert slope.at(870) == 17_410


def test_the_line_goes_between_points_that_are_off_it() -> None:
    slope = Slope.fit("us", "entry", [Point(0, 1), Point(0, 3), Point(10, 21), Point(10, 23)])
    assert (slope.slope, slope.intercept) == (2, 2)


def test_one_size_gives_no_slope() -> None:
    with pytest.raises(ValueError, match="two sizes"):
        Slope.fit("us", "entry", [Point(3, 1), Point(3, 2)])


def test_a_slope_survives_its_file() -> None:
    slope = Slope.measure("us", "entry", (1, 2, 3), lambda size: 7.0 * size + 1)
    told = json.loads(json.dumps(describe({"a": slope}, "a command", 5)))
    assert (told["command"], told["seed"]) == ("a command", 5)
    assert Slope.from_json(told["slopes"]["a"]) == slope
    assert "7.0000 per entry" in as_table({"a": slope})


def test_memory_counts_what_is_kept() -> None:
    assert 1_000_000 <= allocated_bytes(lambda: bytes(1_000_000)) < 1_010_000


@pytest.mark.parametrize("name", FAMILIES)
def test_a_message_grows_with_its_size(name: str) -> None:
    family = FAMILIES[name]
    encoded = [len(repr(family.make(size))) for size in family.sizes]
    assert encoded == sorted(encoded) and encoded[0] < encoded[-1]


def test_an_unknown_option_is_refused(capsys: pytest.CaptureFixture[str]) -> None:
    assert run(["--sideways"]) == 2
    assert "Usage:" in capsys.readouterr().err


def test_kept_slopes_are_those_that_their_points_give() -> None:
    told = json.loads(KEPT.read_text())
    assert told["command"].startswith("lacewinggw-lab slopes")
    for slope in (Slope.from_json(each) for each in told["slopes"].values()):
        assert Slope.fit(slope.unit, slope.per, slope.points) == slope
