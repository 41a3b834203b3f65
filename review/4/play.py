"""A request crashes each engine that runs it, half a second after the first event of its answer."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "4"))
from standins import ROUTE, STABILITY_S, Engine, Fleet, Record, Request, main, send  # noqa: E402

FOLDER = Path(__file__).resolve().parent
DEADLY = ROUTE + "deadly"
CRASH_AFTER_S = float(os.environ.get("CRASH_AFTER", "0.5"))
BACK_AFTER_S = 2.5
TIMES = 14  # that the request comes, each time as a new client attempt
PAUSE_S = 1.0
ALLOWED = 3


async def play(record: Record, trouble: bool) -> int:
    fleet = Fleet(record, entries=2, engines=6)
    crashes: list[float] = []
    tasks: set[asyncio.Task] = set()

    def crash(engine: Engine, request: Request) -> None:
        crashes.append(record.now())
        record.note(
            f"engine {engine.number} crashes {CRASH_AFTER_S} s into attempt "
            f"{request.headers['x-attempt-id']}, with {engine.running - 1} other requests"
        )
        tasks.add(asyncio.create_task(engine.end(BACK_AFTER_S)))

    for engine in fleet.engines:
        engine.is_deadly = lambda request: trouble and request.path == DEADLY
        engine.crash_after_s = CRASH_AFTER_S
        engine.on_crash = lambda request, engine=engine: crash(engine, request)
    outcomes = {"complete": 0, "other": 0}
    stopping = asyncio.Event()

    async def sound(number: int) -> None:
        """A client with sound requests, one after the other."""
        count = 0
        while not stopping.is_set():
            count += 1
            attempt, path = f"{number:04x}{count:012x}", f"{ROUTE}sound-{number}-{count}"
            reply = await send(fleet.doors[count % 2], attempt, path, b"sound" + attempt.encode())
            outcomes["complete" if reply.status == 200 and reply.complete else "other"] += 1
            if not reply.complete or reply.status != 200:
                record.note(f"sound attempt {attempt}: {reply}")
                await asyncio.sleep(0.3)

    try:
        await fleet.start()
        if not await fleet.wait_ready():
            return 2
        await asyncio.sleep(4.0)
        clients = [asyncio.create_task(sound(number)) for number in range(8)]
        await asyncio.sleep(4.0)
        for count in range(TIMES):
            attempt = f"dead{count:012x}"
            record.note(f"attempt {attempt} is sent to entry {count % 2}")
            reply = await send(fleet.doors[count % 2], attempt, DEADLY, b"the same body")
            record.note(f"attempt {attempt}: {reply}")
            await asyncio.sleep(PAUSE_S)
        stopping.set()
        await asyncio.gather(*clients)
        if not fleet.all_run():
            record.note("a process of the fleet ended")
            return 2
    finally:
        fleet.stop()
    runs = sorted((run for engine in fleet.engines for run in engine.runs), key=lambda run: run.at)
    deadly = [run for run in runs if run.target == DEADLY]
    for run in deadly:
        record.note(f"attempt {run.attempt} ran on {run.engine} from {run.at:.3f}")
    record.note(f"crashes: {len(crashes)}; sound requests: {outcomes}")
    if len(crashes) < 3:
        record.note("fewer than three crashes: the rule asks nothing")
        return 0 if not trouble or CRASH_AFTER_S == 0 else 2
    late = [run for run in deadly if run.at > crashes[2] + STABILITY_S]
    record.note(
        f"third crash at {crashes[2]:.3f}; retries that reached engines more than {STABILITY_S} s "
        f"after it: {len(late)}, allowed {ALLOWED}"
    )
    return 1 if len(late) > ALLOWED else 0


if __name__ == "__main__":
    main(play, FOLDER)
