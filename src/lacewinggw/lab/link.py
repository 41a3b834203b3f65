"""A rate-limited link, shared evenly by all who send over it."""

import asyncio
from collections.abc import AsyncIterator

from lacewinggw.lab.standin import now

BURST_S = 0.02
SLICE_S = 0.01
SMALLEST_SLICE_BYTES = 1 << 10
LARGEST_SLICE_BYTES = 1 << 16


class Link:
    """Pace bytes to a rate in bytes per second; 0 leaves them unpaced.

    Senders take slices in turn, in the order in which they ask, so that each of several gets an
    equal share. Sleeps that end late are made up for, by at most `BURST_S` seconds.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.sent_bytes = 0
        self._free_at = 0.0

    @property
    def slice_bytes(self) -> int:
        """How much is sent at a time: about a hundredth of a second's worth."""
        fitting = int(self.bytes_per_s * SLICE_S) if self.bytes_per_s else LARGEST_SLICE_BYTES
        return max(SMALLEST_SLICE_BYTES, min(LARGEST_SLICE_BYTES, fitting))

    async def take(self, count: int) -> None:
        """Wait for this many bytes' turn on the link."""
        if self.bytes_per_s:
            moment = now()
            start = max(self._free_at, moment - BURST_S)
            self._free_at = start + count / self.bytes_per_s
            if self._free_at > moment:
                await asyncio.sleep(self._free_at - moment)
        self.sent_bytes += count

    async def slices(self, data: bytes) -> AsyncIterator[bytes]:
        """Yield the data a slice at a time, each when its turn has come."""
        step = self.slice_bytes
        for start in range(0, len(data), step):
            piece = data[start : start + step]
            await self.take(len(piece))
            yield piece
