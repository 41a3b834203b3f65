"""The evacuated availability zones, as one process knows them.

The load it handles: operators empty a zone while all zones together are nearly full. Requests for
the zone's targets move to other targets within a second or are refused at once, so every entry must
know the same set soon, also one that the store turns away and one that has just started.

A process learns the set from the store or from another process, in any order. A set is ordered by
its evidence: the store position of the last snapshot or change of an evacuation that it includes.
Store positions without such a change do not count as evidence: while a store drops its history, a
feed may miss a change and still report a newer position. A set without the missed change must not
replace one that has it.

    evacuations = Evacuations()
    evacuations.replace({Place("hall"): now}, update.position, now)
    if entry.place in evacuations.places: ...
"""

from collections.abc import Mapping, Set

from lacewinggw.decisions.storeposition import NO_POSITION, StorePosition
from lacewinggw.ids import Place

# How long an evacuation that a restored store lacks stays in force. Operators' tools write lost
# rows again within this time. Requests to a zone that is still being emptied cost more than targets
# that stay unused for this time.
RESTORE_HOLD_S = 3.0


class Evacuations:
    """The evacuated zones, since when this process has known each, and the evidence for them.

    Times are in seconds by the caller's clock. A zone that is missing from a restored store is held
    for `RESTORE_HOLD_S`, unless a change of its row is read first.
    """

    def __init__(self) -> None:
        self._since: dict[Place, float] = {}
        self._held_until: dict[Place, float] = {}  # zones that a restored store lacks
        self._evidence = NO_POSITION

    @property
    def places(self) -> Set[Place]:
        """The zones whose targets get no requests; the set is kept up to date."""
        return self._since.keys()

    @property
    def listed(self) -> Mapping[Place, float]:
        """The zones that the store lists as of `evidence`, and since when each has been known."""
        return {
            place: since for place, since in self._since.items() if place not in self._held_until
        }

    @property
    def evidence(self) -> StorePosition:
        """The store position of the newest snapshot or change that the set includes."""
        return self._evidence

    @property
    def is_known(self) -> bool:
        """Whether any set has been learned, even an empty one."""
        return self._evidence > NO_POSITION

    def since(self, place: Place) -> float | None:
        """Return since when a zone has been known to be evacuated; None if it is not."""
        return self._since.get(place)

    def replace(self, places: Mapping[Place, float], evidence: StorePosition, now: float) -> bool:
        """Replace the set unless its evidence is newer; return whether the replacement was used.

        `places` has the time since when each zone has been known. A zone that was known before
        keeps its earlier time.
        """
        if evidence < self._evidence or evidence == NO_POSITION:
            return False
        is_restored = self.is_known and evidence.era > self._evidence.era
        self._evidence = evidence
        for place in self._since.keys() - places.keys():
            if is_restored:
                self._held_until[place] = now + RESTORE_HOLD_S
            elif place not in self._held_until:
                self._end(place)
        for place, since in places.items():
            self._start(place, since)
        return True

    def adopt(self, places: Mapping[Place, float], evidence: StorePosition, now: float) -> bool:
        """Replace the set with that of another process if its evidence is newer."""
        return evidence > self._evidence and self.replace(places, evidence, now)

    def apply_changes(
        self, changes: Mapping[Place, bool], evidence: StorePosition, now: float
    ) -> bool:
        """Apply changed rows, whether each zone is now evacuated; return whether they were used.

        Changes up to an older position than the evidence are already included in the set.
        """
        if not changes or evidence <= self._evidence:
            return False
        self._evidence = evidence
        for place, is_evacuated in changes.items():
            if is_evacuated:
                self._start(place, now)
            else:
                self._end(place)
        return True

    def expire(self, now: float) -> None:
        """End the evacuations that a restored store has lacked for `RESTORE_HOLD_S`."""
        for place in [each for each, until in self._held_until.items() if until <= now]:
            self._end(place)

    def _start(self, place: Place, since: float) -> None:
        self._held_until.pop(place, None)
        self._since.setdefault(place, since)

    def _end(self, place: Place) -> None:
        self._held_until.pop(place, None)
        self._since.pop(place, None)
