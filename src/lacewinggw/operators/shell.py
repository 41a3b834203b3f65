"""The operators' commands of the command line: `ask`, `plan` and `apply`."""

import asyncio
import json
import random
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Protocol

from lacewinggw.errors import ConfigurationConflict, LacewingError, LanguageError
from lacewinggw.ids import Address, new_command_id
from lacewinggw.operators.client import EntryClient
from lacewinggw.operators.declarations import (
    declarations_from_json,
    difference,
    read_declarations,
)
from lacewinggw.operators.language import is_query, parse, parse_query
from lacewinggw.operators.statements import WaitFor
from lacewinggw.operators.tables import Table, render
from lacewinggw.wire.network import TcpNetwork

WAIT_LIMIT_S = 600.0
WAIT_POLL_S = 0.5
DONE = 0
NOT_DONE = 1


class Options(Protocol):
    """Where the fleet is and how to print."""

    @property
    def entries(self) -> tuple[Address, ...]:
        """Operator addresses of entries, tried in turn."""

    @property
    def token(self) -> str:
        """The operator's token."""

    @property
    def timeout_s(self) -> float:
        """The longest wait for one answer, in seconds."""

    @property
    def json(self) -> bool:
        """Whether to print JSON."""


Action = Callable[[EntryClient], Awaitable[int]]


def ask_command(options: Options, words: str) -> int:
    """Put a query or commands to the fleet, print the answer and return the exit code.

    The code is 1 when `wait` ran out of time. Raises the errors of the language and of the entries.
    """
    try:
        parse(words)
    except LanguageError as error:
        _point_at(words, error)
        raise
    return _run(options, lambda client: ask(client, options, words))


def plan_command(options: Options, folder: Path, check: bool) -> int:
    """Print what the declarations in a folder would change; with `check`, 1 if anything."""
    return _run(options, lambda client: plan(client, options, folder, check))


def apply_command(options: Options, folder: Path, at_revision: int | None = None) -> int:
    """Carry out the declarations in a folder as one revision.

    With `at_revision`, the revision that a plan showed, refuse when the fleet moved since.
    """
    return _run(options, lambda client: apply(client, options, folder, at_revision))


def _run(options: Options, action: Action) -> int:
    async def run() -> int:
        client = EntryClient(TcpNetwork(), options.entries, options.token, options.timeout_s)
        try:
            return await action(client)
        finally:
            await client.close()

    return asyncio.run(run())


async def ask(client: EntryClient, options: Options, words: str) -> int:
    """Put a query or commands to the fleet, print the answer and return the exit code."""
    if not is_query(words):
        configuration = await client.configuration()
        accepted = await _accept(client, words, int(configuration["revision"]))
        _print_accepted(accepted, options.json)
        return DONE
    query = parse_query(words)
    if isinstance(query, WaitFor):
        limit_s = WAIT_LIMIT_S if query.limit_s is None else query.limit_s
        return await _wait(client, options, words, limit_s)
    _print_answer(await client.query(words), options.json)
    return DONE


async def _accept(client: EntryClient, words: str, read_revision: int) -> dict[str, Any]:
    command_id = new_command_id(random.SystemRandom())
    return await client.command(words, command_id, read_revision)


async def _wait(client: EntryClient, options: Options, words: str, limit_s: float) -> int:
    """Ask until it is so; say what holds it up when time runs out."""
    loop = asyncio.get_running_loop()
    until = loop.time() + limit_s
    while True:
        answer = await client.query(words)
        if answer["done"] or loop.time() >= until:
            _print_answer(answer, options.json)
            return DONE if answer["done"] else NOT_DONE
        await asyncio.sleep(WAIT_POLL_S)


async def plan(client: EntryClient, options: Options, folder: Path, check: bool) -> int:
    """Print the commands that would make the fleet as declared in a folder."""
    wanted = read_declarations(folder)
    configuration = await client.configuration()
    words = difference(declarations_from_json(configuration), wanted)
    revision = int(configuration["revision"])
    if options.json:
        print(json.dumps({"revision": revision, "commands": words}))
    else:
        print("\n".join(words) if words else "nothing to change")
        print(f"# as of revision {revision}")
    return NOT_DONE if check and words else DONE


async def apply(
    client: EntryClient, options: Options, folder: Path, at_revision: int | None
) -> int:
    """Give the commands that `plan` prints, as one revision."""
    wanted = read_declarations(folder)
    configuration = await client.configuration()
    words = difference(declarations_from_json(configuration), wanted)
    revision = int(configuration["revision"])
    if not words:
        unchanged = {"revision": revision, "commands": []}
        print(json.dumps(unchanged) if options.json else f"nothing to change at {revision}")
        return DONE
    if at_revision is not None and at_revision > revision:
        raise ConfigurationConflict(
            f"the plan was made at {at_revision}, the fleet is at {revision}"
        )
    read_revision = revision if at_revision is None else at_revision
    accepted = await _accept(client, "\n".join(words), read_revision)
    _print_accepted(accepted, options.json)
    return DONE


def _print_accepted(accepted: dict[str, Any], as_json: bool) -> None:
    if as_json:
        print(json.dumps(accepted))
        return
    print(accepted["words"])
    print(f"accepted as revision {accepted['revision']}, command {accepted['command_id']}")


def _print_answer(answer: dict[str, Any], as_json: bool) -> None:
    if as_json:
        print(json.dumps(_with_named_cells(answer)))
    elif "columns" in answer:
        columns = tuple(answer["columns"])
        rows = [dict(zip(columns, row, strict=True)) for row in answer["rows"]]
        print(render(Table(columns, rows)), end="")
    elif "lines" in answer:
        print("\n".join(answer["lines"]))
    else:
        _print_waiting(answer)


def _print_waiting(answer: dict[str, Any]) -> None:
    if answer["done"]:
        print(f"done, at revision {answer['revision']}")
        return
    for each in answer["held_up_by"]:
        print(f"{each['subject']}: {each['reason']}; remedy: {each['remedy']}")


def _with_named_cells(answer: dict[str, Any]) -> dict[str, Any]:
    if "columns" not in answer:
        return answer
    rows = [dict(zip(answer["columns"], row, strict=True)) for row in answer["rows"]]
    return {"revision": answer["revision"], "rows": rows}


def _point_at(words: str, error: LacewingError) -> None:
    """Show the words with a mark below the one that was not understood."""
    if isinstance(error, LanguageError) and "\n" not in words:
        print(f"  {words}\n  {' ' * error.position}^", file=sys.stderr)
