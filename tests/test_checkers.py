"""Each checker passes a sound history, and catches each way in which its property can break."""

from pathlib import Path

import pytest

from lacewinggw.lab.checkers import Property, check, count_by_property, describe
from lacewinggw.lab.history import (
    Answered,
    Applied,
    Broken,
    CommandAccepted,
    CommandRefused,
    CommandUnknown,
    Event,
    Killed,
    Leaving,
    LogRow,
    Note,
    NotRun,
    OutageBegan,
    OutageEnded,
    PartBegan,
    PartEnded,
    Paused,
    ProcessEnded,
    ProcessStarted,
    Recorder,
    ReleasePublished,
    Resumed,
    Returned,
    RunEnded,
    RunStarted,
    Sent,
    ShutdownAsked,
    Unknown,
    WeightsActivated,
    from_line,
    read_history,
    to_line,
)

LATE = Note(100.0, "the end")
PUBLISHED = ReleasePublished(0.0, "d1")
ONCE = {"idempotent": False}


def sent(at: float, request: str = "r", attempt: str = "a", **more: object) -> Sent:
    return Sent(at, attempt, request, "entry-1", **more)  # type: ignore[arg-type]


def run(
    at: float, request: str = "r", name: str = "run", host: str = "host-1", weights: str = "d1"
) -> list[Event]:
    ended = RunEnded(at + 0.5, name, f"content of {request}", 3, weights)
    return [RunStarted(at, host, name, request, weights), ended]


def answered(at: float, request: str = "r", attempt: str = "a", weights: str = "d1") -> Answered:
    return Answered(at, attempt, f"content of {request}", 3, weights)


def process(host: str, *revisions: tuple[float, int]) -> list[Event]:
    seen = [Applied(at, host, "i1", revision) for at, revision in revisions]
    return [ProcessStarted(0.0, host, "i1"), *seen]


WHOLE = [PUBLISHED, sent(1.0), *run(1.1), answered(2.0)]
ACCEPTED = CommandAccepted(1.0, "c2", 2, "entry-1")

SOUND: dict[str, list[Event]] = {
    "whole answer": WHOLE,
    "answer recorded under the key": [
        *WHOLE,
        sent(3.0, attempt="b"),
        answered(3.1, attempt="b"),
    ],
    "plain service": [sent(1.0), *run(1.1, weights=""), answered(2.0, weights="")],
    "answers out of order": [
        PUBLISHED,
        sent(1.0),
        sent(1.0, "q", "b"),
        *run(1.1),
        *run(1.1, "q", "run-q"),
        answered(3.0, "q", "b"),
        answered(4.0),
    ],
    "not run": [sent(1.0), NotRun(1.1, "a", "LW-6002"), LATE],
    "not run, then sent again": [
        *[PUBLISHED, sent(1.0), NotRun(1.1, "a"), sent(2.0, attempt="b"), *run(2.1)],
        answered(3.0, attempt="b"),
    ],
    "refused while another attempt runs": [
        *[PUBLISHED, sent(1.0, **ONCE), sent(1.1, attempt="b", **ONCE), *run(1.2)],
        *[NotRun(1.3, "b"), answered(2.0)],
    ],
    "unknown after a kill": [sent(1.0), Killed(1.5, "entry-1"), Broken(1.6, "a"), LATE],
    "claim unreadable in an outage": [
        *[sent(1.0, **ONCE), OutageBegan(0.5, "table"), Unknown(1.1, "a", "LW-7008")],
        *[OutageEnded(2.0, "table"), LATE],
    ],
    "unknown past the deadline": [sent(1.0, deadline_s=5.0), Unknown(6.0, "a"), LATE],
    "shutdown that waits": [
        *[PUBLISHED, sent(1.0), ShutdownAsked(1.05, "entry-1"), *run(1.1), answered(2.0)],
        ProcessEnded(2.1, "entry-1", "i1"),
    ],
    "unknown past the deadline at the process after the one that shut down": [
        *[ProcessStarted(0.0, "entry-1", "i1"), ShutdownAsked(0.5, "entry-1")],
        *[ProcessEnded(0.6, "entry-1", "i1"), ProcessStarted(0.7, "entry-1", "i2")],
        *[sent(1.0, deadline_s=5.0), Unknown(6.0, "a")],
    ],
    "work sent before the target left": [
        *[PUBLISHED, sent(1.0), Leaving(1.1, "host-1"), *run(9.0), answered(10.0)],
    ],
    "target that came back": [
        *[PUBLISHED, Leaving(1.0, "host-1"), Returned(20.0, "host-1")],
        *[sent(21.0), *run(21.1), answered(22.0)],
    ],
    "whole weights": [PUBLISHED, WeightsActivated(1.0, "host-1", "d1", "d1")],
    "configuration in force": [
        *process("host-1", (0.5, 1), (2.0, 2)),
        *[ACCEPTED, CommandRefused(1.0, "c3"), CommandUnknown(1.0, "c1")],
        *[LogRow(9.0, 1, "c1"), LogRow(9.0, 2, "c2"), LATE],
    ],
    "configuration late for a pause": [
        *process("host-1", (0.5, 1), (25.0, 2)),
        *[Paused(0.9, "host-1"), ACCEPTED, Resumed(20.0, "host-1"), LATE],
    ],
    "configuration late for a part": [
        *process("host-1", (0.5, 1), (25.0, 2)),
        *[PartBegan(3.0, "host-1", "entry-1"), ACCEPTED],
        *[PartEnded(20.0, "host-1", "entry-1"), LATE],
    ],
    "configuration held by a killed entry and an outage": [
        *process("host-1", (0.5, 1), (25.0, 2)),
        *[ACCEPTED, Killed(1.1, "entry-1")],
        *[OutageBegan(1.0, "table"), OutageEnded(20.0, "table"), LATE],
    ],
    "configuration of a process that ended": [
        *process("host-1", (0.5, 1)),
        *[ACCEPTED, ProcessEnded(2.0, "host-1", "i1"), LATE],
    ],
}

BROKEN: dict[str, tuple[Property, list[Event]]] = {
    "activated partial weights": (
        Property.WHOLE_WEIGHTS,
        [PUBLISHED, WeightsActivated(1.0, "host-1", "d1", "half")],
    ),
    "activated what nobody published": (
        Property.WHOLE_WEIGHTS,
        [WeightsActivated(1.0, "host-1", "d1", "d1")],
    ),
    "ran on partial weights": (
        Property.WHOLE_WEIGHTS,
        [PUBLISHED, sent(1.0), *run(1.1, weights="half"), answered(2.0, weights="half")],
    ),
    "weights changed during the run": (
        Property.WHOLE_WEIGHTS,
        [
            *[PUBLISHED, ReleasePublished(0.0, "d2"), sent(1.0)],
            *[RunStarted(1.1, "host-1", "run", "r", "d1"), answered(2.0)],
            RunEnded(1.5, "run", "content of r", 3, "d2"),
        ],
    ),
    "answer names other weights": (
        Property.WHOLE_WEIGHTS,
        [*WHOLE[:-1], ReleasePublished(0.0, "d2"), answered(2.0, weights="d2")],
    ),
    "truncated answer": (
        Property.WHOLE_ANSWERS,
        [*WHOLE[:-1], Answered(2.0, "a", "content of", 2, "d1")],
    ),
    "answer to another request": (
        Property.WHOLE_ANSWERS,
        [*WHOLE[:-1], sent(1.0, "q", "b"), answered(2.0, "r", "b"), answered(2.0)],
    ),
    "answer of no run": (Property.WHOLE_ANSWERS, [sent(1.0), answered(2.0)]),
    "no outcome at all": (Property.WHOLE_ANSWERS, [sent(1.0), LATE]),
    "unknown for no reason": (
        Property.WHOLE_ANSWERS,
        [sent(1.0), Unknown(2.0, "a"), LATE],
    ),
    "claim unreadable without an outage": (
        Property.WHOLE_ANSWERS,
        [
            *[OutageBegan(0.5, "table"), OutageEnded(0.9, "table")],
            *[sent(1.0, **ONCE), Unknown(1.1, "a", "LW-7008"), LATE],
        ],
    ),
    "agent lost for no reason but an outage": (
        Property.WHOLE_ANSWERS,
        [
            *[sent(1.0, **ONCE), OutageBegan(0.5, "table"), Unknown(1.1, "a", "LW-7001")],
            *[OutageEnded(2.0, "table"), LATE],
        ],
    ),
    "unknown, and a fault elsewhere": (
        Property.WHOLE_ANSWERS,
        [PUBLISHED, sent(1.0), *run(1.1), Killed(1.5, "host-9"), Broken(2.0, "a"), LATE],
    ),
    "told not run after it ran": (
        Property.NOT_RUN,
        [PUBLISHED, sent(1.0), *run(1.1), NotRun(2.0, "a")],
    ),
    "told not run, ran later": (
        Property.NOT_RUN,
        [PUBLISHED, sent(1.0), NotRun(2.0, "a"), *run(5.0)],
    ),
    "told not run at the second try, ran at the first": (
        Property.NOT_RUN,
        [
            *[PUBLISHED, sent(1.0, deadline_s=1.0), *run(1.1), Broken(2.5, "a")],
            *[sent(3.0, attempt="b"), NotRun(3.1, "b")],
        ],
    ),
    "ran twice": (
        Property.AT_MOST_ONCE,
        [
            *[PUBLISHED, sent(1.0, **ONCE), *run(1.1), *run(1.2, name="run-2", host="host-2")],
            answered(2.0),
        ],
    ),
    "ran again for the second attempt": (
        Property.AT_MOST_ONCE,
        [
            *[PUBLISHED, sent(1.0, **ONCE), *run(1.1), answered(2.0)],
            *[sent(3.0, attempt="b", **ONCE), *run(3.1, name="run-2")],
            answered(4.0, attempt="b"),
        ],
    ),
    "new work on a leaving target": (
        Property.LEAVING,
        [PUBLISHED, Leaving(1.0, "host-1"), sent(7.0), *run(7.1), answered(8.0)],
    ),
    "new work long after the list caught up": (
        Property.LEAVING,
        [PUBLISHED, Leaving(1.0, "host-1", 3.0), sent(9.5), *run(9.6), answered(10.5)],
    ),
    "entry shut down with a request in progress": (
        Property.GRACEFUL_SHUTDOWN,
        [sent(1.0), ShutdownAsked(1.1, "entry-1"), Broken(1.2, "a"), LATE],
    ),
    "agent shut down with a request in progress": (
        Property.GRACEFUL_SHUTDOWN,
        [
            *[PUBLISHED, sent(1.0), RunStarted(1.1, "host-1", "run", "r", "d1")],
            *[ShutdownAsked(1.2, "host-1"), Unknown(1.3, "a", "LW-7001"), LATE],
        ],
    ),
    "unknown for no reason at the process after the one that shut down": (
        Property.WHOLE_ANSWERS,
        [
            *[ProcessStarted(0.0, "entry-1", "i1"), ShutdownAsked(0.5, "entry-1")],
            *[ProcessEnded(0.6, "entry-1", "i1"), ProcessStarted(0.7, "entry-1", "i2")],
            *[sent(1.0), Unknown(2.0, "a")],
        ],
    ),
    "accepted but not in the log": (
        Property.CONFIGURATION,
        [ACCEPTED, LogRow(9.0, 1, "c1")],
    ),
    "accepted but another in its place": (
        Property.CONFIGURATION,
        [CommandAccepted(1.0, "c2", 1, "entry-1"), LogRow(9.0, 1, "c1")],
    ),
    "applied twice": (
        Property.CONFIGURATION,
        [LogRow(9.0, 1, "c1"), LogRow(9.0, 2, "c1")],
    ),
    "refused but in force": (
        Property.CONFIGURATION,
        [CommandRefused(1.0, "c1"), LogRow(9.0, 1, "c1")],
    ),
    "went back": (Property.CONFIGURATION, process("host-1", (1.0, 5), (2.0, 4))),
    "two configurations at one revision": (
        Property.CONFIGURATION,
        [Applied(1.0, "host-1", "i1", 1, "x"), Applied(1.0, "host-2", "i2", 1, "y")],
    ),
    "never in force on one process": (
        Property.CONFIGURATION,
        [*process("host-1", (0.5, 1)), ACCEPTED, LATE],
    ),
    "replaced host brings an old configuration": (
        Property.CONFIGURATION,
        [
            *process("host-1", (0.5, 1), (2.0, 2)),
            *[ACCEPTED, Killed(10.0, "host-1"), ProcessStarted(12.0, "host-1", "i2")],
            *[Applied(13.0, "host-1", "i2", 1), LATE],
        ],
    ),
}


@pytest.mark.parametrize("name", SOUND)
def test_sound_history_passes(name: str) -> None:
    violations = check(SOUND[name])
    assert not violations, describe(violations)


@pytest.mark.parametrize("name", BROKEN)
def test_broken_history_is_caught(name: str) -> None:
    broken, history = BROKEN[name]
    found = {name: count for name, count in count_by_property(check(history)).items() if count}
    assert found == {broken.value: 1}, describe(check(history))


def test_every_property_has_a_broken_history() -> None:
    assert {broken for broken, _ in BROKEN.values()} == set(Property)


def test_history_survives_writing_and_reading(tmp_path: Path) -> None:
    recorder = Recorder(clock=lambda: 7.0)
    for history in SOUND.values():
        recorder.record(*history)
    path = tmp_path / "history.jsonl"
    recorder.write(path)
    assert read_history(path) == recorder.history
    assert recorder.now() == 7.0


@pytest.mark.parametrize("line", ['{"event":"Nothing"}', '{"event":"Note","at":1.0,"word":"x"}'])
def test_line_of_no_event_is_refused(line: str) -> None:
    with pytest.raises(ValueError, match="no "):
        from_line(line)


def test_lines_are_stable() -> None:
    assert to_line(Killed(1.5, "host-1")) == '{"event":"Killed","at":1.5,"host":"host-1"}'


def test_outcome_without_a_request_is_refused() -> None:
    with pytest.raises(ValueError, match="never sent"):
        check([answered(1.0)])
