"""Records of targets that crashed: which contents were on each, and which were served since.

The records of all entries are the same up to what is still being reported. Their number is bounded.
"""

import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from statistics import median_high, median_low

from lacewinggw.decisions.contents import is_part
from lacewinggw.ids import ContentId, TargetId

RETENTION_S = 3600.0  # how long a crash is kept
MAX_REQUESTS = 4096  # kept at once: 250 targets may crash together, with 16 requests each
MAX_CONTENTS = 4 * MAX_REQUESTS  # of the requests that are kept


@dataclass(frozen=True)
class Crash:
    """A request, sent to a target at `began_at`, that was running there when it crashed at `at`.

    `parts` are the parts of its prompt that the crash may be due to. A crash that is read from the
    store may have a part in place of the request, as the requests with it are not stored.
    """

    request: ContentId
    target: TargetId
    began_at: float
    at: float
    parts: tuple[ContentId, ...] = ()

    @property
    def contents(self) -> tuple[ContentId, ...]:
        """All that the crash may be due to."""
        return (self.request, *self.parts)


@dataclass
class ContentCrash:
    """A content on a crashed target: when each request with it was sent there."""

    target: TargetId
    at: float
    received_at: float
    requests: dict[ContentId, float]

    @property
    def began_at(self) -> float:
        """When the last request with the content was sent to the target."""
        return max(self.requests.values())

    @property
    def ran_s(self) -> float:
        """How long a request with the content had been on the target: the upper median."""
        return self.at - median_low(self.requests.values())


@dataclass
class CrashRecords:
    """The crashes that each content may be due to; times in seconds by one clock.

    records.note_crash(crash, now)
    records.note_served(content, at)  # drops its crashes up to then
    """

    _crashes: dict[ContentId, dict[TargetId, ContentCrash]] = field(default_factory=dict)
    _reports: dict[tuple[ContentId, TargetId], Crash] = field(default_factory=dict)
    _served: dict[ContentId, float] = field(default_factory=dict)
    _content_count: int = 0  # of all reports

    @property
    def is_empty(self) -> bool:
        """Whether no content has a crash."""
        return not self._crashes

    @property
    def contents(self) -> Iterable[ContentId]:
        """The contents that have crashes."""
        return self._crashes.keys()

    def crashes_of(self, content: ContentId) -> Mapping[TargetId, ContentCrash]:
        """Return the crashes of a content, by target."""
        return self._crashes.get(content, {})

    def run_before_crash_s(self, content: ContentId) -> float:
        """Return how long a content usually was on a target before that crashed; 0 without one."""
        known = self.crashes_of(content).values()
        return median_high([crash.ran_s for crash in known]) if known else 0.0

    def reports(self) -> Iterator[Crash]:
        """Yield every recorded crash of a request."""
        yield from self._reports.values()

    def served(self) -> Iterator[tuple[ContentId, float]]:
        """Yield each content that is known to have been served, and when."""
        yield from self._served.items()

    def was_served(self, content: ContentId) -> bool:
        """Return whether a content is known to have been served, before its crashes or since."""
        return content in self._served

    def note_crash(self, crash: Crash, now: float) -> bool:
        """Record a crash; return whether it is new and counts for a content."""
        key = (crash.request, crash.target)
        if key in self._reports or now - crash.at > RETENTION_S:
            return False
        if is_part(crash.request) and crash.target in self.crashes_of(crash.request):
            return False
        contents = [each for each in crash.contents if self._served.get(each, -math.inf) < crash.at]
        if not contents:
            return False
        self._reports[key] = crash
        self._content_count += len(crash.contents)
        for content in contents:
            known = self._crashes.setdefault(content, {})
            recorded = known.get(crash.target)
            if recorded is None:
                requests = {crash.request: crash.began_at}
                known[crash.target] = ContentCrash(crash.target, crash.at, now, requests)
            else:
                recorded.requests[crash.request] = crash.began_at
        self._prune(now)
        return True

    def note_served(self, content: ContentId, at: float) -> bool:
        """Record that a target served a content; return whether this adds to what is known.

        A content that crashes every target is never served, so its earlier crashes are dropped.
        That a part was served before them is kept as well.
        """
        known = self._crashes.get(content)
        if known is None:
            return False
        cleared = [target for target, crash in known.items() if crash.at <= at]
        is_first = is_part(content) and content not in self._served
        if not cleared and not is_first:
            return False
        self._served[content] = max(at, self._served.get(content, at))
        while len(self._served) > MAX_REQUESTS:
            del self._served[next(iter(self._served))]
        for target in cleared:
            self._drop(content, target)
        return True

    def forget(self, content: ContentId) -> None:
        """Drop the crashes of a content."""
        for target in list(self.crashes_of(content)):
            self._drop(content, target)

    def forget_target(self, target: TargetId) -> None:
        """Drop the crash of a target."""
        for content in [each for each, known in self._crashes.items() if target in known]:
            self._drop(content, target)

    def _drop(self, content: ContentId, target: TargetId) -> None:
        """Drop a crash of a content, and the reports on it that count for no other content."""
        known = self._crashes[content]
        dropped = known.pop(target)
        if not known:
            del self._crashes[content]
        for request in dropped.requests:
            report = self._reports.get((request, target))
            if report and not any(target in self.crashes_of(each) for each in report.contents):
                self._drop_report(report)

    def _drop_report(self, report: Crash) -> None:
        del self._reports[report.request, report.target]
        self._content_count -= len(report.contents)

    def _prune(self, now: float) -> None:
        """Drop reports past their retention time, and the oldest ones beyond the limits."""
        while self._reports:
            report = next(iter(self._reports.values()))
            fits = len(self._reports) <= MAX_REQUESTS and self._content_count <= MAX_CONTENTS
            if fits and now - report.at <= RETENTION_S:
                return
            self._drop_report(report)
            for content in report.contents:
                self._remove_request(content, report)

    def _remove_request(self, content: ContentId, report: Crash) -> None:
        known = self._crashes.get(content, {})
        recorded = known.get(report.target)
        if recorded is None:
            return
        recorded.requests.pop(report.request, None)
        if not recorded.requests:
            del known[report.target]
        if not known:
            del self._crashes[content]
