"""Run a process until a termination signal, then drain it."""

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from lacewinggw.log import get_logger

Step = Callable[[], Awaitable[None]]
LEAVE_SIGNALS = (signal.SIGTERM, signal.SIGINT)
CODE_PATH = Path(__file__).resolve().parent  # a build is named after its sources
PYTHON_VERSION = sys.version.partition(" ")[0]


async def run_until_signalled(start: Step, drain: Step, close: Step) -> None:
    """Await `start`, wait for SIGTERM or SIGINT, then await `drain` and `close`.

    A signal during `start` cancels it; a second signal during `drain` cancels that. A process that
    has not started is not drained. `close` is always awaited, so that open resources are closed.
    """
    loop = asyncio.get_running_loop()
    leaving = asyncio.Event()
    for number in LEAVE_SIGNALS:
        loop.add_signal_handler(number, leaving.set)
    try:
        await _serve(start, drain, leaving)
    finally:
        await close()
        for number in LEAVE_SIGNALS:
            loop.remove_signal_handler(number)


async def _serve(start: Step, drain: Step, leaving: asyncio.Event) -> None:
    log = get_logger(__name__)
    if not await _finish_unless(start, leaving):
        log.info("start_given_up")
        return
    log.info("started", code=str(CODE_PATH), python=PYTHON_VERSION)
    await leaving.wait()
    leaving.clear()
    log.info("draining")
    if not await _finish_unless(drain, leaving):
        log.warning("drain_cut_short")


async def _finish_unless(step: Step, signalled: asyncio.Event) -> bool:
    """Await `step`, but cancel it once `signalled` is set; return whether it finished."""
    running = asyncio.ensure_future(step())
    waiting = asyncio.ensure_future(signalled.wait())
    try:
        await asyncio.wait((running, waiting), return_when=asyncio.FIRST_COMPLETED)
        if running.done():
            running.result()
            return True
        running.cancel()
        await asyncio.wait((running,))
        return False
    finally:
        running.cancel()
        waiting.cancel()
