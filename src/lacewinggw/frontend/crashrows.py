"""Rows of the store in which what is known of requests that end targets outlasts all processes."""

import asyncio
import random
from collections.abc import Set

from lacewinggw.background import Background
from lacewinggw.decisions.crashes import SUSPECT_CRASHES, CrashTracker
from lacewinggw.errors import PlatformError
from lacewinggw.fleet.feed import CrashingRequest
from lacewinggw.fleet.ownrows import OwnRows, crashing_key, crashing_row
from lacewinggw.ids import RequestDigest, ServiceName
from lacewinggw.log import get_logger

WRITE_RETRY_S = 1.0

log = get_logger(__name__)


class CrashRows:
    """Writes what the ledger of an entry says of the requests that this entry has seen itself.

    Two crashes in turn are written at once, for all entries may end before a third is judged. Only
    entries that saw a request themselves write of it: a few, and not all of them.

        rows.note_seen(request, service)
        rows.update()  # after the ledger has changed
    """

    def __init__(self, rows: OwnRows, ledger: CrashTracker, rng: random.Random) -> None:
        self._rows = rows
        self._ledger = ledger
        self._rng = rng
        self._services: dict[RequestDigest, ServiceName] = {}  # of the requests that were seen
        self._written: dict[RequestDigest, CrashingRequest] = {}
        self._to_write: dict[RequestDigest, CrashingRequest | None] = {}  # None: to be removed
        self._can_write = asyncio.Event()
        self._loop = Background("crash rows", self._run)

    async def start(self) -> None:
        """Begin to write."""
        self._loop.start()

    async def close(self) -> None:
        """Stop writing."""
        await self._loop.close()

    def note_observed(self, request: RequestDigest, service: ServiceName) -> None:
        """Note that a request was running here on a target that ended."""
        self._services.setdefault(request, service)

    def update(self) -> None:
        """Have written what the ledger says by now, where that is something else."""
        for request, service in list(self._services.items()):
            entry = self._entry_of(request, service)
            if entry is None and self._ledger.crash_count(request) == 0:
                del self._services[request]
            if entry == self._written.get(request):
                continue
            if entry is None:
                del self._written[request]
            else:
                self._written[request] = entry
            self._note_to_write(request, entry)

    def rewrite_missing(self, listed: Set[str]) -> None:
        """Write what this entry has written, and the list lacks."""
        for request, entry in self._written.items():
            if crashing_key(request) not in listed:
                self._note_to_write(request, entry)

    def remove(self, request: RequestDigest) -> None:
        """Have a row removed, whoever wrote it."""
        self._written.pop(request, None)
        self._note_to_write(request, None)

    def note_removed(self, request: RequestDigest) -> None:
        """Note that a row is gone."""
        self._written.pop(request, None)

    def _entry_of(self, request: RequestDigest, service: ServiceName) -> CrashingRequest | None:
        """Return what is to be written of a request, None where it is suspected of nothing."""
        before = self._written.get(request)
        is_quarantined = request in self._ledger.quarantined
        if is_quarantined and before is not None and before.is_quarantined:
            return before  # further crashes, of requests that were under way, say nothing new
        targets = tuple(self._ledger.sequential_targets(request))
        if not is_quarantined and len(targets) < SUSPECT_CRASHES:
            return None
        return CrashingRequest(request, service, targets, is_quarantined)

    def _note_to_write(self, request: RequestDigest, entry: CrashingRequest | None) -> None:
        self._to_write[request] = entry
        self._can_write.set()

    async def _run(self) -> None:
        """Write, however often the store fails at first."""
        while True:
            await self._can_write.wait()
            self._can_write.clear()
            try:
                await self._write_all()
            except PlatformError as error:
                log.info("crash_rows_not_written", error=error)
                self._can_write.set()
                await asyncio.sleep(WRITE_RETRY_S * self._rng.uniform(0.5, 1.5))

    async def _write_all(self) -> None:
        for request, entry in list(self._to_write.items()):
            if entry is None:
                await self._rows.remove(crashing_key(request))
            else:
                await self._rows.put(crashing_row(entry))
            if self._to_write.get(request) is entry:
                del self._to_write[request]
