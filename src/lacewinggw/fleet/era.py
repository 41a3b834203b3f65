"""The era of the store, as any of its answers or another process has shown it.

A store that was restored from an older copy has lost changes that it had acknowledged. Whoever
learns of a new era from any call has all that it follows read whole again, for a call that waits at
such a store may hear nothing of what it has missed.
"""

from collections.abc import Callable

from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics

log = get_logger(__name__)


class StoreEra:
    """The newest era that was seen.

    era.subscribe(on_change)
    if not era.note(update.position.era): ...  # the answer is of an older era: it says nothing
    """

    def __init__(self, metrics: Metrics) -> None:
        self._current: int | None = None
        self._listeners: list[Callable[[], None]] = []
        self._changes = metrics.counter("store_eras")

    @property
    def current(self) -> int:
        """The era; 0 until it is known."""
        return self._current or 0

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Have a function called each time that a new era begins."""
        self._listeners.append(on_change)

    def note(self, era: int) -> bool:
        """Take the era of an answer; return whether it is the present one."""
        before, self._current = self._current, max(era, self.current)
        if before is not None and self.current > before:
            log.warning("store_restored", era=self.current, before=before)
            self._changes.add()
            for on_change in self._listeners:
                on_change()
        return era == self.current
