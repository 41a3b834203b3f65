"""Errors: codes, remedies, and conversion to a message and back."""

import re

import pytest

from lacewinggw.errors import (
    AgentLost,
    ConfigurationConflict,
    LacewingError,
    LanguageError,
    Outcome,
    Refusal,
    RequestRefused,
    RequestUnknown,
    UnknownKey,
    error_classes,
)
from lacewinggw.generated.messages.ttypes import Failure


@pytest.mark.parametrize("error", list(error_classes()), ids=lambda error: error.__name__)
def test_each_kind_is_complete_and_survives_conversion_to_a_message(
    error: type[LacewingError],
) -> None:
    assert re.fullmatch(r"LW-\d{4}", error.code)
    assert re.fullmatch(r"[a-z]+(-[a-z]+)*", error.kind)
    assert error.__doc__
    assert error.default_remedy
    raised = error("what was met", retry_after_ms=250)
    restored = LacewingError.from_failure(raised.to_failure())
    assert type(restored) is error
    assert str(restored) == str(raised)
    assert restored.retry_after_ms == 250


def test_kinds_are_unique() -> None:
    kinds = [error.kind for error in error_classes()]
    assert len(kinds) == len(set(kinds))


def test_duplicate_code_is_rejected() -> None:
    with pytest.raises(TypeError, match="has the code of AgentLost"):
        type("Second", (RequestUnknown,), {"code": AgentLost.code})


@pytest.mark.parametrize("refusal", list(Refusal))
def test_refusal_is_always_not_run(refusal: Refusal) -> None:
    error = RequestRefused.because(refusal, "what was met", retry_after_ms=100)
    assert error.refusal is refusal
    assert error.kind == refusal.value
    assert error.outcome is Outcome.NOT_RUN


@pytest.mark.parametrize(
    ("outcome", "expected"),
    [
        ("not-run", RequestRefused),
        ("unknown", RequestUnknown),
        ("", LacewingError),
        ("new-word", LacewingError),
    ],
)
def test_unknown_code_keeps_its_outcome(outcome: str, expected: type[LacewingError]) -> None:
    failure = Failure(code="LW-9999", reason="r", remedy="m", outcome=outcome)
    assert type(LacewingError.from_failure(failure)) is expected


def test_message_contains_reason_and_remedy() -> None:
    error = UnknownKey.at("a.ini", "entry", "foo", "there is no such key", "write bar")
    assert str(error) == (
        "LW-1003 unknown-key: a.ini [entry] foo: there is no such key; remedy: write bar"
    )


def test_conflict_shows_both_values() -> None:
    error = ConfigurationConflict.between("service x", "6 on m-7", "4 on m-6", 12)
    assert "yours is 6 on m-7, now is 4 on m-6" in error.reason


def test_syntax_error_points_at_the_word() -> None:
    error = LanguageError.at("show servces", 5, ("services", "hosts"), "services")
    assert error.reason == "at character 6: met 'servces', expected services or hosts"
    assert error.remedy == "did you mean 'services'?"
    assert LanguageError.at("show", 4, ("services",)).reason.startswith("at character 5: met the")
