"""Faults on a fleet of real processes, each recorded in the history of the run."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping
from enum import Enum

from lacewinggw.lab.fleet import Fleet, FleetHost
from lacewinggw.lab.history import (
    Killed,
    Leaving,
    OutageBegan,
    OutageEnded,
    PartBegan,
    PartEnded,
    Paused,
    ProcessStarted,
    Recorder,
    Resumed,
    ShutdownAsked,
)
from lacewinggw.lab.relay import Relay

DOWN_S = (0.2, 1.5)
PAUSE_S = (0.3, 4.0)
OUTAGE_S = (0.5, 4.0)
BETWEEN_S = (0.5, 2.5)
LEAVE_LIMIT_S = 60.0
CUT_S = 0.5  # how long after a cut its traces may be met
OUTAGES = ("refuse", "cut", "hang")


class FaultKind(Enum):
    """What may be done to a fleet."""

    KILL_AGENT = "kill-agent"
    KILL_ENTRY = "kill-entry"
    PAUSE_AGENT = "pause-agent"
    PAUSE_ENTRY = "pause-entry"
    CUT = "cut"
    STORE_DOWN = "store-down"
    LOSE_REPLIES = "lose-replies"
    LEAVE_AGENT = "leave-agent"
    LEAVE_ENTRY = "leave-entry"
    CHANGE = "change"


def parse_faults(text: str) -> list[FaultKind]:
    """Return the faults named, by commas; "all" and "none" name what they say."""
    match text:
        case "all":
            return list(FaultKind)
        case "none" | "":
            return []
    return [FaultKind(name) for name in text.split(",")]


class Disturbances:
    """Makes faults of the given kinds, one after the other of each kind, until it is stopped.

    `change` is what a configuration change is for this run. At any time most of the entries and
    of the agents of a service are left alone.
    """

    def __init__(
        self,
        fleet: Fleet,
        relays: Mapping[str, Relay],
        recorder: Recorder,
        rng: random.Random,
        change: Callable[[], Awaitable[None]],
    ) -> None:
        self.made: dict[str, int] = {}
        self._fleet = fleet
        self._relays = relays
        self._recorder = recorder
        self._rng = rng
        self._change = change
        self._busy: set[str] = set()
        self._stopped = asyncio.Event()
        self._makers: dict[FaultKind, Callable[[], Awaitable[None]]] = {
            FaultKind.KILL_AGENT: lambda: self._kill(self._fleet.agents),
            FaultKind.KILL_ENTRY: lambda: self._kill(self._fleet.entries),
            FaultKind.PAUSE_AGENT: lambda: self._pause(self._fleet.agents),
            FaultKind.PAUSE_ENTRY: lambda: self._pause(self._fleet.entries),
            FaultKind.CUT: self._cut,
            FaultKind.STORE_DOWN: self._store_down,
            FaultKind.LOSE_REPLIES: self._lose_replies,
            FaultKind.LEAVE_AGENT: lambda: self._leave(self._fleet.agents),
            FaultKind.LEAVE_ENTRY: lambda: self._leave(self._fleet.entries),
            FaultKind.CHANGE: self._change,
        }

    async def run(self, kinds: list[FaultKind]) -> None:
        """Make faults of each kind side by side until `stop`; what was begun is ended."""
        makers = [self._repeat(kind) for kind in kinds]
        await asyncio.gather(self._stopped.wait(), *makers)

    def stop(self) -> None:
        """Begin no more faults."""
        self._stopped.set()

    async def _repeat(self, kind: FaultKind) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(*BETWEEN_S))
            if self._stopped.is_set():
                return
            await self._makers[kind]()
            self.made[kind.value] = self.made.get(kind.value, 0) + 1

    def _take(self, hosts: list[FleetHost]) -> FleetHost | None:
        """Choose a host to disturb, unless a third of them are disturbed already."""
        disturbed = [host for host in hosts if host.member.host in self._busy]
        free = [host for host in hosts if host.member.host not in self._busy and host.running]
        if not free or 3 * (len(disturbed) + 1) > len(hosts) + 2:
            return None
        host = self._rng.choice(free)
        self._busy.add(host.member.host)
        return host

    async def _start_again(self, host: FleetHost) -> None:
        await self._fleet.restart(host)
        now, name = self._recorder.now(), str(host.member.host)
        self._recorder.record(ProcessStarted(now, name, f"{name}@{now:.3f}"))
        await self._fleet.wait_ready([host])
        self._busy.discard(host.member.host)

    async def _kill(self, hosts: list[FleetHost]) -> None:
        host = self._take(hosts)
        if host is None:
            return
        self._recorder.record(Killed(self._recorder.now(), str(host.member.host)))
        await self._fleet.kill(host, unlist=False)
        await asyncio.sleep(self._rng.uniform(*DOWN_S))
        await self._start_again(host)

    async def _pause(self, hosts: list[FleetHost]) -> None:
        host = self._take(hosts)
        if host is None:
            return
        name = str(host.member.host)
        self._recorder.record(Paused(self._recorder.now(), name))
        self._fleet.pause(host)
        await asyncio.sleep(self._rng.uniform(*PAUSE_S))
        self._fleet.resume(host)
        self._recorder.record(Resumed(self._recorder.now(), name))
        self._busy.discard(host.member.host)

    async def _leave(self, hosts: list[FleetHost]) -> None:
        """Shut a process down as an operator does: list it as leaving, signal it, wait."""
        host = self._take(hosts)
        if host is None:
            return
        await self._fleet.set_leaving(host)
        name = str(host.member.host)
        now = self._recorder.now()
        self._recorder.record(Leaving(now, name), ShutdownAsked(now, name, LEAVE_LIMIT_S))
        await self._fleet.terminate(host)
        await self._start_again(host)

    async def _cut(self) -> None:
        """Lose the connections of one agent, and take new ones at once."""
        name = self._rng.choice(list(self._relays))
        now = self._recorder.now()
        for entry in self._fleet.entries:
            other = str(entry.member.host)
            self._recorder.record(PartBegan(now, name, other), PartEnded(now + CUT_S, name, other))
        self._relays[name].cut()

    async def _store_down(self) -> None:
        part = self._rng.choice(("table", "objects"))
        address = self._fleet.platform[part]
        self._recorder.record(OutageBegan(self._recorder.now(), part))
        await self._fleet.control(address, outage=self._rng.choice(OUTAGES))
        await asyncio.sleep(self._rng.uniform(*OUTAGE_S))
        await self._fleet.control(address, outage="none")
        self._recorder.record(OutageEnded(self._recorder.now(), part))

    async def _lose_replies(self) -> None:
        address = self._fleet.platform["table"]
        self._recorder.record(OutageBegan(self._recorder.now(), "replies"))
        await self._fleet.control(address, lose_share=0.3)
        await asyncio.sleep(self._rng.uniform(*OUTAGE_S))
        await self._fleet.control(address, lose_share=0.0)
        self._recorder.record(OutageEnded(self._recorder.now(), "replies"))
