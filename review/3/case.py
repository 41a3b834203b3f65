"""An agent freezes between its check of the staged pieces and its order; a checked piece turns bad.

The check takes some 20 ms. The script freezes the agent of each engine at a random piece of its
check, at most twice per version. Most agents that were frozen find that a call took too long and
check again; those that were about to process an answer go on and order what is there.
"""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from fleet import Clients  # noqa: E402
from world import Engine, Process, Record, Weights, World, run_case  # noqa: E402

FREEZE_S = 3.7  # of one agent; the pages' days have up to 4 s on a share of these machines
SPOIL_AFTER_S = 0.1
SPOILT = 4  # pieces of 64 that turn bad; the pages have a share of 0.06
FREEZES = 2  # of one agent per version, at most
VERSIONS = 5
VERSION_S = 14.0
MAX_DELAY_S = 40e-6  # from the piece that is answered to the freeze


class Troubles:
    """Freezes an agent during its check, and turns pieces bad meanwhile."""

    def __init__(self, world: World, rng: random.Random) -> None:
        self._world, self._rng = world, rng
        self.tasks: list[asyncio.Task[None]] = []

    def arm(self, version: int) -> None:
        """Wait for the checks of a version."""
        for engine, agent in zip(self._world.engines, self._world.agents, strict=True):
            self._arm(engine, agent, version)

    def _arm(self, engine: Engine, agent: Process, version: int) -> None:
        pieces = range(engine.weights.pieces)
        left = [self._rng.randrange(16, 48) for _ in range(FREEZES)]

        def on_read(index: int) -> None:
            if not left or index != left[-1]:
                return
            if any(engine.staged.get(i) != engine.weights.piece(version, i) for i in pieces):
                return
            left.pop()
            end = time.perf_counter() + self._rng.uniform(0.0, MAX_DELAY_S)
            while time.perf_counter() < end:
                pass
            agent.send(signal.SIGSTOP)
            self.tasks.append(asyncio.create_task(self._freeze(engine, agent)))

        engine.on_read = on_read

    async def _freeze(self, engine: Engine, agent: Process) -> None:
        await asyncio.sleep(SPOIL_AFTER_S)
        engine.spoil(self._rng.sample(range(engine.weights.pieces), SPOILT))
        await asyncio.sleep(FREEZE_S - SPOIL_AFTER_S)
        agent.send(signal.SIGCONT)


async def case(record: Record, trouble: bool) -> bool:
    """Return whether no request ran on layers that were taken while a piece was bad."""
    world = World(record, edges=3, engines=6, weights=Weights("market", 64, 32768, 16))
    troubles = Troubles(world, random.Random(67))
    clients = Clients(world)
    try:
        await world.start()
        record("all entries are ready")
        await asyncio.sleep(3.0)
        calls = asyncio.create_task(clients.run())
        for version in range(2, 2 + VERSIONS):
            await asyncio.sleep(1.0)
            if trouble:
                troubles.arm(version)
            named = {"Model": world.weights.model, "Version": version}
            world.store.put("op", f"version/{world.weights.model}", named)
            record(f"operator: names version {version}")
            await asyncio.sleep(VERSION_S - 1.0)
        clients.stop()
        await calls
        if troubles.tasks:
            await asyncio.wait(troubles.tasks)
    finally:
        await world.close()
    broken = [run for engine in world.engines for run in engine.runs if run[3]]
    record(f"{len(troubles.tasks)} freezes, {len(broken)} requests ran on layers not whole")
    return not broken


run_case(case, HERE, 110.0)
