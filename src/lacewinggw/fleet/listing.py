"""Apply updates of the lists of targets and of evacuations to a process's view of the fleet."""

from lacewinggw.decisions.evacuation import Evacuations
from lacewinggw.decisions.routingview import RoutingView
from lacewinggw.decisions.targetlist import TargetEntry
from lacewinggw.fleet.feed import (
    EvacuationEnded,
    FeedUpdate,
    ItemChanged,
    ItemRemoved,
    PlaceEvacuation,
    UnreadableItem,
    listed_targets,
)
from lacewinggw.ids import Place, TargetName


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


def apply_evacuations(evacuations: Evacuations, update: FeedUpdate, now: float) -> None:
    """Apply the evacuations in an update of the configuration."""
    changes: dict[Place, bool] = {}
    for change in update.changes:
        match change:
            case ItemChanged(PlaceEvacuation(place)):
                changes[place] = True
            case EvacuationEnded(place):
                changes[place] = False
    if update.whole:
        listed = {place: now for place, is_evacuated in changes.items() if is_evacuated}
        evacuations.replace(listed, update.position, now)
    else:
        evacuations.apply_changes(changes, update.position, now)
