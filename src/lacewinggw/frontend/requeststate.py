"""The state of one request across its offers to targets, and what its caller may be told of it.

A request may run at a target from the moment at which it is sent there, until the target states
that it did not run it.
"""

from dataclasses import dataclass, field
from enum import Enum

from lacewinggw.decisions.routes import RetryPolicy
from lacewinggw.errors import NOT_RUN_STATUSES
from lacewinggw.frontend.admission import AdmittedRequest
from lacewinggw.ids import TargetId
from lacewinggw.wire.http import Headers

MAX_OFFERS = 4  # per request, including offers that proved not to have run


class NotRunProof(Enum):
    """What proves that a request has not run."""

    NOT_OFFERED = "not-offered"
    NOT_SENT = "not-sent"  # no connection to a target was open before the request was given up
    REFUSED = "refused"  # each target that it was sent to stated that it did not run it


@dataclass(frozen=True)
class FailedAnswer:
    """A target's own error answer; sent to the caller if no retry succeeds."""

    status: int
    headers: Headers
    body: bytes


@dataclass
class RequestProgress:
    """The state of a request across its offers; `waited_s` and `first_part_s` are in seconds."""

    admitted: AdmittedRequest
    offers: int = 0
    runs: int = 0  # offers that may have run the request, or may still run it
    unsent: int = 0  # of these, the ones whose connection is not open yet
    refused_by: list[TargetId] = field(default_factory=list)  # targets that stated "not run"
    has_reached_target: bool = True  # of the last offer, whether it ran or not
    has_reserved_retry: bool = False  # in the retry budget, for the next offer
    tried_targets: set[TargetId] = field(default_factory=set)
    last_event: int | None = None
    weights_version: int | None = None  # on which the answer started
    target: TargetId | None = None  # of the last offer
    is_late: bool = False  # when it began to wait, it could no longer meet its objective
    waited_s: float = 0.0
    requests_ahead: float = 0.0  # at the last target, as reported
    first_part_s: float | None = None  # from the offer to the first part of the answer
    failure: FailedAnswer | None = None
    answer_status: int | None = None  # of the target's answer that was passed on to the caller

    @property
    def has_started_answer(self) -> bool:
        """Whether part of a stream has been passed on to the caller."""
        return self.first_part_s is not None

    @property
    def may_have_run(self) -> bool:
        """Whether the request was sent to a target that has not proved that it did not run it."""
        return self.runs > self.unsent

    @property
    def not_run_proof(self) -> NotRunProof | None:
        """What proves that the request has not run; None if it may have run."""
        if self.may_have_run:
            return None
        if not self.offers:
            return NotRunProof.NOT_OFFERED
        return NotRunProof.REFUSED if self.refused_by else NotRunProof.NOT_SENT

    @property
    def runs_once(self) -> bool:
        """Whether the request must not be repeated once it may have run."""
        return self.admitted.route.retry_policy is RetryPolicy.NEVER

    def may_pass_on(self, status: int) -> bool:
        """Return whether a target's answer with this status may reach the caller.

        Callers repeat requests of other routes after any failure, so they may get it in any case.
        """
        return status not in NOT_RUN_STATUSES or not (self.runs_once and self.may_have_run)

    @property
    def may_back_up(self) -> bool:
        """Whether the route allows another attempt beside one that may have run the request."""
        return self.runs > 0 and self.can_retry

    @property
    def can_retry(self) -> bool:
        """Whether the route allows another offer of the request."""
        if self.runs == 0:
            return self.offers < MAX_OFFERS
        return not self.runs_once and self.runs < self.admitted.route.attempts
