"""Settings that change while a process runs."""

import asyncio
import os
import signal
from contextlib import asynccontextmanager

import pytest
from declared_fleet import running_fleet

from lacewinggw.errors import SettingsUnreadable
from lacewinggw.lab.standin import Outage
from lacewinggw.reloading import SettingsWatch
from lacewinggw.settings import default_settings


class Loaded:
    """A watched settings file, and the settings that were applied from it."""

    def __init__(self, path):
        self.path = path
        self.path.write_text("one")
        self.broken = False
        self.applied = []
        self.watch = SettingsWatch(str(path), self.load, self.applied.append)

    def load(self):
        if self.broken:
            raise SettingsUnreadable("broken")
        return default_settings()


@asynccontextmanager
async def watching(folder):
    loaded = Loaded(folder / "settings.ini")
    await loaded.watch.start()
    try:
        yield loaded
    finally:
        await loaded.watch.close()


async def test_a_signal_reloads(tmp_path):
    async with watching(tmp_path) as loaded:
        os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.sleep(0.05)
        assert len(loaded.applied) == 1


@pytest.mark.looptime
async def test_a_change_without_a_signal_reloads(tmp_path):
    async with watching(tmp_path) as loaded:
        await asyncio.sleep(2.5)
        assert loaded.applied == []
        loaded.path.write_text("another text")
        await asyncio.sleep(1.5)
        assert len(loaded.applied) == 1


@pytest.mark.looptime
async def test_a_broken_file_changes_nothing(tmp_path):
    async with watching(tmp_path) as loaded:
        loaded.broken = True
        loaded.path.write_text("broken now")
        await asyncio.sleep(1.5)
        assert loaded.applied == []


@pytest.mark.looptime
async def test_an_entry_applies_new_bounds():
    async with running_fleet() as fleet:
        settings = default_settings()
        settings.fleet.revocation_ms = 1000
        fleet.entries[0].apply(settings)
        fleet.store.faults.outage = Outage.REFUSE
        await asyncio.sleep(2.0)
        assert (await fleet.ask("/sheet/1")).status == 503
