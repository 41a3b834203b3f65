"""Take in a changed settings file while a process runs: on SIGHUP, or when it is seen to change."""

import asyncio
import os
import signal
from collections.abc import Callable

from lacewinggw.background import Background
from lacewinggw.errors import SettingsError
from lacewinggw.generated.settings.ttypes import Settings
from lacewinggw.log import get_logger

POLL_PERIOD_S = 1.0  # between looks at the file: a change without a signal is in force within this

log = get_logger(__name__)


class SettingsWatch:
    """Loads the file at `path` again whenever it may have changed, and hands it to `apply`.

    A file that cannot be read, or that is wrong, changes nothing; the log says what to mend.
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
        """Begin to watch."""
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.reload)
        self._loop.start()

    async def close(self) -> None:
        """Stop watching; SIGHUP is ignored from now on, as the process is about to end."""
        asyncio.get_running_loop().remove_signal_handler(signal.SIGHUP)
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        await self._loop.close()

    def reload(self) -> None:
        """Load the file now."""
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
