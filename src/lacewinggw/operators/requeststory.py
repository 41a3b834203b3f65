"""What became of one request, told from the log lines of the processes that touched it.

A line may have something before its JSON, as log collectors put it there; what is no JSON is passed
over. Lines that tell what a process believed come along: those of the same host, the last of each
kind before the request's own.
"""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from lacewinggw.errors import UnknownName

BELIEFS = ("routes_taken", "version_due", "store_lost", "store_regained", "settings_reloaded")
UNSAID = frozenset(
    {"event", "timestamp", "host", "place", "role", "incarnation", "level", "module", "request_id"}
)


@dataclass(frozen=True)
class LogLine:
    """One line of a log: its place in the files, its event and its fields."""

    number: int
    event: str
    host: str
    timestamp: str
    fields: dict[str, Any]


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines among lines of text."""
    for number, text in enumerate(texts):
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(fields, dict) and "event" in fields:
            yield LogLine(
                number,
                str(fields["event"]),
                str(fields.get("host", "")),
                str(fields.get("timestamp", "")),
                fields,
            )


def find_story(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """Return the lines of a request and the beliefs behind them, in the order of their times.

    Raise `UnknownName` when no line is about the request.
    """
    beliefs: dict[tuple[str, str], LogLine] = {}
    story: list[LogLine] = []
    for line in sorted(lines, key=lambda each: (each.timestamp, each.number)):
        if line.event in BELIEFS:
            beliefs[line.host, line.event] = line
        if line.fields.get("request_id") == request_id:
            known = (beliefs.get((line.host, event)) for event in BELIEFS)
            story += [each for each in known if each is not None and each not in story]
            story.append(line)
    if not story:
        remedy = "look the id up at the caller, and give the logs of all entries of that time"
        raise UnknownName(f"no line is about the request {request_id}", remedy=remedy)
    return sorted(story, key=lambda each: (each.timestamp, each.number))


def tell_line(line: LogLine) -> str:
    """Return a line as text: when, where, what, and the inputs.

    2026-03-04T09:40:55Z entry-1  request_refused  error=overloaded held_ms=3
    """
    said = " ".join(f"{name}={value}" for name, value in line.fields.items() if name not in UNSAID)
    return f"{line.timestamp} {line.host}  {line.event}  {said}".rstrip()
