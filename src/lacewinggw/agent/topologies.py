"""Topology of each release due on this host: the hosts that it exchanges chunks with."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from lacewinggw.agent.mesh import Mesh
from lacewinggw.clients.membership import Member
from lacewinggw.decisions.topology import ReleaseHost, Topology, TopologyRules
from lacewinggw.generated.messages.ttypes import Prefer
from lacewinggw.generated.settings.ttypes import SpreadSettings
from lacewinggw.ids import Digest, HostId

BadSources = Callable[[Digest], Sequence[str]]


class TopologyPlanner(Protocol):
    """Derives the topology of a release."""

    def derive(self, me: ReleaseHost, hosts: Iterable[ReleaseHost], digest: Digest) -> Topology:
        """Return the topology for `me` among `hosts`."""


@dataclass(frozen=True)
class DueRelease:
    """A release that this host must hold, and all the hosts that must hold it."""

    name: str
    digest: Digest
    hosts: tuple[HostId, ...]
    prefer: Prefer


class TopologyTracker:
    """Derives the topology of each due release from the hosts that are live and not suspect.

    `bad_sources` returns the hosts that are avoided for their corrupt chunks of a release; they are
    not used as gateways. `plan_override` replaces the default plan, for comparisons.
    """

    def __init__(
        self, me: ReleaseHost, settings: SpreadSettings, mesh: Mesh, bad_sources: BadSources
    ) -> None:
        self.plan_override: TopologyPlanner | None = None
        self.topologies: dict[Digest, Topology] = {}
        self._me = me
        self._settings = settings
        self._mesh = mesh
        self._bad_sources = bad_sources
        self._members: Mapping[HostId, Member] = {}
        self._derived_inputs: tuple[frozenset[HostId], int] = (frozenset(), 0)

    def set_members(self, members: Sequence[Member]) -> None:
        """Set the list of live hosts."""
        self._members = {member.host: member for member in members}
        self._mesh.set_addresses({member.host: member.address for member in members})

    def turn_at_origin(self, digest: Digest) -> int | None:
        """Return the turn of this host among those first at the origin, from 0; None if it is not.

        The turn is the first column that this host requests from the origin before all others.
        """
        topology = self.topologies.get(digest)
        columns = enumerate(topology.columns) if topology is not None else ()
        return next((column for column, each in columns if each.at_origin == 0), None)

    def is_outdated(self) -> bool:
        """Return whether the suspect hosts or the bad sources have changed since `derive`."""
        return self._derived_inputs != self._current_inputs()

    def derive(self, due: Mapping[Digest, DueRelease]) -> None:
        """Derive the topology of each due release, and request links to its neighbours."""
        self._derived_inputs = self._current_inputs()
        suspects = self._derived_inputs[0]
        live = {
            host: ReleaseHost(host, member.place)
            for host, member in self._members.items()
            if host not in suspects
        }
        self.topologies = {digest: self._derive_one(each, live) for digest, each in due.items()}
        self._mesh.set_wanted_hosts(
            {host for each in self.topologies.values() for host in each.neighbours}
        )

    def _derive_one(self, due: DueRelease, live: Mapping[HostId, ReleaseHost]) -> Topology:
        bad = self._bad_sources(due.digest)
        hosts = [live[host] for host in due.hosts if host in live and host not in bad]
        return self._plan(due).derive(self._me, hosts, due.digest)

    def _plan(self, due: DueRelease) -> TopologyPlanner:
        return self.plan_override or TopologyRules(
            local=self._settings.neighbours,
            remote=self._settings.remote_neighbours,
            columns=self._settings.gateways,
            ranks=self._settings.ranks,
            per_place=due.prefer == Prefer.TIME,
        )

    def _current_inputs(self) -> tuple[frozenset[HostId], int]:
        bad = sum(len(self._bad_sources(digest)) for digest in self.topologies)
        return self._mesh.suspects, bad
