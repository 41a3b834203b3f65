"""An origin of weights that becomes unavailable while a version is distributed, and returns.

The origin failed 2.5 s after a version was named, for six seconds, and no target had the version
within its bound, 13.4 s after it was named. The first was ordered to load 0.25 s after the bound
and half of them two seconds later; callers were refused meanwhile. During the outage each of the
first three hosts in rank concluded that the one before it was dead. From the third second on, 24
hosts requested 15 chunks repeatedly, up to ten hosts the same chunk. All continued when the origin
returned, each fetching chunks that others fetched too: in the model, 80 chunks instead of 64.
"""

from dataclasses import replace

import pytest
from spread_links import CHUNKS, PLAN, RULES, LinkedHosts

HOSTS_BY_PLACE = {"hall": 17, "room": 17, "shed": 16}
SLOW_ORIGIN = replace(RULES, origin_bytes_per_s=547_500, source_backoff_limit_s=0.3)
COPY_S = CHUNKS * 32768 / 547_500
OUTAGE_S = (2.5, 8.5)


def run_fleet(seed):
    fleet = LinkedHosts(
        HOSTS_BY_PLACE, seed=seed, plan=PLAN, rules=SLOW_ORIGIN, origin_away=OUTAGE_S
    )
    fleet.run()
    return fleet


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_an_origin_that_returns_sends_each_chunk_about_once(seed):
    # Once, plus a tenth for chunks in transit to two hosts when the origin returns.
    assert run_fleet(seed).origin_chunks <= 1.1 * CHUNKS


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_every_host_has_a_copy_soon_after_the_origin_returns(seed):
    # The rest of a copy, and then the transfer of the last chunks from host to host.
    rest_s = COPY_S - OUTAGE_S[0]
    assert max(run_fleet(seed).completed.values()) <= OUTAGE_S[1] + rest_s + 2.5
