"""Callers on kept connections while entries leave and return and the configuration changes.

Each request that a caller has sent whole gets a whole answer, a refusal or an error, unless it
crosses the close of its connection. Only the end of a grace period cuts an answer.
"""

import asyncio
import random
from contextlib import suppress
from dataclasses import dataclass, field

import h11
import pytest
from declared_fleet import DeclaredFleet, running_fleet
from platform_standins import KEY, manifest

from lacewinggw.settings import default_settings

pytestmark = pytest.mark.looptime

SECONDS = 20.0
CALLERS = 24
GRACE_S = 4.0
CROSSING_S = 0.003  # within which a request and the close of its connection may cross
IDLE_S = (1.0, 2.0, 4.0)  # limits that the routes name, in seconds
IDLE_SHARE = 0.8  # of the limit, after which callers do not reuse a connection
PATHS = ("/tally/1", "/sheet/1", "/report/1", "/nowhere/1")


@dataclass
class Outcomes:
    """How requests ended; `lost` and `cut` describe those without a whole answer."""

    statuses: list[int] = field(default_factory=list)
    lost: list[str] = field(default_factory=list)
    cut: list[float] = field(default_factory=list)  # times
    crossed: int = 0


class KeptConnection:
    """A caller that sends one request after another, on one connection as long as it may."""

    def __init__(self, fleet: DeclaredFleet, number: int, rng: random.Random, out: Outcomes):
        self._fleet = fleet
        self._rng = rng
        self._out = out
        self._view = fleet.network.view(f"10.200.0.{number + 1}")
        self._stream = None
        self._http = h11.Connection(h11.CLIENT)
        self._sent = 0

    async def run(self, until: float) -> None:
        while now() < until:
            with suppress(OSError):
                if self._stream is None:
                    entry = self._rng.randrange(2) + 1
                    self._stream = await self._view.connect(f"10.1.0.{entry}:8005")
                    self._http = h11.Connection(h11.CLIENT)
                await self._ask()
            await self._pause()

    async def _pause(self) -> None:
        idle_s = self._fleet.idle_s
        pause_s = self._rng.choice((0.0, 0.1, self._rng.uniform(0, 1.2) * idle_s))
        await asyncio.sleep(pause_s)
        is_old = pause_s > IDLE_SHARE * self._fleet.idle_s
        if self._stream is not None and (is_old or self._stream.ended):
            self._drop()

    def _drop(self) -> None:
        self._stream.close()
        self._stream = None

    async def _ask(self) -> None:
        path = self._rng.choice(PATHS)
        method = self._rng.choice(("GET", "POST", "HEAD")) if path != "/report/1" else "POST"
        body = bytes(self._rng.randrange(1, 5000)) if method == "POST" else b""
        self._sent += 1
        headers = {
            "Host": "notes.example",
            "X-Attempt-Id": f"attempt-{id(self)}-{self._sent}",
            "X-Deadline-Remaining": "8000",
            "X-Key": KEY,
            "X-Model": "market" if path == "/report/1" else "",
            "Content-Length": str(len(body)) if body else "",
        }
        request = h11.Request(
            method=method, target=path, headers=[pair for pair in headers.items() if pair[1]]
        )
        data = self._http.send(request) + (self._http.send(h11.Data(data=body)) if body else b"")
        self._http.send(h11.EndOfMessage())
        middle = self._rng.randrange(len(data))
        self._stream.write(data[:middle])
        await asyncio.sleep(self._rng.choice((0.0, 0.0, 0.3)))
        self._stream.write(data[middle:])
        await self._receive(f"{method} {path} at {now():.3f}", now())

    async def _receive(self, name: str, sent_at: float) -> None:
        response = None
        try:
            while True:
                event = self._http.next_event()
                match event:
                    case h11.NEED_DATA:
                        self._http.receive_data(await self._stream.read(1 << 16))
                    case h11.Response():
                        response = event
                    case h11.EndOfMessage():
                        break
                    case h11.ConnectionClosed():
                        raise h11.RemoteProtocolError("closed")
        except (OSError, h11.RemoteProtocolError):
            self._drop()
            if response is not None:
                self._out.cut.append(now())
            elif now() - sent_at <= CROSSING_S:
                self._out.crossed += 1
            else:
                self._out.lost.append(f"{name}, ended after {now() - sent_at:.3f} s")
            return
        self._out.statuses.append(response.status_code)
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            self._drop()
            return
        self._http.start_next_cycle()


async def change_routes(fleet: DeclaredFleet, rng: random.Random) -> None:
    version = 2
    while True:
        await asyncio.sleep(rng.uniform(0.2, 2.0))
        version += 1
        fleet.idle_s = rng.choice(IDLE_S)
        routes = manifest(version)
        routes["Limits"] = {**routes["Limits"], "IdleTimeoutMs": round(1000 * fleet.idle_s)}
        for route in routes["Routes"]:
            route["TimeoutMs"] = rng.choice((6000, 8000))
        fleet.store.put("op", "config", routes)


async def reload_settings(fleet: DeclaredFleet, rng: random.Random) -> None:
    while True:
        await asyncio.sleep(rng.uniform(0.2, 2.0))
        for entry in fleet.entries:
            entry.apply(entry_settings(rng))


def entry_settings(rng: random.Random):
    settings = default_settings()
    settings.fleet.grace_ms = round(1000 * GRACE_S)
    settings.fleet.regions = rng.choice(([], ["hall:north"], ["hall:north", "room:south"]))
    return settings


async def restart_entries(fleet: DeclaredFleet, rng: random.Random, ends: list[float]) -> None:
    """Restart one entry after the other; note when their grace periods end."""
    number = 0
    while True:
        await asyncio.sleep(rng.uniform(0.5, 1.5))
        entry = fleet.entries[number]
        entry.apply(entry_settings(rng))
        await entry.drain()
        ends.append(now())
        await entry.close()
        await asyncio.sleep(rng.uniform(0.1, 0.5))
        fleet.entries.pop(number)
        fresh = await fleet.add_entry(number + 1)
        fleet.entries.remove(fresh)
        fleet.entries.insert(number, fresh)
        number = 1 - number


async def play(seed: int) -> tuple[Outcomes, list[float]]:
    rng, out, ends = random.Random(seed), Outcomes(), []
    async with running_fleet(desks=2, engines=3, entries=2) as fleet:
        fleet.idle_s = 5.0
        for name, target in fleet.targets.items():
            target.behaviour.events = 10
            pauses = (0.01, 0.1, 0.4) if name.startswith("engine") else (0.01, 0.4, 5.0)
            target.behaviour.pause_s = rng.choice(pauses)
        until = now() + SECONDS
        troubles = [
            asyncio.ensure_future(change_routes(fleet, rng)),
            asyncio.ensure_future(reload_settings(fleet, rng)),
            asyncio.ensure_future(restart_entries(fleet, rng, ends)),
        ]
        callers = [
            KeptConnection(fleet, number, random.Random(f"{seed}/{number}"), out)
            for number in range(CALLERS)
        ]
        await asyncio.gather(*(caller.run(until) for caller in callers))
        failed = [task.exception() for task in troubles if task.done()]
        for task in troubles:
            task.cancel()
        await asyncio.wait(troubles)
        assert not failed
    return out, ends


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_every_request_on_a_kept_connection_gets_an_answer(seed):
    out, ends = await play(seed)
    assert len(out.statuses) > 200 and 200 in out.statuses
    assert not out.lost
    assert all(any(abs(at - end) < 1.0 for end in ends) for at in out.cut)
    assert out.crossed <= len(out.statuses) / 50


def now() -> float:
    return asyncio.get_running_loop().time()
