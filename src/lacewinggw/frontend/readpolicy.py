"""What an entry reads from the store itself, by who else is heard in its place."""

import math
from collections.abc import Callable, Sequence

from lacewinggw.clock import Clock
from lacewinggw.decisions.routereaders import (
    READERS_PER_PLACE,
    LocalEntry,
    PeerEntry,
    fallback_age_s,
    is_route_reader,
    is_target_list_confirmed,
    rank_in_place,
    start_delay_s,
)
from lacewinggw.decisions.routingview import RoutingView
from lacewinggw.frontend.entryupdates import digest_targets


class StoreReadPolicy:
    """Tells whether this entry is to read, or others read for it.

    `heard` are the entries that were heard lately; `listed` those that the store lists, None while
    the list is not here; `is_fetching` tells whether routes are on their way from another entry.
    """

    def __init__(
        self,
        me: LocalEntry,
        knowledge: RoutingView,
        active_entries: Callable[[], Sequence[PeerEntry]],
        listed_entries: Callable[[], Sequence[PeerEntry] | None],
        is_fetching: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._me = me
        self._knowledge = knowledge
        self._active_entries = active_entries
        self._listed_entries = listed_entries
        self._is_fetching = is_fetching
        self._clock = clock
        self._started_at = math.inf

    @property
    def is_reader(self) -> bool:
        """Whether this entry reads for the others of its place."""
        return is_route_reader(self._me, self._active_entries())

    def note_start(self) -> None:
        """Note that the process starts now."""
        self._started_at = self._clock()

    def is_frequent_reader(self) -> bool:
        """Return whether this entry reads for its place, or nobody vouches for what it knows."""
        rank = rank_in_place(self._me, self._active_entries())
        if rank < READERS_PER_PLACE:
            return True
        return self._knowledge.routes_observed_age_s(self._clock()) >= fallback_age_s(rank)

    def should_read_routes(self) -> bool:
        """Return whether this entry is to read the routes now, as nobody brings them."""
        if self._is_fetching():
            return False
        if self._knowledge.routes is not None:
            return self.is_frequent_reader()
        listed = self._listed_entries()
        rank = None if listed is None else rank_in_place(self._me, listed)
        return self._clock() - self._started_at >= start_delay_s(rank)

    def is_list_confirmed(self) -> bool:
        """Return whether the list of targets need not be read now."""
        if self.is_frequent_reader():
            return False
        return is_target_list_confirmed(digest_targets(self._knowledge), self._active_entries())
