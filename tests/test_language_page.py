"""docs/operators/LANGUAGE.md: every example is run, and prints what the page says."""

import asyncio
import random
import re
import shlex
from contextlib import redirect_stderr, redirect_stdout
from dataclasses import dataclass
from io import StringIO
from pathlib import Path

import pytest
from operator_desk import Desk, open_desk

from lacewinggw.errors import LacewingError
from lacewinggw.ids import Address
from lacewinggw.log import LogFormat, configure_log
from lacewinggw.operators import shell

pytestmark = pytest.mark.looptime

PAGE = Path(__file__).resolve().parent.parent / "docs" / "operators" / "LANGUAGE.md"
EXAMPLES = re.compile(r"```console\n(.*?)```", re.DOTALL)
SETTLE_S = 60
CHANGING = ("create", "set", "drain", "undrain", "withdraw")
FAILING = "with an engine of host-2 that fails"
PLACES = {"a": "lautoka-hall", "b": "labasa-hall", "c": "lakeba-room"}


@dataclass(frozen=True)
class Options:
    """The shell's options for the examples."""

    entries: tuple[Address, ...] = ()
    token: str = ""
    timeout_s: float = 10.0
    json: bool = False


async def run_example(desk: Desk, line: str) -> str:
    """Return what the shell prints for one example."""
    if FAILING in line:
        desk.failing.add("host-2")
        await asyncio.sleep(1)
    words = shlex.split(line, comments=True)
    out = StringIO()
    with redirect_stdout(out), redirect_stderr(out):
        try:
            await shell.ask(desk.clients[0], Options(), words[-1])
        except LacewingError as error:
            print(f"lacewinggw: {error}")
    if words[-1].split()[0] in CHANGING:
        await asyncio.sleep(SETTLE_S)
    return out.getvalue()


async def rendered_page() -> str:
    """Return the page with the output of each example as it is now."""
    text = PAGE.read_text()
    async with open_desk(agents=8, placing=True) as desk:
        desk.fleet.plain["host-7"] = "legacy-ledger"
        desk.fleet.list_all()
        desk.name_places(PLACES)
        parts = EXAMPLES.split(text)
        for index in range(1, len(parts), 2):
            examples = [line for line in parts[index].splitlines() if line.startswith("$ ")]
            outputs = [f"{line}\n{await run_example(desk, line[2:])}" for line in examples]
            parts[index] = f"```console\n{''.join(outputs)}```"
        return "".join(parts)


async def test_every_example_prints_what_the_page_says(monkeypatch: pytest.MonkeyPatch) -> None:
    configure_log(LogFormat.TEXT, "info", StringIO())
    source = random.Random(1)
    monkeypatch.setattr(shell, "new_command_id", lambda _: f"{source.getrandbits(32):08x}")
    assert await rendered_page() == PAGE.read_text()
