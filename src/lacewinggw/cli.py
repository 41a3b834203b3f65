"""lacewinggw: a weight distribution system for bursts.

Usage:
  lacewinggw entry --settings FILE
  lacewinggw agent --settings FILE
  lacewinggw check FILE [--role ROLE]
  lacewinggw ask [--settings FILE] [--entry ADDR] [--token TOKEN] [--json] WORDS...
  lacewinggw ask [--settings FILE] [--entry ADDR] [--token TOKEN] [--json] --file FILE
  lacewinggw plan [--settings FILE] [--entry ADDR] [--token TOKEN] [--json] [--check] DIR
  lacewinggw apply [--settings FILE] [--entry ADDR] [--token TOKEN] [--json] [--at N] DIR
  lacewinggw evacuations [--settings FILE] [--entry ADDR] [--token TOKEN] [--json]
  lacewinggw explain REQUEST FILE...
  lacewinggw --help
  lacewinggw --version

Commands:
  entry  Run the process that answers callers and operators, until SIGTERM.
  agent  Run the process that stands before a target, until SIGTERM.
  check  Check a settings file, and say what is wrong with it.
  ask    Put a query or a command to the fleet, as in: lacewinggw ask show services
  plan   Show what the declarations in DIR would change.
  apply  Change it, as one revision, all or nothing.
  evacuations  Show the evacuated zones as the entries know them, and what still runs there.
  explain  Tell from log files what became of a request, by its id.

Options:
  --settings FILE  INI file of settings; docs/SETTINGS.md lists the keys. For ask, plan, apply
                   and evacuations its section [operator] gives the entries and the token.
  --role ROLE      Check as entry, agent, operator, fleet-entry or fleet-agent; else as the file's
                   sections show.
  --entry ADDR     Operator address of an entry; several with commas between.
  --token TOKEN    Operator's token.
  --json           Print JSON instead of a table.
  --file FILE      Read the words from a file, or from standard input for -.
  --check          Exit with 1 when there is anything to change.
  --at N           Refuse when the configuration has moved since revision N, which plan showed.
  -h --help        Show this text.
  --version        Show the version.

Exit status: 0 done, 1 refused or failed, 2 bad input, 3 outcome unknown.
"""

import asyncio
import os
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path
from typing import Any

from docopt import DocoptExit, docopt

from lacewinggw import __version__
from lacewinggw.errors import (
    BadDeclaration,
    BadUsage,
    LacewingError,
    LanguageError,
    Outcome,
    SettingsError,
)
from lacewinggw.generated.settings.ttypes import OperatorSettings
from lacewinggw.ids import Address
from lacewinggw.log import LogFormat, configure_log, get_logger
from lacewinggw.settings import default_settings, detect_process_kind, load_settings, parse_settings
from lacewinggw.settingskeys import SECTIONS, ProcessKind

MILLISECONDS = 1000
INTERRUPTED = "interrupted; if a command was sent, `show history` tells whether it was accepted"
SHELL_LOG_LEVEL = "warning"  # entry and agent set their own level, from their settings


class ExitCode(IntEnum):
    """Exit code of a command."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    UNKNOWN = 3


@dataclass(frozen=True)
class ShellOptions:
    """Connection and output options of `ask`, `plan` and `apply`."""

    entries: tuple[Address, ...]  # operator addresses, tried in turn
    token: str
    timeout_s: float
    json: bool


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code; print errors to standard error in one line."""
    configure_log(LogFormat.TEXT, SHELL_LOG_LEVEL)
    try:
        return run_command(parse_arguments(sys.argv[1:] if argv is None else argv))
    except LacewingError as error:
        print(f"lacewinggw: {error}", file=sys.stderr)
        return exit_code(error)
    except KeyboardInterrupt:
        print(f"lacewinggw: {INTERRUPTED}", file=sys.stderr)
        return ExitCode.UNKNOWN
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ExitCode.FAILED  # the reader of standard output closed it
    except Exception as error:
        internal = LacewingError(f"{type(error).__name__}: {error}")
        print(f"lacewinggw: {internal}", file=sys.stderr)
        get_logger(__name__).info("crashed", exc_info=error)
        return ExitCode.FAILED


def exit_code(error: LacewingError) -> ExitCode:
    """Return the exit code for an error."""
    if error.outcome is Outcome.UNKNOWN:
        return ExitCode.UNKNOWN
    if isinstance(error, SettingsError | LanguageError | BadDeclaration):
        return ExitCode.BAD_INPUT
    return ExitCode.FAILED


def parse_arguments(argv: Sequence[str]) -> dict[str, Any]:
    """Return the options of a command line; raise `BadUsage` when it matches no usage."""
    words = list(argv)
    if "--version" in words[:1]:
        return {"--version": True}
    try:
        return dict(docopt(__doc__ or "", words, version=__version__))
    except DocoptExit as error:
        given = " ".join(words) or "nothing"
        raise BadUsage(f"the command line does not fit: {given}") from error


def run_command(options: dict[str, Any]) -> int:
    """Run the command given by the options and return its exit code."""
    match options:
        case {"--version": True}:
            print(f"lacewinggw {__version__}")
            return ExitCode.OK
        case {"entry": True, "--settings": file}:
            return run_entry_process(file)
        case {"agent": True, "--settings": file}:
            return run_agent_process(file)
        case {"check": True, "FILE": [file], "--role": role}:
            return check_settings(file, role)
        case {"ask": True, "--file": str(file)}:
            return ask(shell_options(options), read_words(file))
        case {"ask": True, "WORDS": words}:
            return ask(shell_options(options), " ".join(words))
        case {"plan": True, "DIR": folder, "--check": check}:
            return plan(shell_options(options), Path(folder), check)
        case {"apply": True, "DIR": folder, "--at": revision}:
            return apply(shell_options(options), Path(folder), _parse_revision(revision))
        case {"evacuations": True}:
            return show_evacuations(shell_options(options))
        case {"explain": True, "REQUEST": request_id, "FILE": files}:
            return explain_request(request_id, files)
        case _:
            raise BadUsage("no command is named")


def run_entry_process(file: str) -> int:
    """Run an entry until it has drained."""
    from lacewinggw.entry.process import run_entry

    settings = load_settings(file, SECTIONS[ProcessKind.ENTRY])
    asyncio.run(run_entry(settings))
    return ExitCode.OK


def run_agent_process(file: str) -> int:
    """Run an agent until it has drained."""
    from lacewinggw.agent.process import run_agent

    settings = load_settings(file, SECTIONS[ProcessKind.AGENT])
    asyncio.run(run_agent(settings))
    return ExitCode.OK


def check_settings(file: str, role: str | None) -> int:
    """Check a settings file for a role, or else for the role that its sections imply."""
    kind = _role_of(file, role)
    load_settings(file, SECTIONS[kind])
    print(f"{file}: good settings for {kind.value}")
    return ExitCode.OK


def explain_request(request_id: str, files: Sequence[str]) -> int:
    """Print the log lines about a request, oldest first."""
    from lacewinggw.operators.requeststory import find_story, read_lines, tell_line

    texts = [line for file in files for line in read_words(file).splitlines()]
    for line in find_story(read_lines(texts), request_id):
        print(tell_line(line))
    return ExitCode.OK


def _role_of(file: str, role: str | None) -> ProcessKind:
    if role is None:
        return detect_process_kind(file)
    try:
        return ProcessKind(role)
    except ValueError:
        known = ", ".join(kind.value for kind in ProcessKind)
        raise BadUsage(f"{role!r} is not a role", remedy=f"take one of: {known}") from None


def shell_options(options: dict[str, Any]) -> ShellOptions:
    """Return the connection options from the command line, else from the settings file.

    Raise `BadUsage` when neither names an entry.
    """
    operator = _operator_settings(options.get("--settings"))
    entries = operator.entries
    if options["--entry"]:
        entries = _parse_entries(options["--entry"])
    if not entries:
        remedy = "give --entry IP:PORT, or --settings FILE with `entries` below [operator]"
        raise BadUsage("no entry is known", remedy=remedy)
    return ShellOptions(
        entries=tuple(Address(entry) for entry in entries),
        token=options["--token"] or operator.token,
        timeout_s=operator.timeout_ms / MILLISECONDS,
        json=options["--json"],
    )


def _operator_settings(file: str | None) -> OperatorSettings:
    if file is None:
        return default_settings().operator
    return load_settings(file, SECTIONS[ProcessKind.OPERATOR]).operator


def _parse_entries(text: str) -> list[str]:
    """Parse the addresses of `--entry` by the rules of a settings file."""
    ini = f"[operator]\nentries = {text}\n"
    return parse_settings(ini, "--entry", ()).operator.entries


def read_words(file: str) -> str:
    """Return the text of a file, or of standard input for "-".

    Raise `BadUsage` when the file cannot be read as UTF-8 text.
    """
    if file == "-":
        return sys.stdin.read()
    try:
        return Path(file).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise BadUsage(f"{file} cannot be read: {error}", remedy="name a text file") from error


def ask(options: ShellOptions, words: str) -> int:
    """Send a query or command to an entry and print the response."""
    from lacewinggw.operators.shell import ask_command

    return int(ask_command(options, words))


def plan(options: ShellOptions, folder: Path, check: bool) -> int:
    """Print what the declarations in a folder would change."""
    from lacewinggw.operators.shell import plan_command

    return plan_command(options, folder, check)


def apply(options: ShellOptions, folder: Path, at_revision: int | None) -> int:
    """Apply the declarations in a folder as one revision."""
    from lacewinggw.operators.shell import apply_command

    return apply_command(options, folder, at_revision)


def show_evacuations(options: ShellOptions) -> int:
    """Print the evacuated zones as each of the entries knows them."""
    from lacewinggw.operators.evacuations import evacuations_command

    return evacuations_command(options)


def _parse_revision(text: str | None) -> int | None:
    if text is None or text.isdecimal():
        return None if text is None else int(text)
    raise BadUsage(f"--at {text}: not a revision", remedy="take the number that plan showed")


if __name__ == "__main__":
    sys.exit(main())
