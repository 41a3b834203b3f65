"""The clock by which the age of knowledge is counted."""

import time
from collections.abc import Callable

Clock = Callable[[], float]


def read_boot_clock() -> float:
    """Return seconds since the host was booted, the time it was suspended included.

    The clock of the event loop stands still while a host is suspended, so that what a process
    knew before would look fresh when it wakes up.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
