"""An entry's replica of the configuration: appends to the log, follows it and forwards it.

An entry accepts a command by creating the next row of the log. It receives the rows of other
entries from its neighbours; a few entries in each place read the log's tail for all. It serves
nothing until it has a configuration, from the store, or from several peers if the store is down.
"""

import asyncio
import random
import time
from collections.abc import Callable, Sequence

from lacewinggw.background import Background
from lacewinggw.clients.objects import ObjectClient
from lacewinggw.clients.table import TableClient
from lacewinggw.configuration.bootstrap import PeerBootstrap
from lacewinggw.configuration.holder import ReplicaHolder
from lacewinggw.configuration.logstore import (
    Appended,
    LogStore,
    Outdated,
    RevisionConflict,
    Truncated,
)
from lacewinggw.configuration.replica import Replica
from lacewinggw.configuration.upstreams import Upstreams
from lacewinggw.decisions.commands import check_command, check_within_history, find_accepted_entry
from lacewinggw.decisions.peerselection import (
    UPSTREAM_COUNT,
    Candidate,
    is_log_reader,
    order_entry_upstreams,
)
from lacewinggw.errors import (
    AcceptanceUnknown,
    LacewingError,
    NoConfiguration,
    PlatformError,
    PlatformThrottled,
    PlatformUnavailable,
    WriteUnknown,
)
from lacewinggw.generated.messages.ttypes import Change, LogEntry, Snapshot
from lacewinggw.generated.settings.ttypes import ConfigurationSettings
from lacewinggw.ids import Address
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics, RetryReason
from lacewinggw.wire.peers import PeerNode

ACCEPT_TIMEOUT_S = 8.0
RETRY_S = 0.1
SAFETY_READ_CYCLES = 15
MS_PER_S = 1000

log = get_logger(__name__)

Entries = Callable[[], Sequence[Candidate]]


class Ledger(ReplicaHolder):
    """One entry's replica of the configuration, to which it can append.

    ledger = Ledger.from_config(settings, table, objects, metrics, node, entries, rng)
    await ledger.start()
    entry = await ledger.accept(changes, words=words, author=author,
                                read_revision=ledger.revision, command_id=new_command_id(rng))
    """

    def __init__(
        self,
        settings: ConfigurationSettings,
        store: LogStore,
        metrics: Metrics,
        node: PeerNode | None,
        entries: Entries,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._store = store
        self._metrics = metrics
        self._node = node
        self._entries = entries
        self._rng = rng
        super().__init__(Replica(metrics))
        self._peers = PeerBootstrap(node) if node is not None else None
        self._upstreams: Upstreams | None = None
        if node is not None:
            self._upstreams = Upstreams(
                node, self._replica, self._neighbour_addresses, UPSTREAM_COUNT, metrics
            )
        self._accepting = asyncio.Lock()
        self._loop = Background("configuration", self._follow)
        self._snapshot_task: asyncio.Task[None] | None = None
        self._cycle = rng.randrange(SAFETY_READ_CYCLES)

    @classmethod
    def from_config(
        cls,
        settings: ConfigurationSettings,
        table: TableClient,
        objects: ObjectClient,
        metrics: Metrics,
        node: PeerNode | None = None,
        entries: Entries = tuple,
        rng: random.Random | None = None,
    ) -> "Ledger":
        """Return the ledger of an entry; `entries` returns all currently listed entries."""
        store = LogStore(table, objects)
        return cls(settings, store, metrics, node, entries, rng or random.Random())

    async def start(self) -> None:
        """Load a configuration, retrying until there is one, then follow the log."""
        while not await self._bootstrap():  # noqa: ASYNC110
            await asyncio.sleep(self._poll_s() * self._rng.uniform(0.5, 1.0))
        self._replica.set_ready()
        self._loop.start()

    async def close(self) -> None:
        """Stop following."""
        self._replica.close()
        await self._loop.close()
        if self._snapshot_task is not None:
            self._snapshot_task.cancel()
            await asyncio.wait((self._snapshot_task,))

    async def accept(
        self,
        changes: Sequence[Change],
        *,
        words: str,
        author: str,
        read_revision: int,
        command_id: str,
        repeated: bool = False,
    ) -> LogEntry:
        """Append a command to the log and return its entry, or the first entry of a repeated one.

        `repeated` declares that the command may have been sent before with the same id.
        Raise the refusals of `check_command`; `PlatformUnavailable` if the store cannot be used and
        the command was certainly not accepted; `AcceptanceUnknown` if it may have been accepted.
        """
        if not self.ready:
            raise NoConfiguration("this entry has no configuration yet")
        entry = LogEntry(0, command_id, author, 0, read_revision, list(changes), words)
        attempt = _AppendAttempt(entry)
        try:
            async with asyncio.timeout(ACCEPT_TIMEOUT_S), self._accepting:
                while True:
                    accepted = find_accepted_entry(self.state, command_id)
                    if accepted is not None:
                        return accepted
                    check_within_history(self.state, command_id, read_revision, repeated)
                    check_command(self.state, changes, read_revision)
                    await self._append_once(attempt)
        except TimeoutError as error:
            if attempt.in_doubt:
                raise AcceptanceUnknown(f"no reply for command {command_id}") from error
            raise PlatformUnavailable("the table service gave no definite reply") from error

    async def _append_once(self, attempt: "_AppendAttempt") -> None:
        """Try to append at the next revision; if it is taken, apply the entry that took it."""
        entry = attempt.entry_at(self.revision + 1)
        doubt_before = attempt.in_doubt
        attempt.in_doubt = True  # until there is a reply, in case this call is cancelled
        try:
            result = await self._store.append(entry)
        except WriteUnknown:
            self._metrics.retry(RetryReason.WRITE_UNKNOWN)
            await asyncio.sleep(RETRY_S)
            return
        except PlatformThrottled as error:
            attempt.in_doubt = doubt_before
            self._metrics.retry(RetryReason.PLATFORM_THROTTLED)
            await asyncio.sleep(max(RETRY_S, error.retry_after_ms / MS_PER_S))
            return
        except PlatformError:
            attempt.in_doubt = doubt_before
            if not doubt_before:
                raise
            self._metrics.retry(RetryReason.PLATFORM_UNAVAILABLE)
            await asyncio.sleep(RETRY_S)
            return
        attempt.in_doubt = False
        match result:
            case Appended():
                self._replica.offer([entry])
                self._snapshot_if_due()
            case RevisionConflict(entry=winner):
                self._metrics.retry(RetryReason.COMPARE_AND_SET)
                self._replica.offer([winner])
            case Outdated():
                await self._read_tail()

    async def _bootstrap(self) -> bool:
        try:
            snapshot = await self._store.newest_snapshot()
            if snapshot is not None:
                self._replica.adopt_snapshot(snapshot)
            await self._read_tail()
        except LacewingError as error:
            log.warning("configuration_not_from_store", error=error)
            return await self._bootstrap_from_peers()
        return True

    async def _bootstrap_from_peers(self) -> bool:
        if self._peers is None:
            return False
        snapshot = await self._peers.fetch_snapshot(self._neighbour_addresses())
        if snapshot is None:
            return False
        self._replica.adopt_snapshot(snapshot)
        return True

    def _neighbour_addresses(self) -> list[Address]:
        if self._node is None:
            return []
        own = self._node.identity.host
        return [Address(each.address) for each in order_entry_upstreams(own, self._entries())]

    def _poll_s(self) -> float:
        return self._settings.poll_ms / MS_PER_S

    async def _follow(self) -> None:
        while True:
            await asyncio.sleep(self._poll_s() * self._rng.uniform(0.8, 1.2))
            try:
                await self._follow_once()
            except LacewingError as error:
                self._metrics.retry(RetryReason.PLATFORM_UNAVAILABLE)
                log.info("configuration_tail_unread", error=error)

    async def _follow_once(self) -> None:
        self._cycle += 1
        answered = self._upstreams is not None and await self._upstreams.maintain()
        if self._is_reader() or not answered or self._cycle % SAFETY_READ_CYCLES == 0:
            await self._read_tail()

    def _is_reader(self) -> bool:
        if self._node is None:
            return True
        identity = self._node.identity
        return is_log_reader(identity.host, identity.place, self._entries())

    async def _read_tail(self) -> None:
        while True:
            self._metrics.count("configuration_store_reads")
            result = await self._store.read_after(self.revision)
            match result:
                case Truncated(snapshot=revision):
                    snapshot = await self._store.load_snapshot(revision)
                    if snapshot is None or not self._replica.adopt_snapshot(snapshot):
                        raise PlatformError(f"the snapshot of revision {revision} is missing")
                case _:
                    if not result.entries:
                        return
                    self._replica.offer(result.entries)

    def _snapshot_if_due(self) -> None:
        interval = self._settings.snapshot_every
        if self.revision - self._store.floor.snapshot < interval:
            return
        if self._snapshot_task is not None and not self._snapshot_task.done():
            return
        saving = self._save_snapshot(self.state.to_snapshot())
        self._snapshot_task = asyncio.get_running_loop().create_task(saving)

    async def _save_snapshot(self, snapshot: Snapshot) -> None:
        try:
            await self._store.save_snapshot(snapshot, self._settings.snapshot_every)
        except LacewingError as error:
            log.warning("configuration_snapshot_failed", revision=snapshot.revision, error=error)


class _AppendAttempt:
    """The attempts to append one command; `in_doubt` if one may have taken effect."""

    def __init__(self, entry: LogEntry) -> None:
        self.in_doubt = False
        self._entry = entry

    def entry_at(self, revision: int) -> LogEntry:
        """Return a copy of the entry for one revision; writes in flight keep their own copy."""
        now_ms = int(time.time() * MS_PER_S)
        entry = self._entry
        return LogEntry(
            revision,
            entry.command_id,
            entry.author,
            now_ms,
            entry.read_revision,
            entry.changes,
            entry.words,
        )
