"""Run a coroutine on virtual time in its own event loop; cancel pending tasks at the end."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any, TypeVar

import looptime

T = TypeVar("T")


def run_virtual(coroutine: Coroutine[Any, Any, T], seed: int = 0) -> T:
    """Return the result of the coroutine; seed the global random generator first."""
    random.seed(seed)
    loop = looptime.new_event_loop(start=1.0, noop_cycles=1)
    try:
        return loop.run_until_complete(coroutine)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.run_until_complete(loop.shutdown_asyncgens())
        loop.close()
