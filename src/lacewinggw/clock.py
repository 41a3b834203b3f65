"""The clock that measures the age of cached state."""

import time
from collections.abc import Callable

Clock = Callable[[], float]


def read_boot_clock() -> float:
    """Return the seconds since the host was booted, including the time it was suspended.

    The clock of the event loop stops while a host is suspended. By that clock, state cached before
    the suspension would appear fresh afterwards.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
