"""The configuration log: acceptance, following, snapshots and recovery, under virtual time."""

import asyncio

import pytest
from config_fleet import Fleet, Node, release, running, service

from lacewinggw.agent.follower import ConfigurationFollower
from lacewinggw.configuration.logstore import LogStore, Outdated, Truncated, encode_entry, row_key
from lacewinggw.decisions.revisions import HISTORY_LENGTH, FleetState, change_of
from lacewinggw.errors import (
    AcceptanceUnknown,
    ConfigurationConflict,
    PlatformUnavailable,
    StillInUse,
    UnknownName,
)
from lacewinggw.generated.messages.ttypes import LogEntry, Role, WithdrawRelease
from lacewinggw.lab.standin import Outage

pytestmark = pytest.mark.looptime


async def fill(fleet: Fleet, count: int, entry: int = 0) -> None:
    """Accept `count` commands at one entry."""
    node = fleet.entries[entry]
    first = node.ledger.revision + 1
    for number in range(first, first + count):
        await node.accept(release(f"m{number}"), command=f"fill-{number}")


async def test_an_accepted_command_is_applied_everywhere() -> None:
    async with running(entries=8, agents=8) as fleet:
        entry = await fleet.entries[0].accept(release("m1"), command="one")
        assert entry.revision == 1
        assert await fleet.settle(1) < 2.0
        assert all("m1" in node.config.state.releases for node in fleet.nodes())


async def test_a_repeated_command_returns_its_first_revision() -> None:
    async with running(entries=3) as fleet:
        first = await fleet.entries[0].accept(release("m1"), command="one")
        await fleet.settle(1)
        again = await fleet.entries[1].accept(release("m1"), command="one", read=0)
        assert again.revision == first.revision
        assert fleet.entries[1].ledger.revision == 1


async def test_a_repeated_command_is_recognised_by_an_entry_that_has_not_received_it() -> None:
    async with running(entries=2, poll_ms=60000) as fleet:
        one, other = fleet.entries
        fleet.network.cut(one.ip, other.ip)
        await one.accept(release("m1"), command="one")
        again = await other.accept(release("m1"), command="one", read=0)
        assert again.revision == 1
        assert other.ledger.revision == 1


async def test_a_command_replayed_after_a_snapshot_is_recognised() -> None:
    async with running(entries=2, snapshot_every=5) as fleet:
        await fleet.entries[0].accept(release("m0"), command="one")
        await fill(fleet, 12)
        await asyncio.sleep(1)
        assert row_key(1) not in fleet.platform.table.rows
        fresh = Node(fleet, 1, Role.ENTRY, incarnation=1)
        await fleet.entries[1].close()
        fleet.entries[1] = fresh
        await fresh.start()
        again = await fresh.accept(release("m0"), command="one", read=0)
        assert again.revision == 1
        assert fresh.ledger.revision == 13


async def test_a_command_older_than_the_kept_history_is_refused_not_repeated() -> None:
    state = FleetState()
    for revision in range(1, HISTORY_LENGTH + 10):
        state.apply(LogEntry(revision, f"c{revision}", "a", 0, 0, [release(f"m{revision}")], ""))
    assert state.revision_of_command("c1") is None
    assert state.history_base_revision == 9
    async with running(entries=1) as fleet:
        fleet.entries[0].ledger._replica.adopt_snapshot(state.to_snapshot())
        entry = fleet.entries[0]
        with pytest.raises(ConfigurationConflict, match="only revisions after 9 are remembered"):
            await entry.accept(release("m1"), command="c1", read=0)
        with pytest.raises(AcceptanceUnknown, match="it may have been accepted long ago"):
            await entry.accept(release("m1"), command="c1", read=0, repeated=True)


async def test_a_conflict_error_contains_both_values() -> None:
    async with running(entries=2) as fleet:
        await fleet.entries[0].accept(
            release("m1"), release("m2"), service("desk", ("m1", 2)), command="make"
        )
        await fleet.settle(1)
        results = await asyncio.gather(
            fleet.entries[0].accept(service("desk", ("m1", 4)), command="four", read=1),
            fleet.entries[1].accept(service("desk", ("m2", 5)), command="five", read=1),
            return_exceptions=True,
        )
        accepted = [each for each in results if isinstance(each, LogEntry)]
        refused = [each for each in results if isinstance(each, ConfigurationConflict)]
        assert len(accepted) == len(refused) == 1
        assert "4 on m1" in refused[0].reason and "5 on m2" in refused[0].reason


async def test_commands_about_different_services_do_not_conflict() -> None:
    async with running(entries=2) as fleet:
        await fleet.entries[0].accept(release("m1"), command="make")
        await fleet.settle(1)
        await asyncio.gather(
            fleet.entries[0].accept(service("one", ("m1", 1)), command="a", read=1),
            fleet.entries[1].accept(service("two", ("m1", 1)), command="b", read=1),
        )
        await fleet.settle(3)


async def test_a_command_that_contradicts_the_configuration_is_refused() -> None:
    async with running(entries=1) as fleet:
        entry = fleet.entries[0]
        with pytest.raises(UnknownName):
            await entry.accept(service("desk", ("m1", 2)), command="a")
        await entry.accept(release("m1"), service("desk", ("m1", 2)), command="b")
        with pytest.raises(StillInUse):
            await entry.accept(change_of(WithdrawRelease("m1")), command="c")
        assert entry.ledger.revision == 1


async def test_a_lost_reply_is_resolved_by_the_command_id() -> None:
    async with running(entries=2) as fleet:
        fleet.platform.table.faults.lose_next = 1
        entry = await fleet.entries[0].accept(release("m1"), command="one")
        assert entry.revision == 1
        assert len([key for key in fleet.platform.table.rows if key.startswith("log/")]) == 1


async def test_a_reply_lost_before_an_outage_is_reported_as_unknown() -> None:
    async with running(entries=2) as fleet:
        table = fleet.platform.table
        table.faults.lose_next = 1
        accepting = asyncio.ensure_future(fleet.entries[0].accept(release("m1"), command="one"))
        while table.faults.lose_next:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
        table.faults.outage = Outage.REFUSE
        with pytest.raises(AcceptanceUnknown):
            await accepting
        table.faults.outage = Outage.NONE
        await fleet.settle(1)
        assert fleet.entries[0].ledger.state.revision_of_command("one") == 1


async def test_commands_during_an_outage_are_certainly_not_accepted() -> None:
    async with running(entries=2) as fleet:
        fleet.platform.table.faults.outage = Outage.REFUSE
        with pytest.raises(PlatformUnavailable):
            await fleet.entries[0].accept(release("m1"), command="one")
        fleet.platform.table.faults.outage = Outage.NONE
        await asyncio.sleep(30)
        assert fleet.entries[0].ledger.revision == 0


async def test_a_writer_paused_past_a_truncation_does_not_restore_its_row() -> None:
    async with running(entries=1, snapshot_every=5) as fleet:
        await fill(fleet, 20)
        await asyncio.sleep(1)
        store = LogStore(fleet.entries[0].table, fleet.entries[0].objects)
        late = LogEntry(3, "late", "paused", 0, 2, [release("old")], "")
        assert row_key(3) not in fleet.platform.table.rows
        assert isinstance(await store.append(late), Outdated)
        assert row_key(3) not in fleet.platform.table.rows


async def test_a_reader_behind_a_truncation_loads_the_snapshot_not_a_restored_row() -> None:
    async with running(entries=1, snapshot_every=5) as fleet:
        await fill(fleet, 20)
        await asyncio.sleep(1)
        late = encode_entry(LogEntry(3, "late", "paused", 0, 2, [release("old")], ""))
        fleet.platform.table.put(row_key(3), late, None)
        store = LogStore(fleet.entries[0].table, fleet.entries[0].objects)
        result = await store.read_after(2)
        assert isinstance(result, Truncated)
        assert result.snapshot > 3


async def test_an_entry_cut_off_through_a_truncation_catches_up() -> None:
    async with running(entries=3, snapshot_every=5) as fleet:
        behind = fleet.entries[2]
        for other in fleet.entries[:2]:
            fleet.network.cut(behind.ip, other.ip)
        fleet.network.cut(behind.ip, "127.0.0.1")
        await fill(fleet, 30)
        await asyncio.sleep(5)
        assert behind.ledger.revision == 0
        fleet.network.heal(behind.ip, "127.0.0.1")
        assert await fleet.settle(30) < 5.0


async def test_a_fresh_process_serves_nothing_before_it_has_a_configuration() -> None:
    async with running(entries=3) as fleet:
        await fill(fleet, 3)
        await fleet.settle(3)
        fleet.platform.table.faults.outage = Outage.REFUSE
        for other in fleet.entries[1:]:
            fleet.network.cut(fleet.entries[0].ip, other.ip)
        fresh = Node(fleet, 0, Role.ENTRY, incarnation=1)
        await fleet.entries[0].close()
        fleet.entries[0] = fresh
        starting = asyncio.ensure_future(fresh.start())
        await asyncio.sleep(30)
        assert not fresh.ledger.ready
        assert not starting.done()
        for other in fleet.entries[1:]:
            fleet.network.heal(fresh.ip, other.ip)
        await asyncio.wait_for(starting, 10)
        assert fresh.ledger.revision == 3


async def test_in_an_outage_a_fresh_process_takes_the_highest_revision_of_several_peers() -> None:
    async with running(entries=4) as fleet:
        await fill(fleet, 2)
        await fleet.settle(2)
        behind = fleet.entries[1]
        for other in (*fleet.entries[:1], *fleet.entries[2:]):
            fleet.network.cut(behind.ip, other.ip)
        fleet.network.cut(behind.ip, "127.0.0.1")
        await fill(fleet, 3)
        await asyncio.sleep(2)
        fleet.platform.table.faults.outage = Outage.REFUSE
        fleet.platform.objects.faults.outage = Outage.REFUSE
        fresh = Node(fleet, 3, Role.ENTRY, incarnation=1)
        await fleet.entries[3].close()
        fleet.entries[3] = fresh
        await fresh.start()
        assert behind.ledger.revision == 2
        assert fresh.ledger.revision == 5


async def test_entries_propagate_between_peers_while_the_store_is_down() -> None:
    async with running(entries=6, agents=6, poll_ms=500) as fleet:
        isolated = fleet.entries[5]
        for other in fleet.entries[:5]:
            fleet.network.cut(isolated.ip, other.ip)
        fleet.network.cut(isolated.ip, "127.0.0.1")
        await fill(fleet, 4)
        fleet.platform.table.faults.outage = Outage.HANG
        for other in fleet.entries[:5]:
            fleet.network.heal(isolated.ip, other.ip)
        assert await fleet.settle(4, 40.0) < 20.0


async def test_only_a_few_entries_read_the_store() -> None:
    async with running(entries=40) as fleet:
        await asyncio.sleep(5)
        before = fleet.platform.table.reads.total
        await asyncio.sleep(30)
        reads_per_s = (fleet.platform.table.reads.total - before) / 30
        assert reads_per_s < 2 * 3 + 40 / 15 + 2


async def test_a_large_entry_is_announced_and_fetched_once() -> None:
    async with running(entries=8) as fleet:
        wide = [release(f"release-with-a-long-name-{number}") for number in range(200)]
        await fleet.entries[0].accept(*wide, command="wide")
        assert await fleet.settle(1) < 3.0


async def test_an_agent_needs_only_entries() -> None:
    async with running(entries=3, agents=3) as fleet:
        await fill(fleet, 2)
        await fleet.settle(2)
        reads = fleet.platform.table.reads.total
        fresh = Node(fleet, 1, Role.AGENT, incarnation=1)
        await fleet.agents[1].close()
        fleet.agents[1] = fresh
        await fresh.start()
        assert fresh.config.revision == 2
        assert fleet.platform.table.reads.total - reads < 10


async def test_an_agent_that_reaches_no_entry_does_not_report_its_configuration_as_current() -> (
    None
):
    async with running(entries=3, agents=1) as fleet:
        agent = fleet.agents[0]
        assert isinstance(agent.config, ConfigurationFollower)
        await asyncio.sleep(2)
        assert agent.config.is_current
        for entry in fleet.entries:
            fleet.network.cut(agent.ip, entry.ip)
        await asyncio.sleep(6)
        assert not agent.config.is_current
        for entry in fleet.entries:
            fleet.network.heal(agent.ip, entry.ip)
        await asyncio.sleep(15)
        assert agent.config.is_current
