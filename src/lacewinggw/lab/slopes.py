"""lacewinggw-lab slopes: what one more target, host, revision, chunk, request or piece costs.

Usage:
  lacewinggw-lab slopes [options]

Options:
  --processes   Also start entries and agents, and measure them idle and under requests.
  --output FILE Write the JSON object to a file too.
  --seed N      Seed of all randomness [default: 1].
  --json        Print one JSON object instead of a table.
  -h --help     Show this text.

Each slope is a least-squares line through a few sizes; the points are told with it. Messages,
decisions and state are the product's own objects in this process.
"""

import asyncio
import json
import platform
import sys
from pathlib import Path
from typing import Any

from docopt import DocoptExit, docopt

from lacewinggw.lab.measuring import Slopes
from lacewinggw.lab.slopemessages import measure_messages
from lacewinggw.lab.slopeplatform import measure_platform
from lacewinggw.lab.slopestate import measure_decisions, measure_state

BAD_INPUT = 2


def run(arguments: list[str]) -> int:
    """Measure, and print every slope; return the exit code."""
    try:
        options = docopt(__doc__ or "", ["slopes", *arguments])
        seed = int(options["--seed"])
    except (DocoptExit, ValueError) as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    slopes = measure_all(seed, with_processes=options["--processes"])
    told = describe(slopes, command_of(options), seed)
    text = json.dumps(told)
    if options["--output"]:
        Path(options["--output"]).write_text(json.dumps(told, indent=1) + "\n", encoding="utf-8")
    print(text if options["--json"] else as_table(slopes))
    return 0


def command_of(options: dict[str, Any]) -> str:
    """Return the command that measures the same again."""
    processes = " --processes" if options["--processes"] else ""
    return f"lacewinggw-lab slopes{processes} --seed {options['--seed']}"


def measure_all(seed: int, with_processes: bool) -> Slopes:
    """Measure everything; half a minute of one core, and a minute more with processes."""
    slopes = {**measure_messages(), **measure_decisions(seed), **measure_state()}
    slopes.update(asyncio.run(measure_platform(seed)))
    if with_processes:
        from lacewinggw.lab.slopeprocesses import measure_processes

        slopes.update(asyncio.run(measure_processes(seed)))
    return slopes


def describe(slopes: Slopes, command: str, seed: int) -> dict[str, Any]:
    """Return the slopes as one JSON object, with the command that gives them."""
    return {
        "experiment": "slopes",
        "command": command,
        "seed": seed,
        "python": platform.python_version(),
        "slopes": {name: slope.to_json() for name, slope in slopes.items()},
    }


def as_table(slopes: Slopes) -> str:
    """Return one line a slope: its name, what there is without any, and what one more costs."""
    return "\n".join(
        f"{name:28} {each.intercept:14.2f} {each.unit:6} + {each.slope:12.4f} per {each.per}"
        for name, each in slopes.items()
    )
