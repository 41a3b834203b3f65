"""Claims on idempotency keys in the platform's table, written in batches."""

import asyncio
from collections import deque

from lacewinggw.clients.table import (
    Accepted,
    Conflict,
    Put,
    PutResult,
    Row,
    TableClient,
)
from lacewinggw.decisions.claims import Claim
from lacewinggw.errors import PlatformError, StoreDown, WriteUnknown
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics, RetryReason

BATCH_LIMIT = 200
STORE_RETRY_MS = 2000
MS_PER_S = 1000.0

Waiting = tuple[Put, asyncio.Future[PutResult]]

log = get_logger(__name__)


class ClaimStore:
    """Writes claims by compare-and-set; claims within the batch interval share one write.

    A write whose reply is lost is repeated once. If the row then holds this store's own claim, the
    first write took effect.
    """

    def __init__(self, table: TableClient, batch_s: float, metrics: Metrics) -> None:
        self._table = table
        self._batch_s = batch_s
        self._metrics = metrics
        self._waiting: deque[Waiting] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._flushes: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Write the waiting claims, and wait for all writes in progress."""
        self._flush()
        if self._flushes:
            await asyncio.wait(set(self._flushes))

    async def read(self, key: str) -> Row | None:
        """Return a claim's row, or None; raise `StoreDown` if it cannot be read."""
        try:
            return await self._table.get(key)
        except PlatformError as error:
            raise _store_down(error) from error

    async def write(self, key: str, claim: Claim, if_version: int) -> PutResult:
        """Write a claim if its row has this version; raise `StoreDown` if the result is unknown."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[PutResult] = loop.create_future()
        self._waiting.append((Put(key, claim.to_text(), if_version), future))
        if self._timer is None:
            self._timer = loop.call_later(self._batch_s, self._flush)
        return await future

    def _flush(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._waiting:
            count = min(len(self._waiting), BATCH_LIMIT)
            batch = [self._waiting.popleft() for _ in range(count)]
            task = asyncio.get_running_loop().create_task(self._write_batch(batch))
            self._flushes.add(task)
            task.add_done_callback(self._flushes.discard)

    async def _write_batch(self, batch: list[Waiting]) -> None:
        puts = [put for put, _ in batch]
        self._metrics.count("claim_writes")
        try:
            results = await self._put_twice(puts)
        except PlatformError as error:
            log.warning("claims_not_written", count=len(batch), reason=error.reason)
            for _, future in batch:
                if not future.done():
                    future.set_exception(_store_down(error))
            return
        for (_, future), result in zip(batch, results, strict=True):
            if not future.done():
                future.set_result(result)

    async def _put_twice(self, puts: list[Put]) -> list[PutResult]:
        try:
            return await self._table.put_many(puts)
        except WriteUnknown:
            self._metrics.retry(RetryReason.WRITE_UNKNOWN)
            results = await self._table.put_many(puts)
        return [_repeated_result(put, result) for put, result in zip(puts, results, strict=True)]


def _repeated_result(put: Put, result: PutResult) -> PutResult:
    """Return the result of a repeated write; a row that holds our own value counts as written."""
    if isinstance(result, Conflict) and result.row is not None and result.row.value == put.value:
        return Accepted(result.row.version)
    return result


def _store_down(error: PlatformError) -> StoreDown:
    reason = f"the claim cannot be read or written: {error.reason}"
    return StoreDown(reason, retry_after_ms=error.retry_after_ms or STORE_RETRY_MS)
