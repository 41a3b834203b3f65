"""Reads the pieces of a streamed answer from a model engine's server-sent events."""

import json
from collections.abc import AsyncIterator
from dataclasses import dataclass

from lacewinggw.errors import AnswerIncomplete
from lacewinggw.ids import Digest
from lacewinggw.wire.events import EventSplitter
from lacewinggw.wire.http import StreamedResponse

DATA_FIELD = b"data: "
END_EVENT = b"event: end\n"
ANSWER_LIMIT_BYTES = 64 << 20


@dataclass(frozen=True)
class PieceBatch:
    """Pieces that arrived together; `first` is the index of the first one."""

    first: int
    pieces: list[bytes]


@dataclass(frozen=True)
class AnswerEnd:
    """The end of a complete answer: its total number of pieces, and the weights that it used."""

    pieces: int
    weights: Digest


async def read_pieces(
    response: StreamedResponse, next_index: int
) -> AsyncIterator[PieceBatch | AnswerEnd]:
    """Yield batches of pieces and then the end; the first piece must have index `next_index`.

    Raises `AnswerIncomplete` if the pieces aren't consecutive, an event is malformed or too large,
    the end is missing, or the end's piece count doesn't match the pieces received.
    """
    splitter = EventSplitter()
    async for data in response.pieces(ANSWER_LIMIT_BYTES):
        batch, end = _decode_batch([event.data for event in splitter.feed(data)])
        if batch is not None:
            if batch.first != next_index:
                raise AnswerIncomplete(f"received piece {batch.first}, expected {next_index}")
            next_index = batch.first + len(batch.pieces)
            yield batch
        if end is not None:
            if end.pieces != next_index:
                raise AnswerIncomplete(
                    f"the engine announced {end.pieces} pieces but sent {next_index}"
                )
            yield end
            return
    raise AnswerIncomplete("the engine's stream has no final event")


def _decode_batch(events: list[bytes]) -> tuple[PieceBatch | None, AnswerEnd | None]:
    """Decode events that came together; raise `AnswerIncomplete` when one is malformed."""
    first: int | None = None
    pieces: list[bytes] = []
    end: AnswerEnd | None = None
    try:
        for event in events:
            value = json.loads(event.removeprefix(END_EVENT).removeprefix(DATA_FIELD))
            if event.startswith(END_EVENT):
                end = AnswerEnd(int(value["pieces"]), Digest(str(value["digest"])))
                break
            first = int(value["i"]) if first is None else first
            if value["i"] != first + len(pieces):
                raise AnswerIncomplete(f"piece {value['i']} arrived out of order")
            pieces.append(str(value["text"]).encode())
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise AnswerIncomplete(f"an event of the engine is malformed: {error!r}") from error
    return (PieceBatch(first, pieces) if first is not None else None), end
