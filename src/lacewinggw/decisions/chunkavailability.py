"""Which chunks of a release are held here, which are shown by neighbours, and which by nobody."""

import random


class ChunkSet:
    """A set of chunk indexes from which some can be drawn at random in constant time."""

    def __init__(self) -> None:
        self._items: list[int] = []
        self._at: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._items)

    def add(self, index: int) -> None:
        """Add an index, unless it is there."""
        if index not in self._at:
            self._at[index] = len(self._items)
            self._items.append(index)

    def discard(self, index: int) -> None:
        """Take an index out, if it is there."""
        at = self._at.pop(index, None)
        if at is None:
            return
        last = self._items.pop()
        if last != index:
            self._items[at] = last
            self._at[last] = at

    def clear(self) -> None:
        """Take everything out."""
        self._items.clear()
        self._at.clear()

    def sample(self, rng: random.Random, count: int) -> list[int]:
        """Return all indexes, or `count` of them at random when there are more."""
        if len(self._items) <= count:
            return list(self._items)
        return rng.sample(self._items, count)


class ChunkAvailability:
    """Chunks by what is known of them, kept up to date one by one.

    `local` and `remote` count the neighbours, in this place and in others, that show each chunk. A
    missing chunk is `absent` from its column while nobody shows it, and `elsewhere` while only
    other places do.
    """

    def __init__(self, count: int) -> None:
        self.held: set[int] = set()
        self.missing = set(range(count))
        self.local_holders = [0] * count
        self.remote_holders = [0] * count
        self.unavailable: list[set[int]] = [set(self.missing)]
        self.remote_only: list[set[int]] = [set()]

    def set_columns(self, columns: int) -> None:
        """Sort the chunks into columns: chunk `i` is in column `i` modulo their number."""
        self.unavailable = [set() for _ in range(max(columns, 1))]
        self.remote_only = [set() for _ in range(max(columns, 1))]
        for index in self.missing:
            self._sort(index)

    def column_of(self, index: int) -> int:
        """Return a chunk's column."""
        return index % len(self.unavailable)

    def is_available(self, index: int) -> bool:
        """Return whether any neighbour shows a chunk."""
        return self.local_holders[index] + self.remote_holders[index] > 0

    def add_holder(self, index: int, local: bool) -> None:
        """Count one more neighbour that shows a chunk."""
        (self.local_holders if local else self.remote_holders)[index] += 1
        self._sort(index)

    def remove_holder(self, index: int, local: bool) -> None:
        """Count one neighbour less that shows a chunk."""
        (self.local_holders if local else self.remote_holders)[index] -= 1
        self._sort(index)

    def mark_held(self, index: int) -> None:
        """Note that a chunk is held here."""
        self.held.add(index)
        self.missing.discard(index)
        self._sort(index)

    def _sort(self, index: int) -> None:
        column = self.column_of(index)
        self.unavailable[column].discard(index)
        self.remote_only[column].discard(index)
        if index not in self.missing or self.local_holders[index]:
            return
        (self.remote_only if self.remote_holders[index] else self.unavailable)[column].add(index)
