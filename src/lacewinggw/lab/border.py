"""A narrow link between two groups of hosts, shared evenly by the connections over it.

A connection's bytes wait in a queue of their own, and the link takes a slice of each queue in turn,
as a network does that has many connections with small windows over one link. What a connection has
not sent yet is dropped with it.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Hashable

SLICE_BYTES = 8192

Arrive = Callable[[], None]


class Border:
    """One direction of a link with a rate in bytes per second.

    border = Border(1_800_000)
    for data in slices:
        border.send(connection, len(data), lambda data=data: receive(data))
    """

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.sent_bytes = 0
        self._queues: dict[Hashable, deque[tuple[int, Arrive]]] = {}
        self._turns: deque[Hashable] = deque()
        self._is_sending = False

    def send(self, connection: Hashable, size: int, arrive: Arrive) -> None:
        """Queue a slice of a connection; `arrive` is called once it is through."""
        queue = self._queues.get(connection)
        if queue is None:
            queue = self._queues[connection] = deque()
            self._turns.append(connection)
        queue.append((size, arrive))
        self._send_next()

    def drop(self, connection: Hashable) -> int:
        """Forget what a connection has not sent yet; return how many slices that were."""
        return len(self._queues.pop(connection, ()))

    def _send_next(self) -> None:
        if self._is_sending:
            return
        while self._turns:
            connection = self._turns.popleft()
            queue = self._queues.get(connection)
            if queue:
                size, arrive = queue.popleft()
                self._turns.append(connection)
                self._is_sending = True
                took_s = size / self.bytes_per_s
                asyncio.get_running_loop().call_later(took_s, self._end_slice, size, arrive)
                return
            self._queues.pop(connection, None)

    def _end_slice(self, size: int, arrive: Arrive) -> None:
        self._is_sending = False
        self.sent_bytes += size
        arrive()
        self._send_next()
