"""Store rows of requests that crash targets, which survive a restart of all entries."""

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
    """Writes the tracker's records of the requests whose crashes this entry observed itself.

    Two successive crashes are written at once, because all entries may end before a third crash is
    evaluated. Only entries that observed a request write its row, so that a few entries write it
    instead of all.

        rows.note_observed(request, service)
        rows.update()  # after the tracker has changed
    """

    def __init__(self, rows: OwnRows, tracker: CrashTracker, rng: random.Random) -> None:
        self._rows = rows
        self._tracker = tracker
        self._rng = rng
        self._services: dict[RequestDigest, ServiceName] = {}  # of the observed requests
        self._written: dict[RequestDigest, CrashingRequest] = {}
        self._to_write: dict[RequestDigest, CrashingRequest | None] = {}  # None: remove the row
        self._can_write = asyncio.Event()
        self._loop = Background("crash rows", self._run)

    async def start(self) -> None:
        """Start writing."""
        self._loop.start()

    async def close(self) -> None:
        """Stop writing."""
        await self._loop.close()

    def note_observed(self, request: RequestDigest, service: ServiceName) -> None:
        """Record that a request of this entry was running on a target that crashed."""
        self._services.setdefault(request, service)

    def update(self) -> None:
        """Schedule writes for the rows that differ from the tracker's records."""
        for request, service in list(self._services.items()):
            entry = self._entry_of(request, service)
            if entry is None and self._tracker.crash_count(request) == 0:
                del self._services[request]
            if entry == self._written.get(request):
                continue
            if entry is None:
                del self._written[request]
            else:
                self._written[request] = entry
            self._note_to_write(request, entry)

    def rewrite_missing(self, listed: Set[str]) -> None:
        """Rewrite the rows of this entry that the list lacks."""
        for request, entry in self._written.items():
            if crashing_key(request) not in listed:
                self._note_to_write(request, entry)

    def remove(self, request: RequestDigest) -> None:
        """Schedule the removal of a row, regardless of which entry wrote it."""
        self._written.pop(request, None)
        self._note_to_write(request, None)

    def note_removed(self, request: RequestDigest) -> None:
        """Record that a row has been removed from the store."""
        self._written.pop(request, None)

    def _entry_of(self, request: RequestDigest, service: ServiceName) -> CrashingRequest | None:
        """Return the row to write for a request; None if it is not suspected."""
        before = self._written.get(request)
        is_quarantined = request in self._tracker.quarantined
        if is_quarantined and before is not None and before.is_quarantined:
            return before  # later crashes of attempts already in progress add nothing
        targets = tuple(self._tracker.sequential_targets(request))
        if not is_quarantined and len(targets) < SUSPECT_CRASHES:
            return None
        return CrashingRequest(request, service, targets, is_quarantined)

    def _note_to_write(self, request: RequestDigest, entry: CrashingRequest | None) -> None:
        self._to_write[request] = entry
        self._can_write.set()

    async def _run(self) -> None:
        """Write scheduled rows, retrying until the store accepts them."""
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
