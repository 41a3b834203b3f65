"""Targets that name a limit of requests a second get no more than that, whichever entries ask."""

import pytest
from declared_fleet import running_fleet
from limiting import add_limited_engines, now, play, require_limit_kept

pytestmark = pytest.mark.looptime


# Two of fifteen targets named 1 and 1.9 requests a second and got as many as before.
async def test_a_limit_that_a_target_names_holds_for_all_entries_together():
    async with running_fleet(desks=0, engines=0, entries=0) as fleet:
        for number in range(8):
            await fleet.add_entry(number + 1, ("hall", "room", "shed")[number % 3])
        await add_limited_engines(fleet, 9, [1.0, 1.9])
        named_at = now()
        played = await play(fleet, seconds=14.0, per_s=50.0)
        require_limit_kept(fleet.targets["engine0"], 1.0, named_at, played)
        require_limit_kept(fleet.targets["engine1"], 1.9, named_at, played)
