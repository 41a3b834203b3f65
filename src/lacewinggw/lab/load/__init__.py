"""Experiments on routing, limits, streams and throughput, with baselines, on real processes.

Usage:
  lacewinggw-lab load --experiment NAME [--seed N] [--seconds S] [--json]
  lacewinggw-lab load --help

Options:
  --experiment NAME  overload, limits, streams or throughput.
  --seed N           Seed of all randomness [default: 1].
  --seconds S        Length of each measured run [default: 10].
  --json             Print one JSON object instead of indented text.
  -h --help          Show this text.
"""

import asyncio
import json
import sys
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from docopt import DocoptExit, docopt

from lacewinggw.lab.load.limits import measure_limits
from lacewinggw.lab.load.overload import measure_overload
from lacewinggw.lab.load.streams import measure_streams
from lacewinggw.lab.load.throughput import measure_throughput

BAD_INPUT = 2

Measure = Callable[[int, float], Awaitable[dict[str, Any]]]

EXPERIMENTS: dict[str, Measure] = {
    "overload": measure_overload,
    "limits": measure_limits,
    "streams": measure_streams,
    "throughput": measure_throughput,
}


def run(arguments: Sequence[str]) -> int:
    """Run one experiment, print its result and return the exit code."""
    try:
        options = docopt(__doc__ or "", ["load", *arguments])
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    name = options["--experiment"]
    measure = EXPERIMENTS.get(name)
    if measure is None:
        print(f"no experiment {name!r}; there are {', '.join(EXPERIMENTS)}", file=sys.stderr)
        return BAD_INPUT
    seed, seconds = int(options["--seed"]), float(options["--seconds"])
    result = {
        "experiment": name,
        "seed": seed,
        "seconds": seconds,
        "command": f"lacewinggw-lab load --experiment {name} --seed {seed} --seconds {seconds:g}",
        **asyncio.run(_measure(measure, seed, seconds)),
    }
    print(json.dumps(result, indent=None if options["--json"] else 2))
    return 0


async def _measure(measure: Measure, seed: int, seconds: float) -> dict[str, Any]:
    return await measure(seed, seconds)
