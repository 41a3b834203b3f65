"""When an agent takes a target that does not answer for silent, and when for lost."""

from lacewinggw.decisions.targetsilence import MAX_SILENCE_S, SilenceMonitor, TargetPresence


def test_a_target_that_never_answered_is_lost():
    monitor = SilenceMonitor()
    assert monitor.presence is TargetPresence.LOST
    assert monitor.note_no_answer(waited_s=1.0, now=1.0) is TargetPresence.LOST


def test_a_target_that_lets_calls_time_out_is_silent_until_it_answers():
    monitor = SilenceMonitor()
    monitor.note_answer(now=10.0)
    assert monitor.note_no_answer(waited_s=1.0, now=11.1) is TargetPresence.SILENT
    assert monitor.note_no_answer(waited_s=1.0, now=12.2) is TargetPresence.SILENT
    monitor.note_answer(now=12.6)
    assert monitor.presence is TargetPresence.PRESENT


def test_a_target_that_breaks_off_or_refuses_a_call_is_lost_until_it_answers():
    monitor = SilenceMonitor()
    monitor.note_answer(now=10.0)
    assert monitor.note_no_answer(waited_s=0.01, now=10.1) is TargetPresence.LOST
    assert monitor.note_no_answer(waited_s=1.0, now=11.1) is TargetPresence.LOST
    monitor.note_answer(now=11.2)
    assert monitor.presence is TargetPresence.PRESENT


def test_a_target_that_stays_silent_is_lost():
    monitor = SilenceMonitor()
    monitor.note_answer(now=10.0)
    now = 10.0 + MAX_SILENCE_S
    assert monitor.note_no_answer(waited_s=1.0, now=now) is TargetPresence.SILENT
    assert monitor.note_no_answer(waited_s=1.0, now=now + 0.1) is TargetPresence.LOST
