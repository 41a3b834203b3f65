"""This entry's view of the fleet, for operators' queries."""

import asyncio
from collections.abc import Mapping, Sequence

from lacewinggw.clients.membership import Member
from lacewinggw.clients.watch import MemberWatch
from lacewinggw.decisions.placement import Shortfall
from lacewinggw.decisions.revisions import FleetState
from lacewinggw.entry.ledger import Ledger
from lacewinggw.entry.placer import Placer
from lacewinggw.entry.targets import TargetDirectory
from lacewinggw.metrics import Metrics
from lacewinggw.operators.view import HeardHeartbeat


class ProcessView:
    """A `FleetView` over the parts of one entry process."""

    def __init__(
        self,
        ledger: Ledger,
        targets: TargetDirectory,
        placer: Placer,
        watch: MemberWatch,
        metrics: Metrics,
    ) -> None:
        self._ledger = ledger
        self._targets = targets
        self._placer = placer
        self._watch = watch
        self._metrics = metrics

    def state(self) -> FleetState:
        """Return the configuration."""
        return self._ledger.state

    def members(self) -> Sequence[Member]:
        """Return the list of hosts as last polled."""
        return self._watch.members

    def heartbeats(self) -> Mapping[str, HeardHeartbeat]:
        """Return the last heartbeat, with its age, of each target host that this entry watches."""
        now = asyncio.get_running_loop().time()
        last_seen = self._targets.last_seen()
        return {
            host: HeardHeartbeat(heartbeat, now - last_seen[host])
            for host, heartbeat in self._targets.heartbeats().items()
        }

    def counters(self) -> Mapping[str, int]:
        """Return this entry's counters, named as in Prometheus text."""
        return self._metrics.snapshot().counters

    def shortfalls(self) -> Sequence[Shortfall]:
        """Return the replicas that cannot be placed because there are too few hosts."""
        return self._placer.shortfalls

    def missing(self) -> frozenset[str]:
        """Return placed hosts that are missing from the list."""
        return self._placer.missing_hosts
