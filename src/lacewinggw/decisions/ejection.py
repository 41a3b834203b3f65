"""Outlier ejection: failing targets are taken out of use for a while and return by a trial call.

A target is ejected after several consecutive failures, or when more than half of its recent calls
failed. It returns by one successful trial call; a failed trial ejects it for twice as long. At most
a declared share of a service's targets is ejected at once: when most fail, the cause is not the
targets.
"""

from dataclasses import dataclass, field
from enum import Enum

FAILURE_DECAY = 0.9  # weight of earlier calls in the failing share, per call
FAILING_SHARE = 0.5
MIN_CALLS = 20  # before which the failing share is not used
MAX_EJECTION_FACTOR = 16


class EjectionState(Enum):
    """Whether a target may be sent requests."""

    ACTIVE = "in"
    EJECTED = "out"
    ON_TRIAL = "on-trial"  # its ejection time is over: one call at a time


@dataclass(frozen=True)
class EjectionRules:
    """When targets are ejected and for how long, in seconds; `max_ejected_share` per service."""

    after_failures: int = 5
    ejection_s: float = 5.0
    max_ejected_share: float = 0.5


@dataclass
class TargetHealth:
    """The outcomes of recent calls to one target, and its ejection."""

    consecutive_failures: int = 0
    failing_share: float = 0.0
    calls: int = 0
    ejections: int = 0
    ejected_until: float | None = None
    trial_running: bool = field(default=False)

    def state(self, now: float) -> EjectionState:
        """Return whether the target is active, ejected or on trial at `now`."""
        if self.ejected_until is None:
            return EjectionState.ACTIVE
        return EjectionState.EJECTED if now < self.ejected_until else EjectionState.ON_TRIAL

    def may_call(self, now: float) -> bool:
        """Return whether one more call may be sent to the target."""
        match self.state(now):
            case EjectionState.ACTIVE:
                return True
            case EjectionState.EJECTED:
                return False
            case EjectionState.ON_TRIAL:
                return not self.trial_running

    def note_begin(self, now: float) -> bool:
        """Note that a call is sent to the target; return whether it is the trial call."""
        if self.trial_running or self.state(now) is not EjectionState.ON_TRIAL:
            return False
        self.trial_running = True
        return True

    def note_success(self) -> bool:
        """Note a successful call; return whether it ends an ejection."""
        came_back = self.ejected_until is not None
        self.consecutive_failures = 0
        self.failing_share *= FAILURE_DECAY
        self.calls += 1
        self.ejected_until = None
        self.trial_running = False
        if came_back:
            self.failing_share = 0.0
            self.calls = 0
        elif self.failing_share < FAILING_SHARE / 2:
            self.ejections = 0
        return came_back

    def note_failure(self) -> None:
        """Note a call that failed at the target or on the way to it."""
        self.consecutive_failures += 1
        self.failing_share = self.failing_share * FAILURE_DECAY + (1 - FAILURE_DECAY)
        self.calls += 1

    def note_inconclusive(self) -> None:
        """Note the end of a call that shows nothing about the target's health."""
        self.trial_running = False

    def is_failing(self, rules: EjectionRules) -> bool:
        """Return whether the target has failed often enough to be ejected."""
        if self.consecutive_failures >= rules.after_failures:
            return True
        return self.calls >= MIN_CALLS and self.failing_share > FAILING_SHARE

    def eject(self, now: float, rules: EjectionRules) -> None:
        """Eject the target, for twice as long each time up to `MAX_EJECTION_FACTOR`."""
        factor = min(MAX_EJECTION_FACTOR, 1 << self.ejections)
        self.ejections += 1
        self.ejected_until = now + rules.ejection_s * factor
        self.trial_running = False


def may_eject(ejected_now: int, targets: int, rules: EjectionRules) -> bool:
    """Return whether one more of `targets` may be ejected when `ejected_now` are already."""
    return ejected_now + 1 <= targets * rules.max_ejected_share


def note_failed_call(
    health: TargetHealth, now: float, ejected_now: int, targets: int, rules: EjectionRules
) -> bool:
    """Note a failed call; return whether it ejects the target."""
    on_trial = health.state(now) is EjectionState.ON_TRIAL
    health.note_failure()
    if on_trial:
        health.eject(now, rules)
        return True
    if health.ejected_until is not None or not health.is_failing(rules):
        return False
    if not may_eject(ejected_now, targets, rules):
        return False
    health.eject(now, rules)
    return True
