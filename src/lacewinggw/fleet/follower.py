"""Follow one topic of a feed, through every failure of the store behind it.

Each update comes with its proof: when the call was sent, and when its answer was composed. A
wait that ends without an update proves that nothing had changed.
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
# Between looks whether the topic has to be read: soon at first, as an entry that starts waits for
# some ms only, then less often, for each look of an idle process costs it a little time.
MIN_IDLE_S = 0.02
MAX_IDLE_S = 0.2
# A store that is back is noticed within half as much again. Three seconds after its return an entry
# counts as in touch, and by then it must have let go of targets that vanished meanwhile.
MAX_RETRY_S = 0.5
# All entries read a store that was restored whole. Those that the others wait for read at once, the
# others within the second in which a restored store is to have all back that processes write.
URGENT_SPREAD_S = 0.1
CONFIRMED_SPREAD_S = 0.8
CONFIRMED_CHECK_S = 0.1  # between looks whether somebody still vouches for what is known


@dataclass(frozen=True)
class PollTimes:
    """How long one call waits for an update, and how long to let more gather after some came."""

    for_update_s: float
    after_update_s: float = 0.0


class _Interrupted(Exception):
    """The call in progress was given up by this process, for it is not needed any more."""


class TopicFollower:
    """Keep a topic up to date; `apply` gets each update with what it proves.

    A connection that has gone silent is noticed after the wait and a little more, so the wait
    bounds how old the knowledge may grow. While `is_needed` says no, as somebody else tells what
    is new, nothing is read; nor while `is_vouched` says yes, as somebody else has read the topic
    lately and knows the same. `on_regained` is called, before `apply`, once the store answers
    again.
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
        self._is_restored = False  # the store is another than the one that was read
        self._call: asyncio.Task[FeedUpdate] | None = None
        self._position: StorePosition | None = None
        self._lost_since: float | None = None
        self._retry_s = INITIAL_RETRY_S
        self._is_idle = False
        self._idle_s = MIN_IDLE_S
        self._reads = metrics.counter("store_reads", topic=topic)
        self._unreadable = metrics.counter("store_entries_unreadable", topic=topic)
        self._reported_unreadable: dict[str, int] = {}  # the revision that was told, by key
        self._loop = Background(f"follow {topic.value}", self._run)

    @property
    def position(self) -> StorePosition:
        """How far the topic is known, as the store counts."""
        return self._position or NO_POSITION

    @property
    def lost_since(self) -> float | None:
        """Since when the store has not answered, or None while it does."""
        return self._lost_since

    def advance_to(self, position: StorePosition) -> None:
        """Note that all up to a position of the store is known from somebody else."""
        if position > self.position:
            self._position = position
            self._is_restored = self._is_restored and position.era < self._era.current

    def _note_new_era(self) -> None:
        """Read the topic whole again: the store may lack what was read, and have had more."""
        self._is_restored = self._was_read
        self.interrupt()

    def interrupt(self) -> None:
        """Give up a call in progress; whether another one is made is asked anew."""
        if self._call is not None:
            self._call.cancel()

    async def start(self) -> None:
        """Begin to follow."""
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
                await asyncio.sleep(INITIAL_RETRY_S)  # of a store that is no more
                continue
            if self._is_restored and not update.whole:
                continue
            if self._is_restored:
                update = replace(update, restored=True)
                self._is_restored = False
            self._position = max(self.position, update.position)
            self._was_read = True
            self._report_unreadable(update)
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
        # A call that waits at a store that is away may hang long after its return; one that does
        # not wait ends soon. After a pause it proves at once that what is known is the newest.
        is_urgent = self._lost_since is not None or self._is_idle
        self._is_idle = False
        wait_s = 0.0 if is_urgent else self._poll_times().for_update_s
        return await self._feed.changes(self._topic, self._position, wait_s)

    def _report_unreadable(self, update: FeedUpdate) -> None:
        """Log and count each entry that cannot be read, once a revision of it."""
        found = [each for each in update.changes if isinstance(each, UnreadableItem)]
        if update.whole:
            listed = {each.key for each in found}
            for key in self._reported_unreadable.keys() - listed:
                del self._reported_unreadable[key]
        for each in found:
            if self._reported_unreadable.get(each.key) == each.revision:
                continue
            self._reported_unreadable[each.key] = each.revision
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
