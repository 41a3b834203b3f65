"""Operators and faults for the configuration experiment, on real processes."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from time import time

from lacewinggw.errors import AcceptanceUnknown, ConfigurationConflict, LacewingError
from lacewinggw.ids import Address, new_command_id
from lacewinggw.lab.fleet import OPERATOR_TOKEN, Fleet, FleetHost
from lacewinggw.lab.history import (
    CommandAccepted,
    CommandRefused,
    CommandUnknown,
    Event,
    Killed,
    OutageBegan,
    OutageEnded,
    Paused,
    ProcessStarted,
    Resumed,
)
from lacewinggw.operators.client import EntryClient

SERVICES = 20
COMMAND_TIMEOUT_S = 10.0
ATTEMPTS = 3
QUIET_S = 1.0
PLATFORM = "table"


class ConfigFault(Enum):
    """What disturbs a run."""

    KILL = "kill"
    PAUSE = "pause"
    OUTAGE = "outage"
    LOST = "lost"
    SLOW = "slow"


@dataclass
class Tally:
    """What operators were told, and the history of the run; times are of the wall clock."""

    accepted: int = 0
    refused: int = 0
    unknown: int = 0
    told_both: int = 0
    conflicts: int = 0
    history: list[Event] = field(default_factory=list)


class Operators:
    """Operators who change services at entries chosen at random."""

    def __init__(self, fleet: Fleet, tally: Tally, rng: random.Random) -> None:
        self._fleet = fleet
        self._tally = tally
        self._rng = rng
        self._tasks: set[asyncio.Task[None]] = set()

    async def prepare(self) -> None:
        """Declare the services that are changed later; they have no replicas."""
        fleet = self._fleet
        await fleet.publish("base", size_bytes=1 << 16, chunk_bytes=1 << 16)
        words = ["create release base"]
        words += [f"create service s{n} release base replicas 0" for n in range(SERVICES)]
        await fleet.ask("; ".join(words))

    async def run(self, rate_per_s: float, seconds: float) -> None:
        """Give commands at a mean rate, without waiting for the answers to earlier ones."""
        until = time() + seconds
        while time() < until:
            self._start(self._change_once())
            await asyncio.sleep(self._rng.expovariate(rate_per_s))
        if self._tasks:
            await asyncio.wait(set(self._tasks))

    async def collide(self, pairs: int) -> None:
        """Have two operators change the same service at the same moment, again and again."""
        for number in range(pairs):
            service = f"s{number % SERVICES}"
            one, other = self._rng.sample(self._running(), 2)
            revision = await self._revision(one)
            shares = self._rng.sample(range(101), 2)
            await asyncio.gather(
                self._command(one, f"set service {service} floor {shares[0]}%", revision),
                self._command(other, f"set service {service} floor {shares[1]}%", revision),
            )

    def _start(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _running(self) -> list[FleetHost]:
        return [host for host in self._fleet.entries if host.running]

    async def _revision(self, entry: FleetHost) -> int:
        client = self._client([entry])
        try:
            return int((await client.configuration())["revision"])
        finally:
            await client.close()

    async def _change_once(self) -> None:
        entry = self._rng.choice(self._running())
        service, share = f"s{self._rng.randrange(SERVICES)}", self._rng.randrange(101)
        try:
            revision = await self._revision(entry)
        except LacewingError:
            return
        await self._command(entry, f"set service {service} floor {share}%", revision)

    async def _command(self, entry: FleetHost, words: str, revision: int) -> None:
        """Give one command, and while its fate is open again with the same id."""
        command = str(new_command_id(self._rng))
        others = [host for host in self._running() if host is not entry]
        entries = [entry, *self._rng.sample(others, min(len(others), ATTEMPTS - 1))]
        client = self._client(entries)
        tally = self._tally
        try:
            answer = await client.command(words, command, revision)
            tally.accepted += 1
            host = str(entries[0].member.host)
            tally.history.append(CommandAccepted(time(), command, answer["revision"], host))
        except AcceptanceUnknown:
            tally.unknown += 1
            tally.history.append(CommandUnknown(time(), command))
        except LacewingError as error:
            tally.refused += 1
            tally.history.append(CommandRefused(time(), command, error.code))
            if isinstance(error, ConfigurationConflict):
                tally.conflicts += 1
                tally.told_both += "yours is" in error.reason and "now is" in error.reason
        finally:
            await client.close()

    def _client(self, entries: list[FleetHost]) -> EntryClient:
        addresses = [Address(host.member.operator_address) for host in entries]
        return EntryClient(self._fleet.network, addresses, OPERATOR_TOKEN, COMMAND_TIMEOUT_S)


class Disturber:
    """Faults from a seed, one after another until time is up; all are mended at the end."""

    def __init__(self, fleet: Fleet, tally: Tally, rng: random.Random) -> None:
        self._fleet = fleet
        self._tally = tally
        self._rng = rng
        self._lives: dict[str, int] = {}
        actions: dict[ConfigFault, Callable[[float], Awaitable[None]]] = {
            ConfigFault.KILL: self._kill,
            ConfigFault.PAUSE: self._pause,
            ConfigFault.OUTAGE: self._outage,
            ConfigFault.LOST: self._lose_replies,
            ConfigFault.SLOW: self._slow,
        }
        self._actions = actions

    async def run(self, faults: list[ConfigFault], seconds: float) -> None:
        """Bring about the faults, each kind in a sequence of its own, until time is up."""
        until = time() + seconds
        await asyncio.gather(*(self._repeat(fault, until) for fault in faults))

    async def _repeat(self, fault: ConfigFault, until: float) -> None:
        while time() + QUIET_S < until:
            await asyncio.sleep(self._rng.uniform(QUIET_S, 3 * QUIET_S))
            await self._actions[fault](max(until - time(), QUIET_S))

    def _note(self, event: Event) -> None:
        self._tally.history.append(event)

    def _one(self) -> FleetHost:
        return self._rng.choice([host for host in self._fleet.hosts.values() if host.running])

    async def _kill(self, _: float) -> None:
        host = self._one()
        name = str(host.member.host)
        self._note(Killed(time(), name))
        await self._fleet.kill(host, unlist=False)
        await asyncio.sleep(self._rng.uniform(0.2, 1.0))
        await self._fleet.restart(host)
        self._lives[name] = self._lives.get(name, 0) + 1
        self._note(ProcessStarted(time(), name, str(self._lives[name])))

    async def _pause(self, left_s: float) -> None:
        host = self._one()
        self._note(Paused(time(), str(host.member.host)))
        self._fleet.pause(host)
        await asyncio.sleep(min(self._rng.uniform(1.0, 8.0), left_s))
        self._fleet.resume(host)
        self._note(Resumed(time(), str(host.member.host)))

    async def _outage(self, left_s: float) -> None:
        table = self._fleet.platform[PLATFORM]
        self._note(OutageBegan(time(), PLATFORM))
        await self._fleet.control(table, outage=self._rng.choice(("refuse", "cut", "hang")))
        await asyncio.sleep(min(self._rng.uniform(10.0, 20.0), left_s))
        await self._fleet.control(table, outage="none")
        self._note(OutageEnded(time(), PLATFORM))
        await asyncio.sleep(10 * QUIET_S)

    async def _lose_replies(self, _: float) -> None:
        await self._fleet.control(self._fleet.platform[PLATFORM], lose_next=1)

    async def _slow(self, left_s: float) -> None:
        table = self._fleet.platform[PLATFORM]
        self._note(OutageBegan(time(), PLATFORM))
        await self._fleet.control(table, delay_s=self._rng.uniform(0.2, 1.5))
        await asyncio.sleep(min(self._rng.uniform(2.0, 6.0), left_s))
        await self._fleet.control(table, delay_s=0.0)
        self._note(OutageEnded(time(), PLATFORM))
