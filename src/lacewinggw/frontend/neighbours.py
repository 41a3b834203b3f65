"""What entries and agents tell this entry directly: who is ready, and how busy targets are.

Links break and processes freeze, so everything heard has an age, and what is too old is not used.
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

UPDATE_S = 0.5  # between updates without a change
READY_S = 1.6  # updates older than three of these intervals say nothing: the entry may be gone
MS_PER_S = 1000


@dataclass
class _Heard:
    """The last update of an entry."""

    place: Place
    address: Address
    update: messages.EntryUpdate
    at: float


def _known(host: HostId, heard: _Heard, now: float) -> PeerEntry:
    update, since_s = heard.update, now - heard.at
    return PeerEntry(
        host,
        heard.place,
        heard.address,
        routes_age_s=update.routes_seen_age_ms / MS_PER_S + since_s,
        targets_age_s=update.targets_age_ms / MS_PER_S + since_s,
        targets_digest=update.targets_digest,
    )


class EntryNeighbours:
    """Keeps links to other entries and exchanges updates on them.

    `compose` gives the update of this entry; `on_update` gets each that comes, and from whom.
    `greet` gives what an entry that begins to listen is told besides, if there is anything.
    """

    def __init__(
        self,
        node: PeerNode,
        me: HostId,
        place: Place,
        compose: Callable[[], messages.EntryUpdate],
        on_update: Callable[[PeerEntry, messages.EntryUpdate], None],
        greet: Callable[[], messages.CrashUpdate | None],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._node = node
        self._me = me
        self._place = place
        self._compose = compose
        self._on_update = on_update
        self._greet = greet
        self._clock = clock
        self._heard: dict[HostId, _Heard] = {}
        self._listeners: set[PeerLink] = set()
        self._has_members = False
        self._listening_back: set[WatchedAgent] = set()
        self._watches = AgentWatches(node, me, lambda host: None, rng)
        self._changed = asyncio.Event()
        self._loop = Background("entry news", self._run)

    async def start(self) -> None:
        """Begin to tell and to listen."""
        self._watches.start()
        self._loop.start()

    async def close(self) -> None:
        """Stop."""
        await self._loop.close()
        await self._watches.close()

    def set_members(self, members: Iterable[Member]) -> None:
        """Keep in touch with all entries of this place, and with those of each other that read."""
        per_place: dict[Place, int] = {}
        wanted: set[WatchedAgent] = set()
        for member in sorted(members, key=lambda each: reader_sort_key(each.host)):
            if member.role is not MemberRole.ENTRY or member.host == self._me:
                continue
            count = per_place.get(member.place, 0)
            if member.place != self._place and count >= READERS_PER_PLACE:
                continue
            per_place[member.place] = count + 1
            wanted.add(WatchedAgent(member.host, member.address))
        self._has_members = bool(wanted)
        self._watches.set_targets(wanted or self._listening_back)

    def note_change(self) -> None:
        """Tell the others soon: what this entry tells has changed."""
        self._changed.set()

    def take_watch(self, link: PeerLink, watch: messages.Watch) -> None:
        """Send updates over a link from now on, some at once, or stop."""
        if watch.stop:
            self._listeners.discard(link)
            return
        self._listeners.add(link)
        link.notify(self._compose())
        greeting = self._greet()
        if greeting is not None:
            link.notify(greeting)
        self._listen_back(link)

    def _listen_back(self, link: PeerLink) -> None:
        """Listen to whoever listens here, while the store has told of nobody.

        An entry that starts while the store turns it away has no list of the others; they have it
        on theirs, and know the routes.
        """
        if self._has_members:
            return
        self._listening_back.add(
            WatchedAgent(HostId(link.remote.host), Address(link.remote.address))
        )
        self._watches.set_targets(self._listening_back)

    def apply_update(self, link: PeerLink, update: messages.EntryUpdate) -> None:
        """Take the update of another entry."""
        remote = link.remote
        heard = _Heard(Place(remote.place), Address(remote.address), update, self._clock())
        self._heard[HostId(remote.host)] = heard
        self._on_update(_known(HostId(remote.host), heard, heard.at), update)

    def tell(self, update: messages.CrashUpdate | messages.EntryUpdate) -> None:
        """Send something to all entries that listen."""
        self._listeners = {link for link in self._listeners if not link.closed.is_set()}
        self._node.notify_all(self._listeners, update)

    def ready(self) -> Sequence[ReadyEntry]:
        """Return the other entries that are ready, by updates that are fresh."""
        now = self._clock()
        return [
            ReadyEntry(host, heard.place, Address(heard.update.caller_address))
            for host, heard in self._heard.items()
            if heard.update.ready and now - heard.at < READY_S
        ]

    def known(self) -> Sequence[PeerEntry]:
        """Return the other entries that were heard lately."""
        now = self._clock()
        return [
            _known(host, heard, now)
            for host, heard in self._heard.items()
            if now - heard.at < READY_S
        ]

    async def _run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(UPDATE_S):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._changed.clear()
            if self._listeners:
                self.tell(self._compose())
