"""Take updates of the list of targets into the knowledge of a process."""

from lacewinggw.decisions.knowledge import Knowledge
from lacewinggw.decisions.targetlist import TargetEntry
from lacewinggw.fleet.feed import Drop, FeedUpdate, Put, Unreadable, listed_targets
from lacewinggw.ids import TargetName


def take_listing(knowledge: Knowledge, update: FeedUpdate, now: float) -> None:
    """Take targets that are new, changed or gone; one that cannot be read is let go at once."""
    if update.whole:
        knowledge.take_whole_list(listed_targets(update), now, update.restored)
    for change in update.changes:
        match change:
            case Put(TargetEntry() as entry) if not update.whole:
                knowledge.take_target(entry)
            case Drop(key):
                knowledge.drop_target(TargetName(key), now)
            case Unreadable(key):
                knowledge.disown_target(TargetName(key))
