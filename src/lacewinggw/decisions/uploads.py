"""Choose which of the requested chunks a host uploads next."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from lacewinggw.ids import Digest, HostId

HeldBy = Callable[[HostId, Digest], int]


@dataclass(frozen=True)
class UploadRequest:
    """A chunk that a neighbour requested; `remote` if the neighbour is in another place."""

    host: HostId
    digest: Digest
    index: int
    remote: bool = field(default=False, compare=False)


class UploadQueue:
    """The requests that wait for the uplink.

    A chunk that was never sent has the highest priority: its receiver then uploads it to others,
    which balances the uploads. Next are requests from another place, because all of that place
    waits for the chunk. Then come requests of the host with the fewest chunks, so that all hosts
    finish at about the same time. At most `per_host` requests of one host may wait.
    """

    def __init__(self, per_host: int) -> None:
        self._per_host = per_host
        self._waiting: dict[UploadRequest, None] = {}
        self._waiting_by_host: Counter[HostId] = Counter()
        self._sent: Counter[tuple[Digest, int]] = Counter()

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, request: UploadRequest) -> bool:
        """Queue a request; return False if its host already has `per_host` waiting."""
        if request in self._waiting:
            return True
        if self._waiting_by_host[request.host] >= self._per_host:
            return False
        self._waiting[request] = None
        self._waiting_by_host[request.host] += 1
        return True

    def cancel(self, request: UploadRequest) -> bool:
        """Remove a request; return False if it was not waiting."""
        if request not in self._waiting:
            return False
        del self._waiting[request]
        self._waiting_by_host[request.host] -= 1
        return True

    def take(self, held: HeldBy) -> UploadRequest | None:
        """Remove and return the request to serve next, or None if none waits.

        `held` returns the number of chunks of a release that a host has.
        """
        if not self._waiting:
            return None
        request = min(self._waiting, key=lambda each: self._sort_key(each, held))
        self.cancel(request)
        self._sent[request.digest, request.index] += 1
        return request

    def forget(self, digest: Digest) -> None:
        """Discard the upload counts of a release that is no longer needed."""
        for key in [key for key in self._sent if key[0] == digest]:
            del self._sent[key]

    def _sort_key(self, request: UploadRequest, held: HeldBy) -> tuple[int, ...]:
        sent = self._sent[request.digest, request.index]
        return (
            min(sent, 1),
            0 if request.remote else 1,
            held(request.host, request.digest),
            sent,
        )
