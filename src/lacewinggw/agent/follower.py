"""The agent's copy of the configuration, received from two entries.

An agent never reads the store, so a restart of thousands of agents does not load it. It starts from
the newer of two entries' configurations, then applies only increasing revisions.
"""

import asyncio
import random
from collections.abc import Callable, Sequence

from lacewinggw.background import Background
from lacewinggw.configuration.bootstrap import PeerBootstrap
from lacewinggw.configuration.holder import ReplicaHolder
from lacewinggw.configuration.replica import Replica
from lacewinggw.configuration.upstreams import Upstreams
from lacewinggw.decisions.peerselection import Candidate, order_agent_upstreams
from lacewinggw.errors import LacewingError
from lacewinggw.generated.settings.ttypes import ConfigurationSettings
from lacewinggw.ids import Address
from lacewinggw.log import get_logger
from lacewinggw.metrics import Metrics
from lacewinggw.wire.peers import PeerNode

UPSTREAM_COUNT = 2
MAX_CONFIRMATION_AGE_POLLS = 5
MS_PER_S = 1000

log = get_logger(__name__)

ListEntries = Callable[[], Sequence[Candidate]]


class ConfigurationFollower(ReplicaHolder):
    """Keeps an agent's copy of the configuration up to date.

    follower = ConfigurationFollower.from_config(settings, node, entries, metrics)
    await follower.start()
    follower.state.assignments_of(host)
    """

    def __init__(
        self,
        settings: ConfigurationSettings,
        node: PeerNode,
        entries: ListEntries,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._node = node
        self._entries = entries
        self._rng = rng
        super().__init__(Replica(metrics))
        self._upstreams = Upstreams(node, self._replica, self._addresses, UPSTREAM_COUNT, metrics)
        self._peers = PeerBootstrap(node)
        self._loop = Background("configuration", self._follow)

    @classmethod
    def from_config(
        cls,
        settings: ConfigurationSettings,
        node: PeerNode,
        entries: ListEntries,
        metrics: Metrics,
        rng: random.Random | None = None,
    ) -> "ConfigurationFollower":
        """Build the follower of an agent; `entries` returns the entries listed now."""
        return cls(settings, node, entries, metrics, rng or random.Random())

    @property
    def is_current(self) -> bool:
        """Whether an entry recently confirmed that this is the newest configuration.

        False after the process was paused, until an entry answers again: the configuration may have
        been replaced meanwhile, so no order may be based on it.
        """
        now = asyncio.get_running_loop().time()
        return now - self._upstreams.confirmed_at < MAX_CONFIRMATION_AGE_POLLS * self._poll_s()

    async def start(self) -> None:
        """Fetch a configuration from entries, retrying until there is one, then follow them."""
        while not await self._bootstrap():  # noqa: ASYNC110
            await asyncio.sleep(self._poll_s() * self._rng.uniform(0.2, 1.0))
        self._replica.set_ready()
        self._loop.start()

    async def close(self) -> None:
        """Stop following."""
        self._replica.close()
        await self._loop.close()

    def _poll_s(self) -> float:
        return self._settings.poll_ms / MS_PER_S

    def _addresses(self) -> list[Address]:
        identity = self._node.identity
        entries = order_agent_upstreams(identity.host, identity.place, self._entries())
        return [Address(entry.address) for entry in entries]

    async def _bootstrap(self) -> bool:
        snapshot = await self._peers.fetch_snapshot(self._addresses())
        if snapshot is None:
            return False
        self._replica.adopt_snapshot(snapshot)
        return True

    async def _follow(self) -> None:
        while True:
            try:
                await self._upstreams.maintain()
            except LacewingError as error:
                log.info("configuration_tail_unread", error=error)
            await asyncio.sleep(self._poll_s() * self._rng.uniform(0.8, 1.2))
