"""Tell a target that is silent for a moment from one that has ended, for the agent beside it.

A sound target may answer nothing for a second or so and go on. What was known of it still holds
then. A call that fails at once shows that no process answers at the target's address.
"""

from dataclasses import dataclass
from enum import Enum

# A call that failed sooner than this was refused or broken off. Reports take some ms.
SILENT_CALL_S = 0.5
MAX_SILENCE_S = 2.5  # after which a silent target counts as lost; calls time out after a second


class TargetPresence(Enum):
    """Whether a target answers."""

    PRESENT = "present"
    SILENT = "silent"  # what was known of it still holds, and it begins nothing
    LOST = "lost"


@dataclass
class SilenceMonitor:
    """Whether a target answers, by the calls of its agent; times in seconds.

    monitor = SilenceMonitor()
    monitor.note_answer(now=10.0)
    monitor.note_no_answer(waited_s=1.0, now=11.0)  # TargetPresence.SILENT
    """

    presence: TargetPresence = TargetPresence.LOST  # before the first answer
    _answered_at: float = 0.0

    def note_answer(self, now: float) -> None:
        """Note that the target answered a call."""
        self.presence, self._answered_at = TargetPresence.PRESENT, now

    def note_no_answer(self, waited_s: float, now: float) -> TargetPresence:
        """Note that a call failed after `waited_s`; return whether the target counts as lost."""
        is_silent = waited_s >= SILENT_CALL_S and now - self._answered_at <= MAX_SILENCE_S
        if not is_silent or self.presence is TargetPresence.LOST:
            self.presence = TargetPresence.LOST
        else:
            self.presence = TargetPresence.SILENT
        return self.presence
