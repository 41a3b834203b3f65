"""Callers of a fleet, and how the requests that reach a target keep to what it asks for."""

import asyncio
import random
from dataclasses import dataclass, field

from crashing import add_engines
from declared_fleet import DeclaredFleet, Reply
from platform_standins import KEY, TargetStandIn

from lacewinggw.frontend.process import FrontendProcess

NOTICE_S = 3.0  # what entries have from the first answer with a limit on
TOLD_S = 0.5  # an entry is held to a limit so long after it has passed on an answer with it
SPAN_S = 4.0
EXCESS = 1.5
EXTRA = 5


@dataclass
class Played:
    """What callers got, and when each entry first passed on what a target says of itself."""

    replies: list[Reply] = field(default_factory=list)
    told_at: dict[tuple[str, str], float] = field(default_factory=dict)
    left_at: dict[tuple[str, str], float] = field(default_factory=dict)
    refused_after_s: list[float] = field(default_factory=list)

    def note(self, entry: int, reply: Reply, took_s: float) -> None:
        self.replies.append(reply)
        if reply.status == 503:
            self.refused_after_s.append(took_s)
        target = reply.headers.get("x-response-seal", "").removeprefix("seal-of-")
        if "server-limit" in reply.headers:
            self.told_at.setdefault((str(entry), target), now())
        if "server-leaving" in reply.headers:
            self.left_at.setdefault((str(entry), target), now())

    def shares(self) -> dict[int, float]:
        """Return the share of the replies by status."""
        statuses = [reply.status for reply in self.replies]
        return {status: statuses.count(status) / len(statuses) for status in set(statuses)}


async def play(
    fleet: DeclaredFleet,
    seconds: float,
    per_s: float,
    path: str = "/report/1",
    seed: int = 1,
    played: Played | None = None,
    key: str = KEY,
) -> Played:
    """Ask for some seconds at entries drawn from the seed; return when all is answered."""
    played = played or Played()
    rng = random.Random(seed)

    async def ask() -> None:
        entry = rng.randrange(len(fleet.entries))
        model = {"X_Model": "market"} if path.startswith("/report") else {}
        body = f"request {rng.random()}".encode()
        asked_at = now()
        try:
            reply = await fleet.ask(
                path, entry=entry, body=body, X_Via=str(entry), X_Key=key, **model
            )
        except OSError:
            return  # that entry is away
        played.note(entry, reply, now() - asked_at)

    asked = []
    end = now() + seconds
    while now() < end:
        asked.append(asyncio.ensure_future(ask()))
        await asyncio.sleep(rng.expovariate(per_s))
    await asyncio.gather(*asked)
    return played


def name_limit(target: TargetStandIn, per_s: float | None) -> None:
    """Have a target name a limit from now on, or none."""
    target.behaviour.limit_per_s = per_s


def require_limit_kept(target: TargetStandIn, per_s: float, named_at: float, played: Played):
    """Assert that a target got no more than it may in any span, from entries that were told."""
    counted = [
        at
        for at, request in zip(target.seen_at, target.seen, strict=True)
        if at >= named_at + NOTICE_S
        and at >= played.told_at.get((request.headers["x-via"], target.target_id), at) + TOLD_S
    ]
    allowed = EXCESS * per_s * SPAN_S + EXTRA
    most = busiest_span(counted)
    assert most <= allowed, f"{most} requests in {SPAN_S} s at {per_s} a second"


def busiest_span(times: list[float]) -> int:
    """Return the largest number of times within one span."""
    ordered = sorted(times)
    first, most = 0, 0
    for last, at in enumerate(ordered):
        while ordered[first] < at - SPAN_S:
            first += 1
        most = max(most, last - first + 1)
    return most


def rate_since(target: TargetStandIn, since: float) -> float:
    """Return how many requests a second a target has got since a moment."""
    return sum(at >= since for at in target.seen_at) / (now() - since)


async def add_limited_engines(fleet: DeclaredFleet, engines: int, limits: list[float]) -> None:
    """Add engines with agents, of which the first ones name a limit each."""
    await add_engines(fleet, engines, pause_s=0.05, places=("hall", "room", "shed"))
    for number, per_s in enumerate(limits):
        name_limit(fleet.targets[f"engine{number}"], per_s)


def limited(entry: FrontendProcess) -> int:
    """Return how many targets name a limit, as an entry knows."""
    wanted = "lacewinggw_targets_limited "
    lines = [line for line in entry.metrics.render().splitlines() if line.startswith(wanted)]
    return round(float(lines[0].removeprefix(wanted)))


def now() -> float:
    return asyncio.get_running_loop().time()
