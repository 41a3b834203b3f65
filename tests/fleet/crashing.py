"""A request that ends each target that begins it, asked again and again, and others beside it."""

import asyncio
from dataclasses import dataclass, field

from declared_fleet import DeclaredFleet, Reply

CRASHING = b"a request that no target survives"
NOTICE_S = 3.0  # what an entry has to notice that a third target ended
ALLOWED_LATER = 3  # arrivals after that


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
    body: bytes = CRASHING,
) -> Played:
    """Ask for some seconds, at each entry in turn; return when all is answered."""
    played = Played()
    crashing = _ask_often(fleet, seconds, crashing_per_s, lambda _: body, played.crashing)
    others = _ask_often(fleet, seconds, others_per_s, lambda n: b"other %d" % n, played.others)
    await asyncio.gather(crashing, others)
    return played


async def _ask_often(fleet, seconds, per_s, body_of, replies) -> None:
    async def ask(number: int) -> None:
        body = body_of(number)
        entry = number % len(fleet.entries)
        replies.append(await fleet.ask("/report/1", entry=entry, body=body, X_Model="market"))

    asked = []
    for number in range(round(seconds * per_s)):
        asked.append(asyncio.ensure_future(ask(number)))
        await asyncio.sleep(1 / per_s)
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


async def add_engines(fleet: DeclaredFleet, engines: int, pause_s: float = 0.1) -> None:
    """Add model engines with agents, which end under the request, to a fleet."""
    for number in range(engines):
        name = f"engine{number}"
        target = await fleet.add_target(name, "writer", f"10.2.0.{number + 1}")
        target.behaviour.pause_s = pause_s
        target.behaviour.crashes_on = frozenset({CRASHING})
        await fleet.add_agent(name)
    await asyncio.sleep(2.0)
