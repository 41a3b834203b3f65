"""Decide which host imports a column: rank 0, or the next rank while there is no progress."""

from dataclasses import dataclass, field


@dataclass
class ColumnFailover:
    """The time of the last progress of each column, in seconds of the loop's clock.

    failover = ColumnFailover()
    failover.begin(columns=8, now=now)
    failover.may_act(column=3, rank=1, patience_s=0.5, now=now)  # after 0.5 s without progress
    """

    _progress_at: list[float] = field(default_factory=list)

    def begin(self, columns: int, now: float) -> None:
        """Start the timers of all columns."""
        self._progress_at = [now] * columns

    def record_progress(self, column: int, now: float) -> None:
        """Record that a chunk of a column has newly become available."""
        if self._progress_at:
            self._progress_at[column] = now

    def may_act(self, column: int, rank: int | None, patience_s: float, now: float) -> bool:
        """Return whether the host of a rank is to import the column.

        Rank 0 acts at once, rank `n` after `n` times `patience_s` without progress.
        """
        if rank is None:
            return False
        return rank == 0 or now - self._progress_at[column] >= rank * patience_s
