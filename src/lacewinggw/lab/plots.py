"""Plots of kept results, each an SVG drawing; a plot without results is none.

Results are told apart by what they hold. A value that a result lacks is left out of its plot.
"""

import io
import re
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib.axes import Axes  # noqa: E402
from matplotlib.figure import Figure  # noqa: E402

WIDTH_IN, HEIGHT_IN = 8.0, 3.6
GROUP_WIDTH = 0.8
SETTINGS: dict[Any, Any] = {"svg.fonttype": "path", "svg.hashsalt": "lacewinggw", "font.size": 9}
OUTPUT_OPTION = re.compile(r" --output \S+")
FORCE_GOAL_S = 6.0
ORIGIN_BUDGET = 4.0
UPLOAD_BUDGET = 2.0
PERCENT = 100.0


@dataclass(frozen=True, eq=False)
class Result:
    """One kept result: the name of its file, and what it holds."""

    name: str
    content: Mapping[str, Any]

    @property
    def command(self) -> str:
        """The command that measured it, where it wrote to left out; else the result's name."""
        return OUTPUT_OPTION.sub("", str(self.content.get("command", self.name)))


@dataclass(frozen=True)
class Drawing:
    """A plot: what it shows in words, the SVG element, and the commands behind it."""

    note: str
    svg: str
    commands: tuple[str, ...]


@dataclass(frozen=True)
class Bars:
    """One series of bars: its label and a value for each group, None for none."""

    label: str
    values: Sequence[float | None]


Results = Sequence[Result]
Draw = Callable[[Results], Drawing | None]


def _holding(results: Results, *keys: str) -> list[Result]:
    return [each for each in results if all(key in each.content for key in keys)]


def _figure() -> tuple[Figure, Axes]:
    figure = Figure(figsize=(WIDTH_IN, HEIGHT_IN), layout="constrained")
    axes = figure.add_subplot()
    axes.spines[["top", "right"]].set_visible(False)
    return figure, axes


def _drawing(note: str, figure: Figure, results: Results) -> Drawing:
    return Drawing(note, as_svg(figure), tuple(each.command for each in results))


def as_svg(figure: Figure) -> str:
    """Return a figure as an SVG element, the same on every run."""
    stream = io.StringIO()
    with matplotlib.rc_context(SETTINGS):
        figure.savefig(stream, format="svg", metadata={"Date": None})
    text = stream.getvalue()
    return text[text.index("<svg") :]


def _legend(axes: Axes) -> None:
    axes.legend(frameon=False, loc="lower center", bbox_to_anchor=(0.5, 1.0), ncols=5)


def draw_bars(axes: Axes, groups: Sequence[str], series: Sequence[Bars]) -> None:
    """Draw series side by side in each group, with the value over each bar."""
    width = GROUP_WIDTH / len(series)
    for index, bars in enumerate(series):
        shift = (index - (len(series) - 1) / 2) * width
        at = [place + shift for place, value in enumerate(bars.values) if value is not None]
        known = [value for value in bars.values if value is not None]
        drawn = axes.bar(at, known, width, label=bars.label)
        axes.bar_label(drawn, fmt="%.3g", fontsize=7, padding=1)
    axes.set_xticks(range(len(groups)), groups, rotation=20 if len(groups) > 3 else 0)
    if len(series) > 1:
        _legend(axes)


def _goal(axes: Axes, value: float, label: str) -> None:
    axes.axhline(value, color="black", linestyle="--", linewidth=0.8, label=label)
    _legend(axes)


# ---- weights -------------------------------------------------------------------------------


def _spreads(results: Results) -> Iterator[tuple[str, Mapping[str, Any]]]:
    """Yield each spread that was measured, baselines after the run that they stand beside."""
    for result in _holding(results, "time_to_n_s", "time_ratio"):
        yield result.name, result.content
        for policy, content in result.content.get("baselines", {}).items():
            yield f"{result.name}\n{policy}", content


def draw_time_to_n(results: Results) -> Drawing | None:
    """Draw the time until N replicas serve, as multiples of the lower bound."""
    found = dict(_spreads(results))
    if not found:
        return None
    figure, axes = _figure()
    ratios = [each.get("time_ratio") for each in found.values()]
    halves = [each.get("time_ratio_half") for each in found.values()]
    draw_bars(axes, list(found), [Bars("all hosts", ratios), Bars("half of the hosts", halves)])
    _goal(axes, 1.0, "lower bound: one copy over a host's link")
    axes.set_ylabel("time, in lower bounds")
    note = "Time until N replicas serve a new model; beside the runs, other policies."
    return _drawing(note, figure, _holding(results, "time_to_n_s", "time_ratio"))


def draw_copies(results: Results) -> Drawing | None:
    """Draw the copies of a release taken from the origin and sent by one host at most."""
    found = dict(_spreads(results))
    if not found:
        return None
    figure, axes = _figure()
    origin = [each.get("origin_copies") for each in found.values()]
    upload = [each.get("max_upload_copies") for each in found.values()]
    draw_bars(axes, list(found), [Bars("from the origin", origin), Bars("by one host", upload)])
    _goal(axes, ORIGIN_BUDGET, "budget of the origin's link")
    axes.set_ylabel("copies of the release")
    note = "Copies drawn from the origin, and the most that one host sent to others."
    return _drawing(note, figure, _holding(results, "time_to_n_s", "time_ratio"))


# ---- requests ------------------------------------------------------------------------------


def draw_load(results: Results) -> Drawing | None:
    """Draw p95 beside load for each policy of routing."""
    found = _holding(results, "policies", "capacity_per_s")
    if not found:
        return None
    figure, axes = _figure()
    for result in found:
        for policy in result.content["policies"]:
            runs = policy.get("runs", [])
            loads = [each["load"] for each in runs]
            whole = [each["all"]["p95_ms"] for each in runs]
            axes.plot(loads, whole, marker="o", label=str(policy.get("policy", "")))
    axes.set_xlabel("load, as a share of capacity")
    axes.set_ylabel("p95 of answered requests, ms")
    axes.set_yscale("log")
    _legend(axes)
    note = "Latency beside load with one target of three slowed tenfold, by policy of routing."
    return _drawing(note, figure, found)


def draw_goodput(results: Results) -> Drawing | None:
    """Draw answers a second beside load for each policy of routing."""
    found = _holding(results, "policies", "capacity_per_s")
    if not found:
        return None
    figure, axes = _figure()
    for result in found:
        for policy in result.content["policies"]:
            runs = policy.get("runs", [])
            loads = [each["load"] for each in runs]
            answered = [each["all"]["answered_per_s"] for each in runs]
            axes.plot(loads, answered, marker="o", label=str(policy.get("policy", "")))
        _goal(axes, result.content["capacity_per_s"], "capacity")
    axes.set_xlabel("load, as a share of capacity")
    axes.set_ylabel("answers a second")
    return _drawing("Answers a second beside load, same runs.", figure, found)


def draw_limits(results: Results) -> Drawing | None:
    """Draw the p95 of other accounts while one account asks for ten times its limit."""
    found = [
        each for each in _holding(results, "runs") if each.content.get("experiment") == "limits"
    ]
    if not found:
        return None
    figure, axes = _figure()
    runs = [run for result in found for run in result.content["runs"]]
    others = [run["others"]["p95_ms"] for run in runs]
    admitted = [PERCENT * run.get("admitted_over_limit", 0.0) for run in runs]
    draw_bars(
        axes,
        [str(run["name"]) for run in runs],
        [
            Bars("p95 of the other accounts, ms", others),
            Bars("admitted of the greedy one, % of its limit", admitted),
        ],
    )
    note = "One account at ten times its limit, split evenly, unevenly, and with an entry lost."
    return _drawing(note, figure, found)


def draw_gaps(results: Results) -> Drawing | None:
    """Draw the time between pieces of streams, through the system and straight from engines."""
    found = _holding(results, "through_entry", "straight_from_engines")
    if not found:
        return None
    figure, axes = _figure()
    content = found[-1].content
    quantiles = list(content["through_entry"]["gap"])
    through = [content["through_entry"]["gap"][each] for each in quantiles]
    straight = [content["straight_from_engines"]["gap"][each] for each in quantiles]
    bars = [Bars("through entry and agents", through), Bars("straight from engines", straight)]
    draw_bars(axes, quantiles, bars)
    _goal(axes, float(content.get("gap_goal_ms", 30.0)), "goal")
    axes.set_ylabel("time between pieces, ms")
    return _drawing("Streams at the rate of one entry at the size to design for.", figure, found)


# ---- configuration -------------------------------------------------------------------------


def draw_propagation(results: Results) -> Drawing | None:
    """Draw the time until a change is in force everywhere."""
    found = _holding(results, "in_force_p50_s", "in_force_p99_s", "entries", "agents")
    if not found:
        return None
    found = sorted(found, key=_processes)
    figure, axes = _figure()
    keys = {"p50": "in_force_p50_s", "p99": "in_force_p99_s", "longest": "in_force_max_s"}
    series = [Bars(label, [each.content.get(key) for each in found]) for label, key in keys.items()]
    names = [
        f"{each.name}\n{each.content['entries']} + {each.content['agents']} processes"
        for each in found
    ]
    draw_bars(axes, names, series)
    _goal(axes, FORCE_GOAL_S, "limit")
    axes.set_yscale("log")
    axes.set_ylabel("seconds until in force everywhere")
    return _drawing("From acceptance to the last process, entries + agents.", figure, found)


def _processes(result: Result) -> int:
    return int(result.content["entries"]) + int(result.content["agents"])


def draw_replacement(results: Results) -> Drawing | None:
    """Draw the time until lost replicas serve again, by what was lost."""
    found = _holding(results, "needless_moves", "results")
    if not found:
        return None
    figure, axes = _figure()
    scenarios = [each for result in found for each in result.content["results"] if each["lost"]]
    names = [f"{each['scenario']}\n{each['lost']} lost" for each in scenarios]
    draw_bars(axes, names, [Bars("seconds", [each["whole_again_s"] for each in scenarios])])
    axes.set_ylabel("seconds until all replicas serve")
    needless = sum(int(each.content["needless_moves"]) for each in found)
    note = f"From the loss of hosts to the declared replicas; moves beyond the fewest: {needless}."
    return _drawing(note, figure, found)


# ---- outcomes ------------------------------------------------------------------------------


def draw_outcomes(results: Results) -> Drawing | None:
    """Draw how requests under faults ended, and how many properties were broken."""
    found = {each: _outcomes(each.content) for each in results}
    found = {each: outcomes for each, outcomes in found.items() if outcomes}
    if not found:
        return None
    figure, axes = _figure()
    kinds = sorted({kind for outcomes in found.values() for kind in outcomes})
    series = [Bars(kind, [each.get(kind) or None for each in found.values()]) for kind in kinds]
    names = [f"{each.name}\nviolations: {_violations(each.content)}" for each in found]
    draw_bars(axes, names, series)
    axes.set_yscale("log")
    axes.set_ylabel("requests")
    note = "How requests ended under faults, by outcome; an outcome that never came has no bar."
    return _drawing(note, figure, list(found))


def _outcomes(content: Mapping[str, Any]) -> Mapping[str, float]:
    """Return the requests of a result by outcome; none when it is no run of requests."""
    told = content.get("outcomes")
    if isinstance(told, Mapping):
        return {str(kind): float(count) for kind, count in told.items()}
    if "sendings" not in content:
        return {}
    not_run, unknown = (sum(content.get(key, {}).values()) for key in ("not_run", "unknown"))
    return {"answered": content.get("answered", 0), "not-run": not_run, "unknown": unknown}


def _violations(content: Mapping[str, Any]) -> str:
    total = content.get("violations_total")
    if total is not None:
        return str(total)
    told = content.get("violations")
    if isinstance(told, Mapping):
        return str(sum(told.values()))
    return str(len(told) if isinstance(told, list) else told)


PLOTS: Mapping[str, Draw] = {
    "Time to N replicas": draw_time_to_n,
    "Copies of a release": draw_copies,
    "Latency beside load": draw_load,
    "Answers beside load": draw_goodput,
    "Limits of client accounts": draw_limits,
    "Time between pieces": draw_gaps,
    "Changes in force": draw_propagation,
    "Replicas replaced": draw_replacement,
    "Outcomes under faults": draw_outcomes,
}
