"""Staged pieces turn bad after an agent has checked them, more than 3 s before its order.

An agent reads the staged pieces back one after the other and orders the load after the last one. The
engine falls silent for 0.85 s four times meanwhile, which a sound server may, and goes on each time.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "4"))
from standins import CHUNKS, MODEL, ROUTE, Engine, Fleet, Record, main, piece, send  # noqa: E402

FOLDER = Path(__file__).resolve().parent
SPOILT = [0, 1, 2, 3]  # of 64 pieces: a share of 0.06, at two of four engines: a share of 0.5
SPOILT_ENGINES = (0, 1)
SPOIL_AT = 4  # as this piece is read back; those before it have been
SILENT_AT = (10, 26, 42, 58)
SILENT_S = 0.85
VERSION = 2


async def play(record: Record, trouble: bool) -> int:
    fleet = Fleet(record, entries=2, engines=4)
    silenced: set[tuple[int, int]] = set()
    spoilt: set[int] = set()

    def on_read(engine: Engine, index: int) -> None:
        """Act as the agent reads pieces back once all of the new version are staged."""
        if engine.held != 1 or engine.number not in SPOILT_ENGINES:
            return
        if engine.number not in spoilt:
            is_staged = all(engine.staged.get(each) == piece(VERSION, each) for each in range(CHUNKS))
            if index != SPOIL_AT or not is_staged:
                return
            spoilt.add(engine.number)
            record.note(f"engine {engine.number}: the agent has read back the pieces {SPOILT}")
            if trouble:
                engine.spoil(SPOILT)
        elif index in SILENT_AT and (engine.number, index) not in silenced:
            silenced.add((engine.number, index))
            engine.fall_silent(SILENT_S)

    for engine in fleet.engines:
        engine.on_read = lambda index, engine=engine: on_read(engine, index)
    outcomes = {"complete": 0, "other": 0}
    stopping = asyncio.Event()

    async def client(number: int) -> None:
        """A client with requests, one after the other."""
        count = 0
        while not stopping.is_set():
            count += 1
            attempt, path = f"{number:04x}{count:012x}", f"{ROUTE}note-{number}-{count}"
            reply = await send(fleet.doors[count % 2], attempt, path, b"note" + attempt.encode())
            outcomes["complete" if reply.status == 200 and reply.complete else "other"] += 1
            if not reply.complete or reply.status != 200:
                await asyncio.sleep(0.3)

    try:
        await fleet.start()
        if not await fleet.wait_ready():
            return 2
        await asyncio.sleep(4.0)
        clients = [asyncio.create_task(client(number)) for number in range(12)]
        await asyncio.sleep(4.0)
        fleet.store.put_json("op", f"version/{MODEL}", {"Model": MODEL, "Version": VERSION})
        record.note(f"version {VERSION} is named")
        await asyncio.sleep(25.0)
        stopping.set()
        await asyncio.gather(*clients)
        if not fleet.all_run():
            record.note("a process of the fleet ended")
            return 2
    finally:
        fleet.stop()
    runs = sorted((run for engine in fleet.engines for run in engine.runs), key=lambda run: run.at)
    new = [run for run in runs if run.version == VERSION]
    bad = [run for run in new if not run.is_sound]
    for run in new:
        kind = "sound layers" if run.is_sound else "layers of spoilt pieces"
        record.note(f"attempt {run.attempt} ran on {run.engine} from {run.at:.3f} on {kind}")
    record.note(f"requests: {outcomes}; runs on version {VERSION}: {len(new)}")
    record.note(f"runs with a layer that was taken from a piece spoilt for over 3 s: {len(bad)}")
    if not any(run.engine[:4] in ("i-00", "i-01") for run in new):
        record.note("the engines in question made no tokens on the new version")
        return 2
    return 1 if bad else 0


if __name__ == "__main__":
    main(play, FOLDER)
