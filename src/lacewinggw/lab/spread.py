"""lacewinggw-lab spread: how long a new model takes to N hosts, and what it costs.

Usage:
  lacewinggw-lab spread [options] [--fault FAULT]... [--baseline NAME]...

Options:
  --hosts N          Target hosts [default: 16].
  --places N         Places they are spread over [default: 3].
  --prefer WHAT      time or origin-bytes [default: origin-bytes].
  --chunks N         Chunks of the release [default: 128].
  --chunk BYTES      Size of a chunk [default: 16384].
  --bound SECONDS    Time in which a host's link carries one copy [default: 20].
  --fault FAULT      kill, stall, corrupt, origin-down, lag or replace; may be given again.
  --baseline NAME    Also measure origin-only, chain, tree or mesh; `all` for each.
  --callers N        Live callers on the old release throughout [default: 0].
  --entries N        Entries [default: 2].
  --seed N           Seed of all randomness [default: 1].
  --output FILE      Write the JSON object to a file too.
  --json             Print one JSON object.
  -h --help          Show this text.

Real entries and agents run as processes with their real configuration path: the release is created
and declared by an operator's command, and a host counts as served when its engine reports the
release's digest, computed over the chunks that it was given. Links are the agents' own pacers, the
origin's link carries twice what a host's does. With callers the service runs the old release first,
weights keep to the share of the link that the settings give, and the callers' p95 while the new
release spreads is compared with that before.
"""

import asyncio
import json
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Any

from docopt import DocoptExit, docopt

from lacewinggw.lab.baselines import Baseline
from lacewinggw.lab.spreadrun import SpreadFault, SpreadPlan, SpreadResult, measure

BAD_INPUT = 2


def run(arguments: list[str]) -> int:
    """Run the experiment; return 0 when every live host serves the right digest."""
    try:
        options = docopt(__doc__ or "", ["spread", *arguments])
        plan = _plan(options)
        baselines = _baselines(options["--baseline"])
    except (DocoptExit, ValueError) as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    result = asyncio.run(measure(plan))
    told = {**_describe(result), "command": f"lacewinggw-lab spread {' '.join(arguments)}"}
    others = [asyncio.run(measure(plan.with_baseline(each))) for each in baselines]
    if others:
        told["baselines"] = {each.policy: _describe(each) for each in others}
    text = json.dumps(told, indent=None if options["--json"] else 2)
    if options["--output"]:
        Path(options["--output"]).write_text(json.dumps(told, indent=2) + "\n", encoding="utf-8")
    print(text)
    whole = result.served == result.live_hosts and not result.corrupt_loaded
    return 0 if whole else 1


def _plan(options: dict[str, Any]) -> SpreadPlan:
    return SpreadPlan(
        hosts=int(options["--hosts"]),
        places=int(options["--places"]),
        prefer=options["--prefer"],
        chunks=int(options["--chunks"]),
        chunk_bytes=int(options["--chunk"]),
        bound_s=float(options["--bound"]),
        faults=tuple(SpreadFault(each) for each in options["--fault"]),
        entries=int(options["--entries"]),
        callers=int(options["--callers"]),
        seed=int(options["--seed"]),
    )


def _baselines(names: list[str]) -> list[Baseline]:
    if "all" in names:
        return list(Baseline)
    return [Baseline(each) for each in names]


def _describe(result: SpreadResult) -> dict[str, Any]:
    return {
        key: round(value, 4) if isinstance(value, float) else value
        for key, value in asdict(result).items()
    }
