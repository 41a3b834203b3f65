"""Several targets of one kind in one lab process, each at an address of its own."""

import random

from lacewinggw.ids import Address
from lacewinggw.lab.engine import EngineSpec, EngineStandIn
from lacewinggw.lab.plain import PlainStandIn
from lacewinggw.lab.standin import StandIn
from lacewinggw.wire.network import Network

FENCING_EVERY = 3


def make_targets(
    network: Network, kind: str, ip: str, count: int, seed: int, token_s: float, batch: int
) -> list[StandIn]:
    """Make `count` targets; every third engine refuses old fencing numbers."""
    rng = random.Random(seed)
    made: list[StandIn] = []
    for number in range(count):
        address, own_seed = f"{ip}:0", rng.getrandbits(32)
        if kind == "plain":
            made.append(PlainStandIn(network, address, own_seed))
            continue
        spec = EngineSpec(number % FENCING_EVERY == 0, batch_limit=batch, token_s=token_s)
        made.append(EngineStandIn(network, address, own_seed, spec))
    return made


async def start_all(stand_ins: list[StandIn]) -> list[Address]:
    """Start stand-ins and return their addresses."""
    for stand_in in stand_ins:
        await stand_in.start()
    return [Address(stand_in.address) for stand_in in stand_ins]
