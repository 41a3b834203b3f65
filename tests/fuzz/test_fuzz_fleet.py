"""Send hostile input to every listener of a running fleet, which must keep serving.

Callers and operators send arbitrary HTTP. A broken process that has the fleet's key sends messages
with missing or out-of-range fields.
"""

import asyncio
import json
import random
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from thrift.Thrift import TType
from virtual import run_virtual

from lacewinggw.errors import LacewingError
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.generated.messages.ttypes import Role
from lacewinggw.ids import HostId
from lacewinggw.lab.memoryfleet import FLEET_KEY, MemoryFleet, MemoryPlan
from lacewinggw.log import LogFormat, configure_log
from lacewinggw.wire.http import Response
from lacewinggw.wire.peers import Identity, PeerLink, PeerNode

FEW = settings(max_examples=6, phases=[Phase.generate])
PLAN = MemoryPlan(entries=2, engines=1, plains=1, accounts=("saleyard", "radio-desk"))
MODEL_PATH = "/v1/services/bulletin-writer/requests"
PLAIN_PATH = "/v1/services/legacy-ledger/requests?path=/sheet"
CALL_S = 3.0
QUESTIONS = ("show targets", "show hosts", "show spread", "show services", "wait all")
SERVED_LIMIT_S = 30.0
RELEASE_BYTES, CHUNK_BYTES = 4096, 1024

Known = dict[str, str]
Attack = Callable[[MemoryFleet], Awaitable[None]]


# ---- the fleet under attack ----------------------------------------------------------------


async def command(fleet: MemoryFleet, words: str) -> Response:
    address = fleet.hosts["entry-1"].member.operator_address
    body = json.dumps({"words": words}).encode()
    return await fleet.http.request(
        address, "POST", "/v1/commands", fleet.operator_headers, body, CALL_S
    )


async def call(fleet: MemoryFleet, path: str, **headers: str) -> Response:
    """Send a valid request as the account `saleyard`."""
    body = json.dumps({"prompt": "prices", "pieces": 3, "mark": "m"}).encode()
    address = fleet.hosts["entry-1"].member.caller_address
    everything = {**fleet.caller_headers("saleyard"), "deadline-ms": "3000", **headers}
    return await fleet.http.request(address, "POST", path, everything, body, 2 * CALL_S)


async def ask(fleet: MemoryFleet, words: str) -> Response:
    address = fleet.hosts["entry-1"].member.operator_address
    body = json.dumps({"words": words}).encode()
    return await fleet.http.request(
        address, "POST", "/v1/query", fleet.operator_headers, body, CALL_S
    )


async def is_served(fleet: MemoryFleet, path: str) -> bool:
    loop = asyncio.get_running_loop()
    end = loop.time() + SERVED_LIMIT_S
    while (await call(fleet, path)).status != 200:
        if loop.time() > end:
            return False
        await asyncio.sleep(0.5)
    return True


async def assert_well(fleet: MemoryFleet) -> None:
    """Assert that valid calls of every kind succeed."""
    assert await is_served(fleet, MODEL_PATH)
    assert await is_served(fleet, PLAIN_PATH)
    for words in QUESTIONS:
        answer = await ask(fleet, words)
        assert answer.status == 200, answer.content
    accepted = await command(fleet, "set service bulletin-writer floor 20%")
    assert accepted.status == 200, accepted.content


def under(attack: Attack) -> None:
    """Attack a fleet that serves a model and a plain service; check that it still serves both."""
    configure_log(LogFormat.TEXT, "critical")

    async def run() -> None:
        fleet = MemoryFleet(PLAN)
        await fleet.start()
        try:
            await fleet.publish("market-6", RELEASE_BYTES, CHUNK_BYTES)
            created = await command(
                fleet,
                "create release market-6; create service legacy-ledger plain replicas 1"
                " unrepeatable /release; create service bulletin-writer release market-6"
                " replicas 1",
            )
            assert created.status == 200, created.content
            await assert_well(fleet)
            await attack(fleet)
            await assert_well(fleet)
        finally:
            await fleet.close()

    run_virtual(run())


def assert_clear(response: Response) -> None:
    """Assert that a response is an answer, or an error with code and remedy but no internals."""
    text = response.content.decode("utf-8", "replace")
    assert "Traceback" not in text and "lacewinggw/" not in text, text
    assert response.status < 500 or response.status in (503, 504), text
    if response.status >= 400:
        problem = json.loads(text)
        assert problem["code"].startswith("LW-"), text
        assert problem["remedy"], text


# ---- callers and operators -----------------------------------------------------------------

VALUES: st.SearchStrategy[Any] = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
HEADER_TEXT = st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=40)
HEADER_VALUES = st.one_of(
    HEADER_TEXT,
    st.sampled_from(
        ["-1", "0", "9" * 30, "1e9", "nan", "true", "no", "urgent", "text/event-stream"]
    ),
)
CALLER_HEADERS = [
    *["priority", "deadline-ms", "idempotent", "idempotency-key", "idempotency-attempt"],
    *["ticket", "accept", "content-type", "authorization"],
]
CALLER_PATHS = [
    *[MODEL_PATH, MODEL_PATH + "?path=nowhere&method=BREW", PLAIN_PATH, "/v1/tickets"],
    *["/v1/tickets?service=%00", "/v1/requests/%ff%fe", "/v1/requests/entry-9.x", "/v1/addresses"],
    *["/v1/services//requests", "/v1/services/%2e%2e/requests", "//", "/?a=b&a=c&%", "/v1/query"],
]


@st.composite
def caller_calls(draw: st.DrawFn) -> tuple[str, str, dict[str, str], bytes]:
    headers = draw(st.dictionaries(st.sampled_from(CALLER_HEADERS), HEADER_VALUES, max_size=3))
    body = draw(st.one_of(st.binary(max_size=50), VALUES.map(lambda v: json.dumps(v).encode())))
    method = draw(st.sampled_from(["GET", "POST", "PUT", "DELETE", "OPTIONS"]))
    return method, draw(st.sampled_from(CALLER_PATHS)), headers, body


@FEW
@given(st.lists(caller_calls(), min_size=10, max_size=15))
def test_arbitrary_calls_of_callers_do_not_break_the_fleet(
    calls: list[tuple[str, str, dict[str, str], bytes]],
) -> None:
    async def attack(fleet: MemoryFleet) -> None:
        address = fleet.hosts["entry-1"].member.caller_address
        for method, path, headers, body in calls:
            everything = {**fleet.caller_headers("radio-desk"), "deadline-ms": "500", **headers}
            response = await fleet.http.request(address, method, path, everything, body, 30.0)
            assert_clear(response)

    under(attack)


WORD_LIST = re.findall(
    r"\S+",
    "show create set drain undrain withdraw wait explain service services release host targets"
    " hosts spread count by where and = < like order limit 0 99999999999999999999 5s 50% 101%"
    ' replicas floor prefer time all for ; , bulletin-writer market-6 nowhere "" "x host-001'
    " revision none plain adapters role both",
)
WORDS = st.lists(
    st.one_of(
        st.sampled_from(WORD_LIST),
        st.text(max_size=8),
    ),
    max_size=10,
).map(" ".join)


@st.composite
def operator_calls(draw: st.DrawFn) -> tuple[str, str, bytes]:
    path = draw(st.sampled_from(["/v1/query", "/v1/commands", "/v1/configuration", "/v2"]))
    fields = {
        "words": draw(st.one_of(WORDS, VALUES)),
        "read_revision": draw(VALUES),
        "command_id": draw(st.one_of(st.text(max_size=5), VALUES)),
    }
    chosen = draw(st.sets(st.sampled_from(sorted(fields))))
    body = {name: value for name, value in fields.items() if name in chosen}
    content = draw(st.one_of(st.just(body), st.just({"words": fields["words"]}), VALUES))
    return draw(st.sampled_from(["GET", "POST"])), path, json.dumps(content).encode()


@FEW
@given(st.lists(operator_calls(), min_size=8, max_size=12))
def test_arbitrary_calls_of_operators_do_not_break_the_fleet(
    calls: list[tuple[str, str, bytes]],
) -> None:
    async def attack(fleet: MemoryFleet) -> None:
        address = fleet.hosts["entry-2"].member.operator_address
        for method, path, body in calls:
            response = await fleet.http.request(
                address, method, path, fleet.operator_headers, body, 30.0
            )
            assert_clear(response)
        await command(fleet, "undrain host host-001, host-002")

    under(attack)


# ---- a broken process of the fleet ---------------------------------------------------------

EXTREMES: dict[int, list[Any]] = {
    TType.BOOL: [True, False],
    TType.DOUBLE: [-1.0, 0.0, 1e308, float("nan"), float("inf")],
    TType.I32: [-(2**31), -1, 0, 1, 2**31 - 1],
    TType.I64: [-(2**63), -1, 0, 1, 2**63 - 1],
    TType.STRING: ["", "host-001", "bulletin-writer", "saleyard", "x" * 1000, "\0"],
}
LONG_LIST = 500
ROUNDS = 15
FITTING_SHARE = 0.7
ANSWER_S = 0.05
KINDS = [spec[3][0] for spec in messages.Body.thrift_spec if spec is not None]


@dataclass
class MessageGenerator:
    """Generates arbitrary messages; some fields get a valid value from `known`."""

    rng: random.Random
    known: Known
    missing_share: float = 0.0
    least: float = 0.0

    def message(self, kind: type[Any]) -> Any:
        """Return a message; the share of invalid fields varies between messages."""
        self.missing_share = self.rng.choice([0.0, 0.0, 0.02, 0.2])
        self.least = self.rng.choice([0.0, -float("inf")])
        return self._struct(kind, 0)

    def _struct(self, kind: type[Any], depth: int) -> Any:
        value = kind()
        specs = [spec for spec in kind.thrift_spec if spec is not None]
        if kind is messages.Change:
            specs = [self.rng.choice(specs)]
        for _, ttype, name, typeargs, _ in specs:
            setattr(value, name, self._field(name, ttype, typeargs, depth + 1))
        return value

    def _field(self, name: str, ttype: int, typeargs: Any, depth: int) -> Any:
        if self.rng.random() < self.missing_share:
            return None
        if ttype == TType.STRING and name in self.known and self.rng.random() < FITTING_SHARE:
            return self.known[name]
        return self._value(ttype, typeargs, depth)

    def _value(self, ttype: int, typeargs: Any, depth: int) -> Any:
        if ttype == TType.STRUCT:
            return self._struct(typeargs[0], depth)
        if ttype == TType.LIST:
            item = self._value(typeargs[0], typeargs[1], depth + 1)
            return [item] * self.rng.choice([0, 1, 2, LONG_LIST if depth < 2 else 3])
        if ttype == TType.STRING and typeargs == "BINARY":
            return self.rng.choice([b"", b"\xff" * 64, b"\xff" * 5000])
        fitting = EXTREMES[ttype]
        if ttype != TType.STRING:
            fitting = [each for each in fitting if each >= self.least] or fitting
        return self.rng.choice(fitting)


def broken_process(fleet: MemoryFleet, host: str, role: Role, key: str = FLEET_KEY) -> PeerNode:
    async def silent(exchange: Any) -> None:
        return

    identity = Identity(host, role, "kgn-hall-a", f"broken-{host}")
    return PeerNode(fleet.network.view("10.9.9.9"), identity, key, silent)


async def send(link: PeerLink, message: Any) -> None:
    """Send a message as a notification and then as a call."""
    link.notify(message)
    try:
        await link.call(message, ANSWER_S)
    except LacewingError as error:
        assert "Traceback" not in error.reason


@pytest.mark.parametrize("victim", ["entry-1", "host-001"])
@pytest.mark.parametrize("host", ["host-001", "entry-2"])
def test_a_broken_process_does_not_break_the_fleet(victim: str, host: str) -> None:
    rng = random.Random(f"{victim}/{host}")

    async def attack(fleet: MemoryFleet) -> None:
        role = Role.AGENT if host.startswith("host") else Role.ENTRY
        node = broken_process(fleet, host, role)
        address = fleet.hosts[HostId(victim)].member.address
        page = await ask(fleet, "show targets")
        table = [dict(zip(page.json()["columns"], row, strict=True)) for row in page.json()["rows"]]
        known = {"host": host, "entry": host, "service_name": "bulletin-writer"}
        known["digest"] = next(row["digest"] for row in table if row["host"] == "host-001")
        known["account"] = "saleyard"
        generator = MessageGenerator(rng, known)
        for _ in range(ROUNDS):
            for kind in KINDS:
                await send(await node.link(address), generator.message(kind))
            for path in (MODEL_PATH, PLAIN_PATH):
                assert_clear(await call(fleet, path))
            for words in QUESTIONS:
                assert_clear(await ask(fleet, words))
        await node.close()

    under(attack)


# ---- wrong keys and stolen tickets ---------------------------------------------------------


def test_invalid_tokens_and_stolen_tickets_are_refused() -> None:
    async def attack(fleet: MemoryFleet) -> None:
        for token in ("", "Bearer", "Bearer wrong", "Basic lab-caller-saleyard"):
            for path in (MODEL_PATH, "/v1/tickets?service=bulletin-writer"):
                refused = await call(fleet, path, authorization=token)
                assert (refused.status, refused.json()["code"]) == (401, "LW-2011"), token
        operators = await fleet.http.request(
            fleet.hosts[HostId("entry-1")].member.operator_address,
            "POST",
            "/v1/commands",
            fleet.caller_headers("saleyard"),
            b'{"words": "withdraw service bulletin-writer"}',
        )
        assert operators.status == 401
        given = await call(fleet, "/v1/tickets?service=bulletin-writer")
        ticket = given.json()["ticket"]
        content, _, seal = ticket.rpartition(".")
        other = {**fleet.caller_headers("radio-desk"), "ticket": ticket}
        stolen = await call(fleet, MODEL_PATH, **other)
        forged = await call(fleet, MODEL_PATH, ticket=f"{content}x.{seal}")
        elsewhere = await call(fleet, PLAIN_PATH, ticket=ticket)
        for refused in (stolen, forged, elsewhere):
            assert (refused.status, refused.json()["outcome"]) == (400, "not-run")
        engine = fleet.targets[HostId("host-001")]
        before = engine.stats()["runs"]
        first = await call(fleet, MODEL_PATH, ticket=ticket)
        replayed = await call(fleet, MODEL_PATH, ticket=ticket)
        assert first.status == 200 and replayed.content == first.content
        assert engine.stats()["runs"] == before + 1

    under(attack)


def test_messages_with_a_wrong_fleet_key_change_nothing() -> None:
    async def attack(fleet: MemoryFleet) -> None:
        stranger = broken_process(fleet, "entry-9", Role.ENTRY, "another key")
        place = messages.Place("bulletin-writer", [], "a stranger", ["host-001"])
        entry = messages.LogEntry(1000, "c", "s", 0, 0, [messages.Change(place=place)], "take")
        before = (await ask(fleet, "show services")).json()["revision"]
        for host in fleet.hosts.values():
            for message in (messages.LogNews([entry], 1000), messages.Reserve()):
                with pytest.raises(LacewingError):
                    await stranger.call(host.member.address, message, CALL_S)
        assert (await ask(fleet, "show services")).json()["revision"] == before
        await stranger.close()

    under(attack)


def test_long_and_slow_callers_do_not_affect_others() -> None:
    async def attack(fleet: MemoryFleet) -> None:
        limit = fleet.hosts[HostId("entry-1")].settings.entry.body_limit_bytes
        address = fleet.hosts[HostId("entry-1")].member.caller_address
        headers = fleet.caller_headers("saleyard")
        long = await fleet.http.request(address, "POST", MODEL_PATH, headers, b" " * (limit + 1))
        assert (long.status, long.json()["code"]) == (413, "LW-2006")
        slow = [await fleet.network.view("10.9.9.9").connect(address) for _ in range(200)]
        for step in b"POST /v1":
            for stream in slow:
                stream.write(bytes([step]))
            await asyncio.sleep(0.5)
        assert (await call(fleet, MODEL_PATH)).status == 200
        await asyncio.sleep(120.0)
        assert all([await stream.read(1) == b"" or stream.ended for stream in slow])

    under(attack)
