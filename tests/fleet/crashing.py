"""A request that crashes every target that begins it, sent repeatedly among other requests."""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from declared_fleet import DeclaredFleet, Reply

from lacewinggw.frontend.process import FrontendProcess

CRASHING = b"a request that no target survives"
NOTICE_S = 3.0  # the time that entries have to detect the third crash
ALLOWED_LATER = 3  # arrivals at targets allowed after that time
ATTEMPTS = 2  # of a caller for one request
CRASHING_PART = "deadfa11"  # a part of prompts that no target survives
OTHER_CRASHING_PART = "deadfa12"
SHARED_PARTS = ("5c1e07a2:40", "91bd3f06:410", "e4402b7d:250")  # of all prompts


@dataclass(frozen=True)
class FirstAttempt:
    """The first attempt at a request: when it was sent, and whether it was served."""

    at: float
    is_served: bool


@dataclass
class Played:
    """The replies to the crashing request and to others; each of the others has a unique body."""

    crashing: list[Reply] = field(default_factory=list)
    others: list[Reply] = field(default_factory=list)
    first_attempts: list[FirstAttempt] = field(default_factory=list)  # at the others


async def play(
    fleet: DeclaredFleet,
    seconds: float,
    crashing_per_s: float = 3.0,
    others_per_s: float = 12.0,
    seed: int = 1,
    part_at: int | None = None,
    part: str = CRASHING_PART,
    leave_after_s: float | None = None,
) -> Played:
    """Send requests for some seconds to entries drawn from the seed; return when all have ended.

    A refused request is retried once with the same body, as callers do. With `part_at`, each
    crashing request has a body of its own, and the crashing `part` at that place of its prompt.
    With `leave_after_s`, callers of the others leave then, and count as served if an answer began.
    """
    played = Played()
    rng = random.Random(seed)

    def crashing_request() -> tuple[bytes, str]:
        if part_at is None:
            return CRASHING, ""
        shared = list(SHARED_PARTS)
        shared[part_at] = f"{part}:410"
        return f"crashing {rng.random()}".encode(), _prompt(shared, rng)

    def other_request() -> tuple[bytes, str]:
        prompt = "" if part_at is None else _prompt(SHARED_PARTS, rng)
        return f"other {rng.random()}".encode(), prompt

    await asyncio.gather(
        _send_at_rate(fleet, seconds, crashing_per_s, rng, crashing_request, played.crashing, []),
        _send_at_rate(
            fleet,
            seconds,
            others_per_s,
            rng,
            other_request,
            played.others,
            played.first_attempts,
            leave_after_s,
        ),
    )
    return played


def _prompt(shared: Sequence[str], rng: random.Random) -> str:
    """Return the parts of a prompt; the last one belongs to its request alone."""
    return ",".join([*shared, f"{rng.getrandbits(32):08x}:30"])


async def _send_at_rate(
    fleet: DeclaredFleet,
    seconds: float,
    per_s: float,
    rng: random.Random,
    make_request: Callable[[], tuple[bytes, str]],
    replies: list[Reply],
    first_attempts: list[FirstAttempt],
    leave_after_s: float | None = None,
) -> None:
    async def ask(body: bytes, prompt: str) -> None:
        for number in range(ATTEMPTS):
            entry = rng.randrange(len(fleet.entries))
            at = asyncio.get_running_loop().time()
            try:
                reply = await fleet.ask(
                    "/report/1",
                    entry=entry,
                    body=body,
                    leave_after_s=leave_after_s,
                    X_Model="market",
                    X_Prompt_Prefix=prompt,
                    X_Token_Counts="730,100" if prompt else "",
                )
            except OSError:
                continue  # that entry is down
            replies.append(reply)
            is_left = leave_after_s is not None and reply.status == 200
            is_served = is_left or (reply.whole and reply.status == 200)
            if number == 0:
                first_attempts.append(FirstAttempt(at, is_served))
            if is_left or (reply.whole and reply.status < 500):
                return
            await asyncio.sleep(rng.uniform(0.1, 1.0))

    sends = []
    end = asyncio.get_running_loop().time() + seconds
    while per_s and asyncio.get_running_loop().time() < end:
        sends.append(asyncio.ensure_future(ask(*make_request())))
        await asyncio.sleep(rng.expovariate(per_s))
    await asyncio.gather(*sends)


def crash_times(fleet: DeclaredFleet) -> list[float]:
    """Return the times at which targets crashed, in order."""
    return sorted(at for target in fleet.targets.values() for at in target.ended_at)


def arrival_times(fleet: DeclaredFleet, body: bytes = CRASHING) -> list[float]:
    """Return the times at which a request reached targets, in order."""
    return sorted(
        at
        for target in fleet.targets.values()
        for at, request in zip(target.seen_at, target.seen, strict=True)
        if request.body == body
    )


def late_arrivals(fleet: DeclaredFleet, body: bytes = CRASHING) -> list[float]:
    """Return the arrivals of a request later than `NOTICE_S` after the third crash."""
    noticed_at = crash_times(fleet)[2] + NOTICE_S
    return [at for at in arrival_times(fleet, body) if at > noticed_at]


def fifth_crash(fleet: DeclaredFleet) -> float:
    """Return the time of the fifth crash; of the last, if there are fewer."""
    return crash_times(fleet)[:5][-1]


def late_part_arrivals(fleet: DeclaredFleet) -> list[float]:
    """Return the arrivals of the crashing part later than `NOTICE_S` after the fifth crash."""
    noticed_at = fifth_crash(fleet) + NOTICE_S
    return sorted(
        at
        for target in fleet.targets.values()
        for at, request in zip(target.seen_at, target.seen, strict=True)
        if at > noticed_at and CRASHING_PART in request.headers.get("x-prompt-prefix", "")
    )


def served_share(fleet: DeclaredFleet, played: Played) -> float:
    """Return the share of first attempts at others served from 2 `NOTICE_S` after that crash on."""
    noticed_at = fifth_crash(fleet) + 2 * NOTICE_S
    attempts = [each for each in played.first_attempts if each.at > noticed_at]
    assert len(attempts) >= 20, "too few to compare"
    return sum(each.is_served for each in attempts) / len(attempts)


async def add_engines(
    fleet: DeclaredFleet, engines: int, pause_s: float = 0.1, places: Sequence[str] = ("hall",)
) -> None:
    """Add model engines with agents to a fleet; the engines crash on the request."""
    for number in range(engines):
        name = f"engine{number}"
        place = places[number % len(places)]
        target = await fleet.add_target(name, "writer", f"10.2.0.{number + 1}", zone=place)
        target.behaviour.pause_s = pause_s
        target.behaviour.crashes_on = frozenset({CRASHING})
        target.behaviour.crashes_on_parts = frozenset({CRASHING_PART, OTHER_CRASHING_PART})
        await fleet.add_agent(name, place)
    await asyncio.sleep(2.0)


def refused_as_quarantined(played: Played) -> list[Reply]:
    """Return the replies that refuse the request as quarantined and not run."""
    return [
        reply
        for reply in played.crashing
        if reply.status == 503 and b"quarantined" in reply.body and "retry-after" in reply.headers
    ]


def count_quarantined(entry: FrontendProcess) -> int:
    """Return how many requests an entry has quarantined."""
    return _read_gauge(entry, "requests_quarantined")


def count_quarantined_parts(entry: FrontendProcess) -> int:
    """Return how many prompt parts an entry has quarantined."""
    return _read_gauge(entry, "prompt_parts_quarantined")


def _read_gauge(entry: FrontendProcess, name: str) -> int:
    metric = f"lacewinggw_{name} "
    lines = [line for line in entry.metrics.render().splitlines() if line.startswith(metric)]
    return round(float(lines[0].removeprefix(metric)))


async def restart_entries(fleet: DeclaredFleet, count: int) -> None:
    """Stop the first `count` entries together and restart them without their earlier state."""
    for entry in fleet.entries[:count]:
        await entry.close()
    remaining = fleet.entries[count:]
    fleet.entries.clear()
    for number in range(count):
        await fleet.add_entry(number + 1)
    fleet.entries.extend(remaining)
    await asyncio.sleep(1.0)
