"""A model engine in a process of its own, which a case may kill and start again."""

import argparse
import asyncio
from pathlib import Path

from world import Engine, Record, Weights


async def main() -> None:
    """Serve until killed."""
    parser = argparse.ArgumentParser()
    for name in ("name", "address", "service", "zone", "record", "model"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--began", type=float, required=True)
    parser.add_argument("--shape", type=int, nargs=3, required=True)
    parser.add_argument("--unframed", action="store_true")
    parser.add_argument("--spoil-share", type=float, default=0.0, help="of its answers' heads")
    parser.add_argument("--empty", action="store_true", help="it holds no layers yet")
    given = parser.parse_args()
    record = Record(Path(given.record), given.began)
    weights = Weights(given.model, *given.shape)
    engine = Engine(given.name, given.address, given.service, given.zone, weights, record)
    engine.framed = not given.unframed
    engine.spoil_share = given.spoil_share
    if given.empty:
        engine.version = None
    await engine.server.start()
    record(f"{given.name}: starts")
    await asyncio.Event().wait()


asyncio.run(main())
