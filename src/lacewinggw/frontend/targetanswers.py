"""Apply what targets report about themselves in the heads of their answers."""

import asyncio
from collections.abc import Callable

from lacewinggw.decisions.dispatch import TargetPool
from lacewinggw.decisions.targetload import TargetLoad
from lacewinggw.frontend.calls import AnswerFacts
from lacewinggw.frontend.coldtargets import ColdTargets
from lacewinggw.frontend.leavingtargets import LeavingSource, LeavingTargets
from lacewinggw.frontend.targetrates import TargetRates
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics

log = get_logger(__name__)


class TargetAnswers:
    """Processes the head of each answer; `on_backoff` is called when a target asks for a backoff.

    asked_at = answers.read_clock()
    ...
    answers.apply_facts(load, facts, asked_at)
    """

    def __init__(
        self,
        pool: TargetPool,
        rates: TargetRates,
        leaving_targets: LeavingTargets,
        cold: ColdTargets,
        on_backoff: Callable[[], None],
        metrics: Metrics,
    ) -> None:
        self._pool = pool
        self._rates = rates
        self._leaving_targets = leaving_targets
        self._cold = cold
        self._on_backoff = on_backoff
        self._backoffs = metrics.counter("target_backoffs")

    def read_clock(self) -> float:
        """Return the time in seconds by the clock used for observations."""
        return self._rates.read_clock()

    def apply_facts(self, load: TargetLoad, facts: AnswerFacts, asked_at: float) -> None:
        """Apply the facts in a target's answer to a request that was sent at `asked_at`."""
        self._rates.note_answer(load, facts, asked_at)
        self._cold.note_answer(load, facts.cold_s, asked_at)
        if facts.leaving:
            self._leaving_targets.mark_leaving(load.entry.target, LeavingSource.ANSWER)
        if facts.retry_after_s is not None:
            self._note_backoff(load, facts.retry_after_s)

    def _note_backoff(self, load: TargetLoad, retry_after_s: float) -> None:
        self._pool.note_backoff(load, retry_after_s, asyncio.get_running_loop().time())
        self._on_backoff()
        self._backoffs.add()
        log.info(
            "target_backoff_asked",
            target=load.entry.target,
            retry_after_s=retry_after_s,
            begun=load.begun,
            in_flight=load.in_flight,
        )
