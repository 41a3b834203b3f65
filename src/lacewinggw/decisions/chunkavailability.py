"""Track which chunks of a release are held locally, by neighbours in each place, or by none."""

import random


class ChunkSet:
    """A set of chunk indexes from which a random sample is drawn in constant time."""

    def __init__(self) -> None:
        self._items: list[int] = []
        self._positions: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._items)

    def add(self, index: int) -> None:
        """Add an index; do nothing if it is present."""
        if index not in self._positions:
            self._positions[index] = len(self._items)
            self._items.append(index)

    def discard(self, index: int) -> None:
        """Remove an index; do nothing if it is absent."""
        position = self._positions.pop(index, None)
        if position is None:
            return
        last = self._items.pop()
        if last != index:
            self._items[position] = last
            self._positions[last] = position

    def clear(self) -> None:
        """Remove all indexes."""
        self._items.clear()
        self._positions.clear()

    def sample(self, rng: random.Random, count: int) -> list[int]:
        """Return all indexes, or `count` of them at random when there are more."""
        if len(self._items) <= count:
            return list(self._items)
        return rng.sample(self._items, count)


class ChunkAvailability:
    """The availability of each chunk of a release, updated incrementally.

    `local_holders` and `remote_holders` count the neighbours that hold each chunk, in this place
    and in other places. `unavailable` has, by column, the missing chunks that no neighbour holds;
    `remote_only` those that only neighbours in other places hold.
    """

    def __init__(self, count: int) -> None:
        self.held: set[int] = set()
        self.missing = set(range(count))
        self.local_holders = [0] * count
        self.remote_holders = [0] * count
        self.unavailable: list[set[int]] = [set(self.missing)]
        self.remote_only: list[set[int]] = [set()]

    def set_columns(self, columns: int) -> None:
        """Divide the chunks into columns: chunk `i` is in column `i % columns`."""
        self.unavailable = [set() for _ in range(max(columns, 1))]
        self.remote_only = [set() for _ in range(max(columns, 1))]
        for index in self.missing:
            self._classify(index)

    def column_of(self, index: int) -> int:
        """Return the column of a chunk."""
        return index % len(self.unavailable)

    def is_available(self, index: int) -> bool:
        """Return whether any neighbour holds a chunk."""
        return self.local_holders[index] + self.remote_holders[index] > 0

    def add_holder(self, index: int, local: bool) -> None:
        """Count one more neighbour as a holder of a chunk."""
        (self.local_holders if local else self.remote_holders)[index] += 1
        self._classify(index)

    def remove_holder(self, index: int, local: bool) -> None:
        """Count one neighbour less as a holder of a chunk."""
        (self.local_holders if local else self.remote_holders)[index] -= 1
        self._classify(index)

    def mark_held(self, index: int) -> None:
        """Record that a chunk is held locally."""
        self.held.add(index)
        self.missing.discard(index)
        self._classify(index)

    def _classify(self, index: int) -> None:
        column = self.column_of(index)
        self.unavailable[column].discard(index)
        self.remote_only[column].discard(index)
        if index not in self.missing or self.local_holders[index]:
            return
        (self.remote_only if self.remote_holders[index] else self.unavailable)[column].add(index)
