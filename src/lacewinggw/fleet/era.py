"""Track the era of the store, which increases each time the store is restored from a copy.

A store that was restored from an older copy has lost changes that it had acknowledged. When any
answer of the store or any other process shows a new era, all followed topics are read completely
again: a call that waits at a restored store may not return the changes that were missed.
"""

from collections.abc import Callable

from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics

log = get_logger(__name__)


class StoreEra:
    """The newest era that has been observed.

    era.subscribe(on_change)
    if not era.note(update.position.era): ...  # ignore the answer: it is of an older era
    """

    def __init__(self, metrics: Metrics) -> None:
        self._current: int | None = None
        self._listeners: list[Callable[[], None]] = []
        self._changes = metrics.counter("store_eras")

    @property
    def current(self) -> int:
        """The newest era; 0 until one is known."""
        return self._current or 0

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Call a function each time that a new era begins."""
        self._listeners.append(on_change)

    def note(self, era: int) -> bool:
        """Record the era of an answer; return whether it is the newest one."""
        before, self._current = self._current, max(era, self.current)
        if before is not None and self.current > before:
            log.warning("store_restored", era=self.current, before=before)
            self._changes.add()
            for on_change in self._listeners:
                on_change()
        return era == self.current
