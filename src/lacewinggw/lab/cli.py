"""lacewinggw-lab: stand-ins, load, faults and experiments on loopback.

Usage:
  lacewinggw-lab demo [options]
  lacewinggw-lab standins [--ip IP] [--seed N] [--origin-rate BYTES] [--store-rate BYTES]
  lacewinggw-lab targets [--ip IP] [--seed N] [--kind KIND] [--count N] [--batch N]
                         [--token-time SECONDS]
  lacewinggw-lab <experiment> [<argument>...]
  lacewinggw-lab --help

Commands:
  demo      The main job: spread a model, serve it, move to a second one under load.
  standins  Run the platform's stand-ins until SIGTERM; print their addresses as JSON.
  targets   Run engines or plain services until SIGTERM; print their addresses as JSON.
  spread, requests, load, config, faults, slopes, patterns, report
            Experiments; `lacewinggw-lab <experiment> --help` tells the options of each.

Options:
  --entries N           Entries to start [default: 3].
  --hosts N             Target hosts to start [default: 8].
  --size BYTES          Size of each model release [default: 8388608].
  --chunk BYTES         Size of a chunk [default: 262144].
  --floor SHARE         Share of replicas kept serving during a change [default: 50%].
  --ip IP               Address to listen on [default: 127.0.0.1].
  --seed N              Seed of all randomness [default: 1].
  --origin-rate BYTES   Rate of the origin's link, a second; 0 for no limit [default: 0].
  --store-rate BYTES    Rate of the weight store's link [default: 0].
  --kind KIND           engine or plain [default: engine].
  --count N             How many targets [default: 1].
  --batch N             Requests that an engine runs at once [default: 8].
  --token-time SECONDS  Time an engine takes for a token [default: 0.002].
  --json                Print one JSON object.
  -h --help             Show this text.
"""

import asyncio
import importlib
import json
import signal
import sys
from collections.abc import Sequence
from typing import Any

from docopt import DocoptExit, docopt

from lacewinggw.lab.standin import StandIn
from lacewinggw.lab.standins import PlatformStandIns
from lacewinggw.lab.targets import make_targets, start_all
from lacewinggw.log import LogFormat, configure_log
from lacewinggw.wire.network import TcpNetwork

EXPERIMENTS = ("spread", "requests", "load", "config", "faults", "slopes", "patterns", "report")
BAD_INPUT = 2

Options = dict[str, Any]


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    words = list(sys.argv[1:] if argv is None else argv)
    configure_log(LogFormat.TEXT, "warning")
    if words and words[0] in EXPERIMENTS:
        return run_experiment(words[0], words[1:])
    try:
        options = docopt(__doc__ or "", words)
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    if options["demo"]:
        from lacewinggw.lab.demo import run

        return run(options)
    if options["standins"] or options["targets"]:
        asyncio.run(serve_stand_ins(options))
        return 0
    print(f"unknown experiment; there are {', '.join(EXPERIMENTS)}", file=sys.stderr)
    return BAD_INPUT


def run_experiment(name: str, arguments: list[str]) -> int:
    """Run the experiment of the module of that name, which reads its own arguments."""
    module = importlib.import_module(f"lacewinggw.lab.{name}")
    code: int = module.run(arguments)
    return code


async def serve_stand_ins(options: Options) -> None:
    """Run stand-ins until SIGTERM or SIGINT; print where they are as one line of JSON."""
    leaving = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, leaving.set)
    started, told = await (
        _start_platform(options) if options["standins"] else _start_targets(options)
    )
    print(json.dumps(told), flush=True)
    await leaving.wait()
    for stand_in in started:
        await stand_in.close()


async def _start_platform(options: Options) -> tuple[list[StandIn], Any]:
    platform = PlatformStandIns(
        TcpNetwork(),
        options["--ip"],
        int(options["--seed"]),
        float(options["--origin-rate"]),
        float(options["--store-rate"]),
    )
    await platform.start()
    parts = platform.parts
    return list(parts.values()), {name: part.address for name, part in parts.items()}


async def _start_targets(options: Options) -> tuple[list[StandIn], Any]:
    made = make_targets(
        TcpNetwork(),
        options["--kind"],
        options["--ip"],
        int(options["--count"]),
        int(options["--seed"]),
        float(options["--token-time"]),
        int(options["--batch"]),
    )
    return made, {"targets": await start_all(made)}


if __name__ == "__main__":
    sys.exit(main())
