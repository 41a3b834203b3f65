"""What all stand-ins share: an HTTP listener, faults set while it runs, and counts.

A stand-in keeps everything in memory, takes its time from the running loop and its randomness from
a seed, and runs on any `Network`. `POST /control` sets faults by name; `GET /stats` tells counts.

    table = TableStandIn(network)
    await table.start()
    table.faults.outage = Outage.REFUSE
    await table.close()

`close` and `start` again is a restart at the same address.
"""

import asyncio
import json
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, fields
from enum import Enum
from random import Random
from typing import Any, Generic, TypeVar

from lacewinggw.wire.http import Request, Response, json_response
from lacewinggw.wire.httpserver import HttpServer
from lacewinggw.wire.network import Network

LOOPBACK = "127.0.0.1:0"
STEP_S = 0.05
HANG_STEP_S = 1.0

T = TypeVar("T")


class Outage(Enum):
    """How a stand-in fails when it is out: answer 503, cut the connection, or say nothing."""

    NONE = "none"
    REFUSE = "refuse"
    CUT = "cut"
    HANG = "hang"


@dataclass
class Faults:
    """Faults that every stand-in knows.

    `lose_next` counts replies still to be lost after their write took effect, `lose_share` is the
    share of replies lost by chance; `delay_s` is added to each call.
    """

    outage: Outage = Outage.NONE
    delay_s: float = 0.0
    lose_next: int = 0
    lose_share: float = 0.0


class ControlError(Exception):
    """A control message that names no fault, or gives a value of the wrong kind."""


def convert(kind: type[Any], value: Any) -> Any:
    """Return a JSON value as the given kind; raise `TypeError` or `ValueError` when it is none."""
    if kind is bool and not isinstance(value, bool):
        raise TypeError("not a truth value")
    return kind(value)


def set_fields(target: Any, values: dict[str, Any]) -> None:
    """Set the fields of a data class by name, converting each value to the field's own kind.

    Raises `ControlError` before anything is set.
    """
    known = {field.name for field in fields(target)}
    converted = {}
    for name, value in values.items():
        if name not in known:
            raise ControlError(f"no setting {name!r}; there are {', '.join(sorted(known))}")
        kind = type(getattr(target, name))
        try:
            converted[name] = convert(kind, value)
        except (TypeError, ValueError) as error:
            raise ControlError(f"{name} takes a {kind.__name__}, not {value!r}") from error
    for name, value in converted.items():
        setattr(target, name, value)


def now() -> float:
    """Return the running loop's time in seconds."""
    return asyncio.get_running_loop().time()


class RateMeter:
    """Count events, in all and at most within one second."""

    def __init__(self) -> None:
        self.total = 0
        self.peak = 0
        self._recent: deque[float] = deque()

    def current(self) -> int:
        """Return how many events the last second had."""
        horizon = now() - 1.0
        while self._recent and self._recent[0] <= horizon:
            self._recent.popleft()
        return len(self._recent)

    def add(self) -> None:
        """Count one event."""
        self.total += 1
        self._recent.append(now())
        self.peak = max(self.peak, self.current())

    def stats(self) -> dict[str, int]:
        """Return the counts."""
        return {"total": self.total, "peak_per_s": self.peak}


class Lagged(Generic[T]):
    """A value with its history, so that it can be read as it was some seconds ago."""

    def __init__(self, value: T, keep_s: float = 60.0) -> None:
        self._keep_s = keep_s
        self._first = value
        self._history: deque[tuple[float, T]] = deque()

    @property
    def latest(self) -> T:
        """The value as it is."""
        return self._history[-1][1] if self._history else self._first

    def set(self, value: T) -> None:
        """Record a new value as of now."""
        moment = now()
        self._history.append((moment, value))
        while self._history[0][0] < moment - self._keep_s:
            self._first = self._history.popleft()[1]

    def read(self, lag_s: float) -> T:
        """Return the value as it was `lag_s` seconds ago."""
        horizon = now() - lag_s
        for moment, value in reversed(self._history):
            if moment <= horizon:
                return value
        return self._first


def refused(status: int, reason: str, retry_after_s: float = 0.0) -> Response:
    """Return a refusal of a call that was not run, with a retry-after header when one is due."""
    headers = {"outcome": "not-run"}
    if retry_after_s:
        headers["retry-after"] = f"{retry_after_s:g}"
    return json_response(status, {"reason": reason}, headers)


class StandIn:
    """An HTTP service of the lab; subclasses answer what is neither control nor stats."""

    faults: Faults

    def __init__(self, network: Network, address: str = LOOPBACK, seed: int = 0) -> None:
        self.rng = Random(seed)
        self.faults = Faults()
        self._network = network
        self._address = address
        self._server: HttpServer | None = None

    @property
    def address(self) -> str:
        """The bound address, once started."""
        return self._address

    async def start(self) -> None:
        """Bind and serve; after `close`, at the same address as before."""
        self._server = HttpServer(self._network, self._address, self._handle)
        await self._server.start()
        self._address = self._server.address

    async def close(self) -> None:
        """Stop at once, cutting what is in progress."""
        if self._server is not None:
            await self._server.close()
            self._server = None

    def stats(self) -> dict[str, Any]:
        """Return counts for `GET /stats`."""
        return {}

    def control(self, values: dict[str, Any]) -> None:
        """Set faults by name, as `POST /control` does."""
        set_fields(self.faults, values)

    async def answer(self, request: Request) -> Response:
        """Answer one request that is not lost to an outage."""
        raise NotImplementedError

    def reply_lost(self) -> bool:
        """Draw whether the reply to the write just made is to be lost."""
        if self.faults.lose_next > 0:
            self.faults.lose_next -= 1
            return True
        return self.happens(self.faults.lose_share)

    def happens(self, share: float) -> bool:
        """Draw from the seed whether something with this likelihood happens."""
        return share > 0 and self.rng.random() < share

    def written(self, response: Response) -> Response:
        """Return the reply to a write that took effect, or cut the connection instead."""
        if self.reply_lost():
            raise ConnectionAbortedError("the reply is lost on purpose")
        return response

    async def _handle(self, request: Request) -> Response:
        try:
            match request.method, request.path:
                case "POST", "/control":
                    self.control(json.loads(request.body))
                    return json_response(200, {})
                case "GET", "/stats":
                    return json_response(200, self.stats())
        except (ControlError, ValueError) as error:
            return refused(400, str(error))
        return await self._answer_or_fail(request)

    async def _answer_or_fail(self, request: Request) -> Response:
        if self.faults.delay_s > 0:
            await asyncio.sleep(self.faults.delay_s)
        match self.faults.outage:
            case Outage.REFUSE:
                return refused(503, "out of service", 1.0)
            case Outage.CUT:
                raise ConnectionAbortedError("cut on purpose")
            case Outage.HANG:
                await wait_while(lambda: self.faults.outage is Outage.HANG, HANG_STEP_S)
                raise ConnectionAbortedError("cut after hanging")
        try:
            return await self.answer(request)
        except (KeyError, TypeError, ValueError) as error:
            return refused(400, f"malformed request: {error!r}")


async def wait_while(condition: Callable[[], bool], step_s: float = STEP_S) -> None:
    """Wait until a condition no longer holds, looking every `step_s` seconds.

    Faults are plain attributes that anyone may set, so nothing tells of a change; long steps suit
    a wait that many may be in at once.
    """
    while condition():  # noqa: ASYNC110
        await asyncio.sleep(step_s)
