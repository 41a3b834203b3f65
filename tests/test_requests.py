"""Requests through entries and agents: complete answers, correct outcomes, at most one run."""

import asyncio
import hashlib
import json

import pytest
from request_fleet import PLAIN, RequestFleet, fleet_test, prompt

from lacewinggw.entry.parsing import extract_prompt
from lacewinggw.errors import Refusal


@fleet_test()
async def test_an_answer_is_complete_and_has_its_digests(fleet: RequestFleet) -> None:
    response = await fleet.entries[0].ask(prompt(pieces=20))
    assert response.status == 200
    assert response.headers["outcome"] == "answered"
    assert response.headers["pieces"] == "20"
    assert response.headers["content-digest"] == hashlib.sha256(response.content).hexdigest()
    assert response.headers["weights-digest"] == fleet.agents[0].gate.active_digest


@fleet_test()
async def test_a_stream_ends_in_a_final_event(fleet: RequestFleet) -> None:
    events = [event async for event in fleet.entries[0].stream(prompt(pieces=5))]
    assert [event.split("\n")[0] for event in events[:5]] == [f"id: {n}" for n in range(5)]
    assert events[5].startswith("event: final")
    assert json.loads(events[5].split("data: ")[1])["pieces"] == 5


@fleet_test(engines=0, plains=1)
async def test_a_plain_service_receives_the_path(fleet: RequestFleet) -> None:
    response = await fleet.entries[0].ask(b"{}", PLAIN, "/sheets/7")
    assert response.status == 200
    assert response.json()["path"] == "/sheets/7"


# Guards against a call that a service has run and failed with a status of a refusal: it was run
# again at another target, or its caller was told that it had not run.
@pytest.mark.parametrize("status", [408, 429, 503])
def test_a_failed_call_of_a_plain_service_is_no_refusal(status: int) -> None:
    @fleet_test(engines=0, plains=2)
    async def play(fleet: RequestFleet) -> None:
        for agent in fleet.agents:
            agent.plain.faults.fail_share = 1.0
            agent.plain.faults.fail_status = status
        response = await fleet.entries[0].ask(b"{}", PLAIN, "/sheets/7")
        assert (response.status, response.headers["outcome"]) == (502, "unknown")
        assert len(fleet.runs()) == 1

    play()


@fleet_test(engines=0, plains=2)
async def test_a_refused_call_of_a_plain_service_may_be_repeated(fleet: RequestFleet) -> None:
    for agent in fleet.agents:
        agent.plain.faults.refuse_share = 1.0
    response = await fleet.entries[0].ask(b"{}", PLAIN, "/sheets/7")
    assert (response.status, response.headers["outcome"]) == (503, "not-run")
    assert not fleet.runs()


@fleet_test()
async def test_requests_that_cannot_run_are_refused_as_not_run(fleet: RequestFleet) -> None:
    entry = fleet.entries[0]
    for agent in fleet.agents:
        agent.requests.begin_drain()
    response = await entry.ask()
    assert (response.status, response.headers["outcome"]) == (503, "not-run")
    assert int(response.headers["retry-after"]) >= 1
    assert entry.metrics.counter("refusals", reason=Refusal.DRAINING).value == 1
    assert (await entry.ask(service="nobody")).status == 404
    assert (await entry.ask(authorization="Bearer wrong")).status == 401
    assert (await entry.ask(priority="soon")).status == 400
    assert not fleet.runs()


@fleet_test()
async def test_a_repeatable_request_resumes_at_another_agent(fleet: RequestFleet) -> None:
    pending = asyncio.create_task(fleet.entries[0].ask(prompt(pieces=50), idempotent="true"))
    await asyncio.sleep(0.1)
    await fleet.agents[0].stop()
    response = await pending
    assert response.status == 200
    assert response.headers["pieces"] == "50"
    assert fleet.agents[1].runs()[0].resume_from > 0


@fleet_test()
async def test_an_interrupted_stream_resumes_from_the_next_piece(fleet: RequestFleet) -> None:
    events = []
    async for event in fleet.entries[0].stream(prompt(pieces=30), idempotent="true"):
        events.append(event)
        if len(events) == 5:
            await fleet.agents[0].stop()
    assert [event.split("\n")[0] for event in events[:30]] == [f"id: {n}" for n in range(30)]
    assert events[30].startswith("event: final")


@fleet_test(engines=1)
async def test_an_interrupted_stream_that_cannot_resume_ends_in_an_error(
    fleet: RequestFleet,
) -> None:
    events = []
    async for event in fleet.entries[0].stream(prompt(pieces=30), idempotent="true"):
        events.append(event)
        if len(events) == 5:
            fleet.agents[0].hidden = True
            await fleet.agents[0].stop()
    assert events[-1].startswith("event: error")
    assert json.loads(events[-1].split("data: ")[1])["outcome"] == "unknown"


@fleet_test()
async def test_an_unrepeatable_request_is_unknown_after_its_agent_is_replaced(
    fleet: RequestFleet,
) -> None:
    pending = asyncio.create_task(fleet.entries[0].ask(prompt(pieces=50)))
    await asyncio.sleep(0.1)
    await fleet.agents[0].replace()
    response = await pending
    assert (response.status, response.headers["outcome"]) == (502, "unknown")
    assert len(fleet.runs()) == 1


@fleet_test()
async def test_a_run_survives_a_lost_connection(fleet: RequestFleet) -> None:
    entry, agent = fleet.entries[0], fleet.agents[0]
    pending = asyncio.create_task(entry.ask(prompt(pieces=50)))
    await asyncio.sleep(0.1)
    fleet.network.cut(entry.ip, agent.ip)
    await asyncio.sleep(0.02)
    fleet.network.heal(entry.ip, agent.ip)
    response = await pending
    assert (response.status, response.headers["pieces"]) == (200, "50")
    assert len(fleet.runs()) == 1


@fleet_test(engines=1, concurrency=1)
async def test_a_deadline_that_passes_in_the_queue_is_not_run(fleet: RequestFleet) -> None:
    entry = fleet.entries[0]
    first = asyncio.create_task(entry.ask(prompt(pieces=100)))
    await asyncio.sleep(0.1)
    second = await entry.ask(prompt("other"), deadline_ms="100")
    assert (second.status, second.headers["outcome"]) == (503, "not-run")
    third = await entry.ask(prompt("another"), deadline_ms="5000")
    assert (await first).status == third.status == 200
    assert len(fleet.runs()) == 2


@fleet_test(engines=1)
async def test_a_deadline_that_passes_while_it_runs_is_unknown(fleet: RequestFleet) -> None:
    began = asyncio.get_running_loop().time()
    response = await fleet.entries[0].ask(prompt(pieces=500), deadline_ms="200")
    assert (response.status, response.headers["outcome"]) == (504, "unknown")
    assert asyncio.get_running_loop().time() - began < 0.3


@fleet_test()
async def test_a_run_of_a_lost_entry_is_joined_through_another(
    fleet: RequestFleet,
) -> None:
    pending = asyncio.create_task(fleet.entries[0].ask(prompt(pieces=50), idempotency_key="k"))
    await asyncio.sleep(0.1)
    await fleet.entries[0].stop()
    pending.cancel()
    response = await fleet.entries[1].ask(prompt(pieces=50), idempotency_key="k")
    assert (response.status, response.headers["pieces"]) == (200, "50")
    assert len(fleet.runs()) == 1


@fleet_test(engines=1)
async def test_a_change_of_weights_during_an_answer_fails_it(fleet: RequestFleet) -> None:
    pending = asyncio.create_task(fleet.entries[0].ask(prompt(pieces=50)))
    await asyncio.sleep(0.1)
    fleet.agents[0].activate("2")
    response = await pending
    assert (response.status, response.headers["outcome"]) == (502, "unknown")


@fleet_test(engines=1)
async def test_an_answer_cut_short_by_the_engine_is_never_complete(fleet: RequestFleet) -> None:
    fleet.agents[0].engine.faults.cut_share = 1.0
    response = await fleet.entries[0].ask(prompt(pieces=50))
    assert (response.status, response.headers["outcome"]) == (502, "unknown")


@fleet_test(engines=1, concurrency=1)
async def test_a_draining_agent_finishes_accepted_requests_and_accepts_no_others(
    fleet: RequestFleet,
) -> None:
    entry, agent = fleet.entries[0], fleet.agents[0]
    accepted = [asyncio.create_task(entry.ask(prompt(f"{n}"))) for n in range(4)]
    await asyncio.sleep(0.05)
    agent.requests.begin_drain()
    assert (await entry.ask()).headers["outcome"] == "not-run"
    assert await agent.requests.wait_drained(10)
    assert [(await each).status for each in accepted] == [200] * 4


@fleet_test(engines=1)
async def test_a_draining_entry_still_serves_but_is_omitted_from_addresses(
    fleet: RequestFleet,
) -> None:
    entry = fleet.entries[0]
    assert len((await entry.get("/v1/addresses")).json()["addresses"]) == 2
    running = asyncio.create_task(entry.ask(prompt(pieces=2100)))
    await asyncio.sleep(0.05)
    entry.callers.begin_drain()
    assert len((await entry.get("/v1/addresses")).json()["addresses"]) == 1
    late = asyncio.create_task(entry.ask())
    assert await entry.callers.drained(30)
    assert running.done() and running.result().status == 200
    assert (await late).status == 200


@fleet_test(engines=1)
async def test_a_weight_swap_waits_for_running_requests_and_delays_new_ones(
    fleet: RequestFleet,
) -> None:
    entry, agent = fleet.entries[0], fleet.agents[0]
    first = asyncio.create_task(entry.ask(prompt(pieces=50)))
    await asyncio.sleep(0.05)
    quiet = asyncio.create_task(agent.requests.quiesce())
    second = asyncio.create_task(entry.ask(prompt("second")))
    await quiet
    assert first.done() or not second.done()
    agent.activate("2")
    agent.gate.active_digest = agent.engine.weights.active_digest
    agent.requests.resume()
    digests = [(await each).headers["weights-digest"] for each in (first, second)]
    assert len(set(digests)) == 2


@fleet_test(engines=1)
async def test_a_caller_that_closes_a_stream_frees_the_target(fleet: RequestFleet) -> None:
    events = fleet.entries[0].stream(prompt(pieces=5000), idempotent="true")
    async for _ in events:
        break
    await events.aclose()
    await asyncio.sleep(0.1)
    assert fleet.agents[0].requests.load().running == 0
    assert fleet.entries[0].metrics.counter("requests", outcome="unknown").value == 1


@fleet_test(engines=1)
async def test_a_slow_caller_delays_only_its_own_stream(fleet: RequestFleet) -> None:
    agent, window = fleet.agents[0], fleet.settings.requests.piece_window
    events = fleet.entries[0].stream(prompt(pieces=2400), idempotent="true")
    await anext(events)
    await asyncio.sleep(11)
    assert window <= agent.metrics.gauge("pieces_held").current() < 4 * window
    assert (await fleet.entries[0].ask()).status == 200
    assert "event: final" in [event async for event in events][-1]


@fleet_test()
async def test_a_stream_that_never_begins_has_an_error_status(fleet: RequestFleet) -> None:
    for agent in fleet.agents:
        agent.requests.begin_drain()
    response = await fleet.entries[0].ask(accept="text/event-stream")
    assert (response.status, response.headers["outcome"]) == (503, "not-run")


@fleet_test()
async def test_an_unread_stream_does_not_block_shutdown(fleet: RequestFleet) -> None:
    entry = fleet.entries[0]
    response = await entry.ask(accept="text/event-stream")
    await response.body.aclose()
    entry.callers.begin_drain()
    assert await entry.callers.drained(30)
    assert entry.metrics.counter("requests", outcome="unknown").value == 1


@fleet_test()
async def test_a_repeatable_request_is_retried_when_its_agent_is_unresponsive(
    fleet: RequestFleet,
) -> None:
    agent = fleet.agents[0]
    pending = asyncio.create_task(fleet.entries[0].ask(prompt(pieces=50), idempotent="true"))
    await asyncio.sleep(0.1)
    fleet.network.hold(agent.ip)
    agent.silent = agent.hidden = True
    assert (await asyncio.wait_for(pending, 5)).headers["pieces"] == "50"
    fleet.network.let_go(agent.ip)


@fleet_test()
async def test_an_unrepeatable_request_waits_for_an_unresponsive_agent(
    fleet: RequestFleet,
) -> None:
    agent = fleet.agents[0]
    pending = asyncio.create_task(fleet.entries[0].ask(prompt(pieces=50)))
    await asyncio.sleep(0.1)
    fleet.network.hold(agent.ip)
    agent.silent = agent.hidden = True
    await asyncio.sleep(8)
    fleet.network.let_go(agent.ip)
    assert (await pending).headers["pieces"] == "50"
    assert len(fleet.runs()) == 1


@fleet_test(engines=1)
async def test_a_draining_agent_still_sends_to_a_slow_caller(fleet: RequestFleet) -> None:
    agent = fleet.agents[0]
    events = fleet.entries[0].stream(prompt(pieces=400), idempotent="true")
    await anext(events)
    await asyncio.sleep(5)
    agent.requests.begin_drain()
    drained = asyncio.create_task(agent.requests.wait_drained(60))
    await asyncio.sleep(1)
    assert not drained.done()
    assert "event: final" in [event async for event in events][-1]
    assert await drained


@fleet_test(engines=1)
async def test_a_draining_entry_serves_new_requests_for_half_of_its_limit_then_refuses(
    fleet: RequestFleet,
) -> None:
    entry = fleet.entries[0]
    entry.callers.begin_drain()
    drained = asyncio.create_task(entry.callers.drained(40))
    outcomes = []
    for _ in range(30):
        outcomes.append((await entry.ask()).headers["outcome"])
        await asyncio.sleep(1)
    assert set(outcomes[:18]) == {"answered"}
    assert set(outcomes[22:]) == {"not-run"}
    assert await drained


@fleet_test(engines=1, plains=1)
async def test_prompts_share_the_blocks_of_their_common_prefix_only(
    fleet: RequestFleet,
) -> None:
    entry, heads = fleet.entries[0], []
    choose = entry.targets.choose
    entry.targets.choose = lambda name, head, *rest: heads.append(head) or choose(name, head, *rest)
    for words in ("a" * 64 + "b" * 64, "a" * 64 + "c" * 64, "short"):
        await entry.ask(prompt(words))
    await entry.ask(prompt("a" * 64), PLAIN)
    one, other, short, plain = (head.prefix_blocks for head in heads)
    assert one[0] == other[0] and one[1] != other[1]
    assert short == plain == []


@pytest.mark.parametrize("body", [b"", b"[" * 100_000, b'{"prompt": 7}' + b" " * 80, b"\xff" * 100])
def test_a_body_without_a_prompt_has_no_blocks(body: bytes) -> None:
    assert extract_prompt(body) == ""


@fleet_test(engines=1)
async def test_an_idle_agent_that_drains_refuses_requests_in_transit(fleet: RequestFleet) -> None:
    entry, agent = fleet.entries[0], fleet.agents[0]

    async def leave() -> None:
        agent.requests.begin_drain()
        assert await agent.requests.wait_drained(60)
        await agent.stop()

    await entry.ask()
    in_transit = asyncio.create_task(entry.ask())
    await asyncio.sleep(0.0002)
    await asyncio.gather(in_transit, leave())
    assert in_transit.result().headers["outcome"] in ("answered", "not-run")
    assert len(fleet.runs()) == 1 + (in_transit.result().status == 200)


@fleet_test()
async def test_a_draining_agent_waits_for_its_reservations_to_expire(fleet: RequestFleet) -> None:
    entry, agent = fleet.entries[0], fleet.agents[0]
    ticket = await entry.ticket()
    agent.requests.begin_drain()
    drained = asyncio.create_task(agent.requests.wait_drained(60))
    await asyncio.sleep(10)
    assert not drained.done()
    assert (await entry.ask(ticket=ticket)).headers["outcome"] == "not-run"
    assert await drained
