"""Entries as processes of their own on loopback addresses."""

import asyncio
import json
import os
import signal
import sys
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path

from lacewinggw.wire.network import Network

ROOT = Path(__file__).resolve().parents[2]
READY_S = 15.0
READY_STEP_S = 0.1
GRACE_S = 8.0
SETTINGS = """
[process]
host = entry-{number}
place = hall
fleet_key = soak
[fleet]
store = {store}
regions = hall:north
grace = 8s
extra_retries = {extra_retries}
[entry]
caller_listen = {ip}:8005
ready_listen = {ip}:8002
directory_listen = {ip}:8009
peer_listen = {ip}:7700
operator_listen = {ip}:7715
address_ttl = 2s
"""


async def launch(
    arguments: Sequence[str], settings_path: Path, log_path: Path
) -> asyncio.subprocess.Process:
    """Start a process of the product, whose log is appended to a file."""
    path = os.pathsep.join([str(ROOT / "platform"), str(ROOT / "src")])
    with log_path.open("ab") as log_file:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log_file,
            stderr=log_file,
            env={**os.environ, "PYTHONPATH": path, "LACEWINGGW_BOOT": str(settings_path)},
        )


class EntryProcess:
    """One entry, restarted at the same address after each SIGTERM."""

    def __init__(self, number: int, ip: str, store: str, folder: Path) -> None:
        self.ip = ip
        self.log_path = folder / f"entry-{number}.log"
        self._number = number
        self._store = store
        self._settings_path = folder / f"entry-{number}.ini"
        self._process: asyncio.subprocess.Process | None = None
        self.crashes: list[int] = []
        self.write_settings(100)

    def write_settings(self, extra_retries: int) -> None:
        text = SETTINGS.format(
            number=self._number, ip=self.ip, store=self._store, extra_retries=extra_retries
        )
        self._settings_path.write_text(text)

    async def start(self) -> None:
        arguments = ("-m", "lacewinggw_platform", "entry")
        self._process = await launch(arguments, self._settings_path, self.log_path)

    def signal(self, number: signal.Signals) -> None:
        assert self._process is not None, "call start() first"
        with suppress(ProcessLookupError):
            self._process.send_signal(number)

    async def stop(self) -> None:
        """Send SIGTERM, and SIGKILL after the grace period as the platform does."""
        assert self._process is not None, "call start() first"
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                status = await self._process.wait()
        except TimeoutError:
            self._process.kill()
            status = await self._process.wait()
        if status != 0:
            self.crashes.append(status)

    async def kill(self) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    def lines(self) -> list[dict]:
        """Return the log lines of all its starts."""
        lines = []
        for text in self.log_path.read_text().splitlines():
            with suppress(ValueError):
                lines.append(json.loads(text))
        return lines


async def wait_until_ready(network: Network, entries: Sequence[EntryProcess]) -> None:
    """Wait until all entries accept callers and have the routes."""
    async with asyncio.timeout(READY_S):
        for entry in entries:
            while not await _is_ready(network, entry):  # noqa: ASYNC110 - it is a request
                await asyncio.sleep(READY_STEP_S)


async def _is_ready(network: Network, entry: EntryProcess) -> bool:
    try:
        stream = await network.connect(f"{entry.ip}:8002")
    except OSError:
        return False
    try:
        stream.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        return (await stream.read(1000)).startswith(b"HTTP/1.1 200")
    finally:
        stream.close()
