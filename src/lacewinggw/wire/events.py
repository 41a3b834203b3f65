"""Parsing of server-sent events: splits a byte stream into complete events with their ids."""

import re
from dataclasses import dataclass

from lacewinggw.errors import AnswerMalformed

EVENT_END = b"\n\n"
ID_FIELD = re.compile(rb"^id:(.*)$", re.MULTILINE)
MAX_ID_DIGITS = 18
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
        self._buffer = bytearray()
        self._searched = 0  # bytes of the buffer in which no event ends

    @property
    def has_partial_event(self) -> bool:
        """Whether part of an event is buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that `data` completes.

        Raises `AnswerMalformed` when an unfinished event exceeds `EVENT_LIMIT_BYTES`.
        """
        buffer = self._buffer
        buffer += data
        events, begin = [], 0
        while (end := buffer.find(EVENT_END, max(begin, self._searched))) >= 0:
            event = bytes(buffer[begin : end + len(EVENT_END)])
            events.append(StreamEvent(event, _parse_id(event)))
            begin = end + len(EVENT_END)
        del buffer[:begin]
        self._searched = max(0, len(buffer) - len(EVENT_END) + 1)
        if len(buffer) > EVENT_LIMIT_BYTES:
            raise AnswerMalformed(f"an event of the target exceeds {EVENT_LIMIT_BYTES} bytes")
        return events


def _parse_id(event: bytes) -> int | None:
    field = ID_FIELD.search(event)
    if field is None:
        return None
    number = field[1].strip()
    return int(number) if number.isdigit() and len(number) <= MAX_ID_DIGITS else None
