"""Whose turn it is to bring in a column: the first in rank, then the next while it stands still."""

from dataclasses import dataclass, field


@dataclass
class ColumnFailover:
    """When each column last moved; times in seconds of the loop's clock.

    turns = ColumnTurns()
    turns.begin(columns=8, now=now)
    turns.has_turn(column=3, rank=1, patience_s=0.5, now=now)  # only once it stands still
    """

    _moved_at: list[float] = field(default_factory=list)

    def begin(self, columns: int, now: float) -> None:
        """Begin with columns of which nothing has come."""
        self._moved_at = [now] * columns

    def record_progress(self, column: int, now: float) -> None:
        """Note that a chunk of a column came to where it was missing."""
        if self._moved_at:
            self._moved_at[column] = now

    def may_act(self, column: int, rank: int | None, patience_s: float, now: float) -> bool:
        """Return whether the host of a rank is to act: each waits once more for the one before."""
        if rank is None:
            return False
        return rank == 0 or now - self._moved_at[column] >= rank * patience_s
