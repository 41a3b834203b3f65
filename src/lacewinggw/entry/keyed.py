"""Requests with an idempotency key: one claim, one reservation and one run for all retries."""

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
from lacewinggw.entry.answers import AnswerProgress
from lacewinggw.entry.attempts import AgentEndpoint, Attempt, CallerRequest
from lacewinggw.entry.claims import ClaimStore
from lacewinggw.entry.records import AnswerRecords, RecordedAnswer
from lacewinggw.entry.requests import NO_TARGET_RETRY_MS, RequestContext, stream_from_target
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

# Limits the wait for a recorded answer before the agent is asked, which may leave in the meantime.
RECORD_LOOKUP_TIMEOUT_S = 0.25
MAX_CLAIM_ROUNDS = 16  # claims found or written before the request fails


@dataclass(frozen=True)
class StoredClaim:
    """A claim and the version of its row; `choice` is set if this request wrote the claim."""

    claim: Claim
    version: int
    choice: Choice | None = None


class KeyedRun:
    """One request with a key, from writing or joining its claim to its outcome."""

    def __init__(
        self,
        context: RequestContext,
        request: CallerRequest,
        claims: ClaimStore,
        records: AnswerRecords,
    ) -> None:
        head = request.head
        self.progress = AnswerProgress(request.digest)
        self.finish: Finish | None = None
        self._context = context
        self._request = request
        self._claims = claims
        self._records = records
        self._row_key = claim_key(head.account, head.service_name, head.idempotency_key)
        self._rejecting_hosts: set[str] = set()
        self._last_error: LacewingError | None = None
        self._parts: list[bytes] = []
        self._attempt: Attempt | None = None

    async def batches(self) -> AsyncGenerator[list[bytes], None]:
        """Yield the pieces of the answer; raise the final error if there is no answer."""
        existing: StoredClaim | None = None
        replaceable: StoredClaim | None = None
        for _ in range(MAX_CLAIM_ROUNDS):
            stored = existing or await self._acquire_claim(replaceable)
            existing = replaceable = None
            if stored is None:
                continue
            match resolve(stored.claim, self._request.digest):
                case Refuse(error):
                    raise error
                case Join():
                    try:
                        async with aclosing(self._join_or_replay(stored)) as batches:
                            async for pieces in batches:
                                yield pieces
                        return
                    except LacewingError as error:
                        refusal = await self._classify_failure(error, stored)
                    if refusal is not None:
                        existing = await self._confirm_refusal(stored, refusal)
                case Replace():
                    pass
            replaceable = stored
        raise RequestUnknown("the claim on the key changed too many times")

    async def _join_or_replay(self, stored: StoredClaim) -> AsyncGenerator[list[bytes], None]:
        """Yield the recorded answer, else the agent's, else one recorded in the meantime.

        The second lookup covers an agent that was lost or dropped its answer after the answer was
        recorded.
        """
        recorded: RecordedAnswer | None = None
        if stored.choice is None:
            recorded = await self._records.find(self._row_key, RECORD_LOOKUP_TIMEOUT_S)
        if recorded is None:
            try:
                async with aclosing(self._join(stored)) as batches:
                    async for pieces in batches:
                        yield pieces
                return
            except (AnswerGone, HolderGone, ConnectionLost) as error:
                recorded = await self._records.find(self._row_key, self._remaining_s())
                if recorded is None or self.progress.pieces:
                    raise error
        yield self._replay(recorded)

    async def _acquire_claim(self, replaceable: StoredClaim | None) -> StoredClaim | None:
        """Write a new claim, or return the one in the row; None if that claim has disappeared.

        `replaceable` is the claim to replace, proved never to start; None if there is no row.
        """
        try:
            choice, claim = await self._reserve()
        except LacewingError as refusal:
            return await self._confirm_refusal(replaceable, refusal)
        version = ABSENT if replaceable is None else replaceable.version
        result = await self._call_store(self._claims.write(self._row_key, claim, version))
        if isinstance(result, Accepted):
            return StoredClaim(claim, result.version, choice)
        return _claim_in(result.row)

    async def _confirm_refusal(
        self, replaceable: StoredClaim | None, refusal: LacewingError
    ) -> StoredClaim | None:
        """Raise `refusal` as "not run" if the row still proves it, else return the row's claim.

        A concurrent retry may have replaced the claim and run since, so the row is released by
        compare-and-set before the refusal is returned to the caller.
        """
        if replaceable is None:
            row = await self._call_store(self._claims.read(self._row_key))
            if row is None:
                raise refusal
            return _claim_in(row)
        released = replace(replaceable.claim, state=ClaimState.RELEASED)
        write = self._claims.write(self._row_key, released, replaceable.version)
        result = await self._call_store(write)
        if isinstance(result, Accepted):
            raise refusal
        return _claim_in(result.row)

    async def _call_store(self, call: Coroutine[Any, Any, T]) -> T:
        """Call the store, at most until the deadline; map a failure by `_store_error`."""
        try:
            async with asyncio.timeout_at(self._request.deadline):
                return await call
        except TimeoutError:
            timeout = StoreDown("the store did not reply", retry_after_ms=NO_TARGET_RETRY_MS)
            raise self._store_error(timeout) from None
        except StoreDown as error:
            raise self._store_error(error) from error

    def _store_error(self, error: StoreDown) -> LacewingError:
        """Return "not run" only for a key's first attempt: an earlier one may have run."""
        if self._request.is_first_attempt:
            return error
        return ClaimUnreadable(error.reason, retry_after_ms=error.retry_after_ms)

    async def _reserve(self) -> tuple[Choice, Claim]:
        """Return a target and a claim on its reservation; a target that refuses runs nothing."""
        head = self._request.head
        targets = self._context.targets
        while True:
            self._check_deadline()
            choice = targets.choose(head.service_name, head, frozenset(self._rejecting_hosts))
            if choice is None:
                raise self._no_target_error()
            try:
                reservation = await reserve(
                    self._context, choice.address, head, self._remaining_s()
                )
            except LacewingError as error:
                self._rejecting_hosts.add(choice.host)
                self._last_error = error
                self._spend_retry(error)
                continue
            digest = self._request.digest
            return choice, Claim(digest, choice.address, reservation.incarnation, reservation.nonce)

    async def _join(self, stored: StoredClaim) -> AsyncGenerator[list[bytes], None]:
        claim, choice = stored.claim, stored.choice
        attempt = Attempt(
            self._context.node,
            AgentEndpoint(claim.address, claim.incarnation),
            self._request,
            claim.nonce,
            self._context.window,
        )
        self._attempt = attempt
        source = (
            attempt.batches(self.progress)
            if choice is None
            else stream_from_target(self._context, choice, attempt, self.progress)
        )
        async with aclosing(source) as batches:
            async for pieces in batches:
                self._parts.extend(pieces)
                yield pieces
        self.finish = attempt.finish
        if attempt.finish is not None:
            answer = RecordedAnswer(self._parts, attempt.finish)
            self._records.record(self._row_key, stored.version, answer)

    async def _classify_failure(
        self, error: LacewingError, stored: StoredClaim
    ) -> LacewingError | None:
        """Return None if another claim may be tried, or the refusal to end the request with.

        Raise the final error unless it is proved that this claim will never start.
        """
        if isinstance(error, ConnectionLost):
            error = HolderGone(f"the agent that holds the claim is lost: {error.reason}")
        if isinstance(error, DeadlinePassed) or needs_withdrawal(error):
            if await self._withdraw() is not Standing.NEVER_STARTED:
                raise self._final_error(_unproven_error(error))
            if isinstance(error, DeadlinePassed):
                error = DeadlineTooNear("the deadline passed before the request could start")
        elif not never_starts(error):
            raise self._final_error(error)
        if stored.choice is not None:
            self._rejecting_hosts.add(stored.choice.host)
        self._last_error = error
        try:
            self._spend_retry(error)
        except LacewingError as refusal:
            return refusal
        return None

    async def _withdraw(self) -> Standing:
        assert self._attempt is not None, "only a joined claim is withdrawn"
        return await self._attempt.withdraw()

    def _spend_retry(self, error: LacewingError) -> None:
        self._check_deadline()
        step = next_step(error, AttemptContext(repeatable=False))
        if not isinstance(step, Retry):
            raise self._final_error(error)
        if not self._context.targets.acquire_retry():
            budget_error = RetryBudgetSpent(
                f"the retry budget is spent; last error: {error.reason}"
            )
            raise self._final_error(budget_error)
        self._context.metrics.retry(step.reason)

    def _remaining_s(self) -> float:
        return self._request.deadline - asyncio.get_running_loop().time()

    def _check_deadline(self) -> None:
        if self._remaining_s() <= 0:
            raise self._final_error(DeadlineTooNear("no time is left to start the request"))

    def _no_target_error(self) -> LacewingError:
        service = self._request.head.service_name
        error = self._last_error or NoTarget(
            f"no target serves {service} now", retry_after_ms=NO_TARGET_RETRY_MS
        )
        return self._final_error(error)

    def _final_error(self, error: LacewingError) -> LacewingError:
        return final_error(error, AttemptContext(repeatable=False, delivered=self.progress.pieces))

    def _replay(self, answer: RecordedAnswer) -> list[bytes]:
        """Return the pieces of a recorded answer, verified like any other."""
        pieces = self.progress.add_pieces(Pieces(0, answer.pieces))
        self.progress.close(answer.finish)
        self.finish = answer.finish
        return pieces


def _claim_in(row: Row | None) -> StoredClaim | None:
    return None if row is None else StoredClaim(Claim.from_text(row.value), row.version)


def _unproven_error(error: LacewingError) -> LacewingError:
    """Return the error for a reservation that has not started and cannot be withdrawn."""
    if error.outcome is Outcome.UNKNOWN:
        return error
    return HolderGone(f"the claim's agent refused, then stopped replying: {error.reason}")
