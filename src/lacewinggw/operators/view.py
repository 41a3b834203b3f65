"""What an entry knows of the fleet, as queries read it."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from lacewinggw.clients.membership import Member
from lacewinggw.decisions.placement import Shortfall
from lacewinggw.decisions.revisions import FleetState
from lacewinggw.generated.messages.ttypes import Heartbeat


@dataclass(frozen=True)
class HeardHeartbeat:
    """The last heartbeat of a target host, and how long ago it came, in seconds."""

    heartbeat: Heartbeat
    age_s: float


class FleetView(Protocol):
    """Facts about the fleet, as the answering entry has them."""

    def state(self) -> FleetState:
        """Return the configuration."""

    def members(self) -> Sequence[Member]:
        """Return the list of hosts as last polled."""

    def heartbeats(self) -> Mapping[str, HeardHeartbeat]:
        """Return the last heartbeat of each target host that this entry hears."""

    def counters(self) -> Mapping[str, int]:
        """Return this entry's counters, named as in Prometheus text."""

    def shortfalls(self) -> Sequence[Shortfall]:
        """Return the replicas that cannot be placed for want of hosts."""

    def missing(self) -> frozenset[str]:
        """Return placed hosts that the list lacks."""
