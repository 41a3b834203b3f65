"""Placement on real processes: how long until the declared replicas serve again, and what moves.

One fleet goes through the scenarios one after another; hosts lost in one are started again, empty,
before the next.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from time import time

from lacewinggw.decisions.peerselection import rendezvous_order
from lacewinggw.decisions.waves import PLACER_PURPOSE
from lacewinggw.lab.fleet import Fleet, FleetHost, FleetPlan

SERVICE, RELEASE = "bulletin-writer", "market-7"
REPLICAS = 6
RACK = 3
RELEASE_BYTES = 1 << 20
LAG_S = 20.0
OUTAGE_S = 25.0
AFTERMATH_S = 4.0
LIMIT_S = 60.0
POLL_S = 0.1


@dataclass(frozen=True)
class PlacementResult:
    """One scenario: hosts lost that served, hosts newly placed, and seconds until all serve."""

    scenario: str
    lost: int
    moves: int
    whole_again_s: float


@dataclass(frozen=True)
class PlacementRun:
    """All scenarios of one run."""

    seed: int
    entries: int
    agents: int
    results: tuple[PlacementResult, ...]

    @property
    def needless_moves(self) -> int:
        """Moves beyond the fewest possible."""
        return sum(each.moves - each.lost for each in self.results)


async def run_placement(entries: int, agents: int, seed: int) -> PlacementRun:
    """Start a fleet and put it through every scenario."""
    fleet = Fleet(FleetPlan(entries=entries, engines=agents, seed=seed))
    try:
        await fleet.start()
        results = await _Scenarios(fleet).run_all()
        return PlacementRun(seed, entries, agents, results)
    finally:
        await fleet.close()


class _Scenarios:
    """The scenarios on one fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._lost: list[FleetHost] = []

    async def run_all(self) -> tuple[PlacementResult, ...]:
        fleet = self._fleet
        await fleet.publish(RELEASE, RELEASE_BYTES, RELEASE_BYTES // 8)
        words = f"create release {RELEASE}; create service {SERVICE} release {RELEASE}"
        await fleet.ask(f"{words} replicas {REPLICAS}")
        await self._until_whole()
        scenarios: dict[str, Callable[[], Awaitable[None]]] = {
            "list-lags-alone": self._unlist_for_a_while,
            "dead-host": self._lose_host,
            "lost-rack": self._lose_rack,
            "lost-place": self._lose_place,
            "dead-host-and-lag": self._lose_host_with_lag,
            "dead-host-and-store-down": self._lose_host_with_store_down,
            "paused-entry": self._lose_host_with_paused_entry,
        }
        return tuple([await self._measure(*each) for each in scenarios.items()])

    async def _measure(
        self, name: str, bring_about: Callable[[], Awaitable[None]]
    ) -> PlacementResult:
        await asyncio.sleep(AFTERMATH_S)
        before = await self._placed()
        self._lost = []
        began = time()
        await bring_about()
        lost = {str(host.member.host) for host in self._lost}
        await self._until_whole(lost)
        whole_again_s = time() - began if lost else 0.0
        await asyncio.sleep(AFTERMATH_S)
        after = await self._placed()
        await self._mend()
        return PlacementResult(
            name, len(lost & before), len(after - before), round(whole_again_s, 2)
        )

    async def _mend(self) -> None:
        for host in self._lost:
            await self._fleet.restart(host)
        await self._fleet.wait_ready(self._fleet.hosts.values())

    async def _placed(self) -> set[str]:
        words = f"show targets host where service = {SERVICE}"
        rows = (await self._fleet.ask(words))["rows"]
        return {str(row[0]) for row in rows}

    async def _until_whole(self, lost: set[str] | None = None) -> None:
        """Wait until enough live hosts are placed and an engine of each runs the release."""
        until = time() + LIMIT_S
        while time() < until:
            placed = await self._placed() - (lost or set())
            if len(placed) == REPLICAS and await self._all_active(placed):
                return
            await asyncio.sleep(POLL_S)
        raise TimeoutError(f"{SERVICE} did not have its replicas within {LIMIT_S:g} s")

    async def _all_active(self, placed: set[str]) -> bool:
        hosts = [host for host in self._fleet.agents if str(host.member.host) in placed]
        states = await asyncio.gather(
            *(self._fleet.http.request(host.target, "GET", "/state") for host in hosts)
        )
        return all(state.json()["active"] for state in states)

    async def _serving(self) -> list[FleetHost]:
        placed = await self._placed()
        return [host for host in self._fleet.agents if str(host.member.host) in placed]

    async def _lose(self, hosts: list[FleetHost]) -> None:
        self._lost = hosts
        await asyncio.gather(*(self._fleet.kill(host) for host in hosts))

    async def _lose_host(self) -> None:
        await self._lose((await self._serving())[:1])

    async def _lose_rack(self) -> None:
        await self._lose((await self._serving())[:RACK])

    async def _lose_place(self) -> None:
        place = (await self._serving())[0].member.place
        await self._lose([host for host in self._fleet.agents if host.member.place == place])

    async def _unlist_for_a_while(self) -> None:
        hosts = (await self._serving())[:RACK]
        for host in hosts:
            await self._fleet.unlist_host(host)
        await asyncio.sleep(LAG_S)
        for host in hosts:
            await self._fleet.list_host(host)

    async def _lose_host_with_lag(self) -> None:
        membership = self._fleet.platform["membership"]
        await self._fleet.control(membership, lag_s=LAG_S)
        await self._lose_host()
        await self._until_whole({str(host.member.host) for host in self._lost})
        await self._fleet.control(membership, lag_s=0.0)

    async def _lose_host_with_store_down(self) -> None:
        table = self._fleet.platform["table"]
        await self._fleet.control(table, outage="refuse")
        await self._lose_host()
        await asyncio.sleep(OUTAGE_S)
        await self._fleet.control(table, outage="none")

    async def _lose_host_with_paused_entry(self) -> None:
        """Freeze the entry that would place first, and let it go on once another has."""
        names = [str(host.member.host) for host in self._fleet.entries]
        first = rendezvous_order(PLACER_PURPOSE, names)[0]
        entry = next(host for host in self._fleet.entries if host.member.host == first)
        self._fleet.pause(entry)
        try:
            await self._lose_host()
            await asyncio.sleep(LAG_S)
        finally:
            self._fleet.resume(entry)
