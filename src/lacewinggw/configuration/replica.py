"""The configuration replica of one process, and how it forwards updates.

A replica applies revisions only in ascending order. Updates come from the store, from an accepted
command, or over a link from another process; the replica forwards each entry that it applies to
its subscribers.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from itertools import islice

from lacewinggw.decisions.revisions import FleetState
from lacewinggw.errors import LacewingError, NoConfiguration
from lacewinggw.generated.messages.ttypes import (
    FetchLog,
    FetchSnapshot,
    LogEntry,
    LogNews,
    LogRows,
    Snapshot,
    Subscribe,
)
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics
from lacewinggw.wire.frames import encode_struct
from lacewinggw.wire.peers import Exchange, PeerLink

TAIL_LENGTH = 500
FETCH_LIMIT = 100
MAX_INLINE_UPDATE_BYTES = 4096
PEER_TIMEOUT_S = 2.0
UPDATE_GRACE_S = 0.02

log = get_logger(__name__)

OnChange = Callable[[FleetState, list[LogEntry]], None]


class Replica:
    """One process's configuration.

    `on_change` callbacks receive the state and the entries just applied; the list is empty when
    the state was replaced by a snapshot or the replica became ready.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.ready = False
        self.state = FleetState()
        self._metrics = metrics
        self._tail: deque[LogEntry] = deque(maxlen=TAIL_LENGTH)
        self._callbacks: list[OnChange] = []
        self._subscribers: dict[PeerLink, None] = {}  # in order of subscription
        self._catching_up: asyncio.Task[None] | None = None
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []
        metrics.read_gauge("configuration_revision", lambda: float(self.revision))

    @property
    def revision(self) -> int:
        """The highest revision applied."""
        return self.state.revision

    def on_change(self, callback: OnChange) -> None:
        """Register `callback` to be called after each change."""
        self._callbacks.append(callback)

    def set_ready(self) -> None:
        """Mark the replica as ready: the process can serve with this configuration."""
        if not self.ready:
            self.ready = True
            log.info("configuration_ready", revision=self.revision)
            self._changed([])

    def close(self) -> None:
        """Cancel a catch-up in progress."""
        if self._catching_up is not None:
            self._catching_up.cancel()

    def offer(self, entries: Sequence[LogEntry]) -> bool:
        """Apply new entries up to the first gap in the revisions; return whether there was one."""
        applied: list[LogEntry] = []
        gap = False
        for entry in entries:
            if entry.revision <= self.revision:
                continue
            if entry.revision != self.revision + 1:
                gap = True
                break
            self.state.apply(entry)
            self._tail.append(entry)
            applied.append(entry)
        if applied:
            self._changed(applied)
            self._publish(applied)
        return gap

    def adopt_snapshot(self, snapshot: Snapshot) -> bool:
        """Replace the state by a snapshot if it is newer; return whether it was."""
        if snapshot.revision <= self.revision:
            return False
        self.state = FleetState.from_snapshot(snapshot)
        self._tail.clear()
        self._metrics.count("configuration_snapshots_adopted")
        self._changed([])
        self._publish([])
        return True

    async def wait_for_revision(self, revision: int, timeout_s: float) -> bool:
        """Wait until `revision` is applied; return False after `timeout_s` seconds."""
        if self.revision >= revision:
            return True
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append((revision, future))
        try:
            async with asyncio.timeout(timeout_s):
                await future
        except TimeoutError:
            return False
        return True

    def catch_up_if_behind(self, link: PeerLink, revision: int) -> None:
        """Start to catch up over `link` if `revision`, reported by its peer, is ahead."""
        if revision <= self.revision or self._catching_up is not None:
            return
        task = asyncio.get_running_loop().create_task(self._catch_up_after_grace(link, revision))
        self._catching_up = task
        task.add_done_callback(self._on_caught_up)

    async def catch_up(self, link: PeerLink) -> None:
        """Fetch and apply every entry that the peer has and this replica lacks.

        Raises `LacewingError` when the peer does not answer.
        """
        while True:
            reply = await link.call(FetchLog(self.revision, FETCH_LIMIT), PEER_TIMEOUT_S)
            if not isinstance(reply, LogRows):
                return
            before = self.revision
            self.offer(reply.entries)
            if self.revision >= reply.head:
                return
            if self.revision == before and not await self._fetch_snapshot(link):
                return

    async def handle(self, exchange: Exchange) -> bool:
        """Answer a message about the configuration; return False for any other message."""
        match exchange.message:
            case FetchLog(after=after, limit=limit):
                self._require_ready()
                exchange.finish(self._rows_after(after, limit))
            case FetchSnapshot():
                self._require_ready()
                exchange.finish(self.state.to_snapshot())
            case Subscribe(after=after):
                self._require_ready()
                self._subscribers[exchange.link] = None
                exchange.finish(self._rows_after(after, FETCH_LIMIT))
            case LogNews(entries=entries, head=head):
                self._apply_update(exchange.link, entries or [], head)
            case _:
                return False
        return True

    def _require_ready(self) -> None:
        if not self.ready:
            raise NoConfiguration("this process has no configuration yet")

    def _rows_after(self, after: int, limit: int) -> LogRows:
        first = self._tail[0].revision if self._tail else self.revision + 1
        if after + 1 < first:
            return LogRows([], self.revision)
        start = after + 1 - first
        count = min(max(limit, 1), FETCH_LIMIT)
        return LogRows(list(islice(self._tail, start, start + count)), self.revision)

    def _apply_update(self, link: PeerLink, entries: list[LogEntry], head: int) -> None:
        if not self.ready:
            return
        known = self.revision
        self.offer(entries)
        self._metrics.count("configuration_news", kind="new" if self.revision > known else "known")
        if head > self.revision:
            self.catch_up_if_behind(link, head)

    async def _fetch_snapshot(self, link: PeerLink) -> bool:
        snapshot = await link.call(FetchSnapshot(self.revision), PEER_TIMEOUT_S)
        return isinstance(snapshot, Snapshot) and self.adopt_snapshot(snapshot)

    async def _catch_up_after_grace(self, link: PeerLink, revision: int) -> None:
        """Catch up after a short wait, as the update itself usually arrives within it."""
        await asyncio.sleep(UPDATE_GRACE_S)
        if self.revision >= revision or not self.ready:
            return
        try:
            await self.catch_up(link)
        except LacewingError as error:
            log.info("configuration_catch_up_failed", peer=link.remote.host, error=error)

    def _on_caught_up(self, _: "asyncio.Task[None]") -> None:
        self._catching_up = None

    def _changed(self, entries: list[LogEntry]) -> None:
        commands = [entry.command_id for entry in entries]
        log.debug("configuration_applied", revision=self.revision, commands=commands)
        remaining = [waiter for waiter in self._waiters if waiter[0] > self.revision]
        for revision, future in self._waiters:
            if revision <= self.revision and not future.done():
                future.set_result(None)
        self._waiters = remaining
        for callback in self._callbacks:
            try:
                callback(self.state, entries)
            except Exception as error:
                log.exception("configuration_callback_failed", error=error)

    def _publish(self, entries: list[LogEntry]) -> None:
        """Send subscribers the new head revision, with the entries unless they are too large.

        Subscribers fetch entries that the message leaves out.
        """
        if not self._subscribers or not self.ready:
            return
        size = sum(len(encode_struct(entry)) for entry in entries)
        update = LogNews(entries if size <= MAX_INLINE_UPDATE_BYTES else [], self.revision)
        update_bytes = len(encode_struct(update))
        for link in list(self._subscribers):
            if link.closed.is_set():
                del self._subscribers[link]
                continue
            link.notify(update)
            self._metrics.count("configuration_news_sent_bytes", update_bytes)
