"""What a history says, put in order: attempts, runs and disturbances by host."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Self

from lacewinggw.lab.history import (
    Answered,
    Attempt,
    Broken,
    Event,
    GaveUp,
    Killed,
    NotRun,
    OutageBegan,
    OutageEnded,
    PartBegan,
    PartEnded,
    Paused,
    ProcessEnded,
    ProcessStarted,
    ReleasePublished,
    Request,
    Resumed,
    RunEnded,
    RunStarted,
    Sent,
    ShutdownAsked,
    Unknown,
)

FOREVER = float("inf")

Final = Answered | NotRun | Unknown | Broken | GaveUp


@dataclass
class AttemptFacts:
    """One attempt: how it was sent, and how it ended if it did."""

    sent: Sent
    final: Final | None = None

    @property
    def ended_at(self) -> float:
        """When the caller had its outcome, in seconds; for ever if it never had one."""
        return self.final.at if self.final else FOREVER

    @property
    def overdue(self) -> bool:
        """Whether the deadline had passed by the end."""
        return self.ended_at >= self.sent.at + self.sent.deadline_s

    def open_at(self, at: float) -> bool:
        """Return whether the caller was waiting at that time."""
        return self.sent.at <= at < self.ended_at


@dataclass
class RunFacts:
    """One run of a request on a target."""

    started: RunStarted
    ended: RunEnded | None = None


@dataclass(frozen=True)
class Span:
    """A stretch of time, in seconds."""

    begin: float
    end: float

    def touches(self, begin: float, end: float) -> bool:
        """Return whether any moment is in both."""
        return self.begin <= end and begin <= self.end


@dataclass
class Facts:
    """A history by attempt, request, run and host."""

    history: list[Event]
    attempts: dict[Attempt, AttemptFacts] = field(default_factory=dict)
    attempts_of: dict[Request, list[AttemptFacts]] = field(default_factory=dict)
    runs: dict[str, RunFacts] = field(default_factory=dict)
    runs_of: dict[Request, list[RunFacts]] = field(default_factory=dict)
    releases: set[str] = field(default_factory=set)
    disturbances: dict[str, list[Span]] = field(default_factory=dict)
    outages: list[Span] = field(default_factory=list)
    lives: dict[tuple[str, str], Span] = field(default_factory=dict)
    shutdowns: list[ShutdownAsked] = field(default_factory=list)

    @classmethod
    def from_history(cls, history: Iterable[Event]) -> Self:
        """Put a history in order."""
        facts = cls(sorted(history, key=lambda event: event.at))
        for event in facts.history:
            facts._take_request_event(event)
            facts._take_process_event(event)
        facts._take_faults()
        return facts

    @property
    def end(self) -> float:
        """The time of the last event."""
        return self.history[-1].at if self.history else 0.0

    def disturbed(self, hosts: Iterable[str], begin: float, end: float) -> bool:
        """Return whether a fault struck any of the hosts between two times."""
        return any(
            span.touches(begin, end) for host in hosts for span in self.disturbances.get(host, ())
        )

    def anything_disturbed(self, begin: float, end: float) -> bool:
        """Return whether a fault struck any host at all between two times."""
        return self.disturbed(self.disturbances, begin, end)

    def hosts_of(self, attempt: AttemptFacts) -> set[str]:
        """Return the hosts that an attempt is known to have passed through."""
        runs = self.runs_of.get(attempt.sent.request, ())
        return {attempt.sent.entry, *(run.started.host for run in runs)}

    def _take_request_event(self, event: Event) -> None:
        match event:
            case Sent():
                attempt = AttemptFacts(event)
                self.attempts[event.attempt] = attempt
                self.attempts_of.setdefault(event.request, []).append(attempt)
            case Answered() | NotRun() | Unknown() | Broken() | GaveUp():
                self._end_attempt(event)
            case RunStarted():
                run = RunFacts(event)
                self.runs[event.run] = run
                self.runs_of.setdefault(event.request, []).append(run)
            case RunEnded() if event.run in self.runs:
                self.runs[event.run].ended = event
            case ReleasePublished():
                self.releases.add(event.digest)

    def _end_attempt(self, event: Final) -> None:
        attempt = self.attempts.get(event.attempt)
        if attempt is None:
            raise ValueError(f"{event} ends an attempt that was never sent; record Sent first")
        if attempt.final is not None:
            raise ValueError(f"{event} ends an attempt that ended as {attempt.final}")
        attempt.final = event

    def _take_process_event(self, event: Event) -> None:
        match event:
            case ProcessStarted():
                self.lives[event.host, event.incarnation] = Span(event.at, FOREVER)
            case ProcessEnded():
                self._end_life(event.host, event.incarnation, event.at)
            case Killed():
                for host, incarnation in list(self.lives):
                    if host == event.host:
                        self._end_life(host, incarnation, event.at)
            case ShutdownAsked():
                self.shutdowns.append(event)

    def _end_life(self, host: str, incarnation: str, at: float) -> None:
        life = self.lives.get((host, incarnation))
        if life is not None and life.end == FOREVER:
            self.lives[host, incarnation] = Span(life.begin, at)

    def _take_faults(self) -> None:
        spans: dict[str, list[Span]] = defaultdict(list)
        begun: dict[tuple[str, ...], float] = {}
        for event in self.history:
            match event:
                case Killed():
                    spans[event.host].append(Span(event.at, event.at))
                case Paused():
                    begun["pause", event.host] = event.at
                case Resumed():
                    begin = begun.pop(("pause", event.host), event.at)
                    spans[event.host].append(Span(begin, event.at))
                case PartBegan():
                    begun["part", event.host, event.other] = event.at
                case PartEnded():
                    begin = begun.pop(("part", event.host, event.other), event.at)
                    spans[event.host].append(Span(begin, event.at))
                    spans[event.other].append(Span(begin, event.at))
                case OutageBegan():
                    begun["outage", event.service] = event.at
                case OutageEnded():
                    begin = begun.pop(("outage", event.service), event.at)
                    self.outages.append(Span(begin, event.at))
        for (kind, *subjects), begin in begun.items():
            if kind == "outage":
                self.outages.append(Span(begin, FOREVER))
                continue
            for host in subjects:
                spans[host].append(Span(begin, FOREVER))
        self.disturbances = dict(spans)
