"""What every process that keeps a copy of the configuration shows of it."""

from lacewinggw.configuration.replica import OnChange, Replica
from lacewinggw.decisions.revisions import FleetState
from lacewinggw.wire.peers import Exchange, PeerLink


class ReplicaHolder:
    """A process's copy of the configuration, as the rest of the process sees it.

    How the copy is brought up to date differs between entries and agents; what is read of it, and
    what is answered about it, does not.
    """

    def __init__(self, replica: Replica) -> None:
        self._replica = replica

    @property
    def state(self) -> FleetState:
        """The configuration as known here."""
        return self._replica.state

    @property
    def ready(self) -> bool:
        """Whether there is a configuration to serve by."""
        return self._replica.ready

    @property
    def revision(self) -> int:
        """The highest revision applied here."""
        return self._replica.revision

    def on_change(self, callback: OnChange) -> None:
        """Have `callback(state, entries)` called after each change."""
        self._replica.on_change(callback)

    async def handle(self, exchange: Exchange) -> bool:
        """Answer a message about the configuration; return False for any other."""
        return await self._replica.handle(exchange)

    def catch_up_if_behind(self, link: PeerLink, revision: int) -> None:
        """Catch up over a link whose other side is ahead."""
        self._replica.catch_up_if_behind(link, revision)

    async def wait_for_revision(self, revision: int, timeout_s: float) -> bool:
        """Wait until `revision` is applied here; return False after `timeout_s` seconds."""
        return await self._replica.wait_for_revision(revision, timeout_s)
