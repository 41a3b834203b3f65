"""What became of one request so far."""

from dataclasses import dataclass, field

from lacewinggw.decisions.routes import RetryPolicy
from lacewinggw.frontend.admission import AdmittedRequest
from lacewinggw.ids import TargetId
from lacewinggw.wire.http import Headers

MAX_OFFERS = 4  # of one request, those that proved not to have run included


@dataclass(frozen=True)
class FailedAnswer:
    """A target's own answer that says it failed; passed on when nothing better comes."""

    status: int
    headers: Headers
    body: bytes


@dataclass
class RequestProgress:
    """What became of a request so far."""

    admitted: AdmittedRequest
    offers: int = 0
    runs: int = 0  # offers that were not proved not to have run
    has_reached_target: bool = True  # whether the last offer reached its target, run or not
    tried_targets: set[TargetId] = field(default_factory=set)
    last_event: int | None = None
    weights_version: int | None = None  # of the weights that the answer has begun with
    target: TargetId | None = None  # that was offered the request last
    is_late: bool = False  # it could not be on time any more when it began to wait
    waited_s: float = 0.0
    requests_ahead: float = 0.0  # requests ahead of it at that target, as far as was known
    offered_at: float = 0.0
    first_part_s: float | None = None  # from the offer to the first part of the answer
    failure: FailedAnswer | None = None

    @property
    def can_retry(self) -> bool:
        """Whether the request may run once more."""
        if self.runs == 0:
            return self.offers < MAX_OFFERS
        route = self.admitted.route
        return route.retry_policy is not RetryPolicy.NEVER and self.runs < route.attempts
