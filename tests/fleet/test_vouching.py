"""Freshness checks between entries: which read the store, which ask, and what a reply proves."""

import asyncio
import json

import pytest
from declared_fleet import running_fleet, store_reads
from platform_standins import DESK, LLM, manifest, target_row

from lacewinggw.decisions.routereaders import (
    LIST_CONFIRMED_MAX_AGE_S,
    LocalEntry,
    PeerEntry,
    choose_peers_to_query,
    is_route_reader,
    is_target_list_confirmed,
    reader_sort_key,
)
from lacewinggw.errors import ProtocolViolation
from lacewinggw.wire.packing import ROUTES_LIMIT_BYTES, pack_routes, unpack_routes

pytestmark = pytest.mark.looptime

ENTRIES = [
    PeerEntry(f"entry-{number}", "hall" if number < 4 else "room", f"10.1.0.{number}:7700")
    for number in range(8)
]


def others(host):
    return [entry for entry in ENTRIES if entry.host != host]


def test_two_entries_per_place_are_readers():
    readers = [
        entry
        for entry in ENTRIES
        if is_route_reader(LocalEntry(entry.host, entry.place), others(entry.host))
    ]
    assert sorted(entry.place for entry in readers) == ["hall", "hall", "room", "room"]


def test_one_entry_of_the_same_place_and_one_of_another_are_asked():
    asked = choose_peers_to_query(LocalEntry("entry-0", "hall"), others("entry-0"))
    assert [entry.place for entry in asked] == ["hall", "room"]


def test_a_single_entry_asks_no_peer_and_reads():
    assert choose_peers_to_query(LocalEntry("entry-0", "hall"), []) == []
    assert is_route_reader(LocalEntry("entry-0", "hall"), [])


async def test_an_entry_cut_off_from_the_store_keeps_serving():
    async with running_fleet(entries=2) as fleet:
        await asyncio.sleep(1.0)
        fleet.network.cut("10.1.0.1", "10.9.0.1")
        await asyncio.sleep(10.0)
        assert (await fleet.ask("/sheet/1")).status == 200


async def test_an_entry_cut_off_from_the_store_receives_a_key_revocation():
    async with running_fleet(entries=2) as fleet:
        await asyncio.sleep(1.0)
        fleet.network.cut("10.1.0.1", "10.9.0.1")
        await asyncio.sleep(4.0)
        fleet.store.put("op", "config", manifest(4, Tenants=[{"Name": "growers", "ApiKeys": []}]))
        await asyncio.sleep(3.0)
        # Its routes are too old to deny the key permanently, but it must refuse it.
        assert (await fleet.ask("/sheet/1")).status in (401, 503)
        assert fleet.entries[0].knowledge.routes.version == 4


async def test_an_entry_cut_off_from_all_refuses_keys_and_is_not_ready():
    async with running_fleet(entries=2) as fleet:
        await asyncio.sleep(1.0)
        fleet.network.cut("10.1.0.1", "10.9.0.1")
        fleet.network.cut("10.1.0.1", "10.1.0.2")
        await asyncio.sleep(6.5)
        assert (await fleet.ask("/sheet/1")).status == 503
        assert (await fleet.get("10.1.0.1:8002", "/readiness"))[0] == 503


async def test_a_delayed_answer_does_not_make_routes_look_newer():
    async with running_fleet(entries=2) as fleet:
        await asyncio.sleep(1.0)
        fleet.network.cut("10.1.0.1", "10.9.0.1")
        fleet.network.hold("10.1.0.2")
        await asyncio.sleep(4.0)
        fleet.network.let_go("10.1.0.2")
        await asyncio.sleep(0.1)
        age_s = fleet.entries[0].knowledge.routes_age_s(asyncio.get_running_loop().time())
        assert age_s > 3.5


async def test_a_new_entry_cut_off_from_the_store_gets_newer_routes_from_another():
    async with running_fleet(entries=1) as fleet:
        entry = await fleet.add_entry(2)
        await asyncio.sleep(1.0)
        fleet.network.cut("10.1.0.2", "10.9.0.1")
        fleet.store.put("op", "config", manifest(7))
        await asyncio.sleep(2.5)
        assert entry.knowledge.routes.version == 7


async def test_the_store_is_read_seldom_where_peers_confirm_the_routes():
    async with running_fleet(entries=4) as fleet:
        await asyncio.sleep(2.0)
        fleet.store.calls.clear()
        await asyncio.sleep(20.0)
        # One reader each 1.2 s, three each 2.4 s, and four lists of targets each 4 s: 62 in 20 s.
        assert len(fleet.store.calls) < 70


async def test_reads_of_the_routes_do_not_grow_with_the_number_of_entries():
    counts = []
    for entries in (3, 8):
        async with running_fleet(entries=entries) as fleet:
            await asyncio.sleep(3.0)
            began = sum(reads(entry) for entry in fleet.entries)
            await asyncio.sleep(12.0)
            counts.append(sum(reads(entry) for entry in fleet.entries) - began)
    assert counts[1] <= counts[0] + 2, counts


def reads(entry):
    wanted = 'lacewinggw_store_reads{topic="configuration"}'
    lines = [line for line in entry.metrics.render().splitlines() if line.startswith(wanted)]
    return sum(float(line.rpartition(" ")[2]) for line in lines)


async def test_non_readers_have_new_routes_as_soon_as_readers():
    async with running_fleet(entries=4) as fleet:
        await asyncio.sleep(4.0)
        fleet.store.put("op", "config", manifest(4))
        fleet.store.put("op", "version/market", {"Model": "market", "Version": 2})
        await asyncio.sleep(0.6)  # the reader lets changes accumulate for 0.4 s
        for entry in fleet.entries:
            assert entry.knowledge.routes.version == 4
            assert [due.version for _, due in entry.knowledge.all_required_versions] == [2]


async def test_large_routes_are_sent_to_each_place_once():
    """Four entries are in each of two places, and the store and the first reader on either side."""
    async with running_fleet(entries=0) as fleet:
        for number in range(1, 9):
            await fleet.add_entry(number, "hall" if number <= 4 else "room")
        await asyncio.sleep(6.0)
        sent = sum(entry._node.sent_bytes for entry in fleet.entries)
        routes = manifest(5)
        extra = [{**routes["Routes"][0], "Prefix": f"/extra-{index}/"} for index in range(1500)]
        routes["Routes"] = [*routes["Routes"], *extra]
        fleet.store.put("op", "config", routes)
        await asyncio.sleep(2.0)
        assert {entry.knowledge.routes.version for entry in fleet.entries} == {5}
        size = len(json.dumps(routes))
        # Six entries get them from the two readers, packed and only once.
        assert sum(entry._node.sent_bytes for entry in fleet.entries) - sent < 6 * size / 5


def test_invalid_packed_routes_are_refused():
    assert unpack_routes(pack_routes(b"routes")) == b"routes"
    for bad in (b"routes", pack_routes(bytes(ROUTES_LIMIT_BYTES + 1))):
        with pytest.raises(ProtocolViolation):
            unpack_routes(bad)


@pytest.mark.parametrize("out", [1, 2, 3])
async def test_readers_cut_off_from_the_store_do_not_delay_new_routes(out):
    """The first readers of a place are cut off from the store just before the routes change."""
    async with running_fleet(entries=0) as fleet:
        for number in range(1, 9):
            await fleet.add_entry(number, "hall" if number <= 4 else "room")
        await asyncio.sleep(6.0)
        here = sorted(range(1, 5), key=lambda number: reader_sort_key(f"entry-{number}"))[:out]
        for number in here:
            fleet.network.cut(f"10.1.0.{number}", "10.9.0.1")
        await asyncio.sleep(0.3)
        fleet.store.put("op", "config", manifest(5))
        await asyncio.sleep(1.2)
        versions = [entry.knowledge.routes.version for entry in fleet.entries]
        assert versions == [5] * 8


async def test_an_entry_cut_off_from_the_store_since_its_start_gets_routes_from_others():
    """It has no list of the others, but they have it on theirs and watch it again."""
    async with running_fleet(entries=3) as fleet:
        await asyncio.sleep(3.0)
        await fleet.entries.pop().close()
        fleet.network.cut("10.1.0.3", "10.9.0.1")
        entry = await fleet.add_entry(3)
        await asyncio.sleep(3.0)
        assert entry.knowledge.routes.version == 2
        assert entry.knowledge.can_accept_keys(asyncio.get_running_loop().time())


# Guards against all entries reading the complete list of targets: each heartbeat of a target
# changes it, so 98 entries read it every 1.2 s. On a day without events, that made 3,882 reads and
# most of the traffic between places.
async def test_an_unchanged_list_of_targets_is_read_only_by_readers():
    async with running_fleet(entries=8) as fleet:
        await asyncio.sleep(2.0)
        before = [store_reads("targets", entry) for entry in fleet.entries]
        for beat in range(20):
            for name, target in fleet.targets.items():
                service = LLM if name.startswith("engine") else DESK
                row = target_row(service, target.address, Sequence=beat)
                fleet.store.put("servers", target.target_id, row)
            await asyncio.sleep(0.4)
        reads = [
            store_reads("targets", entry) - old
            for entry, old in zip(fleet.entries, before, strict=True)
        ]
        assert sum(count > 4 for count in reads) == 2  # the readers of their place
        assert sum(reads) < 50


async def test_new_and_leaving_targets_are_known_to_all_entries_in_time():
    async with running_fleet(entries=8) as fleet:
        await asyncio.sleep(3.0)
        target = fleet.targets["engine0"]
        row = target_row(LLM, target.address, State="draining")
        fleet.store.put("servers", target.target_id, row)
        await fleet.add_target("engine9", LLM, "10.2.0.9")
        await asyncio.sleep(1.8)
        for entry in fleet.entries:
            starts = {each.partition("/")[0] for each in entry.knowledge.targets}
            assert "i-engine9" in starts
            leaving = {each.partition("/")[0] for each in entry.knowledge.leaving}
            assert "i-engine0" in leaving


@pytest.mark.parametrize(
    ("digest", "age_s", "confirmed"),
    [(7, 0.5, True), (7, LIST_CONFIRMED_MAX_AGE_S, False), (8, 0.5, False)],
)
def test_an_entry_that_read_the_same_list_recently_confirms_it(digest, age_s, confirmed):
    other = PeerEntry("b", "hall", "10.1.0.2:7700", targets_age_s=age_s, targets_digest=digest)
    assert is_target_list_confirmed(7, [other]) is confirmed
