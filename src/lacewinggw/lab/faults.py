"""lacewinggw-lab faults: spread, requests and configuration under all faults at once.

Usage:
  lacewinggw-lab faults [options]

Real processes on loopback serve a model and a plain service while hosts are lost, frozen and shut
down, the platform fails, weights arrive corrupted, operators race and releases change. Then all
faults end, the fleet settles, and the checkers judge the whole history. The same seed draws the
same faults; the report says what was done when.

Options:
  --seed N        Seed of all randomness [default: 1].
  --seconds T     How long faults go on [default: 45].
  --callers N     Callers at work [default: 8].
  --entries N     Entries to start [default: 3].
  --engines N     Engines to start [default: 6].
  --plains N      Plain targets to start [default: 2].
  --history FILE  Keep the history as JSON lines.
  --json          Print one JSON object.
  -h --help       Show this text.
"""

import asyncio
import json
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from docopt import docopt

from lacewinggw.lab.checkers import count_by_property
from lacewinggw.lab.faultplan import (
    Corruption,
    CutAnswers,
    Fault,
    Freeze,
    Kill,
    Lag,
    Leave,
    LostReplies,
    Outage,
    Race,
    Rollout,
    Shutdown,
    Slow,
    SlowTarget,
    Stall,
    Step,
    draw_lanes,
)
from lacewinggw.lab.fleet import Fleet, FleetPlan
from lacewinggw.lab.history import (
    CommandAccepted,
    CommandRefused,
    CommandUnknown,
    Event,
    Note,
    WeightsActivated,
    to_line,
)
from lacewinggw.lab.observed import ObservedFleet
from lacewinggw.lab.standin import now
from lacewinggw.lab.trial import MODEL, PLAIN, Trial, TrialPlan, Verdict

WELL_LIMIT_S = 60.0
SHOWN_VIOLATIONS = 20
RELEASE_BYTES = 4 << 20
CHUNK_BYTES = 1 << 18
OVERRIDES = {"entry": {"address_ttl_ms": 3000}, "configuration": {"snapshot_every": 20}}


class FaultRunner:
    """Strike a trial's fleet with the faults of a seed until the time is up."""

    def __init__(self, trial: Trial, seed: int) -> None:
        self._trial = trial
        self._fleet = trial.fleet
        self._seed = seed

    async def run(self, seconds: float) -> None:
        """Run every lane; each ends with its fault undone."""
        end = now() + seconds
        fleet = self._fleet
        engines = [name for name in fleet.agents if not fleet.is_plain(name)]
        lanes = draw_lanes(self._seed, fleet.entries, fleet.agents, engines)
        await asyncio.gather(*(self._run_lane(lane, end) for lane in lanes.values()))

    async def _run_lane(self, lane: Iterator[Step], end: float) -> None:
        for step in lane:
            if now() + step.pause_s >= end:
                return
            await asyncio.sleep(step.pause_s)
            self._fleet.say(str(step.fault))
            await self.strike(step.fault)

    async def strike(self, fault: Fault) -> None:
        """Carry out one fault, and undo it when its time is over."""
        fleet = self._fleet
        match fault:
            case Kill(host, down_s):
                await fleet.kill(host)
                await asyncio.sleep(down_s)
                await fleet.restart(host)
            case Freeze(host, lasts_s):
                fleet.pause(host)
                await asyncio.sleep(lasts_s)
                fleet.resume(host)
            case Shutdown(host, down_s):
                await fleet.terminate(host)
                await asyncio.sleep(down_s)
                await fleet.restart(host)
            case Leave(host, lasts_s):
                await fleet.set_leaving(host)
                await asyncio.sleep(lasts_s)
                await fleet.terminate(host)
                await fleet.restart(host)
            case Outage(part, kind, lasts_s):
                await fleet.begin_outage(part, outage=kind)
                await asyncio.sleep(lasts_s)
                await fleet.end_outage(part, outage="none")
            case Slow(part, delay_s, lasts_s):
                await fleet.begin_outage(part, delay_s=delay_s)
                await asyncio.sleep(lasts_s)
                await fleet.end_outage(part, delay_s=0.0)
            case LostReplies(part, share, lasts_s):
                await fleet.begin_outage(part, lose_share=share)
                await asyncio.sleep(lasts_s)
                await fleet.end_outage(part, lose_share=0.0)
            case Corruption(part, share, lasts_s):
                await self._disturb_for(part, lasts_s, "corrupt_share", share)
            case Stall(part, lasts_s):
                await self._disturb_for(part, lasts_s, "stall", True)
            case Lag(lag_s, lasts_s):
                await self._disturb_for("membership", lasts_s, "lag_s", lag_s)
            case CutAnswers(host, share, lasts_s):
                await fleet.begin_target_fault(host, cut_share=share)
                await asyncio.sleep(lasts_s)
                await fleet.end_target_fault(host, cut_share=0.0)
            case SlowTarget(host, factor, lasts_s):
                await fleet.slow_target(host, factor)
                await asyncio.sleep(lasts_s)
                await fleet.slow_target(host, 1.0)
            case Rollout(release, replicas):
                await fleet.command(_set(release, replicas))
            case Race(releases, replicas):
                entries = fleet.running_entries()
                words = [_set(release, replicas) for release in releases]
                await asyncio.gather(
                    fleet.command(words[0], entries[0]), fleet.command(words[1], entries[-1])
                )

    async def _disturb_for(self, part: str, lasts_s: float, name: str, value: Any) -> None:
        await self._fleet.disturb(part, **{name: value})
        await asyncio.sleep(lasts_s)
        await self._fleet.disturb(part, **{name: type(value)(0)})


def _set(release: str, replicas: int) -> str:
    return f"set service {MODEL} release {release} replicas {replicas}"


@dataclass(frozen=True)
class FaultsResult:
    """What a run came to, and whether the fleet got well once all faults had ended."""

    verdict: Verdict
    well_after_s: float | None
    held_up_by: list[str]


async def try_faults(trial: Trial, seed: int, seconds: float) -> FaultsResult:
    """Run a trial under the faults of a seed."""
    try:
        await trial.begin()
        await FaultRunner(trial, seed).run(seconds)
        ended_at = now()
        well = await trial.fleet.wait_until("wait all", WELL_LIMIT_S)
        well_after_s = now() - ended_at if well else None
        held_up_by = [] if well else await trial.fleet.hold_ups()
        return FaultsResult(await trial.finish(), well_after_s, held_up_by)
    finally:
        await trial.close()


def summarize(result: FaultsResult, options: dict[str, Any]) -> dict[str, Any]:
    """Return what is printed: verdict, counts, and what was done when."""
    verdict = result.verdict
    history = verdict.history
    kinds = Counter(type(event) for event in history)
    begin = history[0].at
    return {
        "command": f"lacewinggw-lab faults --seed {options['--seed']} "
        f"--seconds {options['--seconds']} --callers {options['--callers']} "
        f"--entries {options['--entries']} --engines {options['--engines']} "
        f"--plains {options['--plains']} --json",
        "seed": int(options["--seed"]),
        "seconds": float(options["--seconds"]),
        "violations": count_by_property(verdict.violations),
        "violations_total": len(verdict.violations),
        "violation_lines": [str(each) for each in verdict.violations[:SHOWN_VIOLATIONS]],
        "outcomes": verdict.outcomes,
        "unknown_by_code": verdict.unknown_by_code,
        "runs": verdict.runs,
        "commands": {
            "accepted": kinds[CommandAccepted],
            "refused": kinds[CommandRefused],
            "unknown": kinds[CommandUnknown],
        },
        "activations": kinds[WeightsActivated],
        "well_after_s": result.well_after_s,
        "held_up_by": result.held_up_by,
        "done": [_describe(event, begin) for event in history if isinstance(event, Note)],
    }


def _describe(note: Note, begin: float) -> dict[str, Any]:
    return {"at_s": round(note.at - begin, 2), "what": note.words}


def make_trial(options: dict[str, Any]) -> Trial:
    """Return the trial of a fleet of real processes."""
    seed = int(options["--seed"])
    plains = int(options["--plains"])
    fleet = Fleet(
        FleetPlan(
            entries=int(options["--entries"]),
            engines=int(options["--engines"]),
            plain_services={PLAIN: plains} if plains else {},
            seed=seed,
            overrides=OVERRIDES,
        )
    )
    plan = TrialPlan(
        callers=int(options["--callers"]),
        release_bytes=RELEASE_BYTES,
        chunk_bytes=CHUNK_BYTES,
        seed=seed,
    )
    return Trial(ObservedFleet(fleet, seed), plan)


def run(arguments: Sequence[str]) -> int:
    """Run the command and return its exit code: 0 when every property held."""
    options = docopt(__doc__ or "", ["faults", *arguments])
    seed, seconds = int(options["--seed"]), float(options["--seconds"])
    result = asyncio.run(try_faults(make_trial(options), seed, seconds))
    if options["--history"]:
        _write_history(Path(options["--history"]), result.verdict.history)
    summary = summarize(result, options)
    if options["--json"]:
        print(json.dumps(summary))
    else:
        _print_summary(summary)
    return 1 if summary["violations_total"] else 0


def _write_history(path: Path, history: Sequence[Event]) -> None:
    path.write_text("".join(f"{to_line(event)}\n" for event in history))


def _print_summary(summary: dict[str, Any]) -> None:
    for step in summary["done"]:
        print(f"{step['at_s']:8.2f} s  {step['what']}")
    for name in ("outcomes", "unknown_by_code", "commands", "well_after_s", "held_up_by"):
        print(f"{name}: {summary[name]}")
    for name, count in summary["violations"].items():
        print(f"{name}: {count} violations")
    for line in summary["violation_lines"]:
        print(line)
