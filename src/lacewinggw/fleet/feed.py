"""The interface to a store that describes a fleet, independent of the kind of store.

Each topic is read as a snapshot, followed by the changes after its position. The adapter of a store
implements `FleetFeed`; all other code uses typed items only.

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
from lacewinggw.ids import ContentId, Place, ServiceName, TargetId


class Topic(Enum):
    """A topic that can be followed."""

    CONFIGURATION = "configuration"  # routes, required versions of weights, and evacuations
    TARGETS = "targets"
    MEMBERS = "members"  # this product's own rows: its processes, and what crashes targets


@dataclass(frozen=True)
class MemberEntry:
    """A process of this product that the store lists."""

    member: Member


@dataclass(frozen=True)
class CrashingContent:
    """A request or prompt part that may crash targets, as persisted in the store.

    `targets` are those that crashed while running it, in order. If `is_quarantined`, it is sent to
    no target.
    """

    content: ContentId
    service: ServiceName
    targets: tuple[TargetId, ...]
    is_quarantined: bool


@dataclass(frozen=True)
class QuarantineLifted:
    """A request or prompt part that is no longer suspected or quarantined."""

    content: ContentId


@dataclass(frozen=True)
class PlaceEvacuation:
    """A request of the operators to send nothing more to the targets of a place."""

    place: Place


Item: TypeAlias = (
    RouteTable | DueVersion | PlaceEvacuation | TargetEntry | MemberEntry | CrashingContent
)


@dataclass(frozen=True)
class ItemChanged:
    """An item that is new or has changed."""

    item: Item


@dataclass(frozen=True)
class ItemRemoved:
    """The key of a removed item: a target's id, a member's host, or the key of a content."""

    key: str


@dataclass(frozen=True)
class EvacuationEnded:
    """A place whose targets may get requests again."""

    place: Place


@dataclass(frozen=True)
class UnreadableItem:
    """An item that cannot be decoded, for example after a faulty write of another client.

    `revision` is the store's revision of it, so that each revision is reported once.
    """

    key: str
    revision: int
    reason: str


Change: TypeAlias = ItemChanged | ItemRemoved | EvacuationEnded | UnreadableItem


@dataclass(frozen=True)
class FeedUpdate:
    """Changes in order up to a position; all items of the topic if `whole`.

    If `restored`, it is the complete content of a store that was restored from an older copy: items
    that it lacks may be written again, and items in it may have been removed before the restore.

    `store_time_s` is the store's monotonic clock when it composed the update, or None if not sent.
    """

    changes: tuple[Change, ...]
    position: StorePosition
    whole: bool = False
    store_time_s: float | None = None
    restored: bool = False


def listed_targets(update: FeedUpdate) -> list[TargetEntry]:
    """Return the targets that an update adds or changes."""
    items = [change.item for change in update.changes if isinstance(change, ItemChanged)]
    return [item for item in items if isinstance(item, TargetEntry)]


class HistoryGone(Exception):
    """The store no longer has the changes after a position; a snapshot is needed."""


class FleetFeed(Protocol):
    """Reads a store's updates. Both calls raise subclasses of `PlatformError`."""

    async def snapshot(self, topic: Topic) -> FeedUpdate:
        """Return all items of a topic, consistent as of one time after the call was sent."""

    async def changes(self, topic: Topic, after: StorePosition, wait_s: float) -> FeedUpdate:
        """Return the changes after a position, waiting up to `wait_s` seconds for one.

        Raise `HistoryGone` if the store no longer has them.
        """
