"""The position in the change sequence of a store up to which changes are known.

A store numbers its changes. A store that is restored from an older copy starts a new era and reuses
numbers, so a number has no meaning without its era.
"""

from dataclasses import dataclass


@dataclass(frozen=True, order=True)
class StorePosition:
    """All changes up to `revision` of an era are known; positions of later eras compare greater.

    >>> StorePosition(2, 10) > StorePosition(1, 500)
    True
    """

    era: int = 0
    revision: int = 0


NO_POSITION = StorePosition()  # no change is known
