"""Changes of the routes beyond borders that have little room left.

Operators added 2,000 routes at once. Three seconds after the store had confirmed it, entries of
two regions of three answered 404 for routes that were there ("refused with 404 as an older version
says; version 24 was acked more than 3000 ms before"), and from 24.589 to 25.498 s 26 of 27 became
unready, five seconds after the last proof that they had; the region of the store was well. The
routes are a row of half a megabyte, and a border has 14.5 Mbit/s for everything. Each entry fetched
them for itself, and a transfer not done in 0.5 to 3.2 s was cut off and begun anew, so that
the borders carried beginnings of copies for good, and nobody had a whole one.
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
REGIONS = {"hall": "north", "room": "south", "shed": "east"}  # the store stands in the north
IN_FORCE_S = 3.0  # a change that was confirmed
SHORTEST_IN_FORCE_S = 2.0  # the same where it is shortest


def grown_routes(version, extra):
    """Return routes with so many more, whose names are as hard to pack as real ones."""
    draw = random.Random(extra)
    routes = manifest(version)
    first = routes["Routes"][0]
    for _ in range(extra):
        name, host, prefix = (f"{draw.randrange(1 << 32):08x}" for _ in range(3))
        more = {"Name": name, "Host": f"{host}.example", "Prefix": f"/{prefix}/"}
        routes["Routes"].append({**first, **more})
    return routes


@asynccontextmanager
async def parted_fleet(counts, border_bytes_per_s):
    """Run entries in places whose regions are joined by narrow borders."""
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


async def test_large_routes_are_in_force_beyond_a_border_in_time():
    """A copy as it lies in the store takes 4.1 s over one border, if nothing else crosses it.

    Once they are there nothing of them crosses a border again.
    """
    routes = grown_routes(5, extra=700)
    assert 4 / 3 * len(json.dumps(routes)) > 4 * 60_000
    async with parted_fleet({"hall": 3, "room": 6, "shed": 6}, 60_000) as fleet:
        before = fleet.network.crossed_bytes("north", "south")
        await asyncio.sleep(5.0)
        usual = fleet.network.crossed_bytes("north", "south") - before
        fleet.store.put("op", "config", routes)
        for _ in range(12):
            await asyncio.sleep(IN_FORCE_S / 12)
            assert all(entry.is_ready for entry in fleet.entries)
        assert versions(fleet) == [5] * 15
        await asyncio.sleep(1.0)
        before = fleet.network.crossed_bytes("north", "south")
        await asyncio.sleep(5.0)
        assert fleet.network.crossed_bytes("north", "south") - before < 1.3 * usual


async def test_an_answer_that_keeps_coming_is_read_to_its_end():
    """One entry alone beyond the border: the routes take six seconds, and are there once."""
    routes = grown_routes(5, extra=700)
    size = 4 / 3 * len(json.dumps(routes))
    async with parted_fleet({"room": 1}, size / 6) as fleet:
        fleet.store.put("op", "config", routes)
        await asyncio.sleep(7.5)
        assert versions(fleet) == [5]


async def test_an_answer_that_stands_still_is_given_up():
    routes = grown_routes(5, extra=700)
    size = 4 / 3 * len(json.dumps(routes))
    async with parted_fleet({"room": 1}, size / 6) as fleet:
        fleet.store.put("op", "config", routes)
        await asyncio.sleep(2.0)
        fleet.network.hold(STORE_IP)
        await asyncio.sleep(2.0)
        assert fleet.entries[0]._store._followers[0].lost_since is not None


async def test_what_is_new_is_not_denied_by_an_entry_that_knows_that_it_is_behind():
    """Two entries across the border know newer routes; those take six seconds to arrive.

    Either of them told a third entry how old its own, newer routes were, and that one took it for a
    proof of the routes that it had, and answered 404 for what was new.
    """
    routes = grown_routes(5, extra=700)
    added = routes["Routes"][-1]
    async with parted_fleet({"hall": 2, "room": 1}, 12_000) as fleet:
        fleet.network.cut("10.1.0.3", STORE_IP)
        await asyncio.sleep(1.0)
        fleet.store.put("op", "config", routes)
        await asyncio.sleep(IN_FORCE_S)
        for _ in range(10):
            await asyncio.sleep(0.25)
            reply = await fleet.ask(f"{added['Prefix']}1", entry=2, Host=added["Host"], X_Key=KEY)
            assert reply.status != 404


async def test_entries_whose_readers_fall_silent_do_not_all_read_at_once():
    """Two readers of eight freeze, and nobody beyond the border answers either."""
    async with parted_fleet({"hall": 1, "room": 8}, 1_000_000) as fleet:
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


async def test_a_fleet_that_starts_anew_with_large_routes_serves_soon():
    """Power is lost everywhere while the routes are large.

    Each entry read them whole as it started: six copies over each border, one of which takes 2.5 s
    alone, and nobody beyond it was ready until all were there.
    """
    routes = grown_routes(5, extra=700)
    async with parted_fleet({"hall": 3, "room": 6, "shed": 6}, 100_000) as fleet:
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


async def test_an_agent_that_an_entry_tells_reads_no_whole_copy_of_the_routes():
    routes = grown_routes(5, extra=700)
    size = 4 / 3 * len(json.dumps(routes))
    async with parted_fleet({"hall": 1, "room": 2}, size / 8) as fleet:
        fleet.store.put("op", "config", routes)
        fleet.network.part_regions({ENGINE_IP: "south"}, size / 8)
        await asyncio.sleep(4.0)
        before = fleet.network.crossed_bytes("north", "south")
        agent = await fleet.add_agent("engine0", "room")
        await asyncio.sleep(4.0)
        assert agent.assignment.model == MODEL
        assert fleet.network.crossed_bytes("north", "south") - before < size / 3


async def test_entries_whose_informants_fall_silent_read_the_store_without_asking_all_of_them():
    """Two entries tell of newer routes and freeze; the store turned the others away until then."""
    async with parted_fleet({"hall": 2, "room": 3}, 1_000_000) as fleet:
        here = [f"10.1.0.{number}" for number in (3, 4, 5)]
        for ip in here:
            fleet.network.cut(ip, STORE_IP)
        await asyncio.sleep(0.2)
        fleet.store.put("op", "config", grown_routes(5, extra=20))
        await wait_while(
            lambda: not all(each._fetcher.is_fetching for each in fleet.entries[2:]), 0.0005
        )
        for number in (1, 2):
            fleet.network.hold(f"10.1.0.{number}")
        for ip in here:
            fleet.network.heal(ip, STORE_IP)
        await asyncio.sleep(1.3)  # one of them was given up after 0.8 s
        assert 5 in versions(fleet)[2:]
        await asyncio.sleep(SHORTEST_IN_FORCE_S - 1.3)
        assert versions(fleet)[2:] == [5] * 3
