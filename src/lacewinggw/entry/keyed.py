"""Requests with an idempotency key: one claim, one reservation, one run, however often sent."""

import asyncio
from collections.abc import AsyncGenerator, Coroutine
from contextlib import aclosing
from dataclasses import dataclass, replace
from typing import Any, TypeVar

from lacewinggw.clients.table import ABSENT, Accepted, Row
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
from lacewinggw.decisions.outcomes import AttemptContext, Retry, final_error, next_step
from lacewinggw.entry.answers import Progress
from lacewinggw.entry.attempts import Asked, Attempt, Holder
from lacewinggw.entry.claims import ClaimStore
from lacewinggw.entry.records import AnswerRecords, RecordedAnswer
from lacewinggw.entry.requests import NO_TARGET_RETRY_MS, Means, follow_target
from lacewinggw.entry.reserved import reserve
from lacewinggw.entry.targets import Choice
from lacewinggw.errors import (
    AnswerGone,
    ClaimUnreadable,
    ConnectionLost,
    DeadlinePassed,
    DeadlineTooNear,
    HolderGone,
    LacewingError,
    NoTarget,
    Outcome,
    RequestUnknown,
    RetryBudgetSpent,
    StoreDown,
)
from lacewinggw.generated.messages.ttypes import Finish, Pieces, Standing

T = TypeVar("T")

GLANCE_S = 0.25  # for a recorded answer, before the agent is asked, which may leave meanwhile
TURNS = 16  # claims met or written before a request is given up


@dataclass(frozen=True)
class Held:
    """A claim as it stands in its row; `choice` is set when it is this request's own."""

    claim: Claim
    version: int
    choice: Choice | None = None


class KeyedRun:
    """One request with a key, from its claim to its outcome."""

    def __init__(
        self, means: Means, asked: Asked, claims: ClaimStore, records: AnswerRecords
    ) -> None:
        head = asked.head
        self.progress = Progress(asked.digest)
        self.finish: Finish | None = None
        self._means = means
        self._asked = asked
        self._claims = claims
        self._records = records
        self._row_key = claim_key(head.account, head.service_name, head.idempotency_key)
        self._refused_by: set[str] = set()
        self._last_error: LacewingError | None = None
        self._parts: list[bytes] = []
        self._attempt: Attempt | None = None

    async def batches(self) -> AsyncGenerator[list[bytes], None]:
        """Yield the pieces of the answer; raise the outcome when there is none."""
        met: Held | None = None
        barred: Held | None = None
        for _ in range(TURNS):
            held = met or await self._claim(barred)
            met = barred = None
            if held is None:
                continue
            match resolve(held.claim, self._asked.digest):
                case Refuse(error):
                    raise error
                case Join():
                    try:
                        async with aclosing(self._join_or_replay(held)) as batches:
                            async for pieces in batches:
                                yield pieces
                        return
                    except LacewingError as error:
                        refusal = await self._judge(error, held)
                    if refusal is not None:
                        met = await self._confirm(held, refusal)
                case Replace():
                    pass
            barred = held
        raise RequestUnknown("the claim on the key kept changing hands")

    async def _join_or_replay(self, held: Held) -> AsyncGenerator[list[bytes], None]:
        """Yield the answer: recorded, from the agent, or recorded since the agent forgot it."""
        recorded: RecordedAnswer | None = None
        if held.choice is None:
            recorded = await self._records.find(self._row_key, GLANCE_S)
        if recorded is None:
            try:
                async with aclosing(self._join(held)) as batches:
                    async for pieces in batches:
                        yield pieces
                return
            except (AnswerGone, HolderGone, ConnectionLost) as error:
                recorded = await self._records.find(self._row_key, self._left_s())
                if recorded is None or self.progress.pieces:
                    raise error
        yield self._replay(recorded)

    async def _claim(self, barred: Held | None) -> Held | None:
        """Write a claim of our own, or return the one that stands there; None when it vanished.

        `barred` is the claim to be replaced, proved never to start; None where there is no row.
        """
        try:
            choice, claim = await self._reserve()
        except LacewingError as refusal:
            return await self._confirm(barred, refusal)
        version = ABSENT if barred is None else barred.version
        result = await self._ask_store(self._claims.write(self._row_key, claim, version))
        if isinstance(result, Accepted):
            return Held(claim, result.version, choice)
        return _held_in(result.row)

    async def _confirm(self, barred: Held | None, refusal: LacewingError) -> Held | None:
        """Raise a refusal as "not run" if the row still proves it; else return what stands there.

        Another sending may have replaced a barred claim and run since, so the row is released by
        compare-and-set before the caller is told.
        """
        if barred is None:
            row = await self._ask_store(self._claims.read(self._row_key))
            if row is None:
                raise refusal
            return _held_in(row)
        released = replace(barred.claim, state=ClaimState.RELEASED)
        write = self._claims.write(self._row_key, released, barred.version)
        result = await self._ask_store(write)
        if isinstance(result, Accepted):
            raise refusal
        return _held_in(result.row)

    async def _ask_store(self, call: Coroutine[Any, Any, T]) -> T:
        """Wait for the store, no longer than the deadline; say what is known without it."""
        try:
            async with asyncio.timeout_at(self._asked.deadline):
                return await call
        except TimeoutError:
            silent = StoreDown("the store gave no reply", retry_after_ms=NO_TARGET_RETRY_MS)
            raise self._without_store(silent) from None
        except StoreDown as error:
            raise self._without_store(error) from error

    def _without_store(self, error: StoreDown) -> LacewingError:
        """Say "not run" only of a key's first sending: who knows what became of earlier ones."""
        if self._asked.first_sending:
            return error
        return ClaimUnreadable(error.reason, retry_after_ms=error.retry_after_ms)

    async def _reserve(self) -> tuple[Choice, Claim]:
        """Get a reservation; nothing of this request has run at any target that refused one."""
        head = self._asked.head
        targets = self._means.targets
        while True:
            self._check_time()
            choice = targets.choose(head.service_name, head, frozenset(self._refused_by))
            if choice is None:
                raise self._none_left()
            try:
                given = await reserve(self._means, choice.address, head, self._left_s())
            except LacewingError as error:
                self._refused_by.add(choice.host)
                self._last_error = error
                self._spend_retry(error)
                continue
            digest = self._asked.digest
            return choice, Claim(digest, choice.address, given.incarnation, given.nonce)

    async def _join(self, held: Held) -> AsyncGenerator[list[bytes], None]:
        claim, choice = held.claim, held.choice
        attempt = Attempt(
            self._means.node,
            Holder(claim.address, claim.incarnation),
            self._asked,
            claim.nonce,
            self._means.window,
        )
        self._attempt = attempt
        source = (
            attempt.batches(self.progress)
            if choice is None
            else follow_target(self._means, choice, attempt, self.progress)
        )
        async with aclosing(source) as batches:
            async for pieces in batches:
                self._parts.extend(pieces)
                yield pieces
        self.finish = attempt.finish
        if attempt.finish is not None:
            answer = RecordedAnswer(self._parts, attempt.finish)
            self._records.record(self._row_key, held.version, answer)

    async def _judge(self, error: LacewingError, held: Held) -> LacewingError | None:
        """Return None when another claim may be tried, or the refusal to end with.

        Raises the outcome unless it is proved that this claim will never start.
        """
        if isinstance(error, ConnectionLost):
            error = HolderGone(f"the agent that holds the claim is lost: {error.reason}")
        if isinstance(error, DeadlinePassed) or needs_withdrawal(error):
            if await self._withdraw() is not Standing.NEVER_STARTED:
                raise self._outcome(_unproved(error))
            if isinstance(error, DeadlinePassed):
                error = DeadlineTooNear("the deadline passed before the request could start")
        elif not never_starts(error):
            raise self._outcome(error)
        if held.choice is not None:
            self._refused_by.add(held.choice.host)
        self._last_error = error
        try:
            self._spend_retry(error)
        except LacewingError as refusal:
            return refusal
        return None

    async def _withdraw(self) -> Standing:
        assert self._attempt is not None, "only a claim that was joined is withdrawn"
        return await self._attempt.withdraw()

    def _spend_retry(self, error: LacewingError) -> None:
        self._check_time()
        step = next_step(error, AttemptContext(repeatable=False))
        if not isinstance(step, Retry):
            raise self._outcome(error)
        if not self._means.targets.retry_allowed():
            spent = RetryBudgetSpent(f"retries are at their limit; the last try: {error.reason}")
            raise self._outcome(spent)
        self._means.metrics.retry(step.reason)

    def _left_s(self) -> float:
        return self._asked.deadline - asyncio.get_running_loop().time()

    def _check_time(self) -> None:
        if self._left_s() <= 0:
            raise self._outcome(DeadlineTooNear("no time is left to start the request"))

    def _none_left(self) -> LacewingError:
        service = self._asked.head.service_name
        error = self._last_error or NoTarget(
            f"no target serves {service} now", retry_after_ms=NO_TARGET_RETRY_MS
        )
        return self._outcome(error)

    def _outcome(self, error: LacewingError) -> LacewingError:
        return final_error(error, AttemptContext(repeatable=False, delivered=self.progress.pieces))

    def _replay(self, answer: RecordedAnswer) -> list[bytes]:
        """Take a recorded answer for this request's own, checked like any other."""
        pieces = self.progress.take(Pieces(0, answer.pieces))
        self.progress.close(answer.finish)
        self.finish = answer.finish
        return pieces


def _held_in(row: Row | None) -> Held | None:
    return None if row is None else Held(Claim.from_text(row.value), row.version)


def _unproved(error: LacewingError) -> LacewingError:
    """Return what is known of a reservation that did not start yet and cannot be withdrawn."""
    if error.outcome is Outcome.UNKNOWN:
        return error
    return HolderGone(f"the claim's agent refused and then fell silent: {error.reason}")
