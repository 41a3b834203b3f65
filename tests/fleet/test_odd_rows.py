"""Rows, reports and heads with values that can be decoded but not used.

Guards against numbers, addresses and texts that broke the process that used them: loops that
follow the list failed again and again, an entry that started beside such a row served nothing, and
requests of a service failed where its slots were summed.
"""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable

import pytest
from declared_fleet import DeclaredFleet, running_fleet
from platform_standins import DESK, LLM, MODEL, Row, manifest, target_row
from raw_targets import RawRequest, RawTarget
from structlog.testing import capture_logs

from lacewinggw.wire.network import Stream

pytestmark = pytest.mark.looptime

HUGE = 10**400
MEMBERS = "lacewinggw-members"
BROKEN = {"background_loop_failed", "peer-handler-failed", "request_broke", "call_broke"}
NUMBERS = [HUGE, 10**25, 1e300, -1, 0.5, float("nan"), float("inf"), True, "7", None, [], {}]
TEXTS = ["", "\ud800", "\0", "a\r\nX-Tenant: b", "日本", "x" * 5000, 7, None, ["a"]]
ADDRESSES = [
    *["10.3.0.77:99999", "10.3.0.77:65536", "10.3.0.77:0", "10.3.0.77:-1", "10.3.0.77:٣٣", ":80"],
    *["10.3.0.777:80", "10.3.0.77", "a\0b:80", f"{'x' * 64}.example:80", "[::1", "10.3.0.77:1e3"],
    f"10.3.0.77:{HUGE}",
]
NESTED = b"[" * 100_000


def put_bytes(fleet: DeclaredFleet, table: str, key: str, data: bytes) -> None:
    """Write a row as another writer might."""
    fleet.store.put(table, key, {})
    fleet.store._rows[table, key] = Row(table, key, data, fleet.store._version)


def count_unreadable(fleet: DeclaredFleet) -> float:
    lines = fleet.entries[0].metrics.render().splitlines()
    found = [each for each in lines if each.startswith("lacewinggw_store_entries_unreadable")]
    return sum(float(each.rpartition(" ")[2]) for each in found)


async def count_served(fleet: DeclaredFleet, entry: int) -> int:
    """Return how many of eight requests of both services an entry serves."""
    asked = [fleet.ask("/sheet/1", entry=entry) for _ in range(4)]
    asked += [fleet.ask("/report/1", entry=entry, X_Model=MODEL) for _ in range(4)]
    return [reply.status for reply in await asyncio.gather(*asked)].count(200)


async def play(write: Callable[[DeclaredFleet], Awaitable[None] | None]) -> float:
    """Write odd rows beside sound ones; check an entry that follows and one that starts then.

    Return how many rows the first entry found unreadable.
    """
    with capture_logs() as logs:
        async with running_fleet() as fleet:
            for name in ("engine0", "engine1"):
                await fleet.add_agent(name)
            await asyncio.sleep(2.0)
            written = write(fleet)
            if written is not None:
                await written
            await asyncio.sleep(3.0)
            await fleet.add_entry(2)
            await asyncio.sleep(2.0)
            assert [await count_served(fleet, entry) for entry in (0, 1)] == [8, 8]
            await check_updates(fleet)
            unreadable = count_unreadable(fleet)
    assert not [line for line in logs if line["event"] in BROKEN]
    return unreadable


async def check_updates(fleet: DeclaredFleet) -> None:
    """Check that entries and agents still follow what is new, and hear of it from each other."""
    await fleet.add_target("desk9", DESK, "10.3.0.9")
    fleet.store.put("op", f"version/{MODEL}", {"Model": MODEL, "Version": 2})
    await asyncio.sleep(8.0)
    names = {entry.name for entry in fleet.entries[0].knowledge.targets.values()}
    assert "i-desk9" in names
    assert [fleet.targets[name].weights for name in ("engine0", "engine1")] == [{MODEL: 2}] * 2


@pytest.mark.parametrize("service", [DESK, LLM])
@pytest.mark.parametrize(
    "fields",
    [
        *[{"ColdRemainingMs": each} for each in (HUGE, 1e300)],
        *[{"Slots": each} for each in (HUGE, 10**25)],
        *[{"born": each} for each in (10**25, HUGE)],
        *[{"Address": each} for each in ADDRESSES],
        *[{"Zone": "\ud800"}, {"Models": [{"Name": "\ud800", "Version": 1}]}],
        *[{"Models": [{"Name": MODEL, "Version": each}]} for each in (HUGE, 2**63)],
    ],
    ids=lambda fields: json.dumps(fields)[:40],
)
async def test_a_target_with_a_value_out_of_range_is_one_unreadable_row(service, fields):
    row = {**target_row(service, "10.3.0.77:8080"), **fields}
    assert await play(lambda fleet: fleet.store.put("servers", "i-odd", row)) == 1


@pytest.mark.parametrize("key", ["i-\ud800", "i-a\r\nX-Tenant: b", "i-日本", " "])
async def test_a_target_whose_id_cannot_be_sent_is_one_unreadable_row(key):
    row = target_row(DESK, "10.3.0.77:8080")
    assert await play(lambda fleet: fleet.store.put("servers", key, row)) == 1


@pytest.mark.parametrize("table", ["servers", MEMBERS])
async def test_a_deeply_nested_row_is_one_unreadable_row(table):
    assert await play(lambda fleet: put_bytes(fleet, table, "i-odd", NESTED)) == 1


@pytest.mark.parametrize(
    "fields",
    [*[{"address": each} for each in ADDRESSES], {"caller_address": "x:99999"}, {"host": "\ud800"}],
    ids=lambda fields: json.dumps(fields)[:40],
)
async def test_a_process_with_an_address_out_of_range_is_one_unreadable_row(fields):
    row = {"host": "odd", "place": "hall", "role": "entry", "address": "10.1.0.77:7700"} | fields
    assert await play(lambda fleet: fleet.store.put(MEMBERS, "odd", row)) == 1


@pytest.mark.parametrize(
    "path",
    [
        ("Version",),
        *[("Routes", 0, name) for name in ("TimeoutMs", "TargetLatencyMs", "Attempts")],
        *[("Services", 0, "Engine", name) for name in ("Chunks", "layers", "step_ms", "Slots")],
        *[("Limits", "MaxBodyBytes"), ("Limits", "IdleTimeoutMs")],
    ],
    ids=str,
)
@pytest.mark.parametrize("number", [HUGE, float("nan"), "7"])
async def test_routes_with_a_number_out_of_range_leave_the_last_ones_in_force(path, number):
    routes = manifest(3)
    part = routes
    for step in path[:-1]:
        part = part[step]
    part[path[-1]] = number
    assert await play(lambda fleet: fleet.store.put("op", "config", routes)) == 1


async def test_routes_whose_services_have_no_weight_leave_the_last_ones_in_force():
    routes = manifest(3)
    routes["Routes"][1]["TrafficSplit"] = [{"Service": DESK, "Weight": 0}]
    assert await play(lambda fleet: fleet.store.put("op", "config", routes)) == 1


@pytest.mark.parametrize("name", ["Routes", "Services", "Limits", "Version"])
async def test_routes_without_a_part_leave_the_last_ones_in_force(name):
    routes = {key: value for key, value in manifest(3).items() if key != name}
    assert await play(lambda fleet: fleet.store.put("op", "config", routes)) == 1


async def test_a_version_out_of_range_is_one_unreadable_row():
    row = {"Model": "other", "Version": HUGE}
    assert await play(lambda fleet: fleet.store.put("op", "version/other", row)) == 1


# ---- reports and heads ---------------------------------------------------------------------


@pytest.mark.parametrize("field", ["ActiveRequests", "QueuedRequests", "Sequence", "born"])
async def test_a_report_with_a_number_out_of_range_does_not_end_the_updates_of_an_agent(field):
    async def write(fleet: DeclaredFleet) -> None:
        engine = await fleet.add_target("engine2", LLM, "10.2.0.3")
        await fleet.add_agent("engine2")
        sound = engine._report

        def report():
            response = sound()
            value = {**json.loads(response.content), field: HUGE}
            return type(response)(200, response.headers, json.dumps(value).encode())

        engine._report = report

    await play(write)


HEADS = ["X-Cold-Remaining: 1e300", "Server-Limit: 1e308", f"X-Cold-Remaining: {HUGE}"]


@pytest.mark.parametrize("extra", [*HEADS, "Retry-After: 1e300"])
async def test_a_number_out_of_range_in_a_head_breaks_nothing(extra):
    async def answer(stream: Stream, request: RawRequest) -> None:
        stream.write(
            f"HTTP/1.1 503 Answer\r\nX-Attempt-Id: {request.attempt_id}\r\nX-Not-Executed: 1\r\n"
            f"{extra}\r\nContent-Length: 0\r\n\r\n".encode()
        )
        await stream.drain()

    async def write(fleet: DeclaredFleet) -> None:
        routes = manifest(3)
        for service in routes["Services"][:2]:
            service |= {"ColdStartS": 3, "ColdPerS": 20}
        fleet.store.put("op", "config", routes)
        for number, service in enumerate((DESK, LLM)):
            target = RawTarget(f"i-odd{number}", answer)
            await target.start(fleet, service, f"10.4.0.{number + 1}")

    await play(write)


async def test_a_prompt_that_no_target_has_memory_for_is_refused_and_blocks_no_other():
    async def write(fleet: DeclaredFleet) -> None:
        for tokens in ("999999999999999999,9", "100001,9"):
            reply = await fleet.ask("/report/1", X_Model=MODEL, X_Token_Counts=tokens)
            assert reply.status == 503 and b"not-run" in reply.body
        reply = await fleet.ask("/report/1", X_Model=MODEL, X_Length_Hint="9" * 18)
        assert reply.status == 200

    await play(write)


# ---- random rows ---------------------------------------------------------------------------


def mutate(value: object, rng: random.Random) -> object:
    """Return a JSON value in which one part, at any depth, is replaced or removed."""
    if isinstance(value, dict) and value and rng.random() < 0.8:
        name = rng.choice(sorted(value))
        if rng.random() < 0.1:
            return {key: each for key, each in value.items() if key != name}
        return {**value, name: mutate(value[name], rng)}
    if isinstance(value, list) and value and rng.random() < 0.8:
        index = rng.randrange(len(value))
        return [*value[:index], mutate(value[index], rng), *value[index + 1 :]]
    return rng.choice([*NUMBERS, *TEXTS, *ADDRESSES])


def odd_rows(rng: random.Random) -> list[tuple[str, str, object]]:
    """Return random rows of each table: the table, the key and the value."""
    member = {"host": "odd", "place": "hall", "role": "entry", "address": "10.1.0.77:7700"}
    crashing = {"service": DESK, "targets": ["i-1", "i-2"], "quarantined": False}
    return [
        ("servers", "i-odd", mutate(target_row(DESK, "10.3.0.77:8080"), rng)),
        ("servers", "i-odder", mutate(target_row(LLM, "10.2.0.77:8080"), rng)),
        (MEMBERS, "odd", mutate(member, rng)),
        (MEMBERS, "crashing/odd", mutate(crashing, rng)),
        ("op", "version/other", mutate({"Model": "other", "Version": 2}, rng)),
        ("op", "version/odd", rng.choice(TEXTS)),
    ]


@pytest.mark.parametrize("seed", range(8))
async def test_random_rows_of_other_writers_break_nothing(seed):
    rng = random.Random(seed)

    async def write(fleet: DeclaredFleet) -> None:
        for _ in range(12):
            for table, key, value in odd_rows(rng):
                put_bytes(fleet, table, key, json.dumps(value).encode())
            await asyncio.sleep(rng.choice([0.1, 1.5, 2.5]))
            served = await count_served(fleet, 0)
            assert served == 8

    await play(write)
