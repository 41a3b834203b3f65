"""Requests as a stand-in engine reads them, and the pieces that it answers with."""

import hashlib
import json
from dataclasses import dataclass

from lacewinggw.clients.engine import EVENT_STREAM
from lacewinggw.clients.targets import PRIORITY_HEADER, REQUEST_ID_HEADER, RESUME_HEADER
from lacewinggw.wire.http import Request

DEFAULT_PIECES = 16
MOST_PIECES = 100_000
NORMAL_PRIORITY = 2


@dataclass(frozen=True)
class Prompt:
    """A request as the engine reads it."""

    request_id: str
    mark: str
    text: str
    pieces: int
    resume_from: int
    priority: int
    streamed: bool
    adapter: str

    @classmethod
    def from_request(cls, request: Request) -> "Prompt":
        """Return what a request asks for; raise `ValueError`, `KeyError` or `TypeError`."""
        body = json.loads(request.body)
        pieces = int(body.get("pieces", DEFAULT_PIECES))
        resume_from = int(request.headers.get(RESUME_HEADER, body.get("resume_from", 0)))
        if not 0 <= resume_from <= pieces <= MOST_PIECES:
            raise ValueError(f"pieces must be between resume_from and {MOST_PIECES}")
        request_id = request.headers.get(REQUEST_ID_HEADER) or str(body.get("request_id", ""))
        return cls(
            request_id=request_id,
            mark=str(body.get("mark") or request_id),
            text=str(body["prompt"]),
            pieces=pieces,
            resume_from=resume_from,
            priority=int(request.headers.get(PRIORITY_HEADER, NORMAL_PRIORITY)),
            streamed=request.headers.get("accept") == EVENT_STREAM or bool(body.get("stream")),
            adapter=str(body.get("adapter", "")),
        )


def piece_text(mark: str, prompt: str, weights: str, index: int) -> str:
    """Return the piece that an engine gives, so that a checker can tell what it should be."""
    source = f"{mark}\n{weights}\n{index}\n{prompt}"
    return hashlib.sha256(source.encode()).hexdigest()[:8] + " "
