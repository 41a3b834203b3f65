"""Entries that restart under load while targets refuse most requests, and the retries they make."""

import asyncio
import random
from bisect import bisect_left
from collections.abc import Sequence

from crashing import add_engines
from declared_fleet import DeclaredFleet

WINDOW_S = 10.0
RETRY_SHARE = 0.2
EXTRA_RETRIES = 100
PLAIN_PATH, STREAM_PATH = "/tally/1", "/report/1"


async def add_refusing_targets(fleet: DeclaredFleet, path: str, share: float) -> None:
    """Add eight targets of the path's service that refuse a share of their requests."""
    if path == STREAM_PATH:
        await add_engines(fleet, 8, pause_s=0.02)
    else:
        for number in range(8):
            await fleet.add_target(f"desk{number}", "desk", f"10.3.0.{number + 1}")
        await asyncio.sleep(1.0)
    for target in fleet.targets.values():
        target.behaviour.shed_share = share


async def send_load(
    fleet: DeclaredFleet, path: str, seconds: float, per_s: float = 80.0, seed: int = 1
) -> list[float]:
    """Send requests to entries drawn from the seed; return when each was sent."""
    rng = random.Random(seed)
    model = {"X_Model": "market"} if path == STREAM_PATH else {}
    entries = len(fleet.entries)
    sent_at: list[float] = []
    sends = []

    async def send() -> None:
        try:
            await fleet.ask(path, entry=rng.randrange(entries), **model)
        except OSError:
            return  # that entry is down

    end = now() + seconds
    while now() < end:
        sent_at.append(now())
        sends.append(asyncio.ensure_future(send()))
        await asyncio.sleep(rng.expovariate(per_s))
    await asyncio.gather(*sends)
    return sent_at


async def restart_entry(fleet: DeclaredFleet, number: int, down_s: float = 0.3) -> None:
    """Stop an entry at once and start it again without its earlier state."""
    place, fleet.is_first_start = fleet.entries[number]._place, False
    await fleet.entries[number].close()
    await asyncio.sleep(down_s)
    await fleet.add_entry(number + 1, place)
    fleet.entries[number] = fleet.entries.pop()


async def restart_all(fleet: DeclaredFleet) -> None:
    """Stop all entries at once and start them again without their earlier state."""
    before, fleet.is_first_start = list(fleet.entries), False
    await asyncio.gather(*(entry.close() for entry in before))
    await asyncio.sleep(0.3)
    fleet.entries.clear()
    for number, entry in enumerate(before, start=1):
        await fleet.add_entry(number, entry._place)


def most_excess_retries(fleet: DeclaredFleet, sent_at: Sequence[float]) -> float:
    """Return the most arrivals beyond the first of their request over what a window allows.

    The result is negative while all windows stay within their limit. The requests of a window are
    those sent in it, in the one before it, or in the one half a window before it, whichever has
    most.
    """
    repeats = repeat_times(fleet)

    def sent(begin: float) -> int:
        return bisect_left(sent_at, begin + WINDOW_S) - bisect_left(sent_at, begin)

    excesses = [
        bisect_left(repeats, begin + WINDOW_S)
        - number
        - EXTRA_RETRIES
        - RETRY_SHARE * max(sent(begin - lag) for lag in (0.0, WINDOW_S / 2, WINDOW_S))
        for number, begin in enumerate(repeats)
    ]
    return max(excesses, default=-float(EXTRA_RETRIES))


def repeat_times(fleet: DeclaredFleet) -> list[float]:
    """Return the times of all arrivals at targets beyond the first of their request, in order."""
    arrivals = sorted(
        (at, request.headers["x-attempt-id"])
        for target in fleet.targets.values()
        for at, request in zip(target.seen_at, target.seen, strict=True)
    )
    seen: set[str] = set()
    repeats = []
    for at, attempt in arrivals:
        if attempt in seen:
            repeats.append(at)
        seen.add(attempt)
    return repeats


def now() -> float:
    return asyncio.get_running_loop().time()
