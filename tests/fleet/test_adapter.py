"""The adapter decodes the platform's data to the product's types and encodes them back."""

import base64
import json

import pytest
from lacewinggw_platform.fleet import decode_routes, decode_target
from lacewinggw_platform.heads import PlatformCallCodec
from lacewinggw_platform.store import PlatformStore
from platform_standins import BORN_MS, KEY, LLM, ORIGIN, manifest, target_row

from lacewinggw.decisions.routes import RetryPolicy
from lacewinggw.decisions.storeposition import StorePosition
from lacewinggw.decisions.targetlist import TargetPhase, make_target_id
from lacewinggw.errors import MalformedHttp, PlatformError, PlatformUnavailable
from lacewinggw.fleet.feed import (
    CrashingContent,
    HistoryGone,
    ItemChanged,
    ItemRemoved,
    Topic,
    UnreadableItem,
)
from lacewinggw.fleet.ownrows import crashing_key, crashing_row, parse_crashing_key
from lacewinggw.frontend.calls import DispatchFacts
from lacewinggw.lab.memory import MemoryNetwork
from lacewinggw.wire.http import HttpClient, Response, json_response
from lacewinggw.wire.httpserver import HttpServer

HEAD = [
    ("Host", "notes.example"),
    ("X-Attempt-Id", "a1"),
    ("X-Deadline-Remaining", "6093"),
    ("X-Key", KEY),
    ("X-Model", "market"),
    ("X-Token-Counts", "1460,80"),
    ("X-Length-Hint", "70"),
    ("X-Prompt-Prefix", "5c1e07A2:800,91bd3f06:410,e4402b7d:250"),
    ("Last-Event-Id", "12"),
    ("X-Tenant", "forged"),
]
HEADS = PlatformCallCodec()


def encoded(value):
    return json.dumps(value).encode()


# ---- routes and targets ---------------------------------------------------------------------


def test_routes_are_decoded_from_the_operators_manifest():
    table = decode_routes(encoded(manifest(7)))
    report = table.find("notes.example", "/report/1")
    assert table.version == 7 and table.needs_key
    assert (report.retry_policy, report.streams, report.attempts) == (
        RetryPolicy.RESUMABLE,
        True,
        2,
    )
    assert (report.timeout_s, report.objective_s, report.gap_s) == (6.0, 0.4, 0.3)
    assert table.find("notes.example", "/sheet/1").retry_policy is RetryPolicy.NEVER
    assert table.find("notes.example", "/tally/1").retry_policy is RetryPolicy.IDEMPOTENT
    assert table.account_of(KEY).name == "growers"
    assert table.services["ledger"].origin == ORIGIN
    assert table.services["ledger"].origin_bytes_per_s == pytest.approx(9.9 * 125_000)
    assert table.services[LLM].weights.chunks == 8
    assert decode_routes(table.source) == table


def test_a_stream_without_resume_is_never_retried():
    value = manifest(7)
    value["Routes"][0]["ResumeStreams"] = False
    assert decode_routes(encoded(value)).routes[0].retry_policy is RetryPolicy.NEVER


def test_routes_without_tenants_need_no_key():
    value = manifest(7)
    del value["Tenants"]
    assert not decode_routes(encoded(value)).needs_key


@pytest.mark.parametrize(
    ("state", "phase"), [("ready", TargetPhase.READY), ("draining", TargetPhase.LEAVING)]
)
def test_a_target_row_is_decoded(state, phase):
    entry = decode_target("i-1", encoded(target_row(LLM, "10.2.0.1:8080", State=state)))
    assert (entry.name, entry.phase, entry.slots) == ("i-1", phase, 4)
    assert entry.target == make_target_id("i-1", BORN_MS)
    assert entry.weights == {"market": 1}


# ---- heads ----------------------------------------------------------------------------------


def test_the_head_of_a_request_is_decoded():
    facts = HEADS.read_call(HEAD)
    assert (facts.call_id, facts.time_left_s, facts.key) == ("a1", 6.093, KEY)
    assert (facts.model, facts.prompt_tokens, facts.output_tokens) == ("market", 1460, 80)
    assert (facts.last_event, facts.expected_tokens) == (12, 70)
    assert facts.shared_parts == ("5c1e07a2", "91bd3f06")


def test_unreadable_header_values_count_as_absent():
    head = [("X-Attempt-Id", "a1"), ("X-Deadline-Remaining", "soon"), ("X-Token-Counts", "many")]
    facts = HEADS.read_call(head)
    assert (facts.time_left_s, facts.prompt_tokens, facts.model) == (None, 0, None)


def test_a_request_without_an_attempt_id_is_refused():
    with pytest.raises(MalformedHttp):
        HEADS.read_call([("Host", "notes.example")])


def test_the_head_for_a_target_replaces_the_caller_s_values():
    head = HEADS.write_call(HEAD, DispatchFacts("i-1", "growers", 5000, 3, 2, 20))
    values = {name.lower(): value for name, value in head}
    assert "x-key" not in values
    assert [value for name, value in head if name.lower() == "x-tenant"] == ["growers"]
    assert [value for name, value in head if name.lower() == "last-event-id"] == ["20"]
    assert (values["x-expected-instance"], values["x-expected-version"]) == ("i-1", "2")
    assert (values["x-deadline-remaining"], values["x-request-priority"]) == ("5000", "3")


@pytest.mark.parametrize(
    ("status", "headers", "not_run"),
    [
        (503, {"x-not-executed": "1"}, True),
        (421, {}, True),
        (421, {"x-instance-id": "i-1"}, True),
        (421, {"x-response-seal": "s"}, False),
        (503, {}, False),
        (500, {"x-response-seal": "s"}, False),
    ],
)
def test_not_run_requires_an_explicit_statement_of_the_target(status, headers, not_run):
    assert HEADS.read_answer(status, headers).not_run is not_run


# ---- the store ------------------------------------------------------------------------------


def row(key, value, version):
    data = base64.b64encode(encoded(value)).decode()
    return {"Table": "servers", "part": "", "Key": key, "Value": data, "SchemaVersion": version}


class PagedStore:
    """A store that answers each call with the next of the given responses."""

    def __init__(self, *responses):
        self.network = MemoryNetwork()
        self.queries = []
        self._responses = list(responses)
        self._server = HttpServer(self.network, "10.9.0.1:8007", self._handle)

    async def __aenter__(self):
        await self._server.start()
        self.client = HttpClient(self.network)
        return PlatformStore(self.client, "10.9.0.1:8007")

    async def __aexit__(self, *_):
        await self.client.close()
        await self._server.close()

    async def _handle(self, request):
        self.queries.append(request.query)
        return self._responses.pop(0)


@pytest.mark.looptime
async def test_a_snapshot_has_the_version_of_its_first_page():
    pages = PagedStore(
        json_response(
            200,
            {
                "Rows": [row("a", target_row(LLM, "10.2.0.1:1"), 3)],
                "HasMore": True,
                "SchemaVersion": 9,
            },
        ),
        json_response(
            200,
            {
                "Rows": [row("b", target_row(LLM, "10.2.0.2:2"), 4)],
                "HasMore": False,
                "SchemaVersion": 11,
            },
        ),
    )
    async with pages as store:
        update = await store.snapshot(Topic.TARGETS)
    assert [change.item.name for change in update.changes] == ["a", "b"]
    assert (update.position, update.whole) == (StorePosition(0, 9), True)
    assert pages.queries[1]["From"] == "a\0"


@pytest.mark.looptime
async def test_changes_and_removals_are_returned_in_order():
    gone = {"Table": "servers", "part": "", "Key": "b", "SchemaVersion": 5, "Deleted": True}
    rows = [row("a", target_row(LLM, "10.2.0.1:1"), 4), gone]
    async with PagedStore(json_response(200, {"Rows": rows, "SchemaVersion": 5})) as store:
        update = await store.changes(Topic.TARGETS, StorePosition(0, 3), 1.0)
    assert [type(change) for change in update.changes] == [ItemChanged, ItemRemoved]
    assert (update.position, update.whole) == (StorePosition(0, 5), False)


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("status", "error"),
    [(410, HistoryGone), (503, PlatformUnavailable), (500, PlatformUnavailable)],
)
async def test_each_error_status_of_the_store_raises_its_error(status, error):
    async with PagedStore(Response(status)) as store:
        with pytest.raises(error):
            await store.changes(Topic.TARGETS, StorePosition(0, 3), 1.0)


def test_a_target_without_a_start_time_is_identified_by_its_name():
    """Rows of current deployments lack the start time, although the platform specifies it."""
    row_value = {key: value for key, value in GOOD.items() if key != "born"}
    entry = decode_target("i-1", encoded(row_value))
    assert (entry.target, entry.born_ms) == ("i-1", 0)


def written(row_value):
    return base64.b64encode(encoded(row_value)).decode()


GOOD = target_row(LLM, "10.2.0.1:8080")
BAD_VALUES = {
    "no base64": "%%%",
    "no JSON": base64.b64encode(b"{").decode(),
    "a list": written([1]),
    "no value": None,
    "no address": written({key: value for key, value in GOOD.items() if key != "Address"}),
    "an address of another type": written({**GOOD, "Address": 7}),
    "an address without a port": written({**GOOD, "Address": "10.2.0.1"}),
    "slots of another type": written({**GOOD, "Slots": "four"}),
    "a state that is not known": written({**GOOD, "State": "dancing"}),
    "no place": written({**GOOD, "Zone": None}),
    "weights of another type": written({**GOOD, "Models": {"market": 1}}),
    "a model without a version": written({**GOOD, "Models": [{"Name": "market"}]}),
    "a birth of another type": written({**GOOD, "born": 1.5}),
    "a birth that is true": written({**GOOD, "born": True}),
}


@pytest.mark.looptime
@pytest.mark.parametrize("topic", list(Topic))
@pytest.mark.parametrize("kind", BAD_VALUES)
async def test_an_invalid_row_is_unreadable_and_the_others_are_decoded(topic, kind):
    good = {
        Topic.TARGETS: row("b", GOOD, 5),
        Topic.CONFIGURATION: row("version/m", {"Model": "m", "Version": 2}, 5),
        Topic.MEMBERS: row(
            "h", {"host": "h", "place": "p", "role": "entry", "address": "10.1.0.1:7700"}, 5
        ),
    }[topic]
    key = {Topic.TARGETS: "a", Topic.CONFIGURATION: "config", Topic.MEMBERS: "a"}[topic]
    bad = {"Table": "t", "part": "", "Key": key, "Value": BAD_VALUES[kind], "SchemaVersion": 4}
    async with PagedStore(json_response(200, {"Rows": [bad, good], "SchemaVersion": 5})) as store:
        update = await store.changes(topic, StorePosition(0, 3), 1.0)
    assert [type(change) for change in update.changes] == [UnreadableItem, ItemChanged]
    item = update.changes[0]
    assert (item.key, item.revision) == (key, 4) and item.reason


@pytest.mark.looptime
async def test_quarantined_requests_and_processes_share_one_list():
    rows = [
        row("crashing/ab12", {"service": "writer", "targets": ["i-1"], "quarantined": True}, 4),
        row("h", {"host": "h", "place": "p", "role": "entry", "address": "10.1.0.1:7700"}, 5),
        row("crashing/cd34", {"service": "writer", "targets": "i-1", "quarantined": True}, 6),
        {**row("crashing/ef56", {}, 7), "Deleted": True},
    ]
    async with PagedStore(json_response(200, {"Rows": rows, "SchemaVersion": 7})) as store:
        update = await store.changes(Topic.MEMBERS, StorePosition(0, 3), 1.0)
    assert update.changes[0] == ItemChanged(CrashingContent("ab12", "writer", ("i-1",), True))
    assert [type(change) for change in update.changes] == [
        ItemChanged,
        ItemChanged,
        UnreadableItem,
        ItemRemoved,
    ]
    assert parse_crashing_key(update.changes[3].key) == "ef56"


@pytest.mark.looptime
async def test_a_quarantine_row_is_written_and_removed_by_digest():
    done = json_response(200, {"SchemaVersion": 8})
    async with PagedStore(done, done) as store:
        await store.put(crashing_row(CrashingContent("ab12", "writer", ("i-1",), True)))
        await store.remove(crashing_key("ab12"))


@pytest.mark.looptime
@pytest.mark.parametrize(
    "page",
    [[], {}, {"Rows": 3, "SchemaVersion": 1}, {"Rows": [3], "SchemaVersion": 1}, {"Rows": []}],
)
async def test_an_invalid_page_of_rows_is_a_platform_error(page):
    async with PagedStore(json_response(200, page)) as store:
        with pytest.raises(PlatformError):
            await store.changes(Topic.TARGETS, StorePosition(0, 3), 1.0)


@pytest.mark.looptime
async def test_unknown_operator_rows_are_ignored():
    rows = [{**row("something/new", {"a": 1}, 4), "Table": "op"}]
    async with PagedStore(json_response(200, {"Rows": rows, "SchemaVersion": 4})) as store:
        assert (await store.changes(Topic.CONFIGURATION, StorePosition(0, 3), 1.0)).changes == ()
