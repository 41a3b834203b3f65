"""The command line: usage, exit codes, and no traceback for the user."""

import subprocess
import sys
from pathlib import Path
from types import ModuleType

import pytest
from syrupy.assertion import SnapshotAssertion

from lacewinggw import __version__, cli
from lacewinggw.cli import ExitCode, ShellOptions, main, parse_arguments, shell_options
from lacewinggw.errors import (
    AcceptanceUnknown,
    BadDeclaration,
    ConfigurationConflict,
    LacewingError,
    LanguageError,
    NoTarget,
    UnknownKey,
)

EXAMPLES = Path(__file__).resolve().parent.parent / "docs" / "examples"


def test_version(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["--version"]) == ExitCode.OK
    assert capsys.readouterr().out == f"lacewinggw {__version__}\n"


def test_help_is_the_usage(snapshot: SnapshotAssertion) -> None:
    command = [sys.executable, "-m", "lacewinggw", "--help"]
    shown = subprocess.run(command, capture_output=True, text=True, check=True)
    assert shown.stdout == snapshot


@pytest.mark.parametrize(
    "argv",
    [
        [],
        ["bogus"],
        ["entry"],
        ["ask"],
        ["ask", "show", "services"],
        ["check", "f", "--role", "x"],
        ["apply", "--entry", "127.0.0.1:1", "--at", "x", "."],
    ],
)
def test_bad_command_line_is_one_line_and_exit_code_2(
    argv: list[str],
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert main(argv) == ExitCode.BAD_INPUT
    err = capsys.readouterr().err
    assert err.startswith("lacewinggw: LW-1009 bad-usage: ")
    assert "; remedy: " in err
    assert err.count("\n") == 1


@pytest.mark.parametrize(
    ("error", "code"),
    [
        (UnknownKey("x"), ExitCode.BAD_INPUT),
        (LanguageError("x"), ExitCode.BAD_INPUT),
        (BadDeclaration("x"), ExitCode.BAD_INPUT),
        (NoTarget("x"), ExitCode.FAILED),
        (ConfigurationConflict("x"), ExitCode.FAILED),
        (AcceptanceUnknown("x"), ExitCode.UNKNOWN),
    ],
)
def test_exit_code_depends_on_the_outcome(
    error: LacewingError,
    code: ExitCode,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    def fail(_: object) -> int:
        raise error

    monkeypatch.setattr(cli, "run_command", fail)
    assert main(["ask", "show"]) == code
    assert capsys.readouterr().err == f"lacewinggw: {error}\n"


def test_bug_gives_a_code_and_no_traceback(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    def fail(_: object) -> int:
        raise ZeroDivisionError("bug")

    monkeypatch.setattr(cli, "run_command", fail)
    assert main(["ask", "show"]) == ExitCode.FAILED
    err = capsys.readouterr().err
    assert err.startswith("lacewinggw: LW-0001 internal: ZeroDivisionError: bug; remedy: ")
    assert err.count("\n") == 1


def test_interrupted_command_is_unknown(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    def interrupt(_: object) -> int:
        raise KeyboardInterrupt

    monkeypatch.setattr(cli, "run_command", interrupt)
    assert main(["ask", "drain host h-1"]) == ExitCode.UNKNOWN
    assert "show history" in capsys.readouterr().err


def test_options_override_the_file() -> None:
    argv = ["ask", "--settings", str(EXAMPLES / "operator.ini"), "--json", "show", "hosts"]
    from_file = shell_options(parse_arguments(argv))
    assert from_file == ShellOptions(
        entries=("10.1.1.1:8081", "10.2.1.1:8081"),
        token="change-me-too",
        timeout_s=10.0,
        json=True,
    )
    argv[1:1] = ["--entry", "127.0.0.1:1,127.0.0.1:2", "--token", "t"]
    given = shell_options(parse_arguments(argv))
    assert given.entries == ("127.0.0.1:1", "127.0.0.1:2")
    assert given.token == "t"


def test_words_are_forwarded_unchanged(monkeypatch: pytest.MonkeyPatch) -> None:
    asked: list[str] = []

    def ask_command(_: ShellOptions, words: str) -> int:
        asked.append(words)
        return ExitCode.OK

    shell = ModuleType("lacewinggw.operators.shell")
    shell.ask_command = ask_command  # type: ignore[attr-defined]
    monkeypatch.setitem(sys.modules, shell.__name__, shell)
    argv = ["ask", "--entry", "127.0.0.1:1", "show", "targets", "where", "queued", ">", "5"]
    assert main(argv) == ExitCode.OK
    assert main([*argv[:3], "show services"]) == ExitCode.OK
    assert asked == ["show targets where queued > 5", "show services"]


def test_bad_entry_address_is_bad_input(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["ask", "--entry", "localhost:1", "show"]) == ExitCode.BAD_INPUT
    assert "LW-1007 bad-address: --entry" in capsys.readouterr().err
