"""The agent's registry of runs, and the decisions of entries on claims and errors."""

import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from lacewinggw.decisions.atmostonce import (
    RETENTION_S,
    AcceptedRun,
    AlreadyTaken,
    Rejected,
    RejectionCause,
    RunId,
    RunRegistry,
    RunState,
    run_id,
)
from lacewinggw.decisions.claims import (
    Claim,
    ClaimState,
    Join,
    Refuse,
    Replace,
    claim_key,
    needs_withdrawal,
    never_starts,
    resolve,
)
from lacewinggw.decisions.outcomes import AttemptContext, GiveUp, Restart, Retry, next_step
from lacewinggw.errors import (
    AnswerIncomplete,
    ConnectionLost,
    DeadlinePassed,
    KeyReused,
    MalformedHttp,
    NoTarget,
    Outcome,
    Overloaded,
    RetryBudgetSpent,
    TargetFailed,
    TicketExpired,
    Unreachable,
    Withdrawn,
    error_classes,
)
from lacewinggw.generated.messages.ttypes import Standing
from lacewinggw.ids import Incarnation

OWN = Incarnation("mine")


def make_registry(incarnation: str = OWN) -> RunRegistry:
    return RunRegistry(Incarnation(incarnation), random.Random(1))


def test_a_reservation_can_be_taken_once() -> None:
    registry = make_registry()
    nonce = registry.reserve(5.0, 0.0)
    assert registry.take(nonce, 1.0, True) == AcceptedRun()
    assert registry.take(nonce, 1.0, True) == AlreadyTaken(RunState.TAKEN)


def test_a_reservation_expires_by_the_agents_own_clock() -> None:
    registry = make_registry()
    nonce = registry.reserve(5.0, 0.0)
    assert registry.take(nonce, 5.0, True) == Rejected(RejectionCause.LAPSED)


def test_a_withdrawn_run_never_starts() -> None:
    registry = make_registry()
    nonce = registry.reserve(5.0, 0.0)
    assert registry.withdraw(nonce, 1.0, True) is Standing.NEVER_STARTED
    assert registry.take(nonce, 1.0, True) == Rejected(RejectionCause.WITHDRAWN)
    late = run_id("", "request", 1)
    assert registry.withdraw(late, 1.0, False) is Standing.NEVER_STARTED
    assert registry.take(late, 1.0, False) == Rejected(RejectionCause.WITHDRAWN)


def test_a_waiting_run_can_be_withdrawn_and_a_started_one_cannot() -> None:
    registry = make_registry()
    waiting, started = RunId("a/1"), RunId("b/1")
    for run in (waiting, started):
        registry.take(run, 0.0, False)
    assert registry.start(started, 0.0)
    assert registry.withdraw(started, 0.0, False) is Standing.STARTED
    assert registry.withdraw(waiting, 0.0, False) is Standing.NEVER_STARTED
    assert not registry.start(waiting, 0.0)
    registry.finish(started, 0.0)
    assert registry.withdraw(started, 0.0, False) is Standing.FINISHED


def test_a_nonce_of_another_incarnation_is_unknown() -> None:
    nonce = make_registry("before").reserve(5.0, 0.0)
    registry = make_registry("after")
    assert registry.take(nonce, 0.0, True) == Rejected(RejectionCause.OTHER_INCARNATION)
    assert registry.withdraw(nonce, 0.0, True) is Standing.UNKNOWN


def test_a_dropped_run_is_not_reported_as_never_started() -> None:
    registry = make_registry()
    nonce = registry.reserve(5.0, 0.0)
    registry.take(nonce, 0.0, True)
    registry.start(nonce, 0.0)
    registry.finish(nonce, 0.0)
    later = 2 * RETENTION_S
    assert registry.take(nonce, later, True) == Rejected(RejectionCause.FORGOTTEN)
    assert registry.withdraw(nonce, later, True) is Standing.UNKNOWN
    assert len(registry) == 0


class Runs(RuleBasedStateMachine):
    """Under any sequence of calls, no run starts twice or after its withdrawal."""

    @initialize()
    def begin(self) -> None:
        self.registry = make_registry()
        self.now = 0.0
        self.names: list[tuple[RunId, bool]] = [(RunId(f"{n}/1"), False) for n in range(3)]
        self.started: list[RunId] = []
        self.withdrawn: set[RunId] = set()

    @rule(life=st.sampled_from([1.0, 10.0]))
    def reserve(self, life: float) -> None:
        self.names.append((self.registry.reserve(life, self.now), True))

    @rule(number=st.integers(0, 8))
    def take_and_start(self, number: int) -> None:
        name, is_nonce = self.names[number % len(self.names)]
        if self.registry.take(name, self.now, is_nonce) == AcceptedRun() and number % 2:
            assert self.registry.start(name, self.now)
            self.started.append(name)

    @rule(number=st.integers(0, 8))
    def start_late(self, number: int) -> None:
        name, _ = self.names[number % len(self.names)]
        if self.registry.start(name, self.now):
            self.started.append(name)

    @rule(number=st.integers(0, 8))
    def finish(self, number: int) -> None:
        if self.started:
            self.registry.finish(self.started[number % len(self.started)], self.now)

    @rule(number=st.integers(0, 8))
    def withdraw(self, number: int) -> None:
        name, is_nonce = self.names[number % len(self.names)]
        if self.registry.withdraw(name, self.now, is_nonce) is Standing.NEVER_STARTED:
            assert name not in self.started
            self.withdrawn.add(name)

    @rule(seconds=st.sampled_from([0.5, 5.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def each_starts_at_most_once(self) -> None:
        assert len(set(self.started)) == len(self.started)
        assert not self.withdrawn & set(self.started)


TestRuns = Runs.TestCase


def test_claims_are_joined_replaced_or_refused() -> None:
    claim = Claim("digest", "10.0.0.1:7000", "i", "n")
    assert Claim.from_text(claim.to_text()) == claim
    assert resolve(claim, "digest") == Join()
    released = Claim("digest", "10.0.0.1:7000", "i", "n", ClaimState.RELEASED)
    assert resolve(released, "digest") == Replace()
    refused = resolve(claim, "other")
    assert isinstance(refused, Refuse) and isinstance(refused.error, KeyReused)
    assert claim_key("a", "bc", "d") != claim_key("ab", "c", "d")


def test_only_some_refusals_prove_that_a_reservation_never_starts() -> None:
    assert never_starts(Withdrawn("")) and never_starts(TicketExpired(""))
    assert needs_withdrawal(Overloaded("")) and not needs_withdrawal(TargetFailed(""))


def test_a_request_that_may_have_run_is_never_reported_as_not_run() -> None:
    for kind in error_classes():
        step = next_step(kind("reason"), AttemptContext(repeatable=False, may_have_run=True))
        assert isinstance(step, Retry) or step.error.outcome is Outcome.UNKNOWN, kind


def test_every_final_error_has_an_outcome() -> None:
    for kind in error_classes():
        step = next_step(kind("reason"), AttemptContext(repeatable=False))
        if isinstance(step, GiveUp):
            assert step.error.outcome in (Outcome.NOT_RUN, Outcome.UNKNOWN), kind


@pytest.mark.parametrize("error", [ConnectionLost(""), TargetFailed(""), AnswerIncomplete("")])
def test_without_proof_only_a_repeatable_request_is_retried(error: Exception) -> None:
    assert isinstance(next_step(error, AttemptContext(repeatable=False)), GiveUp)
    assert isinstance(next_step(error, AttemptContext(repeatable=True)), Retry)


@pytest.mark.parametrize("error", [Overloaded(""), Unreachable(""), Withdrawn(""), NoTarget("")])
def test_with_proof_any_request_is_retried(error: Exception) -> None:
    assert isinstance(next_step(error, AttemptContext(repeatable=False)), Retry)


@pytest.mark.parametrize("error", [MalformedHttp(""), KeyReused(""), RetryBudgetSpent("")])
def test_errors_that_would_repeat_are_not_retried(error: Exception) -> None:
    assert isinstance(next_step(error, AttemptContext(repeatable=True)), GiveUp)


def test_a_passed_deadline_is_not_retried() -> None:
    assert isinstance(next_step(DeadlinePassed(""), AttemptContext(repeatable=True)), GiveUp)


def test_received_pieces_are_resumed_discarded_or_final() -> None:
    lost = ConnectionLost("")
    resumable = AttemptContext(repeatable=True, delivered=3)
    assert isinstance(next_step(lost, resumable), Retry)
    recalled = AttemptContext(repeatable=True, delivered=3, resumable=False)
    assert isinstance(next_step(lost, recalled), Restart)
    sent_on = AttemptContext(repeatable=True, delivered=3, resumable=False, discardable=False)
    assert isinstance(next_step(lost, sent_on), GiveUp)
