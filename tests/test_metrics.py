"""Metrics: counting, rendering, and the limit on series."""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

from lacewinggw.errors import AgentLost, NoTarget, Refusal
from lacewinggw.metricnames import METRICS, MetricKind
from lacewinggw.metrics import SERIES_LIMIT, Metrics, RetryReason

SOURCES = Path(__file__).resolve().parent.parent / "src" / "lacewinggw"
CALLS = {
    "count": MetricKind.COUNTER,
    "counter": MetricKind.COUNTER,
    "gauge": MetricKind.GAUGE,
    "read_gauge": MetricKind.GAUGE,
    "latency": MetricKind.LATENCY,
}


def metrics_in_use() -> Iterator[tuple[str, MetricKind]]:
    """Yield the name and kind of each metric that the product's code names."""
    for path in SOURCES.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            match node:
                case ast.Call(func=ast.Attribute(attr=attr), args=[ast.Constant(str(name)), *_]):
                    if attr in CALLS and name.isidentifier():
                        yield name, CALLS[attr]


def test_each_metric_in_use_is_listed_with_its_kind() -> None:
    listed = {(name, facts.kind) for name, facts in METRICS.items()}
    assert set(metrics_in_use()) == listed, "keep src/lacewinggw/metricnames.py in step"


def test_metric_has_its_meaning_as_help() -> None:
    text = Metrics().render()
    assert "# HELP lacewinggw_refusals_total Requests refused as not run, by reason.\n" in text


def test_only_refusals_are_counted_as_refusals() -> None:
    metrics = Metrics()
    metrics.count_refusal_error(NoTarget("none"))
    metrics.count_refusal_error(AgentLost("lost"))
    counters = metrics.snapshot().counters
    assert counters['refusals{reason="no-target"}'] == 1
    assert sum(counters.values()) == 1


def test_each_reason_is_exported_from_the_start() -> None:
    text = Metrics().render()
    for refusal in Refusal:
        assert f'lacewinggw_refusals_total{{reason="{refusal.value}"}} 0\n' in text
    for retry in RetryReason:
        assert f'lacewinggw_retries_total{{reason="{retry.value}"}} 0\n' in text


def test_reasons_are_counted_separately() -> None:
    metrics = Metrics()
    metrics.refuse(Refusal.DRAINING)
    metrics.refuse(Refusal.DRAINING)
    metrics.retry(RetryReason.PEER_LOST)
    counters = metrics.snapshot().counters
    assert counters['refusals{reason="draining"}'] == 2
    assert counters['retries{reason="peer-lost"}'] == 1
    assert sum(counters.values()) == 3


def test_stored_counter_is_shared_with_count_by_name() -> None:
    metrics = Metrics()
    kept = metrics.counter("requests", outcome="answered")
    kept.add()
    metrics.count("requests", 2, outcome="answered")
    assert kept.value == 3


def test_gauges_are_set_or_read() -> None:
    metrics = Metrics()
    metrics.gauge("running").set(3)
    metrics.read_gauge("queued", lambda: 7, service="sheet-desk")
    text = metrics.render()
    assert "# TYPE lacewinggw_running gauge\nlacewinggw_running 3\n" in text
    assert 'lacewinggw_queued{service="sheet-desk"} 7\n' in text


def test_latency_is_a_summary_in_seconds() -> None:
    metrics = Metrics()
    latency = metrics.latency("request")
    for millisecond in range(1, 101):
        latency.record(millisecond / 1000)
    found = metrics.snapshot().latencies["request"]
    assert found.count == 100
    assert found.p50_s == pytest.approx(0.050, rel=0.01)
    assert found.p95_s == pytest.approx(0.095, rel=0.01)
    assert found.max_s == pytest.approx(0.100, rel=0.01)
    text = metrics.render()
    assert "# TYPE lacewinggw_request_seconds summary\n" in text
    assert 'lacewinggw_request_seconds{quantile="0.95"} 0.09' in text
    assert "lacewinggw_request_seconds_sum 5.050000\n" in text
    assert "lacewinggw_request_seconds_count 100\n" in text


@pytest.mark.parametrize("seconds", [-1.0, 0.0, 1e9])
def test_latency_out_of_range_is_recorded(seconds: float) -> None:
    latency = Metrics().latency("request")
    latency.record(seconds)
    assert latency.count == 1


def test_empty_latency_renders() -> None:
    metrics = Metrics()
    metrics.latency("request")
    assert "lacewinggw_request_seconds_count 0\n" in metrics.render()


def test_label_values_are_escaped() -> None:
    metrics = Metrics()
    metrics.count("odd", account='a"b\\c\nd')
    assert 'lacewinggw_odd_total{account="a\\"b\\\\c\\nd"} 1\n' in metrics.render()


def test_series_of_one_name_are_bounded() -> None:
    metrics = Metrics()
    for number in range(SERIES_LIMIT + 50):
        metrics.count("requests", account=f"account-{number}")
    counters = metrics.snapshot().counters
    series = [value for name, value in counters.items() if name.startswith("requests")]
    assert len(series) == SERIES_LIMIT + 1
    assert counters['requests{account="other"}'] == 50
