"""Callers of the lab: each asks for addresses, keeps the answer for its time, and sends requests.

What a caller was told is kept as one typed `Told` per request, from the response's own words.
"""

import asyncio
import hashlib
import json
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from lacewinggw.wire.http import Headers, HttpClient, HttpError, Response

ADDRESS_TIMEOUT_S = 3.0
TRY_AGAIN_S = 0.2
MS_PER_S = 1000.0


class Verdict(Enum):
    """What a caller was told of its request."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    INCOMPLETE = "incomplete"


@dataclass(frozen=True)
class Told:
    """One request as its caller saw it; times are seconds on the loop's clock."""

    request: str
    sent_at: float
    ended_at: float
    verdict: Verdict
    code: str = ""
    weights_digest: str = ""

    @property
    def seconds(self) -> float:
        """How long the caller waited."""
        return self.ended_at - self.sent_at


@dataclass
class Caller:
    """One client account's program.

    caller = Caller(http, ["127.0.0.1:7002"], {"authorization": "Bearer ..."}, rng)
    told = await caller.send("bulletin-writer", "tally-1", pieces=16)
    """

    http: HttpClient
    known_entries: Sequence[str]
    headers: Headers
    rng: random.Random
    told: list[Told] = field(default_factory=list)
    _addresses: list[str] = field(default_factory=list)
    _good_until: float = 0.0

    async def send(
        self, service: str, request: str, pieces: int = 16, deadline_s: float = 10.0
    ) -> Told:
        """Send one idempotent model request, once, and record what was told."""
        loop = asyncio.get_running_loop()
        address = await self._address()
        body = json.dumps({"prompt": f"{request} of the saleyard", "pieces": pieces}).encode()
        headers = {
            **self.headers,
            "content-type": "application/json",
            "idempotent": "true",
            "deadline-ms": str(int(deadline_s * MS_PER_S)),
        }
        sent_at = loop.time()
        path = f"/v1/services/{service}/requests"
        try:
            response = await self.http.request(
                address, "POST", path, headers, body, timeout_s=deadline_s + 5.0
            )
            verdict, code = judge(response)
            weights = response.headers.get("weights-digest", "")
        except (OSError, TimeoutError, HttpError) as error:
            self._good_until = 0.0
            verdict, code, weights = Verdict.UNKNOWN, type(error).__name__, ""
        told = Told(request, sent_at, loop.time(), verdict, code, weights)
        self.told.append(told)
        return told

    async def _address(self) -> str:
        """Return an address to connect to, asking anew when the last answer has run out."""
        loop = asyncio.get_running_loop()
        while not self._addresses or loop.time() >= self._good_until:
            if not await self._ask_addresses():
                await asyncio.sleep(TRY_AGAIN_S)
        return self.rng.choice(self._addresses)

    async def _ask_addresses(self) -> bool:
        entry = self.rng.choice(self.known_entries)
        try:
            response = await self.http.request(
                entry, "GET", "/v1/addresses", self.headers, timeout_s=ADDRESS_TIMEOUT_S
            )
        except (OSError, TimeoutError, HttpError):
            return False
        if response.status != 200:
            return False
        answer = response.json()
        self._addresses = answer["addresses"]
        self._good_until = asyncio.get_running_loop().time() + answer["ttl_ms"] / MS_PER_S
        return bool(self._addresses)


def judge(response: Response) -> tuple[Verdict, str]:
    """Return what a response says of its request, after checking that an answer is whole."""
    if response.status == 200:
        digest = hashlib.sha256(response.content).hexdigest()
        whole = digest == response.headers.get("content-digest")
        return (Verdict.ANSWERED if whole else Verdict.INCOMPLETE), ""
    code = response.headers.get("error-code", str(response.status))
    if response.headers.get("outcome") == "not-run":
        return Verdict.NOT_RUN, code
    return Verdict.UNKNOWN, code


def count_outcomes(told: Sequence[Told]) -> dict[str, int]:
    """Count requests by what their callers were told."""
    counts = Counter(each.verdict.value for each in told)
    return {verdict.value: counts.get(verdict.value, 0) for verdict in Verdict}
