"""Seeded runs: targets leave, ask for a back-off or limit their rate during other failures."""

import asyncio
import os
import random

import pytest
from declared_fleet import DeclaredFleet, running_fleet
from leaving import (
    PLACES,
    add_entries,
    assert_backoff_kept,
    assert_no_requests_after_leaving,
    let_anybody_in,
)
from limiting import Played, name_limit, now, play
from platform_standins import DESK, LLM, TargetStandIn, target_row

from lacewinggw.lab.standin import Outage

pytestmark = pytest.mark.looptime

SEEDS = range(int(os.environ.get("CLOSING_SEEDS", "4")))
PLAY_S = 12.0
BACKOFFS_S = (0.8, 2.0, 4.0)


class FailureInjector:
    """Injects random failures into a fleet; the checks drop what a restarted entry had received."""

    def __init__(self, fleet: DeclaredFleet, kind: str, rng: random.Random, played: Played) -> None:
        self.fleet, self.kind, self.rng, self.played = fleet, kind, rng, played
        self.service = DESK if kind == "desk" else LLM
        self.version = 3

    async def run(self, seconds: float) -> None:
        end = now() + seconds
        while now() < end:
            await asyncio.sleep(self.rng.expovariate(1.4))
            inject = self.rng.choice(
                [
                    self.leave,
                    self.back_off,
                    self.back_off,
                    self.recover,
                    self.limit,
                    self.fail_store,
                ]
                + [self.restart_entry, self.lose_row, self.restart_target]
            )
            await inject()

    def draw(self) -> TargetStandIn:
        return self.fleet.targets[f"{self.kind}{self.rng.randrange(len(self.fleet.targets))}"]

    async def leave(self) -> None:
        self.draw().behaviour.leaving = True

    async def back_off(self) -> None:
        target = self.draw()
        if target.behaviour.retry_after is None:
            target.behaviour.retry_after = str(self.rng.choice(BACKOFFS_S))
        target.behaviour.shed_share = self.rng.choice([0.5, 0.95, 1.0])

    async def recover(self) -> None:
        self.draw().behaviour.shed_share = 0.0

    async def limit(self) -> None:
        name_limit(self.draw(), self.rng.choice([None, 1.0, 6.0]))

    async def fail_store(self) -> None:
        faults = self.fleet.store.faults
        faults.outage = self.rng.choice([Outage.NONE, Outage.HANG, Outage.REFUSE, Outage.CUT])

    async def restart_entry(self) -> None:
        number = self.rng.randrange(len(self.fleet.entries))
        entry = self.fleet.entries[number]
        await entry.close()
        self.drop_history(str(number))
        place = PLACES[number % len(PLACES)]
        restarted = await self.fleet.add_entry(number + 1, place)
        self.fleet.entries.remove(restarted)
        self.fleet.entries[number] = restarted
        self.drop_history(str(number))

    def drop_history(self, via: str) -> None:
        self.played.left_at = {key: at for key, at in self.played.left_at.items() if key[0] != via}
        for target in self.fleet.targets.values():
            target.turned_away = [
                rejection for rejection in target.turned_away if rejection[1] != via
            ]

    async def lose_row(self) -> None:
        target = self.draw()
        self.fleet.store.put("servers", target.target_id, None)
        await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        self.list_row(target)

    def list_row(self, target: TargetStandIn) -> None:
        row = target_row(self.service, target.address, born=target.born_ms)
        self.fleet.store.put("servers", target.target_id, row)

    async def restart_target(self) -> None:
        """Crash a target, which restarts under a new id; its earlier requests to entries expire."""
        target = self.draw()
        if target.behaviour.leaving or target.behaviour.shed_share:
            return
        target.crash()


@pytest.mark.parametrize("seed", SEEDS)
async def test_no_mix_of_failures_lets_requests_reach_closed_targets(seed):
    rng = random.Random(seed)
    kind = rng.choice(["desk", "engine"])
    count = rng.randint(1, 5)
    async with running_fleet(
        desks=count * (kind == "desk"), engines=count * (kind == "engine"), entries=0
    ) as fleet:
        await add_entries(fleet, rng.randint(1, 12))
        if kind == "engine" and rng.random() < 0.8:
            for name in list(fleet.targets):
                await fleet.add_agent(name, rng.choice(PLACES))
        let_anybody_in(fleet)
        await asyncio.sleep(2.0)
        played = Played()
        failures = asyncio.ensure_future(FailureInjector(fleet, kind, rng, played).run(PLAY_S))
        path = "/tally/1" if kind == "desk" else "/report/1"
        await play(fleet, PLAY_S, per_s=50.0, path=path, seed=seed, played=played, key="")
        await failures
        for target in fleet.targets.values():
            for incarnation in {request.headers["x-expected-instance"] for request in target.seen}:
                assert_no_requests_after_leaving(target, played, incarnation)
            if target.behaviour.retry_after is not None:
                assert_backoff_kept(target, float(target.behaviour.retry_after))
        # If a target crashes under a request that may not be repeated, its outcome is unknown.
        ended = any(target.ended_at for target in fleet.targets.values())
        allowed = {200, 502, 503} if ended else {200, 503}
        assert {reply.status for reply in played.replies if reply.whole} <= allowed


@pytest.mark.parametrize("entries", [1, 8])
async def test_targets_of_two_services_close_while_the_store_is_down(entries):
    async with running_fleet(desks=3, engines=6, entries=0) as fleet:
        await add_entries(fleet, entries)
        for number in range(6):
            await fleet.add_agent(f"engine{number}", PLACES[number % len(PLACES)])
        let_anybody_in(fleet)
        await asyncio.sleep(2.0)
        fleet.store.faults.outage = Outage.HANG
        for name in ("desk0", "engine0"):
            behaviour = fleet.targets[name].behaviour
            behaviour.retry_after, behaviour.shed_share = "3", 0.95
        for name in ("desk1", "engine1", "engine2"):
            fleet.targets[name].behaviour.leaving = True
        played = Played()
        await asyncio.gather(
            play(fleet, 5.0, per_s=40.0, path="/tally/1", seed=1, played=played, key=""),
            play(fleet, 5.0, per_s=40.0, path="/report/1", seed=2, played=played, key=""),
        )
        for target in fleet.targets.values():
            assert_no_requests_after_leaving(target, played)
            assert_backoff_kept(target, 3.0)
        assert played.shares() == {200: 1.0}
