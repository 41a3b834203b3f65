"""The bandwidth limit for weights on a link shared with live requests."""

import asyncio
import random
from contextlib import suppress

import pytest

from lacewinggw.agent.links import LiveTrafficMeter, Pacer
from lacewinggw.decisions.weightbandwidth import (
    WeightBandwidthLimiter,
    WeightBandwidthRules,
    live_traffic_share,
)

LINK = 1_000_000.0
RULES = WeightBandwidthRules(link_bytes_per_s=LINK, share=0.7)
WARM_S, RUN_S = 10.0, 40.0
LIVE_BYTES = 4000
SLICE_BYTES = 4000


def test_live_bytes_reduce_the_limit() -> None:
    limiter = WeightBandwidthLimiter(RULES, 0.0)
    assert limiter.allowed_bytes_per_s(0.1) == pytest.approx(0.7 * LINK)
    limiter.record_live_bytes(300_000)
    assert limiter.allowed_bytes_per_s(0.6) == pytest.approx(LINK - 1.1 * 500_000, rel=0.01)


def test_high_latency_lowers_the_limit_to_the_floor_until_it_recovers() -> None:
    limiter = WeightBandwidthLimiter(RULES, 0.0)
    for number in range(20):
        limiter.record_latency(0.010, float(number) / 10)
    now = 10.0
    for _ in range(200):
        now += 0.1
        limiter.allowed_bytes_per_s(now)
        limiter.record_latency(0.050, now)
    assert limiter.allowed_bytes_per_s(now) == pytest.approx(RULES.floor * LINK)
    for _ in range(200):
        now += 0.1
        limiter.allowed_bytes_per_s(now)
        limiter.record_latency(0.010, now)
    assert limiter.allowed_bytes_per_s(now) == pytest.approx(0.7 * LINK)


def test_only_the_share_applies_without_a_baseline_latency() -> None:
    limiter = WeightBandwidthLimiter(RULES, 0.0)
    for number in range(100):
        limiter.allowed_bytes_per_s(number / 10)
        limiter.record_latency(5.0, number / 10)
    assert limiter.allowed_bytes_per_s(10.0) == pytest.approx(0.7 * LINK)


class SharedLink:
    """Live requests and weights on one link; weights pass the agent's pacer first."""

    def __init__(self, share: float, live_share: float, seed: int) -> None:
        self.gauge = LiveTrafficMeter(LINK, share)
        self.link = Pacer(lambda: LINK)
        self.rng = random.Random(seed)
        self.live_per_s = live_share * LINK / LIVE_BYTES
        self.latencies: list[float] = []
        self.sent = 0

    async def send_live(self, seconds: float) -> list[float]:
        """Send requests for `seconds`; return the latency of each in seconds."""
        loop = asyncio.get_running_loop()
        end, tasks = loop.time() + seconds, []
        while loop.time() < end:
            await asyncio.sleep(self.rng.expovariate(self.live_per_s))
            tasks.append(loop.create_task(self._send_one()))
        return list(await asyncio.gather(*tasks))

    async def _send_one(self) -> float:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        await self.link.send(LIVE_BYTES)
        took_s = loop.time() - begun
        self.gauge.note_latency(took_s)
        self.gauge.note_bytes(LIVE_BYTES)
        return took_s

    async def send_weights(self) -> None:
        """Send weights until cancelled."""
        pacer = Pacer(self.gauge.weights_rate)
        while True:
            await pacer.send(SLICE_BYTES)
            await self.link.send(SLICE_BYTES)
            self.sent += SLICE_BYTES


def p95(values: list[float]) -> float:
    return sorted(values)[int(0.95 * len(values))]


async def measure_ratio(share: float, live_share: float) -> tuple[float, float]:
    """Return the ratio of live p95 latency with weights to that without, and the weights' share."""
    shared = SharedLink(share, live_share, seed=1)
    alone = p95(await shared.send_live(WARM_S))
    weights = asyncio.get_running_loop().create_task(shared.send_weights())
    concurrent = p95(await shared.send_live(RUN_S))
    weights.cancel()
    with suppress(asyncio.CancelledError):
        await weights
    return concurrent / alone, shared.sent / (RUN_S * LINK)


@pytest.mark.looptime
@pytest.mark.parametrize("live_share", [0.1, 0.4])
async def test_live_latency_stays_low_and_weights_keep_the_floor(live_share: float) -> None:
    ratio, got = await measure_ratio(0.7, live_share)
    assert ratio <= 1.5
    assert got >= RULES.floor * 0.9


def test_more_requests_reserve_a_larger_share_of_the_link():
    assert [live_traffic_share(running) for running in (0, 4, 16)] == [
        0.0,
        pytest.approx(0.114),
        pytest.approx(0.186),
    ]
