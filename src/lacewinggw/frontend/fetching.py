"""Fetch newer routes from other entries, so that each place receives them once from elsewhere.

An entry with newer routes announces them to the entries that watch it. Routes are fetched from an
entry of the same place if there is one. Otherwise the first-ranked entry of a place fetches them
from another place, and the others wait for it, longer with each rank, so that the routes still
arrive if that entry fails.
"""

import asyncio
import time
from collections.abc import Callable, Iterable

from lacewinggw.background import Background
from lacewinggw.clock import Clock
from lacewinggw.decisions.routereaders import (
    LocalEntry,
    PeerEntry,
    rank_in_place,
    reader_sort_key,
    remote_fetch_delay_s,
)
from lacewinggw.decisions.routes import RouteTable
from lacewinggw.decisions.routingview import RoutingView
from lacewinggw.decisions.storeposition import NO_POSITION, StorePosition
from lacewinggw.errors import LacewingError, ProtocolViolation, TimedOut
from lacewinggw.frontend.entryupdates import apply_difference
from lacewinggw.frontend.evacuations import EvacuationMonitor, EvacuationSource
from lacewinggw.frontend.freshness import MS_PER_S, apply_answer
from lacewinggw.frontend.routeslog import RoutesLog
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.ids import HostId
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics
from lacewinggw.wire.packing import ROUTES_LIMIT_BYTES, unpack_routes
from lacewinggw.wire.peers import OutgoingCall, PeerLink, PeerNode

# For each part. A timeout for all parts together would abort copies over a full link between
# places, and each retry would be aborted again.
PART_TIMEOUT_S = 0.8
LANE = "routes"  # a separate connection, so that short answers do not wait behind routes

log = get_logger(__name__)

DecodeRoutes = Callable[[bytes], RouteTable]


class RoutesFetcher:
    """Fetches routes and versions that other entries announce.

    `on_fetching` is called before routes are fetched, and `on_difference` once it is known what
    they change. `on_fetched` is called when they have been applied, with the store position up to
    which all is known, or `NO_POSITION` if that is unknown.
    """

    def __init__(
        self,
        node: PeerNode,
        local_entry: LocalEntry,
        view: RoutingView,
        decode: DecodeRoutes,
        evacuations: EvacuationMonitor,
        others: Callable[[], Iterable[PeerEntry]],
        on_fetching: Callable[[], None],
        on_difference: Callable[[], None],
        on_fetched: Callable[[StorePosition], None],
        routes_log: RoutesLog,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._node = node
        self._local_entry = local_entry
        self._view = view
        self._decode = decode
        self._evacuations = evacuations
        self._others = others
        self._on_fetching = on_fetching
        self._on_difference = on_difference
        self._on_fetched = on_fetched
        self._routes_log = routes_log
        self._clock = clock
        self._fetched = metrics.counter("routes_fetches", outcome="fetched")
        self._failed = metrics.counter("routes_fetches", outcome="failed")
        self._holders: dict[HostId, tuple[PeerEntry, messages.EntryUpdate]] = {}
        self._wake = asyncio.Event()
        self._near_holder = asyncio.Event()
        self._is_fetching = False
        self._loop = Background("fetching routes", self._run)

    @property
    def is_fetching(self) -> bool:
        """Whether newer routes are being fetched by this entry or another one of its place."""
        return self._is_fetching

    async def start(self) -> None:
        """Start fetching."""
        self._loop.start()

    async def close(self) -> None:
        """Stop."""
        await self._loop.close()

    def note_update(self, entry: PeerEntry, update: messages.EntryUpdate) -> None:
        """Record what another entry announces.

        The ages in it are ignored: they are only valid in an answer to a question.
        """
        if not self._is_newer(update):
            return
        if self._has_newer_routes(update):
            self._routes_log.note_known(update.routes_version, entry.host)
        self._view.confirm_version(update.routes_version)
        self._view.note_announced(update.routes_version, self._clock())
        self._holders[entry.host] = (entry, update)
        if entry.place == self._local_entry.place:
            self._near_holder.set()
        self._wake.set()

    def _is_newer(self, update: messages.EntryUpdate) -> bool:
        if self._has_newer_routes(update):
            return True
        return not self._has_versions(each for each in update.named if not each.is_guess)

    def _has_versions(self, named: Iterable[messages.NamedModelVersion]) -> bool:
        known = {(model, due.version) for model, due in self._view.all_required_versions}
        return all((each.model, each.version) in known for each in named)

    def _has_newer_routes(self, update: messages.EntryUpdate) -> bool:
        routes = self._view.routes
        return update.routes_version > (routes.version if routes is not None else 0)

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            try:
                await self._fetch_all()
            finally:
                self._is_fetching = False

    async def _fetch_all(self) -> None:
        """Fetch from one entry after another; after the first failure, allow reads of the store."""
        has_failed = False
        while holder := self._choose_holder():
            entry, update = holder
            if self._has_newer_routes(update) and not (self._is_fetching or has_failed):
                self._is_fetching = True
                self._on_fetching()
            if self._has_newer_routes(update) and entry.place != self._local_entry.place:
                await self._wait_for_near_holder()
                entry, _ = self._choose_holder() or holder
            self._holders.pop(entry.host, None)
            if not await self._fetch(entry):
                has_failed = True
                self._is_fetching = False

    def _choose_holder(self) -> tuple[PeerEntry, messages.EntryUpdate] | None:
        """Return an entry that has newer routes or versions, preferably one of this place."""
        for host in [
            host for host, (_, update) in self._holders.items() if not self._is_newer(update)
        ]:
            del self._holders[host]
        return min(
            self._holders.values(),
            key=lambda holder: (
                not self._has_newer_routes(holder[1]),
                holder[0].place != self._local_entry.place,
                reader_sort_key(holder[0].host),
            ),
            default=None,
        )

    async def _wait_for_near_holder(self) -> None:
        self._near_holder.clear()
        wait_s = remote_fetch_delay_s(rank_in_place(self._local_entry, self._others()))
        try:
            async with asyncio.timeout(wait_s):
                await self._near_holder.wait()
        except TimeoutError:
            log.debug("routes_not_in_place", waited_s=wait_s)

    async def _fetch(self, entry: PeerEntry) -> bool:
        """Fetch routes and versions from an entry; return whether it answered."""
        routes = self._view.routes
        question = messages.AskUpdate(
            routes.version if routes else 0, wants_routes=True, wants_difference=True
        )
        sent_at = self._clock()
        link: PeerLink | None = None
        try:
            async with asyncio.timeout(PART_TIMEOUT_S):
                link = await self._node.link(entry.address, LANE)
            packed, update = await _receive(
                link.start_call(question),
                lambda difference: self._apply_difference(difference, sent_at),
            )
            apply_answer(self._view, update, sent_at)
            self._evacuations.publish_new(EvacuationSource.ENTRY)
            if packed:
                self._apply_routes(packed, update, entry, sent_at)
        except (LacewingError, TimeoutError, OSError) as error:
            self._failed.add()
            log.info("routes_not_fetched", entry=entry.host, error=error)
            if link is not None:
                link.close()  # parts still in flight would delay the next copy
            return False
        self._fetched.add()
        return True

    def _apply_difference(self, message: messages.RoutesDifference, sent_at: float) -> None:
        """Record what the routes that follow change; tell the entries that wait for them."""
        apply_difference(self._view, message, sent_at)
        self._on_difference()

    def _apply_routes(
        self, packed: bytes, update: messages.EntryUpdate, entry: PeerEntry, sent_at: float
    ) -> None:
        began = time.perf_counter()
        table = self._decode(unpack_routes(packed))
        decode_s = time.perf_counter() - began
        if not self._view.update_routes(table):
            return
        age_s = self._clock() - sent_at + update.routes_age_ms / MS_PER_S
        self._routes_log.note_taken(table, len(packed), age_s, entry.host, decode_s)
        # The store is read on from this position, so everything before it must have been received.
        knows_all = self._has_versions(update.named) and update.evacuated_position > 0
        position = StorePosition(update.store_era, update.routes_position)
        self._on_fetched(position if knows_all else NO_POSITION)


async def _receive(
    call: OutgoingCall, on_difference: Callable[[messages.RoutesDifference], None]
) -> tuple[bytes, messages.EntryUpdate]:
    """Return the joined parts of the routes and the update that follows them.

    A difference from the asker's version comes before them and is passed on at once.

    Raise `ProtocolViolation` for other messages or too many bytes, and `TimedOut` if the next part
    does not arrive in time.
    """
    parts: list[bytes] = []
    size = 0
    replies = call.replies()
    try:
        while True:
            async with asyncio.timeout(PART_TIMEOUT_S):
                message = await anext(replies)
            match message:
                case messages.RoutesPart(data=data):
                    parts.append(data)
                    size += len(data)
                    if size > ROUTES_LIMIT_BYTES:
                        raise ProtocolViolation(
                            f"packed routes exceed the size limit with {size} bytes"
                        )
                case messages.RoutesDifference() as difference:
                    on_difference(difference)
                case messages.EntryUpdate() as update:
                    return b"".join(parts), update
                case _:
                    raise ProtocolViolation(
                        f"unexpected {type(message).__name__} among the parts of routes"
                    )
    except TimeoutError as error:
        raise TimedOut(f"no further part of the routes after {size} bytes") from error
    finally:
        call.abandon()
