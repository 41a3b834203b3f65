"""The requests that this entry accepted: those in progress, and the outcomes of the others."""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from lacewinggw.errors import LacewingError, Outcome
from lacewinggw.ids import Account
from lacewinggw.metrics import Counter, Metrics

MAX_OUTCOMES = 20_000
NO_ACCOUNT = Account("")


class RequestState(Enum):
    """The state of a request."""

    RUNNING = "running"
    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class RequestOutcome:
    """The state of an account's request; after an error, also its code and reason."""

    state: RequestState
    account: Account
    code: str = ""
    reason: str = ""


class RequestLog:
    """Tracks requests in progress, and keeps the outcomes of the most recent ones."""

    def __init__(self, metrics: Metrics, keep: int = MAX_OUTCOMES) -> None:
        self._keep = keep
        self._outcomes: OrderedDict[str, RequestOutcome] = OrderedDict()
        self._latency = metrics.latency("request")
        self._ended: dict[RequestState, Counter] = {
            state: metrics.counter("requests", outcome=state)
            for state in RequestState
            if state is not RequestState.RUNNING
        }
        self._metrics = metrics
        self._began_at: dict[str, float] = {}
        self._last_at = 0.0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def in_progress(self) -> int:
        """The number of requests in progress."""
        return len(self._began_at)

    async def wait_until_quiet(self, quiet_s: float) -> None:
        """Wait until no request is in progress and none began for `quiet_s` seconds from now."""
        loop = asyncio.get_running_loop()
        since = loop.time()
        while True:
            await self._idle.wait()
            left_s = max(since, self._last_at) + quiet_s - loop.time()
            if left_s <= 0:
                return
            await asyncio.sleep(left_s)

    def find(self, request_id: str, account: Account) -> RequestOutcome | None:
        """Return the outcome of an account's request, or None if it is not known here."""
        found = self._outcomes.get(request_id)
        return found if found is not None and found.account == account else None

    def begin(self, request_id: str, account: Account) -> None:
        """Record that a request is now in progress."""
        self._last_at = self._began_at[request_id] = asyncio.get_running_loop().time()
        self._idle.clear()
        self._outcomes[request_id] = RequestOutcome(RequestState.RUNNING, account)
        if len(self._outcomes) > self._keep:
            self._outcomes.popitem(last=False)

    def end(self, request_id: str, error: LacewingError | None) -> bool:
        """Record the end of a request; return False if it had ended before.

        `error` is None for a complete answer.
        """
        began_at = self._began_at.pop(request_id, None)
        if began_at is None:
            return False
        before = self._outcomes.get(request_id)
        outcome = _outcome_of(error, before.account if before is not None else NO_ACCOUNT)
        if before is not None:
            self._outcomes[request_id] = outcome
        self._ended[outcome.state].add()
        if error is None:
            self._latency.record(asyncio.get_running_loop().time() - began_at)
        else:
            self._metrics.count_refusal_error(error)
            self._metrics.count("request_errors", code=error.code, kind=error.kind)
        if not self._began_at:
            self._idle.set()
        return True


def _outcome_of(error: LacewingError | None, account: Account) -> RequestOutcome:
    if error is None:
        return RequestOutcome(RequestState.ANSWERED, account)
    not_run = error.outcome is Outcome.NOT_RUN
    state = RequestState.NOT_RUN if not_run else RequestState.UNKNOWN
    return RequestOutcome(state, account, error.code, error.reason)
