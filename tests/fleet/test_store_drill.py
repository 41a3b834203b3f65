"""A store that is restored from a copy some seconds old and assigns versions a second time.

Guards against store versions that are kept without their era. An entry continues from the version
up to which it knows the store's changes. After a restore that version denotes another change, and
if the store has passed it before the next read, the changes in between are missed without a sign
(routes 2 instead of 5 at all three entries, 2 s after the change). Delisted targets reappeared with
the copy and got 10 of 20 requests, and the rows that processes had written about themselves stayed
lost.
"""

import asyncio

import pytest
from crashing import add_engines, play
from declared_fleet import running_fleet
from platform_standins import KEY, LLM, manifest, target_row

from lacewinggw.decisions.storeposition import StorePosition

pytestmark = pytest.mark.looptime

OWN = "lacewinggw-members"
IN_FORCE_S = 2.0  # the bound for a change made after the restore


def pass_old_versions(fleet, count=400):
    """Write so often that the store assigns versions beyond those before the restore."""
    for number in range(count):
        fleet.store.put("other", f"row-{number}", {})


async def restore_a_delisted_target(fleet):
    """Delist a target, and restore the store from a copy that still lists it."""
    await fleet.add_target("desk9", "desk", "10.3.0.9")
    await asyncio.sleep(4.0)
    fleet.store.put("servers", "i-desk9", None)
    await asyncio.sleep(2.0)
    await fleet.store.drill(4.0)
    await asyncio.sleep(2.0)


@pytest.mark.parametrize("age_s", [1.0, 4.0, 10.0])
@pytest.mark.parametrize("entries", [1, 6])
async def test_a_change_is_in_force_though_old_versions_are_passed_at_once(age_s, entries):
    async with running_fleet(entries=entries) as fleet:
        await asyncio.sleep(12.0)
        pass_old_versions(fleet)
        await asyncio.sleep(0.5)
        lost = await fleet.store.drill(age_s)
        fleet.store.write_again(lost, "op", "servers")
        fleet.store.put("op", "config", manifest(9))
        pass_old_versions(fleet, 900)
        await asyncio.sleep(IN_FORCE_S)
        assert [entry.knowledge.routes.version for entry in fleet.entries] == [9] * entries


async def test_two_restores_within_ten_seconds():
    async with running_fleet(entries=3) as fleet:
        await asyncio.sleep(6.0)
        for version in (5, 8):
            pass_old_versions(fleet)
            await asyncio.sleep(2.0)
            lost = await fleet.store.drill(4.0)
            fleet.store.write_again(lost, "op", "servers")
            fleet.store.put("op", "config", manifest(version))
            pass_old_versions(fleet, 900)
            await asyncio.sleep(IN_FORCE_S)
            assert [entry.knowledge.routes.version for entry in fleet.entries] == [version] * 3


async def test_an_agent_adopts_the_list_of_the_new_era():
    async with running_fleet(desks=0, engines=0, entries=2) as fleet:
        await add_engines(fleet, 2)
        pass_old_versions(fleet)
        await asyncio.sleep(1.0)
        lost = await fleet.store.drill(2.0)
        fleet.store.write_again(lost, "op", "servers")
        await fleet.add_target("late", LLM, "10.2.0.9")
        await asyncio.sleep(3.0)
        hosts = [sorted(agent.assignment.hosts) for agent in fleet.agents.values()]
        assert hosts == [["10.2.0.1", "10.2.0.2", "10.2.0.9"]] * 2


async def test_a_revoked_key_stays_revoked_after_the_restore():
    async with running_fleet(entries=2) as fleet:
        await asyncio.sleep(3.0)
        none = [{"Name": "growers", "ApiKeys": []}]
        fleet.store.put("op", "config", manifest(6, Tenants=none))
        await asyncio.sleep(2.0)
        await fleet.store.drill(4.0)
        await asyncio.sleep(1.0)
        for entry in (0, 1):
            assert (await fleet.ask("/sheet/1", entry=entry, X_Key=KEY)).status == 401


async def test_a_delisted_target_stays_unused_after_the_restore():
    async with running_fleet(desks=1, engines=0, entries=2) as fleet:
        await restore_a_delisted_target(fleet)
        before = len(fleet.targets["desk9"].seen)
        for _ in range(20):
            await fleet.ask("/sheet/1")
        assert len(fleet.targets["desk9"].seen) == before


async def test_a_delisted_target_is_used_once_it_writes_its_row_again():
    async with running_fleet(desks=0, engines=0, entries=1) as fleet:
        await restore_a_delisted_target(fleet)
        fleet.store.put("servers", "i-desk9", target_row("desk", "10.3.0.9:8080", Slots=5))
        await asyncio.sleep(1.0)
        assert (await fleet.ask("/sheet/1")).status == 200


async def test_a_target_missing_from_the_copy_stays_in_use():
    async with running_fleet(desks=0, engines=0, entries=2) as fleet:
        await asyncio.sleep(4.0)
        await fleet.add_target("desk9", "desk", "10.3.0.9")
        await asyncio.sleep(2.0)
        drill = asyncio.ensure_future(fleet.store.drill(4.0, away_s=0.3))
        responses = []
        for number in range(12):
            if number == 9:
                fleet.store.write_again(await drill, "servers")
            responses.append(await fleet.ask("/sheet/1", entry=number % 2))
            await asyncio.sleep(0.15)
        assert [response.status for response in responses] == [200] * 12


async def test_own_rows_are_written_again():
    async with running_fleet(desks=0, engines=0, entries=3) as fleet:
        await add_engines(fleet, 6)
        await play(fleet, seconds=5.0)
        before = set(fleet.store.rows(OWN))
        assert any(key.startswith("crashing/") for key in before)
        await fleet.store.drill(60.0, away_s=0.2)
        assert not fleet.store.rows(OWN)
        await asyncio.sleep(IN_FORCE_S)
        assert set(fleet.store.rows(OWN)) == before


async def test_rows_present_in_the_copy_are_not_written_again():
    async with running_fleet(entries=3) as fleet:
        await asyncio.sleep(8.0)
        await fleet.store.drill(4.0)
        fleet.store.calls.clear()
        await asyncio.sleep(3.0)
        assert fleet.store.calls.count("/rows-tx") == 0


async def test_an_entry_cut_off_from_the_store_receives_the_new_era():
    async with running_fleet(entries=3) as fleet:
        await asyncio.sleep(4.0)
        fleet.network.cut("10.1.0.1", "10.9.0.1")
        await fleet.store.drill(2.0)
        await asyncio.sleep(3.0)
        fleet.network.heal("10.1.0.1", "10.9.0.1")
        fleet.store.put("op", "config", manifest(9))
        await asyncio.sleep(IN_FORCE_S)
        assert fleet.entries[0].knowledge.routes.version == 9


def test_a_position_of_another_era_is_not_compared_by_its_number():
    assert StorePosition(2, 10) > StorePosition(1, 500)
    with pytest.raises(TypeError):
        assert StorePosition(1, 500) > 400


async def test_answers_of_a_past_era_are_not_requested_in_a_tight_loop():
    """An entry that has received a later era than the answers have reads on, but with pauses."""
    async with running_fleet(entries=1) as fleet:
        await asyncio.sleep(3.0)
        fleet.entries[0]._store.era.note(9)
        fleet.store.calls.clear()
        await asyncio.sleep(2.0)
        assert len(fleet.store.calls) <= 3 * 2.0 / 0.1 + 3
