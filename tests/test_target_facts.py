"""Each field that targets report about themselves is documented with the component acting on it."""

import dataclasses
from pathlib import Path

import pytest

from lacewinggw.decisions.targetlist import TargetEntry
from lacewinggw.frontend.calls import AnswerFacts
from lacewinggw.loader.target import LoadableReport

PAGE = (Path(__file__).resolve().parent.parent / "docs/design/targets.md").read_text()
FACTS = [
    f"`{kind.__name__}.{field.name}`"
    for kind in (AnswerFacts, LoadableReport, TargetEntry)
    for field in dataclasses.fields(kind)
]


@pytest.mark.parametrize("fact", FACTS)
def test_each_target_fact_has_a_documented_consumer(fact):
    lines = [line for line in PAGE.splitlines() if fact in line]
    assert len(lines) == 1, f"one line of docs/design/targets.md has to have {fact}"
    assert all(cell.strip() for cell in lines[0].strip("|").split("|")[:4])
