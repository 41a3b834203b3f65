"""Apply updates of the list of targets to a process's view of the fleet."""

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


def apply_target_list(view: RoutingView, update: FeedUpdate, now: float) -> None:
    """Apply targets that are new, changed or removed; an unreadable one is removed at once."""
    if update.whole:
        view.replace_targets(listed_targets(update), now, update.restored)
    for change in update.changes:
        match change:
            case ItemChanged(TargetEntry() as entry) if not update.whole:
                view.update_target(entry)
            case ItemRemoved(key):
                view.remove_delisted(TargetName(key), now)
            case UnreadableItem(key):
                view.remove_unreadable(TargetName(key))
