"""`explain` collects the log lines about one request from the logs of many processes."""

import json

import pytest

from lacewinggw.cli import ExitCode, main

LINES = [
    {"event": "routes_taken", "host": "entry-1", "version": 4, "timestamp": "T1"},
    {"event": "routes_taken", "host": "entry-2", "version": 4, "timestamp": "T1"},
    {"event": "routes_taken", "host": "entry-1", "version": 5, "timestamp": "T2"},
    {
        "event": "offer_ended",
        "host": "entry-1",
        "request_id": "r1",
        "outcome": "not-run",
        "timestamp": "T3",
    },
    {
        "event": "request_refused",
        "host": "entry-1",
        "request_id": "r1",
        "error": "overloaded",
        "timestamp": "T4",
    },
    {"event": "request_answered", "host": "entry-2", "request_id": "r2", "timestamp": "T4"},
]


@pytest.fixture
def log(tmp_path):
    path = tmp_path / "fleet.log"
    texts = [f"  12.0 edge-1 {json.dumps(line)}" for line in reversed(LINES)]
    path.write_text("\n".join(["no json here", "{broken", *texts]))
    return str(path)


def test_explain_shows_a_request_with_the_routes_of_its_entry(log, capsys):
    assert main(["explain", "r1", log]) == ExitCode.OK
    lines = capsys.readouterr().out.splitlines()
    assert lines == [
        "T2 entry-1  routes_taken  version=5",
        "T3 entry-1  offer_ended  outcome=not-run",
        "T4 entry-1  request_refused  error=overloaded",
    ]


def test_an_unknown_request_fails_with_a_remedy(log, capsys):
    assert main(["explain", "r9", log]) == ExitCode.FAILED
    assert "logs of all entries" in capsys.readouterr().err


def test_a_missing_log_file_is_an_error(capsys):
    assert main(["explain", "r1", "/nowhere/at/all"]) != ExitCode.OK
