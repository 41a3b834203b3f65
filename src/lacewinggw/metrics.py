"""Metrics: counters, gauges and latencies of one process, in Prometheus text format.

Refusals and retries are counted by reason. Each reason is exported from the start with the value 0,
so that an operator sees which reasons exist. Latencies are recorded in HDR histograms.

    metrics = Metrics()
    metrics.refuse(Refusal.NO_TARGET)
    served = metrics.counter("requests", outcome="answered")  # once
    served.add()                                              # on the hot path
    metrics.latency("request").record(0.012)
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

from hdrh.histogram import HdrHistogram

from lacewinggw.errors import LacewingError, Refusal, RequestRefused
from lacewinggw.metricnames import MetricKind, help_of

PREFIX = "lacewinggw_"
MICROSECONDS = 1_000_000
LOWEST_US = 1
HIGHEST_US = 3600 * MICROSECONDS
SIGNIFICANT_FIGURES = 2
QUANTILES = (0.5, 0.95, 0.99, 1.0)
SERIES_LIMIT = 512  # for each metric name; further series are counted together as "other"
OTHER = "other"

LabelValue = str | Enum
Labels = tuple[tuple[str, str], ...]


class RetryReason(Enum):
    """Why an operation was retried."""

    TARGET_REFUSED = "target-refused"  # the target reported that it did not run the request
    TARGET_OVERLOADED = "target-overloaded"  # the agent's queue was full
    TARGET_DRAINING = "target-draining"  # the target is shutting down
    TARGET_UNREACHABLE = "target-unreachable"  # no connection to the agent could be established
    TARGET_SILENT = "target-silent"  # a second attempt beside one whose target sends nothing
    TARGET_FAILED = "target-failed"  # the target failed; only for requests that may be repeated
    WITHDRAWN = "withdrawn"  # withdrawn before it started, and sent to another target
    RESERVATION_LAPSED = "reservation-lapsed"  # the reservation was not used in time
    RELEASE_MOVED = "release-moved"  # the target now serves other weights
    STREAM_RESUMED = "stream-resumed"  # a cut stream continues at a target of the same weights
    STREAM_RESTARTED = "stream-restarted"  # a cut stream starts again, as no output had been sent
    PEER_LOST = "peer-lost"  # the connection to the agent was lost; only for repeatable requests
    PLATFORM_UNAVAILABLE = "platform-unavailable"  # a platform service does not respond
    PLATFORM_THROTTLED = "platform-throttled"  # a platform service requests a lower rate
    WRITE_UNKNOWN = "write-unknown"  # a write got no reply; the row is read back
    COMPARE_AND_SET = "compare-and-set"  # another writer changed the row; it is read again
    CHUNK_CORRUPT = "chunk-corrupt"  # a chunk did not match its hash; another source is tried
    CHUNK_STALLED = "chunk-stalled"  # a chunk made no progress; another source is tried
    SOURCE_LOST = "source-lost"  # a neighbour left or refused a chunk; another source is tried
    SOURCE_BUSY = "source-busy"  # a source had no free upload slot
    ORIGIN_FAILED = "origin-failed"  # the origin or the weight store did not supply a chunk
    ORDER_FAILED = "order-failed"  # an order to the target, or reading its state, failed
    READ_BACK = "read-back"  # the target reported a state that differs from the ordered one


class Counter:
    """A monotonically increasing number."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value: int = 0

    def add(self, amount: int = 1) -> None:
        """Increase the counter by `amount`."""
        self.value += amount


class Gauge:
    """A number that can rise and fall, either set or read from a function when rendered."""

    __slots__ = ("read", "value")

    def __init__(self) -> None:
        self.value: float = 0
        self.read: Callable[[], float] | None = None

    def set(self, value: float) -> None:
        """Set the gauge."""
        self.value = value

    def current(self) -> float:
        """Return the current value."""
        return self.value if self.read is None else self.read()


class Latency:
    """A distribution of durations from 1 us to 1 h, with two significant figures."""

    __slots__ = ("_histogram", "_total_us")

    def __init__(self) -> None:
        self._histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_FIGURES)
        self._total_us = 0

    @property
    def count(self) -> int:
        """Number of recorded durations."""
        return int(self._histogram.get_total_count())

    @property
    def total_s(self) -> float:
        """Sum of the durations, in seconds."""
        return self._total_us / MICROSECONDS

    def record(self, seconds: float) -> None:
        """Record one duration in seconds, clamped to the range of the histogram."""
        microseconds = min(max(int(seconds * MICROSECONDS), LOWEST_US), HIGHEST_US)
        self._histogram.record_value(microseconds)
        self._total_us += microseconds

    def quantile(self, share: float) -> float:
        """Return the `share` quantile (0 to 1) of the durations, in seconds."""
        return float(self._histogram.get_value_at_percentile(share * 100)) / MICROSECONDS


Series = TypeVar("Series", Counter, Gauge, Latency)


class _Family(Generic[Series]):
    """All series of one metric name by their labels, up to `SERIES_LIMIT`."""

    def __init__(self, make: Callable[[], Series]) -> None:
        self._make: Callable[[], Series] = make
        self.series: dict[Labels, Series] = {}

    def get(self, labels: Labels) -> Series:
        found = self.series.get(labels)
        if found is None:
            if len(self.series) >= SERIES_LIMIT:
                labels = tuple((name, OTHER) for name, _ in labels)
            found = self.series.setdefault(labels, self._make())
        return found


@dataclass(frozen=True)
class Quantiles:
    """Quantiles of one latency in a snapshot, in seconds."""

    count: int
    p50_s: float
    p95_s: float
    p99_s: float
    max_s: float


@dataclass(frozen=True)
class MetricsSnapshot:
    """All metrics at one point in time; series are named as in Prometheus text."""

    counters: dict[str, int]
    gauges: dict[str, float]
    latencies: dict[str, Quantiles]


class Metrics:
    """The metrics of one process."""

    def __init__(self) -> None:
        self._counters: dict[str, _Family[Counter]] = {}
        self._gauges: dict[str, _Family[Gauge]] = {}
        self._latencies: dict[str, _Family[Latency]] = {}
        self._refusals = {each: self.counter("refusals", reason=each) for each in Refusal}
        self._retries = {each: self.counter("retries", reason=each) for each in RetryReason}

    def counter(self, name: str, **labels: LabelValue) -> Counter:
        """Return the counter with the name and labels; create it with 0 if missing."""
        return self._counters.setdefault(name, _Family(Counter)).get(_label_key(labels))

    def gauge(self, name: str, **labels: LabelValue) -> Gauge:
        """Return the gauge with the name and labels; create it with 0 if missing."""
        return self._gauges.setdefault(name, _Family(Gauge)).get(_label_key(labels))

    def latency(self, name: str, **labels: LabelValue) -> Latency:
        """Return the latency with the name and labels; create an empty one if missing."""
        return self._latencies.setdefault(name, _Family(Latency)).get(_label_key(labels))

    def count(self, name: str, amount: int = 1, **labels: LabelValue) -> None:
        """Increase a counter; on a hot path, store the result of `counter` instead."""
        self.counter(name, **labels).add(amount)

    def refuse(self, refusal: Refusal) -> None:
        """Count a request that was refused without being run."""
        self._refusals[refusal].add()

    def count_refusal_error(self, error: LacewingError) -> None:
        """Count an error that is sent to the peer, if it is a refusal."""
        if isinstance(error, RequestRefused) and error.refusal is not None:
            self.refuse(error.refusal)

    def retry(self, reason: RetryReason) -> None:
        """Count a retry."""
        self._retries[reason].add()

    def read_gauge(self, name: str, read: Callable[[], float], **labels: LabelValue) -> None:
        """Register a function that supplies the value of a gauge when it is rendered."""
        self.gauge(name, **labels).read = read

    def render(self) -> str:
        """Return all metrics in Prometheus text format."""
        return "".join(f"{line}\n" for line in self._lines())

    def snapshot(self) -> MetricsSnapshot:
        """Return all metrics as typed values."""
        return MetricsSnapshot(
            counters={name: counter.value for name, counter in _named(self._counters)},
            gauges={name: gauge.current() for name, gauge in _named(self._gauges)},
            latencies={name: _quantiles(latency) for name, latency in _named(self._latencies)},
        )

    def _lines(self) -> Iterator[str]:
        for name, counters in sorted(self._counters.items()):
            yield from _head_lines(name, f"{name}_total", MetricKind.COUNTER)
            for labels, counter in counters.series.items():
                yield f"{PREFIX}{_series_name(f'{name}_total', labels)} {counter.value}"
        for name, gauges in sorted(self._gauges.items()):
            yield from _head_lines(name, name, MetricKind.GAUGE)
            for labels, gauge in gauges.series.items():
                yield f"{PREFIX}{_series_name(name, labels)} {gauge.current():g}"
        for name, latencies in sorted(self._latencies.items()):
            yield from _head_lines(name, f"{name}_seconds", MetricKind.LATENCY)
            for labels, latency in latencies.series.items():
                yield from _latency_lines(f"{name}_seconds", labels, latency)


def _head_lines(name: str, rendered: str, kind: MetricKind) -> Iterator[str]:
    meaning = help_of(name)
    if meaning:
        yield f"# HELP {PREFIX}{rendered} {meaning}"
    yield f"# TYPE {PREFIX}{rendered} {kind.value}"


def _latency_lines(name: str, labels: Labels, latency: Latency) -> Iterator[str]:
    for share in QUANTILES:
        series = _series_name(name, (*labels, ("quantile", f"{share:g}")))
        yield f"{PREFIX}{series} {latency.quantile(share):.6f}"
    yield f"{PREFIX}{_series_name(f'{name}_sum', labels)} {latency.total_s:.6f}"
    yield f"{PREFIX}{_series_name(f'{name}_count', labels)} {latency.count}"


def _named(families: dict[str, _Family[Series]]) -> Iterator[tuple[str, Series]]:
    for name, family in families.items():
        for labels, series in family.series.items():
            yield _series_name(name, labels), series


def _quantiles(latency: Latency) -> Quantiles:
    p50, p95, p99, highest = (latency.quantile(share) for share in QUANTILES)
    return Quantiles(latency.count, p50, p95, p99, highest)


def _label_key(labels: dict[str, LabelValue]) -> Labels:
    return tuple(
        (name, str(value.value) if isinstance(value, Enum) else value)
        for name, value in sorted(labels.items())
    )


def _series_name(name: str, labels: Labels) -> str:
    if not labels:
        return name
    pairs = ",".join(f'{label}="{_escape(value)}"' for label, value in labels)
    return f"{name}{{{pairs}}}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
