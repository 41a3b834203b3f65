"""Outages of the store: how soon its return is noticed, and the entries' view meanwhile."""

import asyncio

import pytest
from declared_fleet import running_fleet
from platform_standins import BORN_MS, manifest, target_row

from lacewinggw.decisions.targetlist import make_target_id
from lacewinggw.lab.standin import Outage

pytestmark = pytest.mark.looptime

NOTICED_S = 1.5  # the timeout of a call sent just before the return, and a retry pause
AWAY_S = 8.0


@pytest.mark.parametrize("outage", [Outage.REFUSE, Outage.CUT, Outage.HANG])
@pytest.mark.parametrize("extra_s", [0.0, 0.3, 0.7, 1.1, 2.3, 3.9])
async def test_all_topics_are_followed_again_soon_after_the_return(outage, extra_s):
    async with running_fleet() as fleet:
        fleet.store.faults.outage = outage
        await asyncio.sleep(AWAY_S + extra_s)
        fleet.store.faults.outage = Outage.NONE
        fleet.store.put("op", "config", manifest(9))
        fleet.store.put("servers", "i-desk0", target_row("desk", "10.3.0.1:8080", State="draining"))
        await asyncio.sleep(NOTICED_S)
        knowledge = fleet.entries[0].knowledge
        assert knowledge.routes.version == 9
        assert make_target_id("i-desk0", BORN_MS) in knowledge.leaving
        assert (await fleet.ask("/sheet/1")).status == 200


async def test_an_entry_cut_off_from_the_store_learns_which_targets_left_meanwhile():
    """This includes a target that is already off the list: entries that saw it leave report it."""
    async with running_fleet(desks=2, entries=3) as fleet:
        fleet.network.cut("10.1.0.1", "10.9.0.1")
        await asyncio.sleep(3.0)
        fleet.store.put("servers", "i-desk0", target_row("desk", "10.3.0.1:8080", State="draining"))
        await asyncio.sleep(0.01)
        fleet.store.put("servers", "i-desk0", None)
        await asyncio.sleep(2.0)
        knowledge = fleet.entries[0].knowledge
        assert make_target_id("i-desk0", BORN_MS) in knowledge.leaving


async def test_a_delisted_target_is_dropped_in_time_after_an_outage():
    """An entry knows which targets vanished three seconds after the store accepts it again."""
    async with running_fleet(desks=2, entries=1) as fleet:
        fleet.store.faults.outage = Outage.REFUSE
        await asyncio.sleep(AWAY_S)
        fleet.store.put("servers", "i-desk0", None)
        fleet.store.faults.outage = Outage.NONE
        await asyncio.sleep(2.9)
        assert make_target_id("i-desk0", BORN_MS) not in fleet.entries[0].knowledge.targets


@pytest.mark.parametrize("is_alone", [False, True])
async def test_a_starting_entry_does_not_make_others_overestimate_the_age_of_a_version(
    is_alone,
):
    """A version is written while the store hangs, and an entry starts after the store is back.

    If it reaches other entries only later, its age of the version is a guess; otherwise they send
    the age.
    """
    others = [f"10.1.0.{number}" for number in (1, 2, 3)]
    async with running_fleet(entries=3) as fleet:
        await asyncio.sleep(5.0)
        fleet.store.faults.outage = Outage.HANG
        await asyncio.sleep(2.0)
        fleet.store.put("op", "version/market", {"Model": "market", "Version": 2})
        await asyncio.sleep(AWAY_S - 2.0)
        fleet.store.faults.outage = Outage.NONE
        returned_at = asyncio.get_running_loop().time()
        for other in others:
            if is_alone:
                fleet.network.cut("10.1.0.4", other)
        await fleet.add_entry(4)
        await asyncio.sleep(1.0)
        for other in others:
            fleet.network.heal("10.1.0.4", other)
        await asyncio.sleep(3.0)
        for entry in fleet.entries[:3]:
            (_, due), *_ = entry.knowledge.all_required_versions
            assert due.version == 2 and due.received_at >= returned_at - 0.1
        (_, due), *_ = fleet.entries[3].knowledge.all_required_versions
        assert due.version == 2
        assert due.is_guess if is_alone else due.received_at >= returned_at - 0.1


@pytest.mark.parametrize("outage", [Outage.REFUSE, Outage.CUT])
async def test_one_topic_probes_for_all_while_the_store_rejects_an_entry(outage):
    """Guards against each of three topics calling the store every 0.5 s during an outage.

    Rejected calls were then the largest cost of an outage. One call every 0.5 s on average, and at
    most 0.75 s apart, is enough to notice the return in time.
    """
    async with running_fleet(entries=1) as fleet:
        await asyncio.sleep(5.0)
        asked = []
        handle = fleet.store._answer_or_fail
        fleet.store._answer_or_fail = lambda request: (asked.append(request.path), handle(request))[
            1
        ]
        fleet.store.faults.outage = outage
        await asyncio.sleep(4.0)
        asked.clear()
        await asyncio.sleep(10.0)
        assert len(asked) <= 10 / 0.5 * 1.25, len(asked)
