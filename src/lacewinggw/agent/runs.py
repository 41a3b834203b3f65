"""Runs of requests on the target, and the exchanges that receive their answers.

A run does not depend on connections; exchanges with entries listen to it. So a lost connection
loses no run, and an entry that reconnects, or another one with the same reservation, can listen
from any piece on.
"""

import asyncio
import hashlib
from collections import OrderedDict

from lacewinggw.decisions.atmostonce import RunId
from lacewinggw.errors import CallerLeft, LacewingError
from lacewinggw.generated.messages.ttypes import Finish, Pieces, RequestHead
from lacewinggw.wire.peers import Exchange

RETAINED_BYTES_LIMIT = 8 << 20
RETENTION_S = 600.0
RUN_OVERHEAD_BYTES = 512


def request_digest(head: RequestHead, body: bytes) -> str:
    """Return the hexadecimal SHA-256 that identifies the content of a request."""
    hashed = hashlib.sha256()
    for part in (head.service_name, head.account, head.method, head.path):
        hashed.update(part.encode())
        hashed.update(b"\0")
    hashed.update(body)
    return hashed.hexdigest()


class Run:
    """One run, with its pieces so far and its outcome."""

    def __init__(
        self,
        run_id: RunId,
        head: RequestHead,
        body: bytes,
        digest: str,
        deadline: float,
    ) -> None:
        self.id = run_id
        self.head = head
        self.body = body
        self.request_digest = digest
        self.deadline = deadline
        self.first_index = head.resume_from
        self.started = False
        self.ran_s: float | None = None  # set when the run completes
        self.weights_digest = ""
        self.pieces: list[bytes] = []
        self.finish: Finish | None = None
        self.error: LacewingError | None = None
        self.listeners: set[RunListener] = set()
        self._content = hashlib.sha256()
        self._backlog_reduced: asyncio.Future[None] | None = None

    @property
    def ended(self) -> bool:
        """Whether the run has a finish or an error."""
        return self.finish is not None or self.error is not None

    @property
    def size_bytes(self) -> int:
        """The approximate size of the run in memory."""
        return RUN_OVERHEAD_BYTES + sum(map(len, self.pieces))

    @property
    def content_digest(self) -> str:
        """Hexadecimal SHA-256 over the pieces of this run."""
        return self._content.hexdigest()

    def add(self, pieces: list[bytes]) -> None:
        """Add pieces received from the target."""
        self.pieces.extend(pieces)
        for piece in pieces:
            self._content.update(piece)
        self._wake()

    def complete(self, finish: Finish) -> None:
        """End the run with an answer, unless it has already ended."""
        if not self.ended:
            self.finish = finish
            self._wake()

    def fail(self, error: LacewingError) -> None:
        """End the run without an answer, unless it has already ended."""
        if not self.ended:
            self.error = error
            self._wake()

    async def wait_for_listeners(self, window: int) -> None:
        """Wait while every listener is more than `window` pieces behind."""
        while self.listeners and not self.ended:
            backlog = min(listener.backlog for listener in self.listeners)
            if backlog <= window:
                return
            self._backlog_reduced = asyncio.get_running_loop().create_future()
            await self._backlog_reduced

    def note_sent(self) -> None:
        """Resume reading from the target if that waits for a listener."""
        if self._backlog_reduced is not None and not self._backlog_reduced.done():
            self._backlog_reduced.set_result(None)

    def _wake(self) -> None:
        for listener in self.listeners:
            listener.wake()


class RunListener:
    """Sends the pieces of a run over one exchange, no more than its credit allows."""

    def __init__(self, run: Run, exchange: Exchange, first: int, credit: int) -> None:
        self._run = run
        self._exchange = exchange
        self._sent = max(0, first - run.first_index)
        self._credit = credit
        self._sent_weights = False
        self._stopped = False
        self._wakeup: asyncio.Future[None] | None = None

    @property
    def backlog(self) -> int:
        """The number of pieces not sent yet."""
        return len(self._run.pieces) - self._sent

    def add_credit(self, pieces: int) -> None:
        """Allow `pieces` more pieces to be sent."""
        self._credit += pieces
        self.wake()

    def stop(self) -> None:
        """Stop listening because the caller cancelled."""
        self._stopped = True
        self.wake()

    def wake(self) -> None:
        """Check again for pieces that can be sent."""
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)

    async def send_all(self) -> None:
        """Send every piece and the finish; raise the run's error, or `CallerLeft`."""
        run = self._run
        loop = asyncio.get_running_loop()
        run.listeners.add(self)
        try:
            while True:
                self._send_ready()
                if self._stopped:
                    raise CallerLeft("the caller cancelled the request")
                if run.ended and (self.backlog <= 0 or run.error is not None):
                    break
                self._wakeup = loop.create_future()
                await self._wakeup
        finally:
            run.listeners.discard(self)
            run.note_sent()
        if run.error is not None:
            raise run.error
        self._exchange.finish(run.finish)

    def _send_ready(self) -> None:
        """Send the available pieces that the credit allows, in one frame."""
        run, sent = self._run, self._sent
        count = min(len(run.pieces) - sent, self._credit)
        if count <= 0:
            return
        weights = "" if self._sent_weights else run.weights_digest
        self._sent_weights = True
        self._exchange.reply(
            Pieces(run.first_index + sent, run.pieces[sent : sent + count], weights)
        )
        self._sent += count
        self._credit -= count
        run.note_sent()


class RetainedRuns:
    """Ended runs whose answers can be requested again, within limits of bytes and time."""

    def __init__(
        self, limit_bytes: int = RETAINED_BYTES_LIMIT, retention_s: float = RETENTION_S
    ) -> None:
        self._limit_bytes = limit_bytes
        self._retention_s = retention_s
        self._bytes = 0
        self._runs: OrderedDict[RunId, tuple[Run, float]] = OrderedDict()

    def get(self, run_id: RunId) -> Run | None:
        """Return a run that is still retained, or None."""
        found = self._runs.get(run_id)
        return None if found is None else found[0]

    def add(self, run: Run, now: float) -> None:
        """Retain a run, and drop the oldest ones beyond the limits."""
        self._runs[run.id] = (run, now)
        self._bytes += run.size_bytes
        while self._runs:
            oldest, added_at = next(iter(self._runs.values()))
            if self._bytes <= self._limit_bytes and added_at > now - self._retention_s:
                return
            del self._runs[oldest.id]
            self._bytes -= oldest.size_bytes
