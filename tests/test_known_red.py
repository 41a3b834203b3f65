"""KNOWN-RED.txt: only listed tests may fail without failing the run."""

from pathlib import Path

import pytest
from known_red import KnownRed, parse_known_red

TESTS_FOLDER = Path(__file__).resolve().parent
TESTS = "def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n"

pytest_plugins = ["pytester"]


def test_lines_are_test_cause_issue() -> None:
    text = "# test | cause | issue\n\ntests/test_a.py::test_b | lost wake-up | 12\n"
    assert parse_known_red(text) == [KnownRed("tests/test_a.py::test_b", "lost wake-up", "12")]


@pytest.mark.parametrize("text", ["tests/test_a.py::test_b\n", "a | b\n", "a | | c\n"])
def test_bad_line_is_an_error(text: str) -> None:
    with pytest.raises(pytest.UsageError, match="KNOWN-RED"):
        parse_known_red(text)


def test_more_than_three_are_an_error() -> None:
    with pytest.raises(pytest.UsageError, match="lists 4"):
        parse_known_red("a | b | c\n" * 4)


@pytest.fixture
def project(pytester: pytest.Pytester) -> pytest.Pytester:
    """Return a project with one failing and one passing test, and this suite's conftest."""
    tests = pytester.mkdir("tests")
    for name in ("conftest.py", "known_red.py"):
        (tests / name).write_text((TESTS_FOLDER / name).read_text())
    (tests / "test_x.py").write_text(TESTS)
    return pytester


def test_listed_failure_is_ignored_and_printed(project: pytest.Pytester) -> None:
    (project.path / "KNOWN-RED.txt").write_text("tests/test_x.py::test_red | why | 1\n")
    result = project.runpytest_subprocess()
    assert result.ret == 0
    result.assert_outcomes(passed=1, xfailed=1)
    result.stdout.fnmatch_lines(["KNOWN-RED xfailed: tests/test_x.py::test_red | why"])


def test_unlisted_failure_fails_the_run(project: pytest.Pytester) -> None:
    (project.path / "KNOWN-RED.txt").write_text("tests/test_x.py::test_green | why | 1\n")
    result = project.runpytest_subprocess()
    assert result.ret == 1
    result.assert_outcomes(failed=1, xpassed=1)
    result.stdout.fnmatch_lines(["KNOWN-RED xpassed: tests/test_x.py::test_green | why"])


def test_listed_test_that_does_not_exist_is_printed(project: pytest.Pytester) -> None:
    (project.path / "KNOWN-RED.txt").write_text("tests/test_x.py::test_gone | why | 1\n")
    result = project.runpytest_subprocess()
    result.stdout.fnmatch_lines(["KNOWN-RED not run: tests/test_x.py::test_gone | why"])
