"""Some engines spoil the heads of a few answers; streams without a seal reach callers."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from fleet import Clients, Engines  # noqa: E402
from world import Record, Weights, World, run_case  # noqa: E402

SPOILING = 3  # engines of 6; the pages' share is 0.5
SPOIL_SHARE = 0.02  # of their answers, as the pages have it
LENGTH_S = 55.0


async def case(record: Record, trouble: bool) -> bool:
    """Return whether no client got a success without a seal."""
    world = World(record, edges=3, engines=6, weights=Weights("market", 64, 32768, 16))
    world.engines.clear()
    spoiling = ("--spoil-share", str(SPOIL_SHARE if trouble else 0.0))
    engines = Engines(world, *[spoiling] * SPOILING, *[()] * (6 - SPOILING))
    clients = Clients(world)
    try:
        for engine in engines.all:
            await engine.start()
        await asyncio.sleep(0.5)
        await engines.check_in()
        checking_in = asyncio.create_task(engines.keep_checking_in())
        await world.start()
        await asyncio.sleep(3.0)
        record("all entries are ready")
        calls = asyncio.create_task(clients.run())
        await asyncio.sleep(LENGTH_S)
        clients.stop()
        await calls
        checking_in.cancel()
    finally:
        for engine in engines.all:
            await engine.kill()
        await world.close()
    record(f"{clients.whole} whole streams, {clients.unsealed} successes without a seal")
    return not clients.unsealed


run_case(case, HERE, 110.0)
