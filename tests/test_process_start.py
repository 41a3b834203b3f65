"""Start of a real process: a startup error ends it at once, with a remedy; so does a signal."""

import os
import signal
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from lacewinggw.cli import ExitCode, main
from lacewinggw.entry.process import EntryProcess
from lacewinggw.settings import default_settings, write_settings

UNREACHABLE = "127.0.0.1:1"


@pytest.fixture
def used_address() -> Iterator[str]:
    """Return an address that another listener uses."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield f"127.0.0.1:{server.getsockname()[1]}"


def write_entry_settings(path: Path, operator_listen: str) -> str:
    """Write settings of an entry whose platform is unreachable, and return the file's name."""
    settings = default_settings()
    settings.process.host, settings.process.place = "h-1", "labasa-hall"
    settings.process.fleet_key = "key"
    platform = settings.platform
    platform.table = platform.objects = platform.origin = UNREACHABLE
    platform.weight_store = platform.membership = UNREACHABLE
    settings.entry.operator_listen = operator_listen
    settings.entry.caller_listen = settings.entry.peer_listen = "127.0.0.1:0"
    path.write_text(write_settings(settings))
    return str(path)


def test_used_address_is_bad_input(
    tmp_path: Path,
    used_address: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    file = write_entry_settings(tmp_path / "entry.ini", used_address)
    assert main(["entry", "--settings", file]) == ExitCode.BAD_INPUT
    err = capsys.readouterr().err
    assert f"lacewinggw: LW-1010 listen-failed: cannot listen on {used_address}: " in err
    assert "Traceback" not in err.split("lacewinggw: LW-1010")[0]


def test_signal_ends_a_start_that_waits_for_the_platform(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capfd: pytest.CaptureFixture[str],
) -> None:
    start = EntryProcess.start

    async def start_signalled(entry: EntryProcess) -> None:
        os.kill(os.getpid(), signal.SIGTERM)
        await start(entry)

    monkeypatch.setattr(EntryProcess, "start", start_signalled)
    file = write_entry_settings(tmp_path / "entry.ini", "127.0.0.1:0")
    assert main(["entry", "--settings", file]) == ExitCode.OK
    assert "start_given_up" in capfd.readouterr().err
