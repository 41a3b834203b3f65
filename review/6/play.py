"""Requests begin on an older version of the weights later than `version_ms` after a newer one.

The origin of weights is down as a version is named, so that the engines still have the older one
when it has to be in use. They pause for 1.2 s at that time, as a sound server may, with requests
accepted whose first token is not made yet.
"""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "4"))
from standins import BOUNDS, MODEL, ROUTE, Fleet, Record, main, send  # noqa: E402

FOLDER = Path(__file__).resolve().parent
VERSION_S = BOUNDS["version"] / 1000
FIRST_EVENT_S = 0.15  # with some 1,300 tokens to read and others to serve
AWAY_S = 6.0  # of the origin, from the naming on
PAUSE_AT_S = 7.0  # after the naming
PAUSE_S = 1.2
VERSION = 2


async def play(record: Record, trouble: bool) -> int:
    fleet = Fleet(record, entries=2, engines=4)
    for engine in fleet.engines:
        engine.count_events = lambda request: 4 + int(request.target[-1])  # 4 to 13
        engine.first_event_s = FIRST_EVENT_S
        engine.sends_head_first = True
    outcomes = {"complete": 0, "other": 0}
    stopping = asyncio.Event()

    async def client(number: int) -> None:
        """A client with requests, one after the other."""
        rng = random.Random(number)
        count = 0
        while not stopping.is_set():
            count += 1
            attempt, path = f"{number:04x}{count:012x}", f"{ROUTE}note-{number}-{count}"
            reply = await send(fleet.doors[count % 2], attempt, path, b"note" + attempt.encode())
            outcomes["complete" if reply.status == 200 and reply.complete else "other"] += 1
            is_served = reply.complete and reply.status == 200
            await asyncio.sleep(rng.uniform(0.0, 0.1) if is_served else 0.3)

    async def away() -> None:
        fleet.origin.crash()
        record.note("the origin of weights is down")
        await asyncio.sleep(AWAY_S)
        await fleet.origin.open()
        record.note("the origin of weights is back")

    try:
        await fleet.start()
        if not await fleet.wait_ready():
            return 2
        await asyncio.sleep(4.0)
        clients = [asyncio.create_task(client(number)) for number in range(48)]
        await asyncio.sleep(4.0)
        outage = asyncio.create_task(away()) if trouble else None
        fleet.store.put_json("op", f"version/{MODEL}", {"Model": MODEL, "Version": VERSION})
        named_at = record.now()
        record.note(f"version {VERSION} is named")
        await asyncio.sleep(PAUSE_AT_S)
        for engine in fleet.engines:
            engine.fall_silent(PAUSE_S)
        await asyncio.sleep(14.0)
        stopping.set()
        await asyncio.gather(*clients)
        if outage is not None:
            await outage
        if not fleet.all_run():
            record.note("a process of the fleet ended")
            return 2
    finally:
        fleet.stop()
    runs = sorted((run for engine in fleet.engines for run in engine.runs), key=lambda run: run.at)
    late = [run for run in runs if run.version < VERSION and run.at > named_at + VERSION_S]
    for run in late:
        record.note(
            f"attempt {run.attempt} began on {run.engine} with version {run.version}, "
            f"{run.at - named_at:.3f} s after version {VERSION} was acknowledged"
        )
    record.note(f"requests: {outcomes}; runs: {len(runs)}")
    record.note(f"runs that began on an older version later than {VERSION_S} s: {len(late)}")
    if not any(run.version == VERSION for run in runs):
        record.note("no engine got the new version")
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    main(play, FOLDER)
