"""Changes of large routes across slow links between regions (borders).

Guards against fetching one copy of the routes per entry. The routes were a row of 0.5 MB after
operators had added 2,000 of them, and a border had 14.5 Mbit/s in total. Each entry fetched its own
copy and restarted transfers that took more than 0.5 to 3.2 s, so the borders carried only partial
copies. 3 s after the store's confirmation, entries in two of three regions answered 404 for
existing routes ("refused with 404 as an older version says; version 24 was acked more than 3000 ms
before"). From 24.589 to 25.498 s, 26 of 27 entries became unready, 5 s after the last confirmation
that their routes were current. The region of the store was not affected.
"""

import asyncio
import json
import random
from contextlib import asynccontextmanager

import pytest
from declared_fleet import running_fleet, store_reads
from platform_standins import KEY, MODEL, manifest

from lacewinggw.decisions.routereaders import reader_sort_key
from lacewinggw.lab.standin import wait_while

pytestmark = pytest.mark.looptime

STORE_IP = "10.9.0.1"
ENGINE_IP = "10.2.0.1"
REGIONS = {"hall": "north", "room": "south", "shed": "east"}  # the store is in the north
IN_FORCE_S = 3.0  # the bound for a confirmed change
SHORTEST_IN_FORCE_S = 2.0  # the shortest value of the same bound


def large_routes(version, extra):
    """Return routes with `extra` more, whose random names compress as poorly as real ones."""
    draw = random.Random(extra)
    routes = manifest(version)
    first = routes["Routes"][0]
    for _ in range(extra):
        name, host, prefix = (f"{draw.randrange(1 << 32):08x}" for _ in range(3))
        more = {"Name": name, "Host": f"{host}.example", "Prefix": f"/{prefix}/"}
        routes["Routes"].append({**first, **more})
    return routes


@asynccontextmanager
async def regional_fleet(counts, border_bytes_per_s):
    """Run entries in places whose regions are connected by slow borders."""
    places = [place for place, count in counts.items() for _ in range(count)]
    async with running_fleet(entries=0) as fleet:
        regions = {f"10.1.0.{number}": REGIONS[place] for number, place in enumerate(places, 1)}
        fleet.network.part_regions({STORE_IP: "north", **regions}, border_bytes_per_s)
        for number, place in enumerate(places, 1):
            await fleet.add_entry(number, place)
        await asyncio.sleep(6.0)
        yield fleet


def versions(fleet):
    tables = [entry.knowledge.routes for entry in fleet.entries]
    return [table.version if table is not None else 0 for table in tables]


async def test_large_routes_are_in_force_across_a_border_in_time():
    """A copy in the format of the store takes 4.1 s over an otherwise idle border.

    After the routes have arrived, no part of them crosses a border again.
    """
    routes = large_routes(5, extra=700)
    assert 4 / 3 * len(json.dumps(routes)) > 4 * 60_000
    async with regional_fleet({"hall": 3, "room": 6, "shed": 6}, 60_000) as fleet:
        before = fleet.network.crossed_bytes("north", "south")
        await asyncio.sleep(5.0)
        baseline = fleet.network.crossed_bytes("north", "south") - before
        fleet.store.put("op", "config", routes)
        for _ in range(12):
            await asyncio.sleep(IN_FORCE_S / 12)
            assert all(entry.is_ready for entry in fleet.entries)
        assert versions(fleet) == [5] * 15
        await asyncio.sleep(1.0)
        before = fleet.network.crossed_bytes("north", "south")
        await asyncio.sleep(5.0)
        assert fleet.network.crossed_bytes("north", "south") - before < 1.3 * baseline


async def test_a_slow_answer_that_makes_progress_is_read_to_its_end():
    """With one entry across the border, the routes take 6 s and arrive in one transfer."""
    routes = large_routes(5, extra=700)
    size = 4 / 3 * len(json.dumps(routes))
    async with regional_fleet({"room": 1}, size / 6) as fleet:
        fleet.store.put("op", "config", routes)
        await asyncio.sleep(7.5)
        assert versions(fleet) == [5]


async def test_a_stalled_answer_is_abandoned():
    routes = large_routes(5, extra=700)
    size = 4 / 3 * len(json.dumps(routes))
    async with regional_fleet({"room": 1}, size / 6) as fleet:
        fleet.store.put("op", "config", routes)
        await asyncio.sleep(2.0)
        fleet.network.hold(STORE_IP)
        await asyncio.sleep(2.0)
        assert fleet.entries[0]._store._followers[0].lost_since is not None


async def test_an_entry_with_outdated_routes_does_not_deny_new_ones():
    """Two entries across the border have newer routes, which take 6 s to arrive.

    Guards against an entry that takes the reported age of a peer's newer routes as confirmation of
    its own older routes, and answers 404 for new routes.
    """
    routes = large_routes(5, extra=700)
    added = routes["Routes"][-1]
    async with regional_fleet({"hall": 2, "room": 1}, 12_000) as fleet:
        fleet.network.cut("10.1.0.3", STORE_IP)
        await asyncio.sleep(1.0)
        fleet.store.put("op", "config", routes)
        await asyncio.sleep(IN_FORCE_S)
        for _ in range(10):
            await asyncio.sleep(0.25)
            response = await fleet.ask(
                f"{added['Prefix']}1", entry=2, Host=added["Host"], X_Key=KEY
            )
            assert response.status != 404


async def test_entries_do_not_all_read_at_once_when_their_readers_hang():
    """Two readers of eight entries hang, and no entry across the border answers either."""
    async with regional_fleet({"hall": 1, "room": 8}, 1_000_000) as fleet:
        here = sorted(range(2, 10), key=lambda number: reader_sort_key(f"entry-{number}"))
        rest = here[2:]
        for number in here:
            fleet.network.cut("10.1.0.1", f"10.1.0.{number}")
        for number in here[:2]:
            fleet.network.hold(f"10.1.0.{number}")
        before = {
            number: store_reads("configuration", fleet.entries[number - 1]) for number in rest
        }
        for _ in range(100):
            await asyncio.sleep(0.1)
            assert all(fleet.entries[number - 1].is_ready for number in rest)
        reading = [
            each
            for each in rest
            if store_reads("configuration", fleet.entries[each - 1]) > before[each]
        ]
        assert len(reading) <= 3, reading


async def test_a_restarted_fleet_with_large_routes_serves_soon():
    """All entries restart at once while the routes are large, as after a power failure.

    Guards against one full copy per starting entry: six copies crossed each border, one alone takes
    2.5 s, and no entry across the border was ready until all had arrived.
    """
    routes = large_routes(5, extra=700)
    async with regional_fleet({"hall": 3, "room": 6, "shed": 6}, 100_000) as fleet:
        fleet.store.put("op", "config", routes)
        await asyncio.sleep(4.0)
        before = [*fleet.entries]
        fleet.entries.clear()
        for entry in before:
            await entry.close()
        await asyncio.gather(
            *(fleet.add_entry(number, entry._place) for number, entry in enumerate(before, start=1))
        )
        await asyncio.sleep(2.5)
        assert versions(fleet) == [5] * 15
        assert all(entry.is_ready for entry in fleet.entries)


async def test_an_agent_updated_by_an_entry_reads_no_full_copy_of_the_routes():
    routes = large_routes(5, extra=700)
    size = 4 / 3 * len(json.dumps(routes))
    async with regional_fleet({"hall": 1, "room": 2}, size / 8) as fleet:
        fleet.store.put("op", "config", routes)
        fleet.network.part_regions({ENGINE_IP: "south"}, size / 8)
        await asyncio.sleep(4.0)
        before = fleet.network.crossed_bytes("north", "south")
        agent = await fleet.add_agent("engine0", "room")
        await asyncio.sleep(4.0)
        assert agent.assignment.model == MODEL
        assert fleet.network.crossed_bytes("north", "south") - before < size / 3


async def test_entries_read_the_store_when_the_announcing_peers_hang():
    """Two entries announce newer routes and hang; until then the store rejects the others."""
    async with regional_fleet({"hall": 2, "room": 3}, 1_000_000) as fleet:
        here = [f"10.1.0.{number}" for number in (3, 4, 5)]
        for ip in here:
            fleet.network.cut(ip, STORE_IP)
        await asyncio.sleep(0.2)
        fleet.store.put("op", "config", large_routes(5, extra=20))
        await wait_while(
            lambda: not all(each._fetcher.is_fetching for each in fleet.entries[2:]), 0.0005
        )
        for number in (1, 2):
            fleet.network.hold(f"10.1.0.{number}")
        for ip in here:
            fleet.network.heal(ip, STORE_IP)
        await asyncio.sleep(1.3)  # the request to one of them is abandoned after 0.8 s
        assert 5 in versions(fleet)[2:]
        await asyncio.sleep(SHORTEST_IN_FORCE_S - 1.3)
        assert versions(fleet)[2:] == [5] * 3
