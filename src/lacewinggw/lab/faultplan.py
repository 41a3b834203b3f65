"""Which faults strike when: drawn from a seed alone, so that the same seed always does the same.

Faults come in lanes. Within a lane one follows the other, with a pause; lanes run side by side, so
that faults meet in every combination, yet never more than one entry and two agents are away at
once. Times are in seconds.
"""

import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

PAUSE_S = (0.5, 4.0)
FIRST_RELEASE, SECOND_RELEASE = "market-6", "market-7"


@dataclass(frozen=True)
class Kill:
    """Lose a host; a fresh process takes its place `down_s` later."""

    host: str
    down_s: float


@dataclass(frozen=True)
class Freeze:
    """Pause a process, then let it go on."""

    host: str
    lasts_s: float


@dataclass(frozen=True)
class Shutdown:
    """Shut a process down gracefully, then start a fresh one."""

    host: str
    down_s: float


@dataclass(frozen=True)
class Leave:
    """List a host as leaving; its process is shut down `lasts_s` later and replaced."""

    host: str
    lasts_s: float


@dataclass(frozen=True)
class Outage:
    """Have a service of the platform refuse, cut or say nothing."""

    part: str
    kind: str
    lasts_s: float


@dataclass(frozen=True)
class Slow:
    """Have a service of the platform take `delay_s` longer for each call."""

    part: str
    delay_s: float
    lasts_s: float


@dataclass(frozen=True)
class LostReplies:
    """Lose the replies to a share of the writes that took effect."""

    part: str
    share: float
    lasts_s: float


@dataclass(frozen=True)
class Corruption:
    """Send a share of the chunks with a byte changed."""

    part: str
    share: float
    lasts_s: float


@dataclass(frozen=True)
class Stall:
    """Send nothing more of the chunks that are on their way."""

    part: str
    lasts_s: float


@dataclass(frozen=True)
class Lag:
    """Have the list of hosts lag."""

    lag_s: float
    lasts_s: float


@dataclass(frozen=True)
class CutAnswers:
    """Have a target cut a share of its answers."""

    host: str
    share: float
    lasts_s: float


@dataclass(frozen=True)
class SlowTarget:
    """Have a target take `factor` times as long."""

    host: str
    factor: float
    lasts_s: float


@dataclass(frozen=True)
class Rollout:
    """Move the service to another release."""

    release: str
    replicas: int


@dataclass(frozen=True)
class Race:
    """Have two operators set different things at the same moment, at two entries."""

    releases: tuple[str, str]
    replicas: int


Fault = (
    Kill
    | Freeze
    | Shutdown
    | Leave
    | Outage
    | Slow
    | LostReplies
    | Corruption
    | Stall
    | Lag
    | CutAnswers
    | SlowTarget
    | Rollout
    | Race
)


@dataclass(frozen=True)
class Step:
    """A fault and the pause before it."""

    pause_s: float
    fault: Fault


Lane = list[Step]
Draw = Callable[[random.Random], Fault]


def draw_lanes(
    seed: int, entries: Sequence[str], agents: Sequence[str], engines: Sequence[str]
) -> dict[str, Iterator[Step]]:
    """Return the endless lanes of a seed; whoever runs them stops when time is up."""
    half = len(agents) // 2
    draws: dict[str, Draw] = {
        "entry": lambda rng: _draw_host_fault(rng, entries),
        "agent-1": lambda rng: _draw_host_fault(rng, agents[:half], leaves=True),
        "agent-2": lambda rng: _draw_host_fault(rng, agents[half:], leaves=True),
        "table": lambda rng: _draw_store_fault(rng, "table"),
        "objects": lambda rng: _draw_store_fault(rng, "objects"),
        "weights": _draw_weights_fault,
        "list": lambda rng: Lag(rng.uniform(0.5, 4.0), rng.uniform(1.0, 5.0)),
        "target": lambda rng: _draw_target_fault(rng, engines),
        "operators": lambda rng: _draw_command(rng, len(engines)),
    }
    return {name: _lane(random.Random(f"{seed}/{name}"), draw) for name, draw in draws.items()}


def _lane(rng: random.Random, draw: Draw) -> Iterator[Step]:
    while True:
        yield Step(rng.uniform(*PAUSE_S), draw(rng))


def _draw_host_fault(rng: random.Random, hosts: Sequence[str], leaves: bool = False) -> Fault:
    host = rng.choice(hosts)
    match rng.randrange(4 if leaves else 3):
        case 0:
            return Kill(host, rng.uniform(0.2, 3.0))
        case 1:
            return Freeze(host, rng.uniform(0.5, 4.0))
        case 2:
            return Shutdown(host, rng.uniform(0.2, 2.0))
    return Leave(host, rng.uniform(6.0, 8.0))


def _draw_store_fault(rng: random.Random, part: str) -> Fault:
    lasts_s = rng.uniform(0.5, 5.0)
    match rng.randrange(3):
        case 0:
            return Outage(part, rng.choice(("refuse", "cut", "hang")), lasts_s)
        case 1:
            return Slow(part, rng.uniform(0.05, 0.5), lasts_s)
    return LostReplies(part, rng.uniform(0.1, 0.6), lasts_s)


def _draw_weights_fault(rng: random.Random) -> Fault:
    part = rng.choice(("origin", "origin", "weight_store"))
    lasts_s = rng.uniform(0.5, 5.0)
    match rng.randrange(3):
        case 0:
            return Outage(part, rng.choice(("refuse", "cut", "hang")), lasts_s)
        case 1:
            return Corruption(part, rng.uniform(0.05, 0.4), lasts_s)
    return Stall(part, lasts_s)


def _draw_target_fault(rng: random.Random, engines: Sequence[str]) -> Fault:
    host, lasts_s = rng.choice(engines), rng.uniform(1.0, 4.0)
    if rng.random() < 0.5:
        return CutAnswers(host, rng.uniform(0.05, 0.5), lasts_s)
    return SlowTarget(host, rng.uniform(2.0, 8.0), lasts_s)


def _draw_command(rng: random.Random, engines: int) -> Fault:
    replicas = rng.randint(max(1, engines // 2), engines)
    releases = [FIRST_RELEASE, SECOND_RELEASE]
    rng.shuffle(releases)
    if rng.random() < 0.5:
        return Race((releases[0], releases[1]), replicas)
    return Rollout(releases[0], replicas)
