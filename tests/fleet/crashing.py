"""A request that ends each target that begins it, asked again and again, and others beside it."""

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from declared_fleet import DeclaredFleet, Reply

from lacewinggw.frontend.process import FrontendProcess

CRASHING = b"a request that no target survives"
NOTICE_S = 3.0  # what an entry has to notice that a third target ended
ALLOWED_LATER = 3  # arrivals after that
ATTEMPTS = 2  # of a caller at a request


@dataclass
class Played:
    """What came of the requests; each of the others is asked once, and has a body of its own."""

    crashing: list[Reply] = field(default_factory=list)
    others: list[Reply] = field(default_factory=list)


async def play(
    fleet: DeclaredFleet,
    seconds: float,
    crashing_per_s: float = 3.0,
    others_per_s: float = 12.0,
    seed: int = 1,
) -> Played:
    """Ask for some seconds, at entries drawn from the seed; return when all is answered.

    Whoever is refused comes back once, as callers do, with the same body.
    """
    played = Played()
    rng = random.Random(seed)
    crashing = _ask_often(fleet, seconds, crashing_per_s, rng, None, played.crashing)
    others = _ask_often(fleet, seconds, others_per_s, rng, "other", played.others)
    await asyncio.gather(crashing, others)
    return played


async def _ask_often(
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
                continue  # that entry is away
            replies.append(reply)
            if reply.whole and reply.status < 500:
                return
            await asyncio.sleep(rng.uniform(0.1, 1.0))

    asked = []
    end = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < end:
        body = CRASHING if name is None else f"{name} {rng.random()}".encode()
        asked.append(asyncio.ensure_future(ask(body)))
        await asyncio.sleep(rng.expovariate(per_s))
    await asyncio.gather(*asked)


def ends(fleet: DeclaredFleet) -> list[float]:
    """Return when targets ended, in order."""
    return sorted(at for target in fleet.targets.values() for at in target.ended_at)


def arrivals(fleet: DeclaredFleet, body: bytes = CRASHING) -> list[float]:
    """Return when a request reached targets, in order."""
    return sorted(
        at
        for target in fleet.targets.values()
        for at, request in zip(target.seen_at, target.seen, strict=True)
        if request.body == body
    )


def late_arrivals(fleet: DeclaredFleet, body: bytes = CRASHING) -> list[float]:
    """Return the arrivals of a request once its third target had ended so long ago."""
    noticed_at = ends(fleet)[2] + NOTICE_S
    return [at for at in arrivals(fleet, body) if at > noticed_at]


async def add_engines(
    fleet: DeclaredFleet, engines: int, pause_s: float = 0.1, places: Sequence[str] = ("hall",)
) -> None:
    """Add model engines with agents, which end under the request, to a fleet."""
    for number in range(engines):
        name = f"engine{number}"
        place = places[number % len(places)]
        target = await fleet.add_target(name, "writer", f"10.2.0.{number + 1}", zone=place)
        target.behaviour.pause_s = pause_s
        target.behaviour.crashes_on = frozenset({CRASHING})
        await fleet.add_agent(name, place)
    await asyncio.sleep(2.0)


def crashing_refused(played: Played) -> list[Reply]:
    """Return the answers that say that the request is kept away from targets, and has not run."""
    return [
        reply
        for reply in played.crashing
        if reply.status == 503 and b"quarantined" in reply.body and "retry-after" in reply.headers
    ]


def quarantined(entry: FrontendProcess) -> int:
    """Return how many requests an entry keeps away from targets."""
    wanted = "lacewinggw_requests_quarantined "
    lines = [line for line in entry.metrics.render().splitlines() if line.startswith(wanted)]
    return round(float(lines[0].removeprefix(wanted)))


async def restart_entries(fleet: DeclaredFleet, count: int) -> None:
    """End the first entries at one moment, and start them anew without anything of before."""
    for entry in fleet.entries[:count]:
        await entry.close()
    later = fleet.entries[count:]
    fleet.entries.clear()
    for number in range(count):
        await fleet.add_entry(number + 1)
    fleet.entries.extend(later)
    await asyncio.sleep(1.0)
