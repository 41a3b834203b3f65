"""A load process of its own, so that the load does not slow down what it measures.

`python -m lacewinggw.lab.load.worker` reads one job as JSON on standard input, carries it out and
prints one JSON object.
"""

import asyncio
import itertools
import json
import os
import sys
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import asdict, dataclass, field
from typing import Any

from lacewinggw.lab.load.offers import MS_PER_S, quantile
from lacewinggw.wire.http import Headers, HttpClient, HttpError
from lacewinggw.wire.network import TcpNetwork

EVENT_STREAM = "text/event-stream"
EVENT_MARK = b"data: "
READ_TIMEOUT_S = 30.0
REQUEST_TIMEOUT_S = 30.0


@dataclass(frozen=True)
class Job:
    """What one worker does: callers at once, against which addresses, for how long.

    Each caller sends one request after the other. Arrivals count from `warm_up_s` on, for
    `seconds`. `stream` callers read pieces, `pieces` a request, and record the gaps between them.
    """

    path: str
    addresses: Sequence[str]
    headers: Headers
    callers: int
    seconds: float
    warm_up_s: float = 2.0
    pieces: int = 1
    stream: bool = False
    mark: str = "w"


@dataclass
class Tally:
    """What a worker counted in its time; latencies and gaps in milliseconds."""

    requests: int = 0
    failed: int = 0
    pieces: int = 0
    chunks: int = 0
    latencies_ms: list[float] = field(default_factory=list)
    gaps_ms: list[float] = field(default_factory=list)
    first_ms: list[float] = field(default_factory=list)


class Worker:
    """Carries out one job."""

    def __init__(self, job: Job) -> None:
        self._job = job
        self._http = HttpClient(TcpNetwork())
        self._tally = Tally()
        self._numbers = itertools.count()
        self._begin = 0.0
        self._end = 0.0

    async def run(self) -> Tally:
        """Run all callers to the end of the time."""
        loop = asyncio.get_running_loop()
        self._begin = loop.time() + self._job.warm_up_s
        self._end = self._begin + self._job.seconds
        callers = [loop.create_task(self._call_on(n)) for n in range(self._job.callers)]
        await asyncio.sleep(self._end - loop.time())
        for caller in callers:
            caller.cancel()
        await asyncio.wait(callers)
        await self._http.close()
        return self._tally

    async def _call_on(self, number: int) -> None:
        job = self._job
        address = job.addresses[number % len(job.addresses)]
        while True:
            name = f"{job.mark}-{os.getpid()}-{next(self._numbers)}"
            body = json.dumps({"prompt": name, "pieces": job.pieces}).encode()
            headers = {**job.headers, "x-request-id": name}
            with suppress(OSError, TimeoutError, HttpError):
                if job.stream:
                    await self._read_stream(address, headers, body)
                else:
                    await self._send_whole(address, headers, body)
                continue
            self._tally.failed += 1

    def _counts(self, at: float) -> bool:
        return self._begin <= at < self._end

    async def _send_whole(self, address: str, headers: Headers, body: bytes) -> None:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        response = await self._http.request(
            address, "POST", self._job.path, headers, body, timeout_s=REQUEST_TIMEOUT_S
        )
        now = loop.time()
        if not self._counts(now):
            return
        self._tally.requests += 1
        self._tally.failed += response.status != 200
        self._tally.latencies_ms.append((now - sent_at) * MS_PER_S)

    async def _read_stream(self, address: str, headers: Headers, body: bytes) -> None:
        loop, tally = asyncio.get_running_loop(), self._tally
        sent_at = loop.time()
        headers = {**headers, "accept": EVENT_STREAM}
        response = await self._http.stream(
            address, "POST", self._job.path, headers, body, READ_TIMEOUT_S
        )
        tally.failed += response.status != 200
        before: float | None = None
        try:
            async for data in response.pieces():
                now = loop.time()
                count = data.count(EVENT_MARK)
                if before is None:
                    tally.first_ms.append((now - sent_at) * MS_PER_S)
                if count and self._counts(now):
                    tally.pieces += count
                    tally.chunks += 1
                    if before is not None:
                        tally.gaps_ms.append((now - before) * MS_PER_S)
                    tally.gaps_ms.extend([0.0] * (count - 1))
                before = now
            tally.requests += 1
        finally:
            await response.aclose()


async def run_worker(job: Job) -> Tally:
    """Run a job in a process of its own and return what it counted."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "lacewinggw.lab.load.worker",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    out, _ = await process.communicate(json.dumps(asdict(job)).encode())
    return Tally(**json.loads(out))


def merge(tallies: Sequence[Tally]) -> Tally:
    """Return the tallies of several workers as one."""
    whole = Tally()
    for tally in tallies:
        whole.requests += tally.requests
        whole.failed += tally.failed
        whole.pieces += tally.pieces
        whole.chunks += tally.chunks
        whole.latencies_ms += tally.latencies_ms
        whole.gaps_ms += tally.gaps_ms
        whole.first_ms += tally.first_ms
    return whole


def describe_times(values_ms: Sequence[float]) -> dict[str, float]:
    """Return the quantiles of durations in milliseconds."""
    shares = {"p50_ms": 0.5, "p95_ms": 0.95, "p99_ms": 0.99}
    return {name: round(quantile(values_ms, share), 2) for name, share in shares.items()}


def main() -> None:
    """Carry out the job on standard input."""
    told: dict[str, Any] = json.load(sys.stdin)
    print(json.dumps(asdict(asyncio.run(Worker(Job(**told)).run()))))


if __name__ == "__main__":
    main()
