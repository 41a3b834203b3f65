"""The agent's knowledge of whether its own target is cold, and the limit on its slots meanwhile."""

import asyncio
from dataclasses import dataclass

from lacewinggw.clock import Clock
from lacewinggw.decisions.coldstart import (
    ColdLimit,
    ColdLimiter,
    ColdReport,
    ColdSource,
    ColdTolerance,
    StartDetector,
    divide_limit,
)
from lacewinggw.log import get_logger

MS_PER_S = 1000

log = get_logger(__name__)


@dataclass(frozen=True)
class ListedColdTime:
    """Until when the own target is cold, as entries or the store report; times by the clock.

    `born_ms` is the birth of the start that the report is about, 0 if unknown.
    """

    born_ms: int
    ends_at: float
    seen_at: float
    source: ColdSource


@dataclass(frozen=True)
class ColdService:
    """How a service limits requests to its cold targets; 0 requests a second for no limit."""

    per_s: float = 0.0
    start_s: float = 0.0


class OwnColdTarget:
    """Decides until when the own target is cold; `limiter` paces the slots accordingly.

    cold = OwnColdTarget(is_first_start=False, clock=clock)
    cold.note_report(born_ms)  # None if the target does not answer
    cold.update(service, tolerance, listed)
    """

    def __init__(self, is_first_start: bool, clock: Clock) -> None:
        self.limiter = ColdLimiter()
        self._starts = StartDetector(is_first_start)
        self._clock = clock
        self._born_ms = 0
        self._started_at: float | None = None  # by the clock; None once the start was taken

    @property
    def remaining_s(self) -> float:
        """For how long the target stays cold; 0 without a limit."""
        if not self.limiter.has_limit:
            return 0.0
        return self.limiter.period.remaining_s(_now())

    def note_report(self, born_ms: int | None) -> None:
        """Note a report of the target, or None if it does not answer."""
        if born_ms is None:
            self._starts.note_lost()
            return
        self._born_ms = born_ms
        if self._starts.note_report(born_ms):
            self.limiter.begin_start()
            self._started_at = self._clock()

    def note_evacuation_end(self) -> None:
        """Take the target for cold, as it may have become so while it had no requests.

        A later report of its row that it is not cold ends the period.
        """
        self._started_at = self._clock()

    def update(
        self, service: ColdService | None, tolerance: ColdTolerance, listed: ListedColdTime | None
    ) -> None:
        """Apply what is known of the service, and the last report of entries or the store."""
        if service is None:
            return
        self.limiter.set_limit(_limit_of(service, tolerance))
        if self._started_at is not None:
            ends_at = self._started_at + service.start_s
            self._note(ends_at, self._started_at, ColdSource.START)
            self._started_at = None
        if listed is not None and self._is_current(listed.born_ms):
            self._note(listed.ends_at, listed.seen_at, listed.source)

    def _is_current(self, born_ms: int) -> bool:
        """Return whether a report is about the present start, as far as births are known."""
        return not (born_ms and self._born_ms) or born_ms == self._born_ms

    def _note(self, ends_at: float, seen_at: float, source: ColdSource) -> None:
        report = ColdReport(max(0.0, ends_at - self._clock()), seen_at, source)
        if self.limiter.note_report(report, _now()) and self.limiter.has_limit:
            log.info(
                "target_cold" if report.remaining_s else "target_warm",
                born_ms=self._born_ms,
                remaining_ms=round(report.remaining_s * MS_PER_S),
                source=report.source.value,
            )


def _limit_of(service: ColdService, tolerance: ColdTolerance) -> ColdLimit | None:
    if not service.per_s:
        return None
    return divide_limit(service.per_s, tolerance, has_agents=True)


def _now() -> float:
    return asyncio.get_running_loop().time()
