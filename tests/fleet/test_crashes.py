"""Which request it is that ends targets, by what each entry has told; a pure decision."""

import pytest

from lacewinggw.decisions.crashes import (
    MAX_REQUESTS,
    QUARANTINE_S,
    RETENTION_S,
    SETTLE_S,
    TIED_CRASHES,
    Crash,
    CrashStatus,
    CrashTracker,
)
from lacewinggw.decisions.slots import SlotAllocator, SlotRequest


def ledger_of(*crashes, start=0.0):
    """Return a ledger; each crash is a target and the requests on it, a second after the last."""
    ledger = CrashTracker()
    for number, (target, requests) in enumerate(crashes):
        at = start + number + 1.0
        for request in requests:
            ledger.note_crash(Crash(request, target, at - 0.5, at), at)
    return ledger


def verdict(*crashes):
    return ledger_of(*crashes).quarantine_culprits(len(crashes) + 2.0)


def test_three_targets_one_after_the_other_are_enough():
    assert verdict(("a", "cx"), ("b", "cy")) == []
    assert verdict(("a", "cx"), ("b", "cy"), ("d", "cz")) == ["c"]


def test_one_that_was_beside_it_twice_is_not_blamed():
    assert verdict(("a", "cx"), ("b", "cx"), ("d", "c")) == ["c"]


def test_of_two_that_were_on_the_same_targets_none_is_blamed_before_they_were_told_apart():
    same = [("a", "cx"), ("b", "cx"), ("d", "cx")]
    assert verdict(*same) == []
    assert verdict(*same, ("e", "c")) == ["c"]


def test_those_that_cannot_be_told_apart_are_all_kept_away_in_the_end():
    same = [(f"t{number}", "cx") for number in range(TIED_CRASHES)]
    assert sorted(verdict(*same)) == ["c", "x"]


def test_a_crash_that_is_explained_counts_against_nobody_else():
    ledger = ledger_of(("a", "cx"), ("b", "cx"), ("d", "c"), ("e", "cx"))
    assert ledger.quarantine_culprits(5.0) == ["c"]
    ledger.note_crash(Crash("x", "f", 5.0, 6.0), 6.0)
    assert ledger.quarantine_culprits(7.0) == []
    assert ledger.status("x", 7.0) is CrashStatus.CLEAR


def test_two_that_end_targets_are_both_found():
    crashes = [("a", "c"), ("b", "e"), ("d", "c"), ("f", "e"), ("g", "c"), ("h", "e")]
    assert sorted(verdict(*crashes)) == ["c", "e"]


def test_targets_that_end_at_one_moment_count_once():
    """A lookup that is asked for often runs on all of them as their host fails."""
    ledger = CrashTracker()
    for target in "abdef":
        ledger.note_crash(Crash("c", target, 0.5, 1.0), 1.0)
    assert ledger.quarantine_culprits(9.0) == []


def test_nothing_is_judged_before_all_have_told():
    ledger = ledger_of(("a", "c"), ("b", "c"), ("d", "c"))
    assert ledger.quarantine_culprits(3.0 + SETTLE_S - 0.01) == []
    assert ledger.quarantine_culprits(3.0 + SETTLE_S) == ["c"]


def test_it_is_looked_at_again_as_soon_as_all_have_told():
    ledger = ledger_of(("a", "c"), ("b", "c"), ("d", "c"))
    ledger.quarantine_culprits(2.0)
    assert ledger.next_check_at == pytest.approx(2.0 + SETTLE_S)
    ledger.quarantine_culprits(10.0)
    assert ledger.next_check_at == 10.0 + QUARANTINE_S


def test_one_that_was_served_is_cleared_of_what_was_before():
    ledger = ledger_of(("a", "c"), ("b", "c"))
    assert ledger.note_served("c", 2.5)
    assert not ledger.note_served("c", 2.6)
    assert not ledger.note_crash(Crash("c", "d", 1.9, 2.4), 3.0)  # told late
    assert ledger.note_crash(Crash("c", "e", 3.0, 3.1), 3.1)
    assert ledger.status("c", 4.0) is CrashStatus.CLEAR


def test_being_served_before_a_crash_says_nothing_of_it():
    ledger = ledger_of(("a", "c"), ("b", "c"), ("d", "c"))
    assert not ledger.note_served("c", 0.5)
    assert ledger.quarantine_culprits(9.0) == ["c"]


def test_what_two_entries_tell_of_one_target_counts_once():
    ledger = ledger_of(("a", "c"), ("b", "c"))
    assert not ledger.note_crash(Crash("c", "b", 1.5, 2.0), 2.1)
    assert ledger.quarantine_culprits(9.0) == []


def test_a_quarantine_ends():
    ledger = ledger_of(("a", "c"), ("b", "c"), ("d", "c"))
    ledger.quarantine_culprits(4.0)
    assert ledger.status("c", 5.0) is CrashStatus.QUARANTINED
    assert ledger.expired_quarantines(4.0 + QUARANTINE_S) == ["c"]
    assert ledger.lift_quarantine("c") and not ledger.lift_quarantine("c")
    assert ledger.status("c", 5.0) is CrashStatus.CLEAR


def test_it_remembers_no_more_than_it_may():
    ledger = CrashTracker()
    for number in range(MAX_REQUESTS + 10):
        ledger.note_crash(Crash(f"r{number}", "a", 0.5, 1.0), 1.0)
    assert len(list(ledger.crashes())) == MAX_REQUESTS
    ledger.note_crash(Crash("late", "b", RETENTION_S, RETENTION_S + 2.0), RETENTION_S + 2.0)
    assert len(list(ledger.crashes())) == 1


def test_a_slot_beside_a_suspect_is_given_to_no_other_suspect():
    """Of two that may have ended the last targets, the next end is to tell which."""
    ledger = SlotAllocator(slots=4)
    ledger.open()
    for lease, suspect in enumerate(("c", "x", None, "c")):
        ledger.enqueue(lease, SlotRequest(1, False, 5.0, suspect=suspect), 0.0)
    assert sorted(ledger.grant(0.0)) == [0, 2, 3]
    ledger.release(0)
    assert ledger.grant(0.1) == []
    ledger.release(3)
    assert ledger.grant(0.2) == [1]
