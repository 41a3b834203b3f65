"""Checkers: one pure function for each property that must always hold, over a recorded history.

A checker says what broke its property and leaves alone what a recorded fault explains: a caller
whose entry was killed may not know its outcome, but may never be told a wrong one.

    violations = check(recorder.history)
    assert not violations, describe(violations)
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from lacewinggw.errors import ClaimUnreadable
from lacewinggw.lab.facts import FOREVER, AttemptFacts, Facts, RunFacts
from lacewinggw.lab.history import (
    Answered,
    Applied,
    Broken,
    CommandAccepted,
    CommandRefused,
    Event,
    Killed,
    Leaving,
    LogRow,
    NotRun,
    ProcessStarted,
    Returned,
    RunStarted,
    ShutdownAsked,
    Unknown,
    WeightsActivated,
)

OUTCOME_SLACK_S = 5.0
FAULT_MARGIN_S = 5.0
LEAVING_GRACE_S = 5.0
IN_FORCE_S = 6.0


class Property(Enum):
    """What must always hold."""

    WHOLE_WEIGHTS = "whole_weights"
    WHOLE_ANSWERS = "whole_answers"
    NOT_RUN = "not_run"
    AT_MOST_ONCE = "at_most_once"
    LEAVING = "leaving"
    GRACEFUL_SHUTDOWN = "graceful_shutdown"
    CONFIGURATION = "configuration"


@dataclass(frozen=True)
class Violation:
    """A property that was broken: when, for which request, host or command, and how."""

    property: Property
    at: float
    subject: str
    explanation: str

    def __str__(self) -> str:
        return f"{self.at:.3f}s {self.property.value}: {self.subject}: {self.explanation}"


Violations = Iterator[Violation]


# ---- no answer from partial or mixed weights -----------------------------------------------


def check_whole_weights(facts: Facts) -> Violations:
    """Yield activations, runs and answers whose weights are not exactly one published release."""
    for event in facts.history:
        if isinstance(event, WeightsActivated) and (problem := _activation_problem(facts, event)):
            yield Violation(Property.WHOLE_WEIGHTS, event.at, event.host, problem)
    for run in facts.runs.values():
        if problem := _run_problem(facts, run):
            started = run.started
            yield Violation(Property.WHOLE_WEIGHTS, started.at, started.request, problem)
    for attempt in facts.attempts.values():
        if isinstance(attempt.final, Answered) and (problem := _weights_problem(facts, attempt)):
            at = attempt.ended_at
            yield Violation(Property.WHOLE_WEIGHTS, at, attempt.sent.request, problem)


def _activation_problem(facts: Facts, event: WeightsActivated) -> str:
    if event.told != event.held:
        return f"told to serve {event.told} but holds {event.held}"
    if event.held not in facts.releases:
        return f"serves {event.held}, which was never published whole"
    return ""


def _run_problem(facts: Facts, run: RunFacts) -> str:
    weights = run.started.weights
    if weights and weights not in facts.releases:
        return f"ran on {run.started.host} with partial weights {weights}"
    if run.ended is not None and run.ended.weights != weights:
        return f"began on {weights} and ended on {run.ended.weights}"
    return ""


def _weights_problem(facts: Facts, attempt: AttemptFacts) -> str:
    answer = attempt.final
    assert isinstance(answer, Answered)
    runs = list(_runs_that_gave(facts, attempt))
    if not runs or any(run.started.weights == answer.weights_digest for run in runs):
        return ""
    return f"says it is from {answer.weights_digest} but ran on {runs[0].started.weights}"


# ---- every caller receives the whole answer to its own request -----------------------------


def check_whole_answers(facts: Facts) -> Violations:
    """Yield answers that are not what a run of that request gave, and outcomes left out.

    An outcome of unknown, or none, has to be explained by a fault that struck a host of that
    request, by its deadline, or by another attempt at the same request; a claim that could not be
    read by an outage of the store.
    """
    for attempt in facts.attempts.values():
        problem = _answer_problem(facts, attempt)
        if problem:
            at = min(attempt.ended_at, facts.end)
            yield Violation(Property.WHOLE_ANSWERS, at, attempt.sent.request, problem)


def _answer_problem(facts: Facts, attempt: AttemptFacts) -> str:
    match attempt.final:
        case Answered():
            return _content_problem(facts, attempt, attempt.final)
        case None:
            due = attempt.sent.at + attempt.sent.deadline_s + OUTCOME_SLACK_S
            return "never had an outcome" if facts.end > due else ""
        case Unknown(code=cause) | Broken(reason=cause):
            if _is_explained(facts, attempt) or _is_in_a_shutdown(facts, attempt):
                return ""
            return f"ended without a known outcome and no fault explains it ({cause})"
    return ""


def _content_problem(facts: Facts, attempt: AttemptFacts, answer: Answered) -> str:
    if any(True for _ in _runs_that_gave(facts, attempt)):
        return ""
    for run in facts.runs.values():
        if run.ended is not None and run.ended.content_digest == answer.content_digest:
            return f"received the answer to {run.started.request}"
    return f"received {answer.pieces} pieces that no run of it gave"


def _runs_that_gave(facts: Facts, attempt: AttemptFacts) -> Iterator[RunFacts]:
    answer = attempt.final
    assert isinstance(answer, Answered)
    for run in facts.runs_of.get(attempt.sent.request, ()):
        ended = run.ended
        if ended is None:
            continue
        if (ended.content_digest, ended.pieces) == (answer.content_digest, answer.pieces):
            yield run


def _is_explained(facts: Facts, attempt: AttemptFacts) -> bool:
    if attempt.overdue or _claim_was_unreadable(facts, attempt):
        return True
    attempts = facts.attempts_of[attempt.sent.request]
    if isinstance(attempt.final, Unknown) and _is_in_progress_elsewhere(attempt, attempts):
        return True
    begin = min(each.sent.at for each in attempts) - FAULT_MARGIN_S
    if not facts.runs_of.get(attempt.sent.request):
        return facts.anything_disturbed(begin, attempt.ended_at)
    return facts.disturbed(facts.hosts_of(attempt), begin, attempt.ended_at)


def _is_in_progress_elsewhere(attempt: AttemptFacts, attempts: list[AttemptFacts]) -> bool:
    return any(other is not attempt and other.open_at(attempt.ended_at) for other in attempts)


def _claim_was_unreadable(facts: Facts, attempt: AttemptFacts) -> bool:
    """Return whether a key could not be told from one sent before, for an outage of the store."""
    final = attempt.final
    if not isinstance(final, Unknown) or final.code != ClaimUnreadable.code:
        return False
    return any(span.touches(attempt.sent.at, final.at) for span in facts.outages)


def _is_in_a_shutdown(facts: Facts, attempt: AttemptFacts) -> bool:
    return any(_concerns(facts, asked, attempt) for asked in facts.shutdowns)


# ---- "not run" really did not run ----------------------------------------------------------


def check_not_run(facts: Facts) -> Violations:
    """Yield requests that ran although their caller's last word is that they did not.

    While another attempt at the same request is open, its own outcome is the last word.
    """
    for attempt in facts.attempts.values():
        if not isinstance(attempt.final, NotRun):
            continue
        told_at, request = attempt.final.at, attempt.sent.request
        attempts = facts.attempts_of[request]
        if any(other.open_at(told_at) for other in attempts):
            continue
        for run in facts.runs_of.get(request, ()):
            if run.started.at <= told_at or not _may_run(attempts, run.started.at):
                explanation = f"told not run at {told_at:.3f}s, ran on {run.started.host}"
                yield Violation(Property.NOT_RUN, run.started.at, request, explanation)


def _may_run(attempts: Iterable[AttemptFacts], at: float) -> bool:
    """Return whether some attempt sent before `at` had not been told by then that it did not."""
    return any(
        attempt.sent.at <= at and not (isinstance(attempt.final, NotRun) and attempt.final.at <= at)
        for attempt in attempts
    )


# ---- a non-idempotent request runs at most once --------------------------------------------


def check_at_most_once(facts: Facts) -> Violations:
    """Yield each run after the first of a request that is not idempotent."""
    for request, attempts in facts.attempts_of.items():
        if any(attempt.sent.idempotent for attempt in attempts):
            continue
        for run in facts.runs_of.get(request, [])[1:]:
            explanation = f"ran again on {run.started.host}"
            yield Violation(Property.AT_MOST_ONCE, run.started.at, request, explanation)


# ---- a leaving target receives no new work -------------------------------------------------


def check_leaving(facts: Facts, grace_s: float = LEAVING_GRACE_S) -> Violations:
    """Yield runs, on a host that is leaving, of requests sent after the grace period."""
    left: dict[str, float] = {}
    for event in facts.history:
        match event:
            case Leaving():
                left.setdefault(event.host, event.at + event.lag_s + grace_s)
            case Returned() | ProcessStarted():
                left.pop(event.host, None)
            case RunStarted() if event.at > left.get(event.host, FOREVER):
                sent_at = _first_sent_at(facts, event)
                if sent_at > left[event.host]:
                    explanation = f"{event.host} took it {sent_at - left[event.host]:.3f}s late"
                    yield Violation(Property.LEAVING, event.at, event.request, explanation)


def _first_sent_at(facts: Facts, started: RunStarted) -> float:
    attempts = facts.attempts_of.get(started.request)
    return min(each.sent.at for each in attempts) if attempts else started.at


# ---- a graceful shutdown cuts off nothing --------------------------------------------------


def check_graceful_shutdown(facts: Facts) -> Violations:
    """Yield requests in progress on a process that shut down, if they lost their answer by it."""
    for asked in facts.shutdowns:
        for attempt in facts.attempts.values():
            if _was_cut_off(facts, asked, attempt):
                explanation = f"cut off by the shutdown of {asked.host}"
                request = attempt.sent.request
                yield Violation(Property.GRACEFUL_SHUTDOWN, attempt.ended_at, request, explanation)


def _was_cut_off(facts: Facts, asked: ShutdownAsked, attempt: AttemptFacts) -> bool:
    lost = isinstance(attempt.final, Unknown | Broken)
    return lost and _concerns(facts, asked, attempt) and not _is_explained(facts, attempt)


def _concerns(facts: Facts, asked: ShutdownAsked, attempt: AttemptFacts) -> bool:
    """Return whether the process that shut down had the attempt; one started later had no part."""
    in_time = asked.at <= attempt.ended_at < asked.at + asked.limit_s
    ended = [life.end for (host, _), life in facts.lives.items() if host == asked.host]
    gone_at = min((end for end in ended if end >= asked.at), default=FOREVER)
    begun = attempt.sent.at <= gone_at
    return in_time and begun and asked.host in facts.hosts_of(attempt)


# ---- accepted configuration is in force everywhere and never reverts -----------------------


def check_configuration(facts: Facts, in_force_s: float = IN_FORCE_S) -> Violations:
    """Yield lost, doubled and late commands, refused ones in force, and revisions that went back.

    A process has `in_force_s` seconds from the acceptance, from its own start, and from the end
    of whatever disturbed it meanwhile.
    """
    yield from _check_log(facts)
    yield from _check_order(facts)
    yield from _check_agreement(facts)
    yield from _check_force(facts, in_force_s)


def _check_log(facts: Facts) -> Violations:
    rows = {event.revision: event.command for event in facts.history if isinstance(event, LogRow)}
    if not rows:
        return
    for command, count in Counter(rows.values()).items():
        if count > 1:
            yield Violation(Property.CONFIGURATION, facts.end, command, f"applied {count} times")
    for event in facts.history:
        match event:
            case CommandAccepted() if rows.get(event.revision) != event.command:
                met = rows.get(event.revision, "nothing")
                explanation = f"accepted as revision {event.revision}, where the log has {met}"
                yield Violation(Property.CONFIGURATION, event.at, event.command, explanation)
            case CommandRefused() if event.command in rows.values():
                yield Violation(Property.CONFIGURATION, event.at, event.command, "refused but kept")


def _check_order(facts: Facts) -> Violations:
    highest: dict[tuple[str, str], int] = {}
    for event in facts.history:
        if not isinstance(event, Applied):
            continue
        key = (event.host, event.incarnation)
        before = highest.get(key, 0)
        if event.revision < before:
            explanation = f"went back from revision {before} to {event.revision}"
            yield Violation(Property.CONFIGURATION, event.at, event.host, explanation)
        highest[key] = max(before, event.revision)


def _check_agreement(facts: Facts) -> Violations:
    states: dict[int, str] = {}
    for event in facts.history:
        if not isinstance(event, Applied) or not event.state:
            continue
        agreed = states.setdefault(event.revision, event.state)
        if event.state != agreed:
            explanation = f"has another configuration at revision {event.revision} than others"
            yield Violation(Property.CONFIGURATION, event.at, event.host, explanation)


def _check_force(facts: Facts, in_force_s: float) -> Violations:
    applied = _applied_by_process(facts)
    for event in facts.history:
        if not isinstance(event, CommandAccepted):
            continue
        for (host, incarnation), life in facts.lives.items():
            due = _due_at(facts, event, host, life.begin, in_force_s)
            if due > min(life.end, facts.end):
                continue
            seen = applied.get((host, incarnation), [])
            if not any(at <= due and revision >= event.revision for at, revision in seen):
                explanation = f"revision {event.revision} not in force on {host} by {due:.3f}s"
                yield Violation(Property.CONFIGURATION, due, event.command, explanation)


def _applied_by_process(facts: Facts) -> dict[tuple[str, str], list[tuple[float, int]]]:
    seen: dict[tuple[str, str], list[tuple[float, int]]] = defaultdict(list)
    for event in facts.history:
        if isinstance(event, Applied):
            seen[event.host, event.incarnation].append((event.at, event.revision))
    return seen


def _due_at(
    facts: Facts, accepted: CommandAccepted, host: str, born_at: float, in_force_s: float
) -> float:
    """Return when a process has to have the command, pushed back by what disturbs it.

    Only when the accepting entry was killed before it could pass the news on does an outage of the
    platform count as well.
    """
    spans = list(facts.disturbances.get(host, ()))
    if _was_killed(facts, accepted.host, accepted.at, accepted.at + in_force_s):
        spans += facts.outages
    due = max(accepted.at, born_at) + in_force_s
    for span in sorted(spans, key=lambda span: span.begin):
        if span.end >= due - in_force_s and span.begin <= due:
            due = max(due, span.end + in_force_s)
    return due


def _was_killed(facts: Facts, host: str, begin: float, end: float) -> bool:
    return any(
        isinstance(event, Killed) and event.host == host and begin <= event.at <= end
        for event in facts.history
    )


# ---- all together --------------------------------------------------------------------------

CHECKERS: dict[Property, Callable[[Facts], Violations]] = {
    Property.WHOLE_WEIGHTS: check_whole_weights,
    Property.WHOLE_ANSWERS: check_whole_answers,
    Property.NOT_RUN: check_not_run,
    Property.AT_MOST_ONCE: check_at_most_once,
    Property.LEAVING: check_leaving,
    Property.GRACEFUL_SHUTDOWN: check_graceful_shutdown,
    Property.CONFIGURATION: check_configuration,
}


def check(history: Iterable[Event]) -> list[Violation]:
    """Return every violation of every property, in order of time."""
    facts = Facts.from_history(history)
    found = [violation for checker in CHECKERS.values() for violation in checker(facts)]
    return sorted(found, key=lambda violation: violation.at)


def count_by_property(violations: Iterable[Violation]) -> dict[str, int]:
    """Return how many violations each property has, the sound ones with 0."""
    counts = Counter(violation.property for violation in violations)
    return {each.value: counts[each] for each in Property}


def describe(violations: Iterable[Violation]) -> str:
    """Return one line for each violation."""
    return "\n".join(str(violation) for violation in violations)
