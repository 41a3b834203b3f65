"""Taking failing targets out of use for a while, and letting them back with care.

A target goes out after some failures in a row, or when more than half of its recent calls failed.
It comes back by one trial call; a failed trial keeps it out twice as long. No more than a declared
share of a service's targets is out at once: when most fail, the cause is not the targets.
"""

from dataclasses import dataclass, field
from enum import Enum

FAILURE_DECAY = 0.9  # weight of the past in the failing share, per call
FAILING_SHARE = 0.5
MIN_CALLS = 20  # calls before the share says anything
MAX_EJECTION_FACTOR = 16


class EjectionState(Enum):
    """Whether a target may be offered requests."""

    ACTIVE = "in"
    EJECTED = "out"
    ON_TRIAL = "on-trial"  # its time out is over: one call at a time


@dataclass(frozen=True)
class EjectionRules:
    """When targets go out and for how long; times in seconds, the limit as a share."""

    after_failures: int = 5
    ejection_s: float = 5.0
    max_ejected_share: float = 0.5


@dataclass
class TargetHealth:
    """How the calls to one target went."""

    consecutive_failures: int = 0
    failing_share: float = 0.0
    calls: int = 0
    ejections: int = 0
    ejected_until: float | None = None
    trial_running: bool = field(default=False)

    def state(self, now: float) -> EjectionState:
        """Return whether the target may be offered requests at `now`."""
        if self.ejected_until is None:
            return EjectionState.ACTIVE
        return EjectionState.EJECTED if now < self.ejected_until else EjectionState.ON_TRIAL

    def may_call(self, now: float) -> bool:
        """Return whether one more call may go to the target."""
        match self.state(now):
            case EjectionState.ACTIVE:
                return True
            case EjectionState.EJECTED:
                return False
            case EjectionState.ON_TRIAL:
                return not self.trial_running

    def note_begin(self, now: float) -> None:
        """Note that a call goes to the target."""
        if self.state(now) is EjectionState.ON_TRIAL:
            self.trial_running = True

    def note_success(self) -> bool:
        """Note a call that went well; return whether the target came back by it."""
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
        """Note a call that the target or the way to it failed."""
        self.consecutive_failures += 1
        self.failing_share = self.failing_share * FAILURE_DECAY + (1 - FAILURE_DECAY)
        self.calls += 1

    def note_inconclusive(self) -> None:
        """Note the end of a call that says nothing of the target."""
        self.trial_running = False

    def is_failing(self, rules: EjectionRules) -> bool:
        """Return whether the target has failed enough to go out."""
        if self.consecutive_failures >= rules.after_failures:
            return True
        return self.calls >= MIN_CALLS and self.failing_share > FAILING_SHARE

    def eject(self, now: float, rules: EjectionRules) -> None:
        """Take the target out, for longer each time."""
        factor = min(MAX_EJECTION_FACTOR, 1 << self.ejections)
        self.ejections += 1
        self.ejected_until = now + rules.ejection_s * factor
        self.trial_running = False


def may_eject(out_now: int, targets: int, rules: EjectionRules) -> bool:
    """Return whether one more of `targets` may go out when `out_now` are out already."""
    return out_now + 1 <= targets * rules.max_ejected_share


def note_failed_call(
    health: TargetHealth, now: float, out_now: int, targets: int, rules: EjectionRules
) -> bool:
    """Note a call that failed; return whether the target goes out by it."""
    on_trial = health.state(now) is EjectionState.ON_TRIAL
    health.note_failure()
    if on_trial:
        health.eject(now, rules)
        return True
    if health.ejected_until is not None or not health.is_failing(rules):
        return False
    if not may_eject(out_now, targets, rules):
        return False
    health.eject(now, rules)
    return True
