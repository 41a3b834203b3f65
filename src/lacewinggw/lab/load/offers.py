"""Open-loop load: requests sent at random moments of a given rate, whatever becomes of the others.

A closed loop slows down with the system and hides its overload; this one does not.
"""

import asyncio
import json
import random
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from lacewinggw.lab.callers import Verdict, judge
from lacewinggw.wire.http import Headers, HttpClient, HttpError

MS_PER_S = 1000.0
LATE_S = 5.0  # a caller waits so much longer than its deadline


@dataclass(frozen=True)
class Offer:
    """What one account sends: requests a second, to which entries, and of what kind.

    `weights` skews the choice among `entries`; `urgent_share` of the requests are urgent.
    """

    account: str
    service: str
    rate_per_s: float
    entries: Sequence[str]
    headers: Headers
    weights: Sequence[float] = ()
    urgent_share: float = 0.0
    pieces: int = 10
    deadline_s: float = 10.0


@dataclass(frozen=True)
class Sample:
    """One request as its caller saw it; `seconds` is how long the caller waited."""

    account: str
    urgent: bool
    at: float
    seconds: float
    verdict: Verdict
    code: str
    has_retry_after: bool


@dataclass
class OpenLoad:
    """Sends offers and keeps the samples.

    load = OpenLoad(http, random.Random(1))
    await load.run(offers, seconds=10.0)
    """

    http: HttpClient
    rng: random.Random
    samples: list[Sample] = field(default_factory=list)

    async def run(self, offers: Iterable[Offer], seconds: float) -> list[Sample]:
        """Send all offers side by side for `seconds`, and wait for the last answers."""
        before = len(self.samples)
        await asyncio.gather(*(self._offer(offer, seconds) for offer in offers))
        return self.samples[before:]

    async def _offer(self, offer: Offer, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        next_at, end = loop.time(), loop.time() + seconds
        async with asyncio.TaskGroup() as sent:
            number = 0
            while next_at < end:
                await asyncio.sleep(max(0.0, next_at - loop.time()))
                sent.create_task(self._send(offer, f"{offer.account}-{number}"))
                number += 1
                next_at += self.rng.expovariate(offer.rate_per_s)

    async def _send(self, offer: Offer, mark: str) -> None:
        loop = asyncio.get_running_loop()
        entry = self.rng.choices(offer.entries, offer.weights or None)[0]
        urgent = self.rng.random() < offer.urgent_share
        headers = {
            **offer.headers,
            "content-type": "application/json",
            "idempotent": "true",
            "priority": "urgent" if urgent else "normal",
            "deadline-ms": str(int(offer.deadline_s * MS_PER_S)),
        }
        body = json.dumps({"prompt": mark, "pieces": offer.pieces}).encode()
        path = f"/v1/services/{offer.service}/requests"
        sent_at = loop.time()
        retry_after = False
        try:
            response = await self.http.request(
                entry, "POST", path, headers, body, timeout_s=offer.deadline_s + LATE_S
            )
            verdict, code = judge(response)
            retry_after = "retry-after" in response.headers
        except (OSError, TimeoutError, HttpError) as error:
            verdict, code = Verdict.UNKNOWN, type(error).__name__
        seconds = loop.time() - sent_at
        self.samples.append(
            Sample(offer.account, urgent, sent_at, seconds, verdict, code, retry_after)
        )


@dataclass(frozen=True)
class Summary:
    """Samples in figures; latencies in milliseconds, of answered requests only."""

    offered: int
    answered: int
    answered_per_s: float
    p50_ms: float
    p95_ms: float
    p99_ms: float
    refused_p95_ms: float
    refused_with_retry_after: float
    not_answered: dict[str, int]


def quantile(values: Sequence[float], share: float) -> float:
    """Return the value that `share` of all stay within, 0 when there is none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def summarize(samples: Sequence[Sample], seconds: float) -> Summary:
    """Return the figures of samples that were sent over `seconds`."""
    answered = [each.seconds * MS_PER_S for each in samples if each.verdict is Verdict.ANSWERED]
    refused = [each for each in samples if each.verdict is Verdict.NOT_RUN]
    waits = [each.seconds * MS_PER_S for each in refused]
    told = sum(each.has_retry_after for each in refused)
    others = Counter(
        f"{each.verdict.value} {each.code}"
        for each in samples
        if each.verdict is not Verdict.ANSWERED
    )
    return Summary(
        offered=len(samples),
        answered=len(answered),
        answered_per_s=round(len(answered) / seconds, 2),
        p50_ms=round(quantile(answered, 0.50), 1),
        p95_ms=round(quantile(answered, 0.95), 1),
        p99_ms=round(quantile(answered, 0.99), 1),
        refused_p95_ms=round(quantile(waits, 0.95), 1),
        refused_with_retry_after=round(told / len(refused), 3) if refused else 1.0,
        not_answered=dict(others),
    )
