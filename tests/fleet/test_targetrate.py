"""An entry's view of a target's rate limit, and the share of it that each entry may send."""

import asyncio
import math
import random

import pytest
from lacewinggw_platform.heads import PlatformCallCodec
from limiting import EXCESS, EXTRA, SPAN_S, busiest_span

from lacewinggw.decisions.dispatch import TargetPool
from lacewinggw.decisions.ejection import EjectionRules
from lacewinggw.decisions.routereaders import LocalEntry, PeerEntry
from lacewinggw.decisions.targetlist import TargetEntry
from lacewinggw.decisions.targetload import TargetLoad
from lacewinggw.decisions.targetrate import (
    HOLDERS_PER_RATE,
    MIN_HOLDERS,
    MIN_RATE_PER_S,
    Allowance,
    LimitSource,
    TargetRate,
    choose_holders,
    entry_share,
)
from lacewinggw.frontend.calls import AnswerFacts
from lacewinggw.frontend.targetrates import TargetRates
from lacewinggw.metrics import Metrics


def test_a_limit_counts_as_changed_once_and_with_each_new_value():
    rate = TargetRate()
    assert not rate.note_answer(None, sent_at=0.0, now=0.1)
    assert rate.note_answer(1.5, sent_at=0.2, now=0.3)
    assert not rate.note_answer(1.5, sent_at=0.3, now=0.4)
    assert rate.note_answer(2.0, sent_at=0.4, now=0.5)
    assert rate.per_s == 2.0


def test_an_answer_without_a_limit_ends_it_unless_its_request_was_sent_before():
    rate = TargetRate()
    rate.note_answer(1.5, sent_at=0.0, now=1.0)
    assert not rate.note_answer(None, sent_at=0.9, now=1.1)
    assert rate.per_s == 1.5
    assert rate.note_answer(None, sent_at=1.1, now=1.2)
    assert rate.per_s is None


@pytest.mark.parametrize(
    ("headers", "per_s"),
    [
        ({"server-limit": "1.9"}, 1.9),
        ({"server-limit": "0"}, 0.0),
        ({"server-limit": " 12 "}, 12.0),
        ({"server-limit": "-1"}, None),
        ({"server-limit": "nan"}, None),
        ({"server-limit": "inf"}, None),
        ({"server-limit": "few"}, None),
        ({}, None),
    ],
)
def test_a_malformed_limit_counts_as_none(headers, per_s):
    assert PlatformCallCodec().read_answer(200, headers).limit_per_s == per_s


def test_an_update_counts_only_if_newer_by_more_than_its_delay():
    rate = TargetRate()
    rate.note_answer(1.5, sent_at=0.0, now=1.0)
    assert not rate.note_update(None, seen_at=0.9, source=LimitSource.NEAR)
    assert not rate.note_update(1.5, seen_at=1.01, source=LimitSource.NEAR)
    assert rate.source is LimitSource.ANSWER
    assert rate.note_update(None, seen_at=1.01, source=LimitSource.NEAR)
    assert (rate.per_s, rate.source) == (None, LimitSource.NEAR)


def test_an_allowance_accumulates_one_request_and_starts_empty():
    allowance = Allowance(0.5, filled_at=10.0)
    assert allowance.opens_at(11.0) == pytest.approx(12.0)
    assert not allowance.is_open(11.9)
    assert allowance.is_open(60.0)
    allowance.spend(60.0)
    assert not allowance.is_open(61.9) and allowance.is_open(62.0)
    allowance.set_share(0.0, 62.0)
    assert allowance.opens_at(90.0) == math.inf
    allowance.set_share(1.0, 90.0)
    assert allowance.opens_at(90.0) == pytest.approx(91.0)


def entries_of(count: int, places: int = 3) -> list[PeerEntry]:
    return [
        PeerEntry(f"entry-{number}", f"place-{number % places}", f"10.1.0.{number}:7700")
        for number in range(count)
    ]


@pytest.mark.parametrize("count", [1, 2, 8, 42, 98, 870])
@pytest.mark.parametrize("per_s", [0.3, 1.0, 1.9, 7.5, 60.0])
def test_the_shares_of_all_entries_add_up_to_the_limit(count, per_s):
    entries = entries_of(count)
    shares = [entry_share(each.host, "target", "place-1", per_s, entries) for each in entries]
    assert sum(shares) == pytest.approx(per_s)
    assert sum(share > 0 for share in shares) <= MIN_HOLDERS + HOLDERS_PER_RATE * per_s


def test_entries_of_the_targets_place_are_preferred():
    entries = entries_of(30)
    holders = choose_holders("target", "place-1", 2.0, entries)
    places = {each.host: each.place for each in entries}
    assert [places[host] for host in holders] == ["place-1"] * len(holders)


def test_a_target_with_limit_zero_still_gets_probe_requests():
    entries = entries_of(8)
    shares = [entry_share(each.host, "target", "place-1", 0.0, entries) for each in entries]
    assert 0.0 < sum(shares) <= MIN_RATE_PER_S


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("count", [8, 42, 98])
@pytest.mark.parametrize("per_s", [0.0, 0.5, 1.0, 1.9, 8.0, 30.0])
def test_a_burst_after_a_pause_stays_within_the_limit_and_the_accumulated_requests(
    count, per_s, seed
):
    """Entries join and leave during the run, and the shares are recomputed each time."""
    rng = random.Random(f"{seed} {count} {per_s}")
    entries = entries_of(count)
    allowances: dict[str, Allowance] = {}
    sent: list[float] = []
    now = 0.0
    while now < 40.0:
        now += 0.05
        if rng.random() < 0.01 or not allowances:
            entries.pop(rng.randrange(len(entries)))
            entries.append(PeerEntry(f"late-{now}", "place-1", "10.1.0.200:7700"))
            holders = choose_holders("target", "place-1", per_s, entries)
            for each in entries:
                share = max(per_s, MIN_RATE_PER_S) / len(holders) if each.host in holders else 0.0
                allowances.setdefault(each.host, Allowance(0.0, now)).set_share(share, now)
        if 10.0 < now < 12.0 or now > 25.0:
            for host in [host for host in holders if allowances[host].is_open(now)]:
                allowances[host].spend(now)
                sent.append(now)
    assert busiest_span(sent) <= EXCESS * per_s * SPAN_S + EXTRA


def make_target_rates(update_times: list[float]) -> tuple[TargetRates, TargetLoad]:
    """Return an entry's target limits and one target.

    `update_times` receives the time of each change that the entry would send to others at once.
    """
    pool = TargetPool("hall", EjectionRules(), random.Random(1))
    entry = TargetEntry("desk", "desk", "10.3.0.1:8080", "hall")
    pool.sync({entry.target: entry})
    now = asyncio.get_running_loop().time
    rates = TargetRates(
        pool,
        LocalEntry("entry-0", "hall"),
        lambda: [PeerEntry("entry-0", "hall", "10.1.0.1:7700")],
        lambda: False,
        lambda: update_times.append(now()),
        now,
        Metrics(),
    )
    return rates, pool.loads[entry.target]


@pytest.mark.looptime
async def test_a_limit_that_changes_with_each_answer_is_not_sent_with_each():
    update_times: list[float] = []
    rates, load = make_target_rates(update_times)
    for number in range(50):
        rates.note_answer(load, AnswerFacts("a", False, True, limit_per_s=5.0 + number), 0.0)
    assert len(update_times) == 1
    assert load.allowance is not None and load.allowance.share_per_s == 54.0
    await asyncio.sleep(0.1)
    rates.note_answer(load, AnswerFacts("a", False, True), asyncio.get_running_loop().time())
    assert len(update_times) == 2 and load.allowance is None


@pytest.mark.looptime
async def test_an_answer_without_the_targets_seal_ends_no_limit():
    rates, load = make_target_rates([])
    rates.note_answer(load, AnswerFacts("a", False, True, limit_per_s=5.0), 0.0)
    await asyncio.sleep(0.1)
    rates.note_answer(load, AnswerFacts("a", True, False), asyncio.get_running_loop().time())
    assert load.rate.per_s == 5.0
