"""How slow a target is now, as a multiple of the figures that its operators declare.

The load it handles: a model engine that takes two or three times its declared time, for half a
second or for many seconds. A request that starts there gets its first event later than at a busier
target, and each prompt that starts there makes the gaps of all running streams too long.

The measure is the gap between two events of a stream, as a multiple of the declared time for the
steps of one event. An engine also reads prompts between the steps of running streams. That makes
gaps longer at the declared speed too, but no gap is shorter than the engine's speed allows. The
entry knows few of the prompts, so it takes the least of successive gaps. The agent knows them all,
as it grants their slots, so entries report long gaps to it at once and it tells all entries.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from lacewinggw.decisions.routes import EngineProfile

# A gap, without the time for prompts, below this multiple of the declared one counts as the
# declared speed. A first event takes a third of its objective or less at that speed, so a target
# that is slower by up to this factor still serves it in time.
SLOW_FACTOR = 1.6
# The same for an entry's own measurements. Two successive gaps exceed this in one or two of a
# hundred cases at the declared speed, because of prompts that the entry does not know.
OWN_SLOW_FACTOR = 2.0
GAPS = 2  # successive gaps that all have to be long for an entry
# All streams of a batch get their events at the same time, so events this close are of one step.
# The shortest declared gap is twice as long.
SAME_STEP_S = 0.02
# A measurement this old counts for 1/e of the deviation: a target at 2.5 times its declared time is
# tried again 0.4 s after the entry's last measurement and 0.9 s after the agent's. A shorter time
# lets requests start there again before the next gap, which is long itself, can be measured.
DECAY_S = 1.0
MAX_FACTOR = 10.0  # a target that is slower than this is stalled rather than slow
# A gap is lengthened by prompts that arrived during the gap before, which may have been lengthened
# by prompts itself. Prompts count from this many declared gaps before its start, until a moment
# after it that a granted request needs to reach the target.
PROMPT_GAPS = 4.0
PROMPT_DELAY_S = 0.01
# A gap this long is a pause of the target, which says nothing of its speed afterwards. It counts
# only if the gap before it was as long.
PAUSE_S = 0.4
PROMPTS_KEPT_S = 3.0  # longer than any gap that is measured: callers give up a stream after 2 s
REPORT_PAUSE_S = 0.1  # between two reports of an entry about a target, about a gap at double time


def event_gap_s(engine: EngineProfile) -> float:
    """Return the declared time between two events of a stream in a full batch, in seconds."""
    return engine.stride * (engine.step_s + engine.slots * engine.step_per_request_s)


@dataclass
class TargetSpeed:
    """How slow a target is by an entry's knowledge; times in seconds by the caller's clock.

    speed.note_gap(0.12 / event_gap_s(engine), now)
    speed.note_gap(0.13 / event_gap_s(engine), now + 0.13)
    speed.note_report(2.4, now + 0.2)  # the agent's result
    speed.factor(now + 0.2)
    """

    hears_gaps: bool = False  # whether the target's agent takes reports of gaps
    _gaps: list[float] = field(default_factory=list)  # the newest last
    _measured_at: float = -math.inf
    _told: float = 1.0
    _told_at: float = -math.inf
    _reported_at: float = -math.inf

    def note_gap(self, ratio: float, now: float) -> None:
        """Note a gap between two events, as a multiple of the declared one."""
        ratio = min(MAX_FACTOR, ratio)
        if self._gaps and now - self._measured_at < SAME_STEP_S:
            self._gaps[-1] = min(self._gaps[-1], ratio)
            return
        self._gaps = [*self._gaps, ratio][-GAPS:]
        self._measured_at = now

    def note_report(self, factor: float, now: float) -> None:
        """Note the factor that the target's agent tells."""
        self._told, self._told_at = min(MAX_FACTOR, factor), now

    def take_report(self, now: float) -> bool:
        """Return whether a long gap is to be reported to the agent now, and count it if so."""
        if not self.hears_gaps or now - self._reported_at < REPORT_PAUSE_S:
            return False
        self._reported_at = now
        return True

    def factor(self, now: float) -> float:
        """Return how many times its declared time the target takes; 1 at about that time.

        A newer gap of the usual length shows that the agent's result no longer applies.
        """
        own = min(self._gaps) if len(self._gaps) == GAPS else 1.0
        own = _significant(_faded(own, now - self._measured_at), OWN_SLOW_FACTOR)
        if self._gaps and self._gaps[-1] < OWN_SLOW_FACTOR and self._measured_at >= self._told_at:
            return own
        return max(own, _significant(_faded(self._told, now - self._told_at), SLOW_FACTOR))


@dataclass
class BatchSpeed:
    """How slow a target is by its agent's knowledge; times in seconds by the caller's clock.

    speed.note_prompt(prefill_s=0.03, now=now)
    speed.note_gap(gap_s=0.15, declared_s=0.05, now=now + 0.2)
    speed.factor(now + 0.2)
    """

    _prompts: deque[tuple[float, float]] = field(default_factory=deque)  # when, prefill time
    _factor: float = 1.0
    _measured_at: float = -math.inf
    _pause_ended_at: float = -math.inf

    def note_prompt(self, prefill_s: float, now: float) -> None:
        """Note that a request may start, whose prefill takes `prefill_s` as declared."""
        self._prompts.append((now, prefill_s))
        while now - self._prompts[0][0] > PROMPTS_KEPT_S:
            self._prompts.popleft()

    def note_gap(self, gap_s: float, declared_s: float, now: float) -> None:
        """Note a gap between two events that has just ended at an entry."""
        began = now - gap_s
        read_s = sum(
            prefill_s
            for at, prefill_s in self._prompts
            if began - PROMPT_GAPS * declared_s <= at <= began + PROMPT_DELAY_S
        )
        factor = min(MAX_FACTOR, gap_s / (declared_s + read_s))
        if factor < SLOW_FACTOR or self._is_single_pause(gap_s, now):
            return
        self._factor, self._measured_at = factor, now

    def _is_single_pause(self, gap_s: float, now: float) -> bool:
        """Return whether a gap is a pause that did not begin where the one before it ended.

        The streams of a target report the same pause about when it ends.
        """
        if gap_s < PAUSE_S:
            return False
        ended_at, self._pause_ended_at = self._pause_ended_at, now
        return abs(now - gap_s - ended_at) >= gap_s / 2

    def factor(self, now: float) -> float:
        """Return how many times its declared time the target takes; 1 at about that time."""
        return _significant(_faded(self._factor, now - self._measured_at), SLOW_FACTOR)


@dataclass
class StreamSpeed:
    """Measures the gaps of one stream; `declared_s` is the declared one, 0 if none is declared.

    gap_s = stream.note_events(count=1, now=now)
    if gap_s is not None: ...  # report it to the target's agent
    """

    speed: TargetSpeed
    declared_s: float
    _event_at: float | None = None

    def note_events(self, count: int, now: float, link_s: float = 0.0) -> float | None:
        """Note that events arrived together; return the gap if the agent is to know it.

        The queueing delay `link_s` of the link is not the target's: it makes single events late
        while weights travel over the same link.
        """
        event_at, self._event_at = self._event_at, now
        if event_at is None or self.declared_s <= 0 or not count:
            return None
        gap_s = max(0.0, (now - event_at) / count - link_s)
        self.speed.note_gap(gap_s / self.declared_s, now)
        if gap_s < SLOW_FACTOR * self.declared_s or not self.speed.take_report(now):
            return None
        return gap_s


def _faded(factor: float, age_s: float) -> float:
    return 1.0 + (factor - 1.0) * math.exp(-max(0.0, age_s) / DECAY_S)


def _significant(factor: float, least: float) -> float:
    return factor if factor >= least else 1.0
