"""Check what callers of a soak have seen against what entries have read and targets have run."""

import math
import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from kept_callers import Attempt, KeptCaller, Outcome
from soak_fleet import Run, RunEnd, SoakFleet

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})  # promise: not run, and never will be
DENIAL_STATUSES = frozenset({400, 401, 403, 404, 413, 431})
ERROR_STATUSES = frozenset({500, 502, 504})
TIME_SLACK_S = 0.05  # before its limit, within which a request may end for lack of time
HELD_SLACK_S = 0.5  # after its limit, within which a request must have ended
GRACE_SHARE = 5 / 6  # of the grace period; what is still running after it may be cut
SENT_AFTER_SIGNAL_S = 3.0  # and was sent no later than this
GRACE_SLACK_S = 1.0  # after the grace period
EVENT = re.compile(rb"id: (\d+)\ndata: piece (\d+)\n\n")


class Fault(Enum):
    """What is wrong about a request."""

    UNANSWERED = "read whole, and closed without an answer"
    CUT = "cut in the middle of its answer while its target was sound"
    HELD = "held past its time limit"
    FALSE_WHOLE = "an answer that looks complete and is not"
    WRONG_EVENTS = "events of a stream missing, twice, or out of order"
    RAN_TWICE = "not idempotent, and run twice"
    TOO_MANY_RUNS = "run at more targets than its route allows"
    REFUSED_AND_RUN = "refused as not run, and run"
    DENIED = "denied although it is allowed"
    STATUS = "a status that no part of the fleet gives"
    STRAY = "bytes on a connection without a request"


@dataclass(frozen=True)
class Finding:
    """A request that broke a rule."""

    fault: Fault
    attempt: Attempt
    runs: tuple[Run, ...]

    def describe(self) -> str:
        """Return the finding in one line for each run."""
        attempt = self.attempt
        text = (
            f"{self.fault.value}: {attempt.call_id} {attempt.wanted.path} at entry {attempt.entry},"
            f" sent {attempt.begun_at:.3f} to {attempt.sent_at:.3f},"
            f" ended {attempt.ended_at:.3f} ({attempt.outcome}),"
            f" status {attempt.status}, {len(attempt.body)} bytes,"
            f" request {attempt.place_on_connection} of its connection,"
            f" allowed {attempt.wanted.left_s:.2f} s"
        )
        for run in self.runs:
            text += (
                f"\n    run at {run.target_id} from {run.begun_at:.3f} to {run.ended_at:.3f}:"
                f" {run.end}, {run.events} events"
            )
        return text


class SoakChecker:
    """Checks the requests of all callers.

    checker = SoakChecker(fleet, callers, events=8, grace_s=8.0)
    findings = checker.find()
    """

    def __init__(
        self, fleet: SoakFleet, callers: Iterable[KeptCaller], events: int, grace_s: float
    ) -> None:
        self._fleet = fleet
        self._callers = list(callers)
        self._events = events
        self._grace_s = grace_s
        self._runs: dict[str, list[Run]] = {}
        for run in fleet.runs:
            self._runs.setdefault(run.call_id, []).append(run)

    @property
    def attempts(self) -> list[Attempt]:
        """The requests of all callers that have ended."""
        every = [attempt for caller in self._callers for attempt in caller.attempts]
        return [attempt for attempt in every if attempt.outcome is not None]

    def find(self) -> list[Finding]:
        """Return what is wrong, in order of time."""
        findings = [
            Finding(fault, attempt, tuple(self._runs.get(attempt.call_id, ())))
            for attempt in self.attempts
            for fault in self._check(attempt)
        ]
        findings += [
            Finding(Fault.STRAY, caller.attempts[-1], ())
            for caller in self._callers
            if caller.stray
        ]
        return sorted(findings, key=lambda finding: finding.attempt.ended_at)

    def count(self) -> Counter[str]:
        """Return how requests ended; those that no entry had read whole are counted apart."""
        counts: Counter[str] = Counter()
        for attempt in self.attempts:
            assert attempt.outcome is not None
            name = attempt.outcome.name.lower()
            if attempt.outcome is Outcome.WHOLE:
                name = str(attempt.status)
                if attempt.status in ERROR_STATUSES and self._is_early_error(attempt):
                    name += " early"
            elif attempt.call_id not in self._fleet.read_at:
                name += " unread"
            counts[name] += 1
        return counts

    def early_errors(self) -> list[Finding]:
        """Return requests ended by an error before their time while their last target was sound."""
        return [
            Finding(Fault.STATUS, attempt, tuple(self._runs.get(attempt.call_id, ())))
            for attempt in self.attempts
            if attempt.has_answer
            and attempt.status in ERROR_STATUSES
            and self._is_early_error(attempt)
        ]

    def _is_early_error(self, attempt: Attempt) -> bool:
        return not (self._is_out_of_time(attempt) or self._broke_off(attempt))

    def _check(self, attempt: Attempt) -> list[Fault]:
        faults: list[Fault] = []
        runs = self._runs.get(attempt.call_id, [])
        if not self._may_repeat(attempt) and len(runs) > 1:
            faults.append(Fault.RAN_TWICE)
        if self._runs_too_often(attempt, runs):
            faults.append(Fault.TOO_MANY_RUNS)
        if not self._events_in_order(attempt):
            faults.append(Fault.WRONG_EVENTS)
        if self._is_held(attempt):
            faults.append(Fault.HELD)
        match attempt.outcome:
            case Outcome.WHOLE:
                faults += self._check_answer(attempt, runs)
            case Outcome.CLOSED if self._is_lost_unanswered(attempt):
                faults.append(Fault.UNANSWERED)
            case Outcome.CUT if not self._may_be_cut(attempt):
                faults.append(Fault.CUT)
        return faults

    def _check_answer(self, attempt: Attempt, runs: list[Run]) -> list[Fault]:
        status = attempt.status
        if status == 200:
            return [] if self._is_complete(attempt) else [Fault.FALSE_WHOLE]
        if status in NOT_RUN_STATUSES:
            return [Fault.REFUSED_AND_RUN] if runs else []
        if status in DENIAL_STATUSES:
            return [Fault.DENIED]
        return [] if status in ERROR_STATUSES else [Fault.STATUS]

    def _may_repeat(self, attempt: Attempt) -> bool:
        return attempt.wanted.path.startswith(("/report/", "/tally/"))

    def _runs_too_often(self, attempt: Attempt, runs: list[Run]) -> bool:
        """Return whether more targets ran it than allowed, without those that broke it off."""
        admission = self._fleet.admissions.get(attempt.call_id)
        if admission is None or admission.timeout_s is None:
            return False
        return sum(_break_of(run) > attempt.ended_at for run in runs) > admission.attempts

    def _is_stream(self, attempt: Attempt) -> bool:
        return attempt.wanted.path.startswith("/report")

    def _is_complete(self, attempt: Attempt) -> bool:
        seal = attempt.headers.get("x-response-seal", "")
        if not seal or attempt.headers.get("x-attempt-id") != attempt.call_id:
            return False
        if not self._is_stream(attempt):
            return attempt.body == b"answer of " + seal.removeprefix("seal-of-").encode()
        return len(EVENT.findall(attempt.body)) == self._events

    def _events_in_order(self, attempt: Attempt) -> bool:
        """Return whether a stream's answer is a sequence of whole events from the first one on."""
        if not self._is_stream(attempt) or attempt.status != 200:
            return True
        numbers = EVENT.findall(attempt.body)
        wanted = b"".join(
            b"id: %d\ndata: piece %d\n\n" % (number, number)
            for number in range(1, len(numbers) + 1)
        )
        return attempt.body == wanted

    def _time_allowed_s(self, attempt: Attempt) -> float | None:
        """Return the shorter one of the request's time limit and the timeout of its route.

        Return None if no entry has begun to serve it.
        """
        admission = self._fleet.admissions.get(attempt.call_id)
        if admission is None:
            return None
        timeout_s = math.inf if admission.timeout_s is None else admission.timeout_s
        return min(attempt.wanted.left_s, timeout_s)

    def _is_out_of_time(self, attempt: Attempt) -> bool:
        """Return whether the time was up; it starts when the entry has read the head."""
        allowed_s = self._time_allowed_s(attempt)
        if allowed_s is None:
            return False
        return attempt.ended_at >= attempt.begun_at + allowed_s - TIME_SLACK_S

    def _is_held(self, attempt: Attempt) -> bool:
        allowed_s = self._time_allowed_s(attempt)
        if allowed_s is None:
            return False
        return attempt.ended_at > attempt.sent_at + allowed_s + HELD_SLACK_S

    def _broke_off(self, attempt: Attempt) -> bool:
        """Return whether the targets broke the request off, or ended.

        These are the target of which the caller got the last event, or else the one at which the
        request ran last, and all at which it began after that.
        """
        runs = [
            run for run in self._runs.get(attempt.call_id, []) if run.begun_at <= attempt.ended_at
        ]
        if not runs:
            ends = [at for target in self._fleet.targets.values() for at in target.ended_at]
            return any(attempt.begun_at <= at <= attempt.ended_at for at in ends)
        used = max(runs, key=lambda run: (run.event_at, run.begun_at))
        broke_at = _break_of(used)
        if broke_at > attempt.ended_at:
            return False
        later = [run for run in runs if run.begun_at >= broke_at]
        return all(_break_of(run) <= attempt.ended_at for run in later)

    def _is_at_end_of_grace(self, attempt: Attempt) -> bool:
        """Return whether a target was still at work on the request when its entry had to stop."""
        runs = self._runs.get(attempt.call_id, [])
        is_running = any(run.end is None or run.ended_at >= attempt.ended_at for run in runs)
        return is_running and any(
            entry == attempt.entry
            and attempt.connected_at <= at + SENT_AFTER_SIGNAL_S
            and attempt.sent_at <= at + SENT_AFTER_SIGNAL_S
            and GRACE_SHARE * self._grace_s
            <= attempt.ended_at - at
            <= self._grace_s + GRACE_SLACK_S
            for entry, at in self._fleet.signalled
        )

    def _is_lost_unanswered(self, attempt: Attempt) -> bool:
        return attempt.call_id in self._fleet.read_at and not self._is_at_end_of_grace(attempt)

    def _may_be_cut(self, attempt: Attempt) -> bool:
        return (
            self._is_out_of_time(attempt)
            or self._broke_off(attempt)
            or self._is_at_end_of_grace(attempt)
        )


def _break_of(run: Run) -> float:
    """Return when the target of a run broke it off or ended; infinite if it did not."""
    ends = [at for at in run.target.ended_at if at >= run.begun_at]
    if run.end is RunEnd.BROKEN:
        ends.append(run.ended_at)
    return min(ends, default=math.inf)
