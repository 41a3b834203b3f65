"""Take updates of the list of targets into the knowledge of a process."""

from lacewinggw.decisions.routingview import RoutingView
from lacewinggw.decisions.targetlist import TargetEntry
from lacewinggw.fleet.feed import (
    FeedUpdate,
    ItemChanged,
    ItemRemoved,
    UnreadableItem,
    listed_targets,
)
from lacewinggw.ids import TargetName


def apply_target_list(knowledge: RoutingView, update: FeedUpdate, now: float) -> None:
    """Take targets that are new, changed or gone; one that cannot be read is let go at once."""
    if update.whole:
        knowledge.replace_targets(listed_targets(update), now, update.restored)
    for change in update.changes:
        match change:
            case ItemChanged(TargetEntry() as entry) if not update.whole:
                knowledge.update_target(entry)
            case ItemRemoved(key):
                knowledge.remove_delisted(TargetName(key), now)
            case UnreadableItem(key):
                knowledge.remove_unreadable(TargetName(key))
