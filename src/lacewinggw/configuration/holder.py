"""The interface to a process's configuration replica that entries and agents share."""

from lacewinggw.configuration.replica import OnChange, Replica
from lacewinggw.decisions.revisions import FleetState
from lacewinggw.wire.peers import Exchange, PeerLink


class ReplicaHolder:
    """Base class of the components that keep a process's configuration replica up to date.

    Entries and agents update the replica in different ways, but expose the same state and answer
    the same messages about it.
    """

    def __init__(self, replica: Replica) -> None:
        self._replica = replica

    @property
    def state(self) -> FleetState:
        """The configuration in this process's replica."""
        return self._replica.state

    @property
    def ready(self) -> bool:
        """Whether the replica holds a configuration that the process can serve with."""
        return self._replica.ready

    @property
    def revision(self) -> int:
        """The highest revision applied to the replica."""
        return self._replica.revision

    def on_change(self, callback: OnChange) -> None:
        """Register `callback(state, entries)` to be called after each change."""
        self._replica.on_change(callback)

    async def handle(self, exchange: Exchange) -> bool:
        """Answer a message about the configuration; return False for any other message."""
        return await self._replica.handle(exchange)

    def catch_up_if_behind(self, link: PeerLink, revision: int) -> None:
        """Start to catch up over `link` if `revision`, reported by its peer, is ahead."""
        self._replica.catch_up_if_behind(link, revision)

    async def wait_for_revision(self, revision: int, timeout_s: float) -> bool:
        """Wait until `revision` is applied; return False after `timeout_s` seconds."""
        return await self._replica.wait_for_revision(revision, timeout_s)
