"""Standard output as a place for log lines that never holds up the process.

Lines are written without waiting. What a slow reader leaves is kept up to a limit, and lines over a
rate are dropped, so that a burst of trouble costs a bounded amount of work; the next line that goes
out is preceded by one that counts what was dropped.
"""

import json
import os
import time
from collections.abc import Callable

MAX_BUFFER_BYTES = 1 << 18  # for a reader that pauses: about a second of lines at the highest rate
LINES_PER_S = 400.0  # 20 times the requests of an entry today; a line costs about 0.1 ms
BURST_LINES = 800.0

Write = Callable[[int, bytes], int]


class LogStream:
    """A text stream on a file descriptor that drops lines rather than wait.

    stream = LogStream.for_stdout()
    stream.write("a line\\n")
    stream.dropped
    """

    def __init__(
        self,
        descriptor: int,
        write: Write = os.write,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._write = write
        self._clock = clock
        self._kept = bytearray()
        self._tokens = BURST_LINES
        self._filled_at = clock()
        self._untold = 0

    @classmethod
    def for_stdout(cls) -> "LogStream":
        """Return the stream of this process's standard output."""
        os.set_blocking(1, False)
        return cls(1)

    def write(self, text: str) -> int:
        """Write a line, or drop it and count it."""
        if not self._take_token() or len(self._kept) > MAX_BUFFER_BYTES:
            self.dropped += 1
            self._untold += 1
            self._send()
            return len(text)
        if self._untold:
            told, self._untold = self._untold, 0
            line = json.dumps({"event": "log_lines_dropped", "count": told})
            self._kept += f"{line}\n".encode()
        self._kept += text.encode()
        self._send()
        return len(text)

    def flush(self) -> None:
        """Try once more to write what is kept."""
        self._send()

    def _take_token(self) -> bool:
        now = self._clock()
        self._tokens = min(BURST_LINES, self._tokens + (now - self._filled_at) * LINES_PER_S)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _send(self) -> None:
        try:
            while self._kept:
                sent = self._write(self._descriptor, bytes(self._kept))
                del self._kept[:sent]
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more: there is nowhere left to say so.
            self.dropped += 1
            self._kept.clear()
