"""Links to the hosts with which weights are exchanged."""

import asyncio
from collections.abc import Callable, Iterable, Mapping

from lacewinggw.errors import LacewingError
from lacewinggw.ids import Address, HostId
from lacewinggw.wire.peers import PeerLink, PeerNode

LANE = "weights"
DIAL_GRACE_S = 1.0
SUSPECT_S = 5.0

OnHost = Callable[[HostId], None]


class Mesh:
    """Keeps one link per wanted host, whichever side opened it.

    Of two hosts that want a link, the one whose id sorts first dials at once; the other waits
    `DIAL_GRACE_S` seconds and then dials too. A host that cannot be reached, or whose link broke,
    is suspect for `SUSPECT_S` seconds unless it reconnects sooner.
    """

    def __init__(self, node: PeerNode, on_up: OnHost, on_down: OnHost) -> None:
        self._node = node
        self._on_up = on_up
        self._on_down = on_down
        self._links: dict[HostId, PeerLink] = {}
        self._wanted: dict[HostId, float] = {}
        self._addresses: Mapping[HostId, Address] = {}
        self._suspect_until: dict[HostId, float] = {}
        self._dialling: dict[HostId, asyncio.Task[None]] = {}
        self._watchers: set[asyncio.Task[None]] = set()

    @property
    def suspects(self) -> frozenset[HostId]:
        """Hosts that could not be reached recently, or whose link broke."""
        now = asyncio.get_running_loop().time()
        return frozenset(host for host, until in self._suspect_until.items() if until > now)

    @property
    def open_links(self) -> list[PeerLink]:
        """Every open link, by host."""
        return [link for _, link in sorted(self._links.items()) if not link.closed.is_set()]

    def close(self) -> None:
        """Stop dialling; the node closes the links."""
        for task in [*self._dialling.values(), *self._watchers]:
            task.cancel()

    def link(self, host: HostId) -> PeerLink | None:
        """Return the open link to a host, or None."""
        link = self._links.get(host)
        return link if link is not None and not link.closed.is_set() else None

    def set_addresses(self, addresses: Mapping[HostId, Address]) -> None:
        """Set the addresses of all live hosts; a host with a new one is no longer suspect."""
        for host, address in addresses.items():
            if self._addresses.get(host) != address:
                self._suspect_until.pop(host, None)
        self._addresses = addresses

    def set_wanted_hosts(self, hosts: Iterable[HostId]) -> None:
        """Set the hosts to keep links to, and dial them."""
        now = asyncio.get_running_loop().time()
        self._wanted = {host: self._wanted.get(host, now) for host in hosts}
        self.dial()

    def dial(self) -> None:
        """Dial wanted hosts that have no link, unless they are suspect or are to dial first."""
        now = asyncio.get_running_loop().time()
        own_host = self._node.identity.host
        for host, since in self._wanted.items():
            if self.link(host) is not None or host in self._dialling:
                continue
            if host not in self._addresses or self._suspect_until.get(host, 0.0) > now:
                continue
            if host < own_host and now - since < DIAL_GRACE_S:
                continue
            task = asyncio.get_running_loop().create_task(self._dial(host))
            self._dialling[host] = task

    def register(self, link: PeerLink) -> None:
        """Add a link over which a host began to exchange weights."""
        host = HostId(link.remote.host)
        existing = self.link(host)
        if existing is link:
            return
        if existing is not None and existing.remote.incarnation == link.remote.incarnation:
            return
        if existing is not None:
            self._drop_link(host, existing)
        self._links[host] = link
        self._suspect_until.pop(host, None)
        task = asyncio.get_running_loop().create_task(self._watch(host, link))
        self._watchers.add(task)
        task.add_done_callback(self._watchers.discard)
        self._on_up(host)

    async def _dial(self, host: HostId) -> None:
        try:
            link = await self._node.link(self._addresses[host], LANE)
        except LacewingError:
            self._mark_suspect(host)
        else:
            if link.remote.host == host:
                self.register(link)
            else:
                self._mark_suspect(host)
        finally:
            self._dialling.pop(host, None)

    async def _watch(self, host: HostId, link: PeerLink) -> None:
        await link.closed.wait()
        self._drop_link(host, link)

    def _drop_link(self, host: HostId, link: PeerLink) -> None:
        if self._links.get(host) is not link:
            return
        del self._links[host]
        self._mark_suspect(host)
        self._on_down(host)

    def _mark_suspect(self, host: HostId) -> None:
        self._suspect_until[host] = asyncio.get_running_loop().time() + SUSPECT_S
