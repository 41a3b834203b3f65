"""The operators' command `evacuations`: which zones are evacuated, and what still runs there.

Each entry learns of an evacuation by itself, so every given entry is asked.
"""

import asyncio
import json
from typing import Any

from lacewinggw.errors import LacewingError
from lacewinggw.ids import Address
from lacewinggw.operators.client import EntryClient
from lacewinggw.operators.shell import DONE, NOT_DONE, Options
from lacewinggw.operators.tables import Row, Table, render
from lacewinggw.wire.network import Network, TcpNetwork

COLUMNS = ("entry", "zone", "since_s", "source", "targets", "running", "reported")


def evacuations_command(options: Options) -> int:
    """Print what each entry knows; return 1 if one of them could not be asked."""
    answers = asyncio.run(ask_entries(TcpNetwork(), options))
    if options.json:
        print(json.dumps(answers))
    else:
        print(describe(answers), end="")
    return NOT_DONE if any("error" in answer for answer in answers.values()) else DONE


async def ask_entries(network: Network, options: Options) -> dict[Address, dict[str, Any]]:
    """Return the answer of each entry, or its error."""
    answers = await asyncio.gather(*(_ask(network, each, options) for each in options.entries))
    return dict(zip(options.entries, answers, strict=True))


def describe(answers: dict[Address, dict[str, Any]]) -> str:
    """Return the answers as a table, followed by the entries that could not be asked."""
    rows: list[Row] = [
        {"entry": entry, **{column: zone[column] for column in COLUMNS[1:]}}
        for entry, answer in answers.items()
        for zone in answer.get("zones", [])
    ]
    errors = [f"{entry}: {each['error']}\n" for entry, each in answers.items() if "error" in each]
    return render(Table(COLUMNS, rows)) + "".join(errors)


async def _ask(network: Network, entry: Address, options: Options) -> dict[str, Any]:
    client = EntryClient(network, [entry], options.token, options.timeout_s)
    try:
        return await client.evacuations()
    except LacewingError as error:
        return {"error": str(error)}
    finally:
        await client.close()
