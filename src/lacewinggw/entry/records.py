"""Recorded answers, kept in the object store so that a repeated key gets the same answer."""

import asyncio
import hashlib
import json
from collections import deque
from collections.abc import Coroutine
from dataclasses import dataclass
from itertools import accumulate, pairwise
from typing import Any

from lacewinggw.clients.objects import ObjectClient
from lacewinggw.clients.table import TableClient
from lacewinggw.decisions.claims import answer_key
from lacewinggw.entry.claims import ClaimStore
from lacewinggw.errors import PlatformError
from lacewinggw.generated.messages.ttypes import Finish
from lacewinggw.log import get_logger

HEAD_END = b"\n"
STORE_RETRY_MS = 2000
SWEEP_S = 30.0
INITIAL_PAUSE_S = 0.5
MAX_PAUSE_S = 30.0

log = get_logger(__name__)


@dataclass(frozen=True)
class RecordedAnswer:
    """The pieces of a complete answer, and the final message of its run."""

    pieces: list[bytes]
    finish: Finish

    def to_bytes(self) -> bytes:
        """Return the answer as an object: a line of JSON, then the concatenated pieces."""
        finish = self.finish
        head = {
            "sizes": [len(piece) for piece in self.pieces],
            "content_digest": hashlib.sha256(b"".join(self.pieces)).hexdigest(),
            "weights_digest": finish.weights_digest,
            "request_digest": finish.request_digest,
            "status": finish.status,
            "content_type": finish.content_type,
        }
        return b"".join((json.dumps(head).encode(), HEAD_END, *self.pieces))

    @classmethod
    def from_bytes(cls, data: bytes) -> "RecordedAnswer":
        """Return the answer in an object; raise `ValueError` or `KeyError` if it is malformed."""
        line, _, body = data.partition(HEAD_END)
        head: dict[str, Any] = json.loads(line)
        ends = list(accumulate(head["sizes"]))
        pieces = [body[start:end] for start, end in pairwise([0, *ends])]
        finish = Finish(
            pieces=len(pieces),
            content_digest=head["content_digest"],
            weights_digest=head["weights_digest"],
            status=head["status"],
            content_type=head["content_type"],
            request_digest=head["request_digest"],
        )
        return cls(pieces, finish)


class AnswerRecords:
    """Records answers in the background, and deletes them after `keep_s` seconds.

    Callers do not wait for the store: the agent that ran the request keeps its answer until it is
    recorded.
    """

    def __init__(
        self,
        objects: ObjectClient,
        table: TableClient,
        claims: ClaimStore,
        keep_s: float,
    ) -> None:
        self._objects = objects
        self._table = table
        self._claims = claims
        self._keep_s = keep_s
        self._tasks: set[asyncio.Task[None]] = set()
        self._recorded: deque[tuple[float, str, int]] = deque()
        self._sweeper: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start deleting expired answers."""
        self._sweeper = asyncio.get_running_loop().create_task(self._sweep())

    async def drained(self) -> None:
        """Wait until all pending answers are recorded or given up."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    async def close(self) -> None:
        """Stop, and cancel pending records."""
        tasks = [*self._tasks, *([self._sweeper] if self._sweeper else [])]
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    def record(self, row_key: str, version: int, answer: RecordedAnswer) -> None:
        """Record in the background the answer to the claim in this version of its row."""
        self._spawn(self._record(row_key, version, answer))

    async def find(self, row_key: str, timeout_s: float) -> RecordedAnswer | None:
        """Return the recorded answer to a claim, or None if it is missing or cannot be read.

        `timeout_s` limits the wait for the store, in seconds.
        """
        try:
            async with asyncio.timeout(timeout_s):
                data = await self._objects.get(answer_key(row_key))
        except (PlatformError, TimeoutError) as error:
            log.warning("answers_not_readable", reason=str(error))
            return None
        return None if data is None else RecordedAnswer.from_bytes(data)

    async def _record(self, row_key: str, version: int, answer: RecordedAnswer) -> None:
        if await self._store(answer_key(row_key), answer.to_bytes()):
            expires_at = asyncio.get_running_loop().time() + self._keep_s
            self._recorded.append((expires_at, row_key, version))

    async def _store(self, name: str, data: bytes) -> bool:
        """Write an object, with retries for as long as answers are kept; return success."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + self._keep_s
        pause_s = INITIAL_PAUSE_S
        while True:
            try:
                await self._objects.put(name, data)
                return True
            except PlatformError as error:
                if loop.time() + pause_s > give_up_at:
                    log.warning("answer_not_recorded", object=name, reason=error.reason)
                    return False
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_PAUSE_S)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            now = asyncio.get_running_loop().time()
            while self._recorded and self._recorded[0][0] <= now:
                _, row_key, version = self._recorded.popleft()
                await self._drop(row_key, version)

    async def _drop(self, row_key: str, version: int) -> None:
        try:
            await self._objects.delete(answer_key(row_key))
            await self._table.delete(row_key, version)
        except PlatformError as error:
            log.warning("answer_not_dropped", row=row_key, reason=error.reason)

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
