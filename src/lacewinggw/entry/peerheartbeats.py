"""Collects the heartbeats that other entries received, for operators' queries.

Each entry receives heartbeats from a bounded subset of the targets. For a query about the whole
fleet, the answering entry requests the missing ones from others, `PARALLEL_QUERIES` at a time,
until none is missing or `MAX_QUERIED_ENTRIES` were queried.
"""

import asyncio
import random
from collections.abc import Mapping, Sequence

from lacewinggw.clients.membership import Member, MemberRole
from lacewinggw.decisions.placement import Shortfall
from lacewinggw.decisions.revisions import FleetState
from lacewinggw.errors import LacewingError
from lacewinggw.generated.messages.ttypes import FetchHeard, HeardTarget, HeardTargets
from lacewinggw.operators.view import FleetView, HeardHeartbeat
from lacewinggw.wire.peers import Exchange, PeerNode
from lacewinggw.wire.validation import require_valid, require_valid_heartbeat

PARALLEL_QUERIES = 16
MAX_QUERIED_ENTRIES = 160
QUERY_TIMEOUT_S = 1.0
MS_PER_S = 1000


class MergedView:
    """A snapshot of a view, merged with heartbeats from other entries."""

    def __init__(self, own: FleetView, others: Mapping[str, HeardHeartbeat]) -> None:
        self._own = own
        self._heartbeats = {**others, **own.heartbeats()}

    def state(self) -> FleetState:
        """Return the configuration."""
        return self._own.state()

    def members(self) -> Sequence[Member]:
        """Return the list of hosts as last polled."""
        return self._own.members()

    def heartbeats(self) -> Mapping[str, HeardHeartbeat]:
        """Return the last heartbeat of each target host that any queried entry has."""
        return self._heartbeats

    def counters(self) -> Mapping[str, int]:
        """Return the answering entry's counters."""
        return self._own.counters()

    def shortfalls(self) -> Sequence[Shortfall]:
        """Return the replicas that cannot be placed because there are too few hosts."""
        return self._own.shortfalls()

    def missing(self) -> frozenset[str]:
        """Return placed hosts that are missing from the list."""
        return self._own.missing()


class HeartbeatCollector:
    """Queries other entries for heartbeats, and answers their queries."""

    def __init__(self, node: PeerNode, view: FleetView) -> None:
        self._node = node
        self._view = view

    def answer(self, exchange: Exchange) -> None:
        """Send the last heartbeats of the requested hosts that this entry has."""
        own = self._view.heartbeats()
        found = [own[host] for host in exchange.message.hosts or [] if host in own]
        targets = [HeardTarget(each.heartbeat, int(each.age_s * MS_PER_S)) for each in found]
        exchange.finish(HeardTargets(targets))

    async def merged_view(self) -> FleetView:
        """Return the entry's view, with others' heartbeats of the placed hosts that it lacks."""
        own = self._view.heartbeats()
        missing = {host for host in self._view.state().placed_hosts() if host not in own}
        others = self._other_entries()
        found: dict[str, HeardHeartbeat] = {}
        while missing and others:
            batch, others = others[:PARALLEL_QUERIES], others[PARALLEL_QUERIES:]
            replies = await asyncio.gather(*(self._ask(each, missing) for each in batch))
            for target in (target for reply in replies for target in reply):
                _keep_newest(found, target)
            missing.difference_update(found)
        return MergedView(self._view, found)

    def _other_entries(self) -> list[Member]:
        own = self._node.identity.host
        entries = [
            member
            for member in self._view.members()
            if member.role is MemberRole.ENTRY and member.host != own
        ]
        return random.sample(entries, min(len(entries), MAX_QUERIED_ENTRIES))

    async def _ask(self, entry: Member, hosts: set[str]) -> list[HeardTarget]:
        try:
            query = FetchHeard(sorted(hosts))
            async with asyncio.timeout(QUERY_TIMEOUT_S):
                reply = await self._node.call(entry.address, query, QUERY_TIMEOUT_S)
            if not isinstance(reply, HeardTargets):
                return []
            require_valid(reply)
            for target in reply.targets:
                require_valid_heartbeat(target.heartbeat)
        except (LacewingError, TimeoutError):
            return []
        return list(reply.targets)


def _keep_newest(found: dict[str, HeardHeartbeat], target: HeardTarget) -> None:
    host, age_s = target.heartbeat.host, target.age_ms / MS_PER_S
    if host not in found or found[host].age_s > age_s:
        found[host] = HeardHeartbeat(target.heartbeat, age_s)
