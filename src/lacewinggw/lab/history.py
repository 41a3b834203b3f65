"""Histories: what callers, engines, processes and operators saw, each event with its time.

Times are seconds on one monotonic clock. A request is told apart by a mark in its body that the
engines hand back, so that a history does not rest on the ids of the system under test. An attempt
is one sending of a request; a keyed request may have several.

    recorder = Recorder(clock=loop.time)
    recorder.record(Sent(recorder.now(), "attempt-1", "request-1", entry="entry-1"))
    recorder.write(Path("history.jsonl"))
"""

import json
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

Attempt = str
Request = str


@dataclass(frozen=True)
class Event:
    """Something that happened at a time, in seconds."""

    at: float


# ---- callers -------------------------------------------------------------------------------


@dataclass(frozen=True)
class Sent(Event):
    """A caller sent a request to an entry; `deadline_s` is the time that it gave."""

    attempt: Attempt
    request: Request
    entry: str
    service: str = ""
    idempotent: bool = True
    deadline_s: float = 30.0


@dataclass(frozen=True)
class Answered(Event):
    """A caller got an answer that was marked as whole."""

    attempt: Attempt
    content_digest: str
    pieces: int = 1
    weights_digest: str = ""


@dataclass(frozen=True)
class NotRun(Event):
    """A caller was told that its request did not run."""

    attempt: Attempt
    code: str = ""


@dataclass(frozen=True)
class Unknown(Event):
    """A caller was told that its request may have run."""

    attempt: Attempt
    code: str = ""


@dataclass(frozen=True)
class Broken(Event):
    """A caller's connection was lost, or its stream ended, without a final answer."""

    attempt: Attempt
    reason: str = ""


@dataclass(frozen=True)
class GaveUp(Event):
    """A caller closed its connection of its own accord."""

    attempt: Attempt


# ---- engines and plain services ------------------------------------------------------------


@dataclass(frozen=True)
class RunStarted(Event):
    """A target began to run a request; `weights` is the digest over the bytes it then held."""

    host: str
    run: str
    request: Request
    weights: str = ""


@dataclass(frozen=True)
class RunEnded(Event):
    """A run came to its end; `weights` is the digest over the bytes held at that moment."""

    run: str
    content_digest: str
    pieces: int = 1
    weights: str = ""


@dataclass(frozen=True)
class WeightsActivated(Event):
    """An engine began to serve weights: the digest it was told, and that of the bytes it holds."""

    host: str
    told: str
    held: str


# ---- processes -----------------------------------------------------------------------------


@dataclass(frozen=True)
class ProcessStarted(Event):
    """An entry or agent was started on a host."""

    host: str
    incarnation: str


@dataclass(frozen=True)
class ProcessEnded(Event):
    """A process came to its end by itself, after a shutdown or a failure."""

    host: str
    incarnation: str


@dataclass(frozen=True)
class ShutdownAsked(Event):
    """A process was asked to shut down gracefully, and may take `limit_s` seconds."""

    host: str
    limit_s: float = 60.0


@dataclass(frozen=True)
class Leaving(Event):
    """A host was told to leave, or the list of hosts said so, `lag_s` seconds late."""

    host: str
    lag_s: float = 0.0


@dataclass(frozen=True)
class Returned(Event):
    """A host that was leaving takes work again."""

    host: str


@dataclass(frozen=True)
class Applied(Event):
    """A process was seen with this revision in force; `state` tells configurations apart."""

    host: str
    incarnation: str
    revision: int
    state: str = ""


# ---- operators and the platform ------------------------------------------------------------


@dataclass(frozen=True)
class ReleasePublished(Event):
    """A whole release became known by its digest."""

    digest: str


@dataclass(frozen=True)
class CommandAccepted(Event):
    """An operator was told that a command is accepted, as this revision, by the entry `host`."""

    command: str
    revision: int
    host: str


@dataclass(frozen=True)
class CommandRefused(Event):
    """An operator was told that a command is not accepted."""

    command: str
    code: str = ""


@dataclass(frozen=True)
class CommandUnknown(Event):
    """An operator was told that the outcome of a command is not known."""

    command: str


@dataclass(frozen=True)
class LogRow(Event):
    """The table held this command at this revision when it was read back."""

    revision: int
    command: str


# ---- faults --------------------------------------------------------------------------------


@dataclass(frozen=True)
class Killed(Event):
    """A host was lost at once, with its processes."""

    host: str


@dataclass(frozen=True)
class Paused(Event):
    """A host's processes were stopped in their tracks."""

    host: str


@dataclass(frozen=True)
class Resumed(Event):
    """A paused host's processes go on."""

    host: str


@dataclass(frozen=True)
class PartBegan(Event):
    """Two hosts lost sight of each other."""

    host: str
    other: str


@dataclass(frozen=True)
class PartEnded(Event):
    """Two hosts see each other again."""

    host: str
    other: str


@dataclass(frozen=True)
class OutageBegan(Event):
    """A service of the platform went down or slow."""

    service: str


@dataclass(frozen=True)
class OutageEnded(Event):
    """A service of the platform is well again."""

    service: str


@dataclass(frozen=True)
class Note(Event):
    """Anything else worth keeping, such as what a fault plan did."""

    words: str


_KINDS: dict[str, type[Event]] = {kind.__name__: kind for kind in Event.__subclasses__()}


def to_line(event: Event) -> str:
    """Return an event as one line of JSON."""
    return json.dumps({"event": type(event).__name__, **asdict(event)}, separators=(",", ":"))


def from_line(line: str) -> Event:
    """Return the event that a line of JSON stands for.

    Raises `ValueError` when the line names no known event or other fields than that event has.
    """
    fields: dict[str, Any] = json.loads(line)
    name = fields.pop("event", None)
    kind = _KINDS.get(name)
    if kind is None:
        raise ValueError(f"no event {name!r}; there are {', '.join(sorted(_KINDS))}")
    try:
        return kind(**fields)
    except TypeError as error:
        raise ValueError(f"a line that is no {name}: {error}") from error


def read_history(path: Path) -> list[Event]:
    """Read a history that `Recorder.write` wrote."""
    return [from_line(line) for line in path.read_text().splitlines() if line]


class Recorder:
    """Collect the events of one run, from as many observers as there are."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._events: list[Event] = []

    @property
    def history(self) -> list[Event]:
        """Every event so far, in order of time."""
        return sorted(self._events, key=lambda event: event.at)

    def now(self) -> float:
        """Return the time, in seconds."""
        return self._clock()

    def record(self, *events: Event) -> None:
        """Keep events."""
        self._events.extend(events)

    def write(self, path: Path) -> None:
        """Write the history as JSON lines."""
        path.write_text("".join(f"{to_line(event)}\n" for event in self.history))
