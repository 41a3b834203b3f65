"""Seeded runs: sound targets pause during changes, restarts and outages; no answer may be lost."""

import asyncio
import math
import os
import random
from collections.abc import Callable, Coroutine
from contextlib import asynccontextmanager
from copy import deepcopy
from dataclasses import dataclass

import pytest
import structlog
from kept_callers import IDLE_SHARE, KeptCaller, Wanted
from platform_standins import CHUNKS, DESK, KEY, LLM, MODEL, manifest, piece
from soak_checks import Finding, SoakChecker
from soak_fleet import BENCH, SCRIBE, STREAM_SERVICES, SoakFleet, SoakTarget

from lacewinggw.lab.standin import Outage, wait_while

pytestmark = pytest.mark.looptime

SEEDS = range(int(os.environ.get("UNANSWERED_SEEDS", "4")))
FIRST_SEED = int(os.environ.get("UNANSWERED_FIRST_SEED", "0"))
PLAY_S = 12.0
SETTLE_S = 3.0  # for requests that a target begins after its caller has left
EVENTS_PER_S = 2.0
EVENTS = 8  # of a stream
PLACES = ("hall", "room", "shed")
OTHER_KEY = "key-of-drivers"
MIN_GAP_S = 2.0  # callers give a stream up after the longest of these gaps
GAP_OBJECTIVES = 4.0
GAP_PAUSES = 8.0
NO_GAP_S = 60.0  # callers wait for a plain answer as long as they have time
IN_FORCE_S = 6.0  # time after which entries have the newest routes, also beside an outage
MAX_DESCRIBED = 4  # findings in the message of a failure


class Declared:
    """The routes that are in force, and changes of them that leave all requests allowed."""

    def __init__(self, fleet: SoakFleet, rng: random.Random, is_anonymous: bool) -> None:
        self._fleet = fleet
        self._rng = rng
        self.body = manifest(3)
        report = self.body["Routes"][0]
        self.body["Routes"].append(
            {**report, "Name": "once", "Prefix": "/report-once/", "ResumeStreams": False}
        )
        for route in self.body["Routes"]:
            route["AllowAnonymous"] = is_anonymous
            route["TimeoutMs"] = 6000 if route["Kind"] == "streaming" else 3000
        services = self.body["Services"]
        services.append({**services[0], "Name": SCRIBE})
        services.append({**services[1], "Name": BENCH})
        self._services = list(services)
        self._published: list[tuple[float, dict]] = []

    @property
    def idle_limit_s(self) -> float:
        return self.body["Limits"]["IdleTimeoutMs"] / 1000

    def route(self, name: str) -> dict:
        return next(route for route in self.body["Routes"] if route["Name"] == name)

    @property
    def body_limit(self) -> int:
        """The largest body that all routes allow which an entry may still have."""
        return min(limits["MaxBodyBytes"] for limits in self._limits_in_force())

    @property
    def head_s(self) -> float:
        """The shortest time to send a head, by the routes which an entry may still have."""
        return min(limits["HeaderTimeoutMs"] for limits in self._limits_in_force()) / 1000

    def _limits_in_force(self) -> list[dict]:
        """Return the limits of the newest routes and of those replaced a short time ago."""
        since = _now() - IN_FORCE_S
        ends = [at for at, _ in self._published[1:]] + [math.inf]
        return [
            limits for (_, limits), end in zip(self._published, ends, strict=True) if end >= since
        ]

    def publish(self) -> None:
        self._published.append((_now(), deepcopy(self.body["Limits"])))
        self.body["Version"] += self._rng.randint(1, 3)
        self._fleet.store.put("op", "config", deepcopy(self.body))

    def change(self) -> None:
        """Change something at random and publish it."""
        changes = [
            self._move_service,
            self._change_route,
            self._change_accounts,
            self._change_limits,
            self._change_other_routes,
            self._change_services,
        ]
        self._rng.choice(changes)()
        self.publish()

    def _move_service(self) -> None:
        route = self._rng.choice(self.body["Routes"][:4])
        is_stream = route["Kind"] == "streaming"
        route["Service"] = self._rng.choice(STREAM_SERVICES if is_stream else (DESK, BENCH))
        self.body["Services"] = list(self._services)

    def _change_services(self) -> None:
        """Limit the connections of services; remove those that no route uses, or add them."""
        used = {route["Service"] for route in self.body["Routes"]} | {LLM, DESK, "ledger"}
        drop = self._rng.random() < 0.5
        for service in self._services:
            if "Origin" not in service:
                service["ConnectionLimit"] = self._rng.choice([8, 50])
        self.body["Services"] = [
            service for service in self._services if not drop or service["Name"] in used
        ]

    def _change_route(self) -> None:
        route = self._rng.choice(self.body["Routes"][:4])
        field, values = self._rng.choice(
            [
                ("TimeoutMs", (2500, 4000, 6000, 9000)),
                ("Attempts", (1, 2, 3)),
                ("TargetLatencyMs", (200, 400, 800)),
                ("Priority", (0, 1, 2)),
            ]
        )
        route[field] = self._rng.choice(values)

    def _change_accounts(self) -> None:
        tenants = self.body["Tenants"]
        tenants[0]["Priority"] = self._rng.randint(0, 2)
        del tenants[1:]
        if self._rng.random() < 0.5:
            tenants.append({"Name": "drivers", "ApiKeys": [OTHER_KEY], "Priority": 2})

    def _change_limits(self) -> None:
        limits = self.body["Limits"]
        limits["IdleTimeoutMs"] = self._rng.choice([1000, 2000, 5000])
        limits["MaxBodyBytes"] = self._rng.choice([5000, 10000, 100000])
        limits["HeaderTimeoutMs"] = self._rng.choice([500, 1000])

    def _change_other_routes(self) -> None:
        count = self._rng.choice([0, 5, 200])
        del self.body["Routes"][4:]
        for number in range(count):
            self.body["Routes"].append(
                {**self.route("tally"), "Name": f"other-{number}", "Prefix": f"/tally/{number}/"}
            )


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


class Requests:
    """Draws the requests of callers and the time between them."""

    def __init__(self, declared: Declared, rng: random.Random, key: str) -> None:
        self._declared = declared
        self._rng = rng
        self._key = key

    def draw(self) -> Wanted:
        name, path = self._rng.choices(
            [("report", "/report/"), ("once", "/report-once/"), ("sheet", "/sheet/")]
            + [("tally", "/tally/")],
            weights=(4, 2, 2, 2),
        )[0]
        route = self._declared.route(name)
        is_stream = route["Kind"] == "streaming"
        gap_s = max(
            MIN_GAP_S,
            GAP_OBJECTIVES * route["TargetLatencyMs"] / 1000,
            GAP_PAUSES * route.get("TargetGapMs", 0) / 1000,
        )
        left_s = self._rng.choice([4.0, 6.0, 8.0] if is_stream else [1.5, 3.0, 6.0])
        headers = {"X-Model": MODEL, "X-Token-Counts": "200,48"} if is_stream else {}
        if self._key:
            headers["X-Key"] = self._key
        path += str(self._rng.randrange(300))
        length = self._rng.choice([0, 0, round(0.9 * self._declared.body_limit)])
        send_s = self._rng.choice([0.0, 0.0, 0.0, 0.5 * self._declared.head_s])
        gap_s = gap_s if is_stream else NO_GAP_S
        return Wanted("POST", path, left_s, gap_s, headers, length, send_s)

    def pause(self) -> float:
        if self._rng.random() < 0.9:
            return self._rng.uniform(0.0, 0.3)
        return self._rng.uniform(0.0, IDLE_SHARE * self._declared.idle_limit_s)


@asynccontextmanager
async def soak_fleet(rng: random.Random, is_anonymous: bool):
    """Run a fleet of 1 to 8 entries and 1 to 3 targets for each of four services."""
    fleet = SoakFleet()
    await fleet.start()
    declared = Declared(fleet, rng, is_anonymous)
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


async def play(seed: int) -> Played:
    """Run callers beside events drawn from the seed; return what is wrong."""
    rng = random.Random(seed)
    is_anonymous = rng.random() < 0.7
    async with soak_fleet(rng, is_anonymous) as (fleet, declared):
        requests = Requests(declared, rng, "" if is_anonymous else KEY)
        callers = [
            KeptCaller(
                fleet.network,
                f"caller{number}",
                len(fleet.entries),
                random.Random(f"{seed}/{number}"),
                requests.draw,
                requests.pause,
            )
            for number in range(rng.randint(6, 30))
        ]
        events = Events(fleet, declared, rng)
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
