"""Log lines on the versions that an agent fetches: one per second each, and one per new plan."""

from collections.abc import Sequence

from lacewinggw.agent.weights import Spreader
from lacewinggw.ids import ModelName
from lacewinggw.loader.releases import release_of
from lacewinggw.log import get_logger

PROGRESS_INTERVAL_S = 1.0
UNHELD_LISTED = 5  # chunks, which bounds the length of a line

log = get_logger(__name__)


class ProgressLog:
    """Logs the plan when it changes, and the progress of incomplete versions.

    progress = ProgressLog(spreader)
    progress.note(model, current, fetch, now)
    """

    def __init__(self, spreader: Spreader) -> None:
        self._spreader = spreader
        self._fetch: tuple[int, ...] = ()
        self._logged_at = float("-inf")

    def note(self, model: ModelName, current: int | None, fetch: Sequence[int], now: float) -> None:
        """Log what the plan fetches if that is due."""
        if tuple(fetch) != self._fetch:
            self._log_plan(model, current, tuple(fetch))
        if now - self._logged_at < PROGRESS_INTERVAL_S:
            return
        incomplete = [each for each in fetch if not self._is_complete(model, each)]
        if not incomplete:
            return
        self._logged_at = now
        for version in incomplete:
            self._log_progress(model, version)

    def _is_complete(self, model: ModelName, version: int) -> bool:
        return self._spreader.held_fraction(release_of(model, version)) >= 1.0

    def _log_plan(self, model: ModelName, current: int | None, fetch: tuple[int, ...]) -> None:
        shares = {
            str(each): round(self._spreader.held_fraction(release_of(model, each)), 2)
            for each in sorted({*self._fetch, *fetch})
        }
        log.info(
            "weights_plan_changed",
            current=current,
            before=list(self._fetch),
            fetch=list(fetch),
            shares=shares,
        )
        self._fetch = fetch

    def _log_progress(self, model: ModelName, version: int) -> None:
        status = self._spreader.status(release_of(model, version))
        if status is None:
            log.info("weights_progress", version=version, manifest=self._spreader.manifest_error)
            return
        log.info(
            "weights_progress",
            version=version,
            share=round(status.held / max(status.chunk_count, 1), 2),
            missing=status.chunk_count - status.held,
            unheld=len(status.unheld),
            first_unheld=list(status.unheld[:UNHELD_LISTED]),
            from_origin=status.from_origin,
            from_place=status.from_place,
            from_other_places=status.from_other_places,
            origin_failures=status.origin_failures,
        )
