"""Store rows of what crashes targets, which survive a restart of all entries."""

import asyncio
import random
from collections.abc import Set

from lacewinggw.background import Background
from lacewinggw.decisions.contents import is_part
from lacewinggw.decisions.crashes import CrashTracker
from lacewinggw.errors import PlatformError
from lacewinggw.fleet.feed import CrashingContent
from lacewinggw.fleet.ownrows import OwnRows, crashing_key, crashing_row
from lacewinggw.ids import ContentId, ServiceName
from lacewinggw.log import get_logger

WRITE_RETRY_S = 1.0

log = get_logger(__name__)


class CrashRows:
    """Writes the tracker's records of the contents whose crashes this entry observed itself.

    Two successive crashes are written at once, because all entries may end before a third crash is
    evaluated. Only entries that observed a content write its row, so that a few entries write it
    instead of all.

        rows.note_observed(content, service)
        rows.update()  # after the tracker has changed
    """

    def __init__(self, rows: OwnRows, tracker: CrashTracker, rng: random.Random) -> None:
        self._rows = rows
        self._tracker = tracker
        self._rng = rng
        self._services: dict[ContentId, ServiceName] = {}  # of the observed requests
        self._written: dict[ContentId, CrashingContent] = {}
        self._to_write: dict[ContentId, CrashingContent | None] = {}  # None: remove the row
        self._can_write = asyncio.Event()
        self._loop = Background("crash rows", self._run)

    async def start(self) -> None:
        """Start writing."""
        self._loop.start()

    async def close(self) -> None:
        """Stop writing."""
        await self._loop.close()

    def note_observed(self, content: ContentId, service: ServiceName) -> None:
        """Record that a content of this entry was on a target that crashed."""
        self._services.setdefault(content, service)

    def update(self) -> None:
        """Schedule writes for the rows that differ from the tracker's records."""
        for content, service in list(self._services.items()):
            entry = self._entry_of(content, service)
            if entry is None and self._tracker.crash_count(content) == 0:
                del self._services[content]
            elif entry is None and is_part(content):
                continue  # a request explains its crashes, but another one may crash on it too
            if entry == self._written.get(content):
                continue
            if entry is None:
                del self._written[content]
            else:
                self._written[content] = entry
            self._note_to_write(content, entry)

    def rewrite_missing(self, listed: Set[str]) -> None:
        """Rewrite the rows of this entry that the list lacks."""
        for content, entry in self._written.items():
            if crashing_key(content) not in listed:
                self._note_to_write(content, entry)

    def remove(self, content: ContentId) -> None:
        """Schedule the removal of a row, regardless of which entry wrote it."""
        self._written.pop(content, None)
        self._note_to_write(content, None)

    def note_removed(self, content: ContentId) -> None:
        """Record that a row has been removed from the store."""
        self._written.pop(content, None)

    def _entry_of(self, content: ContentId, service: ServiceName) -> CrashingContent | None:
        """Return the row to write for a content; None if it is not suspected."""
        before = self._written.get(content)
        is_quarantined = content in self._tracker.quarantined
        if is_quarantined and before is not None and before.is_quarantined:
            return before  # later crashes of attempts already in progress add nothing
        targets = tuple(self._tracker.independent_targets(content))
        if not is_quarantined and not self._tracker.is_suspect(content, len(targets)):
            return None
        return CrashingContent(content, service, targets, is_quarantined)

    def _note_to_write(self, content: ContentId, entry: CrashingContent | None) -> None:
        self._to_write[content] = entry
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
        for content, entry in list(self._to_write.items()):
            if entry is None:
                await self._rows.remove(crashing_key(content))
            else:
                await self._rows.put(crashing_row(entry))
            if self._to_write.get(content) is entry:
                del self._to_write[content]
