"""Limits that targets name in their answers, as this entry sees them."""

from lacewinggw.clock import Clock
from lacewinggw.decisions.dispatch import TargetPool
from lacewinggw.decisions.targetload import TargetLoad
from lacewinggw.frontend.calls import AnswerFacts
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics

log = get_logger(__name__)


class TargetRates:
    """Takes the limits of targets from their answers.

    asked_at = rates.read_clock()
    ...
    rates.note_answer(load, facts, asked_at)
    """

    def __init__(self, pool: TargetPool, clock: Clock, metrics: Metrics) -> None:
        self._pool = pool
        self._clock = clock
        self._changes = metrics.counter("target_limit_changes")
        metrics.read_gauge("targets_limited", self._count_limited)

    def read_clock(self) -> float:
        """Return the time by the clock that observations count on, in seconds."""
        return self._clock()

    def note_answer(self, load: TargetLoad, facts: AnswerFacts, asked_at: float) -> None:
        """Take what a target's answer to a request sent at `asked_at` says of its limit."""
        if facts.limit_per_s is None and not facts.sealed:
            return  # it need not come from the work that the target limits
        before = load.rate.per_s
        if load.rate.note_answer(facts.limit_per_s, asked_at, self._clock()):
            self._log_change(load, before)

    def _log_change(self, load: TargetLoad, before: float | None) -> None:
        self._changes.add()
        log.info(
            "target_limit_changed",
            target=load.entry.target,
            per_s=load.rate.per_s,
            before=before,
            begun=load.begun,
            in_flight=load.in_flight,
        )

    def _count_limited(self) -> int:
        return sum(load.rate.per_s is not None for load in self._pool.loads.values())
