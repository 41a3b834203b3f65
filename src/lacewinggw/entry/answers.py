"""Check answers as they are received from agents, and encode them for the caller."""

import hashlib
import json
from dataclasses import dataclass, field
from typing import Any

from lacewinggw.errors import AnswerIncomplete, LacewingError
from lacewinggw.generated.messages.ttypes import Finish, Pieces
from lacewinggw.wire.http import Headers, Response
from lacewinggw.wire.problems import problem_body, problem_headers

EVENT_STREAM = "text/event-stream"


@dataclass
class AnswerProgress:
    """The part of one answer that was received so far, over all attempts that contributed to it.

    `add_pieces` and `close` raise `AnswerIncomplete` for a piece out of order, a wrong count, a
    wrong digest, or an answer to another request.
    """

    request_digest: str
    pieces: int = 0
    weights_digest: str = ""
    _content_hash: Any = field(default_factory=hashlib.sha256)
    _attempt_hash: Any = field(default_factory=hashlib.sha256)

    @property
    def content_digest(self) -> str:
        """Hexadecimal SHA-256 over all the pieces."""
        return str(self._content_hash.hexdigest())

    def begin_attempt(self) -> None:
        """Start a new digest: the pieces that follow come from another run."""
        self._attempt_hash = hashlib.sha256()

    def reset(self) -> None:
        """Discard everything that was received."""
        self.pieces = 0
        self.weights_digest = ""
        self._content_hash = hashlib.sha256()

    def add_pieces(self, message: Pieces) -> list[bytes]:
        """Check received pieces and return them."""
        if message.first != self.pieces:
            raise AnswerIncomplete(f"received piece {message.first}, expected {self.pieces}")
        weights = message.weights_digest
        if weights:
            self._check_weights(weights)
            self.weights_digest = weights
        pieces = message.pieces
        for piece in pieces:
            self._content_hash.update(piece)
            self._attempt_hash.update(piece)
        self.pieces += len(pieces)
        return pieces

    def close(self, finish: Finish) -> None:
        """Check the end of the answer against the received pieces."""
        if finish.pieces != self.pieces:
            raise AnswerIncomplete(f"{finish.pieces} pieces announced, {self.pieces} received")
        if finish.content_digest != self._attempt_hash.hexdigest():
            raise AnswerIncomplete("the pieces do not match their digest")
        if finish.request_digest != self.request_digest:
            raise AnswerIncomplete("the answer belongs to another request")
        self._check_weights(finish.weights_digest)
        self.weights_digest = finish.weights_digest

    def _check_weights(self, weights: str) -> None:
        if self.weights_digest and weights != self.weights_digest:
            raise AnswerIncomplete("the answer was continued with different weights")


@dataclass(frozen=True)
class CompleteAnswer:
    """An answer that was received completely and verified."""

    body: bytes
    pieces: int
    content_digest: str
    weights_digest: str
    status: int = 200
    content_type: str = "text/plain"


def answer_headers(request_id: str, answer: CompleteAnswer) -> Headers:
    """Return the response headers of a complete answer."""
    return {
        "content-type": answer.content_type,
        "outcome": "answered",
        "request-id": request_id,
        "pieces": str(answer.pieces),
        "content-digest": answer.content_digest,
        "weights-digest": answer.weights_digest,
    }


def complete_response(request_id: str, answer: CompleteAnswer) -> Response:
    """Return the response that carries a complete answer."""
    return Response(answer.status, answer_headers(request_id, answer), answer.body)


def problem_response(error: LacewingError, request_id: str = "") -> Response:
    """Return the response that reports an error."""
    headers = problem_headers(error, request_id)
    return Response(error.http_status, headers, problem_body(error, request_id))


def piece_events(first: int, pieces: list[bytes]) -> bytes:
    """Return one server-sent event for each piece, numbered from `first`."""
    return b"".join(
        b"id: %d\ndata: %s\n\n" % (index, json.dumps(piece.decode("utf-8", "replace")).encode())
        for index, piece in enumerate(pieces, first)
    )


def final_event(request_id: str, progress: AnswerProgress) -> bytes:
    """Return the event that ends a complete stream."""
    summary = {
        "outcome": "answered",
        "request_id": request_id,
        "pieces": progress.pieces,
        "content_digest": progress.content_digest,
        "weights_digest": progress.weights_digest,
    }
    return f"event: final\ndata: {json.dumps(summary)}\n\n".encode()


def error_event(error: LacewingError, request_id: str) -> bytes:
    """Return the event that ends an incomplete stream."""
    return b"event: error\ndata: " + problem_body(error, request_id) + b"\n\n"
