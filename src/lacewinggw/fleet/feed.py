"""What a store tells of a fleet, whatever the store is.

A feed is one topic at a time: a snapshot first, then the changes after its position. It is the
adapter of a store that implements `FleetFeed`; everything else sees typed items only.

    update = await feed.snapshot(Topic.TARGETS)
    update = await feed.changes(Topic.TARGETS, update.position, wait_s=2.0)
"""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol, TypeAlias

from lacewinggw.clients.membership import Member
from lacewinggw.decisions.routes import RouteTable
from lacewinggw.decisions.storeposition import StorePosition
from lacewinggw.decisions.targetlist import DueVersion, TargetEntry
from lacewinggw.ids import RequestDigest, ServiceName, TargetId


class Topic(Enum):
    """What can be followed."""

    CONFIGURATION = "configuration"  # the routes, and the versions of weights that are due
    TARGETS = "targets"
    MEMBERS = "members"  # the product's own: its processes, and the requests that end targets


@dataclass(frozen=True)
class MemberEntry:
    """A process of the product, under the key by which it is listed."""

    member: Member


@dataclass(frozen=True)
class CrashingRequest:
    """What is known of a request that may end targets, kept where it outlasts all processes.

    `targets` ended under it, one after the other; it is kept away from all if `is_quarantined`.
    """

    request: RequestDigest
    service: ServiceName
    targets: tuple[TargetId, ...]
    is_quarantined: bool


@dataclass(frozen=True)
class QuarantineLifted:
    """A request that is not suspected any more, nor in quarantine."""

    request: RequestDigest


Item: TypeAlias = RouteTable | DueVersion | TargetEntry | MemberEntry | CrashingRequest


@dataclass(frozen=True)
class ItemChanged:
    """An item that is new or has changed."""

    item: Item


@dataclass(frozen=True)
class ItemRemoved:
    """An item that is no more: a target's id, a member's host, or the key of a request."""

    key: str


@dataclass(frozen=True)
class UnreadableItem:
    """An entry that cannot be read, as another writer left or spoilt it: it says nothing.

    `revision` is the store's, so that one entry is told of once.
    """

    key: str
    revision: int
    reason: str


Change: TypeAlias = ItemChanged | ItemRemoved | UnreadableItem


@dataclass(frozen=True)
class FeedUpdate:
    """Changes in order, up to a position; with `whole`, everything that there is.

    With `restored` it is everything that a store has which came back from an older copy: what it
    lacks may be written again, what it has may have been gone before.

    `told_s` is the store's own steady clock as it composed the update; None if it did not say.
    """

    changes: tuple[Change, ...]
    position: StorePosition
    whole: bool = False
    store_time_s: float | None = None
    restored: bool = False


def listed_targets(update: FeedUpdate) -> list[TargetEntry]:
    """Return the targets that an update puts on the list."""
    items = [change.item for change in update.changes if isinstance(change, ItemChanged)]
    return [item for item in items if isinstance(item, TargetEntry)]


class HistoryGone(Exception):
    """The changes after a position are no longer kept: take a snapshot."""


class FleetFeed(Protocol):
    """A store's updates. Both calls raise the kinds of `PlatformError`."""

    async def snapshot(self, topic: Topic) -> FeedUpdate:
        """Return everything of a topic, as of one moment after the call was sent."""

    async def changes(self, topic: Topic, after: StorePosition, wait_s: float) -> FeedUpdate:
        """Return what changed after a position, waiting up to `wait_s` seconds for something.

        Raise `HistoryGone` when it is not known any more.
        """
