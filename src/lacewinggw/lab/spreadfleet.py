"""A fleet of spreading hosts in one process, for tests under virtual time."""

import asyncio
import random
from dataclasses import dataclass

from lacewinggw.agent.topologies import DueRelease
from lacewinggw.clients.membership import Member
from lacewinggw.generated.messages.ttypes import Manifest, Prefer
from lacewinggw.ids import Digest, HostId
from lacewinggw.lab.memory import MemoryNetwork
from lacewinggw.lab.releases import SyntheticRelease
from lacewinggw.lab.spreadhost import SpreadHost, host_settings
from lacewinggw.lab.standins import PlatformStandIns

ORIGIN_LINKS = 2  # the origin's link carries four copies while a host's carries two


@dataclass(frozen=True)
class FleetSpec:
    """Sizes of a fleet; rates in bytes per second, the rest of one release in chunks and bytes."""

    hosts: int
    places: int = 3
    chunks: int = 32
    chunk_bytes: int = 4096
    link_bytes_per_s: int = 40960
    prefer: Prefer = Prefer.ORIGIN_BYTES
    seed: int = 1

    @property
    def bound_s(self) -> float:
        """The least time in which all hosts can hold a release, in seconds."""
        return self.chunks * self.chunk_bytes / self.link_bytes_per_s


def ip_of(host: SpreadHost) -> str:
    """Return the IP number of a host."""
    return host.member.address.rpartition(":")[0]


class SpreadFleet:
    """Hosts, origin and weight store on one in-memory network."""

    def __init__(self, spec: FleetSpec) -> None:
        self.spec = spec
        self.rng = random.Random(spec.seed)
        self.network = MemoryNetwork()
        self.platform = PlatformStandIns(
            self.network.view("10.255.0.1"),
            ip="10.255.0.1",
            seed=spec.seed,
            origin_bytes_per_s=ORIGIN_LINKS * spec.link_bytes_per_s,
            store_bytes_per_s=spec.link_bytes_per_s,
        )
        self.hosts: dict[HostId, SpreadHost] = {}
        self.due: dict[Digest, DueRelease] = {}
        self._numbers = 0

    async def start(self) -> None:
        """Start everything; nothing is due yet."""
        await self.platform.start()
        for index in range(self.spec.hosts):
            await self.add_host(index)
        self.tell_members()

    async def close(self) -> None:
        """Stop everything."""
        for host in list(self.hosts.values()):
            await host.close()
        await self.platform.close()

    def publish(self, name: str, shares_with: str = "", shared: float = 0.0) -> Manifest:
        """Make a release at the origin and the weight store."""
        spec = self.spec
        size = spec.chunks * spec.chunk_bytes
        release = SyntheticRelease(
            name, size, spec.chunk_bytes, spec.seed, shares_with=shares_with, shared=shared
        )
        return self.platform.add_release(release)

    def tell_due(self, *manifests: Manifest) -> None:
        """Have these releases, and no others, due on every host."""
        names = tuple(sorted(self.hosts))
        self.due = {
            Digest(each.digest): DueRelease(each.name, Digest(each.digest), names, self.spec.prefer)
            for each in manifests
        }
        for host in self.hosts.values():
            host.set_due(self.due)

    @property
    def members(self) -> list[Member]:
        """All hosts that run."""
        return [host.member for host in self.hosts.values()]

    def tell_members(self) -> None:
        """Give every host the present list."""
        for host in self.hosts.values():
            host.set_members(self.members)

    async def add_host(self, index: int) -> SpreadHost:
        """Start an empty host in the place of its number."""
        self._numbers += 1
        ip = f"10.{self._numbers >> 8}.{self._numbers & 255}.1"
        place = f"place-{index % self.spec.places}"
        settings = host_settings(
            f"host-{index:03}", place, self.platform.addresses, self.spec.link_bytes_per_s
        )
        host = SpreadHost(settings, self.network.view(ip), random.Random(self.rng.random()))
        await host.start(f"{ip}:0")
        self.hosts[host.member.host] = host
        return host

    async def lose_host(self, name: HostId) -> None:
        """Lose a host at once, as on power loss."""
        host = self.hosts.pop(name)
        self.network.lose(ip_of(host))
        await host.close()

    async def replace_host(self, name: HostId) -> SpreadHost:
        """Lose a host and start an empty one of the same name at another address."""
        await self.lose_host(name)
        host = await self.add_host(int(name.rpartition("-")[2]))
        host.set_members(self.members)
        host.set_due(self.due)
        return host

    def pick(self, share: float) -> list[HostId]:
        """Return a share of the hosts, at least one, by the fleet's seed."""
        names = sorted(self.hosts)
        return self.rng.sample(names, max(1, round(share * len(names))))

    async def wait_complete(self, manifest: Manifest) -> None:
        """Wait until every host holds the whole release."""
        waits = [
            host.spreader.wait_complete(Digest(manifest.digest)) for host in self.hosts.values()
        ]
        await asyncio.gather(*waits)
