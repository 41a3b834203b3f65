"""Reload a changed settings file at run time, on SIGHUP or when polling detects a change."""

import asyncio
import os
import signal
from collections.abc import Callable

from lacewinggw.background import Background
from lacewinggw.errors import SettingsError
from lacewinggw.generated.settings.ttypes import Settings
from lacewinggw.log import get_logger

POLL_PERIOD_S = 1.0  # a change without a signal takes effect within this time

log = get_logger(__name__)


class SettingsWatch:
    """Reloads the file at `path` whenever it may have changed, and passes the result to `apply`.

    An unreadable or invalid file changes nothing; the error is logged with its remedy.
    """

    def __init__(
        self, path: str, load: Callable[[], Settings], apply: Callable[[Settings], None]
    ) -> None:
        self._path = path
        self._load = load
        self._apply = apply
        self._seen = self._stamp()
        self._loop = Background("settings", self._run)

    async def start(self) -> None:
        """Start watching."""
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.reload)
        self._loop.start()

    async def close(self) -> None:
        """Stop watching, and ignore SIGHUP because the process is about to exit."""
        asyncio.get_running_loop().remove_signal_handler(signal.SIGHUP)
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        await self._loop.close()

    def reload(self) -> None:
        """Load the file and apply it; log the error and keep the settings when it is invalid."""
        self._seen = self._stamp()
        try:
            settings = self._load()
        except SettingsError as error:
            log.warning("settings_not_reloaded", error=error)
            return
        self._apply(settings)
        log.info("settings_reloaded")

    def _stamp(self) -> tuple[int, int]:
        try:
            status = os.stat(self._path)
        except OSError:
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(POLL_PERIOD_S)
            if self._stamp() != self._seen:
                self.reload()
