"""Back-off from targets: how long it lasts, and how requests resume after it."""

import random

import pytest

from lacewinggw.decisions.dispatch import TargetPool, TargetRequirements
from lacewinggw.decisions.ejection import EjectionRules
from lacewinggw.decisions.targetbackoff import (
    JITTER_SHARE,
    MAX_JITTER_S,
    RefusalBackoff,
    RequestedBackoff,
)
from lacewinggw.decisions.targetlist import TargetEntry

YEAR_S = 31_536_000.0


def test_the_latest_end_of_several_back_offs_applies():
    backoff = RequestedBackoff()
    backoff.note_requested(3.0, now=10.0, jitter=0.0)
    backoff.note_requested(0.5, now=10.1, jitter=1.0)
    assert not backoff.is_over(12.9) and backoff.is_over(13.0)
    backoff.note_requested(YEAR_S, now=14.0, jitter=0.5)
    assert not backoff.is_over(14.0 + YEAR_S)
    assert backoff.is_over(14.0 + YEAR_S + MAX_JITTER_S)


def test_concurrent_trials_double_after_a_back_off():
    backoff = RequestedBackoff()
    backoff.note_requested(1.0, now=0.0, jitter=0.0)
    at_a_time = []
    for _ in range(3):
        sent = 0
        while backoff.has_trial():
            assert backoff.begin_trial()
            sent += 1
        at_a_time.append(sent)
        for _ in range(sent):
            backoff.end_trial()
        backoff.note_accepted(sent_at=1.5, slots=4)
    assert at_a_time == [1, 2, 4]
    assert backoff.has_trial() and not backoff.begin_trial()


def test_a_request_sent_before_the_back_off_is_no_trial():
    backoff = RequestedBackoff()
    backoff.note_requested(1.0, now=5.0, jitter=0.0)
    backoff.note_accepted(sent_at=4.9, slots=4)
    backoff.begin_trial()
    assert not backoff.has_trial()


@pytest.mark.parametrize("seed", range(20))
def test_no_sequence_sends_during_a_back_off_or_blocks_the_target_for_good(seed):
    rng, backoff = random.Random(seed), RequestedBackoff()
    now, bound, least, sent = 0.0, 0.0, 0.0, []
    for _ in range(400):
        now += rng.expovariate(4.0)
        match rng.choice(["ask", "send", "end", "end"]):
            case "ask" if rng.random() < 0.2:
                retry_after_s = rng.choice([0.01, 0.5, 3.0, 20.0])
                backoff.note_requested(retry_after_s, now, rng.random())
                least = max(least, now + retry_after_s)
                bound = max(
                    bound, now + retry_after_s + min(JITTER_SHARE * retry_after_s, MAX_JITTER_S)
                )
            case "send" if backoff.is_over(now) and backoff.has_trial():
                assert now >= least
                sent.append((now, backoff.begin_trial()))
            case "end" if sent:
                sent_at, is_trial = sent.pop(0)
                if is_trial:
                    backoff.end_trial()
                backoff.note_accepted(sent_at, slots=8)
    for sent_at, is_trial in sent:
        if is_trial:
            backoff.end_trial()
        backoff.note_accepted(sent_at, slots=8)
    assert backoff.is_over(bound) and backoff.has_trial()


def pool_of(*names: str, born_ms: int = 0) -> TargetPool:
    pool = TargetPool("hall", EjectionRules(), random.Random(1))
    entries = [
        TargetEntry(name, "desk", f"{name}:80", "hall", slots=2, born_ms=born_ms) for name in names
    ]
    pool.sync({entry.target: entry for entry in entries})
    return pool


def test_a_back_off_outlasts_a_target_leaving_and_rejoining_the_list():
    pool = pool_of("a")
    load = pool.loads["a"]
    pool.note_backoff(load, 3.0, now=0.0)
    entry = load.entry
    pool.sync({})
    assert not pool.may_send(load, now=9.0)
    pool.sync({"a": entry})
    assert pool.choose(pool.eligible(TargetRequirements("desk")), now=2.9) is None
    assert pool.choose(pool.eligible(TargetRequirements("desk")), now=3.4) is not None


def test_a_restarted_target_is_used_at_once():
    pool = pool_of("a", born_ms=1)
    pool.note_backoff(pool.loads["a/1"], YEAR_S, now=0.0)
    newer = TargetEntry("a", "desk", "a:80", "hall", slots=2, born_ms=2)
    pool.sync({newer.target: newer})
    assert pool.choose(pool.eligible(TargetRequirements("desk")), now=0.1) is not None


def test_the_state_kept_for_unlisted_targets_is_bounded():
    pool = pool_of("a")
    pool.note_backoff(pool.loads["a"], 3.0, now=0.0)
    for number in range(3000):
        entry = TargetEntry(f"t{number}", "desk", f"t{number}:80", "hall")
        pool.sync({entry.target: entry})
    assert len(pool._unlisted) <= 1000


def test_the_pause_doubles_with_refusals_and_is_reset_by_an_accepted_request():
    pause = RefusalBackoff()
    pauses = [pause.note_refused(sent_at=float(at), now=at + 0.1) for at in range(7)]
    assert pauses == [0.05, 0.1, 0.2, 0.4, 0.8, 0.8, 0.8]
    pause.note_accepted()
    assert pause.note_refused(sent_at=8.0, now=8.1) == 0.05


def test_concurrent_refusals_count_once():
    pause = RefusalBackoff()
    pauses = [pause.note_refused(sent_at=0.0, now=0.1 + number / 100) for number in range(5)]
    assert pauses == [0.05] * 5
