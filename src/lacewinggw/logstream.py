"""Non-blocking log output to a file descriptor.

Writes never block the process. Lines that a slow reader has not consumed are buffered up to a
limit. Lines over a rate limit are dropped, so that a burst of errors costs a bounded amount of
work. The next line written after a drop is preceded by a line with the number of dropped lines.
"""

import json
import os
import time
from collections.abc import Callable

MAX_BUFFER_BYTES = 1 << 18  # for a reader that pauses: about 1 s of lines at the maximum rate
LINES_PER_S = 400.0  # 20 times the current request rate of an entry; a line costs about 0.1 ms
BURST_LINES = 800.0

Write = Callable[[int, bytes], int]


class LogStream:
    """A text stream on a file descriptor that drops lines instead of blocking.

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
        self._buffer = bytearray()
        self._tokens = BURST_LINES
        self._filled_at = clock()
        self._unreported = 0

    @classmethod
    def for_stdout(cls) -> "LogStream":
        """Return the stream of this process's standard output."""
        return cls._for_descriptor(1)

    @classmethod
    def for_stderr(cls) -> "LogStream":
        """Return the stream of this process's standard error."""
        return cls._for_descriptor(2)

    @classmethod
    def _for_descriptor(cls, descriptor: int) -> "LogStream":
        if not os.isatty(descriptor):  # a terminal is shared with the shell
            os.set_blocking(descriptor, False)
        return cls(descriptor)

    def write(self, text: str) -> int:
        """Write a line, or drop it and count it."""
        if not self._take_token() or len(self._buffer) > MAX_BUFFER_BYTES:
            self.dropped += 1
            self._unreported += 1
            self._send()
            return len(text)
        if self._unreported:
            unreported, self._unreported = self._unreported, 0
            line = json.dumps({"event": "log_lines_dropped", "count": unreported})
            self._buffer += f"{line}\n".encode()
        self._buffer += text.encode()
        self._send()
        return len(text)

    def flush(self) -> None:
        """Try again to write the buffered lines."""
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
            while self._buffer:
                sent = self._write(self._descriptor, bytes(self._buffer))
                del self._buffer[:sent]
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the stream, so the error cannot be logged.
            self.dropped += 1
            self._buffer.clear()
