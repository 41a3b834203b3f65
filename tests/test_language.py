"""The operators' language: what it reads, and errors that point at a word."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lacewinggw.errors import LanguageError
from lacewinggw.generated.messages.ttypes import EngineRole
from lacewinggw.operators.language import is_query, parse, parse_commands, parse_query
from lacewinggw.operators.statements import (
    Comparison,
    DrainStatement,
    Show,
    ShowCount,
    WaitFor,
)


def test_a_query_has_columns_conditions_order_and_limit() -> None:
    words = "show targets host, age where service = desk and age >= 1.5 order by age desc limit 3"
    show = parse_query(words)
    assert isinstance(show, Show)
    assert [column.text for column in show.columns] == ["host", "age"]
    assert [c.comparison for c in show.conditions] == [Comparison.EQUAL, Comparison.AT_LEAST]
    assert [c.value for c in show.conditions] == ["desk", 1.5]
    assert (str(show.order), show.descending, show.limit) == ("age", True, 3)


@pytest.mark.parametrize(
    ("written", "value"),
    [("250ms", 0.25), ("5s", 5.0), ("2m", 120.0), ("50%", 50.0), ('"a b"', "a b"), ("m-7", "m-7")],
)
def test_values_have_units(written: str, value: object) -> None:
    show = parse_query(f"show targets where age < {written}")
    assert isinstance(show, Show)
    assert show.conditions[0].value == value


def test_several_commands_are_one_body() -> None:
    words = "# all of it\n\ncreate release m; set service a replicas 2 # more\ndrain host h1, h2\n"
    commands = parse_commands(words)
    assert len(commands) == 3
    assert isinstance(commands[2], DrainStatement)
    assert not is_query(words)


def test_names_that_are_keywords_are_quoted() -> None:
    show = parse_query('show count targets where service = "release" by state')
    assert isinstance(show, ShowCount)
    assert show.conditions[0].value == "release"


def test_wait_has_a_limit() -> None:
    wait = parse_query("wait service desk for 90s")
    assert isinstance(wait, WaitFor)
    assert (str(wait.service), wait.limit_s) == ("desk", 90.0)


@pytest.mark.parametrize(
    ("words", "position", "expected", "nearest"),
    [
        ("shwo services", 0, "show", "show"),
        ("set servce desk replicas 3", 4, "service", "service"),
        ("set service desk replicas six", 26, "a whole number", ""),
        ("drain host h1 h2", 14, "a comma", ""),
        ("create service", 14, "a name", ""),
        ("set service desk floor 50", 23, "a share as in 50%", ""),
        ("show services $", 14, "a name", ""),
        ("show targets orderr by host", 13, "limit", "order"),
        ("show targets host wher state = x", 18, "where", "where"),
        ("", 0, "show", ""),
    ],
)
def test_an_error_points_at_the_word(
    words: str, position: int, expected: str, nearest: str
) -> None:
    with pytest.raises(LanguageError) as caught:
        parse(words)
    assert caught.value.position == position
    assert expected in caught.value.expected
    assert caught.value.nearest == nearest


def test_queries_and_commands_do_not_mix() -> None:
    with pytest.raises(LanguageError):
        parse_commands("create release m; show services")
    with pytest.raises(LanguageError):
        parse_query("show services; show targets")


SOME_WORDS = (
    "show set create drain explain wait service services release where = like 3 50% 5s , ; h1 desk",
    'replicas floor plain prefer time "x y" order by limit count all for /v1/x $ % \\',
)
words_of_the_language = st.sampled_from(" ".join(SOME_WORDS).split())


@given(st.one_of(st.text(max_size=60), st.lists(words_of_the_language).map(" ".join)))
def test_anything_else_is_refused_with_a_position(words: str) -> None:
    try:
        parse(words)
    except LanguageError as error:
        assert 0 <= error.position <= len(words)
        assert error.expected


def test_roles_and_adapters_are_declared_in_words():
    [command] = parse_commands("set service desk role decode adapters fijian, radio")
    assert command.clauses.role is EngineRole.DECODE
    assert command.clauses.adapters == ("fijian", "radio")
    [command] = parse_commands("set service desk adapters none")
    assert command.clauses.adapters == ()
