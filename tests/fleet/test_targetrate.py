"""What is believed of a target's limit: answers overtake each other."""

import pytest
from lacewinggw_platform.heads import PlatformHeads

from lacewinggw.decisions.targetrate import TargetRate


def test_a_limit_is_new_once_and_when_it_changes():
    rate = TargetRate()
    assert not rate.note_answer(None, asked_at=0.0, now=0.1)
    assert rate.note_answer(1.5, asked_at=0.2, now=0.3)
    assert not rate.note_answer(1.5, asked_at=0.3, now=0.4)
    assert rate.note_answer(2.0, asked_at=0.4, now=0.5)
    assert rate.per_s == 2.0


def test_an_answer_without_a_limit_ends_it_unless_it_was_asked_for_before():
    rate = TargetRate()
    rate.note_answer(1.5, asked_at=0.0, now=1.0)
    assert not rate.note_answer(None, asked_at=0.9, now=1.1)
    assert rate.per_s == 1.5
    assert rate.note_answer(None, asked_at=1.1, now=1.2)
    assert rate.per_s is None


@pytest.mark.parametrize(
    ("said", "per_s"),
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
def test_what_cannot_be_read_as_a_limit_counts_as_none(said, per_s):
    assert PlatformHeads().read_answer(200, said).limit_per_s == per_s
