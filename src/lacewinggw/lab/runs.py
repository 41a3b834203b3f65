"""What a target of the lab ran: one record a run, which becomes events of a history.

A request carries a mark of its caller's choosing in its body (`"mark"`), so that a record does not
rest on ids that the system under test gave. Times are those of the machine's monotonic clock.
"""

import hashlib
import json
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass, field
from typing import Any

from lacewinggw.lab.history import Event, RunEnded, RunStarted, WeightsActivated
from lacewinggw.lab.standin import now


@dataclass
class TargetRun:
    """One run of one request.

    `weights` are the digests of all weights that had a part in the answer, in the order of their
    first use; `sent` counts the pieces given so far; `ended_at` stays None unless the run came to
    its end. `content_digest` is the hex SHA-256 of the whole answer's text.
    """

    run: str
    request_id: str
    mark: str
    started_at: float
    key: str = ""
    path: str = ""
    pieces: int = 1
    resume_from: int = 0
    weights: list[str] = field(default_factory=list)
    whole_weights: bool = True
    sent: int = 0
    ended_at: float | None = None
    content_digest: str = ""

    @property
    def finished(self) -> bool:
        """Whether the run came to its end."""
        return self.ended_at is not None

    def use_weights(self, digest: str, whole: bool = True) -> None:
        """Record that these weights had a part in the answer, and whether they were whole."""
        self.whole_weights = self.whole_weights and whole
        if digest not in self.weights:
            self.weights.append(digest)

    def end(self, content_digest: str) -> None:
        """Record that the run came to its end."""
        self.ended_at = now()
        self.content_digest = content_digest


@dataclass(frozen=True)
class Activation:
    """Weights that began to serve: the digest told, and that of the chunks really there."""

    at: float
    told: str
    held: str


@dataclass
class RunRecords:
    """All runs of one target, over all its starts; `name` makes their ids its own."""

    name: str
    runs: list[TargetRun] = field(default_factory=list)
    activations: list[Activation] = field(default_factory=list)

    def begin(self, request_id: str, mark: str, **more: Any) -> TargetRun:
        """Record the start of a run; `more` are further fields of the record."""
        run = TargetRun(f"{self.name}/{len(self.runs)}", request_id, mark, now(), **more)
        self.runs.append(run)
        return run

    def doubled_requests(self) -> list[str]:
        """Return the request ids that ran more than once."""
        return _doubled(run.request_id for run in self.runs)

    def doubled_keys(self) -> list[str]:
        """Return the idempotency keys that ran more than once."""
        return _doubled(run.key for run in self.runs)

    def describe(self, after: int) -> dict[str, Any]:
        """Return the records from number `after` on, as `GET /runs` tells them."""
        return {
            "runs": [asdict(run) for run in self.runs[after:]],
            "activations": [asdict(activation) for activation in self.activations],
        }


def run_events(host: str, told: dict[str, Any]) -> Iterator[Event]:
    """Yield the events that a target's `GET /runs` tells of.

    A run that mixed weights ends on other weights than it began on, whatever their order.
    """
    for activation in told["activations"]:
        yield WeightsActivated(activation["at"], host, activation["told"], activation["held"])
    for run in told["runs"]:
        weights = run["weights"]
        first = weights[0] if weights else ""
        yield RunStarted(run["started_at"], host, run["run"], run["mark"], first)
        if run["ended_at"] is not None:
            last = "+".join(weights)
            content = run["content_digest"]
            yield RunEnded(run["ended_at"], run["run"], content, run["pieces"], last)


def text_digest(text: str | bytes) -> str:
    """Return the digest by which an answer's content is told apart: hex SHA-256."""
    data = text.encode() if isinstance(text, str) else text
    return hashlib.sha256(data).hexdigest()


def mark_of(body: bytes, default: str) -> str:
    """Return the mark that a JSON body carries, or the default when it has none."""
    try:
        return str(json.loads(body).get("mark") or default)
    except (ValueError, AttributeError):
        return default


def _doubled(names: Iterable[str]) -> list[str]:
    return [name for name, count in Counter(names).items() if name and count > 1]
