"""Follow one topic of a feed, recovering from failures of the store.

Each update is applied with the times when the call was sent and when its answer was composed. A
wait that ends without changes confirms that nothing had changed.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from lacewinggw.background import Background
from lacewinggw.clock import Clock
from lacewinggw.decisions.storeclock import AnswerTimes, StoreClock
from lacewinggw.decisions.storeposition import NO_POSITION, StorePosition
from lacewinggw.errors import PlatformError
from lacewinggw.fleet.access import StoreAccess
from lacewinggw.fleet.era import StoreEra
from lacewinggw.fleet.feed import FeedUpdate, FleetFeed, HistoryGone, Topic, UnreadableItem
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics, RetryReason

log = get_logger(__name__)

Apply = Callable[[FeedUpdate, AnswerTimes], None]

INITIAL_RETRY_S = 0.1
# Interval of the check whether the topic has to be read. It is short at first, because a starting
# entry waits for some ms only, and doubles, because each check costs an idle process some time.
MIN_IDLE_S = 0.02
MAX_IDLE_S = 0.2
# With jitter, the return of a store is noticed within 1.5 times this. Three seconds after it an
# entry counts as connected, and by then it must have removed targets that vanished meanwhile.
MAX_RETRY_S = 0.5
# All entries read a restored store completely. Entries on which others depend read it at once, the
# others within the second in which a restored store must get back all rows that processes write.
URGENT_SPREAD_S = 0.1
CONFIRMED_SPREAD_S = 0.8
CONFIRMED_CHECK_S = 0.1  # interval of the check whether a peer still confirms the topic


@dataclass(frozen=True)
class PollTimes:
    """How long a call waits for an update, and how long to let changes accumulate after one."""

    for_update_s: float
    after_update_s: float = 0.0


class _Interrupted(Exception):
    """This process cancelled the call in progress because it is no longer needed."""


class TopicFollower:
    """Keeps a topic up to date and calls `apply` with each update and the times of its call.

    A silent connection is noticed a little after the poll time, so the poll time bounds the age of
    the data. Nothing is read while `is_needed` returns false, because another entry sends updates,
    or while `is_confirmed` returns true, because another entry has read the same data recently.
    `on_regained` is called when the store answers again, before `apply`.
    """

    def __init__(
        self,
        topic: Topic,
        feed: FleetFeed,
        apply: Apply,
        poll_times: Callable[[], PollTimes],
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        store_clock: StoreClock,
        era: StoreEra,
        access: StoreAccess,
        is_needed: Callable[[], bool] = lambda: True,
        is_confirmed: Callable[[], bool] = lambda: False,
        on_regained: Callable[[float], None] = lambda now: None,
    ) -> None:
        self._is_needed = is_needed
        self._is_confirmed = is_confirmed
        self._on_regained = on_regained
        self._topic = topic
        self._feed = feed
        self._apply = apply
        self._poll_times = poll_times
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._store_clock = store_clock
        self._era = era
        self._access = access
        era.subscribe(self._note_new_era)
        self._was_read = False
        self._is_restored = False  # the store has a newer era than the data that was read
        self._call: asyncio.Task[FeedUpdate] | None = None
        self._position: StorePosition | None = None
        self._lost_since: float | None = None
        self._retry_s = INITIAL_RETRY_S
        self._is_idle = False
        self._idle_s = MIN_IDLE_S
        self._reads = metrics.counter("store_reads", topic=topic)
        self._unreadable = metrics.counter("store_entries_unreadable", topic=topic)
        self._logged_unreadable: dict[str, int] = {}  # the last revision reported, by key
        self._loop = Background(f"follow {topic.value}", self._run)

    @property
    def position(self) -> StorePosition:
        """The store position up to which the topic has been read."""
        return self._position or NO_POSITION

    @property
    def lost_since(self) -> float | None:
        """When the store stopped answering; None while it answers."""
        return self._lost_since

    def advance_to(self, position: StorePosition) -> None:
        """Record that another process sent all data up to a store position."""
        if position > self.position:
            self._position = position
            self._is_restored = self._is_restored and position.era < self._era.current

    def _note_new_era(self) -> None:
        """Read the topic completely again: the restored store may differ from what was read."""
        self._is_restored = self._was_read
        self.interrupt()

    def interrupt(self) -> None:
        """Cancel the call in progress; `is_needed` decides whether another one follows."""
        if self._call is not None:
            self._call.cancel()

    async def start(self) -> None:
        """Start following."""
        self._loop.start()

    async def close(self) -> None:
        """Stop following."""
        await self._loop.close()

    async def _run(self) -> None:
        while True:
            if not self._is_needed():
                self._is_idle = True
                self._access.release(self)
                await asyncio.sleep(self._idle_s)
                self._idle_s = min(MAX_IDLE_S, 2 * self._idle_s)
                continue
            self._idle_s = MIN_IDLE_S
            if self._position is not None and not self._is_restored and self._is_confirmed():
                self._access.release(self)
                await asyncio.sleep(CONFIRMED_CHECK_S)
                continue
            sent_at = self._clock()
            try:
                update = await self._read_unless_interrupted()
            except _Interrupted:
                self._is_idle = True
                continue
            except HistoryGone:
                log.info("history_gone", topic=self._topic.value, position=self._position)
                self._position = None
                continue
            except PlatformError as error:
                await self._back_off(error)
                continue
            self._note_answer()
            if not self._era.note(update.position.era):
                await asyncio.sleep(INITIAL_RETRY_S)  # the answer is of an older era
                continue
            if self._is_restored and not update.whole:
                continue
            if self._is_restored:
                update = replace(update, restored=True)
                self._is_restored = False
            self._position = max(self.position, update.position)
            self._was_read = True
            self._log_unreadable(update)
            self._apply(
                update, self._store_clock.answer_times(sent_at, self._clock(), update.store_time_s)
            )
            if update.changes:
                await asyncio.sleep(self._poll_times().after_update_s)

    async def _read_unless_interrupted(self) -> FeedUpdate:
        self._call = asyncio.get_running_loop().create_task(self._read())
        try:
            return await self._call
        except asyncio.CancelledError:
            this = asyncio.current_task()
            if this is not None and this.cancelling():
                raise
            raise _Interrupted from None
        finally:
            self._call = None

    async def _read(self) -> FeedUpdate:
        self._reads.add()
        if self._is_restored:
            spread_s = CONFIRMED_SPREAD_S if self._is_confirmed() else URGENT_SPREAD_S
            await asyncio.sleep(self._rng.uniform(0.0, spread_s))
        if self._position is None or self._is_restored:
            return await self._feed.snapshot(self._topic)
        # A call that waits at an unreachable store may hang long after the store is back, and one
        # that does not wait ends soon. After an idle time it confirms at once that the data is
        # current.
        is_urgent = self._lost_since is not None or self._is_idle
        self._is_idle = False
        wait_s = 0.0 if is_urgent else self._poll_times().for_update_s
        return await self._feed.changes(self._topic, self._position, wait_s)

    def _log_unreadable(self, update: FeedUpdate) -> None:
        """Log and count each unreadable item, once per revision."""
        found = [each for each in update.changes if isinstance(each, UnreadableItem)]
        if update.whole:
            listed = {each.key for each in found}
            for key in self._logged_unreadable.keys() - listed:
                del self._logged_unreadable[key]
        for each in found:
            if self._logged_unreadable.get(each.key) == each.revision:
                continue
            self._logged_unreadable[each.key] = each.revision
            self._unreadable.add()
            log.warning(
                "store_entry_unreadable",
                topic=self._topic.value,
                key=each.key,
                revision=each.revision,
                reason=each.reason,
            )

    async def _back_off(self, error: PlatformError) -> None:
        self._metrics.retry(RetryReason.PLATFORM_UNAVAILABLE)
        if self._lost_since is None:
            self._lost_since = self._clock()
            log.warning("store_lost", topic=self._topic.value, error=error)
        await self._access.wait_to_retry(self, self._retry_s * self._rng.uniform(0.5, 1.5))
        self._retry_s = min(MAX_RETRY_S, 2 * self._retry_s)

    def _note_answer(self) -> None:
        self._retry_s = INITIAL_RETRY_S
        self._access.note_answer()
        if self._lost_since is None:
            return
        lost_s = self._clock() - self._lost_since
        log.info("store_regained", topic=self._topic.value, lost_s=round(lost_s, 3))
        self._lost_since = None
        self._on_regained(self._clock())
