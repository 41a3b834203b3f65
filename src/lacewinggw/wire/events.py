"""Parsing of server-sent events: splits a byte stream into complete events with their ids."""

from collections.abc import Iterator
from dataclasses import dataclass

from lacewinggw.errors import AnswerIncomplete

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
EVENT_LIMIT_BYTES = 1 << 20


@dataclass(frozen=True)
class StreamEvent:
    """One event in its encoded form; `number` is its id, or None if it has no numeric id."""

    data: bytes
    number: int | None


class EventSplitter:
    """Splits a stream of bytes into complete events.

    for event in splitter.feed(data): ...
    splitter.has_partial_event  # at the end of the stream: True if it ended inside an event
    """

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether part of an event is buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Yield each event that `data` completes.

        Raises `AnswerIncomplete` when an unfinished event exceeds `EVENT_LIMIT_BYTES`.
        """
        *events, self._buffer = (self._buffer + data).split(EVENT_END)
        if len(self._buffer) > EVENT_LIMIT_BYTES:
            raise AnswerIncomplete(f"an event of the target exceeds {EVENT_LIMIT_BYTES} bytes")
        for event in events:
            yield StreamEvent(event + EVENT_END, _parse_id(event))


def _parse_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            number = line.removeprefix(ID_FIELD).strip()
            return int(number) if number.isdigit() else None
    return None
