"""Leases on the slots of a target: to which request, in which order, and until when."""

import pytest

from lacewinggw.decisions.slots import (
    MAX_PREFILL_BACKLOG_S,
    REPORT_DELAY_S,
    SlotAllocator,
    SlotRequest,
)
from lacewinggw.decisions.targetload import LATE_SLOT_SHARE


def slot_request(rank=1, is_late=False, wait_s=1.0, prefill_s=0.0):
    return SlotRequest(rank, is_late, wait_s, prefill_s)


@pytest.fixture
def allocator():
    allocator = SlotAllocator(slots=2)
    allocator.open()
    return allocator


def fill_slots(allocator, now=0.0):
    for number in range(allocator.slots):
        allocator.enqueue(1000 + number, slot_request(), now)
    return allocator.grant(now)


def test_as_many_leases_as_slots_and_the_next_when_one_is_released(allocator):
    for lease in range(4):
        allocator.enqueue(lease, slot_request(), 0.0)
    given = allocator.grant(0.0)
    assert len(given) == 2 and allocator.taken == 2 and allocator.waiting == 2
    assert allocator.grant(0.1) == []
    allocator.release(given[0])
    assert len(allocator.grant(0.1)) == 1 and allocator.taken == 2


def test_grants_are_by_rank_then_newest_on_time_then_oldest_late(allocator):
    full = fill_slots(allocator)
    allocator.enqueue(1, slot_request(is_late=True), 0.0)
    allocator.enqueue(2, slot_request(is_late=True), 0.0)
    allocator.enqueue(3, slot_request(), 0.0)
    allocator.enqueue(4, slot_request(), 0.0)
    allocator.enqueue(5, slot_request(rank=0), 0.0)
    for lease in full:
        allocator.release(lease)
    assert allocator.grant(0.1) == [5, 4]
    allocator.slots = 9
    assert allocator.grant(0.1) == [3, 1, 2]


def test_late_requests_leave_slots_for_those_that_can_be_on_time():
    allocator = SlotAllocator(slots=10)
    allocator.open()
    for lease in range(10):
        allocator.enqueue(lease, slot_request(is_late=True), 0.0)
    assert len(allocator.grant(0.0)) == 10 * LATE_SLOT_SHARE
    allocator.enqueue(10, slot_request(), 0.0)
    assert allocator.grant(0.0) == [10]


def test_a_request_past_its_wait_is_dropped(allocator):
    full = fill_slots(allocator)
    allocator.enqueue(1, slot_request(wait_s=0.2), 0.0)
    allocator.release(full[0])
    assert allocator.grant(0.3) == [] and allocator.waiting == 0


def test_starts_are_paced_by_prefill():
    allocator = SlotAllocator(slots=8)
    allocator.open()
    for lease in range(8):
        allocator.enqueue(lease, slot_request(prefill_s=0.1), 0.0)
    assert len(allocator.grant(0.0)) == 2  # the second starts during the prefill of the first
    look_at = allocator.next_check_at(0.0)
    assert look_at is not None and 0.0 < look_at <= 0.2 - MAX_PREFILL_BACKLOG_S + 1e-9
    assert len(allocator.grant(look_at + 0.001)) == 1
    assert allocator.taken == 3


def test_nothing_is_granted_while_closed(allocator):
    full = fill_slots(allocator)
    allocator.enqueue(1, slot_request(), 0.0)
    assert allocator.close() == [1] and allocator.waiting == 0
    allocator.release(full[0])
    assert allocator.grant(0.1) == []


def test_requests_keep_their_places_while_the_target_is_silent(allocator):
    allocator.pause()
    allocator.enqueue(1, slot_request(wait_s=0.5), 0.0)
    assert allocator.grant(0.1) == [] and allocator.waiting == 1
    allocator.open()
    assert allocator.grant(0.2) == [1]
    allocator.pause()
    assert allocator.close() == [] and not allocator.is_open


def test_requests_without_a_lease_occupy_slots(allocator):
    allocator.note_report(running=2, now=0.0)
    allocator.enqueue(1, slot_request(), 0.0)
    assert allocator.grant(0.0) == []
    allocator.note_report(running=1, now=0.1)
    assert allocator.grant(0.1) == [1] and allocator.taken == 2


def test_a_lease_not_yet_reported_by_the_target_keeps_its_slot(allocator):
    fill_slots(allocator)
    allocator.note_report(running=0, now=REPORT_DELAY_S / 2)
    allocator.enqueue(1, slot_request(), REPORT_DELAY_S / 2)
    assert allocator.taken == 2 and allocator.grant(REPORT_DELAY_S / 2) == []


def test_leases_never_reported_by_the_target_lose_their_slots(allocator):
    # Guards against leases lost for good: an entry that froze right after it got its leases never
    # sent a request for them.
    fill_slots(allocator)
    now = 2 * REPORT_DELAY_S
    allocator.note_report(running=0, now=now)
    allocator.enqueue(1, slot_request(), now)
    assert allocator.grant(now) == [1]


# Guards against slots that are granted twice: a target that was silent has not read the requests
# that it was sent meanwhile, so its first report lacks them.
def test_the_first_report_after_a_pause_frees_no_slots_of_requests_sent_during_it(allocator):
    allocator.note_report(running=0, now=0.0)
    allocator.enqueue(1, slot_request(), 0.05)
    assert allocator.grant(0.05) == [1]
    allocator.note_report(running=0, now=0.1)
    allocator.enqueue(2, slot_request(), 0.3)
    assert allocator.grant(0.3) == [2]
    allocator.enqueue(3, slot_request(), 1.0)
    allocator.note_report(running=0, now=1.5)
    assert allocator.taken == 2 and allocator.grant(1.5) == []
    allocator.note_report(running=1, now=1.6)  # one of them never came
    assert allocator.taken == 1 and allocator.grant(1.6) == [3]


@pytest.mark.parametrize("running", [0, 1, 2, 5])
def test_the_count_is_correct_after_all_leases_have_ended(allocator, running):
    full = fill_slots(allocator)
    allocator.note_report(running, now=2 * REPORT_DELAY_S)
    for lease in full:
        allocator.release(lease)
        allocator.release(lease)  # a second release has no effect
    allocator.note_report(0, now=3 * REPORT_DELAY_S)
    assert allocator.taken == 0
    assert len(fill_slots(allocator, 3 * REPORT_DELAY_S)) == 2


def start_at_intervals(allocator, gap_s, count=40):
    """Start one request every `gap_s` seconds while another one waits throughout."""
    running, now = fill_slots(allocator), 0.0
    allocator.enqueue(1, slot_request(wait_s=99.0), now)
    for lease in range(2000, 2000 + count):
        now += gap_s
        allocator.enqueue(lease, slot_request(wait_s=99.0), now)
        allocator.release(running.pop(0))
        running += allocator.grant(now)
    allocator.release(1)


def waiting_after(allocator, now, *requests):
    """Return the positions of those requests that still wait after all were queued in order."""
    for lease, each in enumerate(requests):
        allocator.enqueue(lease, each, now)
    dropped = set(allocator.drop_overtaken(now))
    return [lease for lease in range(len(requests)) if lease not in dropped]


@pytest.fixture
def busy():
    """An allocator with all slots taken, one of which became free every 0.1 s."""
    allocator = SlotAllocator(slots=2)
    allocator.open()
    start_at_intervals(allocator, 0.1)
    return allocator


def test_a_request_behind_more_than_can_start_in_its_time_is_dropped(busy):
    assert waiting_after(
        busy, 4.0, slot_request(wait_s=0.25), slot_request(wait_s=0.25), slot_request(wait_s=0.25)
    ) == [
        1,
        2,
    ]


def test_the_first_in_the_queue_is_never_dropped(busy):
    assert waiting_after(busy, 4.0, slot_request(wait_s=0.01)) == [0]


def test_late_requests_stay_queued_while_they_would_start_in_time(busy):
    late = slot_request(is_late=True, wait_s=0.35)
    assert waiting_after(busy, 4.0, late, late) == [0, 1]
    busy.enqueue(9, slot_request(wait_s=0.25), 4.0)
    assert busy.drop_overtaken(4.0) == []
    busy.enqueue(10, slot_request(wait_s=0.25), 4.0)
    assert busy.drop_overtaken(4.0) == [1]


# Guards against refusals at full speed after a target was silent for a second.
def test_the_silence_of_a_target_does_not_count_as_a_gap_between_starts(busy):
    busy.note_report(running=2, now=4.0)
    busy.enqueue(2000, slot_request(wait_s=99.0), 4.0)
    busy.note_report(running=2, now=5.5)
    busy.release(next(iter(busy._leases)))
    assert busy.grant(5.6) == [2000]
    assert waiting_after(busy, 5.6, *[slot_request(wait_s=0.35)] * 3) == [0, 1, 2]


def test_a_pause_in_demand_does_not_count_as_a_gap_between_starts(busy):
    """Guards against refusals of small bursts at low load.

    The gap between starts was measured from the last start before a pause in demand.
    """
    now = 4.0
    for lease in range(3000, 3030):
        now += 5.0
        busy.enqueue(lease, slot_request(wait_s=99.0), now)
        busy.release(next(iter(busy._leases)))
        assert busy.grant(now) == [lease]
    assert waiting_after(busy, now, *[slot_request(wait_s=0.25)] * 6) == list(range(6))


def test_the_queue_may_be_long_before_any_gap_is_measured():
    allocator = SlotAllocator(slots=2)
    allocator.open()
    fill_slots(allocator)
    assert waiting_after(allocator, 0.0, *[slot_request(wait_s=0.25)] * 30) == list(range(30))


def test_a_request_that_waited_elsewhere_keeps_its_age(busy):
    older = SlotRequest(1, False, 0.25, waited_s=0.1)
    assert waiting_after(
        busy, 4.0, slot_request(wait_s=0.25), slot_request(wait_s=0.25), older
    ) == [0, 1]
