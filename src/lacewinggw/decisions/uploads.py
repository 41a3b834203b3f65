"""Which of the chunks asked of a host it sends next."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from lacewinggw.ids import Digest, HostId

HeldBy = Callable[[HostId, Digest], int]


@dataclass(frozen=True)
class UploadRequest:
    """A chunk that a neighbour asked for."""

    host: HostId
    digest: Digest
    index: int
    remote: bool = field(default=False, compare=False)


class UploadQueue:
    """Requests that wait for the uplink.

    A chunk that was never sent goes first: its receiver passes it on meanwhile, which is what keeps
    uploads even. Then a request from another place, which waits for it as a whole; then that of the
    host with the fewest chunks, so that all finish together. A host may have only `per_host`
    requests waiting.
    """

    def __init__(self, per_host: int) -> None:
        self._per_host = per_host
        self._waiting: dict[UploadRequest, None] = {}
        self._waiting_of: Counter[HostId] = Counter()
        self._sent: Counter[tuple[Digest, int]] = Counter()

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, request: UploadRequest) -> bool:
        """Queue a request; return False when its host has too many waiting already."""
        if request in self._waiting:
            return True
        if self._waiting_of[request.host] >= self._per_host:
            return False
        self._waiting[request] = None
        self._waiting_of[request.host] += 1
        return True

    def cancel(self, request: UploadRequest) -> bool:
        """Drop a request that is still waiting; return whether it was."""
        if request not in self._waiting:
            return False
        del self._waiting[request]
        self._waiting_of[request.host] -= 1
        return True

    def take(self, held: HeldBy) -> UploadRequest | None:
        """Take the request to be served next, or None when none waits.

        `held` tells how many chunks of a release a host has.
        """
        if not self._waiting:
            return None
        request = min(self._waiting, key=lambda each: self._urgency(each, held))
        self.cancel(request)
        self._sent[request.digest, request.index] += 1
        return request

    def forget(self, digest: Digest) -> None:
        """Drop the counts of a release that is no longer due."""
        for key in [key for key in self._sent if key[0] == digest]:
            del self._sent[key]

    def _urgency(self, request: UploadRequest, held: HeldBy) -> tuple[int, ...]:
        sent = self._sent[request.digest, request.index]
        return (
            min(sent, 1),
            0 if request.remote else 1,
            held(request.host, request.digest),
            sent,
        )
