"""Guards against a prompt part that crashes every target: one crashed 48 targets in a minute.

Requests were identified as a whole, and no two with the part were alike, so nothing connected one
with the crashes under another.
"""

import pytest
from crashing import (
    ALLOWED_LATER,
    add_engines,
    crash_times,
    late_part_arrivals,
    play,
    served_share,
)
from declared_fleet import running_fleet

pytestmark = pytest.mark.looptime

MIN_SERVED_SHARE = 0.5  # of other requests with the same account and first part


@pytest.mark.parametrize(
    ("entries", "crashing_per_s", "part_at"), [(6, 0.8, 0), (6, 3.0, 1), (6, 8.0, 2), (24, 3.0, 1)]
)
async def test_requests_with_a_crashing_part_are_quarantined(entries, crashing_per_s, part_at):
    async with running_fleet(desks=0, engines=0, entries=entries) as fleet:
        await add_engines(fleet, 9)
        played = await play(fleet, 20.0, crashing_per_s, 12.0, part_at=part_at)
        assert len(late_part_arrivals(fleet)) <= ALLOWED_LATER, crash_times(fleet)
        assert served_share(fleet, played) >= MIN_SERVED_SHARE
