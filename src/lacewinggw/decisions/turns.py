"""When a target takes the weights that are ready beside it.

The load it answers: all targets of a service hold a new version within moments of one another, and
each takes nothing new while its running requests end. In one go the whole service would stop; one
after the other would take too long. So they go in waves by rank, spread over the time that is left
until the version must be everywhere. A target that serves nothing goes at once.
"""

from collections.abc import Collection

from lacewinggw.decisions.pollers import rank_of
from lacewinggw.ids import HostId

WAVES = 3  # a third of a service may be out at once; a wave lasts about one request's time
FIRST_SHARE = 0.5  # of the time allowed: until then the weights are still on their way
LAST_SHARE = 0.8  # the last wave begins here, so that a late order is still in time


def turn_at(host: HostId, hosts: Collection[HostId], learned_at: float, allowed_s: float) -> float:
    """Return when a host's target may take a version that was learned of at `learned_at`.

    `allowed_s` is how long after that the version must be in use; `hosts` are all that take it.
    """
    wave = rank_of("turns", host, hosts) * WAVES // max(1, len(hosts))
    step = (LAST_SHARE - FIRST_SHARE) / (WAVES - 1)
    return learned_at + allowed_s * (FIRST_SHARE + wave * step)
