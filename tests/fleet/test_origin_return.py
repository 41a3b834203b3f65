"""An origin of weights that goes away while a version spreads, and comes back.

A version was named, the origin went away 2.5 s later for six seconds, and no target had the version
before its bound, 13.4 s after it was named: the first was ordered to load 0.25 s after it, half two
seconds later, and callers were refused meanwhile. While the origin was away each host of the first
three in rank came to take the one before it for dead. From the third second on 24 hosts asked for
15 chunks over and over, up to ten for one of them, and all of them went on at its return, each
fetching what others fetched too: modelled, 80 chunks for 64.
"""

from dataclasses import replace

import pytest
from spread_links import CHUNKS, PLAN, RULES, LinkedHosts

HALLS = {"hall": 17, "room": 17, "shed": 16}
SLOW_ORIGIN = replace(RULES, origin_bytes_per_s=547_500, source_backoff_limit_s=0.3)
COPY_S = CHUNKS * 32768 / 547_500
AWAY_S = (2.5, 8.5)


def play(seed):
    fleet = LinkedHosts(HALLS, seed=seed, plan=PLAN, rules=SLOW_ORIGIN, origin_away=AWAY_S)
    fleet.run()
    return fleet


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_each_chunk_leaves_an_origin_that_was_away_about_once(seed):
    # Once, and a tenth for those on their way to two hosts as the origin is back.
    assert play(seed).origin_chunks <= 1.1 * CHUNKS


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_copy_is_everywhere_soon_after_the_origin_is_back(seed):
    # What is left of a copy, and then the way of the last chunks from host to host.
    rest_s = COPY_S - AWAY_S[0]
    assert max(play(seed).completed.values()) <= AWAY_S[1] + rest_s + 2.5
