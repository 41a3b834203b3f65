"""Parse KNOWN-RED.txt, the list of tests that may fail because of an unfixed bug."""

from dataclasses import dataclass
from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
KNOWN_RED_LIMIT = 3


@dataclass(frozen=True)
class KnownRed:
    """A test that fails because of an unfixed bug."""

    test: str
    cause: str
    issue: str


def parse_known_red(text: str) -> list[KnownRed]:
    """Return the entries of a KNOWN-RED.txt.

    Raise `pytest.UsageError` for an invalid line or too many entries.
    """
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
    """Return the entries of the file at the root, or an empty list without a file."""
    return parse_known_red(KNOWN_RED.read_text()) if KNOWN_RED.exists() else []
