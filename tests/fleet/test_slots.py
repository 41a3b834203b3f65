"""Leases on the slots of a target: who gets one, in which order, and when it ends."""

import pytest

from lacewinggw.decisions.slots import (
    MAX_PREFILL_BACKLOG_S,
    REPORT_DELAY_S,
    SlotAllocator,
    SlotRequest,
)
from lacewinggw.decisions.targetload import LATE_SLOT_SHARE


def wish(rank=1, is_late=False, wait_s=1.0, prefill_s=0.0):
    return SlotRequest(rank, is_late, wait_s, prefill_s)


@pytest.fixture
def ledger():
    ledger = SlotAllocator(slots=2)
    ledger.open()
    return ledger


def fill(ledger, now=0.0):
    for number in range(ledger.slots):
        ledger.enqueue(1000 + number, wish(), now)
    return ledger.grant(now)


def test_as_many_leases_as_slots_and_the_next_when_one_ends(ledger):
    for lease in range(4):
        ledger.enqueue(lease, wish(), 0.0)
    given = ledger.grant(0.0)
    assert len(given) == 2 and ledger.taken == 2 and ledger.waiting == 2
    assert ledger.grant(0.1) == []
    ledger.release(given[0])
    assert len(ledger.grant(0.1)) == 1 and ledger.taken == 2


def test_the_most_urgent_first_then_the_newest_that_can_be_on_time_then_the_oldest_late(ledger):
    full = fill(ledger)
    ledger.enqueue(1, wish(is_late=True), 0.0)
    ledger.enqueue(2, wish(is_late=True), 0.0)
    ledger.enqueue(3, wish(), 0.0)
    ledger.enqueue(4, wish(), 0.0)
    ledger.enqueue(5, wish(rank=0), 0.0)
    for lease in full:
        ledger.release(lease)
    assert ledger.grant(0.1) == [5, 4]
    ledger.slots = 9
    assert ledger.grant(0.1) == [3, 1, 2]


def test_late_ones_leave_room_for_those_that_can_be_on_time():
    ledger = SlotAllocator(slots=10)
    ledger.open()
    for lease in range(10):
        ledger.enqueue(lease, wish(is_late=True), 0.0)
    assert len(ledger.grant(0.0)) == 10 * LATE_SLOT_SHARE
    ledger.enqueue(10, wish(), 0.0)
    assert ledger.grant(0.0) == [10]


def test_who_waited_as_long_as_it_could_gets_nothing(ledger):
    full = fill(ledger)
    ledger.enqueue(1, wish(wait_s=0.2), 0.0)
    ledger.release(full[0])
    assert ledger.grant(0.3) == [] and ledger.waiting == 0


def test_prompts_start_as_they_can_be_read():
    ledger = SlotAllocator(slots=8)
    ledger.open()
    for lease in range(8):
        ledger.enqueue(lease, wish(prefill_s=0.1), 0.0)
    assert len(ledger.grant(0.0)) == 2  # the second one begins while the first is read
    look_at = ledger.next_check_at(0.0)
    assert look_at is not None and 0.0 < look_at <= 0.2 - MAX_PREFILL_BACKLOG_S + 1e-9
    assert len(ledger.grant(look_at + 0.001)) == 1
    assert ledger.taken == 3


def test_nothing_is_given_while_the_target_begins_nothing(ledger):
    full = fill(ledger)
    ledger.enqueue(1, wish(), 0.0)
    assert ledger.close() == [1] and ledger.waiting == 0
    ledger.release(full[0])
    assert ledger.grant(0.1) == []


def test_requests_without_a_lease_take_room(ledger):
    ledger.note_report(running=2, now=0.0)
    ledger.enqueue(1, wish(), 0.0)
    assert ledger.grant(0.0) == []
    ledger.note_report(running=1, now=0.1)
    assert ledger.grant(0.1) == [1] and ledger.taken == 2


def test_a_lease_that_does_not_show_at_the_target_yet_takes_its_slot(ledger):
    fill(ledger)
    ledger.note_report(running=0, now=REPORT_DELAY_S / 2)
    ledger.enqueue(1, wish(), REPORT_DELAY_S / 2)
    assert ledger.taken == 2 and ledger.grant(REPORT_DELAY_S / 2) == []


def test_leases_that_never_show_do_not_keep_their_slots(ledger):
    # An entry that was frozen right after it got its leases never sent anything.
    fill(ledger)
    now = 2 * REPORT_DELAY_S
    ledger.note_report(running=0, now=now)
    ledger.enqueue(1, wish(), now)
    assert ledger.grant(now) == [1]


@pytest.mark.parametrize("running", [0, 1, 2, 5])
def test_the_count_is_right_again_once_all_leases_have_ended(ledger, running):
    full = fill(ledger)
    ledger.note_report(running, now=2 * REPORT_DELAY_S)
    for lease in full:
        ledger.release(lease)
        ledger.release(lease)  # once more changes nothing
    ledger.note_report(0, now=3 * REPORT_DELAY_S)
    assert ledger.taken == 0
    assert len(fill(ledger, 3 * REPORT_DELAY_S)) == 2


def start_one_after_the_other(ledger, gap_s, count=40):
    """Have a request start at each step while one more waits all the time."""
    running, now = fill(ledger), 0.0
    ledger.enqueue(1, wish(wait_s=99.0), now)
    for lease in range(2000, 2000 + count):
        now += gap_s
        ledger.enqueue(lease, wish(wait_s=99.0), now)
        ledger.release(running.pop(0))
        running += ledger.grant(now)
    ledger.release(1)


def waiting_after(ledger, now, *wishes):
    """Return which of the wishes still wait once all have come, the first one first."""
    for lease, each in enumerate(wishes):
        ledger.enqueue(lease, each, now)
    dropped = set(ledger.drop_overtaken(now))
    return [lease for lease in range(len(wishes)) if lease not in dropped]


@pytest.fixture
def busy():
    """A ledger whose slots have been full, and fell free each 0.1 s."""
    ledger = SlotAllocator(slots=2)
    ledger.open()
    start_one_after_the_other(ledger, 0.1)
    return ledger


def test_who_is_overtaken_by_more_than_start_in_its_time_is_let_go(busy):
    assert waiting_after(busy, 4.0, wish(wait_s=0.25), wish(wait_s=0.25), wish(wait_s=0.25)) == [
        1,
        2,
    ]


def test_the_first_in_line_is_never_let_go(busy):
    assert waiting_after(busy, 4.0, wish(wait_s=0.01)) == [0]


def test_late_ones_wait_behind_others_while_they_start_in_their_time(busy):
    late = wish(is_late=True, wait_s=0.35)
    assert waiting_after(busy, 4.0, late, late) == [0, 1]
    busy.enqueue(9, wish(wait_s=0.25), 4.0)
    assert busy.drop_overtaken(4.0) == []
    busy.enqueue(10, wish(wait_s=0.25), 4.0)
    assert busy.drop_overtaken(4.0) == [1]


def test_a_pause_in_demand_says_nothing_of_how_fast_slots_fall_free(busy):
    """Clumps of a calm hour were refused: the pace was taken from the start before the pause."""
    now = 4.0
    for lease in range(3000, 3030):
        now += 5.0
        busy.enqueue(lease, wish(wait_s=99.0), now)
        busy.release(next(iter(busy._leases)))
        assert busy.grant(now) == [lease]
    assert waiting_after(busy, now, *[wish(wait_s=0.25)] * 6) == list(range(6))


def test_a_line_that_moves_fast_may_be_long():
    ledger = SlotAllocator(slots=2)
    ledger.open()
    fill(ledger)
    assert waiting_after(ledger, 0.0, *[wish(wait_s=0.25)] * 30) == list(range(30))


def test_one_that_waited_elsewhere_keeps_its_age(busy):
    older = SlotRequest(1, False, 0.25, waited_s=0.1)
    assert waiting_after(busy, 4.0, wish(wait_s=0.25), wish(wait_s=0.25), older) == [0, 1]
