"""How many requests a second a target asks for while it is in need.

A target names a limit in its answers, for all entries together and for as long as its answers have
one. Answers overtake each other: one without a limit ends it only if its request was sent after the
limit was seen.
"""

import math
from dataclasses import dataclass


@dataclass
class TargetRate:
    """The limit that a target has named last; `per_s` is None where there is none.

    `seen_at` is when the last answer came that named or ended a limit, in seconds of a clock that
    goes on while a host is suspended.
    """

    per_s: float | None = None
    seen_at: float = -math.inf

    def note_answer(self, per_s: float | None, asked_at: float, now: float) -> bool:
        """Take what an answer to a request sent at `asked_at` says; return whether it is new."""
        if per_s is None and (self.per_s is None or asked_at < self.seen_at):
            return False
        is_new = per_s != self.per_s
        self.per_s, self.seen_at = per_s, now
        return is_new
