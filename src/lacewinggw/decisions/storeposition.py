"""How far the changes of a store are known.

A store counts its changes. One that comes back from an older copy begins another era and gives out
numbers again, so a number says nothing without its era.
"""

from dataclasses import dataclass


@dataclass(frozen=True, order=True)
class StorePosition:
    """All changes up to `revision` of an era are known; whatever is of a later era comes later.

    >>> StorePosition(2, 10) > StorePosition(1, 500)
    True
    """

    era: int = 0
    revision: int = 0


NO_POSITION = StorePosition()  # nothing is known
