"""Exchange updates with other entries: their readiness, their routes and leaving targets.

Links break and processes freeze, so every received update has an age, and old ones are ignored.
"""

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from lacewinggw.background import Background
from lacewinggw.clients.membership import Member, MemberRole
from lacewinggw.clock import Clock
from lacewinggw.decisions.locality import ReadyEntry
from lacewinggw.decisions.routereaders import READERS_PER_PLACE, PeerEntry, reader_sort_key
from lacewinggw.entry.watches import AgentWatches, WatchedAgent
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.ids import Address, HostId, Place
from lacewinggw.wire.peers import PeerLink, PeerNode

MIN_UPDATE_INTERVAL_S = 0.5  # between updates without a change
# Callers that are directed to an entry that lost power wait a second for it, so its silence has to
# be noticed within about two.
MAX_UPDATE_INTERVAL_S = 1.0
# Updates without a change that an entry sends in a second. Each of its place receives as many, so
# with a fixed interval their cost would grow with the size of the place.
MAX_UPDATES_PER_S = 25
# An entry whose next update is this much overdue may be gone: about two updates of a small place.
OVERDUE_S = 1.1
MS_PER_S = 1000


@dataclass
class _ReceivedUpdate:
    """The last update received from an entry, the link it came on, and when it arrived."""

    place: Place
    address: Address
    update: messages.EntryUpdate
    link: PeerLink
    at: float

    def is_current(self, now: float) -> bool:
        """Return whether the entry's next update is not overdue."""
        return now - self.at < self.update.next_ms / MS_PER_S + OVERDUE_S


def _to_known_entry(host: HostId, received: _ReceivedUpdate, now: float) -> PeerEntry:
    update, since_s = received.update, now - received.at
    return PeerEntry(
        host,
        received.place,
        received.address,
        routes_age_s=update.routes_seen_age_ms / MS_PER_S + since_s,
        targets_age_s=update.targets_age_ms / MS_PER_S + since_s,
        targets_digest=update.targets_digest,
    )


class EntryNeighbours:
    """Keeps links to other entries and exchanges updates on them.

    `compose` returns the update of this entry. `on_update` is called with each received update and
    its sender. `compose_initial` returns an additional message for new subscribers, or None.
    `is_reader` returns whether others rely on this entry's reads of the store; its updates stay
    frequent in a place of any size.
    """

    def __init__(
        self,
        node: PeerNode,
        own_host: HostId,
        place: Place,
        compose: Callable[[], messages.EntryUpdate],
        on_update: Callable[[PeerEntry, messages.EntryUpdate], None],
        compose_initial: Callable[[], messages.CrashUpdate | None],
        is_reader: Callable[[], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._node = node
        self._own_host = own_host
        self._place = place
        self._compose = compose
        self._on_update = on_update
        self._compose_initial = compose_initial
        self._is_reader = is_reader
        self._clock = clock
        self._received: dict[HostId, _ReceivedUpdate] = {}
        self._subscribers: dict[PeerLink, None] = {}  # in order of subscription
        self._has_members = False
        self._reverse_watches: set[WatchedAgent] = set()
        self._watches = AgentWatches(node, own_host, lambda host: None, rng)
        self._changed = asyncio.Event()
        self._loop = Background("entry news", self._run)

    async def start(self) -> None:
        """Start sending and receiving updates."""
        self._watches.start()
        self._loop.start()

    async def close(self) -> None:
        """Stop."""
        await self._loop.close()
        await self._watches.close()

    def set_members(self, members: Iterable[Member]) -> None:
        """Watch all entries of this place, and the readers of each other place."""
        per_place: dict[Place, int] = {}
        wanted: set[WatchedAgent] = set()
        for member in sorted(members, key=lambda each: reader_sort_key(each.host)):
            if member.role is not MemberRole.ENTRY or member.host == self._own_host:
                continue
            count = per_place.get(member.place, 0)
            if member.place != self._place and count >= READERS_PER_PLACE:
                continue
            per_place[member.place] = count + 1
            wanted.add(WatchedAgent(member.host, member.address))
        self._has_members = bool(wanted)
        self._watches.set_targets(wanted or self._reverse_watches)

    def schedule_update(self) -> None:
        """Send an update soon, because its content has changed."""
        self._changed.set()

    def apply_watch(self, link: PeerLink, watch: messages.Watch) -> None:
        """Start or stop sending updates over a link; the first one is sent at once."""
        if watch.stop:
            self._subscribers.pop(link, None)
            return
        self._subscribers[link] = None
        link.notify(self._compose_timed())
        initial = self._compose_initial()
        if initial is not None:
            link.notify(initial)
        self._subscribe_back(link)

    def _subscribe_back(self, link: PeerLink) -> None:
        """Watch an entry that watches this one, as long as the store has listed no others.

        An entry that starts while the store rejects its calls has no list of entries. The others
        have it on their list, and have the routes.
        """
        if self._has_members:
            return
        self._reverse_watches.add(
            WatchedAgent(HostId(link.remote.host), Address(link.remote.address))
        )
        self._watches.set_targets(self._reverse_watches)

    def apply_update(self, link: PeerLink, update: messages.EntryUpdate) -> None:
        """Record the update of another entry and pass it to `on_update`."""
        remote = link.remote
        received = _ReceivedUpdate(
            Place(remote.place), Address(remote.address), update, link, self._clock()
        )
        self._received[HostId(remote.host)] = received
        self._on_update(_to_known_entry(HostId(remote.host), received, received.at), update)

    def broadcast(self, update: messages.CrashUpdate | messages.EntryUpdate) -> None:
        """Send a message to all subscribed entries."""
        self._subscribers = {link: None for link in self._subscribers if not link.closed.is_set()}
        self._node.notify_all(self._subscribers, update)

    def ready_entries(self) -> Sequence[ReadyEntry]:
        """Return the other entries whose recent update states that they are ready.

        An entry whose link has closed is left out at once, as its process may have ended. The next
        update on a new link restores it.
        """
        now = self._clock()
        return [
            ReadyEntry(host, received.place, Address(received.update.caller_address))
            for host, received in self._received.items()
            if received.update.ready
            and received.is_current(now)
            and not received.link.closed.is_set()
        ]

    def active_entries(self) -> Sequence[PeerEntry]:
        """Return the other entries that sent an update recently."""
        now = self._clock()
        return [
            _to_known_entry(host, received, now)
            for host, received in self._received.items()
            if received.is_current(now)
        ]

    async def _run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(self._update_interval_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._changed.clear()
            if self._subscribers:
                self.broadcast(self._compose_timed())

    @property
    def _update_interval_s(self) -> float:
        """The time between updates without a change."""
        if self._is_reader():
            return MIN_UPDATE_INTERVAL_S
        wanted_s = len(self._subscribers) / MAX_UPDATES_PER_S
        return min(MAX_UPDATE_INTERVAL_S, max(MIN_UPDATE_INTERVAL_S, wanted_s))

    def _compose_timed(self) -> messages.EntryUpdate:
        update = self._compose()
        update.next_ms = round(self._update_interval_s * MS_PER_S)
        return update
