"""Read the operators' language: words in, typed statements or an error that points at a word out.

parse("set service desk release market-7 replicas 6")
"""

import difflib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from functools import cache
from importlib import resources
from typing import Any

from lark import Lark, Token, Transformer, v_args
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput, UnexpectedToken

from lacewinggw.errors import LanguageError
from lacewinggw.generated.messages.ttypes import EngineRole, Prefer
from lacewinggw.operators.statements import (
    QUERIES,
    Command,
    Comparison,
    Condition,
    CreateReleaseStatement,
    CreateServiceStatement,
    DrainStatement,
    Explain,
    ExplainKind,
    Query,
    ReplicasOf,
    ServiceClauses,
    SetServiceStatement,
    Show,
    ShowCommand,
    ShowCount,
    Statement,
    WaitFor,
    WithdrawReleaseStatement,
    WithdrawServiceStatement,
    Word,
)

WORDS_LIMIT = 100_000
NEAREST_CUTOFF = 0.5
SURE_CUTOFF = 0.75
SECONDS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
PREFERENCES = {"time": Prefer.TIME, "origin-bytes": Prefer.ORIGIN_BYTES}
TERMINAL_WORDS = {
    "NAME": "a name",
    "QUOTED": "a quoted name",
    "INTEGER": "a whole number",
    "DECIMAL": "a number",
    "DURATION": "a time as in 60s",
    "PERCENT": "a share as in 50%",
    "PATH": "a path as in /v1/x",
    "OPERATOR": "a comparison as in =",
    "SEPARATOR": "a semicolon",
    "COMMA": "a comma",
    "$END": "the end",
}


def parse(words: str) -> list[Statement]:
    """Return the statements that `words` make; raise `LanguageError` that points at a word."""
    if len(words) > WORDS_LIMIT:
        raise LanguageError.at("", 0, (f"at most {WORDS_LIMIT} characters",))
    if not words.strip():
        raise LanguageError.at(words, len(words), ("show", "create", "set", "drain", "explain"))
    try:
        tree = _parser().parse(words.rstrip())
    except UnexpectedInput as error:
        raise _syntax_error(words, error) from None
    statements: list[Statement] = _ToStatements().transform(tree)
    return statements


def parse_query(words: str) -> Query:
    """Return the one query that `words` make."""
    statements = parse(words)
    if len(statements) != 1 or not isinstance(statements[0], QUERIES):
        raise LanguageError.at(words, 0, ("one query: show, explain or wait",))
    return statements[0]


def parse_commands(words: str) -> list[Command]:
    """Return the commands that `words` make; together they are one revision."""
    commands: list[Command] = []
    for statement in parse(words):
        if isinstance(statement, QUERIES):
            raise LanguageError.at(words, 0, ("commands only, without show, explain or wait",))
        commands.append(statement)
    return commands


def is_query(words: str) -> bool:
    """Return whether `words` only ask; raise `LanguageError` when they are neither."""
    return isinstance(parse(words)[0], QUERIES)


def nearest(name: str, known: Iterable[str], cutoff: float = NEAREST_CUTOFF) -> str:
    """Return the known name that looks most like one that is not known, or ""."""
    found = difflib.get_close_matches(name, list(known), n=1, cutoff=cutoff)
    return found[0] if found else ""


@cache
def _parser() -> Lark:
    grammar = resources.files("lacewinggw.operators").joinpath("grammar.lark").read_text("utf-8")
    return Lark(grammar, parser="lalr", propagate_positions=False)


def _syntax_error(words: str, error: UnexpectedInput) -> LanguageError:
    position = len(words.rstrip())
    terminals: set[str] = set()
    match error:
        case UnexpectedToken():
            terminals = set(error.accepts or error.expected)
            if error.token.type != "$END":
                position = error.token.start_pos or 0
        case UnexpectedCharacters():
            terminals = set(error.allowed or ())
            met_at: Any = error.pos_in_stream
            position = int(met_at)
        case UnexpectedEOF():
            terminals = set(error.expected)
    if "SHOW" in terminals:
        terminals.discard("SEPARATOR")  # allowed before a statement, but nothing to advise
    keywords = sorted(_keyword(each) for each in terminals if each not in TERMINAL_WORDS)
    others = sorted(TERMINAL_WORDS[each] for each in terminals if each in TERMINAL_WORDS)
    position, close = _misspelt(words, position, keywords)
    return LanguageError.at(words, position, tuple([*keywords, *others] or ["the end"]), close)


def _misspelt(words: str, position: int, keywords: Sequence[str]) -> tuple[int, str]:
    """Return where a keyword seems misspelt, at the word met or the one before, and the keyword."""
    met = words[position:].split(maxsplit=1)
    close = nearest(met[0].rstrip(",;"), keywords) if met else ""
    before = words[:position].split()
    if close or not before:
        return position, close
    close = nearest(before[-1], keywords, SURE_CUTOFF)
    if not close or before[-1] in keywords:
        return position, ""
    return words.rindex(before[-1], 0, position), close


def _keyword(terminal: str) -> str:
    for definition in _parser().terminals:
        if definition.name == terminal:
            return str(definition.pattern.value)
    return terminal.lower()


def _word(token: Token) -> Word:
    return Word(str(token).strip('"'), token.start_pos or 0)


def _scalar(token: Token) -> str | float:
    text = str(token)
    match token.type:
        case "INTEGER" | "DECIMAL":
            return float(text)
        case "DURATION":
            return _seconds(text)
        case "PERCENT":
            return float(text.rstrip("%"))
        case _:
            return text.strip('"')


def _seconds(text: str) -> float:
    digits = text.rstrip("msh")
    return int(digits) * SECONDS[text[len(digits) :]]


@dataclass(frozen=True)
class _Order:
    """By which column rows are ordered."""

    column: Word | None
    descending: bool = False


@v_args(inline=True)
class _ToStatements(Transformer[Token, Any]):
    """Turn the parse tree into statements."""

    def start(self, *parts: Any) -> list[Statement]:
        return [part for part in parts if not isinstance(part, Token)]

    def columns(self, *names: Token) -> list[Word]:
        return [_word(name) for name in names]

    def names(self, *names: Token) -> list[Word]:
        return [_word(name) for name in names]

    def condition(self, column: Token, operator: Token, value: Token) -> Condition:
        return Condition(_word(column), Comparison(str(operator)), _scalar(value))

    def where(self, *conditions: Condition) -> tuple[Condition, ...]:
        return conditions

    def direction(self, token: Token) -> bool:
        return str(token) == "desc"

    def order(self, column: Token, descending: bool = False) -> "_Order":
        return _Order(_word(column), descending)

    def limit(self, count: Token) -> int:
        return int(count)

    def show(self, table: Token, *parts: Any) -> Show:
        columns = next((tuple(part) for part in parts if isinstance(part, list)), ())
        conditions = next((part for part in parts if isinstance(part, tuple)), ())
        order = next((part for part in parts if isinstance(part, _Order)), _Order(None))
        limit = next((part for part in parts if isinstance(part, int)), None)
        return Show(_word(table), columns, conditions, order.column, order.descending, limit)

    def show_count(self, table: Token, *parts: Any) -> ShowCount:
        conditions = next((part for part in parts if isinstance(part, tuple)), ())
        by = next((_word(part) for part in parts if isinstance(part, Token)), None)
        return ShowCount(_word(table), conditions, by)

    def show_command(self, command_id: Token) -> ShowCommand:
        return ShowCommand(_word(command_id).text)

    def subject(self, token: Token) -> ExplainKind:
        return ExplainKind(str(token))

    def explain(self, kind: ExplainKind, name: Token) -> Explain:
        return Explain(kind, _word(name))

    def wait_service(self, name: Token) -> WaitFor:
        return WaitFor(service=_word(name))

    def wait_release(self, name: Token) -> WaitFor:
        return WaitFor(release=_word(name))

    def wait_revision(self, revision: Token) -> WaitFor:
        return WaitFor(revision=int(revision))

    def wait_all(self) -> WaitFor:
        return WaitFor()

    def wait(self, goal: WaitFor, limit: Token | None = None) -> WaitFor:
        limit_s = _seconds(str(limit)) if limit is not None else None
        return WaitFor(goal.service, goal.release, goal.revision, limit_s)

    def create_release(self, name: Token) -> CreateReleaseStatement:
        return CreateReleaseStatement(_word(name))

    def create_service(self, name: Token, *clauses: Any) -> CreateServiceStatement:
        return CreateServiceStatement(_word(name), _merge(clauses))

    def set_service(self, name: Token, *clauses: Any) -> SetServiceStatement:
        return SetServiceStatement(_word(name), _merge(clauses))

    def drain(self, hosts: list[Word]) -> DrainStatement:
        return DrainStatement(tuple(hosts), draining=True)

    def undrain(self, hosts: list[Word]) -> DrainStatement:
        return DrainStatement(tuple(hosts), draining=False)

    def withdraw_release(self, name: Token) -> WithdrawReleaseStatement:
        return WithdrawReleaseStatement(_word(name))

    def withdraw_service(self, name: Token) -> WithdrawServiceStatement:
        return WithdrawServiceStatement(_word(name))

    def release_clause(self, name: Token, replicas: Token | None = None) -> dict[str, Any]:
        count = int(replicas) if replicas is not None else None
        return {"goal": ReplicasOf(_word(name), count)}

    def replicas_clause(self, replicas: Token) -> dict[str, Any]:
        return {"replicas": int(replicas)}

    def plain_clause(self) -> dict[str, Any]:
        return {"plain": True}

    def preference(self, token: Token) -> Prefer:
        return PREFERENCES[str(token)]

    def prefer_clause(self, preference: Prefer) -> dict[str, Any]:
        return {"prefer": preference}

    def role(self, token: Token) -> EngineRole:
        return EngineRole[str(token).upper()]

    def role_clause(self, role: EngineRole) -> dict[str, Any]:
        return {"role": role}

    def adapters_clause(self, *names: Token) -> dict[str, Any]:
        return {"adapters": tuple(str(name).strip('"') for name in names)}

    def floor_clause(self, share: Token) -> dict[str, Any]:
        return {"floor_percent": int(str(share).rstrip("%"))}

    def switch(self, token: Token) -> bool:
        return str(token) == "yes"

    def repeatable_clause(self, repeatable: bool) -> dict[str, Any]:
        return {"repeatable": repeatable}

    def unrepeatable_clause(self, *paths: Token) -> dict[str, Any]:
        return {"unrepeatable_paths": tuple(str(path).strip('"') for path in paths)}


def _merge(clauses: Sequence[dict[str, Any]]) -> ServiceClauses:
    goals = tuple(clause["goal"] for clause in clauses if "goal" in clause)
    merged: dict[str, Any] = {}
    for clause in clauses:
        merged.update({key: value for key, value in clause.items() if key != "goal"})
    return ServiceClauses(goals=goals, **merged)
