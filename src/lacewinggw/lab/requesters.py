"""Callers that send every kind of request and record what they were told, as a history.

They keep to the callers' page: addresses are kept for their time, a key or ticket is sent again
after an unknown outcome, and now and then the same one goes to two entries at the same moment.
"""

import asyncio
import hashlib
import json
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from lacewinggw.lab.history import Answered, Broken, Event, GaveUp, NotRun, Recorder, Sent, Unknown
from lacewinggw.wire.http import Headers, HttpClient, HttpError, NotConnectedError, Response

ADDRESS_TIMEOUT_S = 3.0
LATE_S = 5.0  # a caller waits so much longer than its deadline before it gives up
TRY_AGAIN_S = 0.2
SENDINGS = 4  # of one key or ticket
MS_PER_S = 1000.0
EVENT_STREAM = "text/event-stream"


class RequestKind(Enum):
    """The kinds of request, with how they may be repeated."""

    REPEATABLE = "repeatable"
    STREAM = "stream"  # repeatable, as server-sent events
    ONCE = "once"  # without a key: sent once, whatever comes of it
    ONCE_STREAM = "once-stream"
    KEYED = "keyed"
    TICKET = "ticket"
    PLAIN = "plain"  # a call to a plain service that may not be repeated


@dataclass(frozen=True)
class Mix:
    """Which services are called, and how often each kind of request, by weight."""

    model: str
    plain: str = ""
    weights: Mapping[RequestKind, int] = field(
        default_factory=lambda: {
            RequestKind.REPEATABLE: 30,
            RequestKind.STREAM: 15,
            RequestKind.ONCE: 20,
            RequestKind.ONCE_STREAM: 5,
            RequestKind.KEYED: 15,
            RequestKind.TICKET: 5,
            RequestKind.PLAIN: 10,
        }
    )
    pieces: tuple[int, int] = (1, 24)
    deadline_s: float = 10.0
    double_share: float = 0.1  # keys and tickets sent to two entries at once

    def draw_kind(self, rng: random.Random) -> RequestKind:
        """Draw a kind by its weight."""
        usable = {kind: weight for kind, weight in self.weights.items() if self._is_usable(kind)}
        return rng.choices(list(usable), list(usable.values()))[0]

    def _is_usable(self, kind: RequestKind) -> bool:
        return bool(self.plain) or kind is not RequestKind.PLAIN


@dataclass(frozen=True)
class Sending:
    """One sending of a request: where to, and with which headers beside the account's."""

    mark: str
    kind: RequestKind
    service: str
    body: bytes
    headers: Headers
    deadline_s: float
    path: str = "/"


class Requester:
    """One program of a client account.

    requester = Requester("saleyard-1", http, hosts, headers, mix, recorder, rng)
    await requester.request()
    """

    def __init__(
        self,
        name: str,
        http: HttpClient,
        hosts: Mapping[str, str],
        headers: Headers,
        mix: Mix,
        recorder: Recorder,
        rng: random.Random,
    ) -> None:
        self.latencies: list[tuple[RequestKind, float, float]] = []  # kind, sent at, seconds
        self._name = name
        self._http = http
        self._hosts = hosts  # caller address of each known entry -> its host
        self._headers = headers
        self._mix = mix
        self._recorder = recorder
        self._rng = rng
        self._number = 0
        self._sendings = 0
        self._addresses: Sequence[str] = ()
        self._good_until = 0.0

    async def request(self) -> None:
        """Make one request of a kind drawn by chance, and see it to its end."""
        self._number += 1
        mark = f"{self._name}-{self._number}"
        kind = self._mix.draw_kind(self._rng)
        sending = self._make_sending(mark, kind)
        match kind:
            case RequestKind.KEYED:
                sending.headers["idempotency-key"] = mark
                await self._send_until_known(sending)
            case RequestKind.TICKET:
                ticket = await self._take_ticket(sending.service)
                if ticket:
                    sending.headers["ticket"] = ticket
                    await self._send_until_known(sending)
            case _:
                await self._send(sending)

    def _make_sending(self, mark: str, kind: RequestKind) -> Sending:
        mix = self._mix
        pieces = self._rng.randint(*mix.pieces)
        content = {"prompt": f"{mark} of the saleyard", "pieces": pieces, "mark": mark}
        headers = {**self._headers, "deadline-ms": str(int(mix.deadline_s * MS_PER_S))}
        if kind in (RequestKind.REPEATABLE, RequestKind.STREAM):
            headers["idempotent"] = "true"
        if kind in (RequestKind.STREAM, RequestKind.ONCE_STREAM):
            headers["accept"] = EVENT_STREAM
        is_plain = kind is RequestKind.PLAIN
        service = mix.plain if is_plain else mix.model
        path = "/release" if is_plain else "/"
        body = json.dumps(content).encode()
        return Sending(mark, kind, service, body, headers, mix.deadline_s, path)

    async def _send_until_known(self, sending: Sending) -> None:
        """Send a key or ticket again until its outcome is known, or it was sent often enough."""
        if self._rng.random() < self._mix.double_share:
            await asyncio.gather(self._send(sending), self._send(sending))
            return
        first = dict(sending.headers)
        if sending.kind is RequestKind.KEYED:
            first["idempotency-attempt"] = "1"
        final = await self._send(sending, first)
        for number in range(1, SENDINGS):
            if not isinstance(final, Unknown | Broken | GaveUp):
                return
            await asyncio.sleep(TRY_AGAIN_S * number)
            final = await self._send(sending)

    async def _send(self, sending: Sending, headers: Headers | None = None) -> Event:
        """Send once, and record the sending and its outcome."""
        address = await self._address()
        recorder = self._recorder
        self._sendings += 1
        attempt = f"{self._name}/{self._sendings}"
        repeatable = sending.kind in (RequestKind.REPEATABLE, RequestKind.STREAM)
        sent_at = recorder.now()
        recorder.record(
            Sent(
                sent_at,
                attempt,
                sending.mark,
                self._hosts.get(address, address),
                sending.service,
                repeatable,
                sending.deadline_s,
            )
        )
        path = f"/v1/services/{sending.service}/requests?path={sending.path}"
        wait_s = sending.deadline_s + LATE_S
        try:
            response = await self._http.request(
                address, "POST", path, headers or sending.headers, sending.body, wait_s
            )
            final = judge(attempt, recorder.now(), response)
        except NotConnectedError:
            self._good_until = 0.0
            final = GaveUp(recorder.now(), attempt)  # nothing was sent
            await asyncio.sleep(TRY_AGAIN_S)
        except (OSError, TimeoutError, HttpError) as error:
            self._good_until = 0.0
            final = Broken(recorder.now(), attempt, f"{type(error).__name__}: {error}")
        recorder.record(final)
        if isinstance(final, Answered):
            self.latencies.append((sending.kind, sent_at, final.at - sent_at))
        return final

    async def _take_ticket(self, service: str) -> str:
        address = await self._address()
        path = f"/v1/tickets?service={service}"
        try:
            response = await self._http.request(address, "POST", path, self._headers)
        except (OSError, TimeoutError, HttpError):
            self._good_until = 0.0
            return ""
        return str(response.json()["ticket"]) if response.status == 201 else ""

    async def _address(self) -> str:
        while not self._addresses or self._recorder.now() >= self._good_until:
            if not await self._ask_addresses():
                await asyncio.sleep(TRY_AGAIN_S)
        return self._rng.choice(self._addresses)

    async def _ask_addresses(self) -> bool:
        entry = self._rng.choice(list(self._hosts))
        try:
            response = await self._http.request(
                entry, "GET", "/v1/addresses", self._headers, timeout_s=ADDRESS_TIMEOUT_S
            )
        except (OSError, TimeoutError, HttpError):
            return False
        if response.status != 200:
            return False
        told = response.json()
        self._addresses = told["addresses"]
        self._good_until = self._recorder.now() + told["ttl_ms"] / MS_PER_S
        return bool(self._addresses)


def judge(attempt: str, at: float, response: Response) -> Event:
    """Return the event that a response stands for; what claims to be whole is taken at its word."""
    if response.headers.get("content-type") == EVENT_STREAM:
        return judge_stream(attempt, at, response.content)
    headers = response.headers
    if headers.get("outcome") == "answered":
        digest = hashlib.sha256(response.content).hexdigest()
        pieces = int(headers.get("pieces", "1"))
        return Answered(at, attempt, digest, pieces, headers.get("weights-digest", ""))
    return _judge_outcome(attempt, at, headers.get("outcome", ""), headers.get("error-code", ""))


def judge_stream(attempt: str, at: float, content: bytes) -> Event:
    """Return the event that a stream stands for, by its last event and the pieces before it."""
    pieces: list[str] = []
    for event in content.decode().split("\n\n"):
        name, _, data = event.partition("data: ")
        if name.startswith("id: "):
            if name != f"id: {len(pieces)}\n":
                return Broken(at, attempt, f"{name!r} came where piece {len(pieces)} was due")
            pieces.append(json.loads(data))
        elif name == "event: final\n":
            told = json.loads(data)
            digest = hashlib.sha256("".join(pieces).encode()).hexdigest()
            return Answered(at, attempt, digest, len(pieces), told["weights_digest"])
        elif name == "event: error\n":
            told = json.loads(data)
            return _judge_outcome(attempt, at, told["outcome"], told["code"])
    return Broken(at, attempt, "the stream has no final event")


def _judge_outcome(attempt: str, at: float, outcome: str, code: str) -> Event:
    match outcome:
        case "not-run":
            return NotRun(at, attempt, code)
        case "unknown":
            return Unknown(at, attempt, code)
    return Broken(at, attempt, f"no outcome is told ({code})")
