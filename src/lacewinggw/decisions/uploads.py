"""Choose which of the requested chunks a host uploads next."""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
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

    Releases go in the order of `set_order`. Of one release, a chunk that was never sent, or never
    to another place, has the highest priority: its receiver then uploads it to others, which
    balances the uploads, and it outlives this host and this place. Next are requests from another
    place, because all of that place waits for the chunk. Then come requests of the host with the
    fewest chunks, so that all hosts finish at about the same time. At most `per_host` requests of
    one host may wait.
    """

    def __init__(self, per_host: int) -> None:
        self._per_host = per_host
        self._waiting: dict[UploadRequest, None] = {}
        self._waiting_by_host: Counter[HostId] = Counter()
        self._sent: Counter[tuple[Digest, int]] = Counter()
        self._sent_to_other_places: set[tuple[Digest, int]] = set()
        self._order: Mapping[Digest, int] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def has_first_copy(self) -> bool:
        """Whether a chunk that was never sent, or never to another place, is requested."""
        return any(self._is_first_copy(each) for each in self._waiting)

    def set_order(self, digests: Sequence[Digest]) -> None:
        """Set the releases whose chunks precede those of all others, the first one first."""
        self._order = {digest: position for position, digest in enumerate(digests)}

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
        chunk = request.digest, request.index
        self._sent[chunk] += 1
        if request.remote:
            self._sent_to_other_places.add(chunk)
        return request

    def forget(self, digest: Digest) -> None:
        """Discard the upload counts of a release that is no longer needed."""
        for key in [key for key in self._sent if key[0] == digest]:
            del self._sent[key]
        self._sent_to_other_places = {
            each for each in self._sent_to_other_places if each[0] != digest
        }

    def _is_first_copy(self, request: UploadRequest) -> bool:
        chunk = request.digest, request.index
        if request.remote and chunk not in self._sent_to_other_places:
            return True
        return not self._sent[chunk]

    def _sort_key(self, request: UploadRequest, held: HeldBy) -> tuple[int, ...]:
        sent = self._sent[request.digest, request.index]
        return (
            self._order.get(request.digest, len(self._order)),
            0 if self._is_first_copy(request) else 1,
            0 if request.remote else 1,
            held(request.host, request.digest),
            sent,
        )
