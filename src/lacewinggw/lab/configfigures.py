"""Figures of a configuration run, from what its processes logged.

Each process logs every revision that it applies with the ids of the commands in it. The log of the
platform is put together from these, whatever was truncated meanwhile, and the checkers of histories
judge it.
"""

import json
import os
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any

from lacewinggw.lab.checkers import Violation, check_configuration
from lacewinggw.lab.facts import Facts
from lacewinggw.lab.history import Applied, CommandAccepted, CommandRefused, Event, LogRow

APPLIED = "configuration_applied"
READY = "configuration_ready"
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KIB = 1024


@dataclass(frozen=True)
class Seen:
    """One revision as one process applied it."""

    at: float
    host: str
    incarnation: str
    revision: int
    commands: tuple[str, ...]


@dataclass(frozen=True)
class Usage:
    """Processor seconds used so far and memory held now, in bytes, of one process."""

    cpu_s: float
    memory_bytes: int


@dataclass(frozen=True)
class LogFigures:
    """What the processes' logs show of the configuration."""

    lost: int
    applied_twice: int
    refused_in_force: int
    disagreements: int
    regressions: int
    started_behind: int
    in_force_s: tuple[float, ...]
    violations: tuple[Violation, ...]


def read_usage(pid: int) -> Usage:
    """Return what a process has used; raise `OSError` when it has ended."""
    stat = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    cpu_s = (int(stat[11]) + int(stat[12])) / TICKS_PER_S
    return Usage(cpu_s, pages * os.sysconf("SC_PAGE_SIZE"))


def read_log(path: Path) -> Iterator[Seen]:
    """Yield the revisions that the processes of one host applied, in order."""
    for line in path.read_text().splitlines():
        if APPLIED not in line and READY not in line:
            continue
        try:
            event: dict[str, Any] = json.loads(line)
        except ValueError:
            continue  # a line cut off by a kill
        at = datetime.fromisoformat(event["timestamp"]).timestamp()
        commands = tuple(event.get("commands", ()))
        yield Seen(at, event["host"], event["incarnation"], event["revision"], commands)


def judge(seen: list[Seen], told: Iterable[Event], everyone: frozenset[str]) -> LogFigures:
    """Return the figures; `everyone` names the hosts whose processes ran undisturbed throughout."""
    told = list(told)
    rows, disagreements = _rows_of(seen)
    history: list[Event] = [LogRow(0.0, revision, command) for revision, command in rows.items()]
    history += [Applied(each.at, each.host, each.incarnation, each.revision) for each in seen]
    history += told
    history.sort(key=lambda event: event.at)
    in_force = _times_to_force(seen, rows, everyone)
    violations = tuple(check_configuration(Facts.from_history(history), in_force_s=float("inf")))
    counts = Counter(rows.values())
    accepted = [event for event in told if isinstance(event, CommandAccepted)]
    refused = [event for event in told if isinstance(event, CommandRefused)]
    return LogFigures(
        lost=sum(1 for event in accepted if rows.get(event.revision) != event.command),
        applied_twice=sum(1 for count in counts.values() if count > 1),
        refused_in_force=sum(1 for event in refused if event.command in counts),
        disagreements=disagreements,
        regressions=_regressions(seen),
        started_behind=_started_behind(seen),
        in_force_s=in_force,
        violations=violations,
    )


def _rows_of(seen: Iterable[Seen]) -> tuple[dict[int, str], int]:
    """Put the log together; return it and how often two processes had different entries in it."""
    rows: dict[int, str] = {}
    disagreements = 0
    for each in seen:
        first = each.revision - len(each.commands) + 1
        for revision, command in enumerate(each.commands, first):
            disagreements += rows.setdefault(revision, command) != command
    return rows, disagreements


def _regressions(seen: Iterable[Seen]) -> int:
    highest: dict[tuple[str, str], int] = {}
    count = 0
    for each in seen:
        key = (each.host, each.incarnation)
        count += each.revision < highest.get(key, 0)
        highest[key] = max(each.revision, highest.get(key, 0))
    return count


def _started_behind(seen: Iterable[Seen]) -> int:
    """Count fresh processes whose first configuration was older than their host's last."""
    last: dict[str, Seen] = {}
    count = 0
    for each in seen:
        before = last.get(each.host)
        fresh = before is not None and before.incarnation != each.incarnation
        count += fresh and before is not None and each.revision < before.revision
        last[each.host] = each
    return count


def _times_to_force(
    seen: Iterable[Seen], rows: Mapping[int, str], everyone: frozenset[str]
) -> tuple[float, ...]:
    """Return, for each entry of the log, the time from its first application to its last."""
    first: dict[int, float] = {}
    reached: dict[str, int] = {}
    last: dict[int, float] = {}
    for each in sorted(seen, key=lambda each: each.at):
        if each.host not in everyone:
            continue
        begin = reached.get(each.host, 0)
        for revision in range(begin + 1, each.revision + 1):
            first.setdefault(revision, each.at)
            last[revision] = each.at
        reached[each.host] = max(begin, each.revision)
    whole = min(reached.values(), default=0)
    return tuple(last[revision] - first[revision] for revision in rows if revision <= whole)
