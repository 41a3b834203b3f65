"""At-most-once execution on an agent: which runs were accepted, and whether each has started.

A run is named by the nonce of a reservation or, without one, by its request id and attempt. The
registry answers correctly, at any time, whether a run has started. For a run whose record was
dropped the answer is "unknown", never "not started".

    registry = RunRegistry(incarnation, rng)
    nonce = registry.reserve(life_s=5.0, now=now)
    match registry.take(nonce, now, is_nonce=True):
        case AcceptedRun(): ...           # run it: registry.start(nonce), registry.finish(nonce)
        case AlreadyTaken(state): ...  # it was taken before
        case Rejected(cause): ...      # it must not run
"""

import random
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import NewType

from lacewinggw.generated.messages.ttypes import Standing
from lacewinggw.ids import Incarnation, RequestId

RunId = NewType("RunId", str)

RETENTION_S = 900.0  # how long the record of a run is kept after its last change
MAX_DEADLINE_S = 600.0  # no request lives longer
MAX_RESERVATION_S = 600.0
NONCE_BITS = 64
NONCE_SEPARATOR = "."


class RunState(Enum):
    """The state of a run."""

    TAKEN = "taken"  # it waits and may still be withdrawn
    STARTED = "started"
    FINISHED = "finished"
    NEVER = "never"  # withdrawn or refused: it has not started and never will


class RejectionCause(Enum):
    """Why a run is rejected although no start of it is on record."""

    WITHDRAWN = "withdrawn"
    LAPSED = "lapsed"  # the reservation expired or was never issued: the run will never start
    OTHER_INCARNATION = "other-incarnation"  # issued by an earlier incarnation of the agent
    FORGOTTEN = "forgotten"  # so old that its record may have been dropped


@dataclass(frozen=True)
class AcceptedRun:
    """The run may execute, now and never again."""


@dataclass(frozen=True)
class AlreadyTaken:
    """The run was taken before."""

    state: RunState


@dataclass(frozen=True)
class Rejected:
    """The run must not execute."""

    cause: RejectionCause


@dataclass
class _Record:
    state: RunState
    at: float


def nonce_incarnation(nonce: str) -> Incarnation:
    """Return the incarnation of the agent that issued a nonce."""
    return Incarnation(nonce.partition(NONCE_SEPARATOR)[0])


def _nonce_number(nonce: str) -> int | None:
    """Return the sequence number within a nonce, or None for any other text."""
    try:
        return int(nonce.split(NONCE_SEPARATOR)[1], 16)
    except (IndexError, ValueError):
        return None


class RunRegistry:
    """The runs of one incarnation of an agent, by the agent's own clock.

    Reservations are kept until they expire, runs until `RETENTION_S` after they ended. The highest
    number of the dropped runs is kept, so that a later query for one of them is answered with
    "forgotten".
    """

    def __init__(self, incarnation: Incarnation, rng: random.Random) -> None:
        self._incarnation = incarnation
        self._rng = rng
        self._issued = 0
        self._forgotten = 0
        self._reserved: dict[RunId, float] = {}
        self._records: OrderedDict[RunId, _Record] = OrderedDict()

    @property
    def reserved(self) -> int:
        """How many reservations are open."""
        return len(self._reserved)

    def __len__(self) -> int:
        """Return how many runs are on record."""
        return len(self._records)

    def count_open(self, now: float) -> int:
        """Return how many reservations may still be taken."""
        return sum(expires_at > now for expires_at in self._reserved.values())

    def reserve(self, life_s: float, now: float) -> RunId:
        """Return a new nonce that may be taken once within `life_s` seconds."""
        self._prune(now)
        self._issued += 1
        secret = f"{self._rng.getrandbits(NONCE_BITS):0{NONCE_BITS // 4}x}"
        parts = (self._incarnation, f"{self._issued:x}", secret)
        nonce = RunId(NONCE_SEPARATOR.join(parts))
        self._reserved[nonce] = now + min(life_s, MAX_RESERVATION_S)
        return nonce

    def look_up(self, run: RunId, now: float, is_nonce: bool) -> AlreadyTaken | Rejected | None:
        """Return why a run cannot be taken, or None if it can."""
        self._prune(now)
        record = self._records.get(run)
        if record is not None:
            if record.state is RunState.NEVER:
                return Rejected(RejectionCause.WITHDRAWN)
            return AlreadyTaken(record.state)
        if not is_nonce:
            return None
        if self._is_untracked(run):
            is_foreign = nonce_incarnation(run) != self._incarnation
            return Rejected(
                RejectionCause.OTHER_INCARNATION if is_foreign else RejectionCause.FORGOTTEN
            )
        if self._reserved.get(run, now) <= now:
            return Rejected(RejectionCause.LAPSED)
        return None

    def take(self, run: RunId, now: float, is_nonce: bool) -> AcceptedRun | AlreadyTaken | Rejected:
        """Take a run; this succeeds only once for each run."""
        rejection = self.look_up(run, now, is_nonce)
        if rejection is not None:
            return rejection
        self._reserved.pop(run, None)
        self._records[run] = _Record(RunState.TAKEN, now)
        return AcceptedRun()

    def start(self, run: RunId, now: float) -> bool:
        """Note that a taken run starts now; return False if it was withdrawn or never taken."""
        record = self._records.get(run)
        if record is None or record.state is not RunState.TAKEN:
            return False
        self._note(run, RunState.STARTED, now)
        return True

    def finish(self, run: RunId, now: float) -> None:
        """Note that a run has ended."""
        self._note(run, RunState.FINISHED, now)

    def refuse(self, run: RunId, now: float) -> None:
        """Note that a taken run has not started and never will."""
        self._note(run, RunState.NEVER, now)

    def withdraw(self, run: RunId, now: float, is_nonce: bool) -> Standing:
        """Keep a run from starting if it has not started; return its status."""
        self._prune(now)
        record = self._records.get(run)
        if record is not None:
            match record.state:
                case RunState.STARTED:
                    return Standing.STARTED
                case RunState.FINISHED:
                    return Standing.FINISHED
            self._note(run, RunState.NEVER, now)
            return Standing.NEVER_STARTED
        if is_nonce and self._is_untracked(run):
            return Standing.UNKNOWN
        self._reserved.pop(run, None)
        self._note(run, RunState.NEVER, now)
        return Standing.NEVER_STARTED

    def _is_untracked(self, nonce: RunId) -> bool:
        """Return whether a nonce is another agent's, or its record may have been dropped."""
        number = _nonce_number(nonce)
        if nonce_incarnation(nonce) != self._incarnation or number is None:
            return True
        return number <= self._forgotten

    def _note(self, run: RunId, state: RunState, now: float) -> None:
        self._records[run] = _Record(state, now)
        self._records.move_to_end(run)

    def _prune(self, now: float) -> None:
        while self._records:
            run, record = next(iter(self._records.items()))
            if record.at > now - RETENTION_S or record.state is RunState.STARTED:
                break
            del self._records[run]
            number = _nonce_number(run) if nonce_incarnation(run) == self._incarnation else None
            self._forgotten = max(self._forgotten, number or 0)
        while self._reserved:
            nonce, expires_at = next(iter(self._reserved.items()))
            if expires_at > now:
                break
            del self._reserved[nonce]


def run_id(nonce: str, request_id: RequestId | str, attempt: int) -> RunId:
    """Return the name of a run: its nonce, or without one its request id and attempt."""
    return RunId(nonce or f"{request_id}/{attempt}")
