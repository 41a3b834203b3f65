"""Detection of the request that crashes targets, from the reports of all entries."""

import pytest

from lacewinggw.decisions.contents import make_part_content
from lacewinggw.decisions.crashes import (
    QUARANTINE_S,
    SETTLE_S,
    TIED_CRASHES,
    CrashStatus,
    CrashTracker,
)
from lacewinggw.decisions.crashrecords import MAX_CONTENTS, MAX_REQUESTS, RETENTION_S, Crash
from lacewinggw.decisions.slots import SlotAllocator, SlotRequest
from lacewinggw.frontend.crashupdates import CrashReport, merge_report


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
    assert len(list(tracker.records.reports())) == MAX_REQUESTS
    tracker.note_crash(Crash("late", "b", RETENTION_S, RETENTION_S + 2.0), RETENTION_S + 2.0)
    assert len(list(tracker.records.reports())) == 1


def test_recorded_contents_are_bounded_for_prompts_of_many_parts():
    tracker = CrashTracker()
    parts = 31
    for number in range(MAX_CONTENTS // (parts + 1) + 10):
        own = tuple(f"part:m:{number}-{part}" for part in range(parts))
        tracker.note_crash(Crash(f"r{number}", "a", 0.5, 1.0, own), 1.0)
    assert len(list(tracker.records.contents)) == MAX_CONTENTS


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


# ---- parts of prompts -----------------------------------------------------------------------

COMMON, OTHER, CRASHING = "part:m:f0", "part:m:0e", "part:m:dead"


def part_tracker(*crashes, gap_s=1.0):
    """Return a tracker; each crash lists the requests on a target, each with its parts."""
    tracker = CrashTracker()
    for number, requests in enumerate(crashes):
        at = (number + 1) * gap_s
        for request, parts in requests.items():
            tracker.note_crash(Crash(request, f"t{number}", at - 0.5 * gap_s, at, parts), at)
    return tracker


def sound_and_crashing(number):
    """Return requests on one target: two sound ones, and one with the crashing part."""
    return {
        f"s{number}a": (COMMON, OTHER),
        f"s{number}b": (COMMON, OTHER),
        f"c{number}": (COMMON, CRASHING),
    }


def test_a_part_of_different_requests_is_quarantined():
    tracker = part_tracker(*(sound_and_crashing(number) for number in range(3)))
    tracker.note_served(OTHER, 0.1)
    assert tracker.quarantine_culprits(4.0) == [CRASHING]
    assert tracker.status(COMMON, 4.0) is CrashStatus.CLEAR


def test_parts_of_different_requests_on_the_same_targets_are_undecided_until_one_is_served():
    tracker = part_tracker(*(sound_and_crashing(number) for number in range(2 * TIED_CRASHES)))
    assert tracker.quarantine_culprits(19.0) == []
    tracker.note_served(OTHER, 19.5)
    tracker.note_crash(Crash("c", "t", 19.6, 20.0, (CRASHING,)), 20.0)
    assert tracker.quarantine_culprits(21.0) == [CRASHING]


def test_a_part_that_all_prompts_have_is_never_preferred_to_a_more_specific_one():
    """Nothing has been served since, and the common part was on a crash of its own as well."""
    both = [{f"s{number}": (COMMON,), f"c{number}": (COMMON, CRASHING)} for number in range(5)]
    assert part_tracker(*both, {"s": (COMMON,)}).quarantine_culprits(9.0) == [CRASHING]


def test_a_part_that_was_served_before_needs_more_crashes_and_others_served():
    requests = [{f"r{number}": (CRASHING,)} for number in range(TIED_CRASHES)]
    tracker = part_tracker(*requests[:3])
    assert tracker.note_served(CRASHING, 0.1)  # an entry had seen it served
    assert tracker.quarantine_culprits(4.0) == []
    tracker = part_tracker(*requests)
    assert tracker.note_served(CRASHING, 0.1)
    assert tracker.quarantine_culprits(9.0) == []
    tracker.note_service(["s", OTHER], 3.0)
    assert tracker.note_crash(Crash("r9", "t9", 9.5, 10.0, (CRASHING,)), 10.0)
    assert tracker.quarantine_culprits(11.0) == [CRASHING]


def test_a_part_that_is_served_again_is_cleared_and_its_requests_are_not():
    tracker = part_tracker(*(sound_and_crashing(number) for number in range(2)))
    assert tracker.note_served(CRASHING, 5.0)
    assert tracker.status(CRASHING, 5.0) is CrashStatus.CLEAR
    assert tracker.crash_count("c0") == 1 and tracker.crash_count(CRASHING) == 0


def test_the_id_of_a_part_is_short_for_any_name_of_a_model():
    """It is a key in the store, which rejects long ones, and with it all rows behind it."""
    assert len(make_part_content("m" * 3000, "f" * 64)) < 150


def test_an_entry_that_starts_learns_which_parts_were_served():
    """Otherwise it suspects every request with a common part until a target serves one."""
    known = part_tracker(*(sound_and_crashing(number) for number in range(2)))
    assert known.note_served(COMMON, 5.0)
    started = CrashTracker()
    merge_report(started, CrashReport.from_ledger(known), 6.0)
    assert (started.crash_count(COMMON), started.crash_count(CRASHING)) == (0, 2)
    assert started.records.was_served(COMMON)


def test_parts_that_always_come_together_are_all_quarantined_in_the_end():
    both = [{f"r{number}": (CRASHING, OTHER)} for number in range(TIED_CRASHES)]
    assert part_tracker(*both[:-1]).quarantine_culprits(9.0) == []
    assert sorted(part_tracker(*both).quarantine_culprits(9.0)) == sorted([CRASHING, OTHER])


def test_a_repeated_request_is_quarantined_before_its_parts():
    tracker = part_tracker(*({"r": (COMMON, CRASHING)} for _ in range(3)))
    assert tracker.quarantine_culprits(4.0) == ["r"]
    assert tracker.status(CRASHING, 4.0) is CrashStatus.CLEAR


def test_a_part_is_quarantined_after_one_of_its_requests_at_the_next_crash():
    """Its crashes are explained by that request, but the next one is not."""
    tracker = part_tracker(*({"r": (COMMON, CRASHING)} for _ in range(3)))
    assert tracker.quarantine_culprits(4.0) == ["r"]
    assert tracker.note_crash(Crash("q", "t9", 4.5, 5.0, (COMMON, CRASHING)), 5.0)
    tracker.note_served(COMMON, 5.1)
    assert tracker.quarantine_culprits(6.0) == [CRASHING]


def test_a_part_of_most_requests_is_not_quarantined_when_all_targets_crash():
    tracker = part_tracker(
        *({f"r{target}{number}": (COMMON,) for number in range(4)} for target in range(9))
    )
    assert tracker.quarantine_culprits(19.0) == []


def test_crashes_that_an_expired_quarantine_explained_do_not_count_against_others():
    both = [{f"s{number}": (COMMON,), f"c{number}": (COMMON, CRASHING)} for number in range(3)]
    tracker = part_tracker(*both)
    assert tracker.quarantine_culprits(4.0) == [CRASHING]
    tracker.lift_quarantine(CRASHING)
    assert tracker.is_empty


def test_the_crashes_that_a_store_lists_do_not_count_twice():
    tracker = part_tracker(*({f"r{number}": (CRASHING,)} for number in range(2)))
    for number in range(2):
        assert not tracker.note_crash(Crash(CRASHING, f"t{number}", 8.0, 8.1), 9.0)
    assert tracker.records.crashes_of(CRASHING)["t0"].requests.keys() == {"r0"}
