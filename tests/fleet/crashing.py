"""A request that crashes every target that begins it, sent repeatedly among other requests."""

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from declared_fleet import DeclaredFleet, Reply

from lacewinggw.frontend.process import FrontendProcess

CRASHING = b"a request that no target survives"
NOTICE_S = 3.0  # the time that entries have to detect the third crash
ALLOWED_LATER = 3  # arrivals at targets allowed after that time
ATTEMPTS = 2  # of a caller for one request


@dataclass
class Played:
    """The replies to the crashing request and to others; each of the others has a unique body."""

    crashing: list[Reply] = field(default_factory=list)
    others: list[Reply] = field(default_factory=list)


async def play(
    fleet: DeclaredFleet,
    seconds: float,
    crashing_per_s: float = 3.0,
    others_per_s: float = 12.0,
    seed: int = 1,
) -> Played:
    """Send requests for some seconds to entries drawn from the seed; return when all have ended.

    A refused request is retried once with the same body, as callers do.
    """
    played = Played()
    rng = random.Random(seed)
    crashing = _send_at_rate(fleet, seconds, crashing_per_s, rng, None, played.crashing)
    others = _send_at_rate(fleet, seconds, others_per_s, rng, "other", played.others)
    await asyncio.gather(crashing, others)
    return played


async def _send_at_rate(
    fleet: DeclaredFleet,
    seconds: float,
    per_s: float,
    rng: random.Random,
    name: str | None,
    replies: list[Reply],
) -> None:
    async def ask(body: bytes) -> None:
        for _ in range(ATTEMPTS):
            entry = rng.randrange(len(fleet.entries))
            try:
                reply = await fleet.ask("/report/1", entry=entry, body=body, X_Model="market")
            except OSError:
                continue  # that entry is down
            replies.append(reply)
            if reply.whole and reply.status < 500:
                return
            await asyncio.sleep(rng.uniform(0.1, 1.0))

    sends = []
    end = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < end:
        body = CRASHING if name is None else f"{name} {rng.random()}".encode()
        sends.append(asyncio.ensure_future(ask(body)))
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
    metric = "lacewinggw_requests_quarantined "
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
