"""Termination signals during start, operation and drain."""

import asyncio
import os
import signal

import pytest

from lacewinggw.service import run_until_signalled


class Recorder:
    """A process that records its steps, receives signals in some, and may hang in one."""

    def __init__(self, signals: dict[str, int], hang: str = "") -> None:
        self.steps: list[str] = []
        self._signals = signals
        self._hang = hang

    async def run(self) -> None:
        """Run to the end."""
        await run_until_signalled(self.start, self.drain, self.close)

    async def start(self) -> None:
        """Record the start."""
        await self._step("start")

    async def drain(self) -> None:
        """Record the drain."""
        await self._step("drain")

    async def close(self) -> None:
        """Record the close."""
        await self._step("close")

    async def _step(self, name: str) -> None:
        self.steps.append(name)
        if name in self._signals:
            os.kill(os.getpid(), self._signals[name])
        if name == self._hang:
            try:
                await asyncio.Event().wait()
            finally:
                self.steps.append(f"{name} cancelled")


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
async def test_signal_drains(number: int) -> None:
    recorder = Recorder({"start": number})
    await recorder.run()
    assert recorder.steps == ["start", "drain", "close"]


async def test_signal_during_start_cancels_it() -> None:
    recorder = Recorder({"start": signal.SIGTERM}, hang="start")
    await recorder.run()
    assert recorder.steps == ["start", "start cancelled", "close"]


async def test_second_signal_cancels_the_drain() -> None:
    recorder = Recorder({"start": signal.SIGTERM, "drain": signal.SIGTERM}, hang="drain")
    await recorder.run()
    assert recorder.steps == ["start", "drain", "drain cancelled", "close"]


async def test_failed_start_is_closed_and_raised() -> None:
    recorder = Recorder({})

    async def fail() -> None:
        raise OSError("the address is taken")

    with pytest.raises(OSError, match="taken"):
        await run_until_signalled(fail, recorder.drain, recorder.close)
    assert recorder.steps == ["close"]


async def test_signal_handlers_are_removed_afterwards() -> None:
    await Recorder({"start": signal.SIGTERM}).run()
    assert not asyncio.get_running_loop().remove_signal_handler(signal.SIGTERM)
