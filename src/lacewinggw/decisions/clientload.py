"""Choose which clients give way when they need more connections or memory than there is.

Load: crowds of clients that connect and send nothing, stop just short of the end of their requests,
or leave their answers unread, beside ordinary clients that do none of this. What makes no progress
gives way first, so that a crowd displaces itself. A request that is complete never gives way: it
may be running.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

# Of the connections: clients that send a request, or do not read an answer, take more only while
# there is room, so that they do not displace clients that keep a connection between two requests.
UNPRODUCTIVE_SHARE = 0.5
# A client that made no progress for so long gives way if others need the memory that it holds.
STALL_S = 1.0
PROGRESS_BYTES = 16 << 10  # received or sent within that time, it counts as progress
# Of a client: within it the whole memory may be used, beyond it `LARGE_SHARE` of the memory, so
# that ordinary requests are read beside large ones.
SMALL_BYTES = 128 << 10
LARGE_SHARE = 0.75
SMALL_BODY_BYTES = 32 << 10  # of a request; more is refused as early as possible


class ClientState(Enum):
    """What a connection is waiting for."""

    ARRIVING = "arriving"  # the end of a request, or the first request of a new connection
    KEPT = "kept"  # another request, after an answer
    SERVED = "served"  # an answer
    UNREAD = "unread"  # for the client to read part of an answer
    CLOSING = "closing"  # for the client to read what is left to send


@dataclass(eq=False)
class ClientUse:
    """What one connection uses; times are in seconds by one clock."""

    state: ClientState = ClientState.ARRIVING
    held_bytes: int = 0
    progressed_at: float = -math.inf
    _moved_bytes: int = 0  # received or sent since `progressed_at`

    def note_bytes(self, count: int, now: float) -> bool:
        """Record bytes received or sent; return whether they are enough to count as progress."""
        self._moved_bytes += count
        if self._moved_bytes < PROGRESS_BYTES:
            return False
        self.note_progress(now)
        return True

    def note_progress(self, now: float) -> None:
        """Record that the client did its part."""
        self.progressed_at, self._moved_bytes = now, 0

    def is_small_with(self, size: int) -> bool:
        """Return whether the connection uses little with so many bytes more."""
        return self.held_bytes + size <= SMALL_BYTES

    def stalled_s(self, now: float) -> float:
        """Return for how long the client has not done its part; 0 if it need not do anything."""
        if self.state is ClientState.SERVED:
            return 0.0
        return max(0.0, now - self.progressed_at)


class ConnectionLimit:
    """The connections of one listener, in each state in the order of their last progress."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._by_state: dict[ClientState, dict[ClientUse, None]] = {
            state: {} for state in ClientState
        }

    def __len__(self) -> int:
        return sum(map(len, self._by_state.values()))

    def add(self, use: ClientUse) -> None:
        """Add a connection, as the last of its state."""
        self._by_state[use.state][use] = None

    def remove(self, use: ClientUse) -> None:
        """Remove a connection, if it has not been removed."""
        self._by_state[use.state].pop(use, None)

    def move(self, use: ClientUse, state: ClientState) -> None:
        """Set the state of a connection that made progress; a removed one stays removed."""
        is_open = use in self._by_state[use.state]
        self.remove(use)
        use.state = state
        if is_open:
            self.add(use)

    @property
    def is_reached(self) -> bool:
        """Whether a new connection needs the place of another one."""
        return len(self) >= self.limit

    def choose(self, now: float) -> ClientUse | None:
        """Return the connection to close for a new one; None if none gives way."""
        share = UNPRODUCTIVE_SHARE * self.limit
        crowded = [
            state
            for state in (ClientState.ARRIVING, ClientState.UNREAD)
            if len(self._by_state[state]) > share
        ]
        order = (ClientState.KEPT, ClientState.ARRIVING, ClientState.UNREAD)
        for state in (ClientState.CLOSING, *crowded, *order):
            oldest = next(iter(self._by_state[state]), None)
            if oldest is not None and _may_close(oldest, now):
                return oldest
        return None


def _may_close(use: ClientUse, now: float) -> bool:
    """Return whether a connection may be closed: not in an answer that its client reads."""
    return use.state is not ClientState.UNREAD or use.stalled_s(now) >= STALL_S


class MemoryLimit:
    """The memory that all clients of a process may use together, in bytes."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    def take(self, use: ClientUse, size: int) -> bool:
        """Add to what a client uses, if it fits; the only large client may exceed the limit."""
        if not self._fits(use, size):
            return False
        self.add(use, size)
        return True

    def add(self, use: ClientUse, size: int) -> None:
        """Add to what a client uses, whether it fits or not."""
        use.held_bytes += size
        self.used_bytes += size

    def release(self, use: ClientUse, size: int | None = None) -> None:
        """Give back what a client used, by default all of it."""
        released = use.held_bytes if size is None else min(size, use.held_bytes)
        use.held_bytes -= released
        self.used_bytes -= released

    @property
    def is_exceeded(self) -> bool:
        """Whether clients use more than the limit."""
        return self.used_bytes > self.limit_bytes

    @property
    def small_limit_bytes(self) -> float:
        """What clients that use little may use together, whatever the others do."""
        return (1.0 - LARGE_SHARE) * self.limit_bytes

    def _fits(self, use: ClientUse, size: int) -> bool:
        total = self.used_bytes + size
        if use.is_small_with(size):
            return total <= self.limit_bytes
        others = self.used_bytes - use.held_bytes
        is_only = others <= self.small_limit_bytes
        return total <= LARGE_SHARE * self.limit_bytes or is_only


def choose_for_memory(
    uses: Collection[ClientUse], now: float, small_limit_bytes: float = 0.0
) -> ClientUse | None:
    """Return the client that gives way if others need memory; None if all of them make progress.

    It is the one whose memory has been of no use for longest, by bytes and time. Clients that use
    little do not give way while they use no more than `small_limit_bytes` together: closing them
    would not make room for a large request.
    """
    stalled = [use for use in uses if use.held_bytes and use.stalled_s(now) >= STALL_S]
    large = [use for use in stalled if not use.is_small_with(0)]
    small_bytes = sum(use.held_bytes for use in uses if use.is_small_with(0))
    candidates = stalled if small_bytes > small_limit_bytes else large
    return max(candidates, key=lambda use: use.held_bytes * use.stalled_s(now), default=None)


def next_room(received_bytes: int, limit_bytes: int) -> int:
    """Return how much of a body of unknown length to make room for.

    Large bodies get room for the longest one at once: with less, several of them could wait for
    each other.
    """
    if received_bytes <= SMALL_BODY_BYTES:
        return min(limit_bytes, SMALL_BODY_BYTES)
    return limit_bytes
