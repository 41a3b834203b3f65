"""The queue before a link, told by messages whose clocks are not compared."""

import pytest

from lacewinggw.decisions.linkdelay import LinkDelay

AHEAD_S = 5000.0  # by so much the sender's clock is ahead


@pytest.fixture
def delay():
    delay = LinkDelay()
    for now in (10.0, 10.2, 10.4):
        delay.note(sent_s=now + AHEAD_S - 0.003, now=now)
    return delay


def test_an_empty_link_has_no_queue(delay):
    assert delay.now(10.4) == pytest.approx(0.0, abs=0.001)


def test_what_takes_longer_than_the_least_is_the_queue(delay):
    delay.note(sent_s=10.6 + AHEAD_S - 0.003, now=11.1)
    assert delay.now(11.1) == pytest.approx(0.5, abs=0.01)


def test_a_queue_that_is_not_heard_of_again_is_believed_gone(delay):
    delay.note(sent_s=10.6 + AHEAD_S, now=11.1)
    assert delay.now(14.1) < 0.05


def test_a_queue_that_is_gone_is_soon_known_to_be(delay):
    delay.note(sent_s=10.6 + AHEAD_S, now=11.1)
    for now in (11.2, 11.3, 11.4, 11.5):
        delay.note(sent_s=now + AHEAD_S - 0.003, now=now)
    assert delay.now(11.5) < 0.05


def test_clocks_that_drift_apart_make_no_queue():
    delay, drift = LinkDelay(), 1e-4
    for second in range(0, 100_000, 10):
        delay.note(sent_s=second * (1 - drift), now=float(second))
    assert delay.now(99_990.0) < 0.01


def test_a_sender_that_was_suspended_is_measured_anew(delay):
    delay.note(sent_s=20.0 + AHEAD_S + 7.0, now=20.0)
    delay.note(sent_s=20.2 + AHEAD_S + 7.0, now=20.2)
    assert delay.now(20.2) < 0.01
