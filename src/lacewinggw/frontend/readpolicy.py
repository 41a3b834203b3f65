"""Decide what an entry reads from the store itself, by which entries of its place are active."""

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
    """Decides whether this entry reads the store or relies on other entries.

    `active_entries` returns the entries that sent an update recently; `listed_entries` those that
    the store lists, or None until the list has been read; `is_fetching` whether routes are being
    fetched from another entry.
    """

    def __init__(
        self,
        local_entry: LocalEntry,
        view: RoutingView,
        active_entries: Callable[[], Sequence[PeerEntry]],
        listed_entries: Callable[[], Sequence[PeerEntry] | None],
        is_fetching: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._local_entry = local_entry
        self._view = view
        self._active_entries = active_entries
        self._listed_entries = listed_entries
        self._is_fetching = is_fetching
        self._clock = clock
        self._started_at = math.inf

    @property
    def is_reader(self) -> bool:
        """Whether this entry is a designated reader of its place."""
        return is_route_reader(self._local_entry, self._active_entries())

    def note_start(self) -> None:
        """Record that the process starts now."""
        self._started_at = self._clock()

    def is_frequent_reader(self) -> bool:
        """Return whether this entry reads for its place, or no peer confirms its routes."""
        rank = rank_in_place(self._local_entry, self._active_entries())
        if rank < READERS_PER_PLACE:
            return True
        return self._view.routes_observed_age_s(self._clock()) >= fallback_age_s(rank)

    def should_read_routes(self) -> bool:
        """Return whether this entry is to read the routes now, because no entry sends them."""
        if self._is_fetching():
            return False
        if self._view.routes is not None and self._view.evacuations.is_known:
            return self.is_frequent_reader()
        listed = self._listed_entries()
        rank = None if listed is None else rank_in_place(self._local_entry, listed)
        return self._clock() - self._started_at >= start_delay_s(rank)

    def is_list_confirmed(self) -> bool:
        """Return whether another entry confirms the list of targets, so it need not be read now."""
        if self.is_frequent_reader():
            return False
        return is_target_list_confirmed(digest_targets(self._view), self._active_entries())
