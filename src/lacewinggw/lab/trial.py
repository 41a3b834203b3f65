"""One trial of a fleet: services are declared, callers call, and the history is judged at the end.

What happens in between is up to whoever runs it: faults, commands, shutdowns.

    trial = Trial(ObservedFleet(fleet), TrialPlan(callers=6))
    await trial.begin()
    await trial.fleet.kill("host-002")
    verdict = await trial.finish()
"""

import asyncio
import random
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from lacewinggw.lab.checkers import Violation, check
from lacewinggw.lab.history import (
    Answered,
    Broken,
    CommandAccepted,
    Event,
    NotRun,
    RunStarted,
    Unknown,
)
from lacewinggw.lab.observed import ObservedFleet
from lacewinggw.lab.requesters import Mix, Requester, RequestKind

MODEL = "bulletin-writer"
PLAIN = "legacy-ledger"
FIRST, SECOND = "market-6", "market-7"
READY_LIMIT_S = 120.0


@dataclass(frozen=True)
class TrialPlan:
    """How large the trial is: callers and the pause between their requests, releases in bytes."""

    callers: int = 4
    pause_s: float = 0.05
    release_bytes: int = 1 << 16
    chunk_bytes: int = 1 << 13
    deadline_s: float = 10.0
    weights: Mapping[RequestKind, int] | None = None
    settle_s: float = 8.0
    seed: int = 1


@dataclass(frozen=True)
class Verdict:
    """What a trial came to."""

    history: list[Event]
    violations: list[Violation]
    outcomes: dict[str, int]
    runs: int
    unknown_by_code: dict[str, int] = field(default_factory=dict)


class Trial:
    """A fleet that serves a model and a plain service, under callers."""

    def __init__(self, fleet: ObservedFleet, plan: TrialPlan) -> None:
        self.fleet = fleet
        self.plan = plan
        self.digests: dict[str, str] = {}
        self.requesters: list[Requester] = []
        self._rng = random.Random(f"trial/{plan.seed}")
        self._stopping = False
        self._callers: list[asyncio.Task[None]] = []

    async def begin(self) -> None:
        """Start the fleet, declare releases and services, and let the callers loose."""
        await self.fleet.start()
        engines, plains = self._count_targets()
        for seed, name in enumerate((FIRST, SECOND)):
            plan = self.plan
            self.digests[name] = await self.fleet.publish(
                name, plan.release_bytes, plan.chunk_bytes, seed
            )
            await self._declare(f"create release {name}")
        await self._declare(f"create service {MODEL} release {FIRST} replicas {engines}")
        if plains:
            words = f"create service {PLAIN} plain replicas {plains} unrepeatable /release"
            await self._declare(words)
        if not await self.fleet.wait_until("wait all", READY_LIMIT_S):
            raise TimeoutError("the first release was not served in time")
        self._start_callers(bool(plains))

    async def finish(self) -> Verdict:
        """Stop the callers, let everything settle, and judge the history."""
        await self.stop_callers()
        await asyncio.sleep(self.plan.settle_s)
        history = await self.fleet.history()
        return judge(history)

    async def close(self) -> None:
        """End the callers and the fleet."""
        for task in self._callers:
            task.cancel()
        await asyncio.gather(*self._callers, return_exceptions=True)
        await self.fleet.close()

    async def stop_callers(self) -> None:
        """Let each caller see its last request to its end."""
        self._stopping = True
        await asyncio.gather(*self._callers)

    async def _declare(self, words: str) -> None:
        """Give a command that must be accepted, each to the same entry."""
        told = await self.fleet.command(words, self.fleet.entries[0])
        if not isinstance(told, CommandAccepted):
            raise RuntimeError(f"{words!r} was not accepted: {told}")

    def _count_targets(self) -> tuple[int, int]:
        members = [host.member for host in self.fleet.fleet.hosts.values() if host.target]
        plains = sum(bool(member.service) for member in members)
        return len(members) - plains, plains

    def _start_callers(self, with_plain: bool) -> None:
        plan = self.plan
        plain = PLAIN if with_plain else ""
        mix = Mix(MODEL, plain, deadline_s=plan.deadline_s)
        if plan.weights is not None:
            mix = Mix(MODEL, plain, plan.weights, deadline_s=plan.deadline_s)
        accounts = self.fleet.fleet.accounts
        for number in range(plan.callers):
            requester = self.fleet.requester(number, accounts[number % len(accounts)], mix)
            self.requesters.append(requester)
            self._callers.append(asyncio.get_running_loop().create_task(self._call_on(requester)))

    async def _call_on(self, requester: Requester) -> None:
        while not self._stopping:
            await requester.request()
            await asyncio.sleep(self._rng.expovariate(1.0 / self.plan.pause_s))


def judge(history: list[Event]) -> Verdict:
    """Check a history and count what callers were told."""
    finals = [event for event in history if isinstance(event, Answered | NotRun | Unknown | Broken)]
    names = {Answered: "answered", NotRun: "not_run", Unknown: "unknown", Broken: "broken"}
    outcomes = Counter(names[type(event)] for event in finals)
    codes = Counter(event.code for event in finals if isinstance(event, Unknown))
    return Verdict(
        history,
        check(history),
        {name: outcomes[name] for name in names.values()},
        sum(isinstance(event, RunStarted) for event in history),
        dict(codes),
    )
