"""Live requests while weights spread: what their callers wait, and which weights answered."""

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass

from lacewinggw.lab.callers import Caller, Told, Verdict
from lacewinggw.lab.fleet import Fleet

PAUSE_S = 0.05
QUANTILE = 0.95


@dataclass(frozen=True)
class LiveResult:
    """What callers met before and while the weights spread; times in seconds.

    `p95_ratio` is the second p95 over the first. `mixed` counts answers that came from anything but
    a published release, or were not whole; `not_answered` all others that were no answer.
    """

    answers: int = 0
    p95_before_s: float = 0.0
    p95_during_s: float = 0.0
    p95_ratio: float = 0.0
    mixed: int = 0
    not_answered: int = 0


class LiveLoad:
    """Callers that send one request after another."""

    def __init__(self, fleet: Fleet, service: str, callers: int) -> None:
        self._service = service
        self._stopping = False
        accounts = fleet.plan.accounts
        entries = [host.member.caller_address for host in fleet.entries]
        self._callers = [
            Caller(
                fleet.http,
                entries,
                fleet.caller_headers(accounts[number % len(accounts)]),
                random.Random(fleet.plan.seed + number),
            )
            for number in range(callers)
        ]
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin to send."""
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._call_on(caller)) for caller in self._callers]

    async def stop(self) -> None:
        """Stop sending, and wait for what is in progress."""
        self._stopping = True
        await asyncio.gather(*self._tasks)

    def conclude(self, changed_at: float, ended_at: float, digests: set[str]) -> LiveResult:
        """Compare what was sent before `changed_at` with what was sent from then to `ended_at`."""
        told = [each for caller in self._callers for each in caller.told]
        answered = [each for each in told if each.verdict is Verdict.ANSWERED]
        before = _p95([each for each in answered if each.sent_at < changed_at])
        during = _p95([each for each in answered if changed_at <= each.sent_at < ended_at])
        foreign = sum(1 for each in answered if each.weights_digest not in digests)
        cut = sum(1 for each in told if each.verdict is Verdict.INCOMPLETE)
        return LiveResult(
            answers=len(answered),
            p95_before_s=before,
            p95_during_s=during,
            p95_ratio=during / before if before else 0.0,
            mixed=foreign + cut,
            not_answered=len(told) - len(answered) - cut,
        )

    async def _call_on(self, caller: Caller) -> None:
        number = 0
        while not self._stopping:
            await caller.send(self._service, f"tally-{number}")
            number += 1
            await asyncio.sleep(PAUSE_S)


def _p95(told: Sequence[Told]) -> float:
    times = sorted(each.seconds for each in told)
    return times[int(QUANTILE * (len(times) - 1))] if times else 0.0
