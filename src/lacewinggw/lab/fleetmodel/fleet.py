"""The modelled fleet: entries with the product's own decisions, before modelled engines."""

import asyncio
import itertools
import math
import random
from dataclasses import dataclass
from functools import partial
from typing import TypeAlias

from lacewinggw.decisions.dispatch import TargetPool
from lacewinggw.decisions.ejection import EjectionRules
from lacewinggw.decisions.locality import choose_agents
from lacewinggw.decisions.routingview import RoutingView, RoutingViewRules
from lacewinggw.decisions.targetlist import TargetEntry
from lacewinggw.frontend.attempts import RelayDependencies
from lacewinggw.frontend.callers import CallerDisconnected
from lacewinggw.frontend.calls import Call
from lacewinggw.frontend.dispatchqueue import DispatchQueue
from lacewinggw.frontend.leavingtargets import LeavingTargets
from lacewinggw.frontend.relay import RequestRelay
from lacewinggw.frontend.requestplacer import RequestPlacer, RetryLimits
from lacewinggw.frontend.signal import Signal
from lacewinggw.ids import Address, HostId, Place, TargetId, TargetName
from lacewinggw.lab.fleetmodel.agent import ModelAgent, ModelSlots
from lacewinggw.lab.fleetmodel.callers import Crowd, Door, LoadFactors, ModelCaller, Story
from lacewinggw.lab.fleetmodel.engine import ModelEngine
from lacewinggw.lab.fleetmodel.offers import ModelCall, ModelCodec, ModelCrashes, ModelOffers
from lacewinggw.lab.fleetmodel.profile import (
    MODEL,
    SWING_S,
    WRITER,
    FleetProfile,
    LoadPattern,
    SlowMoments,
    Window,
)
from lacewinggw.metrics import Metrics

UPDATE_S = 0.2  # between news of an engine's work
BOOT_S = 0.5  # from the return of power until an entry serves and an engine has loaded


class ModelEntry:
    """One entry: its knowledge, pool, queue and relay, wired to modelled engines."""

    def __init__(
        self,
        profile: FleetProfile,
        name: str,
        place: str,
        engines: dict[TargetId, ModelEngine],
        agents: dict[TargetId, ModelAgent],
        entries: list[TargetEntry],
        calls: dict[str, ModelCall],
        rng: random.Random,
    ) -> None:
        loop_time = asyncio.get_running_loop().time
        self.is_open = True
        self.place = place
        places = {HostId(entry.target): entry.place for entry in entries}
        self.watched = choose_agents(HostId(name), Place(place), places)
        self.metrics = Metrics()
        self.pool = TargetPool(Place(place), EjectionRules(3, 1.0, 0.5), rng)
        self._serving: set[asyncio.Task[None]] = set()
        knowledge = RoutingView(RoutingViewRules())
        knowledge.update_routes(profile.table)
        knowledge.confirm_routes(loop_time() + 3600.0)
        for entry in entries:
            knowledge.update_target(entry)
        self.pool.sync(knowledge.targets)
        slots = ModelSlots(profile, agents, place)
        self.queue = DispatchQueue(self.pool, self.metrics, slots.ask, rng)
        limits = RetryLimits(0.2, profile.extra_retries, 10.0)
        placing = RequestPlacer(
            knowledge, self.queue, loop_time, lambda: limits, lambda: profile.entries, -math.inf
        )
        codec = ModelCodec(calls)
        self.offers = offers = ModelOffers(profile, engines, calls, place)
        self._relay = RequestRelay(
            RelayDependencies(
                codec=codec,
                knowledge=knowledge,
                pool=self.pool,
                queue=self.queue,
                placer=placing,
                offers=offers,  # type: ignore[arg-type]
                crashes=ModelCrashes(),  # type: ignore[arg-type]
                clock=loop_time,
                metrics=self.metrics,
                rng=rng,
                leaving_targets=LeavingTargets(knowledge, lambda: None, lambda: None, self.metrics),
                report_gap=slots.report_gap,
                routes_changed=Signal(),
            )
        )

    async def start(self) -> None:
        """Begin to serve."""
        await self.queue.start()

    async def close(self) -> None:
        """Lose power: break off what is served."""
        self.is_open = False
        for task in list(self._serving):
            task.cancel()
        await self.queue.close()

    async def serve(self, call: Call, caller: ModelCaller) -> None:
        """Answer a caller's request; raise `CallerDisconnected` if it ends without an answer."""
        task = asyncio.ensure_future(self._relay.serve(call, caller))  # type: ignore[arg-type]
        self._serving.add(task)
        try:
            await asyncio.wait([task])
        finally:
            self._serving.discard(task)
            task.cancel()
        if task.cancelled() or task.exception() is not None:
            raise CallerDisconnected


class ModelFleet:
    """A fleet that plays one load pattern.

    fleet = ModelFleet(profile, pattern, seed=1)
    stories = await fleet.play()
    """

    def __init__(self, profile: FleetProfile, pattern: LoadPattern, seed: int) -> None:
        self._profile = profile
        self._pattern = pattern
        self._rng = random.Random(seed)
        self._moments_rng = random.Random(seed)  # the same moments, whatever else is drawn
        self._calls: dict[str, ModelCall] = {}
        self._engines: dict[TargetId, ModelEngine] = {}
        self._agents: dict[TargetId, ModelAgent] = {}
        self._listed: list[TargetEntry] = []
        self._entries: list[ModelEntry] = []
        self._all_entries: list[ModelEntry] = []
        self._telling: set[asyncio.Task[None]] = set()
        self._began = 0.0

    async def play(self) -> list[Story]:
        """Run the whole pattern and return what became of each request."""
        self._add_engines()
        await self._add_entries()
        loop = asyncio.get_running_loop()
        self._began = loop.time()
        crowd = Crowd(
            self._profile,
            self._doors,
            self._calls,
            self._rng,
            self._pattern.impatient,
            {self._place(index): each for index, each in enumerate(self._pattern.place_loads)},
        )
        tasks = [loop.create_task(agent.run()) for agent in self._agents.values()]
        tasks += [loop.create_task(self._tell(target)) for target in self._engines]
        tasks += [loop.create_task(self._follow(each)) for each in self._events()]
        if self._pattern.moments is not None:
            tasks += self._start_moments(self._pattern.moments)
        await crowd.run(self._pattern.length_s, self._factors)
        for task in tasks:
            task.cancel()
        for entry in self._entries:
            await entry.close()
        for engine in self._engines.values():
            await engine.close()
        return crowd.stories

    @property
    def rejected(self) -> float:
        """The share of offers that engines refused because they were full."""
        engines = self._engines.values()
        offered = sum(engine.offered for engine in engines)
        return sum(engine.rejected for engine in engines) / offered if offered else 0.0

    @property
    def far(self) -> float:
        """The share of offers to engines of another place."""
        sent = sum(entry.offers.sent for entry in self._all_entries)
        return sum(entry.offers.far for entry in self._all_entries) / sent if sent else 0.0

    def _doors(self) -> list[Door]:
        return list(self._entries)

    def _factors(self, elapsed_s: float) -> LoadFactors:
        factor, pattern = self._factor(elapsed_s), self._pattern
        kinds = {kind.name: kind.share * factor for kind in self._profile.kinds}
        accounts = {account.name: account.share for account in self._profile.accounts}
        for bursts, shares in ((pattern.kind_bursts, kinds), (pattern.account_bursts, accounts)):
            for window, name, times in bursts:
                if window.begin_s <= elapsed_s < window.end_s:
                    shares[name] *= times
        return LoadFactors(tuple(kinds.values()), tuple(accounts.values()))

    def _factor(self, elapsed_s: float) -> float:
        factor = 1.0 + self._pattern.swing * math.sin(math.tau * elapsed_s / SWING_S)
        if elapsed_s < self._pattern.ramp_s:
            rest = 1.0 - elapsed_s / self._pattern.ramp_s
            factor *= 1.0 - (1.0 - self._pattern.ramp_from) * rest
        for window, times in self._pattern.bursts:
            if window.begin_s <= elapsed_s < window.end_s:
                factor *= times
        return factor

    # ---- parts ----------------------------------------------------------------------------

    def _place(self, index: int) -> str:
        return f"place-{index % self._profile.places}"

    def _add_engines(self) -> None:
        for index in range(self._profile.engines):
            entry = TargetEntry(
                TargetName(f"i-{index}"),
                WRITER,
                Address(f"10.2.0.{index + 1}:8080"),
                Place(self._place(index)),
                slots=self._profile.figures.slots,
                weights={MODEL: 1},
            )
            engine = ModelEngine(self._profile.figures, self._profile.queue)
            engine.start()
            self._engines[entry.target] = engine
            agent = ModelAgent(engine, self._profile.figures.slots)
            agent.on_slow = partial(self._tell_soon, entry.target)
            self._agents[entry.target] = agent
            self._listed.append(entry)

    async def _add_entries(self) -> None:
        for index in range(self._profile.entries):
            rng = random.Random(self._rng.random())
            entry = ModelEntry(
                self._profile,
                f"entry-{index}",
                self._place(index),
                self._engines,
                self._agents,
                self._listed,
                self._calls,
                rng,
            )
            await entry.start()
            self._entries.append(entry)
            self._all_entries.append(entry)

    async def _tell(self, target: TargetId) -> None:
        """Tell the entries that watch it now and then how busy an engine is."""
        await asyncio.sleep(self._rng.uniform(0.0, UPDATE_S))
        while True:
            await self._tell_once(target)
            await asyncio.sleep(UPDATE_S)

    async def _tell_once(self, target: TargetId) -> None:
        engine, now = self._engines[target], asyncio.get_running_loop().time()
        agent, is_loading = self._agents[target], engine.is_loading
        running, slowness = agent.load, agent.slowness
        if not engine.is_up:
            return
        await asyncio.sleep(self._profile.news_hop_s)
        for entry in self._entries:
            if HostId(target) in entry.watched:
                entry.pool.note_report(target, running, now, is_loading, now, slowness, True)

    def _tell_soon(self, target: TargetId) -> None:
        task = asyncio.get_running_loop().create_task(self._tell_once(target))
        self._telling.add(task)
        task.add_done_callback(self._telling.discard)

    # ---- what happens ---------------------------------------------------------------------

    def _events(self) -> list["_Event"]:
        events: list[_Event] = []
        turn = 0.0
        for window, share in self._pattern.outages:
            events.append(_Outage(window, turn, turn + share))
            turn = (turn + share) % 1.0
        events += [_PowerLoss(window) for window in self._pattern.power_losses]
        events += [_Slow(window, share, factor) for window, share, factor in self._pattern.slow]
        return events

    async def _follow(self, event: "_Event") -> None:
        await self._until(event.window.begin_s)
        match event:
            case _Outage(window, begin, end):
                engines = self._part(begin, end)
                for engine in engines:
                    engine.is_loading = True
                await self._until(window.end_s)
                for engine in engines:
                    engine.is_loading = False
            case _Slow(window, share, factor):
                engines = self._part(0.0, share)
                for engine in engines:
                    engine.factor = factor
                await self._until(window.end_s)
                for engine in engines:
                    engine.factor = 1.0
            case _PowerLoss(window):
                for engine in self._engines.values():
                    engine.lose_power()
                lost, self._entries = self._entries, []
                for entry in lost:
                    await entry.close()
                await self._until(window.end_s + BOOT_S)
                for engine in self._engines.values():
                    engine.is_up = True
                await self._add_entries()

    def _start_moments(self, moments: SlowMoments) -> list[asyncio.Task[None]]:
        loop, engines = asyncio.get_running_loop(), list(self._engines.values())
        if not moments.turns:
            return [loop.create_task(self._slow_at_random(moments, each)) for each in engines]
        return [loop.create_task(self._slow_by_turns(moments))]

    async def _slow_at_random(self, moments: SlowMoments, engine: ModelEngine) -> None:
        rng = random.Random(self._moments_rng.random())
        usual_s = moments.length_s * (1.0 / moments.share - 1.0)
        while True:
            await asyncio.sleep(rng.expovariate(1.0 / usual_s))
            engine.factor = moments.factor
            await asyncio.sleep(moments.length_s * rng.uniform(0.7, 1.3))
            engine.factor = 1.0

    async def _slow_by_turns(self, moments: SlowMoments) -> None:
        pause_s = moments.length_s / moments.share / moments.turns - moments.length_s
        for turn in itertools.cycle(range(moments.turns)):
            await asyncio.sleep(pause_s)
            part = self._part(turn / moments.turns, (turn + 1) / moments.turns)
            for engine in part:
                engine.factor = moments.factor
            await asyncio.sleep(moments.length_s)
            for engine in part:
                engine.factor = 1.0

    def _part(self, begin: float, end: float) -> list[ModelEngine]:
        engines = list(self._engines.values())
        return engines[round(begin * len(engines)) : round(end * len(engines))]

    async def _until(self, at_s: float) -> None:
        await asyncio.sleep(max(0.0, self._began + at_s - asyncio.get_running_loop().time()))


@dataclass(frozen=True)
class _Outage:
    """A part of the engines takes other weights; `begin` and `end` are shares of all of them."""

    window: Window
    begin: float
    end: float


@dataclass(frozen=True)
class _Slow:
    """A share of the engines takes `factor` times as long."""

    window: Window
    share: float
    factor: float


@dataclass(frozen=True)
class _PowerLoss:
    """Everything stops and begins anew."""

    window: Window


_Event: TypeAlias = _Outage | _Slow | _PowerLoss
