"""docs/operators/RUNBOOK.md: its commands exist, its questions get answers, its series are real."""

import json
import re
import shlex
from pathlib import Path

import pytest
from virtual import run_virtual

from lacewinggw.cli import parse_arguments
from lacewinggw.errors import UnknownName
from lacewinggw.lab.memoryfleet import MemoryFleet, MemoryPlan
from lacewinggw.operators.language import is_query

OPERATORS = Path(__file__).resolve().parent.parent / "docs" / "operators"
PAGE = (OPERATORS / "RUNBOOK.md").read_text()
METRICS = (OPERATORS / "METRICS.md").read_text()
COMMANDS = re.findall(r"^ *lacewinggw (.+)$", PAGE, re.MULTILINE)
ALARMS = PAGE.partition("## What to be alarmed by")[2]
SERIES = re.findall(r"^\| `([a-z_]+)(?:\{(\w+)=\"([\w-]+)\"\})?` \|", ALARMS, re.MULTILINE)


def words_of(command: str) -> str:
    """Return what a command line asks an entry, "" for another; it must fit a usage."""
    options = parse_arguments(shlex.split(command))
    return " ".join(options["WORDS"]) if options["ask"] else ""


@pytest.mark.parametrize("command", COMMANDS)
def test_command_exists(command: str) -> None:
    words = words_of(command)
    assert not words or is_query(words) in (True, False)


async def answer_codes(questions: list[str]) -> dict[str, str]:
    """Put questions to an entry; return the code of each refusal, "" for an answer."""
    fleet = MemoryFleet(MemoryPlan(entries=1, engines=1, plains=0))
    await fleet.start()
    address = fleet.hosts["entry-1"].member.operator_address
    codes = {}
    for words in questions:
        body = json.dumps({"words": words}).encode()
        response = await fleet.http.request(
            address, "POST", "/v1/query", fleet.operator_headers, body
        )
        codes[words] = response.json().get("code", "")
    await fleet.close()
    return codes


def test_questions_are_answered_but_for_names_that_the_reader_fills_in() -> None:
    asked = [words for words in map(words_of, COMMANDS) if words and is_query(words)]
    for words, code in run_virtual(answer_codes(asked)).items():
        filled_in = any(part.isupper() for part in words.split())
        assert code == "" or (filled_in and code == UnknownName.code), (words, code)


def test_every_series_and_reason_is_there() -> None:
    assert len(SERIES) > 10
    for name, label, value in SERIES:
        assert f"`lacewinggw_{name}`" in METRICS, name
        if label == "reason" and name != "operator_refusals_total":
            assert f"| `{value}` |" in METRICS, value
