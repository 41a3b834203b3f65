"""Fleets of ledgers and followers under faults drawn from a seed, with their history checked."""

import asyncio
import json
import os
import random
from collections.abc import Awaitable, Callable

import pytest
from config_fleet import Fleet, Gate, Node, release, running, service

from lacewinggw.configuration.logstore import (
    FLOOR_KEY,
    ROW_PREFIX,
    Appended,
    LogStore,
    decode_entry,
)
from lacewinggw.decisions.revisions import FleetState, change_of
from lacewinggw.errors import AcceptanceUnknown, LacewingError
from lacewinggw.generated.messages.ttypes import Change, LogEntry, SetDrain
from lacewinggw.lab.checkers import Violation, check
from lacewinggw.lab.history import (
    Applied,
    CommandAccepted,
    CommandRefused,
    CommandUnknown,
    Event,
    Killed,
    LogRow,
    OutageBegan,
    OutageEnded,
    PartBegan,
    PartEnded,
    ProcessStarted,
)
from lacewinggw.lab.standin import Outage
from lacewinggw.lab.table import StoredRow

pytestmark = pytest.mark.looptime

SEEDS = int(os.environ.get("SEEDS", "4"))
SECONDS = 40.0
SETTLE_S = 20.0
RATE_PER_S = 4.0
PLATFORM_IP = "127.0.0.1"


class Campaign:
    """Sends commands to several entries, makes faults drawn from a seed, records the history."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.history: list[Event] = []
        self.ends: list[float] = []
        self.incarnations = 0
        self.commands = 0
        self._running: list[asyncio.Task[None]] = []
        put = fleet.platform.table.put

        def recording_put(
            key: str, value: str, if_version: int | None
        ) -> tuple[bool, StoredRow | None]:
            is_written, row = put(key, value, if_version)
            if is_written and key.startswith(ROW_PREFIX):
                entry = decode_entry(value)
                if entry.revision > self.deleted():
                    self.history.append(LogRow(self.now(), entry.revision, entry.command_id))
            return is_written, row

        fleet.platform.table.put = recording_put  # type: ignore[method-assign]
        for node in fleet.nodes():
            self.watch(node, 0)

    def deleted(self) -> int:
        """Return the revision up to which rows are ignored, including late writes."""
        row = self.fleet.platform.table.rows.get(FLOOR_KEY)
        return int(json.loads(row.value)["deleted"]) if row is not None else 0

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def watch(self, node: Node, incarnation: int) -> None:
        name = f"{incarnation}"
        self.history.append(ProcessStarted(self.now(), node.name, name))

        def applied(state: FleetState, _: list[LogEntry]) -> None:
            text = f"{sorted(state.releases)} {sorted(state.draining)} {sorted(state.services)}"
            self.history.append(Applied(self.now(), node.name, name, state.revision, text))

        node.config.on_change(applied)
        applied(node.config.state, [])

    def change(self) -> Change:
        kind = self.rng.randrange(3)
        if kind == 0:
            return release(f"m{self.commands}")
        if kind == 1:
            return service(f"s{self.rng.randrange(4)}", ("base", self.rng.randrange(1, 9)))
        return change_of(SetDrain(f"h{self.rng.randrange(5)}", True))

    async def command(self, number: int) -> None:
        """Send one command to an entry, then to others with the same id while it is in doubt."""
        name, change = f"c{number}", self.change()
        read: int | None = None
        for attempt in range(3):
            node = self.rng.choice(self.fleet.entries)
            read = node.ledger.revision if read is None else read
            if not node.ledger.ready:
                continue
            try:
                entry = await node.accept(change, command=name, read=read)
            except AcceptanceUnknown:
                self.history.append(CommandUnknown(self.now(), name))
            except LacewingError as error:
                if attempt == 0:
                    self.history.append(CommandRefused(self.now(), name, error.code))
                return
            else:
                self.history.append(CommandAccepted(self.now(), name, entry.revision, node.name))
                return

    async def operate(self) -> None:
        until = self.now() + SECONDS
        while self.now() < until:
            self.commands += 1
            self._running.append(asyncio.ensure_future(self.command(self.commands)))
            await asyncio.sleep(self.rng.expovariate(RATE_PER_S))
        await asyncio.gather(*self._running)

    async def disturb(self, faults: list[Callable[[], Awaitable[None]]]) -> None:
        until = self.now() + SECONDS
        while self.now() < until:
            await asyncio.sleep(self.rng.uniform(0.5, 3.0))
            await self.rng.choice(faults)()

    async def outage(self) -> None:
        part = self.rng.choice((self.fleet.platform.table, self.fleet.platform.objects))
        self.history.append(OutageBegan(self.now(), "platform"))
        part.faults.outage = self.rng.choice((Outage.REFUSE, Outage.CUT, Outage.HANG))
        await asyncio.sleep(self.rng.uniform(1.0, 10.0))
        part.faults.outage = Outage.NONE
        self.history.append(OutageEnded(self.now(), "platform"))

    async def slowness(self) -> None:
        self.history.append(OutageBegan(self.now(), "platform"))
        self.fleet.platform.table.faults.delay_s = self.rng.choice((0.5, 2.5))
        await asyncio.sleep(self.rng.uniform(1.0, 5.0))
        self.fleet.platform.table.faults.delay_s = 0.0
        self.history.append(OutageEnded(self.now(), "platform"))

    async def lost_replies(self) -> None:
        self.fleet.platform.table.faults.lose_next += self.rng.randrange(1, 4)

    async def replace(self) -> None:
        nodes = self.rng.choice((self.fleet.entries, self.fleet.agents))
        index = self.rng.randrange(len(nodes))
        old = nodes[index]
        self.incarnations += 1
        self.history.append(Killed(self.now(), old.name))
        self.fleet.network.lose(old.ip)
        await old.close()
        number = int(old.name.partition("-")[2])
        fresh = Node(self.fleet, number, old.role, self.incarnations)
        nodes[index] = fresh
        self.watch(fresh, self.incarnations)
        self._running.append(asyncio.ensure_future(fresh.start()))

    async def part(self) -> None:
        one, other = self.rng.sample(self.fleet.nodes(), 2)
        with_store = self.rng.random() < 0.5
        ip = PLATFORM_IP if with_store else other.ip
        self.fleet.network.cut(one.ip, ip)
        self.history.append(PartBegan(self.now(), one.name, other.name))
        await asyncio.sleep(self.rng.uniform(0.5, 6.0))
        self.fleet.network.heal(one.ip, ip)
        self.history.append(PartEnded(self.now(), one.name, other.name))


async def run_campaign(seed: int) -> list[Violation]:
    """Run commands and faults drawn from a seed; return the violations in the history."""
    async with running(entries=5, agents=4, seed=seed, snapshot_every=10) as fleet:
        await fleet.entries[0].accept(release("base"), command="base")
        await fleet.settle(1)
        campaign = Campaign(fleet, seed)
        campaign.history.append(LogRow(campaign.now(), 1, "base"))
        faults = [
            campaign.outage,
            campaign.slowness,
            campaign.lost_replies,
            campaign.replace,
            campaign.part,
        ]
        await asyncio.gather(campaign.operate(), campaign.disturb(faults))
        await asyncio.sleep(SETTLE_S)
        head = max(node.config.revision for node in fleet.nodes())
        assert {node.config.revision for node in fleet.nodes()} == {head}
        accepted = [each for each in campaign.history if isinstance(each, CommandAccepted)]
        assert len(accepted) > 30
        return check(campaign.history)


@pytest.mark.parametrize("seed", range(SEEDS))
async def test_faults_neither_lose_nor_duplicate_nor_revert_commands(seed: int) -> None:
    assert await run_campaign(seed) == []


async def accept_after_a_long_pause() -> tuple[int, dict[int, str]]:
    """Pause an entry just before its write, until another has written that row and deleted it.

    Return the revision at which its command was accepted, and the other entry's command id at each
    revision.
    """
    async with running(entries=2, snapshot_every=5) as fleet:
        paused, awake = fleet.entries
        gate = Gate(paused.table)
        accepting = asyncio.ensure_future(paused.accept(release("late"), command="late"))
        await asyncio.sleep(0.1)
        log: dict[int, str] = {}
        for number in range(20):
            entry = await awake.accept(release(f"m{number}"), command=f"c{number}")
            log[entry.revision] = entry.command_id
        await asyncio.sleep(1)
        gate.open.set()
        return (await accepting).revision, log


async def test_a_command_paused_past_a_truncation_is_accepted_at_the_end_of_the_log() -> None:
    revision, log = await accept_after_a_long_pause()
    assert revision == max(log) + 1


async def test_without_the_floor_a_paused_command_takes_the_revision_of_another(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def confirm_without_reading(*_: object) -> Appended:
        return Appended()

    monkeypatch.setattr(LogStore, "_confirm", confirm_without_reading)
    revision, log = await accept_after_a_long_pause()
    assert log[revision] != "late"
