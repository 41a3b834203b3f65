"""Requests of every kind on real processes under faults, with the history checked.

Usage:
  lacewinggw-lab requests [options]

Options:
  --seed N        Seed of all randomness [default: 1].
  --seconds N     How long requests are sent under faults [default: 90].
  --calm N        Seconds without faults before that, to compare with [default: 10].
  --callers N     Programs that send requests [default: 60].
  --entries N     Entries [default: 4].
  --hosts N       Hosts with engines [default: 8].
  --faults NAMES  Kinds of fault by commas, all or none [default: all].
  --history FILE  Write the history there as JSON lines.
  --json          Print one JSON object.
"""

import asyncio
import json
import random
import sys
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from docopt import DocoptExit, docopt

from lacewinggw.lab.checkers import Property, check, count_by_property, describe
from lacewinggw.lab.disturbances import Disturbances, parse_faults
from lacewinggw.lab.facts import AttemptFacts, Facts
from lacewinggw.lab.fleet import Fleet, FleetPlan
from lacewinggw.lab.history import Answered, Broken, NotRun, Recorder, ReleasePublished, Unknown
from lacewinggw.lab.relay import Relay
from lacewinggw.lab.requesters import Mix, Requester
from lacewinggw.lab.runs import run_events

SERVICE, PLAIN = "bulletin-writer", "legacy-ledger"
RELEASES = ("market-6", "market-7")
RELEASE_BYTES, CHUNK_BYTES = 1 << 20, 1 << 18
PLAIN_HOSTS = 2
RELAYED_HOSTS = 3
RELAY_PORT = 7100
PAUSE_S = 0.3  # longest pause of a caller between two requests
READY_LIMIT_S = 60.0
SETTLE_S = 12.0  # for late runs, before the records are read
ADDRESS_TTL_MS = 3000
SLOW_SHARE = 0.95
BAD_INPUT = 2

ContentIndex = dict[tuple[str, int], set[str]]


@dataclass(frozen=True)
class RequestResult:
    """What one run counted; `unknown` by code, `violations` by property."""

    seed: int
    seconds: float
    callers: int
    faults: dict[str, int]
    requests: int
    sendings: int
    answered: int
    not_connected: int
    not_run: dict[str, int]
    ran_twice: int
    false_not_run: int
    incomplete: int
    foreign: int
    cut_off: int
    unexplained: int
    unknown: dict[str, int]
    p95_calm_ms: float
    p95_ms: float
    p95_ratio: float
    violations: dict[str, int]
    command: str


class Trial:
    """One run of the experiment."""

    def __init__(self, fleet: Fleet, options: dict[str, Any]) -> None:
        self._fleet = fleet
        self._options = options
        self._rng = random.Random(int(options["--seed"]))
        self.recorder = Recorder(time.monotonic)
        self._relays: dict[str, Relay] = {}
        self._stopping = False
        self._release = 0
        self._disturbances = Disturbances(
            fleet, self._relays, self.recorder, random.Random(self._rng.random()), self._change
        )

    async def run(self) -> RequestResult:
        """Run it from the first command to the verdict."""
        await self._set_up()
        requesters = [self._make_requester(n) for n in range(int(self._options["--callers"]))]
        calling = [asyncio.create_task(self._call(each)) for each in requesters]
        await asyncio.sleep(float(self._options["--calm"]))
        disturbed_at = self.recorder.now()
        kinds = parse_faults(self._options["--faults"])
        disturbing = asyncio.create_task(self._disturbances.run(kinds))
        await asyncio.wait({disturbing}, timeout=float(self._options["--seconds"]))
        self._stopping = True
        self._disturbances.stop()
        await asyncio.gather(*calling)
        await disturbing
        await asyncio.sleep(SETTLE_S)
        await self._read_runs()
        return self._conclude(requesters, disturbed_at)

    async def close(self) -> None:
        """Close the relays."""
        for relay in self._relays.values():
            await relay.close()

    async def _set_up(self) -> None:
        fleet = self._fleet
        for host in fleet.agents[:RELAYED_HOSTS]:
            await self._relay(host.member.host)
        for number, release in enumerate(RELEASES):
            await fleet.publish(release, RELEASE_BYTES, CHUNK_BYTES, number)
            await fleet.ask(f"create release {release}")
        replicas = len(fleet.engines)
        await fleet.ask(f"create service {PLAIN} plain replicas {PLAIN_HOSTS}")
        await fleet.ask(f"create service {SERVICE} release {RELEASES[0]} replicas {replicas}")
        digests = await self._wait_until_served(replicas)
        self.recorder.record(*(ReleasePublished(0.0, digest) for digest in digests))

    async def _relay(self, host: str) -> None:
        """Put a relay before an agent's listener, and list its address in place of the agent's."""
        found = next(each for each in self._fleet.agents if each.member.host == host)
        ip = found.member.address.partition(":")[0]
        relay = Relay(self._fleet.network, f"{ip}:{RELAY_PORT}", found.member.address)
        await relay.start()
        self._relays[str(host)] = relay
        await self._fleet.move_address(found, relay.address)

    async def _wait_until_served(self, replicas: int) -> list[str]:
        """Wait for the first release on every host; return the digests of all releases."""
        deadline = self.recorder.now() + READY_LIMIT_S
        while self.recorder.now() < deadline:
            states = [await self._fleet.get(address, "/state") for address in self._fleet.engines]
            if sum(bool(state["active"]) for state in states) == replicas:
                return await self._digests()
            await asyncio.sleep(0.2)
        raise TimeoutError(f"{replicas} replicas did not serve within {READY_LIMIT_S:g} s")

    async def _digests(self) -> list[str]:
        origin = self._fleet.platform["origin"]
        manifests = [
            await self._fleet.get(origin, f"/releases/{each}/manifest") for each in RELEASES
        ]
        return [str(manifest["digest"]) for manifest in manifests]

    async def _change(self) -> None:
        """Move the service to the other release, through any entry that answers."""
        self._release = 1 - self._release
        name, replicas = RELEASES[self._release], len(self._fleet.engines)
        for entry in self._fleet.entries:
            try:
                await self._fleet.ask(
                    f"set service {SERVICE} release {name} replicas {replicas}", entry
                )
                return
            except (OSError, TimeoutError, RuntimeError):
                continue

    def _make_requester(self, number: int) -> Requester:
        fleet = self._fleet
        hosts = {str(host.member.caller_address): str(host.member.host) for host in fleet.entries}
        account = fleet.plan.accounts[number % len(fleet.plan.accounts)]
        headers = fleet.caller_headers(account)
        rng = random.Random(self._rng.random())
        mix = Mix(SERVICE, PLAIN)
        return Requester(f"c{number}", fleet.http, hosts, headers, mix, self.recorder, rng)

    async def _call(self, requester: Requester) -> None:
        rng = random.Random(self._rng.random())
        while not self._stopping:
            await requester.request()
            await asyncio.sleep(rng.uniform(0, PAUSE_S))

    async def _read_runs(self) -> None:
        for host in self._fleet.agents:
            told = await self._fleet.get(host.target, "/runs")
            told.setdefault("activations", [])
            self.recorder.record(*run_events(str(host.member.host), told))

    def _conclude(self, requesters: Sequence[Requester], disturbed_at: float) -> RequestResult:
        options = self._options
        history = self.recorder.history
        facts = Facts.from_history(history)
        violations = check(history)
        if violations:
            print(describe(violations[:40]), file=sys.stderr)
        by_property = count_by_property(violations)
        finals = [attempt for attempt in facts.attempts.values() if attempt.final is not None]
        kinds = Counter(type(attempt.final).__name__ for attempt in finals)
        index = index_content(facts)
        strangers = Counter(stranger(index, attempt) for attempt in finals)
        calm, stormy = _latencies(requesters, disturbed_at)
        p95_calm, p95 = _quantile(calm), _quantile(stormy)
        wrong_answers = strangers["foreign"] + strangers["incomplete"]
        return RequestResult(
            seed=int(options["--seed"]),
            seconds=float(options["--seconds"]),
            callers=len(requesters),
            faults=dict(sorted(self._disturbances.made.items())),
            requests=len(facts.attempts_of),
            sendings=len(facts.attempts),
            answered=kinds["Answered"],
            not_connected=kinds["GaveUp"],
            not_run=count_not_run(finals),
            ran_twice=by_property[Property.AT_MOST_ONCE.value],
            false_not_run=by_property[Property.NOT_RUN.value],
            incomplete=strangers["incomplete"],
            foreign=strangers["foreign"],
            cut_off=by_property[Property.GRACEFUL_SHUTDOWN.value],
            unexplained=by_property[Property.WHOLE_ANSWERS.value] - wrong_answers,
            unknown=count_unknown(finals),
            p95_calm_ms=round(p95_calm * 1000, 2),
            p95_ms=round(p95 * 1000, 2),
            p95_ratio=round(p95 / p95_calm, 3) if p95_calm else 0.0,
            violations=by_property,
            command=f"lacewinggw-lab requests {' '.join(options['argv'])}",
        )


def index_content(facts: Facts) -> ContentIndex:
    """Return which requests had a run that gave each content, by its digest and pieces."""
    index: ContentIndex = {}
    for run in facts.runs.values():
        if run.ended is not None:
            content = (run.ended.content_digest, run.ended.pieces)
            index.setdefault(content, set()).add(run.started.request)
    return index


def stranger(index: ContentIndex, attempt: AttemptFacts) -> str:
    """Return whether an answer is "foreign", "incomplete" or "" for its request's own."""
    answer = attempt.final
    if not isinstance(answer, Answered):
        return ""
    gave = index.get((answer.content_digest, answer.pieces), set())
    if attempt.sent.request in gave:
        return ""
    return "foreign" if gave else "incomplete"


def count_unknown(attempts: Sequence[AttemptFacts]) -> dict[str, int]:
    """Count attempts without a known outcome by code, or by how the connection was lost."""
    counts: Counter[str] = Counter()
    for attempt in attempts:
        match attempt.final:
            case Unknown(code=code):
                counts[code] += 1
            case Broken(reason=reason):
                counts[reason.partition(":")[0]] += 1
    return dict(sorted(counts.items()))


def count_not_run(attempts: Sequence[AttemptFacts]) -> dict[str, int]:
    """Count attempts that did not run, by code."""
    codes = (each.final.code for each in attempts if isinstance(each.final, NotRun))
    return dict(sorted(Counter(codes).items()))


def _latencies(
    requesters: Sequence[Requester], disturbed_at: float
) -> tuple[list[float], list[float]]:
    calm: list[float] = []
    stormy: list[float] = []
    for requester in requesters:
        for _, sent_at, seconds in requester.latencies:
            (calm if sent_at + seconds < disturbed_at else stormy).append(seconds)
    return calm, stormy


def _quantile(seconds: list[float]) -> float:
    ordered = sorted(seconds)
    return ordered[int(SLOW_SHARE * (len(ordered) - 1))] if ordered else 0.0


async def run_trial(options: dict[str, Any]) -> RequestResult:
    """Start a fleet, run the trial on it, and stop it."""
    plan = FleetPlan(
        entries=int(options["--entries"]),
        engines=int(options["--hosts"]),
        plain_services={PLAIN: PLAIN_HOSTS},
        seed=int(options["--seed"]),
        overrides={"entry": {"address_ttl_ms": ADDRESS_TTL_MS}},
    )
    fleet = Fleet(plan)
    trial = Trial(fleet, options)
    try:
        await fleet.start()
        result = await trial.run()
    finally:
        await trial.close()
        await fleet.close()
        if options["--history"]:
            trial.recorder.write(Path(options["--history"]))
    return result


def run(arguments: list[str]) -> int:
    """Run the experiment; return 0 when no property was broken."""
    try:
        options = docopt(__doc__ or "", ["requests", *arguments])
        parse_faults(options["--faults"])
    except (DocoptExit, ValueError) as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    options["argv"] = arguments
    result = asyncio.run(run_trial(options))
    if options["--json"]:
        print(json.dumps(asdict(result)))
    else:
        for name, value in asdict(result).items():
            print(f"{name}: {value}")
    return 1 if any(result.violations.values()) else 0
