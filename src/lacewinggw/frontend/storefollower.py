"""What an entry believes of its fleet, kept up to date from the store."""

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
    CrashingRequest,
    FeedUpdate,
    FleetFeed,
    ItemChanged,
    ItemRemoved,
    MemberEntry,
    QuarantineLifted,
    Topic,
)
from lacewinggw.fleet.follower import Apply, PollTimes, TopicFollower
from lacewinggw.fleet.listing import apply_target_list
from lacewinggw.fleet.ownrows import crashing_key, parse_crashing_key
from lacewinggw.frontend.leavingtargets import LeavingSource, LeavingTargets
from lacewinggw.ids import HostId, ModelName, TargetId
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics

# The age of the routes stays well within the shortest bound on keys: two entries a place read, and
# the others ask them and are told when something is new; who gets no answer reads itself. Calls
# for the routes then grow with the places, not with the entries.
ROUTES_POLL = PollTimes(for_update_s=1.2, after_update_s=0.4)
# A silent connection is noticed within the bound on leaving targets and a window of stability. Each
# change of the list wakes whoever follows it. Entries that read often tell of targets that leave,
# and agents of weights, so that the others can let changes gather; with the time of a call that is
# still within the two seconds after which a leaving target may get nothing.
READER_TARGETS_POLL = PollTimes(for_update_s=4.0, after_update_s=0.4)
ASKER_TARGETS_POLL = PollTimes(for_update_s=4.0, after_update_s=1.2)
MEMBERS_POLL = PollTimes(for_update_s=15.0, after_update_s=1.0)
MS_PER_S = 1000
EXPIRY_CHECK_S = 0.1  # between looks for targets that did not come back after an outage

log = get_logger(__name__)


class StoreFollower:
    """Follows the store's topics into the knowledge and the pool of targets.

    `reads_often` tells whether this entry reads for its place, or nobody tells it what is new;
    `reads_routes` whether it is to read the routes now, `is_list_vouched` whether another entry has
    read the list of targets lately and has the same.

    `on_change` is called when targets or versions have changed, `on_members` when the list of
    entries has, `on_urgent` when the entries that do not read have to be told something at once:
    routes or versions are new. `departures` is told of targets that leave, `on_crashing` of each
    request that the store lists as one that may end targets, or lists no more; `on_restored` of the
    keys of our own rows that a store has which came back from an older copy.
    """

    def __init__(
        self,
        feed: FleetFeed,
        knowledge: RoutingView,
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
        on_urgent: Callable[[], None],
        on_crashing: Callable[[CrashingRequest | QuarantineLifted], None],
        on_restored: Callable[[Set[str]], None],
    ) -> None:
        self.members: dict[HostId, Member] = {}
        self._feed = feed
        self._knowledge = knowledge
        self._pool = pool
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._store_clock = StoreClock()
        self._access = StoreAccess()
        self.era = StoreEra(metrics)
        self.era.subscribe(self._store_clock.reset)
        self.era.subscribe(lambda: knowledge.record_outage_end(clock()))
        self._is_frequent_reader = is_frequent_reader
        self._on_change = on_change
        self._on_members = on_members
        self._leaving_targets = leaving_targets
        self._on_urgent = on_urgent
        self._on_crashing = on_crashing
        self._on_restored = on_restored
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
        """How far the list of targets is known, as the store counts."""
        return self._targets.position

    def targets_age(self, now: float) -> float:
        """Return how long ago the list of targets was the store's, in seconds."""
        return now - self._targets_read_at

    @property
    def routes_position(self) -> StorePosition:
        """How far routes and versions due are known, as the store counts."""
        return self._configuration.position

    @property
    def has_members(self) -> bool:
        """Whether the list of entries has been read."""
        return self._has_members

    def cancel_routes_read(self) -> None:
        """Stop reading the routes while another entry sends them.

        A copy from the store, ten times as large, would hold up the one that is on its way over the
        same border.
        """
        self._configuration.interrupt()

    def advance_routes(self, position: StorePosition) -> None:
        """Note that another entry gave the routes, and how far its knowledge went."""
        self._configuration.advance_to(position)

    async def start(self) -> None:
        """Begin to follow."""
        for follower in self._followers:
            await follower.start()
        self._expiry.start()

    async def close(self) -> None:
        """Stop following."""
        await self._expiry.close()
        for follower in self._followers:
            await follower.close()

    def note_weights(self, target: TargetId, weights: Mapping[ModelName, int]) -> None:
        """Take what a target was heard to hold."""
        if self._knowledge.update_weights(target, weights):
            self._pool.sync(self._knowledge.targets)

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
            on_regained=self._knowledge.record_outage_end,
        )

    def _targets_poll(self) -> PollTimes:
        return READER_TARGETS_POLL if self._is_frequent_reader() else ASKER_TARGETS_POLL

    def _apply_configuration(self, update: FeedUpdate, proof: AnswerTimes) -> None:
        now = self._clock()
        for change in update.changes:
            match change:
                case ItemChanged(RouteTable() as table) if self._knowledge.update_routes(table):
                    log.info(
                        "routes_taken",
                        version=table.version,
                        source="store",
                        routes=len(table.routes),
                        bytes=len(table.source),
                        age_ms=round((now - proof.sent_at) * MS_PER_S),
                    )
                case ItemChanged(DueVersion() as due) if self._knowledge.require_version(
                    due, now, update.whole
                ):
                    log.info("version_due", model=due.model, version=due.version)
        self._knowledge.confirm_routes(proof.sent_at, proof.composed_at)
        if update.changes:
            self._on_change()
        if update.changes and self._is_frequent_reader():
            self._on_urgent()

    def _apply_targets(self, update: FeedUpdate, proof: AnswerTimes) -> None:
        apply_target_list(self._knowledge, update, self._clock())
        self._targets_read_at = proof.sent_at
        self._has_targets = self._has_targets or update.whole
        self._sync()

    def _sync(self) -> None:
        self._pool.sync(self._knowledge.targets)
        self._on_change()
        self._leaving_targets.publish_new(LeavingSource.LIST)

    def _apply_members(self, update: FeedUpdate, _: AnswerTimes) -> None:
        self._has_members = True
        if update.restored:
            # Those that the copy lacks write themselves again; they count on, as shares go by them.
            self._on_restored(frozenset(_own_keys(update)))
        elif update.whole:
            self.members.clear()
        for change in update.changes:
            match change:
                case ItemChanged(MemberEntry(member)):
                    self.members[member.host] = member
                case ItemChanged(CrashingRequest() as entry):
                    self._on_crashing(entry)
                case ItemRemoved(key) if (request := parse_crashing_key(key)) is not None:
                    self._on_crashing(QuarantineLifted(request))
                case ItemRemoved(key):
                    self.members.pop(HostId(key), None)
        self._on_members()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_CHECK_S)
            known = len(self._knowledge.targets)
            self._knowledge.expire(self._clock())
            if len(self._knowledge.targets) != known:
                self._sync()


def _own_keys(update: FeedUpdate) -> Iterator[str]:
    """Yield the keys of our own rows in the update."""
    for change in update.changes:
        match change:
            case ItemChanged(MemberEntry(member)):
                yield member.host
            case ItemChanged(CrashingRequest(request)):
                yield crashing_key(request)
