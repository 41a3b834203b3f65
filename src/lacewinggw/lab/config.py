"""lacewinggw-lab config: accept changes under faults, and time how long until they are in force.

Usage:
  lacewinggw-lab config [options] [--fault FAULT]...

Options:
  --entries N     Entries to start [default: 8].
  --agents N      Agents to start [default: 8].
  --rate R        Changes a second, over all operators [default: 4].
  --seconds S     How long operators give commands [default: 30].
  --conflicts N   Pairs of operators who then change one service at the same moment [default: 0].
  --seed N        Seed of all randomness [default: 1].
  --fault FAULT   kill, pause, outage, lost or slow; may be given several times.
  --placement     Lose hosts, racks and places instead, and time until the replicas serve again.
  --slopes        Measure what one change, target and entry cost instead.
  --json          Print one JSON object.
  -h --help       Show this text.
"""

import asyncio
import json
import random
import sys
from dataclasses import asdict, dataclass
from time import time
from typing import Any

from docopt import DocoptExit, docopt

from lacewinggw.lab.configfigures import LogFigures, Usage, judge, read_log, read_usage
from lacewinggw.lab.configload import ConfigFault, Disturber, Operators, Tally
from lacewinggw.lab.configplacement import run_placement
from lacewinggw.lab.configslopes import measure_slopes
from lacewinggw.lab.fleet import Fleet, FleetHost, FleetPlan
from lacewinggw.lab.history import Killed, Paused

BAD_INPUT = 2
SETTLE_LIMIT_S = 30.0
SETTLE_POLL_S = 0.5
LAST_WORDS_S = 2.0
PERCENT = 100
KB = 1000


@dataclass(frozen=True)
class ConfigOptions:
    """What one run is to do."""

    entries: int
    agents: int
    rate_per_s: float
    seconds: float
    conflicts: int
    seed: int
    faults: tuple[ConfigFault, ...]


@dataclass(frozen=True)
class ConfigResult:
    """What one run measured; shares of a core are means over the time of the commands."""

    seed: int
    entries: int
    agents: int
    faults: tuple[str, ...]
    revisions: int
    accepted: int
    refused: int
    unknown: int
    conflicts: int
    told_both: int
    lost: int
    applied_twice: int
    refused_in_force: int
    disagreements: int
    regressions: int
    started_behind: int
    violations: int
    in_force_p50_s: float
    in_force_p99_s: float
    in_force_max_s: float
    settle_s: float
    store_reads_per_s: float
    store_writes_per_s: float
    entry_core_percent: float
    agent_core_percent: float
    entry_memory_mb: float
    agent_memory_mb: float
    news_kb_per_s: float


def run(arguments: list[str]) -> int:
    """Run the experiment with the arguments of the command line; return its exit code."""
    try:
        given = docopt(__doc__ or "", ["config", *arguments])
        options = read_options(given)
    except (DocoptExit, ValueError) as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    command = " ".join(["lacewinggw-lab config", *arguments])
    if given["--slopes"]:
        _print_figures(command, asdict(measure_slopes()), bool(given["--json"]))
        return 0
    if given["--placement"]:
        run_of = run_placement(options.entries, options.agents, options.seed)
        placement = asyncio.run(run_of)
        figures = {"needless_moves": placement.needless_moves, **asdict(placement)}
        _print_figures(command, figures, bool(given["--json"]))
        return 1 if placement.needless_moves else 0
    result = asyncio.run(run_config(options))
    _print_figures(command, asdict(result), bool(given["--json"]))
    sound = not (result.lost or result.regressions or result.applied_twice or result.violations)
    return 0 if sound and not result.refused_in_force and not result.disagreements else 1


def _print_figures(command: str, figures: dict[str, Any], as_json: bool) -> None:
    if as_json:
        print(json.dumps({"command": command, **figures}, indent=2))
        return
    for name, value in figures.items():
        print(f"{name}: {value}")


def read_options(given: dict[str, object]) -> ConfigOptions:
    """Return the options as numbers; raise `ValueError` for one that is none."""
    faults = given["--fault"]
    assert isinstance(faults, list)
    return ConfigOptions(
        entries=int(str(given["--entries"])),
        agents=int(str(given["--agents"])),
        rate_per_s=float(str(given["--rate"])),
        seconds=float(str(given["--seconds"])),
        conflicts=int(str(given["--conflicts"])),
        seed=int(str(given["--seed"])),
        faults=tuple(ConfigFault(fault) for fault in faults),
    )


async def run_config(options: ConfigOptions) -> ConfigResult:
    """Start a fleet, give commands, disturb it, and judge what its processes logged."""
    plan = FleetPlan(
        entries=options.entries,
        engines=options.agents,
        seed=options.seed,
        overrides={"process": {"log_level": "debug"}},
    )
    fleet = Fleet(plan)
    try:
        await fleet.start()
        return await _Run(fleet, options).measure()
    finally:
        await fleet.close()


class _Run:
    """One run on a fleet that is up."""

    def __init__(self, fleet: Fleet, options: ConfigOptions) -> None:
        self._fleet = fleet
        self._options = options
        self._tally = Tally()
        self._rng = random.Random(options.seed)

    async def measure(self) -> ConfigResult:
        options, fleet = self._options, self._fleet
        operators = Operators(fleet, self._tally, random.Random(self._rng.random()))
        disturber = Disturber(fleet, self._tally, random.Random(self._rng.random()))
        await operators.prepare()
        await self._settle()
        before = await self._store_counts()
        usage = self._usage()
        began = time()
        await asyncio.gather(
            operators.run(options.rate_per_s, options.seconds),
            disturber.run(list(options.faults), options.seconds),
        )
        await operators.collide(options.conflicts)
        elapsed = time() - began
        after = await self._store_counts()
        used = self._usage()
        ended = time()
        await self._settle()
        settle_s = time() - ended
        news_bytes = await self._news_bytes()
        await asyncio.sleep(LAST_WORDS_S)
        reads, writes = (late - early for late, early in zip(after, before, strict=True))
        entry_core, entry_memory = _mean_usage(fleet.entries, usage, used, elapsed)
        agent_core, agent_memory = _mean_usage(fleet.agents, usage, used, elapsed)
        figures = self._judge()
        tally = self._tally
        in_force = sorted(figures.in_force_s)
        return ConfigResult(
            seed=options.seed,
            entries=options.entries,
            agents=options.agents,
            faults=tuple(fault.value for fault in options.faults),
            revisions=len(in_force),
            accepted=tally.accepted,
            refused=tally.refused,
            unknown=tally.unknown,
            conflicts=tally.conflicts,
            told_both=tally.told_both,
            lost=figures.lost,
            applied_twice=figures.applied_twice,
            refused_in_force=figures.refused_in_force,
            disagreements=figures.disagreements,
            regressions=figures.regressions,
            started_behind=figures.started_behind,
            violations=len(figures.violations),
            in_force_p50_s=_quantile(in_force, 0.5),
            in_force_p99_s=_quantile(in_force, 0.99),
            in_force_max_s=_quantile(in_force, 1.0),
            settle_s=round(settle_s, 3),
            store_reads_per_s=round(reads / elapsed, 2),
            store_writes_per_s=round(writes / elapsed, 2),
            entry_core_percent=entry_core,
            agent_core_percent=agent_core,
            entry_memory_mb=entry_memory,
            agent_memory_mb=agent_memory,
            news_kb_per_s=round(news_bytes / elapsed / KB, 3),
        )

    def _judge(self) -> LogFigures:
        disturbed = {
            event.host for event in self._tally.history if isinstance(event, Killed | Paused)
        }
        names = {str(host) for host in self._fleet.hosts}
        seen = [
            each for name in sorted(names) for each in read_log(self._fleet.folder / f"{name}.log")
        ]
        return judge(seen, self._tally.history, frozenset(names - disturbed))

    async def _settle(self) -> None:
        """Wait until every process runs and has the same revision."""
        await self._fleet.wait_ready(self._fleet.hosts.values())
        until = time() + SETTLE_LIMIT_S
        while len(set(await self._revisions())) > 1:
            if time() > until:
                raise TimeoutError("the processes did not come to one revision")
            await asyncio.sleep(SETTLE_POLL_S)

    async def _revisions(self) -> list[int]:
        async def ask(host: FleetHost) -> int:
            address = host.member.operator_address
            answer = await self._fleet.http.request(address, "GET", "/healthz")
            return int(answer.json()["revision"])

        return list(await asyncio.gather(*(ask(host) for host in self._fleet.hosts.values())))

    async def _store_counts(self) -> tuple[int, int]:
        stats = await self._fleet.stats(self._fleet.platform["table"])
        return int(stats["reads"]["total"]), int(stats["writes"]["total"])

    def _usage(self) -> dict[int, Usage]:
        running = [host.process for host in self._fleet.hosts.values() if host.process is not None]
        return {each.process.pid: read_usage(each.process.pid) for each in running if each.running}

    async def _news_bytes(self) -> float:
        """Return the mean of the bytes of news that each entry has sent."""
        total = 0.0
        for host in self._fleet.entries:
            address = host.member.operator_address
            page = await self._fleet.http.request(address, "GET", "/metrics")
            for line in page.content.decode().splitlines():
                if line.startswith("lacewinggw_configuration_news_sent_bytes_total"):
                    total += float(line.split()[1])
        return total / len(self._fleet.entries)


def _mean_usage(
    hosts: list[FleetHost], before: dict[int, Usage], after: dict[int, Usage], elapsed_s: float
) -> tuple[float, float]:
    """Return the mean share of a core, in percent, and memory in MB, of undisturbed processes."""
    pids = [host.process.process.pid for host in hosts if host.process is not None]
    kept = [pid for pid in pids if pid in before and pid in after]
    if not kept:
        return 0.0, 0.0
    cpu_s = sum(after[pid].cpu_s - before[pid].cpu_s for pid in kept) / len(kept)
    memory = sum(after[pid].memory_bytes for pid in kept) / len(kept)
    return round(cpu_s / elapsed_s * PERCENT, 2), round(memory / KB / KB, 1)


def _quantile(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0.0
    index = min(int(share * len(ordered)), len(ordered) - 1)
    return round(ordered[index], 4)
