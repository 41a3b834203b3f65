"""How long a request may wait for a target and still be worth the wait.

The load it answers: more requests than the targets can start. A caller is served well by the first
part of an answer within the route's objective, counted from its first attempt, and far less well
later. So a request waits only while it can still be on time; what cannot is told at once when to
come back. One that came back is late already: it waits behind those that can be on time, but
longer, since to refuse it again is the worst of all.
"""

from dataclasses import dataclass, field

from lacewinggw.decisions.routes import EngineProfile, Route
from lacewinggw.decisions.waitqueue import MIN_LATE_SHARE
from lacewinggw.ids import RouteName

# What a refused caller is told to stay away, at the least. Callers choose the time that they give a
# request themselves, and differ: only one that has had the time to be refused and to come back is
# taken for a later attempt, or many first attempts would be put behind the others.
MIN_RETRY_AFTER_S = 1.0
RETRY_AFTER_SHARE = (
    1 / 3
)  # of the time left, beyond which callers do not wait, whatever they are told
TIMEOUT_SPREAD = 0.15  # of the longest time that callers of a route give, by which they differ
CONTENTION_FACTOR = 1.6  # others' prompts are read in between
PLAIN_SHARE = 0.4  # of the objective that a plain target takes; operators set it at 3 to 5 times
MAX_LATE_WAIT_S = 1.5  # of a request that is late already
LATE_WAIT_SHARE = 0.5  # of the time that it has left, so that the answer has the other half
# Of the late requests that waited, as many must have started lately for a wait to be offered: below
# it most callers would be held only to be refused. A few still wait a little, and show a change.
MIN_LATE_START_SHARE = 0.3


@dataclass(frozen=True)
class WaitBudget:
    """How long a request may wait; `is_late` when it cannot be on time any more."""

    wait_s: float
    is_late: bool


@dataclass
class CallerTimeouts:
    """The time that callers of each route usually give, by which a later attempt is known.

    times = CallerTimes()
    elapsed_s = times.elapsed(route.name, time_left_s)
    """

    _longest_s: dict[RouteName, float] = field(default_factory=dict)

    def elapsed(self, route: RouteName, time_left_s: float | None) -> float:
        """Return how long ago the caller's first attempt was, as far as its time left tells."""
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
    """Return how long an engine takes to read a prompt by itself, in seconds."""
    pairs = prompt_tokens * prompt_tokens / 2
    return prompt_tokens / engine.read_tokens_per_s + pairs / 1e6 * engine.pair_s_per_million


def first_part_s(route: Route, engine: EngineProfile | None, prompt_tokens: int) -> float:
    """Return how long a target takes to the first part of its answer, once it has started."""
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
    """Return how long a request may wait that has `left_s` seconds left.

    `late_share` is the share of late requests that started lately: what waits in vain waits less.
    """
    spare_s = route.objective_s - elapsed_s - first_part_s(route, engine, prompt_tokens)
    if spare_s > 0:
        return WaitBudget(min(spare_s, left_s), is_late=False)
    offered = late_share if late_share >= MIN_LATE_START_SHARE else MIN_LATE_SHARE
    return WaitBudget(offered * min(MAX_LATE_WAIT_S, LATE_WAIT_SHARE * left_s), is_late=True)
