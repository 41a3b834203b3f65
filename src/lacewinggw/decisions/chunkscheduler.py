"""How one host gets the chunks of one release: whom to ask for which, and when.

A state machine without I/O or clock. Events go in by methods that carry the time; `decide` returns
the actions that are now due. Whoever carries them out reports each end with `arrived`, `corrupt`
or `failed`, and calls `decide` again, at the latest after `TICK_S`.
"""

import random
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
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
BACKUP_RANK = 1  # of a column: the next one after its gateway
DUPLICATE_STAGGER_S = (
    0.4  # between the turns of those that may bring in once more what one host is slow with
)
RARITY_SAMPLE_SIZE = (
    64  # chunks looked at to find a rare one; looking at all costs time with their square
)


@dataclass(frozen=True)
class RequestChunk:
    """Ask a source for a chunk."""

    source: Source
    index: int
    endgame: bool = False


@dataclass(frozen=True)
class CancelRequest:
    """Give up a chunk that was asked of a source."""

    source: Source
    index: int


Action: TypeAlias = RequestChunk | CancelRequest


class ChunkScheduler:
    """What one host knows of one release on its way, and what it does next."""

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
        largest = max(sizes, default=0)
        self._chunk_s = largest / rules.link_bytes_per_s  # over the whole link
        self._origin_chunk_s = largest / (rules.origin_bytes_per_s or rules.link_bytes_per_s)
        self._place = place
        self._rng = rng
        self._started_at = now
        self._progress_at = now
        self._fetches: dict[int, list[Fetch]] = {}
        self._holdings = ChunkAvailability(len(sizes))
        self._topology: Topology | None = None
        self._at_origin = ColumnFailover()
        self._in_place = ColumnFailover()
        self._left: dict[HostId, Incarnation] = {}
        self._platform = PlatformSources(rules, rng)
        self._pace = LinkPacer(rules.in_flight_total * self._chunk_s, rules.in_flight_total)

    @property
    def chunk_count(self) -> int:
        """How many chunks the release has."""
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
        """The chunks not held yet."""
        return self._holdings.missing

    @property
    def bad_sources(self) -> list[str]:
        """The sources that gave too many corrupt chunks."""
        return sorted([*self._left, *self._platform.corrupt_sources])

    @property
    def patience_s(self) -> float:
        """How long a column may stand still before the next in rank steps in, in seconds."""
        columns = len(self._topology.columns) if self._topology else 1
        return self.rules.patience_s + 2 * columns * self._origin_chunk_s

    def unavailable_chunks(self, now: float) -> list[int]:
        """Return the chunks that nobody known has, once nothing has moved for a while."""
        if self.is_complete or now - self._progress_at < self.rules.stall_s + self.patience_s:
            return []
        return sorted(set().union(*self._holdings.unavailable))

    @property
    def source_failures(self) -> int:
        """How often the origin and the weight store failed since they last gave a chunk."""
        return self._platform.failures

    # ---- events ---------------------------------------------------------------------------

    def set_topology(self, topology: Topology, now: float) -> None:
        """Take a new view of the hosts due the release."""
        if self._topology is None:
            self._at_origin.begin(len(topology.columns), now)
            self._in_place.begin(len(topology.columns), now)
            self._holdings.set_columns(len(topology.columns))
        self._topology = topology

    def add_neighbour(self, host: HostId, place: Place, incarnation: Incarnation) -> None:
        """Note a neighbour that can now be asked, unless it was left for its corrupt chunks.

        A process that was started anew begins with a clean record.
        """
        if host in self.neighbours:
            return
        if self._left.get(host, incarnation) != incarnation:
            del self._left[host]
        self.neighbours[host] = NeighbourState(place, incarnation, is_excluded=host in self._left)

    def remove_neighbour(self, host: HostId) -> None:
        """Forget a neighbour and whatever was asked of it."""
        state = self.neighbours.get(host)
        if state is None:
            return
        self._take_back(host, state)
        del self.neighbours[host]

    def record_held_chunks(
        self, host: HostId, indexes: Iterable[int], now: float, upload_queue_length: int = 0
    ) -> None:
        """Note chunks that a neighbour holds, and how many wait to be sent by it.

        Indexes out of range are dropped.
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
                self._note_shown(index, state, now)

    def record_progress(self, source: Source, index: int, now: float) -> None:
        """Note bytes of a chunk that is still on its way."""
        for fetch in self._fetches.get(index, ()):
            if fetch.source == source:
                fetch.progress_at = now
        if isinstance(source, Neighbour) and source.host in self.neighbours:
            self.neighbours[source.host].last_received_at = now

    def record_arrival(self, source: Source | None, index: int, now: float) -> list[CancelRequest]:
        """Note a chunk whose hash holds; return what else is to be given up for it."""
        fetches = self._fetches.pop(index, [])
        for fetch in fetches:
            self._forget_asked(fetch.source, index)
            if fetch.source == source:
                self._pace.record_arrival(fetch.to_in_flight(), now)
            else:
                self._pace.record_superseded(fetch.to_in_flight(), now)
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
        """Note that a source did not give a chunk, and why."""
        self._drop_fetch(index, source)
        if failure is FetchFailure.STALLED:
            self.stalls += 1
        corrupt = failure is FetchFailure.CORRUPT
        self.corrupt_chunks += int(corrupt)
        match source:
            case Neighbour(host) if host in self.neighbours:
                self._note_neighbour_failed(host, index, failure, now)
            case Origin() | Store():
                self._platform.record_failure(source, corrupt, now)
                if not corrupt:
                    # It stands still for the origin's sake, not for that of the hosts before this
                    # one: else all ranks of a column go on at once when the origin is back.
                    self._at_origin.record_progress(self._holdings.column_of(index), now)

    # ---- decisions ------------------------------------------------------------------------

    def decide(self, now: float) -> list[Action]:
        """Return what to ask for now, and note it as asked."""
        if self.is_complete or self._topology is None:
            return []
        actions: list[Action] = list(self._find_stalls(now))
        actions += self._import_chunks(now)
        actions += self._ask_neighbours(now)
        if not self._fetches and now - self._progress_at > self._silence_s:
            actions += self._break_silence(now)
        return actions

    @property
    def _silence_s(self) -> float:
        return self.rules.silence_s * (1.0 + self._rng.random())

    def _find_stalls(self, now: float) -> Iterator[Action]:
        """Give up chunks that do not move; their sources become the last to be asked."""
        for index, fetches in list(self._fetches.items()):
            for fetch in list(fetches):
                if now > self._due_at(fetch):
                    self.record_failure(fetch.source, index, FetchFailure.STALLED, now)
                    yield CancelRequest(fetch.source, index)

    def _due_at(self, fetch: Fetch) -> float:
        """Return when a chunk counts as stalled.

        Any word from a neighbour is a sign of life, and what it has to send before is allowed for.
        """
        if not isinstance(fetch.source, Neighbour):
            return fetch.progress_at + 4 * max(self.rules.stall_s, self.patience_s)
        state = self.neighbours[fetch.source.host]
        before = state.upload_queue_length + len(state.requested)
        alive_at = max(fetch.progress_at, state.last_received_at)
        return alive_at + self.rules.stall_s + 2 * before * self._chunk_s

    def _import_chunks(self, now: float) -> Iterator[Action]:
        """Bring chunks into the place, in the columns where it is this host's turn."""
        assert self._topology is not None
        if not self._ready_to_import(now):
            return
        for column, ranks in enumerate(self._topology.columns):
            if ranks.in_place is None and ranks.at_origin is None:
                continue
            yield from self._import_from_places(column, ranks, now)
            yield from self._import_from_origin(column, ranks, now)
        yield from self._import_stuck(now)

    def _ready_to_import(self, now: float) -> bool:
        """Return whether the neighbours have said what they hold, or had the time to."""
        assert self._topology is not None
        if now - self._started_at >= self.rules.patience_s:
            return True
        wished = self._topology.neighbours
        return all(
            host in self.neighbours and self.neighbours[host].has_reported for host in wished
        )

    def _import_from_places(self, column: int, ranks: ColumnRanks, now: float) -> Iterator[Action]:
        if not self._in_place.may_act(column, ranks.in_place, self.patience_s, now):
            return
        for index in sorted(self._holdings.remote_only[column] - self._fetches.keys()):
            host = self._pick_holder(index, now, local=False)
            if host is not None:
                yield self._ask(Neighbour(host), index, now)

    def _import_stuck(self, now: float) -> Iterator[Action]:
        """Bring in once more what only a slow host of this place has, next in rank after it.

        Such a host passes its column on far slower than the others could bring it in themselves.
        """
        slow = {host for host in self.neighbours if self._is_slow(host)}
        if not slow:
            return
        assert self._topology is not None
        for index in sorted(self.missing - self._fetches.keys()):
            if self._topology.columns[self._holdings.column_of(index)].in_place != BACKUP_RANK:
                continue
            if not self._has_room(now):
                return
            host = self._pick_holder(index, now, local=False)
            if host is not None and host not in slow and self._near_holders(index) <= slow:
                yield self._ask(Neighbour(host), index, now)

    def _is_slow(self, host: HostId) -> bool:
        state = self.neighbours[host]
        return state.place == self._place and self._pace.is_source_slow(Neighbour(host))

    def _near_holders(self, index: int) -> set[HostId]:
        return {
            host
            for host, state in self.neighbours.items()
            if state.place == self._place and index in state.chunks
        }

    def _import_from_origin(self, column: int, ranks: ColumnRanks, now: float) -> Iterator[Action]:
        rank = ranks.at_origin
        if not self._at_origin.may_act(column, rank, self.patience_s, now):
            return
        if any(self._is_source_fetch(index) for index in self._column_fetches(column)):
            return
        absent = self._holdings.unavailable[column] - self._fetches.keys()
        source = self._platform.pick(now)
        if absent and source is not None:
            yield self._ask(source, self._first_absent(absent, rank or 0), now)

    def _first_absent(self, absent: set[int], rank: int) -> int:
        """Return the next chunk for the origin.

        Each place begins elsewhere in the column, and a stand-in works from the end, so that two
        at once rarely fetch the same.
        """
        assert self._topology is not None
        if rank > 0:
            return max(absent)
        share = self._topology.place_index / self._topology.place_count
        begin = int(share * self.chunk_count) if self._per_place else 0
        return min(absent, key=lambda index: (index < begin, index))

    @property
    def _per_place(self) -> bool:
        assert self._topology is not None
        return all(ranks.in_place == ranks.at_origin for ranks in self._topology.columns)

    def _ask_neighbours(self, now: float) -> Iterator[Action]:
        """Ask the neighbours with least to send for the rarest chunks they have.

        Choosing the neighbour first keeps every uplink busy; choosing the rarest chunk first would
        have all wait for the few that hold it.
        """
        while self._has_room(now):
            request = self._next_request(now)
            if request is None:
                yield from self._ask_again(now)
                return
            yield request

    @property
    def _on_their_way(self) -> list[ChunkInFlight]:
        return [fetches[0].to_in_flight() for fetches in self._fetches.values()]

    def _has_room(self, now: float) -> bool:
        """Return whether one more chunk may be on its way over the link."""
        fetches = self._on_their_way
        load = self._pace.count_using_link(fetches, now) + self._source_fetches
        return load < self._pace.current_limit(fetches, now)

    @property
    def _source_fetches(self) -> int:
        """Chunks on their way from the origin: others wait for them, so they count twice."""
        return sum(1 for index in self._fetches if self._is_source_fetch(index))

    def _next_request(self, now: float) -> RequestChunk | None:
        local = self._holdings.local_holders
        for host in self._by_load(now):
            offered = self.neighbours[host].requestable.sample(self._rng, RARITY_SAMPLE_SIZE)
            if offered:
                rarest = min(offered, key=lambda each: (local[each], self._rng.random()))
                return self._ask(Neighbour(host), rarest, now)
        return None

    def _by_load(self, now: float) -> list[HostId]:
        """Return the neighbours in this place that may be asked, those with least to send first."""
        usable = [
            (state.upload_queue_length + len(state.requested), self._rng.random(), host)
            for host, state in self.neighbours.items()
            if state.place == self._place and self._may_ask(state, now)
        ]
        return [host for _, _, host in sorted(usable)]

    def _may_ask(self, state: NeighbourState, now: float) -> bool:
        room = len(state.requested) < self.rules.in_flight
        return room and not state.is_excluded and state.backoff_until <= now

    def _ask_again(self, now: float) -> Iterator[Action]:
        """Ask a second source for chunks that take longer than most, when nothing else is on offer.

        Not over a link that is narrow: there the second copy only stands in the way of the first.
        """
        if self._pace.is_link_slow(self._on_their_way, now):
            return
        for index, fetches in sorted(self._fetches.items()):
            oldest = fetches[0]
            if len(fetches) >= SOURCES_PER_CHUNK or not isinstance(oldest.source, Neighbour):
                continue
            if now - oldest.requested_at < 2 * max(self._pace.fastest_s, self._pace.expected_s):
                continue
            source = self._second_source(index, oldest, now)
            if source is not None:
                yield self._ask(source, index, now, endgame=True)

    def _second_source(self, index: int, oldest: Fetch, now: float) -> Source | None:
        """Return who else may give a chunk: beyond this place only what is late, and in turn."""
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

    def _break_silence(self, now: float) -> Iterator[Action]:
        """Nobody has shown anything for long: ask whoever may have a chunk, whatever the rank."""
        self._progress_at = now
        index = self._rng.choice(sorted(self.missing))
        host = self._pick_holder(index, now, local=False)
        source = Neighbour(host) if host is not None else self._platform.pick(now)
        if source is not None:
            yield self._ask(source, index, now)

    # ---- choices --------------------------------------------------------------------------

    def _pick_holder(self, index: int, now: float, local: bool) -> HostId | None:
        """Return the holder of a chunk with least to send, in this place or in others."""
        asked_already = {fetch.source for fetch in self._fetches.get(index, ())}
        holders = [
            (state.upload_queue_length + len(state.requested), self._rng.random(), host)
            for host, state in self.neighbours.items()
            if index in state.chunks
            and (state.place == self._place) is local
            and self._may_ask(state, now)
            and Neighbour(host) not in asked_already
        ]
        return min(holders)[2] if holders else None

    # ---- book-keeping ---------------------------------------------------------------------

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
            self._offer_again(index)
        self._forget_asked(source, index)

    def _offer_again(self, index: int) -> None:
        if index in self.missing:
            for state in self.neighbours.values():
                if index in state.chunks and not state.is_excluded:
                    state.requestable.add(index)

    def _forget_asked(self, source: Source, index: int) -> None:
        if isinstance(source, Neighbour) and source.host in self.neighbours:
            self.neighbours[source.host].requested.discard(index)

    def _note_shown(self, index: int, state: NeighbourState, now: float) -> None:
        """Count a chunk that a neighbour shows, and note whether its column moves by it."""
        holdings, local = self._holdings, state.place == self._place
        if index in holdings.missing:
            if index not in self._fetches:
                state.requestable.add(index)
            if not holdings.is_available(index):
                self._progress_at = now
                self._at_origin.record_progress(holdings.column_of(index), now)
            if local and not holdings.local_holders[index]:
                self._in_place.record_progress(holdings.column_of(index), now)
        holdings.add_holder(index, local)

    def _note_neighbour_failed(
        self, host: HostId, index: int, failure: FetchFailure, now: float
    ) -> None:
        state = self.neighbours[host]
        match failure:
            case FetchFailure.STALLED | FetchFailure.BUSY:
                state.backoff_until = now + self.rules.stall_s
            case FetchFailure.REFUSED:
                self._withdraw_offer(state, index)
            case FetchFailure.CORRUPT:
                state.corrupt += 1
                if state.corrupt >= self.rules.corrupt_limit:
                    self._leave(host, state)

    def _withdraw_offer(self, state: NeighbourState, index: int) -> None:
        """Forget that a neighbour has a chunk."""
        if index in state.chunks:
            state.chunks.discard(index)
            state.requestable.discard(index)
            if not state.is_excluded:
                self._holdings.remove_holder(index, state.place == self._place)

    def _leave(self, host: HostId, state: NeighbourState) -> None:
        """Ask nothing more of a neighbour, and count on nothing that it shows."""
        self._take_back(host, state)
        state.is_excluded = True
        self._left[host] = state.incarnation

    def _take_back(self, host: HostId, state: NeighbourState) -> None:
        for index in list(state.requested):
            self._drop_fetch(index, Neighbour(host))
        if not state.is_excluded:
            for index in state.chunks:
                self._holdings.remove_holder(index, state.place == self._place)
        state.requestable.clear()

    def _column_fetches(self, column: int) -> list[int]:
        return [index for index in self._fetches if self._holdings.column_of(index) == column]

    def _is_source_fetch(self, index: int) -> bool:
        return any(not isinstance(fetch.source, Neighbour) for fetch in self._fetches[index])
