"""Guards against retries beyond the fleet's limit after entries restart.

A process that started had its whole part of the extra retries at once, whatever its predecessor had
spent.
"""

import asyncio

import pytest
from declared_fleet import running_fleet
from retrying import (
    PLAIN_PATH,
    STREAM_PATH,
    add_refusing_targets,
    most_excess_retries,
    now,
    repeat_times,
    restart_all,
    restart_entry,
    send_load,
)

pytestmark = pytest.mark.looptime

LOAD_S = 22.0
LEAST_RETRIES = 100  # in the whole load; without them the limit is kept by refusing to retry


async def restart_in_turn(fleet):
    for number in range(len(fleet.entries)):
        await restart_entry(fleet, number, down_s=0.1)
        await asyncio.sleep(0.3)


async def restart_together(fleet):
    await restart_all(fleet)


async def restart_together_twice(fleet):
    await restart_all(fleet)
    await asyncio.sleep(3.0)
    await restart_all(fleet)


async def restart_one_often(fleet):
    for _ in range(6):
        await restart_entry(fleet, 0)
        await asyncio.sleep(1.5)


async def add_as_many(fleet):
    fleet.is_first_start = False
    for number in range(len(fleet.entries) + 1, 2 * len(fleet.entries) + 1):
        await fleet.add_entry(number)


async def do_nothing(fleet):
    await asyncio.sleep(0.0)


@pytest.mark.parametrize(
    ("entries", "disturb", "path"),
    [
        (6, do_nothing, PLAIN_PATH),
        (6, restart_in_turn, PLAIN_PATH),
        (6, restart_in_turn, STREAM_PATH),
        (6, restart_together, PLAIN_PATH),
        (6, restart_together_twice, PLAIN_PATH),
        (6, restart_one_often, PLAIN_PATH),
        (6, add_as_many, PLAIN_PATH),
        (24, restart_together, PLAIN_PATH),
    ],
)
async def test_restarted_entries_keep_the_retries_of_the_fleet_within_their_limit(
    path, entries, disturb
):
    async with running_fleet(desks=0, engines=0, entries=entries) as fleet:
        await add_refusing_targets(fleet, path, share=0.9)
        playing = asyncio.ensure_future(send_load(fleet, path, LOAD_S))
        began = now()
        await asyncio.sleep(8.0)
        await disturb(fleet)
        sent_at = await playing
        assert most_excess_retries(fleet, sent_at) <= 0
        assert len([at for at in repeat_times(fleet) if at >= began]) >= LEAST_RETRIES
