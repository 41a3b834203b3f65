"""Costs as slopes: least squares over a few sizes, with the points kept.

What one more target, entry or byte costs is the slope; what is there without any is the intercept.
"""

import gc
import statistics
import tracemalloc
from collections.abc import Callable, Iterable, Mapping
from dataclasses import asdict, dataclass
from time import process_time
from typing import Any

MICROSECONDS = 1e6
TIMED_S = 0.02
REPEATS = 3
DIGITS = 6

Work = Callable[[], object]


@dataclass(frozen=True)
class Point:
    """One measurement: a size, and the cost there."""

    size: float
    cost: float


@dataclass(frozen=True)
class Slope:
    """What a cost comes to for each more of a size; `unit` is the cost's, `per` the size's."""

    unit: str
    per: str
    slope: float
    intercept: float
    points: tuple[Point, ...]

    @classmethod
    def fit(cls, unit: str, per: str, points: Iterable[Point]) -> "Slope":
        """Fit a line through points of at least two sizes; raise `ValueError` for fewer.

        Slope.fit("bytes", "target", [Point(1, 30), Point(2, 50)]) has a slope of 20 and an
        intercept of 10.
        """
        kept = tuple(points)
        if len({point.size for point in kept}) < 2:
            raise ValueError("a slope needs points of two sizes; measure one more size")
        line = statistics.linear_regression(
            [point.size for point in kept], [point.cost for point in kept]
        )
        return cls(unit, per, round(line.slope, DIGITS), round(line.intercept, DIGITS), kept)

    @classmethod
    def measure(
        cls, unit: str, per: str, sizes: Iterable[int], cost: Callable[[int], float]
    ) -> "Slope":
        """Measure a cost at several sizes and fit a line."""
        return cls.fit(unit, per, [Point(size, round(cost(size), DIGITS)) for size in sizes])

    def at(self, size: float) -> float:
        """Return the cost that the line gives for a size."""
        return self.intercept + self.slope * size

    def to_json(self) -> dict[str, Any]:
        """Return the slope as a JSON object, its points as pairs."""
        told = asdict(self)
        told["points"] = [[point.size, point.cost] for point in self.points]
        return told

    @classmethod
    def from_json(cls, told: Mapping[str, Any]) -> "Slope":
        """Return the slope that a JSON object holds."""
        points = tuple(Point(*pair) for pair in told["points"])
        return cls(told["unit"], told["per"], told["slope"], told["intercept"], points)


Slopes = dict[str, Slope]


def processor_us(work: Work) -> float:
    """Return the processor time that some work takes once, in microseconds.

    Short work is repeated until it can be timed; the least of a few tries counts, as others on the
    machine only ever add to it.
    """
    turns = _turns_for(work)
    best = min(_timed_s(work, turns) for _ in range(REPEATS))
    return best / turns * MICROSECONDS


def _turns_for(work: Work) -> int:
    turns = 1
    while _timed_s(work, turns) < TIMED_S:
        turns *= 2
    return turns


def _timed_s(work: Work, turns: int) -> float:
    began = process_time()
    for _ in range(turns):
        work()
    return process_time() - began


def allocated_bytes(make: Work) -> int:
    """Return the memory that what `make` returns holds, as Python's allocator counts it."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = make()
        gc.collect()
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del kept
    return held
