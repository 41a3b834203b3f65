"""Detection of the request that crashes targets, from the reports of all entries."""

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


def tracker_of(*crashes, start=0.0):
    """Return a tracker; each crash is a target and the requests on it, at intervals of 1 s."""
    tracker = CrashTracker()
    for number, (target, requests) in enumerate(crashes):
        at = start + number + 1.0
        for request in requests:
            tracker.note_crash(Crash(request, target, at - 0.5, at), at)
    return tracker


def culprits_of(*crashes):
    return tracker_of(*crashes).quarantine_culprits(len(crashes) + 2.0)


def test_three_sequential_crashes_quarantine_a_request():
    assert culprits_of(("a", "cx"), ("b", "cy")) == []
    assert culprits_of(("a", "cx"), ("b", "cy"), ("d", "cz")) == ["c"]


def test_a_request_that_shared_two_crashes_is_not_quarantined():
    assert culprits_of(("a", "cx"), ("b", "cx"), ("d", "c")) == ["c"]


def test_two_requests_on_the_same_targets_are_not_quarantined_until_they_differ():
    same = [("a", "cx"), ("b", "cx"), ("d", "cx")]
    assert culprits_of(*same) == []
    assert culprits_of(*same, ("e", "c")) == ["c"]


def test_tied_requests_are_all_quarantined_in_the_end():
    same = [(f"t{number}", "cx") for number in range(TIED_CRASHES)]
    assert sorted(culprits_of(*same)) == ["c", "x"]


def test_an_explained_crash_does_not_count_against_other_requests():
    tracker = tracker_of(("a", "cx"), ("b", "cx"), ("d", "c"), ("e", "cx"))
    assert tracker.quarantine_culprits(5.0) == ["c"]
    tracker.note_crash(Crash("x", "f", 5.0, 6.0), 6.0)
    assert tracker.quarantine_culprits(7.0) == []
    assert tracker.status("x", 7.0) is CrashStatus.CLEAR


def test_two_culprits_are_both_found():
    crashes = [("a", "c"), ("b", "e"), ("d", "c"), ("f", "e"), ("g", "c"), ("h", "e")]
    assert sorted(culprits_of(*crashes)) == ["c", "e"]


def test_targets_that_crash_together_count_once():
    """A frequently repeated lookup may be running on all targets of a host that fails."""
    tracker = CrashTracker()
    for target in "abdef":
        tracker.note_crash(Crash("c", target, 0.5, 1.0), 1.0)
    assert tracker.quarantine_culprits(9.0) == []


def test_crashes_count_only_after_the_settling_time():
    tracker = tracker_of(("a", "c"), ("b", "c"), ("d", "c"))
    assert tracker.quarantine_culprits(3.0 + SETTLE_S - 0.01) == []
    assert tracker.quarantine_culprits(3.0 + SETTLE_S) == ["c"]


def test_the_next_check_is_at_the_end_of_the_settling_time():
    tracker = tracker_of(("a", "c"), ("b", "c"), ("d", "c"))
    tracker.quarantine_culprits(2.0)
    assert tracker.next_check_at == pytest.approx(2.0 + SETTLE_S)
    tracker.quarantine_culprits(10.0)
    assert tracker.next_check_at == 10.0 + QUARANTINE_S


def test_a_served_request_is_cleared_of_earlier_crashes():
    tracker = tracker_of(("a", "c"), ("b", "c"))
    assert tracker.note_served("c", 2.5)
    assert not tracker.note_served("c", 2.6)
    assert not tracker.note_crash(Crash("c", "d", 1.9, 2.4), 3.0)  # a late report
    assert tracker.note_crash(Crash("c", "e", 3.0, 3.1), 3.1)
    assert tracker.status("c", 4.0) is CrashStatus.CLEAR


def test_being_served_before_the_crashes_does_not_clear_a_request():
    tracker = tracker_of(("a", "c"), ("b", "c"), ("d", "c"))
    assert not tracker.note_served("c", 0.5)
    assert tracker.quarantine_culprits(9.0) == ["c"]


def test_two_reports_on_one_target_count_once():
    tracker = tracker_of(("a", "c"), ("b", "c"))
    assert not tracker.note_crash(Crash("c", "b", 1.5, 2.0), 2.1)
    assert tracker.quarantine_culprits(9.0) == []


def test_a_quarantine_expires_and_can_be_lifted():
    tracker = tracker_of(("a", "c"), ("b", "c"), ("d", "c"))
    tracker.quarantine_culprits(4.0)
    assert tracker.status("c", 5.0) is CrashStatus.QUARANTINED
    assert tracker.expired_quarantines(4.0 + QUARANTINE_S) == ["c"]
    assert tracker.lift_quarantine("c") and not tracker.lift_quarantine("c")
    assert tracker.status("c", 5.0) is CrashStatus.CLEAR


def test_recorded_crashes_are_bounded_in_number_and_age():
    tracker = CrashTracker()
    for number in range(MAX_REQUESTS + 10):
        tracker.note_crash(Crash(f"r{number}", "a", 0.5, 1.0), 1.0)
    assert len(list(tracker.crashes())) == MAX_REQUESTS
    tracker.note_crash(Crash("late", "b", RETENTION_S, RETENTION_S + 2.0), RETENTION_S + 2.0)
    assert len(list(tracker.crashes())) == 1


def test_two_suspects_never_share_a_target():
    """After the next crash it must be clear which of two suspects caused it."""
    allocator = SlotAllocator(slots=4)
    allocator.open()
    for lease, suspect in enumerate(("c", "x", None, "c")):
        allocator.enqueue(lease, SlotRequest(1, False, 5.0, suspect=suspect), 0.0)
    assert sorted(allocator.grant(0.0)) == [0, 2, 3]
    allocator.release(0)
    assert allocator.grant(0.1) == []
    allocator.release(3)
    assert allocator.grant(0.2) == [1]
