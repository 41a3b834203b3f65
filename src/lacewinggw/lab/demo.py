"""The main job, from end to end, on one machine.

Stand-ins of the platform, entries and agents come up as separate processes. An operator declares a
release and a service; the weights spread from host to host; callers get whole answers; then the
service moves to a second release while they go on. Every figure is measured in the run.
"""

import asyncio
import json
import random
import sys
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any

from lacewinggw.lab.callers import Caller, Told, Verdict, count_outcomes
from lacewinggw.lab.fleet import Fleet, FleetHost, FleetPlan

SERVICE = "bulletin-writer"
FIRST, SECOND = "market-6", "market-7"
WINDOW_S = 4.0
ORIGIN_COPIES_PER_WINDOW = 4
HOST_COPIES_PER_WINDOW = 2
CALLERS = 6
PAUSE_S = 0.02
POLL_S = 0.05
SPREAD_LIMIT_S = 120.0
AFTERMATH_S = 2.0


@dataclass(frozen=True)
class Spread:
    """How one release came to its hosts; times in seconds, bytes in copies of the release."""

    release: str
    replicas: int
    time_to_n_s: float
    lower_bound_s: float
    origin_copies: float


@dataclass(frozen=True)
class DemoResult:
    """What one run of the demo measured; latencies are those of answered requests."""

    entries: int
    hosts: int
    release_bytes: int
    time_to_n_s: float
    origin_copies: float
    outcomes: dict[str, int]
    mixed_answers: int
    answers_by_release: dict[str, int]
    latency_p50_s: float
    latency_p95_s: float
    spreads: list[Spread]


class Demo:
    """One run."""

    def __init__(
        self, fleet: Fleet, size_bytes: int, chunk_bytes: int, floor: str, quiet: bool
    ) -> None:
        self._fleet = fleet
        self._floor = floor
        self._stopping = False
        self._size_bytes = size_bytes
        self._chunk_bytes = chunk_bytes
        self._quiet = quiet
        self._digests: dict[str, str] = {}
        self._callers = [self._make_caller(number) for number in range(CALLERS)]

    async def run(self) -> DemoResult:
        """Run the whole story and return what was measured."""
        fleet = self._fleet
        hosts = len(fleet.agents)
        self._say(f"{len(fleet.entries)} entries, {hosts} agents and engines are up")
        first = await self._roll_out(
            FIRST, f"create service {SERVICE} floor {self._floor} release {FIRST}"
        )
        running = asyncio.gather(*(self._call_on(caller) for caller in self._callers))
        await asyncio.sleep(AFTERMATH_S)
        second = await self._roll_out(SECOND, f"set service {SERVICE} release {SECOND}")
        await asyncio.sleep(AFTERMATH_S)
        self._stopping = True
        await running
        return self._conclude(hosts, [first, second])

    async def _roll_out(self, release: str, command: str) -> Spread:
        fleet = self._fleet
        loop = asyncio.get_running_loop()
        replicas = len(fleet.agents)
        seed = [FIRST, SECOND].index(release)
        await fleet.publish(release, self._size_bytes, self._chunk_bytes, seed)
        await fleet.ask(f"create release {release}")
        sent_before = await self._origin_bytes()
        started_at = loop.time()
        await fleet.ask(f"{command} replicas {replicas}")
        self._say(f"accepted: {command} replicas {replicas}")
        digest = await self._wait_served(replicas, set(self._digests.values()))
        self._digests[release] = digest
        elapsed_s = loop.time() - started_at
        copies = (await self._origin_bytes() - sent_before) / self._size_bytes
        bound_s = WINDOW_S / HOST_COPIES_PER_WINDOW
        self._say(
            f"{replicas} replicas serve {release} after {elapsed_s:.2f} s "
            f"(lower bound {bound_s:.2f} s); {copies:.2f} copies drawn from the origin"
        )
        return Spread(release, replicas, elapsed_s, bound_s, copies)

    async def _wait_served(self, replicas: int, old: set[str]) -> str:
        """Wait until every engine reports the same new digest as active."""
        deadline = asyncio.get_running_loop().time() + SPREAD_LIMIT_S
        while asyncio.get_running_loop().time() < deadline:
            states = await asyncio.gather(*(self._active(host) for host in self._fleet.agents))
            fresh = [digest for digest in states if digest and digest not in old]
            if len(fresh) == replicas and len(set(fresh)) == 1:
                return fresh[0]
            await asyncio.sleep(POLL_S)
        raise TimeoutError(f"the release was not served everywhere after {SPREAD_LIMIT_S:g} s")

    async def _active(self, host: FleetHost) -> str:
        response = await self._fleet.http.request(host.target, "GET", "/state")
        return str(response.json()["active"])

    async def _origin_bytes(self) -> int:
        stats = await self._fleet.stats(self._fleet.platform["origin"])
        return int(stats["sent_bytes"])

    def _make_caller(self, number: int) -> Caller:
        fleet = self._fleet
        accounts = fleet.plan.accounts
        headers = fleet.caller_headers(accounts[number % len(accounts)])
        entries = [host.member.caller_address for host in fleet.entries]
        return Caller(fleet.http, entries, headers, random.Random(number))

    async def _call_on(self, caller: Caller) -> None:
        number = 0
        while not self._stopping:
            await caller.send(SERVICE, f"tally-{number}")
            number += 1
            await asyncio.sleep(PAUSE_S)

    def _conclude(self, hosts: int, spreads: Sequence[Spread]) -> DemoResult:
        told: list[Told] = [each for caller in self._callers for each in caller.told]
        answered = [each for each in told if each.verdict is Verdict.ANSWERED]
        names = {digest: release for release, digest in self._digests.items()}
        by_release = dict.fromkeys(self._digests, 0)
        mixed = 0
        for each in answered:
            if each.weights_digest in names:
                by_release[names[each.weights_digest]] += 1
            else:
                mixed += 1
        last = spreads[-1]
        return DemoResult(
            entries=len(self._fleet.entries),
            hosts=hosts,
            release_bytes=self._size_bytes,
            time_to_n_s=last.time_to_n_s,
            origin_copies=last.origin_copies,
            outcomes=count_outcomes(told),
            mixed_answers=mixed,
            answers_by_release=by_release,
            latency_p50_s=share_of([each.seconds for each in answered], 0.50),
            latency_p95_s=share_of([each.seconds for each in answered], 0.95),
            spreads=list(spreads),
        )

    def _say(self, line: str) -> None:
        if not self._quiet:
            print(line, flush=True)


def share_of(values: Sequence[float], share: float) -> float:
    """Return the value that `share` of the values do not exceed, 0 when there are none."""
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)] if ordered else 0.0


def run(options: dict[str, Any]) -> int:
    """Run the demo with the options of the command line; return its exit code."""
    result = asyncio.run(run_demo(options))
    if options["--json"]:
        print(json.dumps(asdict(result)))
    else:
        print_result(result)
    whole = result.outcomes[Verdict.ANSWERED.value] > 0 and not result.mixed_answers
    return 0 if whole and not result.outcomes[Verdict.INCOMPLETE.value] else 1


async def run_demo(options: dict[str, Any]) -> DemoResult:
    """Start a fleet, run the story on it, and stop it."""
    size_bytes = int(options["--size"])
    plan = FleetPlan(
        entries=int(options["--entries"]),
        engines=int(options["--hosts"]),
        seed=int(options["--seed"]),
        origin_bytes_per_s=int(size_bytes * ORIGIN_COPIES_PER_WINDOW / WINDOW_S),
        link_bytes_per_s=int(size_bytes * HOST_COPIES_PER_WINDOW / WINDOW_S),
    )
    fleet = Fleet(plan)
    try:
        await fleet.start()
        demo = Demo(
            fleet, size_bytes, int(options["--chunk"]), options["--floor"], options["--json"]
        )
        return await demo.run()
    finally:
        await fleet.close()


def print_result(result: DemoResult) -> None:
    """Print the figures for a person."""
    out = sys.stdout
    out.write(f"time to {result.hosts} replicas: {result.time_to_n_s:.2f} s\n")
    out.write(f"copies drawn from the origin: {result.origin_copies:.2f}\n")
    for outcome, count in result.outcomes.items():
        out.write(f"requests {outcome}: {count}\n")
    for release, count in result.answers_by_release.items():
        out.write(f"answers from {release}: {count}\n")
    out.write(f"answers from anything else: {result.mixed_answers}\n")
