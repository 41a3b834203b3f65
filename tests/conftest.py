"""Give every run the same verdict: fixed examples, and the known failures passed over and printed.

Hypothesis draws the same examples each time and judges no durations. KNOWN-RED.txt at the root,
when there is one, lists tests that fail for a known fault, one a line: `test id | cause | issue`.
Only the tests named there may fail; a listed test that passes, or that does not exist, is printed
too, so that its line gets removed.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest
import structlog
from hypothesis import settings

settings.register_profile("repeatable", derandomize=True, deadline=None, database=None)
settings.load_profile("repeatable")

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
KNOWN_RED_LIMIT = 3


@pytest.fixture(autouse=True)
def fresh_log() -> Iterator[None]:
    """Undo what a test did to the log, whose stream may be gone when the next test writes to it."""
    yield
    structlog.reset_defaults()


@dataclass(frozen=True)
class KnownRed:
    """A test that fails for a fault not yet mended."""

    test: str
    cause: str
    issue: str


def parse_known_red(text: str) -> list[KnownRed]:
    """Return the entries of a KNOWN-RED.txt; raise `pytest.UsageError` for a bad line."""
    lines = [line for line in text.splitlines() if line.strip() and not line.startswith("#")]
    if len(lines) > KNOWN_RED_LIMIT:
        raise pytest.UsageError(f"KNOWN-RED.txt lists {len(lines)}, more than {KNOWN_RED_LIMIT}")
    return [_parse_line(line) for line in lines]


def _parse_line(line: str) -> KnownRed:
    parts = [part.strip() for part in line.split(" | ")]
    if len(parts) != 3 or not all(parts):
        raise pytest.UsageError(f"KNOWN-RED.txt: not `test id | cause | issue`: {line}")
    return KnownRed(*parts)


def read_known_red() -> list[KnownRed]:
    """Return the entries of the file at the root; none when there is no file."""
    return parse_known_red(KNOWN_RED.read_text()) if KNOWN_RED.exists() else []


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect the listed tests to fail, without demanding it."""
    causes = {entry.test: entry.cause for entry in read_known_red()}
    for item in items:
        if item.nodeid in causes:
            item.add_marker(pytest.mark.xfail(reason=causes[item.nodeid], strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print each listed test and how it ended."""
    ended = {
        report.nodeid: outcome
        for outcome in ("xfailed", "xpassed")
        for report in terminalreporter.getreports(outcome)
    }
    for entry in read_known_red():
        outcome = ended.get(entry.test, "not run")
        terminalreporter.write_line(f"KNOWN-RED {outcome}: {entry.test} | {entry.cause}")
