"""Entries as processes, and targets that answer in every way: what callers are told is true.

Guards against a 408, 421, 429 or 503 for a request that may run once only and has run, or runs
later, and against part of an answer that is framed as the whole of it. A short run is part of the
suite; PROMISE_SEEDS names the seeds of a longer one ("100:200").
"""

import asyncio
import itertools
import os
import random
import signal
from collections import Counter, defaultdict
from contextlib import suppress
from dataclasses import dataclass, field

from declared_fleet import Reply, receive_reply
from entry_processes import EntryProcess, wait_until_ready
from platform_standins import DESK, KEY, LLM, StoreStandIn, manifest, target_row

from lacewinggw.errors import NOT_RUN_STATUSES
from lacewinggw.wire.network import Listener, Stream, TcpNetwork

FIRST_SEED, END_SEED = map(int, os.environ.get("PROMISE_SEEDS", "0:2").split(":"))
PLAY_S = 6.0
LAST_RUNS_S = 2.5  # after the last answer, in which a request that was given up could still run
REQUESTS_PER_S = 30.0
ONCE = ("/sheet/1", "/note/1")
PATHS = (*ONCE, *ONCE, "/tally/1", "/report/1")
TARGETS = 5
SEAL = "X-Response-Seal: seal\r\n"
BODY = b"id: 1\ndata: piece\n\n"
FRAMINGS = {
    "length": ("Content-Length: {size}\r\n", b"%s"),
    "chunks": ("Transfer-Encoding: chunked\r\n", b"13\r\n%s\r\n0\r\n\r\n"),
    "neither": ("Connection: close\r\n", b"%s"),
}


@dataclass
class Runs:
    """What targets ran and refused, by the id of the caller's attempt."""

    runs: dict[str, list[str]] = field(default_factory=lambda: defaultdict(list))


class DrawnTarget:
    """A target that draws what becomes of each request; it runs what it does not refuse."""

    def __init__(self, number: int, address: str, rng: random.Random, runs: Runs) -> None:
        self.name = f"i-{number}"
        self.address = address
        self._rng, self._runs = rng, runs
        self._listener: Listener | None = None
        self._silent_until = 0.0

    async def start(self) -> None:
        """Listen."""
        self._listener = await TcpNetwork().listen(self.address, self._accept)

    async def close(self) -> None:
        """Refuse connections; requests in progress go on."""
        if self._listener is not None:
            await self._listener.close()
            self._listener = None

    def pause(self, seconds: float) -> None:
        """Read and send nothing for a time."""
        self._silent_until = _now() + seconds

    async def _accept(self, stream: Stream) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            await self._serve(stream)

    async def _serve(self, stream: Stream) -> None:
        received = b""
        while b"\r\n\r\n" not in received:
            data = await stream.read(1 << 16)
            if not data:
                return
            received += data
            await asyncio.sleep(max(0.0, self._silent_until - _now()))
        lines = received.decode("latin-1").split("\r\n")
        headers = {
            name.lower(): value for name, _, value in (line.partition(": ") for line in lines)
        }
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expected-instance") != self.name:
            stream.write(_head(421, attempt, f"X-Instance-Id: {self.name}\r\n", 0))
            return
        await self._answer(stream, attempt)

    async def _answer(self, stream: Stream, attempt: str) -> None:
        rng = self._rng
        await asyncio.sleep(rng.choice([0.0, 0.0, 0.01, 0.1]))
        kind = rng.choice(["whole", "whole", "refusal", "error", "error", "cut", "end", "silence"])
        if kind == "refusal":
            retry_after = rng.choice(["", "Retry-After: 0.2\r\n"])
            extra = f"X-Not-Executed: 1\r\n{retry_after}"
            stream.write(_head(rng.choice([421, 429, 503]), attempt, extra, 0))
            return
        self._runs.runs[attempt].append(kind)
        await asyncio.sleep(rng.choice([0.0, 0.05, 0.05, 0.5, 1.4]))
        await asyncio.sleep(max(0.0, self._silent_until - _now()))
        match kind:
            case "silence":
                await asyncio.sleep(3.0)
            case "error":
                status = rng.choice([400, 408, 421, 429, 500, 503, 503, 504])
                extra = SEAL + rng.choice(["", "Retry-After: 0.1\r\n"])
                stream.write(_head(status, attempt, extra, 6) + b"failed")
            case _:
                await self._send(stream, attempt, kind)
        if rng.random() < 0.2:
            stream.abort()

    async def _send(self, stream: Stream, attempt: str, kind: str) -> None:
        rng = self._rng
        field_line, form = FRAMINGS[rng.choice(list(FRAMINGS))]
        extra = SEAL + field_line.format(size=len(BODY)) + "X-Weight-Versions: 1\r\n"
        head = _head(rng.choice([200, 200, 503]), attempt, extra)
        answer = head + form % BODY
        if kind == "cut":
            stream.write(answer[: rng.randrange(len(answer))])
        elif kind == "whole":
            stream.write(answer[: len(head)])
            await asyncio.sleep(rng.choice([0.0, 0.0, 0.3]))
            stream.write(answer[len(head) :])
        await stream.drain()


def _head(status: int, attempt: str, extra: str, size: int | None = None) -> bytes:
    length = "" if size is None else f"Content-Length: {size}\r\n"
    head = f"HTTP/1.1 {status} Answer\r\nX-Attempt-Id: {attempt}\r\n{extra}{length}\r\n"
    return head.encode()


class Schedule:
    """One seed: entries, targets, callers, and what befalls them."""

    def __init__(self, seed: int, folder) -> None:
        self.rng = random.Random(seed)
        self.runs = Runs()
        self.answers: list[tuple[str, str, Reply]] = []
        prefix = f"127.{1 + os.getpid() % 200}"
        self._network = TcpNetwork()
        self._store = StoreStandIn(self._network)
        self._store._address = f"{prefix}.9.1:8007"
        self._entries = [
            EntryProcess(number, f"{prefix}.1.{number + 1}", self._store.address, folder)
            for number in range(self.rng.randint(1, 4))
        ]
        self._targets = [
            DrawnTarget(number, f"{prefix}.2.{number + 1}:8080", self.rng, self.runs)
            for number in range(TARGETS)
        ]

    async def play(self) -> None:
        """Play all of it."""
        await self._store.start()
        self._declare()
        for number, target in enumerate(self._targets):
            await target.start()
            row = target_row((DESK, LLM)[number % 2], target.address)
            self._store.put("servers", target.name, row)
        try:
            for entry in self._entries:
                await entry.start()
            await wait_until_ready(self._network, self._entries)
            await self._ask_all()
            await asyncio.sleep(LAST_RUNS_S)
        finally:
            for entry in self._entries:
                await entry.kill()
            for target in self._targets:
                await target.close()
            await self._store.close()

    def _declare(self) -> None:
        rng = self.rng
        routes = [
            {**route, "TimeoutMs": rng.choice([400, 1200, 3000]), "Attempts": rng.choice([1, 2, 3])}
            for route in manifest(2)["Routes"]
        ]
        stream = {**routes[0], "Name": "note", "Prefix": "/note/", "ResumeStreams": False}
        self._store.put("op", "config", manifest(2, Routes=[*routes, stream]))

    async def _ask_all(self) -> None:
        until = _now() + PLAY_S
        troubles = asyncio.ensure_future(self._trouble(until))
        asked = set()
        for number in itertools.count():
            if _now() > until:
                break
            asked.add(asyncio.ensure_future(self._ask(f"attempt-{number}")))
            await asyncio.sleep(self.rng.expovariate(REQUESTS_PER_S))
        await asyncio.gather(troubles, *asked)

    async def _ask(self, attempt: str) -> None:
        rng, path = self.rng, self.rng.choice(PATHS)
        left_ms = rng.choice([60, 300, 1000, 3000])
        leaves_after_s = rng.choice([4.0, 4.0, 4.0, 0.002, 0.2])
        request = (
            f"POST {path} HTTP/1.1\r\nHost: notes.example\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Deadline-Remaining: {left_ms}\r\nX-Key: {KEY}\r\nX-Model: market\r\n"
            f"Content-Length: {len(attempt)}\r\n\r\n{attempt}"
        ).encode()
        with suppress(OSError):
            stream = await self._network.connect(f"{rng.choice(self._entries).ip}:8005")
            cut = rng.choice([len(request), len(request), rng.randrange(len(request))])
            stream.write(request[:cut])
            await asyncio.sleep(rng.choice([0.0, 0.0, 0.05]))
            stream.write(request[cut:])
            self.answers.append((attempt, path, await receive_reply(stream, leaves_after_s)))

    async def _trouble(self, until: float) -> None:
        """Pause, restart and kill entries and targets, one thing after the other."""
        while _now() < until:
            await asyncio.sleep(self.rng.uniform(0.1, 0.8))
            entry, target = self.rng.choice(self._entries), self.rng.choice(self._targets)
            match self.rng.choice(["stop", "kill", "freeze", "pause", "close"]):
                case "stop":
                    await entry.stop()
                    await entry.start()
                case "kill":
                    await entry.kill()
                    await entry.start()
                case "freeze":
                    entry.signal(signal.SIGSTOP)
                    await asyncio.sleep(self.rng.uniform(0.1, 1.5))
                    entry.signal(signal.SIGCONT)
                case "pause":
                    target.pause(self.rng.uniform(0.1, 1.5))
                case "close":
                    await target.close()
                    await asyncio.sleep(self.rng.uniform(0.1, 0.5))
                    await target.start()

    def broken(self) -> list[str]:
        """Return the promises that are not true."""
        return [
            f"{attempt} {path} got {reply} and ran: {self.runs.runs[attempt]}"
            for attempt, path, reply in self.answers
            if path in ONCE and reply.status in NOT_RUN_STATUSES and self.runs.runs[attempt]
        ]

    def unfounded(self) -> list[str]:
        """Return the successes that are framed as whole, or end as such, and are not."""
        return [
            f"{attempt} {path} got {reply}"
            for attempt, path, reply in self.answers
            if reply.whole and reply.status == 200 and not _may_be_whole(reply)
        ]

    def doubled(self) -> list[str]:
        """Return the attempts at requests that may run once only and ran more often."""
        paths = {attempt: path for attempt, path, _ in self.answers}
        runs = self.runs.runs.items()
        return [each for each, ran in runs if paths.get(each) in ONCE and len(ran) > 1]


def _may_be_whole(reply: Reply) -> bool:
    """Return whether an answer has its body; one without a length may be cut, but adds something.

    A body of a plain service that is cut without a length cannot be told from a whole one.
    """
    is_framed = reply.headers.keys() & {"content-length", "transfer-encoding"}
    return reply.body == BODY or (
        not is_framed and reply.body != b"" and BODY.startswith(reply.body)
    )


async def test_promises_of_processes_are_true_in_drawn_schedules(tmp_path):
    statuses: Counter[int] = Counter()
    for seed in range(FIRST_SEED, END_SEED):
        folder = tmp_path / str(seed)
        folder.mkdir()
        schedule = Schedule(seed, folder)
        await schedule.play()
        statuses.update(reply.status for _, _, reply in schedule.answers)
        assert not schedule.broken(), f"seed {seed}: {schedule.broken()}"
        assert not schedule.doubled(), f"seed {seed}: {schedule.doubled()}"
        assert not schedule.unfounded(), f"seed {seed}: {schedule.unfounded()}"
    print(f"seeds {FIRST_SEED} to {END_SEED - 1}: {dict(statuses)}")
    # All kinds of answers have to occur, or the check says nothing.
    assert statuses[200] and statuses[502] and statuses[503]


def _now() -> float:
    return asyncio.get_running_loop().time()
