"""What a request holds is freed when it ends, however it ends, without a garbage collection.

Guards against errors that refer to the frames which they passed through: a large body stayed in
memory until the next full collection, beside those that arrived meanwhile.
"""

import asyncio
import gc
from contextlib import contextmanager

import pytest
from declared_fleet import running_fleet
from platform_standins import manifest

from lacewinggw.frontend.calls import Call

pytestmark = pytest.mark.looptime

BODY = b"x" * (1 << 20)
LIMITS = {
    "MaxHeaderBytes": 4096,
    "MaxBodyBytes": len(BODY),
    "HeaderTimeoutMs": 1000,
    "IdleTimeoutMs": 5000,
}
ENDINGS = {
    "answered": {},
    "answered with an error": {"errors": 100},
    "refused by the target": {"shed": 100},
    "without an answer in time": {"silent": 100},
    "left by the caller": {"pause_s": 2.0},
    "with an answer of another request": {"wrong_id": True},
}


@contextmanager
def uncollected():
    """Collect no garbage within the block."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def kept_calls() -> int:
    """Return how many requests with a body are in memory."""
    return sum(isinstance(each, Call) and bool(each.body) for each in gc.get_objects())


@pytest.mark.parametrize("path", ["/tally/1", "/sheet/1", "/report/1", "/unknown/1"])
@pytest.mark.parametrize("ending", ENDINGS)
async def test_a_request_is_freed_when_it_ends(ending, path):
    async with running_fleet(desks=1, engines=1) as fleet:
        fleet.store.put("op", "config", manifest(3, Limits=LIMITS))
        await asyncio.sleep(1.0)
        for target in fleet.targets.values():
            for name, value in ENDINGS[ending].items():
                setattr(target.behaviour, name, value)
        leave_after_s = 1.0 if ending == "left by the caller" else None
        with uncollected():
            await fleet.ask(path, body=BODY, leave_after_s=leave_after_s, X_Model="market")
            await asyncio.sleep(3.0)
            assert kept_calls() == 0
