"""The queueing delay of a link, estimated without comparing the clocks of two hosts."""

import pytest

from lacewinggw.decisions.linkdelay import LinkDelay

AHEAD_S = 5000.0  # how far the sender's clock is ahead


@pytest.fixture
def delay():
    delay = LinkDelay()
    for now in (10.0, 10.2, 10.4):
        delay.note_message(sent_s=now + AHEAD_S - 0.003, now=now)
    return delay


def test_an_empty_link_has_no_delay(delay):
    assert delay.estimate(10.4) == pytest.approx(0.0, abs=0.001)


def test_latency_above_the_least_is_queueing_delay(delay):
    delay.note_message(sent_s=10.6 + AHEAD_S - 0.003, now=11.1)
    assert delay.estimate(11.1) == pytest.approx(0.5, abs=0.01)


def test_the_estimate_decays_without_messages(delay):
    delay.note_message(sent_s=10.6 + AHEAD_S, now=11.1)
    assert delay.estimate(14.1) < 0.05


def test_the_estimate_drops_with_fast_messages(delay):
    delay.note_message(sent_s=10.6 + AHEAD_S, now=11.1)
    for now in (11.2, 11.3, 11.4, 11.5):
        delay.note_message(sent_s=now + AHEAD_S - 0.003, now=now)
    assert delay.estimate(11.5) < 0.05


def test_clock_drift_is_not_taken_for_delay():
    delay, drift = LinkDelay(), 1e-4
    for second in range(0, 100_000, 10):
        delay.note_message(sent_s=second * (1 - drift), now=float(second))
    assert delay.estimate(99_990.0) < 0.01


def test_a_sender_clock_that_jumped_ahead_resets_the_least_latency(delay):
    delay.note_message(sent_s=20.0 + AHEAD_S + 7.0, now=20.0)
    delay.note_message(sent_s=20.2 + AHEAD_S + 7.0, now=20.2)
    assert delay.estimate(20.2) < 0.01
