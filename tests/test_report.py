"""The report: plots of the results there are, and a word on those that are missing."""

import json
import re
from pathlib import Path
from typing import Any

import pytest

from lacewinggw.lab.plots import PLOTS, Result
from lacewinggw.lab.report import make_page, read_results, run

SPREAD = {"time_to_n_s": 24.0, "time_ratio": 1.2, "time_ratio_half": 1.1, "origin_copies": 1.1}
RUNS = [
    {"load": load, "all": {"p95_ms": 300 * load, "answered_per_s": 40 * load}}
    for load in (0.7, 1.5)
]
LATENCY = {"p50_ms": 25.0, "p95_ms": 28.0}
SAMPLES: dict[str, dict[str, Any]] = {
    "Time to N replicas": {**SPREAD, "baselines": {"chain": {**SPREAD, "time_ratio": 2.0}}},
    "Copies of a release": {**SPREAD, "max_upload_copies": 1.2},
    "Latency beside load": {
        "capacity_per_s": 40.0,
        "policies": [{"policy": "cost", "runs": RUNS}],
    },
    "Answers beside load": {
        "capacity_per_s": 40.0,
        "policies": [{"policy": "random", "runs": RUNS}],
    },
    "Limits of client accounts": {
        "experiment": "limits",
        "runs": [{"name": "even", "others": {"p95_ms": 150.0}, "admitted_over_limit": 1.01}],
    },
    "Time between pieces": {
        "through_entry": {"gap": LATENCY},
        "straight_from_engines": {"gap": LATENCY},
    },
    "Changes in force": {
        "entries": 8,
        "agents": 24,
        "in_force_p50_s": 0.02,
        "in_force_p99_s": 0.2,
        "in_force_max_s": 0.4,
    },
    "Replicas replaced": {
        "needless_moves": 0,
        "results": [{"scenario": "dead-host", "lost": 1, "moves": 1, "whole_again_s": 13.0}],
    },
    "Outcomes under faults": {"outcomes": {"answered": 90, "not-run": 2}, "violations_total": 0},
}


def test_there_is_a_sample_of_each_plot() -> None:
    assert SAMPLES.keys() == PLOTS.keys()


@pytest.mark.parametrize("title", PLOTS)
def test_a_plot_is_drawn_from_its_result(title: str) -> None:
    result = Result("kept", {**SAMPLES[title], "command": "lacewinggw-lab <this>"})
    page = make_page([result])
    assert f"<h2>{title}</h2>" in page
    assert "lacewinggw-lab &lt;this&gt;" in page
    assert "<svg" in page and "<?xml" not in page
    assert f"<li>{title}" not in page


def test_requests_of_an_experiment_count_by_outcome() -> None:
    told = {"sendings": 9, "answered": 6, "not_run": {"LW-6003": 2}, "unknown": {}}
    drawn = PLOTS["Outcomes under faults"]([Result("requests", {**told, "violations": {"a": 0}})])
    assert drawn is not None


def test_a_command_is_shown_without_where_it_wrote_to() -> None:
    told = {**SAMPLES["Changes in force"], "command": "lacewinggw-lab config --output here.json -x"}
    assert "<code>lacewinggw-lab config -x</code>" in make_page([Result("config", told)])


def test_without_results_every_plot_is_named_as_missing() -> None:
    page = make_page([])
    assert re.findall(r"<li>(.*): no results</li>", page) == list(PLOTS)
    assert "<svg" not in page


def test_the_same_results_give_the_same_page() -> None:
    result = Result("kept", SAMPLES["Changes in force"])
    assert make_page([result]) == make_page([result])


def test_a_file_that_is_no_result_is_named(tmp_path: Path) -> None:
    (tmp_path / "cut-off.json").write_text('{"command": ')
    (tmp_path / "list.json").write_text("[1]")
    (tmp_path / "config.json").write_text(json.dumps(SAMPLES["Changes in force"]))
    results, unread = read_results(tmp_path)
    assert [each.name for each in results] == ["config"]
    assert [each.name for each in unread] == ["cut-off.json", "list.json"]
    assert "<li>list.json: not a JSON object</li>" in make_page(results, unread)


def test_the_page_is_written(tmp_path: Path) -> None:
    out = tmp_path / "report.html"
    assert run(["--results", str(tmp_path), "--out", str(out)]) == 0
    assert out.read_text().startswith("<!doctype html>")


def test_a_missing_folder_is_refused(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert run(["--results", str(tmp_path / "none")]) == 2
    assert "--results" in capsys.readouterr().err
