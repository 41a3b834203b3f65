"""Run a process of a declared fleet: its log, its settings, its signals."""

from collections.abc import Callable
from typing import Protocol

from lacewinggw.generated.settings.ttypes import Settings
from lacewinggw.ids import Incarnation
from lacewinggw.log import configure_process_log
from lacewinggw.logstream import LogStream
from lacewinggw.metrics import Metrics
from lacewinggw.reloading import SettingsWatch
from lacewinggw.service import run_until_signalled


class FleetProcess(Protocol):
    """An entry or an agent."""

    metrics: Metrics
    incarnation: Incarnation

    async def start(self) -> None:
        """Start the process."""

    async def drain(self) -> None:
        """Finish what is running."""

    async def close(self) -> None:
        """Stop."""

    def apply(self, settings: Settings) -> None:
        """Apply changed settings."""


async def run_process(
    process: FleetProcess,
    settings: Settings,
    role: str,
    path: str,
    load: Callable[[], Settings],
) -> None:
    """Run a process until it is signalled to stop; `load` rereads the settings at `path`."""
    stream = LogStream.for_stdout()
    configure_process_log(settings.process, role, process.incarnation, stream)
    process.metrics.read_gauge("log_lines_dropped", lambda: stream.dropped)
    watch = SettingsWatch(path, load, process.apply)
    await watch.start()
    try:
        await run_until_signalled(process.start, process.drain, process.close)
    finally:
        await watch.close()
