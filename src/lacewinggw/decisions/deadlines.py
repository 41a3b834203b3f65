"""Deadlines: a request carries its time left, never a clock reading.

Each process converts the time left to a deadline by its own clock, and passes on what is left then,
less an allowance for the way back.
"""

HOP_ALLOWANCE_S = 0.005
MS_PER_S = 1000.0
MAX_TIME_LEFT_S = 86400.0


def deadline_at(time_left_ms: int, default_ms: int, now: float) -> float:
    """Return the deadline of a request in seconds of the clock of `now`.

    `default_ms` applies to a request that carries no time left.
    """
    left_s = (time_left_ms if time_left_ms > 0 else default_ms) / MS_PER_S
    return now + min(left_s, MAX_TIME_LEFT_S)


def time_left_ms(deadline: float, now: float, allowance_s: float = HOP_ALLOWANCE_S) -> int:
    """Return the time left to pass on, in milliseconds; 0 or less after the deadline."""
    return int((deadline - now - allowance_s) * MS_PER_S)


def has_expired(deadline: float, now: float) -> bool:
    """Return whether the deadline has passed."""
    return now >= deadline


def can_finish(deadline: float, now: float, wait_s: float, run_s: float) -> bool:
    """Return whether a request that waits `wait_s` and runs `run_s` ends before its deadline."""
    return now + wait_s + run_s <= deadline
