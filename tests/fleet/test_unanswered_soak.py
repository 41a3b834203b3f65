"""Seeded runs: sound targets pause during changes, restarts and outages; no answer may be lost."""

import asyncio
import os
import random
from collections.abc import Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest
import structlog
from kept_callers import KeptCaller
from platform_standins import CHUNKS, DESK, KEY, LLM, MODEL, piece
from soak_checks import Finding, SoakChecker
from soak_fleet import BENCH, SCRIBE, SoakFleet, SoakTarget
from soak_load import Declared, Requests

from lacewinggw.lab.standin import Outage, wait_while

pytestmark = pytest.mark.looptime

SEEDS = range(int(os.environ.get("UNANSWERED_SEEDS", "4")))
FIRST_SEED = int(os.environ.get("UNANSWERED_FIRST_SEED", "0"))
PLAY_S = 12.0
SETTLE_S = 3.0  # for requests that a target begins after its caller has left
EVENTS_PER_S = 2.0
EVENTS = 8  # of a stream
PLACES = ("hall", "room", "shed")
MAX_DESCRIBED = 4  # findings in the message of a failure


class Events:
    """Events that overlap: pauses of sound targets, changes, restarts, outages of the store."""

    def __init__(self, fleet: SoakFleet, declared: Declared, rng: random.Random) -> None:
        self._fleet = fleet
        self._declared = declared
        self._rng = rng
        self._running: set[asyncio.Task[None]] = set()
        self._restarting: set[int] = set()
        self._named = 1
        self.log: list[str] = []

    async def run(self, until: float) -> None:
        while _now() < until:
            await asyncio.sleep(self._rng.expovariate(EVENTS_PER_S))
            self._begin(self._draw())
        await asyncio.gather(*self._running)
        self._fleet.store.faults.outage = Outage.NONE

    def _draw(self) -> Callable[[], Coroutine[None, None, None]]:
        events = [self._pause, self._change, self._restart_target, self._restart_entry]
        events += [self._reload, self._fail_store, self._name_version]
        return self._rng.choices(events, weights=(7, 5, 2, 3, 2, 1, 1))[0]

    def _begin(self, event: Callable[[], Coroutine[None, None, None]]) -> None:
        task = asyncio.ensure_future(event())
        self._running.add(task)

    def _note(self, text: str) -> None:
        self.log.append(f"{_now():.3f} {text}")

    async def _pause(self) -> None:
        targets = list(self._fleet.targets.values())
        count = self._rng.choice([1, self._rng.randint(1, len(targets)), len(targets)])
        seconds = self._rng.uniform(0.3, 2.2)
        paused = self._rng.sample(targets, count)
        self._note(f"{seconds:.2f} s of pause at {[target.target_id for target in paused]}")
        for target in paused:
            target.pause(seconds)

    async def _change(self) -> None:
        for _ in range(self._rng.choice([1, 1, 3, 5])):
            self._declared.change()
            self._note(f"routes {self._declared.body['Version']}")
            await asyncio.sleep(self._rng.uniform(0.0, 0.3))

    async def _restart_target(self) -> None:
        target = self._rng.choice(list(self._fleet.targets.values()))
        if self._rng.random() < 0.5:
            self._note(f"{target.target_id} leaves")
            self._fleet.list_leaving(target)
            await asyncio.sleep(self._rng.uniform(2.0, 4.0))
        self._note(f"restart of {target.target_id}")
        target.crash()

    async def _restart_entry(self) -> None:
        number = self._rng.randrange(len(self._fleet.entries))
        if number in self._restarting:
            return
        self._restarting.add(number)
        entry = self._fleet.entries[number]
        self._note(f"SIGTERM of entry {number}")
        self._fleet.signalled.append((number, _now()))
        await entry.drain()
        await entry.close()
        await asyncio.sleep(self._rng.uniform(0.0, 1.0))
        self._note(f"start of entry {number}")
        started = await self._fleet.add_entry(number + 1, PLACES[number % len(PLACES)])
        self._fleet.entries.remove(started)
        self._fleet.entries[number] = started
        self._restarting.discard(number)

    async def _reload(self) -> None:
        number = self._rng.randrange(len(self._fleet.entries))
        settings = self._fleet.entry_settings(number)
        settings.fleet.retry_percent = self._rng.choice([5, 20])
        settings.fleet.extra_retries = self._rng.choice([20, 100])
        settings.fleet.revocation_ms = self._rng.choice([3000, 5000])
        settings.entry.address_ttl_ms = self._rng.choice([1000, 2000])
        self._note(f"reload of entry {number}")
        self._fleet.entries[number].apply(settings)

    async def _fail_store(self) -> None:
        outage = self._rng.choice([Outage.HANG, Outage.REFUSE, Outage.CUT])
        seconds = self._rng.uniform(0.3, 3.0)
        self._note(f"{seconds:.2f} s without the store, {outage}")
        self._fleet.store.faults.outage = outage
        await asyncio.sleep(seconds)
        self._fleet.store.faults.outage = Outage.NONE

    async def _name_version(self) -> None:
        self._named += 1
        version = self._named
        self._note(f"version {version} of the weights")
        row = {"Model": MODEL, "Version": version}
        self._fleet.store.put("op", f"version/{MODEL}", row)
        loads = [
            self._load(target, version)
            for name, target in self._fleet.targets.items()
            if name.startswith("engine") and name not in self._fleet.agents
        ]
        await asyncio.gather(*loads)

    async def _load(self, target: SoakTarget, version: int) -> None:
        """Load a version into a target that has no agent, once its streams have ended."""
        await asyncio.sleep(self._rng.uniform(0.5, 3.0))
        target.busy = True
        await wait_while(lambda: target.running > 0)
        await asyncio.sleep(0.2)
        target.busy = False
        target.weights[MODEL] = max(version, target.weights.get(MODEL, 0))
        target.on_start()


@asynccontextmanager
async def soak_fleet(rng: random.Random, seed: int, is_anonymous: bool):
    """Run a fleet of 1 to 8 entries and 1 to 3 targets for each of four services."""
    fleet = SoakFleet()
    await fleet.start()
    declared = Declared(fleet.store, random.Random(f"{seed}/routes"), is_anonymous)
    declared.publish()
    try:
        engines, desks = rng.randint(1, 6), rng.randint(1, 6)
        for number in range(engines + 1):
            service = SCRIBE if number == engines else LLM
            place = rng.choice(PLACES)
            address = f"10.2.0.{number + 1}"
            target = await fleet.add_target(f"engine{number}", service, address, zone=place)
            target.behaviour.events = EVENTS
            target.behaviour.pause_s = rng.choice([0.05, 0.1, 0.25])
            target.staged = {index: piece(1, index) for index in range(CHUNKS)}
        for number in range(desks + 1):
            service = BENCH if number == desks else DESK
            address = f"10.3.0.{number + 1}"
            target = await fleet.add_target(f"desk{number}", service, address)
            target.behaviour.pause_s = rng.choice([0.01, 0.05, 0.2])
        for number in range(rng.randint(1, 8)):
            await fleet.add_entry(number + 1, PLACES[number % len(PLACES)])
        if rng.random() < 0.6:
            for number in range(engines):
                await fleet.add_agent(f"engine{number}", rng.choice(PLACES))
        await asyncio.sleep(2.0)
        yield fleet, declared
    finally:
        fleet.store.faults.outage = Outage.NONE
        await fleet.close()


def stamp(logger: object, name: str, event: dict) -> dict:
    """Add the virtual time to a log line."""
    return {"at": round(_now(), 3), **event}


@dataclass
class Played:
    """A seeded run: what its callers saw, the events, and the log lines of all processes."""

    checker: SoakChecker
    findings: list[Finding]
    events: list[str]
    lines: list[dict]

    def describe(self, findings: list[Finding]) -> str:
        """Return findings with the log lines of their requests, and what happened meanwhile."""
        counts = dict(self.checker.count())
        parts = [f"{len(self.findings)} findings in {len(self.checker.attempts)} requests {counts}"]
        for finding in findings:
            attempt = finding.attempt
            parts.append(finding.describe())
            parts += [
                f"    {line}" for line in self.lines if line.get("request_id") == attempt.call_id
            ]
            parts += [
                f"    event: {text}"
                for text in self.events
                if attempt.begun_at - 1.0 <= float(text.partition(" ")[0]) <= attempt.ended_at
            ]
        return "\n".join(parts)


def add_caller(fleet: SoakFleet, declared: Declared, name: str, seed: int, key: str) -> KeptCaller:
    """Return a caller with draws of its own, so that events are the same whatever it meets."""
    rng = random.Random(f"{seed}/{name}")
    requests = Requests(declared, rng, key)
    entries = len(fleet.entries)
    return KeptCaller(fleet.connect, name, entries, rng, requests.draw, requests.pause)


async def play(seed: int) -> Played:
    """Run callers beside events drawn from the seed; return what is wrong."""
    rng = random.Random(seed)
    is_anonymous = rng.random() < 0.7
    async with soak_fleet(rng, seed, is_anonymous) as (fleet, declared):
        key = "" if is_anonymous else KEY
        callers = [
            add_caller(fleet, declared, f"caller{number}", seed, key)
            for number in range(rng.randint(6, 30))
        ]
        events = Events(fleet, declared, random.Random(f"{seed}/events"))
        with structlog.testing.capture_logs(processors=[stamp]) as lines:
            until = _now() + PLAY_S
            await asyncio.gather(events.run(until), *(caller.run(until) for caller in callers))
            await asyncio.sleep(SETTLE_S)
        checker = SoakChecker(fleet, callers, EVENTS, fleet.grace_s)
        return Played(checker, checker.find(), events.log, lines)


@pytest.mark.parametrize("seed", [FIRST_SEED + number for number in SEEDS])
async def test_no_request_that_was_read_is_left_without_an_answer(seed):
    played = await play(seed)
    print(f"seed {seed}: {dict(played.checker.count())}, {len(played.findings)} findings")
    assert not played.findings, played.describe(played.findings[:MAX_DESCRIBED])


def _now() -> float:
    return asyncio.get_running_loop().time()
