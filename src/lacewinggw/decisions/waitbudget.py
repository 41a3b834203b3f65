"""The time that a request may wait for a target.

The load it handles: more requests than the targets can start. A caller is served well if the first
part of the answer arrives within the route's objective, counted from its first attempt, and far
less well later. So a request waits only while it can still be on time; otherwise it is refused at
once with a time to retry. A retry is late already: it waits behind requests that can be on time,
but longer than them, since refusing it again is the worst outcome.
"""

from dataclasses import dataclass, field

from lacewinggw.decisions.routes import EngineProfile, Route
from lacewinggw.decisions.waitqueue import MIN_LATE_SHARE
from lacewinggw.ids import RouteName

# The shortest time to retry that a refused caller is sent. Callers choose their own timeouts, and
# these differ. A request counts as a later attempt only if enough of its timeout has passed for a
# refusal and a retry; otherwise many first attempts would be queued behind the others.
MIN_RETRY_AFTER_S = 1.0
RETRY_AFTER_SHARE = 1 / 3  # of the time left: callers wait no longer, whatever time they are sent
TIMEOUT_SPREAD = 0.15  # share of a route's longest timeout by which callers' timeouts differ
CONTENTION_FACTOR = 1.6  # prefill of other requests is interleaved
# Share of the objective that a plain target takes to the first part of its answer. Operators set
# the objective to 3 to 5 times that time.
PLAIN_SHARE = 0.4
MAX_LATE_WAIT_S = 1.5  # for a request that is late already
LATE_WAIT_SHARE = 0.5  # of its time left, so that the answer has the other half
# The wait of a late request is scaled by the share of late requests that recently started after a
# wait. Below this share most callers would be kept waiting only to be refused, so the wait is
# scaled by `MIN_LATE_SHARE`: a few requests still wait a little, which shows a change.
MIN_LATE_START_SHARE = 0.3


@dataclass(frozen=True)
class WaitBudget:
    """How long a request may wait, and whether it can no longer be on time (`is_late`)."""

    wait_s: float
    is_late: bool


@dataclass
class CallerTimeouts:
    """The longest timeout seen from callers of each route, by which later attempts are recognized.

    timeouts = CallerTimeouts()
    elapsed_s = timeouts.elapsed(route.name, time_left_s)
    """

    _longest_s: dict[RouteName, float] = field(default_factory=dict)

    def elapsed(self, route: RouteName, time_left_s: float | None) -> float:
        """Return the estimated time since the caller's first attempt, in seconds.

        Return 0 for what may be a first attempt.
        """
        if time_left_s is None:
            return 0.0
        longest_s = max(time_left_s, self._longest_s.get(route, 0.0))
        self._longest_s[route] = longest_s
        elapsed_s = longest_s - time_left_s
        shortest_s = (1.0 - TIMEOUT_SPREAD) * longest_s
        return (
            elapsed_s
            if elapsed_s >= min(MIN_RETRY_AFTER_S, RETRY_AFTER_SHARE * shortest_s)
            else 0.0
        )


def prefill_time(engine: EngineProfile, prompt_tokens: int) -> float:
    """Return how long an otherwise idle engine takes for the prefill of a prompt, in seconds."""
    pairs = prompt_tokens * prompt_tokens / 2
    return prompt_tokens / engine.read_tokens_per_s + pairs / 1e6 * engine.pair_s_per_million


def service_time(
    engine: EngineProfile, prompt_tokens: int, max_tokens: int, expected_tokens: int | None
) -> float:
    """Return how much of a busy engine's time a request takes, prompt and output, in seconds.

    Tokens of all running requests are generated together, so each takes its part of a step. Without
    an expected length the answer is taken to be typical; `max_tokens` limits it if above 0.
    """
    tokens = engine.typical_answer_tokens if expected_tokens is None else expected_tokens
    if max_tokens > 0:
        tokens = min(tokens, max_tokens)
    step_s = engine.step_s / engine.slots + engine.step_per_request_s
    return prefill_time(engine, prompt_tokens) + tokens * step_s


def first_part_s(route: Route, engine: EngineProfile | None, prompt_tokens: int) -> float:
    """Return the time from the start at a target to the first part of the answer, in seconds."""
    if engine is None:
        return PLAIN_SHARE * route.objective_s
    read_s = prefill_time(engine, prompt_tokens)
    step_s = engine.step_s + engine.slots * engine.step_per_request_s
    return CONTENTION_FACTOR * (read_s + engine.stride * step_s)


def wait_budget(
    route: Route,
    engine: EngineProfile | None,
    prompt_tokens: int,
    elapsed_s: float,
    left_s: float,
    late_share: float = 1.0,
) -> WaitBudget:
    """Return how long a request with `left_s` seconds left may wait.

    `late_share` is the share of late requests that recently started. The fewer start, the shorter
    a late request waits.
    """
    slack_s = route.objective_s - elapsed_s - first_part_s(route, engine, prompt_tokens)
    if slack_s > 0:
        return WaitBudget(min(slack_s, left_s), is_late=False)
    share = late_share if late_share >= MIN_LATE_START_SHARE else MIN_LATE_SHARE
    return WaitBudget(share * min(MAX_LATE_WAIT_S, LATE_WAIT_SHARE * left_s), is_late=True)
