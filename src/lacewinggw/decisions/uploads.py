"""Which of the chunks asked of a host it sends next."""

from collections import Counter
from dataclasses import dataclass

from lacewinggw.ids import Digest, HostId


@dataclass(frozen=True)
class UploadRequest:
    """A chunk that a neighbour asked for."""

    host: HostId
    digest: Digest
    index: int


class UploadQueue:
    """Requests that wait for the uplink: least sent chunk first, then the host served least.

    Sending each chunk once before any a second time lets the neighbours pass it on meanwhile,
    which is what keeps uploads even. A host may have only `per_host` requests waiting.
    """

    def __init__(self, per_host: int) -> None:
        self._per_host = per_host
        self._waiting: dict[UploadRequest, None] = {}
        self._waiting_of: Counter[HostId] = Counter()
        self._sent: Counter[tuple[Digest, int]] = Counter()
        self._served: Counter[HostId] = Counter()

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

    def take(self) -> UploadRequest | None:
        """Take the request to be served next, or None when none waits."""
        if not self._waiting:
            return None
        request = min(self._waiting, key=self._urgency)
        self.cancel(request)
        self._sent[request.digest, request.index] += 1
        self._served[request.host] += 1
        return request

    def forget(self, digest: Digest) -> None:
        """Drop the counts of a release that is no longer due."""
        for key in [key for key in self._sent if key[0] == digest]:
            del self._sent[key]

    def _urgency(self, request: UploadRequest) -> tuple[int, int]:
        return self._sent[request.digest, request.index], self._served[request.host]
