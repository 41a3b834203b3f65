"""One account offering ten times its limit, beside others that keep to theirs.

The other accounts' p95 and success are compared with a run without the greedy one; its admitted
rate with its limit: spread evenly over its entries, badly skewed, and after an entry is lost.
"""

import random
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any

from lacewinggw.lab.callers import Verdict
from lacewinggw.lab.fleet import Fleet, FleetHost, FleetPlan
from lacewinggw.lab.load.offers import Offer, OpenLoad, Sample, Summary, summarize
from lacewinggw.lab.load.stage import SERVICE, serving_fleet

GREEDY = "saleyard"
OTHERS = ("radio-desk", "stock-agents", "panel")
LIMIT_PER_S = 30
OTHER_PER_S = 15.0
GREED = 10
ENTRIES = 4
TARGETS = 6
TOKEN_S = 0.01
PIECES = 10
WARM_UP_S = 4.0
SKEW = (0.94, 0.04, 0.02)
PLACES = ("lautoka-hall", "labasa-hall", "lakeba-room")


@dataclass(frozen=True)
class LimitRun:
    """One run: what the others saw, and what the greedy account was given."""

    name: str
    others: Summary
    others_success: float
    others_p95_ratio: float
    greedy: Summary | None
    admitted_per_s: float
    admitted_over_limit: float


class LimitsBench:
    """One fleet with a limited account."""

    def __init__(self, fleet: Fleet, seed: int, seconds: float) -> None:
        self._fleet = fleet
        self._seconds = seconds
        self._load = OpenLoad(fleet.http, random.Random(seed))
        self._base_p95_ms = 0.0

    async def run(self) -> list[LimitRun]:
        """Measure without the greedy account, then with it in each way."""
        entries = await self._entries_of(GREEDY)
        runs = [await self._measure("without", [], ())]
        self._base_p95_ms = runs[0].others.p95_ms
        even = [1.0] * len(entries)
        runs.append(await self._measure("even", entries, even))
        runs.append(await self._measure("skewed", entries, SKEW[: len(entries)]))
        lost = next(
            host for host in self._fleet.entries if host.member.caller_address == entries[0]
        )
        await self._fleet.kill(lost)
        left = entries[1:]
        runs.append(await self._measure("entry-lost", left, even[1:], avoid=lost))
        return runs

    async def _entries_of(self, account: str) -> list[str]:
        host = self._fleet.entries[0]
        response = await self._fleet.http.request(
            host.member.caller_address,
            "GET",
            "/v1/addresses",
            self._fleet.caller_headers(account),
        )
        return list(response.json()["addresses"])

    async def _measure(
        self,
        name: str,
        entries: Sequence[str],
        weights: Sequence[float],
        avoid: FleetHost | None = None,
    ) -> LimitRun:
        offers = [await self._other_offer(account, avoid) for account in OTHERS]
        if entries:
            offers.append(self._offer(GREEDY, LIMIT_PER_S * GREED, entries, weights))
        await self._load.run(offers, WARM_UP_S)
        samples = await self._load.run(offers, self._seconds)
        return self._judge(name, samples)

    async def _other_offer(self, account: str, avoid: FleetHost | None) -> Offer:
        gone = avoid.member.caller_address if avoid is not None else ""
        known = [host.member.caller_address for host in self._fleet.entries]
        usable = [address for address in known if address != gone]
        return self._offer(account, OTHER_PER_S, usable, ())

    def _offer(
        self, account: str, rate_per_s: float, entries: Sequence[str], weights: Sequence[float]
    ) -> Offer:
        return Offer(
            account=account,
            service=SERVICE,
            rate_per_s=rate_per_s,
            entries=entries,
            headers=self._fleet.caller_headers(account),
            weights=weights,
            pieces=PIECES,
        )

    def _judge(self, name: str, samples: Sequence[Sample]) -> LimitRun:
        others = [each for each in samples if each.account != GREEDY]
        greedy = [each for each in samples if each.account == GREEDY]
        told = summarize(others, self._seconds)
        admitted = sum(each.verdict is Verdict.ANSWERED for each in greedy) / self._seconds
        base = self._base_p95_ms or told.p95_ms
        return LimitRun(
            name=name,
            others=told,
            others_success=round(told.answered / told.offered, 4),
            others_p95_ratio=round(told.p95_ms / base, 3),
            greedy=summarize(greedy, self._seconds) if greedy else None,
            admitted_per_s=round(admitted, 2),
            admitted_over_limit=round(admitted / LIMIT_PER_S, 3),
        )


async def measure_limits(seed: int, seconds: float) -> dict[str, Any]:
    """Run all ways on one fleet."""
    plan = FleetPlan(
        entries=ENTRIES,
        engines=TARGETS,
        places=PLACES,
        accounts=(GREEDY, *OTHERS),
        account_limits={GREEDY: LIMIT_PER_S},
        account_rate=1000,
        seed=seed,
        token_s=TOKEN_S,
        engines_per_process=1,
        overrides={"entry": {"address_ttl_ms": 500}},
    )
    async with serving_fleet(plan) as fleet:
        runs = await LimitsBench(fleet, seed, seconds).run()
    return {"limit_per_s": LIMIT_PER_S, "greed": GREED, "runs": [asdict(each) for each in runs]}
