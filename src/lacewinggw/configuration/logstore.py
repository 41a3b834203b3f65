"""The configuration log in the platform's store: rows, snapshots and truncation.

Each entry is one row `log/<revision>`, created only if absent; an entry is accepted once its row is
created. At intervals of revisions a snapshot of the whole state is written to the object store and
old rows are deleted. A writer that was paused for a long time could create a deleted row again.
Therefore the row `log-floor` holds the highest revision that may have been deleted: it is raised
before the first deletion and read after each append and after each read that found rows, and rows
at or below it are ignored.
"""

import base64
import json
from dataclasses import asdict, dataclass

from lacewinggw.clients.objects import ObjectClient
from lacewinggw.clients.table import ABSENT, Accepted, Conflict, TableClient
from lacewinggw.errors import BadPlatformAnswer, PlatformError, RowMissing, WriteUnknown
from lacewinggw.generated.messages.ttypes import LogEntry, Snapshot
from lacewinggw.log import get_logger
from lacewinggw.wire.frames import decode_struct, encode_struct

ROW_PREFIX = "log/"
REVISION_DIGITS = 16
FLOOR_KEY = "log-floor"
SNAPSHOT_PREFIX = "snapshots/"
SNAPSHOTS_KEPT = 2
READ_LIMIT = 500
DELETE_LIMIT = 200

log = get_logger(__name__)


@dataclass(frozen=True)
class Floor:
    """The newest snapshot's revision, and the highest revision whose row may have been deleted."""

    snapshot: int = 0
    deleted: int = 0
    version: int = ABSENT


@dataclass(frozen=True)
class Appended:
    """The entry is in the log."""


@dataclass(frozen=True)
class RevisionConflict:
    """Another entry, `entry`, already has that revision."""

    entry: LogEntry


@dataclass(frozen=True)
class Outdated:
    """The revision was already truncated: the writer is far behind."""


AppendResult = Appended | RevisionConflict | Outdated


@dataclass(frozen=True)
class Rows:
    """Entries that follow a revision without a gap; empty when there are no new ones."""

    entries: list[LogEntry]


@dataclass(frozen=True)
class Truncated:
    """The entries that follow were deleted; continue from the snapshot of revision `snapshot`."""

    snapshot: int


ReadResult = Rows | Truncated


def row_key(revision: int) -> str:
    """Return the key of a revision's row; keys sort in the order of their revisions."""
    return f"{ROW_PREFIX}{revision:0{REVISION_DIGITS}d}"


def encode_entry(entry: LogEntry) -> str:
    """Return the text that a row stores for an entry."""
    return base64.b64encode(encode_struct(entry)).decode("ascii")


def decode_entry(text: str) -> LogEntry:
    """Return the entry that a row holds; raise `BadPlatformAnswer` if it holds none."""
    try:
        entry: LogEntry = decode_struct(LogEntry(), base64.b64decode(text, validate=True))
    except Exception as error:
        raise BadPlatformAnswer(
            f"a row of the configuration log cannot be decoded: {error}"
        ) from error
    if entry.revision is None or entry.changes is None:
        raise BadPlatformAnswer("a row of the configuration log lacks its revision or its changes")
    return entry


class LogStore:
    """The configuration log in the platform's table and object store.

    Reads and writes raise `PlatformUnavailable`, `PlatformThrottled` or `WriteUnknown`, as the
    clients that they use do.
    """

    def __init__(self, table: TableClient, objects: ObjectClient) -> None:
        self._table = table
        self._objects = objects
        self._floor = Floor()

    @property
    def floor(self) -> Floor:
        """The floor as of the last read or write of its row."""
        return self._floor

    async def read_floor(self) -> Floor:
        """Read and return the floor; its row is absent before the first snapshot."""
        row = await self._table.get(FLOOR_KEY)
        if row is None:
            return self._floor
        value = json.loads(row.value)
        self._floor = Floor(int(value["snapshot"]), int(value["deleted"]), row.version)
        return self._floor

    async def read_after(self, revision: int, limit: int = READ_LIMIT) -> ReadResult:
        """Return the entries after a revision; takes one read if there are none, else two."""
        rows = await self._table.scan(ROW_PREFIX, row_key(revision), limit)
        if not rows:
            return Rows([])
        entries = [decode_entry(row.value) for row in rows]
        floor = await self.read_floor()
        if floor.deleted > revision:
            return Truncated(floor.snapshot)
        return Rows(list(_consecutive_entries(revision, entries)))

    async def append(self, entry: LogEntry) -> AppendResult:
        """Create the row of an entry unless its revision exists already.

        Safe to repeat with the same entry after `WriteUnknown`: a `RevisionConflict` with the same
        command id then means that the first attempt took effect.
        """
        result = await self._table.put(row_key(entry.revision), encode_entry(entry), ABSENT)
        match result:
            case Accepted(version):
                return await self._confirm(entry, version)
            case Conflict(row):
                if row is None:
                    raise BadPlatformAnswer(
                        "the table rejected a new row as a conflict but returned no existing row"
                    )
                return await self._classify_conflict(decode_entry(row.value))

    async def newest_snapshot(self) -> Snapshot | None:
        """Return the newest snapshot, or None if no snapshot was ever taken.

        Raises `PlatformError` if the floor names a snapshot that cannot be read.
        """
        floor = await self.read_floor()
        if floor.snapshot == 0:
            return None
        snapshot = await self.load_snapshot(floor.snapshot)
        if snapshot is None:
            raise RowMissing(f"the object store lacks the snapshot of revision {floor.snapshot}")
        return snapshot

    async def load_snapshot(self, revision: int) -> Snapshot | None:
        """Return the snapshot of a revision, or None if the object store has none."""
        data = await self._objects.get(_snapshot_key(revision))
        if data is None:
            return None
        snapshot: Snapshot = decode_struct(Snapshot(), data)
        return snapshot

    async def save_snapshot(self, snapshot: Snapshot, keep_rows: int) -> None:
        """Store a snapshot, raise the floor, then delete rows over `keep_rows` revisions older.

        Safe to call from any process at any time: snapshots of one revision are identical whichever
        process made them, and the floor only rises.
        """
        revision = snapshot.revision
        await self._objects.put(_snapshot_key(revision), encode_struct(snapshot))
        floor = await self.read_floor()
        if floor.snapshot >= revision:
            return
        raised = Floor(revision, max(floor.deleted, revision - keep_rows), floor.version)
        value = json.dumps({"snapshot": raised.snapshot, "deleted": raised.deleted})
        match await self._table.put(FLOOR_KEY, value, floor.version):
            case Accepted(version):
                self._floor = Floor(**{**asdict(raised), "version": version})
            case Conflict():
                return
        await self._delete_rows(raised.deleted)
        await self._delete_snapshots(revision)

    async def _confirm(self, entry: LogEntry, version: int) -> AppendResult:
        try:
            floor = await self.read_floor()
        except PlatformError as error:
            raise WriteUnknown(
                f"the append of revision {entry.revision} could not be confirmed: {error}"
            ) from error
        if floor.deleted < entry.revision:
            return Appended()
        log.warning("log_append_outdated", revision=entry.revision, deleted=floor.deleted)
        await self._table.delete(row_key(entry.revision), version)
        return Outdated()

    async def _classify_conflict(self, entry: LogEntry) -> AppendResult:
        floor = await self.read_floor()
        return RevisionConflict(entry) if floor.deleted < entry.revision else Outdated()

    async def _delete_rows(self, through: int) -> None:
        rows = await self._table.scan(ROW_PREFIX, "", DELETE_LIMIT)
        for row in rows:
            if row.key > row_key(through):
                return
            await self._table.delete(row.key)

    async def _delete_snapshots(self, newest: int) -> None:
        keys = await self._objects.list(SNAPSHOT_PREFIX)
        for key in keys[:-SNAPSHOTS_KEPT]:
            if key < _snapshot_key(newest):
                await self._objects.delete(key)


def _snapshot_key(revision: int) -> str:
    return f"{SNAPSHOT_PREFIX}{revision:0{REVISION_DIGITS}d}"


def _consecutive_entries(revision: int, entries: list[LogEntry]) -> list[LogEntry]:
    consecutive: list[LogEntry] = []
    for entry in entries:
        if entry.revision != revision + len(consecutive) + 1:
            break
        consecutive.append(entry)
    return consecutive
