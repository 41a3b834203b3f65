"""Hosts that distribute one release over modelled links, without sockets, in virtual time.

Each direction of a host's link is a queue of slices. The uplink is paced and interleaves the slices
of a few chunks, as agents do; the downlink receives slices in order of arrival. Only the decisions
are those of the product.
"""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from lacewinggw.agent.uploads import CONCURRENT_UPLOADS, MIN_SLICE_BYTES
from lacewinggw.decisions.chunkscheduler import (
    DECIDE_INTERVAL_S,
    CancelRequest,
    ChunkScheduler,
    RequestChunk,
)
from lacewinggw.decisions.chunksources import ORIGIN, FetchFailure, Neighbour, Source, SpreadRules
from lacewinggw.decisions.topology import ReleaseHost, TopologyRules
from lacewinggw.decisions.uploads import UploadQueue, UploadRequest
from lacewinggw.ids import Digest, HostId, Incarnation, Place

DIGEST = Digest("market@2")
CHUNK_BYTES = 32768
CHUNKS = 64
LINK_BYTES_PER_S = 475_000  # 3.8 Mbit/s
WEIGHTS_SHARE = 0.86  # of an uplink; the rest is for live answers
SLICES = CHUNK_BYTES // MIN_SLICE_BYTES
ORIGIN_BYTES_PER_S = 1_237_500  # 9.9 Mbit/s
LATENCY_S = 0.002
PLAN = TopologyRules(local=8, remote=2, columns=8, ranks=3, per_place=False)
RULES = SpreadRules(
    link_bytes_per_s=WEIGHTS_SHARE * LINK_BYTES_PER_S,
    in_flight=1,
    in_flight_total=4,
    patience_s=0.1,
    source_backoff_limit_s=1.0,
    has_store=False,
    origin_bytes_per_s=ORIGIN_BYTES_PER_S,
)

Rate = Callable[[float], float]


@dataclass
class Upload:
    """A chunk being uploaded, and the number of its slices that were sent."""

    request: UploadRequest
    slices: int = 0


@dataclass
class OriginSend:
    """A chunk being sent by the origin, and the number of its slices that were sent."""

    host: "Host"
    index: int
    slices: int = 0


@dataclass
class Host:
    """One host: its scheduler, its link and its uploads."""

    due: ReleaseHost
    scheduler: ChunkScheduler
    rate: Rate
    queue: UploadQueue = field(default_factory=lambda: UploadQueue(2))
    turns: deque[Upload] = field(default_factory=deque)
    sending: bool = False
    down_free_at: float = 0.0
    completed_at: float | None = None


class LinkedHosts:
    """A fleet that runs until every host has the release.

    fleet = LinkedHosts({"hall": 5, "room": 5}, rates={"hall-0": lambda now: 119_000})
    fleet.run()

    `waits` are the seconds that slices waited in the queues of their receivers' links. The origin
    refuses connections from the first to the second time in `origin_away`.
    """

    def __init__(
        self,
        places: Mapping[str, int],
        rates: Mapping[str, Rate] | None = None,
        seed: int = 1,
        plan: TopologyRules = PLAN,
        rules: SpreadRules = RULES,
        uploads_at_once: int = CONCURRENT_UPLOADS,
        origin_away: tuple[float, float] = (0.0, 0.0),
    ) -> None:
        self.now = 0.0
        self.waits: list[float] = []
        self.origin_chunks = 0
        self.border_chunks = 0
        self._uploads_at_once = uploads_at_once
        self._origin_away = origin_away
        self._origin_bytes_per_s = rules.origin_bytes_per_s or ORIGIN_BYTES_PER_S
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._from_origin: deque[OriginSend] = deque()
        release_hosts = [
            ReleaseHost(HostId(f"{place}-{number}"), Place(place))
            for place, count in places.items()
            for number in range(count)
        ]
        self.hosts: dict[HostId, Host] = {}
        for due in release_hosts:
            scheduler = ChunkScheduler([CHUNK_BYTES] * CHUNKS, rules, due.place, self._rng, 0.0)
            scheduler.set_topology(plan.derive(due, release_hosts, DIGEST), 0.0)
            rate = (rates or {}).get(due.host, lambda now: LINK_BYTES_PER_S)
            self.hosts[due.host] = Host(due, scheduler, rate)
        self._link_all(release_hosts, plan)

    @property
    def completed(self) -> dict[HostId, float | None]:
        """The time at which each host had the complete release, None if it has not."""
        return {name: host.completed_at for name, host in self.hosts.items()}

    def run(self, until_s: float = 60.0) -> None:
        """Run until every host has the release, or for `until_s` seconds."""
        for host in self.hosts.values():
            self._at(self._rng.random() * DECIDE_INTERVAL_S, lambda host=host: self._tick(host))
        while self._events and any(each.completed_at is None for each in self.hosts.values()):
            self.now, _, event = heapq.heappop(self._events)
            if self.now > until_s:
                return
            event()

    def _at(self, delay_s: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay_s, next(self._numbers), event))

    def _link_all(self, release_hosts: list[ReleaseHost], plan: TopologyRules) -> None:
        neighbours_by_host = {
            due.host: plan.derive(due, release_hosts, DIGEST).neighbours for due in release_hosts
        }
        for due in release_hosts:
            for other in release_hosts:
                if (
                    other.host in neighbours_by_host[due.host]
                    or due.host in neighbours_by_host[other.host]
                ):
                    scheduler = self.hosts[due.host].scheduler
                    scheduler.add_neighbour(other.host, other.place, Incarnation("first"))
                    scheduler.record_held_chunks(other.host, (), 0.0)

    def _tick(self, host: Host) -> None:
        self._decide(host)
        self._at(DECIDE_INTERVAL_S, lambda: self._tick(host))

    def _decide(self, host: Host) -> None:
        for action in host.scheduler.decide(self.now):
            match action:
                case RequestChunk(Neighbour(name), index):
                    self._at(LATENCY_S, lambda n=name, i=index: self._queue(n, host, i))
                case RequestChunk(_, index):
                    self._send_from_origin(host, index)
                case CancelRequest(Neighbour(name), index):
                    request = UploadRequest(host.due.host, DIGEST, index)
                    self.hosts[name].queue.cancel(request)

    def _send_from_origin(self, host: Host, index: int) -> None:
        gone_at, back_at = self._origin_away
        if gone_at <= self.now < back_at:
            lost = FetchFailure.LOST
            self._at(
                LATENCY_S, lambda: host.scheduler.record_failure(ORIGIN, index, lost, self.now)
            )
            return
        self.origin_chunks += 1
        self._from_origin.append(OriginSend(host, index))
        if len(self._from_origin) == 1:
            self._send_origin_slice()

    def _send_origin_slice(self) -> None:
        """Send the next slice; the connections to the origin share its link."""
        send = self._from_origin[0]
        self._at(MIN_SLICE_BYTES / self._origin_bytes_per_s, lambda: self._end_origin(send))

    def _end_origin(self, send: "OriginSend") -> None:
        self._from_origin.popleft()
        send.slices += 1
        is_last = send.slices == SLICES
        self._receive(send.host, ORIGIN, send.index, MIN_SLICE_BYTES, is_last)
        if not is_last:
            self._from_origin.append(send)
        if self._from_origin:
            self._send_origin_slice()

    def _queue(self, name: HostId, receiver: Host, index: int) -> None:
        sender = self.hosts[name]
        remote = sender.due.place != receiver.due.place
        if sender.queue.add(UploadRequest(receiver.due.host, DIGEST, index, remote)):
            self._send_next(sender)
            return
        source = Neighbour(name)
        busy = FetchFailure.BUSY
        self._at(
            LATENCY_S, lambda: receiver.scheduler.record_failure(source, index, busy, self.now)
        )

    def _send_next(self, sender: Host) -> None:
        if sender.sending:
            return
        while len(sender.turns) < self._uploads_at_once:
            request = sender.queue.take(lambda host, _: len(self.hosts[host].scheduler.held))
            if request is None:
                break
            sender.turns.append(Upload(request))
        if not sender.turns:
            return
        sender.sending = True
        upload = sender.turns.popleft()
        send_s = MIN_SLICE_BYTES / (WEIGHTS_SHARE * sender.rate(self.now))
        self._at(send_s, lambda: self._end_slice(sender, upload))

    def _end_slice(self, sender: Host, upload: Upload) -> None:
        sender.sending = False
        upload.slices += 1
        request, is_last = upload.request, upload.slices == SLICES
        receiver, source = self.hosts[request.host], Neighbour(sender.due.host)
        self._at(
            LATENCY_S,
            lambda: self._receive(receiver, source, request.index, MIN_SLICE_BYTES, is_last),
        )
        if not is_last:
            sender.turns.append(upload)
        self._send_next(sender)

    def _receive(self, host: Host, source: Source, index: int, size: int, is_last: bool) -> None:
        """Queue bytes at the receiver's link; the last bytes complete the chunk."""
        begin = max(self.now, host.down_free_at)
        self.waits.append(begin - self.now)
        host.down_free_at = begin + size / host.rate(self.now)
        if is_last:
            self._at(host.down_free_at - self.now, lambda: self._take(host, source, index))

    def _take(self, host: Host, source: Source, index: int) -> None:
        if index in host.scheduler.held:
            return
        if isinstance(source, Neighbour):
            self.border_chunks += self.hosts[source.host].due.place != host.due.place
        host.scheduler.record_arrival(source, index, self.now)
        if host.scheduler.is_complete:
            host.completed_at = self.now
        for name in list(host.scheduler.neighbours):
            other = self.hosts[name]
            waiting = len(host.queue)
            self._at(
                LATENCY_S,
                lambda o=other, w=waiting: o.scheduler.record_held_chunks(
                    host.due.host, [index], self.now, w
                ),
            )
        self._decide(host)
