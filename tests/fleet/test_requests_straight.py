"""Requests that an entry of a declared fleet sends to targets that fail in various ways."""

import asyncio
import json

import pytest
from declared_fleet import running_fleet
from platform_standins import KEY, LLM, manifest, target_row

from lacewinggw.lab.standin import Outage

pytestmark = pytest.mark.looptime

STREAM = b"".join(f"id: {number}\ndata: piece {number}\n\n".encode() for number in range(1, 6))


def runs(fleet, *names):
    return sum(len(fleet.targets[name].seen) for name in names or fleet.targets)


async def test_a_complete_answer_has_the_seal_of_its_target():
    async with running_fleet() as fleet:
        reply = await fleet.ask("/tally/12?pen=3", "GET", left_ms=2500)
        assert reply.status == 200 and reply.whole
        assert reply.body.decode().removeprefix("answer of ") in reply.headers["x-response-seal"]


async def test_the_head_that_a_target_receives():
    async with running_fleet(desks=1) as fleet:
        await fleet.ask(
            "/sheet/1?a=%20b", X_Tenant="forged", X_Note="kept", Connection="X-Gone", X_Gone="1"
        )
        request = fleet.targets["desk0"].seen[0]
        headers = request.headers
        assert headers["x-tenant"] == "growers" and headers["x-note"] == "kept"
        assert headers["x-expected-instance"] == "i-desk0"
        assert "x-key" not in headers and "x-gone" not in headers
        assert 0 < int(headers["x-deadline-remaining"]) <= 1200


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/nowhere/", {}, 404),
        ("/sheet/1", {"X_Key": "unknown"}, 401),
        ("/sheet/1", {"X_Key": ""}, 401),
        ("/sheet/1", {"Host": "other.example"}, 404),
    ],
)
async def test_requests_that_the_routes_do_not_allow_are_denied(path, headers, status):
    async with running_fleet() as fleet:
        assert (await fleet.ask(path, **headers)).status == status
        assert runs(fleet) == 0


async def test_no_request_is_denied_before_the_routes_have_been_received():
    async with running_fleet() as fleet:
        fleet.store.faults.outage = Outage.REFUSE
        await fleet.add_entry(2)
        reply = await fleet.ask("/nowhere/", entry=1)
        assert reply.status == 503 and float(reply.headers["retry-after"]) > 0


async def test_a_stream_is_forwarded_unchanged():
    async with running_fleet() as fleet:
        reply = await fleet.ask("/report/1", X_Model="market")
        assert reply.status == 200 and reply.whole and reply.body == STREAM


async def test_a_broken_stream_resumes_at_another_target():
    async with running_fleet() as fleet:
        for name in ("engine0", "engine1"):
            fleet.targets[name].behaviour.cut_after = 2
        reply = await fleet.ask("/report/1", X_Model="market")
        fleet.targets["engine0"].behaviour.cut_after = None
        assert not reply.whole  # both streams broke, so the answer must not look complete
        fleet.targets["engine1"].behaviour.cut_after = None
        fleet.targets["engine0"].behaviour.cut_after = 2
        replies = [await fleet.ask("/report/1", X_Model="market") for _ in range(4)]
        assert all(reply.whole and reply.body == STREAM for reply in replies)


async def test_a_stalled_stream_resumes_at_another_target():
    async with running_fleet() as fleet:
        fleet.targets["engine0"].behaviour.silent_after = 2
        fleet.targets["engine1"].behaviour.silent_after = 2
        reply = await fleet.ask("/report/1", X_Model="market")
        assert not reply.whole
        reply = await fleet.ask("/report/1", X_Model="market")
        assert reply.whole and reply.body == STREAM


async def test_a_stream_resumes_only_on_the_version_it_started_with():
    async with running_fleet() as fleet:
        rows = [{"Name": "market", "Version": 2, "Adapters": []}]
        fleet.store.put("servers", "i-engine1", target_row("writer", "10.2.0.2:8080", Models=rows))
        fleet.targets["engine1"].weights = {"market": 2}
        await asyncio.sleep(1.0)
        for name in ("engine0", "engine1"):
            fleet.targets[name].behaviour.cut_after = 2
        reply = await fleet.ask("/report/1", X_Model="market")
        assert not reply.whole
        assert runs(fleet) == 1


async def test_a_non_idempotent_request_is_retried_only_if_it_proved_not_to_have_run():
    async with running_fleet() as fleet:
        for name in ("desk0", "desk1"):
            fleet.targets[name].behaviour.shed = 1
        reply = await fleet.ask("/sheet/1")
        assert reply.status == 503  # both stated that they did not run it
        assert runs(fleet) == 2
        fleet.targets["desk0"].behaviour.shed = 1
        replies = [await fleet.ask("/sheet/1") for _ in range(3)]
        assert [reply.status for reply in replies] == [200, 200, 200]


async def test_a_non_idempotent_request_is_not_retried_after_a_timeout():
    async with running_fleet() as fleet:
        for name in ("desk0", "desk1"):
            fleet.targets[name].behaviour.silent = 1
        reply = await fleet.ask("/sheet/1")
        assert reply.status == 504
        assert runs(fleet) == 1


async def test_the_error_answer_of_a_target_is_forwarded_with_its_seal():
    async with running_fleet(desks=1) as fleet:
        fleet.targets["desk0"].behaviour.errors = 1
        reply = await fleet.ask("/sheet/1")
        assert reply.status == 500 and reply.headers["x-response-seal"] == "seal-of-i-desk0"


async def test_an_idempotent_request_is_retried_at_another_target():
    async with running_fleet() as fleet:
        fleet.targets["desk0"].behaviour.errors = 1
        fleet.targets["desk1"].behaviour.silent = 0
        replies = [await fleet.ask("/tally/1", "GET") for _ in range(3)]
        assert [reply.status for reply in replies] == [200, 200, 200]
        assert runs(fleet) == 4


async def test_an_answer_to_another_request_is_never_forwarded():
    async with running_fleet(desks=1) as fleet:
        fleet.targets["desk0"].behaviour.wrong_id = True
        assert (await fleet.ask("/sheet/1")).status == 502


async def test_a_request_does_not_run_at_an_address_that_another_target_took_over():
    async with running_fleet(desks=1) as fleet:
        fleet.targets["desk0"].target_id = "i-replaced"
        reply = await fleet.ask("/sheet/1")
        assert reply.status == 503


async def test_a_caller_that_disconnects_frees_its_target():
    async with running_fleet(engines=1) as fleet:
        fleet.targets["engine0"].behaviour.pause_s = 0.2
        await fleet.ask("/report/1", X_Model="market", leave_after_s=0.3)
        await asyncio.sleep(0.3)
        assert fleet.targets["engine0"].running == 0


async def test_a_request_that_exceeds_the_route_timeout_gets_504():
    async with running_fleet(desks=1) as fleet:
        fleet.targets["desk0"].behaviour.pause_s = 60.0
        began = asyncio.get_running_loop().time()
        reply = await fleet.ask("/sheet/1")
        took_s = asyncio.get_running_loop().time() - began
        assert reply.status == 504 and 1.1 < took_s < 1.4


async def test_full_targets_cause_an_immediate_refusal_with_retry_after():
    async with running_fleet(engines=1) as fleet:
        fleet.targets["engine0"].behaviour.pause_s = 0.5
        asks = [fleet.ask("/report/1", X_Model="market") for _ in range(12)]
        replies = await asyncio.gather(*asks)
        statuses = [reply.status for reply in replies]
        assert statuses.count(200) == 4 and statuses.count(503) == 8  # 4 slots
        assert all(0.5 < float(r.headers["retry-after"]) < 2.5 for r in replies if r.status == 503)
        assert runs(fleet) == 4


async def test_a_refusal_is_a_problem_document():
    async with running_fleet(desks=0) as fleet:
        reply = await fleet.ask("/sheet/1")
        problem = json.loads(reply.body)
        assert problem["outcome"] == "not-run" and problem["code"] == "LW-6001"


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"NONSENSE\r\n\r\n", 400),
        (b"GET /tally/ HTTP/1.1\r\n\r\n", 400),
        (b"GET /tally/ HTTP/1.1\r\nHost: notes.example\r\nX: " + 5000 * b"x", 431),
        (
            b"POST /sheet/ HTTP/1.1\r\nHost: notes.example\r\nContent-Length: 10001\r\n\r\n"
            + 10001 * b"x",
            413,
        ),
        (
            b"POST /sheet/ HTTP/1.1\r\nHost: notes.example\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (
            b"POST /sheet/ HTTP/1.1\r\nHost: notes.example\r\nContent-Length: 3\r\n"
            b"Content-Length: 4\r\n\r\nabcd",
            400,
        ),
    ],
    ids=[
        "no HTTP",
        "no host",
        "head too long",
        "body too long",
        "length and chunks",
        "two lengths",
    ],
)
async def test_a_malformed_request_reaches_no_target(sent, status):
    async with running_fleet() as fleet:
        assert (await fleet.send(sent)).status == status
        assert runs(fleet) == 0


async def test_a_chunked_body_arrives_complete():
    async with running_fleet(desks=1) as fleet:
        sent = (
            f"POST /sheet/1 HTTP/1.1\r\nHost: notes.example\r\nX-Attempt-Id: a\r\nX-Key: {KEY}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        assert (await fleet.send(sent.encode())).status == 200
        assert fleet.targets["desk0"].seen[0].body == b"abcde"


async def test_a_leaving_entry_finishes_its_requests_and_is_not_ready():
    async with running_fleet() as fleet:
        fleet.targets["engine0"].behaviour.pause_s = 0.5
        fleet.targets["engine1"].behaviour.pause_s = 0.5
        running = asyncio.ensure_future(fleet.ask("/report/1", X_Model="market"))
        await asyncio.sleep(0.1)
        draining = asyncio.ensure_future(fleet.entries[0].drain())
        await asyncio.sleep(0.1)
        assert (await fleet.get("10.1.0.1:8002", "/readiness"))[0] == 503
        late = await fleet.ask("/tally/1", "GET")
        assert late.status == 200 and late.headers["connection"] == "close"
        reply = await running
        assert reply.whole and reply.body == STREAM
        await draining


async def test_the_directory_names_ready_entries_near_the_caller():
    async with running_fleet(entries=3) as fleet:
        await asyncio.sleep(1.0)
        status, body = await fleet.get("10.1.0.1:8009", "/resolve?Name=notes.example&Zone=hall")
        assert status == 200
        assert json.loads(body) == {
            "Addresses": ["10.1.0.1:8005", "10.1.0.2:8005", "10.1.0.3:8005"],
            "TtlS": 2.0,
        }
        leaving = asyncio.ensure_future(fleet.entries[1].drain())
        await asyncio.sleep(0.1)
        _, body = await fleet.get("10.1.0.1:8009", "/resolve?Name=notes.example&Zone=hall")
        assert "10.1.0.2:8005" not in json.loads(body)["Addresses"]
        await leaving


async def test_a_new_version_of_the_routes_is_in_force_at_once():
    async with running_fleet() as fleet:
        routes = manifest(2)["Routes"]
        fleet.store.put("op", "config", manifest(5, Routes=routes[:1]))
        await asyncio.sleep(0.6)
        assert (await fleet.ask("/sheet/1")).status == 404


async def test_a_request_that_all_targets_refuse_is_not_held_until_its_deadline():
    async with running_fleet(desks=0, engines=1) as fleet:
        fleet.targets["engine0"].behaviour.pause_s = 1.0
        long_ones = [
            asyncio.ensure_future(fleet.ask("/report/1", X_Model="market")) for _ in "abcd"
        ]
        await asyncio.sleep(0.2)
        refusing = await fleet.add_target("refusing", LLM, "10.2.0.9")
        refusing.behaviour.shed = 100
        await asyncio.sleep(0.8)
        began = asyncio.get_running_loop().time()
        reply = await fleet.ask("/report/1", X_Model="market")
        assert reply.status == 503 and refusing.seen
        assert asyncio.get_running_loop().time() - began < 2.0
        await asyncio.gather(*long_ones)


async def test_a_replaced_target_incarnation_is_offered_no_more_requests():
    async with running_fleet(desks=1) as fleet:
        replaced = fleet.targets["desk0"]
        replaced.target_id = "i-replaced"
        misdirected = []
        answer = replaced._answer

        async def count(request):
            if request.headers["x-expected-instance"] != replaced.target_id:
                misdirected.append(request)
            return await answer(request)

        replaced._answer = count
        for _ in range(3):
            await fleet.ask("/sheet/1")
        assert len(misdirected) == 1


async def test_a_stream_is_not_retried_when_its_caller_is_about_to_give_up():
    async with running_fleet() as fleet:
        for name in ("engine0", "engine1"):
            fleet.targets[name].behaviour.pause_s = 0.45
        long_ones = [
            asyncio.ensure_future(fleet.ask("/report/1", X_Model="market")) for _ in "abcdefg"
        ]
        await asyncio.sleep(0.1)
        for name in ("engine0", "engine1"):
            fleet.targets[name].behaviour.silent = 1
        seen = runs(fleet, "engine0", "engine1")
        # Its caller waits for 2.4 s; silence must not end it sooner.
        reply = await fleet.ask("/report/1", X_Model="market", leave_after_s=2.4)
        assert reply.status == 0
        await asyncio.gather(*long_ones)
        assert runs(fleet, "engine0", "engine1") == seen + 1


async def test_an_offer_that_reached_no_target_is_not_a_retry():
    async with running_fleet(desks=1) as fleet:
        budget = fleet.entries[0].relay._deps.placer._budget("desk")
        budget.share, budget.extra = 0.0, 0.0
        await fleet.targets["desk0"].close()
        fleet.store.put("servers", "i-gone", target_row("desk", "10.2.0.77:8080"))
        await asyncio.sleep(0.5)
        for _ in range(8):
            reply = await fleet.ask("/sheet/1")
            assert reply.status == 503 and json.loads(reply.body)["code"] != "LW-6011"
        assert len(budget._retries) == 0


async def test_a_header_beyond_ascii_reaches_the_target_unchanged():
    async with running_fleet(desks=1) as fleet:
        reply = await fleet.ask("/sheet/1", X_Note="Montañés")
        assert reply.status == 200
        note = fleet.targets["desk0"].seen[0].headers["x-note"]
        assert note.encode("latin-1").decode() == "Montañés"
