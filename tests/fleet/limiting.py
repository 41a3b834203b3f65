"""Callers of a fleet, and checks that a target's requests stay within the limit that it sets."""

import asyncio
import random
from dataclasses import dataclass, field

from crashing import add_engines
from declared_fleet import DeclaredFleet, Reply
from platform_standins import KEY, TargetStandIn

from lacewinggw.frontend.process import FrontendProcess

NOTICE_S = 3.0  # the time that entries have to apply a limit, from the first answer with it
ANNOUNCED_S = 0.5  # the time that an entry has after it passed on an answer with the limit
SPAN_S = 4.0
EXCESS = 1.5
EXTRA = 5


@dataclass
class Played:
    """The replies to callers, and when each entry first passed on a target's limit or leaving.

    The times are by entry number and target id.
    """

    replies: list[Reply] = field(default_factory=list)
    announced_at: dict[tuple[str, str], float] = field(default_factory=dict)
    left_at: dict[tuple[str, str], float] = field(default_factory=dict)
    refused_after_s: list[float] = field(default_factory=list)

    def note(self, entry: int, reply: Reply, took_s: float) -> None:
        self.replies.append(reply)
        if reply.status == 503:
            self.refused_after_s.append(took_s)
        target = reply.headers.get("x-response-seal", "").removeprefix("seal-of-")
        if "server-limit" in reply.headers:
            self.announced_at.setdefault((str(entry), target), now())
        if "server-leaving" in reply.headers:
            self.left_at.setdefault((str(entry), target), now())

    def shares(self) -> dict[int, float]:
        """Return the share of the replies with each status."""
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
    """Send requests for some seconds to entries drawn from the seed; return when all have ended."""
    played = played or Played()
    rng = random.Random(seed)

    async def send() -> None:
        entry = rng.randrange(len(fleet.entries))
        model = {"X_Model": "market"} if path.startswith("/report") else {}
        body = f"request {rng.random()}".encode()
        sent_at = now()
        try:
            reply = await fleet.ask(
                path, entry=entry, body=body, X_Via=str(entry), X_Key=key, **model
            )
        except OSError:
            return  # that entry is down
        played.note(entry, reply, now() - sent_at)

    sends = []
    end = now() + seconds
    while now() < end:
        sends.append(asyncio.ensure_future(send()))
        await asyncio.sleep(rng.expovariate(per_s))
    await asyncio.gather(*sends)
    return played


def name_limit(target: TargetStandIn, per_s: float | None) -> None:
    """Make a target set a limit in its answers from now on, or none."""
    target.behaviour.limit_per_s = per_s


def assert_limit_kept(target: TargetStandIn, per_s: float, named_at: float, played: Played):
    """Assert that entries which got a target's limit sent no more than allowed in any span."""
    counted_at = [
        at
        for at, request in zip(target.seen_at, target.seen, strict=True)
        if at >= named_at + NOTICE_S
        and at
        >= played.announced_at.get((request.headers["x-via"], target.target_id), at) + ANNOUNCED_S
    ]
    allowed = EXCESS * per_s * SPAN_S + EXTRA
    most = busiest_span(counted_at)
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
    """Return the rate of a target's requests since `since`, per second."""
    return sum(at >= since for at in target.seen_at) / (now() - since)


async def add_limited_engines(fleet: DeclaredFleet, engines: int, limits: list[float]) -> None:
    """Add engines with agents; the first ones set one of `limits` each."""
    await add_engines(fleet, engines, pause_s=0.05, places=("hall", "room", "shed"))
    for number, per_s in enumerate(limits):
        name_limit(fleet.targets[f"engine{number}"], per_s)


def count_limited(entry: FrontendProcess) -> int:
    """Return how many targets have a limit in an entry's view."""
    metric = "lacewinggw_targets_limited "
    lines = [line for line in entry.metrics.render().splitlines() if line.startswith(metric)]
    return round(float(lines[0].removeprefix(metric)))


def now() -> float:
    return asyncio.get_running_loop().time()
