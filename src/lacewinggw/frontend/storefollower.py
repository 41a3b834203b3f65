"""Keep an entry's view of the fleet up to date from the operators' store."""

import asyncio
import math
import random
from collections.abc import Callable, Iterator, Mapping, Set

from lacewinggw.background import Background
from lacewinggw.clients.membership import Member
from lacewinggw.clock import Clock
from lacewinggw.decisions.dispatch import TargetPool
from lacewinggw.decisions.routes import RouteTable
from lacewinggw.decisions.routingview import RoutingView
from lacewinggw.decisions.storeclock import AnswerTimes, StoreClock
from lacewinggw.decisions.storeposition import StorePosition
from lacewinggw.decisions.targetlist import DueVersion
from lacewinggw.fleet.access import StoreAccess
from lacewinggw.fleet.era import StoreEra
from lacewinggw.fleet.feed import (
    CrashingContent,
    FeedUpdate,
    FleetFeed,
    ItemChanged,
    ItemRemoved,
    MemberEntry,
    QuarantineLifted,
    Topic,
)
from lacewinggw.fleet.follower import Apply, PollTimes, TopicFollower
from lacewinggw.fleet.listing import apply_evacuations, apply_target_list
from lacewinggw.fleet.ownrows import crashing_key, parse_crashing_key
from lacewinggw.frontend.evacuations import EvacuationMonitor, EvacuationSource
from lacewinggw.frontend.leavingtargets import LeavingSource, LeavingTargets
from lacewinggw.frontend.routeslog import RoutesLog
from lacewinggw.ids import HostId, ModelName, TargetId
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics

# Keeps the age of the routes well within the shortest time after which a key must be rejected. Two
# entries per place read the routes; the others ask them and are notified of changes, and an entry
# that gets no answer reads the store itself. So reads grow with the number of places, not entries.
ROUTES_POLL = PollTimes(for_update_s=1.2, after_update_s=0.4)
# A silent connection is noticed within the time limit for leaving targets plus a stability window.
# Each change of the list wakes all of its followers. Frequent readers notify the others of leaving
# targets, and agents report weights, so the others can let changes accumulate. Even with the time
# of a call, that stays within the 2 s after which a leaving target must get no requests.
READER_TARGETS_POLL = PollTimes(for_update_s=4.0, after_update_s=0.4)
ASKER_TARGETS_POLL = PollTimes(for_update_s=4.0, after_update_s=1.2)
MEMBERS_POLL = PollTimes(for_update_s=15.0, after_update_s=1.0)
EXPIRY_CHECK_S = 0.1  # interval of the check for targets that did not return after an outage

log = get_logger(__name__)


class StoreFollower:
    """Follows the topics of the store and updates the cached view and the target pool.

    `is_frequent_reader` returns whether this entry reads for its place, or gets no updates from
    other entries; `should_read_routes` whether it is to read the routes now; `is_list_confirmed`
    whether another entry has read the same list of targets recently.

    `on_change` is called when targets or versions have changed, `on_members` when the list of
    entries has changed, and `on_urgent` when routes or versions are new and the entries that do not
    read must be notified at once. `leaving_targets` is updated with targets that leave, and
    `evacuations` publishes changes of the evacuated zones.
    `on_crashing` is called for each request that the store lists, or no longer lists, as crashing
    targets. `on_target_rows` is called with each update of the targets once it is applied.
    `on_restored` is called with the keys of this product's rows in a store that was
    restored from an older copy.
    """

    def __init__(
        self,
        feed: FleetFeed,
        view: RoutingView,
        pool: TargetPool,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        is_frequent_reader: Callable[[], bool],
        should_read_routes: Callable[[], bool],
        is_list_confirmed: Callable[[], bool],
        on_change: Callable[[], None],
        on_members: Callable[[], None],
        leaving_targets: LeavingTargets,
        evacuations: EvacuationMonitor,
        on_urgent: Callable[[], None],
        on_crashing: Callable[[CrashingContent | QuarantineLifted], None],
        on_restored: Callable[[Set[str]], None],
        on_target_rows: Callable[[FeedUpdate, AnswerTimes], None],
        routes_log: RoutesLog,
    ) -> None:
        self.members: dict[HostId, Member] = {}
        self._feed = feed
        self._view = view
        self._pool = pool
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._store_clock = StoreClock()
        self._access = StoreAccess()
        self.era = StoreEra(metrics)
        self.era.subscribe(self._store_clock.reset)
        self.era.subscribe(lambda: view.record_outage_end(clock()))
        self._is_frequent_reader = is_frequent_reader
        self._on_change = on_change
        self._on_members = on_members
        self._leaving_targets = leaving_targets
        self._evacuations = evacuations
        self._on_urgent = on_urgent
        self._on_crashing = on_crashing
        self._on_restored = on_restored
        self._on_target_rows = on_target_rows
        self._routes_log = routes_log
        self._has_targets = False
        self._targets_read_at = -math.inf
        self._has_members = False
        self._targets = self._follow(
            Topic.TARGETS, self._apply_targets, self._targets_poll, is_confirmed=is_list_confirmed
        )
        self._configuration = self._follow(
            Topic.CONFIGURATION,
            self._apply_configuration,
            lambda: ROUTES_POLL,
            should_read_routes,
        )
        self._followers = [
            self._configuration,
            self._targets,
            self._follow(Topic.MEMBERS, self._apply_members, lambda: MEMBERS_POLL),
        ]
        self._expiry = Background("expiry", self._expire)

    @property
    def has_targets(self) -> bool:
        """Whether the list of targets has been read."""
        return self._has_targets

    @property
    def targets_position(self) -> StorePosition:
        """The store position up to which the list of targets has been read."""
        return self._targets.position

    def targets_age(self, now: float) -> float:
        """Return how long ago the list of targets was current in the store, in seconds."""
        return now - self._targets_read_at

    @property
    def routes_position(self) -> StorePosition:
        """The store position up to which routes and required versions are known."""
        return self._configuration.position

    @property
    def has_members(self) -> bool:
        """Whether the list of entries has been read."""
        return self._has_members

    def cancel_routes_read(self) -> None:
        """Cancel a read of the routes from the store while another entry sends them.

        The copy from the store is ten times as large and would delay the one from the entry, which
        crosses the same link between places.
        """
        self._configuration.interrupt()

    def advance_routes(self, position: StorePosition) -> None:
        """Record that another entry sent the routes, which are current up to `position`."""
        self._configuration.advance_to(position)

    async def start(self) -> None:
        """Start following the store."""
        for follower in self._followers:
            await follower.start()
        self._expiry.start()

    async def close(self) -> None:
        """Stop following."""
        await self._expiry.close()
        for follower in self._followers:
            await follower.close()

    def note_weights(self, target: TargetId, weights: Mapping[ModelName, int]) -> None:
        """Record the versions of weights that a target reported."""
        if self._view.update_weights(target, weights):
            self._pool.sync(self._view.targets)

    def _follow(
        self,
        topic: Topic,
        apply: Apply,
        poll_times: Callable[[], PollTimes],
        is_needed: Callable[[], bool] = lambda: True,
        is_confirmed: Callable[[], bool] = lambda: False,
    ) -> TopicFollower:
        return TopicFollower(
            topic,
            self._feed,
            apply,
            poll_times,
            self._clock,
            self._metrics,
            self._rng,
            self._store_clock,
            self.era,
            self._access,
            is_needed,
            is_confirmed,
            on_regained=self._view.record_outage_end,
        )

    def _targets_poll(self) -> PollTimes:
        return READER_TARGETS_POLL if self._is_frequent_reader() else ASKER_TARGETS_POLL

    def _apply_configuration(self, update: FeedUpdate, times: AnswerTimes) -> None:
        now = self._clock()
        apply_evacuations(self._view.evacuations, update, now)
        for change in update.changes:
            match change:
                case ItemChanged(RouteTable() as table) if self._view.update_routes(table):
                    self._routes_log.note_taken(table, len(table.source), now - times.sent_at)
                case ItemChanged(DueVersion() as due) if self._view.require_version(
                    due, now, update.whole
                ):
                    log.info("version_due", model=due.model, version=due.version)
        self._view.confirm_routes(times.sent_at, times.composed_at)
        self._evacuations.publish_new(EvacuationSource.STORE)
        if update.changes:
            self._on_change()
        if update.changes and self._is_frequent_reader():
            self._on_urgent()

    def _apply_targets(self, update: FeedUpdate, times: AnswerTimes) -> None:
        apply_target_list(self._view, update, self._clock())
        self._targets_read_at = times.sent_at
        self._has_targets = self._has_targets or update.whole
        self._sync()
        self._on_target_rows(update, times)

    def _sync(self) -> None:
        self._pool.sync(self._view.targets)
        self._on_change()
        self._leaving_targets.publish_new(LeavingSource.LIST)

    def _apply_members(self, update: FeedUpdate, _: AnswerTimes) -> None:
        self._has_members = True
        if update.restored:
            # Members that the copy lacks rewrite their own rows. They are kept here meanwhile,
            # because shares of limits depend on the number of entries.
            self._on_restored(frozenset(_own_keys(update)))
        elif update.whole:
            self.members.clear()
        for change in update.changes:
            match change:
                case ItemChanged(MemberEntry(member)):
                    self.members[member.host] = member
                case ItemChanged(CrashingContent() as entry):
                    self._on_crashing(entry)
                case ItemRemoved(key) if (content := parse_crashing_key(key)) is not None:
                    self._on_crashing(QuarantineLifted(content))
                case ItemRemoved(key):
                    self.members.pop(HostId(key), None)
        self._on_members()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_CHECK_S)
            known = len(self._view.targets)
            self._view.expire(self._clock())
            self._evacuations.publish_new(EvacuationSource.STORE)
            if len(self._view.targets) != known:
                self._sync()


def _own_keys(update: FeedUpdate) -> Iterator[str]:
    """Yield the keys of this product's rows in an update."""
    for change in update.changes:
        match change:
            case ItemChanged(MemberEntry(member)):
                yield member.host
            case ItemChanged(CrashingContent(content)):
                yield crashing_key(content)
