"""Entries as processes on loopback: signals and changes in series; no answer may be lost.

Unlike virtual time, this has real sockets, busy loops, and signals that arrive at any moment. A
short run is part of the suite; UNANSWERED_PROCESS_S sets the seconds of a longer one.
"""

import asyncio
import os
import random
import signal
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from entry_processes import GRACE_S, EntryProcess, wait_until_ready
from kept_callers import KeptCaller, Outcome
from platform_standins import DESK, LLM, StoreStandIn, target_row
from soak_checks import SoakChecker
from soak_fleet import BENCH, SCRIBE, Admission, Run, SoakTarget
from soak_load import Declared, Requests

from lacewinggw.lab.standin import Outage
from lacewinggw.wire.network import Stream, TcpNetwork

PLAY_S = float(os.environ.get("UNANSWERED_PROCESS_S", "8"))
SEED = int(os.environ.get("UNANSWERED_PROCESS_SEED", "1"))
ENTRIES = int(os.environ.get("UNANSWERED_PROCESS_ENTRIES", "3"))
CALLERS = 20
EVENTS = 8
EVENTS_PER_S = 1.5
LOSS_SLACK_S = 0.15  # after the last byte of a request, within which a close has crossed it
MAX_ATTEMPTS = 3  # of any route; the routes that an entry had are not known here
MAX_DESCRIBED = 4


class ProcessFleet:
    """Entries as processes, with a store and targets in this one; recorded as by `SoakFleet`."""

    def __init__(self, folder: Path) -> None:
        net = 1 + os.getpid() % 200  # so that two runs beside each other do not meet
        self._prefix = f"127.{net}"
        self.network = TcpNetwork()
        self.store = StoreStandIn(self.network)
        self.store._address = f"{self._prefix}.9.1:8007"
        self.targets: dict[str, SoakTarget] = {}
        self.entries = [
            EntryProcess(number, f"{self._prefix}.1.{number + 1}", self.store.address, folder)
            for number in range(ENTRIES)
        ]
        self.read_at: dict[str, float] = {}
        self.admissions: dict[str, Admission] = {}
        self.signalled: list[tuple[int, float]] = []

    @property
    def runs(self) -> list[Run]:
        """All runs of all targets in order."""
        runs = [run for target in self.targets.values() for run in target.runs]
        return sorted(runs, key=lambda run: run.begun_at)

    async def add_target(self, name: str, service: str, ip: str) -> SoakTarget:
        target = SoakTarget(self.network, f"i-{name}", f"{self._prefix}.{ip}:8080")
        await target.start()
        self.targets[name] = target

        def list_target() -> None:
            ended = len(target.ended_at)
            if ended:
                name_before = f"i-{name}.{ended - 1}" if ended > 1 else f"i-{name}"
                self.store.put("servers", name_before, None)
            row = target_row(service, target.address, born=target.born_ms)
            self.store.put("servers", target.target_id, row)

        target.on_start = list_target
        list_target()
        return target

    async def connect(self, entry: int) -> Stream:
        return await self.network.connect(f"{self.entries[entry].ip}:8005")

    def read_logs(self, callers: list[KeptCaller], timeout_s: dict[str, float]) -> list[dict]:
        """Note the requests that entries have read: by a log line, by a run, or by the time.

        A connection that ends later than `LOSS_SLACK_S` after a request was sent on it has not
        crossed it.
        """
        lines = [line for entry in self.entries for line in entry.lines()]
        known = {line.get("request_id") for line in lines} | {run.call_id for run in self.runs}
        for attempt in [each for caller in callers for each in caller.attempts]:
            took_s = attempt.ended_at - attempt.sent_at
            is_late = attempt.outcome is Outcome.CLOSED and took_s > LOSS_SLACK_S
            if attempt.call_id in known or is_late:
                self.read_at[attempt.call_id] = attempt.sent_at
                name = attempt.wanted.path.split("/")[1]
                self.admissions[attempt.call_id] = Admission(0, timeout_s[name], MAX_ATTEMPTS)
        return lines


class Signals:
    """Signals, changes, pauses and outages in series that overlap."""

    def __init__(self, fleet: ProcessFleet, declared: Declared, rng: random.Random) -> None:
        self.log: list[str] = []
        self._fleet = fleet
        self._declared = declared
        self._rng = rng
        self._restarting: set[int] = set()
        self._running: set[asyncio.Task[None]] = set()

    async def run(self, until: float) -> None:
        while _now() < until:
            await asyncio.sleep(self._rng.expovariate(EVENTS_PER_S))
            events = [self._pause, self._change, self._restart, self._reload, self._fail_store]
            event = self._rng.choices(events, weights=(4, 4, 2, 3, 1))[0]
            self._running.add(asyncio.ensure_future(event()))
        await asyncio.gather(*self._running)

    def _note(self, text: str) -> None:
        self.log.append(f"{_now():.3f} {text}")

    async def _pause(self) -> None:
        targets = list(self._fleet.targets.values())
        paused = self._rng.sample(targets, self._rng.choice([1, len(targets)]))
        seconds = self._rng.uniform(0.3, 2.2)
        self._note(f"{seconds:.2f} s of pause at {[target.target_id for target in paused]}")
        for target in paused:
            target.pause(seconds)

    async def _change(self) -> None:
        for _ in range(self._rng.choice([1, 1, 3, 5])):
            self._declared.change()
            self._note(f"routes {self._declared.body['Version']}")
            await asyncio.sleep(self._rng.uniform(0.0, 0.3))

    async def _restart(self) -> None:
        number = self._rng.randrange(ENTRIES)
        if number in self._restarting:
            return
        self._restarting.add(number)
        self._note(f"SIGTERM of entry {number}")
        self._fleet.signalled.append((number, _now()))
        await self._fleet.entries[number].stop()
        self._note(f"start of entry {number}")
        await self._fleet.entries[number].start()
        self._restarting.discard(number)

    async def _reload(self) -> None:
        number = self._rng.randrange(ENTRIES)
        if number in self._restarting:
            return
        self._note(f"SIGHUP of entry {number}")
        self._fleet.entries[number].write_settings(self._rng.choice([20, 100]))
        self._fleet.entries[number].signal(signal.SIGHUP)

    async def _fail_store(self) -> None:
        self._note("no store")
        self._fleet.store.faults.outage = self._rng.choice([Outage.HANG, Outage.REFUSE])
        await asyncio.sleep(self._rng.uniform(0.3, 2.0))
        self._fleet.store.faults.outage = Outage.NONE


@asynccontextmanager
async def process_fleet(folder: Path, rng: random.Random) -> AsyncIterator[tuple]:
    fleet = ProcessFleet(folder)
    await fleet.store.start()
    declared = Declared(fleet.store, rng, is_anonymous=True)
    declared.publish()
    try:
        for number, service in enumerate((LLM, LLM, LLM, SCRIBE, DESK, DESK, BENCH)):
            target = await fleet.add_target(f"target{number}", service, f"2.{number + 1}")
            target.behaviour.events = EVENTS
            target.behaviour.pause_s = rng.choice([0.05, 0.1, 0.2])
        for entry in fleet.entries:
            await entry.start()
        await wait_until_ready(fleet.network, fleet.entries)
        yield fleet, declared
    finally:
        for entry in fleet.entries:
            await entry.kill()
        for target in fleet.targets.values():
            await target.close()
        await fleet.store.close()


async def test_no_answer_is_lost_while_processes_are_signalled(tmp_path):
    rng = random.Random(SEED)
    async with process_fleet(tmp_path, rng) as (fleet, declared):
        declared.changes_timeouts = False
        timeout_s = {
            route["Prefix"].strip("/"): route["TimeoutMs"] / 1000
            for route in declared.body["Routes"]
        }
        callers = []
        for number in range(CALLERS):
            draws = random.Random(f"{SEED}/{number}")
            requests = Requests(declared, draws, "")
            callers.append(
                KeptCaller(
                    fleet.connect,
                    f"caller{number}",
                    ENTRIES,
                    draws,
                    requests.draw,
                    requests.pause,
                )
            )
        signals = Signals(fleet, declared, rng)
        until = _now() + PLAY_S
        await asyncio.gather(signals.run(until), *(caller.run(until) for caller in callers))
        lines = fleet.read_logs(callers, timeout_s)
        checker = SoakChecker(fleet, callers, EVENTS, GRACE_S)
        findings = checker.find()
        faults = Counter(finding.fault.name for finding in findings)
        print(f"seed {SEED}: {dict(checker.count())}, findings {dict(faults)}")
        crashes = [status for entry in fleet.entries for status in entry.crashes]
        described = [finding.describe() for finding in findings[:MAX_DESCRIBED]]
        for finding in findings[:MAX_DESCRIBED]:
            call_id = finding.attempt.call_id
            described += [str(line) for line in lines if line.get("request_id") == call_id]
        assert not findings, "\n".join([*described, *signals.log])
        assert not crashes


def _now() -> float:
    return asyncio.get_running_loop().time()
