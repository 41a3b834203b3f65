"""Server-sent events in a stream of bytes: whole ones only, each with its id."""

from collections.abc import Iterator
from dataclasses import dataclass

from lacewinggw.errors import AnswerIncomplete

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
EVENT_LIMIT_BYTES = 1 << 20


@dataclass(frozen=True)
class StreamEvent:
    """One event as it travels; `number` is its id, None where it has none."""

    data: bytes
    number: int | None


class EventSplitter:
    """Splits bytes, read as they come, into whole events.

    for event in splitter.feed(data): ...
    splitter.is_torn  # at the end of the stream: it broke off inside an event
    """

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether part of an event is at hand."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Yield each event that is whole now."""
        *events, self._buffer = (self._buffer + data).split(EVENT_END)
        if len(self._buffer) > EVENT_LIMIT_BYTES:
            raise AnswerIncomplete(f"an event of the target is over {EVENT_LIMIT_BYTES} bytes")
        for event in events:
            yield StreamEvent(event + EVENT_END, _number_of(event))


def _number_of(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            number = line.removeprefix(ID_FIELD).strip()
            return int(number) if number.isdigit() else None
    return None
