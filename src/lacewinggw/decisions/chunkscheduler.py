"""Schedule the downloads of one release's chunks on one host: which source, which chunk, when.

A state machine without I/O or clock. Each method that reports an event carries the time; `decide`
returns the actions that are due. The caller carries them out, reports the end of each with
`record_arrival` or `record_failure`, and calls `decide` again within `DECIDE_INTERVAL_S`.
"""

import random
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from lacewinggw.decisions.chunkavailability import ChunkAvailability
from lacewinggw.decisions.chunksources import (
    Fetch,
    FetchFailure,
    Neighbour,
    NeighbourState,
    Origin,
    PlatformSources,
    Source,
    SpreadRules,
    Store,
)
from lacewinggw.decisions.columnfailover import ColumnFailover
from lacewinggw.decisions.linkpacing import ChunkInFlight, LinkPacer
from lacewinggw.decisions.topology import ColumnRanks, Topology
from lacewinggw.ids import HostId, Incarnation, Place

DECIDE_INTERVAL_S = 0.1
SOURCES_PER_CHUNK = 2
BACKUP_RANK = 1  # the host next in rank after the gateway of a column
# Per rank in the place, before a host requests a late chunk from another place or the origin.
DUPLICATE_STAGGER_S = 0.4
MAX_COUNTED_FAILURES = 3  # a rank that hangs is replaced after this many more times the patience
RARITY_SAMPLE_SIZE = 64  # compared to find a rare chunk; comparing all takes quadratic time


@dataclass(frozen=True)
class RequestChunk:
    """Request a chunk from a source; `endgame` marks a duplicate request for a late chunk."""

    source: Source
    index: int
    endgame: bool = False


@dataclass(frozen=True)
class CancelRequest:
    """Cancel a request for a chunk."""

    source: Source
    index: int


Action: TypeAlias = RequestChunk | CancelRequest


class FetchMode(Enum):
    """What a host requests of a release; what it holds, it sends to others in any mode."""

    ALL = "all"
    IMPORTS = "imports"  # only what it brings into its place as a gateway, for others
    NONE = "none"


@dataclass(frozen=True)
class DownloadStatus:
    """The counts that tell why a release is not complete.

    `unheld` are the missing chunks that no known neighbour holds. The three counts of requests in
    flight are by the kind of source. `origin_failures` counts since the download began.
    """

    held: int
    chunk_count: int
    unheld: tuple[int, ...]
    from_origin: int
    from_place: int
    from_other_places: int
    origin_failures: int


class ChunkScheduler:
    """The download state of one release on one host, and the decisions that follow from it."""

    def __init__(
        self,
        sizes: Sequence[int],
        rules: SpreadRules,
        place: Place,
        rng: random.Random,
        now: float,
    ) -> None:
        self.rules = rules
        self.neighbours: dict[HostId, NeighbourState] = {}
        self.stalls = 0
        self.corrupt_chunks = 0
        self._mode = FetchMode.ALL
        largest = max(sizes, default=0)
        self._chunk_s = largest / rules.link_bytes_per_s  # at the rate of the whole link
        self._origin_chunk_s = largest / (rules.origin_bytes_per_s or rules.link_bytes_per_s)
        self._place = place
        self._rng = rng
        self._started_at = now
        self._progress_at = now
        self._fetches: dict[int, list[Fetch]] = {}
        self._holdings = ChunkAvailability(len(sizes))
        self._topology: Topology | None = None
        self._origin_failover = ColumnFailover()
        self._place_failover = ColumnFailover()
        self._excluded: dict[HostId, Incarnation] = {}
        self._platform = PlatformSources(rules, rng)
        self._pacer = LinkPacer(rules.in_flight_total * self._chunk_s, rules.in_flight_total)

    @property
    def chunk_count(self) -> int:
        """The number of chunks of the release."""
        return len(self._holdings.local_holders)

    @property
    def is_complete(self) -> bool:
        """Whether every chunk is held."""
        return not self._holdings.missing

    @property
    def held(self) -> set[int]:
        """The chunks held."""
        return self._holdings.held

    @property
    def missing(self) -> set[int]:
        """The chunks that are not held yet."""
        return self._holdings.missing

    @property
    def bad_sources(self) -> list[str]:
        """The sources that are excluded for sending too many corrupt chunks."""
        return sorted([*self._excluded, *self._platform.corrupt_sources])

    @property
    def patience_s(self) -> float:
        """How long a column may make no progress before the next rank takes over, in seconds."""
        columns = len(self._topology.columns) if self._topology else 1
        return self.rules.patience_s + 2 * columns * self._origin_chunk_s

    @property
    def _origin_patience_s(self) -> float:
        """How long the origin's column may make no progress before the next rank takes over.

        Each failure of the origin here adds to it: rank 0 asks the origin again often enough, and
        if all ranks did, they would share its link when it returns and the first chunk of each
        would take three times as long.
        """
        return self.patience_s * (1 + min(self._platform.failures, MAX_COUNTED_FAILURES))

    def unavailable_chunks(self, now: float) -> list[int]:
        """Return the chunks that no known neighbour holds, once the download has stalled.

        Returns an empty list while it makes progress.
        """
        if self.is_complete or now - self._progress_at < self.rules.stall_s + self.patience_s:
            return []
        return sorted(set().union(*self._holdings.unavailable))

    @property
    def source_failures(self) -> int:
        """Failures of the origin and the weight store since each last sent a chunk."""
        return self._platform.failures

    def is_source_failing(self, now: float) -> bool:
        """Return whether the origin and the weight store failed recently, as this host knows."""
        return self._platform.is_failing(now)

    @property
    def reachable_count(self) -> int:
        """The number of chunks that this host or a neighbour holds."""
        return self.chunk_count - sum(len(each) for each in self._holdings.unavailable)

    def status(self) -> DownloadStatus:
        """Return the counts of chunks and of requests in flight."""
        sources = [fetch.source for fetches in self._fetches.values() for fetch in fetches]
        hosts = [each.host for each in sources if isinstance(each, Neighbour)]
        local = sum(self.neighbours[host].place == self._place for host in hosts)
        return DownloadStatus(
            held=len(self.held),
            chunk_count=self.chunk_count,
            unheld=tuple(sorted(set().union(*self._holdings.unavailable))),
            from_origin=len(sources) - len(hosts),
            from_place=local,
            from_other_places=len(hosts) - local,
            origin_failures=self._platform.failure_count,
        )

    # ---- events ---------------------------------------------------------------------------

    def set_topology(self, topology: Topology, now: float) -> None:
        """Replace the topology after the list of hosts that are to hold the release has changed."""
        if self._topology is None:
            self._origin_failover.begin(len(topology.columns), now)
            self._place_failover.begin(len(topology.columns), now)
            self._holdings.set_columns(len(topology.columns))
        self._topology = topology

    def set_mode(self, mode: FetchMode, now: float) -> None:
        """Set what is requested from now on.

        The timers of all columns restart after a pause, during which no host made progress.
        Otherwise all ranks of a column would request from the origin at the same time.
        """
        if self._mode is FetchMode.NONE and mode is not FetchMode.NONE:
            self._progress_at = now
            if self._topology is not None:
                self._origin_failover.begin(len(self._topology.columns), now)
                self._place_failover.begin(len(self._topology.columns), now)
        self._mode = mode

    def add_neighbour(self, host: HostId, place: Place, incarnation: Incarnation) -> None:
        """Add a connected neighbour; it stays excluded if it sent too many corrupt chunks.

        The exclusion applies to one incarnation: a restarted process is used again.
        """
        if host in self.neighbours:
            return
        if self._excluded.get(host, incarnation) != incarnation:
            del self._excluded[host]
        self.neighbours[host] = NeighbourState(
            place, incarnation, is_excluded=host in self._excluded
        )

    def remove_neighbour(self, host: HostId) -> None:
        """Remove a disconnected neighbour and the requests that are pending at it."""
        state = self.neighbours.get(host)
        if state is None:
            return
        self._drop_requests(host, state)
        del self.neighbours[host]

    def record_held_chunks(
        self, host: HostId, indexes: Iterable[int], now: float, upload_queue_length: int = 0
    ) -> None:
        """Record the chunks that a neighbour holds and the length of its upload queue.

        Indexes that are out of range are ignored.
        """
        state = self.neighbours.get(host)
        if state is None:
            return
        state.has_reported = True
        state.upload_queue_length = upload_queue_length
        state.last_received_at = now
        for index in indexes:
            if not 0 <= index < self.chunk_count or index in state.chunks:
                continue
            state.chunks.add(index)
            if not state.is_excluded:
                self._count_holder(index, state, now)

    def record_progress(self, source: Source, index: int, now: float) -> None:
        """Record that bytes of a chunk in flight were received."""
        for fetch in self._fetches.get(index, ()):
            if fetch.source == source:
                fetch.progress_at = now
        if isinstance(source, Neighbour) and source.host in self.neighbours:
            self.neighbours[source.host].last_received_at = now

    def record_arrival(self, source: Source | None, index: int, now: float) -> list[CancelRequest]:
        """Record a verified chunk; return the cancellations of its other requests."""
        fetches = self._fetches.pop(index, [])
        for fetch in fetches:
            self._remove_request(fetch.source, index)
            if fetch.source == source:
                self._pacer.record_arrival(fetch.to_in_flight(), now)
            else:
                self._pacer.record_superseded(fetch.to_in_flight(), now)
        self._holdings.mark_held(index)
        for state in self.neighbours.values():
            state.requestable.discard(index)
        self._progress_at = now
        match source:
            case Neighbour(host) if host in self.neighbours:
                self.neighbours[host].backoff_until = 0.0
            case Origin() | Store():
                self._platform.record_success(source)
        return [CancelRequest(fetch.source, index) for fetch in fetches if fetch.source != source]

    def record_failure(self, source: Source, index: int, failure: FetchFailure, now: float) -> None:
        """Record that a source did not deliver a chunk, and why."""
        self._drop_fetch(index, source)
        if failure is FetchFailure.STALLED:
            self.stalls += 1
        corrupt = failure is FetchFailure.CORRUPT
        self.corrupt_chunks += int(corrupt)
        match source:
            case Neighbour(host) if host in self.neighbours:
                self._record_neighbour_failure(host, index, failure, now)
            case Origin() | Store():
                self._platform.record_failure(source, corrupt, now)
                if not corrupt:
                    # The column makes no progress because the origin failed, not because the hosts
                    # of lower rank did. Without the restart of the timer, all ranks of a column
                    # would request at the same time when the origin recovers.
                    self._origin_failover.record_progress(self._holdings.column_of(index), now)

    # ---- decisions ------------------------------------------------------------------------

    def decide(self, now: float) -> list[Action]:
        """Return the requests and cancellations that are due, and record them as sent."""
        if self.is_complete or self._topology is None or self._mode is FetchMode.NONE:
            return []
        actions: list[Action] = list(self._find_stalls(now))
        actions += self._import_chunks(now)
        if self._mode is FetchMode.IMPORTS:
            return actions
        actions += self._ask_neighbours(now)
        if not self._fetches and now - self._progress_at > self._silence_s:
            actions += self._request_from_any(now)
        return actions

    @property
    def _silence_s(self) -> float:
        return self.rules.silence_s * (1.0 + self._rng.random())

    def _find_stalls(self, now: float) -> Iterator[Action]:
        """Cancel stalled requests, and back off from their sources."""
        for index, fetches in list(self._fetches.items()):
            for fetch in list(fetches):
                if now > self._stall_deadline(fetch):
                    self.record_failure(fetch.source, index, FetchFailure.STALLED, now)
                    yield CancelRequest(fetch.source, index)

    def _stall_deadline(self, fetch: Fetch) -> float:
        """Return the time after which a request counts as stalled.

        Any message from a neighbour postpones it, and so do the chunks queued before this one.
        """
        if not isinstance(fetch.source, Neighbour):
            return fetch.progress_at + 4 * max(self.rules.stall_s, self.patience_s)
        state = self.neighbours[fetch.source.host]
        before = state.upload_queue_length + len(state.requested)
        alive_at = max(fetch.progress_at, state.last_received_at)
        return alive_at + self.rules.stall_s + 2 * before * self._chunk_s

    def _import_chunks(self, now: float) -> Iterator[Action]:
        """Request chunks from outside the place, for the columns this host is in charge of."""
        assert self._topology is not None
        if not self._is_ready_to_import(now):
            return
        for column, ranks in enumerate(self._topology.columns):
            if ranks.in_place is None and ranks.at_origin is None:
                continue
            yield from self._import_from_places(column, ranks, now)
            yield from self._import_from_origin(column, ranks, now)
        yield from self._import_from_slow_hosts(now)

    def _is_ready_to_import(self, now: float) -> bool:
        """Return whether all neighbours have reported what they hold, or had the time to."""
        assert self._topology is not None
        if now - self._started_at >= self.rules.patience_s:
            return True
        expected = self._topology.neighbours
        return all(
            host in self.neighbours and self.neighbours[host].has_reported for host in expected
        )

    def _import_from_places(self, column: int, ranks: ColumnRanks, now: float) -> Iterator[Action]:
        if not self._place_failover.may_act(column, ranks.in_place, self.patience_s, now):
            return
        for index in sorted(self._holdings.remote_only[column] - self._fetches.keys()):
            host = self._pick_holder(index, now, local=False)
            if host is not None:
                yield self._ask(Neighbour(host), index, now)

    def _import_from_slow_hosts(self, now: float) -> Iterator[Action]:
        """Request from other places the chunks that only slow hosts of this place hold.

        Only the host next in rank after the gateway does so. A slow gateway uploads its column
        much more slowly than another host could import it.
        """
        slow = {host for host in self.neighbours if self._is_slow(host)}
        if not slow:
            return
        assert self._topology is not None
        for index in sorted(self.missing - self._fetches.keys()):
            if self._topology.columns[self._holdings.column_of(index)].in_place != BACKUP_RANK:
                continue
            if not self._has_link_capacity(now):
                return
            host = self._pick_holder(index, now, local=False)
            if host is not None and host not in slow and self._local_holders(index) <= slow:
                yield self._ask(Neighbour(host), index, now)

    def _is_slow(self, host: HostId) -> bool:
        state = self.neighbours[host]
        return state.place == self._place and self._pacer.is_source_slow(Neighbour(host))

    def _local_holders(self, index: int) -> set[HostId]:
        return {
            host
            for host, state in self.neighbours.items()
            if state.place == self._place and index in state.chunks
        }

    def _import_from_origin(self, column: int, ranks: ColumnRanks, now: float) -> Iterator[Action]:
        rank = ranks.at_origin
        if not self._origin_failover.may_act(column, rank, self._origin_patience_s, now):
            return
        if any(self._is_platform_fetch(index) for index in self._column_fetches(column)):
            return
        unavailable = self._holdings.unavailable[column] - self._fetches.keys()
        source = self._platform.pick(now)
        if unavailable and source is not None:
            yield self._ask(source, self._choose_for_origin(unavailable, rank or 0), now)

    def _choose_for_origin(self, unavailable: set[int], rank: int) -> int:
        """Return the next chunk to request from the origin.

        Each place starts at another offset in the column, and a host of higher rank starts at the
        end, so that two concurrent importers rarely fetch the same chunk.
        """
        assert self._topology is not None
        if rank > 0:
            return max(unavailable)
        share = self._topology.place_index / self._topology.place_count
        start = int(share * self.chunk_count) if self._per_place else 0
        return min(unavailable, key=lambda index: (index < start, index))

    @property
    def _per_place(self) -> bool:
        assert self._topology is not None
        return all(ranks.in_place == ranks.at_origin for ranks in self._topology.columns)

    def _ask_neighbours(self, now: float) -> Iterator[Action]:
        """Request the rarest chunks from the neighbours with the shortest upload queues.

        Choosing the neighbour first keeps every uplink busy. Choosing the rarest chunk first would
        queue all requests at the few neighbours that hold it.
        """
        while self._has_link_capacity(now):
            request = self._next_request(now)
            if request is None:
                yield from self._request_duplicates(now)
                return
            yield request

    @property
    def _in_flight(self) -> list[ChunkInFlight]:
        return [fetches[0].to_in_flight() for fetches in self._fetches.values()]

    def _has_link_capacity(self, now: float) -> bool:
        """Return whether the link has capacity for one more request."""
        fetches = self._in_flight
        load = self._pacer.count_using_link(fetches, now) + self._platform_fetches
        return load < self._pacer.current_limit(fetches, now)

    @property
    def _platform_fetches(self) -> int:
        """The chunks in flight from the origin or the weight store.

        They count twice in the load of the link, because other hosts wait for them.
        """
        return sum(1 for index in self._fetches if self._is_platform_fetch(index))

    def _next_request(self, now: float) -> RequestChunk | None:
        local = self._holdings.local_holders
        for host in self._order_by_load(now):
            sampled = self.neighbours[host].requestable.sample(self._rng, RARITY_SAMPLE_SIZE)
            if sampled:
                rarest = min(sampled, key=lambda each: (local[each], self._rng.random()))
                return self._ask(Neighbour(host), rarest, now)
        return None

    def _order_by_load(self, now: float) -> list[HostId]:
        """Return the usable neighbours in this place, the shortest upload queue first."""
        usable = [
            (state.upload_queue_length + len(state.requested), self._rng.random(), host)
            for host, state in self.neighbours.items()
            if state.place == self._place and self._is_usable(state, now)
        ]
        return [host for _, _, host in sorted(usable)]

    def _is_usable(self, state: NeighbourState, now: float) -> bool:
        has_capacity = len(state.requested) < self.rules.in_flight
        return has_capacity and not state.is_excluded and state.backoff_until <= now

    def _request_duplicates(self, now: float) -> Iterator[Action]:
        """Request chunks that are late from a second source when nothing else can be requested.

        A slow link gets no duplicates: there the second copy only delays the first.
        """
        if self._pacer.is_link_slow(self._in_flight, now):
            return
        for index, fetches in sorted(self._fetches.items()):
            oldest = fetches[0]
            if len(fetches) >= SOURCES_PER_CHUNK or not isinstance(oldest.source, Neighbour):
                continue
            if now - oldest.requested_at < 2 * max(self._pacer.fastest_s, self._pacer.expected_s):
                continue
            source = self._second_source(index, oldest, now)
            if source is not None:
                yield self._ask(source, index, now, endgame=True)

    def _second_source(self, index: int, oldest: Fetch, now: float) -> Source | None:
        """Return a second source for a chunk, or None.

        Sources outside the place are used only for late chunks, staggered by rank.
        """
        host = self._pick_holder(index, now, local=True)
        if host is not None:
            return Neighbour(host)
        assert self._topology is not None
        ranks = self._topology.columns[self._holdings.column_of(index)]
        late_s = now - oldest.requested_at
        if ranks.in_place is None or late_s < (ranks.in_place + 2) * DUPLICATE_STAGGER_S:
            return None
        host = self._pick_holder(index, now, local=False)
        return Neighbour(host) if host is not None else self._platform.pick(now)

    def _request_from_any(self, now: float) -> Iterator[Action]:
        """Request a random missing chunk from any holder or the origin, regardless of rank.

        Called when nothing is in flight and there was no progress for `_silence_s`.
        """
        self._progress_at = now
        index = self._rng.choice(sorted(self.missing))
        host = self._pick_holder(index, now, local=False)
        source = Neighbour(host) if host is not None else self._platform.pick(now)
        if source is not None:
            yield self._ask(source, index, now)

    # ---- choices --------------------------------------------------------------------------

    def _pick_holder(self, index: int, now: float, local: bool) -> HostId | None:
        """Return the usable holder with the shortest upload queue, in this place or in others."""
        already_requested = {fetch.source for fetch in self._fetches.get(index, ())}
        holders = [
            (state.upload_queue_length + len(state.requested), self._rng.random(), host)
            for host, state in self.neighbours.items()
            if index in state.chunks
            and (state.place == self._place) is local
            and self._is_usable(state, now)
            and Neighbour(host) not in already_requested
        ]
        return min(holders)[2] if holders else None

    # ---- bookkeeping ----------------------------------------------------------------------

    def _ask(self, source: Source, index: int, now: float, endgame: bool = False) -> RequestChunk:
        self._fetches.setdefault(index, []).append(Fetch(source, now, now))
        for state in self.neighbours.values():
            state.requestable.discard(index)
        if isinstance(source, Neighbour):
            self.neighbours[source.host].requested.add(index)
        return RequestChunk(source, index, endgame)

    def _drop_fetch(self, index: int, source: Source) -> None:
        kept = [fetch for fetch in self._fetches.get(index, ()) if fetch.source != source]
        if kept:
            self._fetches[index] = kept
        elif self._fetches.pop(index, None) is not None:
            self._make_requestable(index)
        self._remove_request(source, index)

    def _make_requestable(self, index: int) -> None:
        if index in self.missing:
            for state in self.neighbours.values():
                if index in state.chunks and not state.is_excluded:
                    state.requestable.add(index)

    def _remove_request(self, source: Source, index: int) -> None:
        if isinstance(source, Neighbour) and source.host in self.neighbours:
            self.neighbours[source.host].requested.discard(index)

    def _count_holder(self, index: int, state: NeighbourState, now: float) -> None:
        """Count a neighbour as a holder; a chunk that was unavailable is progress of its column."""
        holdings, local = self._holdings, state.place == self._place
        if index in holdings.missing:
            if index not in self._fetches:
                state.requestable.add(index)
            if not holdings.is_available(index):
                self._progress_at = now
                self._origin_failover.record_progress(holdings.column_of(index), now)
                self._record_origin_available(now)
            if local and not holdings.local_holders[index]:
                self._place_failover.record_progress(holdings.column_of(index), now)
        holdings.add_holder(index, local)

    def _record_origin_available(self, now: float) -> None:
        """Record that another host received a chunk that only the origin had.

        So one host that finds the origin available again tells all others. The timers of all
        columns restart, as only the hosts of rank 0 are to ask at once.
        """
        if self._platform.failures:
            self._platform.record_available()
            self._origin_failover.begin(len(self._holdings.unavailable), now)

    def _record_neighbour_failure(
        self, host: HostId, index: int, failure: FetchFailure, now: float
    ) -> None:
        state = self.neighbours[host]
        match failure:
            case FetchFailure.STALLED | FetchFailure.BUSY:
                state.backoff_until = now + self.rules.stall_s
            case FetchFailure.REFUSED:
                self._remove_held_chunk(state, index)
            case FetchFailure.CORRUPT:
                state.corrupt += 1
                if state.corrupt >= self.rules.corrupt_limit:
                    self._exclude(host, state)

    def _remove_held_chunk(self, state: NeighbourState, index: int) -> None:
        """Record that a neighbour does not hold a chunk."""
        if index in state.chunks:
            state.chunks.discard(index)
            state.requestable.discard(index)
            if not state.is_excluded:
                self._holdings.remove_holder(index, state.place == self._place)

    def _exclude(self, host: HostId, state: NeighbourState) -> None:
        """Exclude a neighbour: no more requests, and its chunks no longer count as available."""
        self._drop_requests(host, state)
        state.is_excluded = True
        self._excluded[host] = state.incarnation

    def _drop_requests(self, host: HostId, state: NeighbourState) -> None:
        for index in list(state.requested):
            self._drop_fetch(index, Neighbour(host))
        if not state.is_excluded:
            for index in state.chunks:
                self._holdings.remove_holder(index, state.place == self._place)
        state.requestable.clear()

    def _column_fetches(self, column: int) -> list[int]:
        return [index for index in self._fetches if self._holdings.column_of(index) == column]

    def _is_platform_fetch(self, index: int) -> bool:
        return any(not isinstance(fetch.source, Neighbour) for fetch in self._fetches[index])
